#include "lycheeplank/waiting.h"

#include <algorithm>
#include <deque>
#include <random>

#include <catch2/catch.hpp>

namespace waiting = lycheeplank::waiting;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kGoal = absl::Milliseconds(800);
constexpr absl::Duration kPatience = absl::Milliseconds(3200);

waiting::Entry
MakeEntry(std::uint64_t aId, absl::Time aArrivedAt)
{
  return { aId, aArrivedAt, aArrivedAt + kGoal, aArrivedAt + kPatience };
}

// Prompts come 30% faster than they can be started for ten seconds. Returns the
// share that starts within its goal.
double
InTimeShare(unsigned aSeed, bool aFirstComeFirstServed)
{
  std::mt19937 random(aSeed);
  std::exponential_distribution<> gap(1.3);
  constexpr absl::Duration kStartEvery = absl::Milliseconds(50);
  waiting::Queue queue;
  std::deque<waiting::Entry> line;
  std::uint64_t id = 0;
  int arrived = 0;
  int inTime = 0;
  auto next = kStart;
  for (auto now = kStart; now < kStart + absl::Seconds(10);
       now += kStartEvery) {
    while (next <= now) {
      ++arrived;
      const auto entry = MakeEntry(++id, next);
      if (aFirstComeFirstServed) {
        line.push_back(entry);
      } else {
        waiting::Add(queue, entry, now);
      }
      next += gap(random) * kStartEvery;
    }
    waiting::TakeExpired(queue, now);
    while (!line.empty() && line.front().leavesAt_ <= now) {
      line.pop_front();
    }
    if (aFirstComeFirstServed && !line.empty()) {
      inTime += line.front().goalAt_ >= now ? 1 : 0;
      line.pop_front();
    }
    if (const auto started = waiting::Next(queue, now)) {
      const auto found = std::find_if(
        queue.entries_.begin(), queue.entries_.end(), [&](const auto& aEntry) {
          return aEntry.id_ == *started;
        });
      inTime += found->goalAt_ >= now ? 1 : 0;
      waiting::Start(queue, *started, now);
    }
  }
  return static_cast<double>(inTime) / arrived;
}

} // namespace

TEST_CASE("while all can be in time, the oldest starts first")
{
  waiting::Queue queue;
  waiting::Add(queue, MakeEntry(1, kStart), kStart);
  waiting::Add(queue, MakeEntry(2, kStart), kStart);
  CHECK(waiting::Next(queue, kStart) == 1U);
}

TEST_CASE("requests that can still be in time go before those that can't")
{
  waiting::Queue queue;
  waiting::Add(queue, MakeEntry(1, kStart), kStart);
  waiting::Add(queue, MakeEntry(2, kStart + kGoal), kStart + kGoal);
  const auto now = kStart + kGoal + absl::Milliseconds(100);
  CHECK(waiting::Next(queue, now) == 2U);
  CHECK(waiting::Remove(queue, 2));
  CHECK(waiting::Next(queue, now) == 1U);
}

TEST_CASE("requests whose callers leave are handed back")
{
  waiting::Queue queue;
  waiting::Add(queue, MakeEntry(1, kStart), kStart);
  waiting::Add(queue, MakeEntry(2, kStart + absl::Seconds(1)), kStart);
  CHECK(waiting::TakeExpired(queue, kStart + kPatience) ==
        std::vector<std::uint64_t>{ 1 });
  CHECK(queue.entries_.size() == 1);
  CHECK_FALSE(waiting::Remove(queue, 1));
}

TEST_CASE("a queue that outlasts all patience refuses at once")
{
  waiting::Queue queue;
  queue.startInterval_ = 0.1;
  std::uint64_t id = 0;
  absl::optional<absl::Duration> refused;
  while (!refused && id < 1000) {
    refused = waiting::Add(queue, MakeEntry(++id, kStart), kStart);
  }
  REQUIRE(refused);
  CHECK(*refused > absl::ZeroDuration());
  // Patience over the interval.
  CHECK(id == 34);
}

// The pattern: now and then one request waits for a moment.
TEST_CASE("starts that are far apart don't make the queue look full")
{
  waiting::Queue queue;
  auto now = kStart;
  for (std::uint64_t id = 1; id < 50; ++id) {
    waiting::Add(queue, MakeEntry(id, now), now);
    waiting::Start(queue, id, now + absl::Milliseconds(20));
    now += absl::Milliseconds(900);
  }
  for (std::uint64_t id = 100; id < 120; ++id) {
    CHECK_FALSE(waiting::Add(queue, MakeEntry(id, now), now));
  }
}

// The pattern that the module answers.
TEST_CASE("under a 30% overload most starts are in time")
{
  double policy = 0.0;
  double firstCome = 0.0;
  constexpr int kSeeds = 100;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    policy += InTimeShare(seed, false) / kSeeds;
    firstCome += InTimeShare(seed, true) / kSeeds;
  }
  INFO("in time " << policy << ", first come first served " << firstCome);
  CHECK(policy > 0.6);
  CHECK(policy > firstCome + 0.2);
}
