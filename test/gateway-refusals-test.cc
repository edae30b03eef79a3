#include "gateway/exchange.h"

#include <cstddef>
#include <string>

#include <catch2/catch.hpp>

#include "gateway-world.h"

using lycheeplank::test::FakeTarget;
using lycheeplank::test::Has;
using lycheeplank::test::Sends;
using lycheeplank::test::WholeAnswer;
using lycheeplank::test::World;

namespace {

// How the end of a body is marked.
enum class Framing
{
  Length,
  Chunks,
  Connection,
};

const std::string kText = "refused-by-target";

// Returns a body of the size that begins with kText.
std::string
BodyOf(std::size_t aSize)
{
  auto body = kText;
  body.resize(aSize, 'x');
  return body;
}

// Answers with a status and a body. An answer that ends with its connection
// closes it.
FakeTarget::Answer
Answers(const std::string& aStatus,
        Framing aFraming,
        const std::string& aBody,
        const std::string& aFields = "")
{
  auto text = "HTTP/1.1 " + aStatus +
              "\r\nX-Request-Id: r1\r\nX-Server-Stamp: t\r\n" + aFields;
  switch (aFraming) {
    case Framing::Length:
      text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
      text += aBody;
      break;
    case Framing::Chunks:
      text += "Transfer-Encoding: chunked\r\n\r\n";
      if (!aBody.empty()) {
        lycheeplank::http::AppendChunk(text, aBody);
      }
      text += std::string(lycheeplank::http::kLastChunk);
      break;
    case Framing::Connection:
      text += "\r\n" + aBody;
      break;
  }
  return Sends(text, aFraming == Framing::Connection);
}

} // namespace

// Guards against callers that send a request again which has run: a target that
// fails a request after its run may answer with the status of a refusal.
TEST_CASE("a target's refusal that doesn't state that it hasn't run the "
          "request reaches no caller")
{
  const std::string status = GENERATE(
    "408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable");
  const auto framing =
    GENERATE(Framing::Length, Framing::Chunks, Framing::Connection);
  // None, and below and above the size up to which answers are buffered.
  const std::size_t size = GENERATE(0, 2000, 300U << 10U);
  const std::string path = GENERATE("/once/", "/stream/");
  CAPTURE(status, static_cast<int>(framing), size, path);
  World world;
  auto& target = world.AddTarget(
    Answers(status, framing, BodyOf(size), "Retry-After: 1\r\n"));
  auto& other = world.AddTarget(Sends(WholeAnswer("done")));
  const auto answer = world.Ask(World::Request(path, "", "some body"));
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK_FALSE(Has(answer, kText));
  CHECK_FALSE(Has(answer, "X-Server-Stamp"));
  CHECK_FALSE(Has(answer, "Retry-After"));
  CHECK(target.requests_ == 1);
  CHECK(other.requests_ == 0);
  CHECK(world.host_.bufferedBytes_ == 0);
}

// Guards against the same status on the way of answers that pass unbuffered
// because the host's memory for answers is used.
TEST_CASE("an unproven refusal reaches no caller when answers find no memory")
{
  const std::string status =
    GENERATE("429 Too Many Requests", "503 Service Unavailable");
  World world;
  world.host_.bufferedBytes_ = 64U << 20U;
  world.AddTarget(Answers(status, Framing::Length, BodyOf(5000)));
  const auto answer = world.Ask(World::Request("/once/"));
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK_FALSE(Has(answer, kText));
}

TEST_CASE("an unproven refusal of a HEAD request reaches no caller")
{
  World world;
  world.AddTarget(Sends("HTTP/1.1 429 Too Many Requests\r\nX-Request-Id: r1\r\n"
                        "X-Server-Stamp: t\r\nContent-Length: 9\r\n\r\n"));
  world.Call("HEAD /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n");
  REQUIRE(world.RunUntil([&] { return Has(world.answer_, "\r\n\r\n"); }));
  CHECK(Has(world.answer_, "HTTP/1.1 502"));
}

// Guards against a promise in the name of the first target, which may have run
// the request, after a true refusal of the second one.
TEST_CASE("an unproven refusal counts as a run of a repeatable request")
{
  const std::string status =
    GENERATE("429 Too Many Requests", "503 Service Unavailable");
  const auto refuses = Answers(status, Framing::Length, kText);
  World served;
  served.AddTarget(refuses);
  served.AddTarget(Sends(WholeAnswer("done")));
  CHECK(Has(served.Ask(World::Request("/again/")), "\r\n\r\ndone"));

  const std::string fields = GENERATE("", "X-Not-Run: 1\r\n");
  World failed;
  failed.AddTarget(refuses);
  failed.AddTarget(Answers(status, Framing::Length, kText, fields));
  const auto answer = failed.Ask(World::Request("/again/"));
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK_FALSE(Has(answer, kText));
}

// Guards against a caller that isn't told of a run because the target that
// should continue its stream refuses.
TEST_CASE("an unproven refusal doesn't end a stream that has begun")
{
  World world;
  world.AddTarget(
    Sends(lycheeplank::test::Events("id: 1\ndata: a\n\n", false), true));
  world.AddTarget(
    Answers("429 Too Many Requests", Framing::Length, BodyOf(300U << 10U)));
  const auto answer = world.Ask(World::Request("/resume/"));
  CHECK(Has(answer, "id: 1\ndata: a\n\n"));
  CHECK_FALSE(Has(answer, kText));
  CHECK_FALSE(Has(answer, "\r\n0\r\n\r\n"));
  CHECK(world.answerClosed_);
}

TEST_CASE("other answers of a target stay as they came")
{
  const std::string status = GENERATE("400 Bad Request",
                                      "404 Not Found",
                                      "409 Conflict",
                                      "410 Gone",
                                      "425 Too Early",
                                      "500 Internal Server Error",
                                      "502 Bad Gateway",
                                      "504 Gateway Timeout");
  const auto framing =
    GENERATE(Framing::Length, Framing::Chunks, Framing::Connection);
  World world;
  world.AddTarget(Answers(status, framing, kText, "Retry-After: 1\r\n"));
  const auto answer = world.Ask(World::Request("/once/"));
  CHECK(Has(answer, "HTTP/1.1 " + status + "\r\n"));
  CHECK(Has(answer, "X-Server-Stamp: t\r\n"));
  CHECK(Has(answer, "Retry-After: 1\r\n"));
  CHECK(Has(answer, "\r\n\r\n" + kText));
}

TEST_CASE("a refusal that no target has run is one of the host")
{
  const std::string status = GENERATE("408 Request Timeout",
                                      "421 Misdirected Request",
                                      "429 Too Many Requests",
                                      "503 Service Unavailable");
  World world;
  auto& target = world.AddTarget(
    Answers(status, Framing::Length, kText, "X-Not-Run: 1\r\n"));
  const auto answer = world.Ask(World::Request("/once/"));
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After: "));
  CHECK_FALSE(Has(answer, kText));
  CHECK(target.requests_ == 1);
}
