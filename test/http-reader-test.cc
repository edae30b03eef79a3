#include "http/reader.h"

#include <random>

#include <catch2/catch.hpp>

namespace http = lycheeplank::http;
using http::ReadError;

namespace {

ReadError
ReadRequest(std::string aText, http::RequestReader& aReader)
{
  return aReader.Feed(aText);
}

ReadError
ReadRequest(const std::string& aText)
{
  http::RequestReader reader({ 1000, 100 });
  return ReadRequest(aText, reader);
}

} // namespace

TEST_CASE("a request may arrive in pieces of any size")
{
  const std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\nGET /";
  for (unsigned seed = 0; seed < 100; ++seed) {
    std::mt19937 random(seed);
    http::RequestReader reader({});
    std::string data;
    std::size_t at = 0;
    while (!reader.Done()) {
      const auto size = std::min(text.size() - at, 1 + random() % 9);
      data += text.substr(at, size);
      at += size;
      REQUIRE(reader.Feed(data) == ReadError::None);
    }
    CHECK(reader.Body() == "hello!");
    CHECK(reader.Head().target_ == "/a?b=c");
    CHECK(std::string("GET /").substr(0, data.size()) == data);
  }
}

TEST_CASE("a message with ambiguous framing is malformed")
{
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const std::string fields :
       { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
         "Transfer-Encoding: gzip\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 3\r\nContent-Length: 4\r\n",
         "Content-Length: 3\r\nContent-Length: 3\r\n",
         "Content-Length: -3\r\n",
         "Content-Length: 3x\r\n",
         "Host: other\r\n",
         "Bad Name: 1\r\n",
         "Name : 1\r\n" }) {
    INFO(fields);
    CHECK(ReadRequest(start + fields + "\r\nabc") == ReadError::Malformed);
  }
}

TEST_CASE("lines that end without a carriage return are malformed")
{
  CHECK(ReadRequest("GET / HTTP/1.1\nHost: h\n\n") == ReadError::Malformed);
  CHECK(ReadRequest("GET / HTTP/1.1\r\nHost: h\nX: 1\r\n\r\n") ==
        ReadError::Malformed);
}

TEST_CASE("heads and bodies over the limits are reported separately")
{
  CHECK(ReadRequest("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                    "\r\n\r\n") == ReadError::HeaderTooLarge);
  CHECK(ReadRequest("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") ==
        ReadError::BodyTooLarge);
  CHECK(ReadRequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "80\r\n" +
                    std::string(128, 'x') + "\r\n") == ReadError::BodyTooLarge);
}

// Guards against a head that grows without a bound because each read ends at
// the end of a line.
TEST_CASE("a head that arrives line by line has the same limit")
{
  http::RequestReader reader({ 1000, 100 });
  std::string data = "GET / HTTP/1.1\r\nHost: h\r\n";
  auto error = reader.Feed(data);
  int lines = 0;
  while (error == ReadError::None && lines < 100) {
    data += "X-Line: 0123456789\r\n";
    error = reader.Feed(data);
    ++lines;
  }
  CHECK(error == ReadError::HeaderTooLarge);
  CHECK(lines > 30);
  CHECK(lines < 60);
}

// Guards against a process that runs out of memory by bytes after or between
// the chunks of a body, which belong to no field and no body.
TEST_CASE("the parts of a chunked body that aren't data have limits")
{
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
  struct Case
  {
    std::string start_;
    std::string repeated_;
    // Bytes of the part that a reader takes at least, that wait unparsed at
    // most, and that it takes at most.
    std::size_t least_;
    std::size_t most_;
    std::size_t mostTaken_;
  };
  const auto test =
    GENERATE(Case{ "0\r\n", "X-Trailer: 0123456789\r\n", 800, 1000, 1100 },
             Case{ "0\r\nX-Trailer: ", "t", 800, 1000, 1100 },
             Case{ "0;", "n=0123456789;", 800, 1000, 1100 },
             Case{ "1;", "n=0123456789;", 4000, 20000, 20000 },
             Case{ "", "1;n=0123456789\r\n.\r\n", 100, 20000, 30000 },
             Case{ "", "00000000000", 0, 20000, 20000 });
  const std::size_t step = GENERATE(1, 64, 100000);
  INFO(test.start_ << test.repeated_ << " in pieces of " << step);
  http::RequestReader reader({ 1000, 1000000 });
  std::string part = test.start_;
  while (part.size() < 100000) {
    part += test.repeated_;
  }
  std::string data = start;
  REQUIRE(reader.Feed(data) == ReadError::None);
  std::size_t at = 0;
  auto error = ReadError::None;
  while (error == ReadError::None && at < part.size()) {
    data += part.substr(at, step);
    at += step;
    error = reader.Feed(data);
    if (error == ReadError::None) {
      // What isn't parsed yet stays in the owner's memory.
      CHECK(data.size() <= test.most_);
    }
  }
  CHECK(error != ReadError::None);
  CHECK(error != ReadError::BodyTooLarge);
  CHECK(at >= test.least_);
  CHECK(at <= std::max(step, test.mostTaken_));
  CHECK_FALSE(reader.Done());
}

TEST_CASE("trailers and chunk extensions within the limits are accepted")
{
  const std::string signature(90, 's');
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 100; ++i) {
    text += "4;signature=" + signature + "\r\nbody\r\n";
  }
  text += "0\r\nX-Checksum: " + std::string(700, '1') + "\r\n\r\n";
  for (const std::size_t step : { std::size_t{ 1 }, text.size() }) {
    http::RequestReader reader({ 1000, 1000 });
    std::string data;
    for (std::size_t at = 0; at < text.size(); at += step) {
      data += text.substr(at, step);
      REQUIRE(reader.Feed(data) == ReadError::None);
    }
    CHECK(reader.Done());
    CHECK(reader.Body().size() == 400);
  }
}

// Guards against twice the memory of a body, which strings that grow by
// doubling take.
TEST_CASE("the memory of a body doesn't exceed its size or limit by much")
{
  constexpr std::size_t kLimit = 1000000;
  const bool isChunked = GENERATE(false, true);
  http::RequestReader reader({ 1000, kLimit });
  std::string data = "POST / HTTP/1.1\r\nHost: h\r\n";
  data += isChunked ? "Transfer-Encoding: chunked\r\n\r\nF4240\r\n"
                    : "Content-Length: 1000000\r\n\r\n";
  REQUIRE(reader.Feed(data) == ReadError::None);
  CHECK(reader.BodyLength().has_value() != isChunked);
  for (std::size_t at = 0; at < kLimit; at += 1000) {
    data.assign(1000, 'b');
    REQUIRE(reader.Feed(data) == ReadError::None);
    CHECK(reader.Body().capacity() <= kLimit);
  }
  CHECK(reader.Body().size() == kLimit);
}

TEST_CASE("an answer without a length ends with its connection")
{
  http::ResponseReader reader(false);
  std::string data = "HTTP/1.1 200 OK\r\n\r\nabc";
  CHECK(reader.Feed(data) == ReadError::None);
  CHECK_FALSE(reader.Done());
  CHECK_FALSE(reader.Head().keepAlive_);
  CHECK(reader.Finish());
  CHECK(reader.Body() == "abc");
}

// Guards against statuses that callers can't interpret.
TEST_CASE("an answer with a status outside 100 to 599 is malformed")
{
  for (const std::string status :
       { "000", "042", "099", "600", "999", "20", "2000", "2x0", "-20" }) {
    INFO(status);
    http::ResponseReader reader(false);
    std::string data =
      "HTTP/1.1 " + status + " OK\r\nContent-Length: 1\r\n\r\na";
    CHECK(reader.Feed(data) == ReadError::Malformed);
    CHECK_FALSE(reader.HeadDone());
    CHECK(reader.Body().empty());
    CHECK_FALSE(reader.Finish());
  }
  for (const std::string status : { "100", "199", "200", "599" }) {
    http::ResponseReader reader(false);
    std::string data = "HTTP/1.1 " + status + " OK\r\n\r\n";
    CHECK(reader.Feed(data) == ReadError::None);
    CHECK(reader.HeadDone());
  }
}

TEST_CASE("a truncated answer is incomplete")
{
  for (const std::string text :
       { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
         "HTTP/1.1 200 OK\r\nContent-Le" }) {
    INFO(text);
    http::ResponseReader reader(false);
    auto data = text;
    CHECK(reader.Feed(data) == ReadError::None);
    CHECK_FALSE(reader.Finish());
  }
}

// Guards against a head that a peer completes behind the body, where it arrives
// in one read with it.
TEST_CASE("trailing fields aren't fields of the head")
{
  const std::string rest = "Transfer-Encoding: chunked\r\n\r\n"
                           "1\r\na\r\n0\r\nX-Late: 1\r\n\r\n";
  http::ResponseReader response(false);
  std::string answer = "HTTP/1.1 200 OK\r\n" + rest;
  CHECK(response.Feed(answer) == ReadError::None);
  CHECK(response.Done());
  CHECK(http::FindField(response.Head().fields_, "x-late") == nullptr);
  http::RequestReader request({});
  CHECK(ReadRequest("POST / HTTP/1.1\r\nHost: h\r\n" + rest, request) ==
        ReadError::None);
  CHECK(request.Done());
  CHECK(http::FindField(request.Head().fields_, "x-late") == nullptr);
  CHECK(http::FindField(request.Head().fields_, "host") != nullptr);
}

// Guards against bytes in a coding that the host removes from the head and a
// caller therefore can't decode.
TEST_CASE("an answer with another transfer coding is malformed")
{
  for (const std::string fields :
       { "Transfer-Encoding: gzip\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 3\r\nContent-Length: 4\r\n" }) {
    INFO(fields);
    http::ResponseReader reader(false);
    std::string data =
      "HTTP/1.1 200 OK\r\n" + fields + "\r\n1\r\na\r\n0\r\n\r\n";
    CHECK(reader.Feed(data) == ReadError::Malformed);
  }
}

TEST_CASE("bytes that are not an answer are malformed")
{
  http::ResponseReader reader(false);
  std::string data = "\x01\x02 nothing of the kind\r\n\r\n";
  CHECK(reader.Feed(data) == ReadError::Malformed);
}

TEST_CASE("bytes after an answer are not consumed")
{
  http::ResponseReader reader(false);
  std::string data = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab";
  CHECK(reader.Feed(data) == ReadError::None);
  CHECK(reader.Done());
  CHECK(data == "b");
}

TEST_CASE("random bytes never leave a reader in an invalid state")
{
  const std::string valid = "POST /x HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 5\r\n\r\nhello";
  for (unsigned seed = 0; seed < 3000; ++seed) {
    std::mt19937 random(seed);
    auto text = valid;
    for (int i = 0; i < 4; ++i) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    http::RequestReader reader({});
    if (ReadRequest(text, reader) == ReadError::None && reader.Done()) {
      CHECK(reader.HeadDone());
      CHECK(reader.Body().size() <= text.size());
    }
  }
}

TEST_CASE("hop-by-hop fields are detected by name and by Connection")
{
  const http::Fields fields{ { "Connection", "close, X-Mine" },
                             { "x-mine", "1" },
                             { "Transfer-Encoding", "chunked" },
                             { "X-Other", "2" },
                             { "CONNECTION", "X-Third\t,x-fourth" },
                             { "X-Third", "3" },
                             { "X-Fourth", "4" } };
  const auto forwarded = http::EndToEndFields(fields);
  REQUIRE(forwarded.size() == 1);
  CHECK(forwarded[0].name_ == "X-Other");
}

TEST_CASE("query parameters are decoded")
{
  CHECK(http::QueryParameter("/a?name=x%20y&zone=b", "name") == "x y");
  CHECK(http::QueryParameter("/a?name=x&zone=b", "zone") == "b");
  CHECK(http::QueryParameter("/a?name", "name").empty());
}
