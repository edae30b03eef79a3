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
