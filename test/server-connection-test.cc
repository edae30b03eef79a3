#include "gateway/server-connection.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway-world.h"

using lycheeplank::test::Has;
using lycheeplank::test::Sends;
using lycheeplank::test::WholeAnswer;
using lycheeplank::test::World;

namespace {

void
SetLimits(World& aWorld, std::uint32_t aHeaderBytes, std::uint64_t aBodyBytes)
{
  aWorld.catalog_.limits_.headerBytes_ = aHeaderBytes;
  aWorld.catalog_.limits_.bodyBytes_ = aBodyBytes;
  aWorld.Publish();
}

// Returns a request with a body of one chunk.
std::string
ChunkedRequest(const std::string& aBody)
{
  std::string text = "POST /again/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  lycheeplank::http::AppendChunk(text, aBody);
  return text + std::string(lycheeplank::http::kLastChunk);
}

std::string
LargeBody()
{
  return std::string(3000, 'x');
}

// Requests that only the larger limits below allow, and the status by which the
// smaller ones deny them.
struct Case
{
  std::string request_;
  std::string denied_;
};

std::vector<Case>
LargeRequests()
{
  return {
    { World::Request("/again/", "", LargeBody()), "413" },
    { ChunkedRequest(LargeBody()), "413" },
    { World::Request("/again/", "X-Long: " + LargeBody() + "\r\n"), "431" },
  };
}

void
SetSmallLimits(World& aWorld)
{
  SetLimits(aWorld, 1000, 1000);
}

void
SetLargeLimits(World& aWorld)
{
  SetLimits(aWorld, 8000, 8000);
}

// Sends a request on the caller's connection and returns its answer.
std::string
AskAgain(World& aWorld, const std::string& aRequest)
{
  aWorld.answer_.clear();
  aWorld.caller_->Send(aRequest);
  aWorld.RunUntil([&] { return aWorld.IsWhole() || aWorld.answerClosed_; });
  return aWorld.answer_;
}

} // namespace

// Guards against requests on kept connections that are denied by limits which a
// newer configuration has raised.
TEST_CASE("a request on a kept connection has the limits of its arrival")
{
  for (const auto& [request, denied] : LargeRequests()) {
    CAPTURE(denied);
    World raised;
    raised.AddTarget(Sends(WholeAnswer("done")));
    SetSmallLimits(raised);
    REQUIRE(Has(raised.Ask(World::Request("/again/")), "HTTP/1.1 200"));
    SetLargeLimits(raised);
    CHECK(Has(AskAgain(raised, request), "HTTP/1.1 200"));
    CHECK(raised.targets_[0]->requests_ == 2);

    World lowered;
    lowered.AddTarget(Sends(WholeAnswer("done")));
    SetLargeLimits(lowered);
    REQUIRE(Has(lowered.Ask(request), "HTTP/1.1 200"));
    SetSmallLimits(lowered);
    CHECK(Has(AskAgain(lowered, request), "HTTP/1.1 " + denied));
    CHECK(lowered.targets_[0]->requests_ == 1);
  }
}

// Guards against the limits of a connection's beginning, which may have been
// long before its first request.
TEST_CASE("the first request of a connection has the limits of its arrival")
{
  for (const auto& [request, denied] : LargeRequests()) {
    CAPTURE(denied);
    const bool isRaised = GENERATE(true, false);
    World world;
    world.AddTarget(Sends(WholeAnswer("done")));
    isRaised ? SetSmallLimits(world) : SetLargeLimits(world);
    world.caller_ = world.Call("");
    REQUIRE(world.RunUntil([&] { return world.server_.Open() == 1; }));
    isRaised ? SetLargeLimits(world) : SetSmallLimits(world);
    CHECK(
      Has(AskAgain(world, request), "HTTP/1.1 " + (isRaised ? "200" : denied)));
  }
}

// Guards against a pipelined request that is read with the limits of the time
// at which the answer before it began.
TEST_CASE("a pipelined request has the limits of the time when it is read")
{
  World world;
  std::shared_ptr<lycheeplank::gateway::Socket> first;
  world.AddTarget([&](auto& aTarget, const auto& aSocket) {
    if (aTarget.requests_ == 1) {
      first = aSocket;
    } else {
      aSocket->Send(WholeAnswer("second"));
    }
  });
  SetSmallLimits(world);
  world.caller_ = world.Call(World::Request("/again/") +
                             World::Request("/again/", "", LargeBody()));
  REQUIRE(world.RunUntil([&] { return first != nullptr; }));
  SetLargeLimits(world);
  first->Send(WholeAnswer("first"));
  CHECK(world.RunUntil([&] { return Has(world.answer_, "second"); }));
  CHECK_FALSE(Has(world.answer_, "413"));
}

// Guards against a request that is denied within its body because the limits
// change meanwhile.
TEST_CASE("a request keeps its limits until it has been read")
{
  for (const auto& [request, denied] : LargeRequests()) {
    CAPTURE(denied);
    World world;
    world.AddTarget(Sends(WholeAnswer("done")));
    SetLargeLimits(world);
    const auto half = request.size() / 2;
    world.caller_ = world.Call(request.substr(0, half));
    world.RunFor(std::chrono::milliseconds(20));
    SetSmallLimits(world);
    CHECK(Has(AskAgain(world, request.substr(half)), "HTTP/1.1 200"));
  }
}
