#include "lycheeplank/overload.h"

#include <catch2/catch.hpp>

namespace fleet = lycheeplank::fleet;
namespace overload = lycheeplank::overload;
namespace request_queue = lycheeplank::request_queue;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kGoal = absl::Milliseconds(800);
constexpr absl::Duration kMaxWait = absl::Milliseconds(3200);

request_queue::QueuedRequest
MakeQueued(std::uint64_t aId,
           std::uint32_t aPriority,
           const std::string& aWorkspace = {},
           absl::Time aArrivedAt = kStart)
{
  request_queue::QueuedRequest request{
    aId, aArrivedAt, aArrivedAt + kGoal, aArrivedAt + kMaxWait
  };
  request.priority_ = aPriority;
  request.workspace_ = aWorkspace;
  request.tokens_ = 1000;
  return request;
}

// Starts ten of the waiting requests in 700 ms; returns the end of this time.
absl::Time
StartTen(request_queue::Queue& aQueue)
{
  auto now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += absl::Milliseconds(70);
    const auto order = request_queue::StartOrder(aQueue, now);
    request_queue::StartRequest(aQueue, order.front().id_, now);
  }
  return now;
}

} // namespace

// Guards against requests that wait in vain until their deadline.
TEST_CASE("requests that become hopeless are removed at that moment")
{
  request_queue::Queue queue;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    request_queue::AddRequest(queue, MakeQueued(id, 0, "a"), kStart);
  }
  const overload::Loads none;
  CHECK(overload::RemoveHopeless(queue, none, kStart).empty());
  auto now = StartTen(queue);
  const auto hopeless = overload::RemoveHopeless(queue, none, now);
  CHECK(hopeless.size() > 10);
  CHECK(queue.entries_.size() > 15);
  // While nothing starts, the remaining ones become hopeless, too.
  const auto left = queue.entries_.size();
  now += absl::Milliseconds(1500);
  CHECK(overload::RemoveHopeless(queue, none, now).size() > left / 2);
}

// Guards against refusals by a throughput that isn't known yet: a small host
// starts few requests in a second.
TEST_CASE("a request isn't refused before the throughput is known")
{
  request_queue::Queue queue;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    request_queue::AddRequest(queue, MakeQueued(id, 0), kStart);
  }
  const overload::Loads none;
  CHECK(overload::RemoveHopeless(queue, none, kStart + absl::Milliseconds(400))
          .empty());
}

// Guards against less urgent requests that wait for capacity which more urgent
// ones take as they arrive, and against urgent ones that are refused with them.
TEST_CASE("arrivals of more urgent requests prolong the expected wait")
{
  request_queue::Queue queue;
  for (std::uint64_t id = 1; id <= 14; ++id) {
    request_queue::AddRequest(queue, MakeQueued(id, 0, "a"), kStart);
  }
  const auto now = StartTen(queue);
  fleet::PriorityLoads loads;
  const auto less = MakeQueued(0, 1, "a", now);
  const auto before = overload::ExpectedWait(queue, loads, less, now);
  CHECK(before > absl::Milliseconds(200));
  CHECK(before < kGoal);
  for (int i = 0; i < 80; ++i) {
    fleet::RecordArrival(
      loads, 0, 1000, now - absl::Milliseconds(20 * (80 - i)));
  }
  CHECK(overload::ExpectedWait(queue, loads, less, now) > 5.0 * before);
  const auto& urgent = queue.entries_.front();
  const auto wait = overload::ExpectedWait(queue, loads, urgent, now);
  CHECK(wait > absl::ZeroDuration());
  CHECK(wait == overload::ExpectedWait(queue, {}, urgent, now));
  const auto other = MakeQueued(0, 0, "b", now);
  CHECK(overload::ExpectedWait(queue, loads, other, now) < before);
  CHECK(request_queue::WorkspaceShare(queue, urgent) == 1.0);
  CHECK(request_queue::WorkspaceShare(queue, other) == 0.0);
}

TEST_CASE("a request is sent, waits or is refused by what it is worth")
{
  overload::Situation situation;
  situation.goalLeft_ = kGoal;
  situation.timeLeft_ = kMaxWait;
  CHECK(overload::Decide(situation).action_ == overload::Action::Wait);
  situation.hasRoom_ = true;
  CHECK(overload::Decide(situation).action_ == overload::Action::Send);
  situation.hasRoom_ = false;
  situation.expectedWait_ = 0.95 * kMaxWait;
  const auto late = overload::Decide(situation);
  CHECK(late.action_ == overload::Action::Refuse);
  CHECK(late.reason_ == overload::Reason::QueueFull);
  // The same wait within the goal is worth more.
  situation.goalLeft_ = kMaxWait;
  CHECK(overload::Decide(situation).action_ == overload::Action::Wait);
  situation.expectedWait_ = kMaxWait;
  situation.isWaiting_ = true;
  CHECK(overload::Decide(situation).reason_ ==
        overload::Reason::ExpectedTooLate);
  situation.timeLeft_ = absl::ZeroDuration();
  CHECK(overload::Decide(situation).reason_ == overload::Reason::WaitedTooLong);
}

// Guards against callers that all return at once or later than they wait, and
// against less urgent ones that return first.
TEST_CASE("Retry-After spreads callers, the most urgent first")
{
  overload::Situation situation;
  situation.timeLeft_ = absl::Seconds(3);
  const auto after = [&](std::uint32_t aPriority, double aShare, double aDraw) {
    situation.priority_ = aPriority;
    situation.workspaceShare_ = aShare;
    situation.draw_ = aDraw;
    return overload::RetryAfter(situation);
  };
  CHECK(after(0, 0.0, 0.0) == overload::kMinRetryAfter);
  CHECK(after(9, 9.0, 1.0) == absl::Seconds(1));
  CHECK(after(0, 1.0, 0.9) < after(2, 1.0, 0.1));
  CHECK(after(1, 0.5, 0.5) < after(1, 1.5, 0.5));
  CHECK(after(1, 1.0, 0.2) < after(1, 1.0, 0.8));
  situation.expectedWait_ = absl::Milliseconds(400);
  CHECK(after(9, 9.0, 1.0) == absl::Milliseconds(400));
  situation.timeLeft_ = absl::ZeroDuration();
  CHECK(after(9, 9.0, 1.0) == overload::kMinRetryAfter);
}
