#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <catch2/catch.hpp>

#include "gateway-world.h"

// Tests what happens to requests when their host stops.

using lycheeplank::test::Events;
using lycheeplank::test::FakeTarget;
using lycheeplank::test::Sends;
using lycheeplank::test::WholeAnswer;
using lycheeplank::test::World;
namespace gateway = lycheeplank::gateway;

namespace {

// Sets how long ago a host was told to stop, of a grace time of eight seconds.
void
StopSince(World& aWorld, absl::Duration aAge)
{
  aWorld.host_.stopping_ = true;
  aWorld.host_.stoppedAt_ = gateway::Now() - aAge;
  aWorld.host_.settings_.graceTime_ = absl::Seconds(8);
  aWorld.server_.CloseAfterAnswers();
}

// A world with a route whose answers may take longer than the grace time, and
// with one target that has memory for one request of it at a time.
struct LongWorld : World
{
  LongWorld()
    : target_(
        AddTarget([](FakeTarget&, const std::shared_ptr<gateway::Socket>&) {}))
  {
    auto& route =
      AddRoute("/long/", lycheeplank::catalog::RepeatPolicy::Once, 1);
    route.timeout_ = absl::Seconds(15);
    route.maxGap_ = absl::Seconds(8);
    route.priority_ = 1;
    catalog_.services_["s"].memoryTokens_ = 100;
    Publish();
    host_.members_.at("t1").target_.weights_["m"] = 1;
  }

  static std::string LongRequest(const std::string& aBody = "x")
  {
    return World::Request(
      "/long/", "X-Model: m\r\nX-Token-Count: 60,0\r\n", aBody);
  }

  FakeTarget& target_;
};

} // namespace

// Guards against requests that wait in a stopping host until it exits.
TEST_CASE(
  "a stopping host refuses waiting requests while others can serve them")
{
  LongWorld world;
  const auto running = world.Call(LongWorld::LongRequest());
  REQUIRE(world.RunUntil([&] { return world.target_.requests_ == 1; }));
  world.caller_ = world.Call(LongWorld::LongRequest());
  const auto& waiting = world.host_.waiting_.entries_;
  REQUIRE(world.RunUntil([&] { return waiting.size() == 1; }));
  StopSince(world, absl::Seconds(2));
  gateway::RefuseLateRequests(world.host_);
  CHECK(waiting.size() == 1);
  StopSince(world, absl::Seconds(3));
  gateway::RefuseLateRequests(world.host_);
  CHECK(waiting.empty());
  REQUIRE(world.RunUntil([&] { return world.IsWhole(); }));
  CHECK(absl::StartsWith(world.answer_, "HTTP/1.1 503"));
  CHECK(absl::StrContains(world.answer_, "Retry-After: 0.0"));
  CHECK(world.host_.openRequests_.size() == 1);
}

// Guards against late sends of a request that arrived early: its body was slow,
// or it waited for memory.
TEST_CASE("a stopping host sends only requests that end before its exit")
{
  LongWorld world;
  const auto request = LongWorld::LongRequest("body");
  const auto isAccepted = GENERATE(true, false);
  world.caller_ = world.Call(request.substr(0, request.size() - 1));
  REQUIRE(world.RunUntil([&] { return world.server_.Open() == 1; }));
  world.RunFor(std::chrono::milliseconds(50));
  StopSince(world, isAccepted ? absl::Seconds(2) : absl::Seconds(3));
  world.caller_->Send(request.substr(request.size() - 1));
  REQUIRE(world.RunUntil(
    [&] { return world.target_.requests_ == 1 || world.IsWhole(); }));
  CHECK(world.target_.requests_ == (isAccepted ? 1 : 0));
  CHECK(absl::StartsWith(world.answer_, "HTTP/1.1 503") == !isAccepted);
}

// Guards against requests without an answer, and answers without their end that
// look whole, when the process exits.
TEST_CASE("a host that exits ends all requests")
{
  World world;
  bool isBroken = false;
  const auto ask = [&](const std::string& aRequest) {
    world.caller_ = world.Call(aRequest);
    REQUIRE(world.RunUntil([&] { return world.targets_[0]->requests_ == 1; }));
    world.RunFor(std::chrono::milliseconds(50));
    StopSince(world, absl::Milliseconds(7600));
    gateway::EndRequests(world.host_);
    CHECK(world.host_.openRequests_.empty());
    REQUIRE(
      world.RunUntil([&] { return world.IsWhole() || world.answerClosed_; }));
    return world.answer_;
  };
  SECTION("a request that may have run")
  {
    world.AddTarget(Sends(""));
    CHECK(absl::StartsWith(ask(World::Request("/once/")), "HTTP/1.1 504"));
  }
  SECTION("an answer that is incomplete")
  {
    world.AddTarget(Sends(WholeAnswer("whole").substr(0, 79)));
    CHECK(absl::StartsWith(ask(World::Request("/once/")), "HTTP/1.1 504"));
  }
  SECTION("a stream that has begun")
  {
    world.AddTarget(Sends(Events("id: 1\ndata: a\n\n", false)));
    const auto answer = ask(World::Request("/stream/"));
    CHECK(absl::StrContains(answer, "data: a"));
    CHECK_FALSE(world.IsWhole());
  }
  SECTION("a stream that ends with its connection")
  {
    world.AddTarget(Sends(Events("id: 1\ndata: a\n\n", false)));
    world.onCallerEnd_ = [&](gateway::PeerEnd aEnd) {
      isBroken = aEnd == gateway::PeerEnd::Broken;
    };
    const auto answer = ask(absl::StrReplaceAll(
      World::Request("/stream/"), { { "HTTP/1.1", "HTTP/1.0" } }));
    CHECK(absl::StrContains(answer, "data: a"));
    CHECK(isBroken);
  }
  CHECK(world.RunUntil([&] { return world.targets_[0]->closed_ == 1; }));
}

// Guards against requests that cross the close of a connection whose last
// answer didn't announce it, because it had begun before the stop.
TEST_CASE("a stopping host announces the close of a connection")
{
  World world;
  std::shared_ptr<gateway::Socket> stream;
  world.AddTarget([&](auto& aTarget, const auto& aSocket) {
    stream = aSocket;
    aSocket->Send(aTarget.requests_ == 1 ? Events("id: 1\ndata: a\n\n", false)
                                         : WholeAnswer("second"));
  });
  const auto caller = world.Call(World::Request("/stream/"));
  REQUIRE(world.RunUntil(
    [&] { return absl::StrContains(world.answer_, "data: a"); }));
  world.server_.CloseAfterAnswers();
  stream->Send("0\r\n\r\n");
  REQUIRE(world.RunUntil([&] { return world.IsWhole(); }));
  world.answer_.clear();
  caller->Send(World::Request("/once/"));
  REQUIRE(world.RunUntil([&] { return world.answerClosed_; }));
  CHECK(absl::StrContains(world.answer_, "second"));
  CHECK(absl::StrContains(world.answer_, "Connection: close"));
}

// Guards against a process that exits while slow callers wait for the rest of
// their answers.
TEST_CASE("a stopping host knows of answers that slow callers haven't taken")
{
  // More than the kernel takes at once.
  constexpr std::size_t kBytes = 64U << 20U;
  World world;
  gateway::Server server(
    world.loop_,
    gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
    [] { return lycheeplank::catalog::RequestLimits(); },
    [&server](const gateway::ServerConnectionPtr& aCaller) {
      server.CloseAfterAnswers();
      aCaller->Reply(200, {}, std::string(kBytes, 'x'));
    });
  std::shared_ptr<gateway::Socket> caller;
  std::size_t received = 0;
  gateway::Connect(world.loop_,
                   gateway::Tcp::endpoint(
                     boost::asio::ip::make_address("127.0.0.1"), server.Port()),
                   absl::Seconds(5),
                   [&](std::shared_ptr<gateway::Socket> aSocket, auto) {
                     caller = std::move(aSocket);
                     caller->Open({ [&](std::string& aData) {
                                     received += aData.size();
                                     aData.clear();
                                   },
                                    {},
                                    {} });
                     caller->SetReading(false);
                     caller->Send(World::Request("/"));
                   });
  REQUIRE(world.RunUntil([&] { return server.HasUnsent(); }));
  CHECK(server.Open() == 0);
  caller->SetReading(true);
  CHECK(world.RunUntil([&] { return received > kBytes; }));
  CHECK_FALSE(server.HasUnsent());
}

// Guards against a waiting request without an answer at the exit.
TEST_CASE("a host that exits refuses a request that waits to be sent")
{
  LongWorld world;
  const auto running = world.Call(LongWorld::LongRequest());
  REQUIRE(world.RunUntil([&] { return world.target_.requests_ == 1; }));
  world.caller_ = world.Call(LongWorld::LongRequest());
  REQUIRE(
    world.RunUntil([&] { return world.host_.waiting_.entries_.size() == 1; }));
  StopSince(world, absl::Milliseconds(7600));
  gateway::EndRequests(world.host_);
  // The answers to both callers.
  CHECK(world.RunUntil([&] {
    return absl::StrContains(world.answer_, "HTTP/1.1 503") &&
           absl::StrContains(world.answer_, "HTTP/1.1 504");
  }));
  CHECK(world.target_.requests_ == 1);
}
