#include <absl/strings/match.h>
#include <catch2/catch.hpp>

#include "gateway-world.h"

// Tests how requests wait for memory if hosts schedule by priority.

using lycheeplank::test::FakeTarget;
using lycheeplank::test::World;
namespace catalog = lycheeplank::catalog;
namespace gateway = lycheeplank::gateway;

namespace {

// A world with routes of two priorities and one target that doesn't answer and
// has memory for one request at a time.
struct PriorityWorld : World
{
  PriorityWorld()
    : target_(
        AddTarget([](FakeTarget&, const std::shared_ptr<gateway::Socket>&) {}))
  {
    for (const auto* prefix : { "/p0/", "/p1/" }) {
      auto& route = AddRoute(prefix, catalog::RepeatPolicy::Once, 1);
      route.timeout_ = absl::Seconds(15);
      route.goal_ = absl::Seconds(4);
      route.maxGap_ = absl::Seconds(8);
      route.priority_ = route.prefix_ == "/p0/" ? 0 : 1;
    }
    catalog_.services_["s"].memoryTokens_ = 100;
    Publish();
    host_.settings_.priorityScheduling_ = true;
    host_.members_.at("t1").target_.weights_["m"] = 1;
  }

  // Sends a request and waits until it is sent on or queued.
  void Arrive(const std::string& aPath)
  {
    const auto before = target_.requests_ + host_.waiting_.entries_.size();
    callers_.push_back(Call(
      World::Request(aPath, "X-Model: m\r\nX-Token-Count: 60,0\r\n", "x")));
    REQUIRE(RunUntil([&] {
      return target_.requests_ + host_.waiting_.entries_.size() > before;
    }));
  }

  FakeTarget& target_;
  std::vector<std::shared_ptr<gateway::Socket>> callers_;
};

} // namespace

// Guards against urgent requests that evict each other, and against a start by
// arrival.
TEST_CASE("urgent requests wait for memory and start before less urgent ones")
{
  PriorityWorld world;
  world.Arrive("/p0/");
  world.Arrive("/p1/");
  world.Arrive("/p0/");
  CHECK(world.target_.requests_ == 1);
  CHECK(world.host_.waiting_.entries_.size() == 2);
  world.callers_.front()->Close();
  REQUIRE(world.RunUntil([&] {
    gateway::StartWaitingRequests(world.host_);
    return world.target_.requests_ == 2;
  }));
  REQUIRE(world.host_.waiting_.entries_.size() == 1);
  CHECK(world.host_.waiting_.entries_.front().priority_ == 3);
}

// Guards the other deployments: an urgent request is sent at once.
TEST_CASE("without priority scheduling an urgent request doesn't wait")
{
  PriorityWorld world;
  world.host_.settings_.priorityScheduling_ = false;
  world.Arrive("/p0/");
  world.Arrive("/p0/");
  world.Arrive("/p1/");
  CHECK(world.target_.requests_ == 2);
  CHECK(world.host_.waiting_.entries_.size() == 1);
}

// Guards against refusals without a trace of what decided them, and against
// callers that are sent away without a time to come back.
TEST_CASE("a request that becomes hopeless is refused and counted")
{
  PriorityWorld world;
  world.Arrive("/p0/");
  world.Arrive("/p1/");
  world.Arrive("/p1/");
  // The throughput is known, and nothing has started for long.
  auto& throughput = world.host_.waiting_.throughputs_["s"];
  throughput.seconds_ = 1e6;
  gateway::StartWaitingRequests(world.host_);
  CHECK(world.host_.waiting_.entries_.size() == 1);
  REQUIRE(world.RunUntil([&] { return world.IsWhole(); }));
  CHECK(absl::StartsWith(world.answer_, "HTTP/1.1 503"));
  CHECK(absl::StrContains(world.answer_, "Retry-After: "));
  const auto& metrics = world.host_.metrics_;
  CHECK(metrics.CounterValue("refusals_total", "expected_too_late") == 1.0);
  CHECK(metrics.CounterValue("refusals_by_priority_total", "3") == 1.0);
  CHECK(metrics.CounterValue("refusals_by_data_centre_total", "a") == 1.0);
}
