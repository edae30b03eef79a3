#include "lycheeplank/body_budget.h"

#include <algorithm>
#include <random>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace bb = lycheeplank::body_budget;

namespace {

constexpr std::uint64_t kMiB = 1U << 20U;
constexpr std::uint64_t kBody = 4 * kMiB;
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

bb::Budget
BudgetOf(std::uint64_t aMemoryMb)
{
  bb::Budget budget;
  budget.bytes_ = bb::MemoryOf(aMemoryMb * 1000000, 4100).bodyBytes_;
  return budget;
}

bb::Answer
Begin(bb::Budget& aBudget,
      std::uint64_t aId,
      const std::string& aAddress,
      std::uint64_t aBytes,
      absl::Time aNow)
{
  bb::RecordHeld(aBudget, aId, aAddress, bb::kUnreservedBytes, 16384, aNow);
  return bb::Reserve(aBudget, aId, aBytes, aNow);
}

// Begins large requests, each of an address of its own, until one waits;
// returns its id. aComplete: those with memory are complete.
std::uint64_t
Fill(bb::Budget& aBudget, absl::Time aNow, bool aComplete = false)
{
  for (std::uint64_t id = 1;; ++id) {
    const auto address = absl::StrCat("a", id);
    if (Begin(aBudget, id, address, kBody, aNow) != bb::Answer::Granted) {
      return id;
    }
    if (aComplete) {
      bb::Complete(aBudget, id, kBody);
    }
  }
}

// The sums that the budget keeps, counted again.
void
CheckSums(const bb::Budget& aBudget)
{
  std::uint64_t used = 0;
  std::uint64_t large = 0;
  std::uint64_t waiting = 0;
  absl::flat_hash_map<std::string, std::uint64_t> ofAddresses;
  for (const auto& [id, request] : aBudget.requests_) {
    used += request.held_;
    large += request.held_ > bb::kSmallBytes ? request.held_ : 0;
    waiting += request.wanted_ != 0 ? 1 : 0;
    if (request.held_ > 0) {
      ofAddresses[request.address_] += request.held_;
    }
  }
  CHECK(aBudget.used_ == used);
  CHECK(aBudget.largeUsed_ == large);
  CHECK(aBudget.waiting_ == waiting);
  CHECK(aBudget.usedByAddress_ == ofAddresses);
}

bool
IsEnded(const bb::Decision& aDecision, std::uint64_t aId, bb::Reason aReason)
{
  return std::any_of(
    aDecision.ended_.begin(), aDecision.ended_.end(), [&](const auto& aEnded) {
      return aEnded.id_ == aId && aEnded.reason_ == aReason;
    });
}

void
ReleaseEnded(bb::Budget& aBudget, const bb::Decision& aDecision)
{
  for (const auto& ended : aDecision.ended_) {
    bb::Release(aBudget, ended.id_);
  }
}

} // namespace

// Guards against parts whose sum exceeds the memory of small hosts.
TEST_CASE("the parts of a process's memory fit into it")
{
  const std::uint64_t bytes = GENERATE(110, 160, 256, 512) * 1000000ULL;
  const auto memory = bb::MemoryOf(bytes, 4100);
  const auto connections = memory.connections_ * 6 * 1024;
  CHECK(memory.bodyBytes_ + memory.answerBytes_ + memory.unsentBytes_ +
          connections + 24 * kMiB <
        bytes);
  CHECK(memory.bodyBytes_ > 2 * kBody);
  CHECK(memory.connections_ >= 1000);
  CHECK(memory.connections_ <= 3900);
}

TEST_CASE("a process without limits refuses nothing")
{
  const auto memory = bb::MemoryOf(0, 0);
  bb::Budget budget;
  budget.bytes_ = memory.bodyBytes_;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    CHECK(Begin(budget, id, "a", 1000 * kMiB, kStart) == bb::Answer::Granted);
  }
  CHECK(bb::Decide(budget, kStart + absl::Hours(1)).ended_.empty());
  CHECK(memory.connections_ > 1000000);
}

TEST_CASE("the limit of descriptors leaves a reserve")
{
  CHECK(bb::MemoryOf(0, 500).connections_ == 300);
  CHECK(bb::MemoryOf(0, 100).connections_ > 0);
}

// Guards against callers within the limits who are refused: tens of bodies of
// full size from one address, on a host of 110 MB whose link has 200 Mbit/s.
TEST_CASE("tens of bodies of full size at once are all read")
{
  constexpr std::uint64_t kBodies = 30;
  constexpr auto kTick = absl::Milliseconds(25);
  constexpr std::uint64_t kBytesPerTick = 25000000 / 40;
  auto budget = BudgetOf(110);
  auto now = kStart;
  absl::flat_hash_map<std::uint64_t, std::uint64_t> left;
  for (std::uint64_t id = 1; id <= kBodies; ++id) {
    if (Begin(budget, id, "a", kBody, now) == bb::Answer::Granted) {
      left[id] = kBody;
    }
  }
  CHECK(left.size() >= 4);
  std::uint64_t completed = 0;
  while (completed < kBodies && now < kStart + absl::Seconds(30)) {
    now += kTick;
    auto bytes = kBytesPerTick / std::max<std::size_t>(1, left.size());
    std::vector<std::uint64_t> whole;
    for (auto& [id, rest] : left) {
      bytes = std::min(bytes, rest);
      bb::RecordHeld(budget, id, "a", 0, bytes, now);
      rest -= bytes;
      if (rest == 0) {
        whole.push_back(id);
      }
    }
    for (const auto id : whole) {
      bb::Complete(budget, id, kBody);
      bb::Release(budget, id);
      left.erase(id);
      ++completed;
    }
    const auto decision = bb::Decide(budget, now);
    REQUIRE(decision.ended_.empty());
    for (const auto id : decision.granted_) {
      left[id] = kBody;
    }
    CheckSums(budget);
    CHECK(budget.used_ <= budget.bytes_);
  }
  CHECK(completed == kBodies);
}

TEST_CASE("a single body within the budget gets memory when load is low")
{
  auto budget = BudgetOf(110);
  CHECK(Begin(budget, 1, "a", budget.bytes_, kStart) == bb::Answer::Granted);
  bb::Release(budget, 1);
  CHECK(Begin(budget, 2, "a", budget.bytes_ + 1, kStart) ==
        bb::Answer::TooLarge);
}

// Guards against bodies that stop just short of their end and keep the memory
// from others.
TEST_CASE("bodies that make no progress are ended when others wait")
{
  auto budget = BudgetOf(110);
  auto now = kStart;
  std::uint64_t id = 0;
  std::vector<std::uint64_t> stalled;
  for (int address = 0; address < 20; ++address) {
    ++id;
    if (Begin(budget, id, absl::StrCat("bad", address), kBody, now) ==
        bb::Answer::Granted) {
      bb::RecordHeld(budget, id, "", 0, kBody - 64, now);
      stalled.push_back(id);
    } else {
      bb::Release(budget, id);
    }
  }
  REQUIRE_FALSE(stalled.empty());
  // Nobody waits, so nobody is ended.
  now += absl::Seconds(2);
  CHECK(bb::Decide(budget, now).ended_.empty());
  const auto good = ++id;
  CHECK(Begin(budget, good, "good", kBody, now) == bb::Answer::Waits);
  const auto decision = bb::Decide(budget, now);
  REQUIRE(decision.ended_.size() == 1);
  CHECK(IsEnded(decision, stalled.front(), bb::Reason::StalledBody));
  ReleaseEnded(budget, decision);
  const auto next = bb::Decide(budget, now);
  CHECK(next.granted_ == std::vector<std::uint64_t>{ good });
  CHECK(next.ended_.empty());
  CheckSums(budget);
}

// Guards against bodies that look stalled because the host stood still.
TEST_CASE("no body is ended for lack of progress after a pause of the host")
{
  auto budget = BudgetOf(110);
  Fill(budget, kStart);
  const auto now = kStart + absl::Seconds(3);
  CHECK(bb::Decide(budget, now, now).ended_.empty());
  CHECK(bb::Decide(budget, now + absl::Milliseconds(499), now).ended_.empty());
  CHECK(bb::Decide(budget, now + bb::kProgressTime, now).ended_.size() == 1);
}

TEST_CASE("of several bodies the one with the least progress is ended")
{
  auto budget = BudgetOf(110);
  auto now = kStart;
  const auto id = Fill(budget, now);
  // The second trickles, the third gets nothing, the others are read.
  for (int tick = 0; tick < 40; ++tick) {
    now += absl::Milliseconds(50);
    for (std::uint64_t one = 1; one < id; ++one) {
      const std::uint64_t bytes = one == 2 ? 100 : one == 3 ? 0 : 20000;
      bb::RecordHeld(budget, one, "", 0, bytes, now);
    }
  }
  auto decision = bb::Decide(budget, now);
  REQUIRE(decision.ended_.size() == 1);
  CHECK(IsEnded(decision, 3, bb::Reason::StalledBody));
  ReleaseEnded(budget, decision);
  CHECK(bb::Decide(budget, now).granted_ == std::vector<std::uint64_t>{ id });
  CHECK(Begin(budget, id + 1, "b", kBody, now) == bb::Answer::Waits);
  decision = bb::Decide(budget, now);
  REQUIRE(decision.ended_.size() == 1);
  CHECK(IsEnded(decision, 2, bb::Reason::StalledBody));
}

// Guards against requests that are ended although they may have run.
TEST_CASE("complete requests keep their memory and aren't ended")
{
  auto budget = BudgetOf(110);
  const auto id = Fill(budget, kStart, true);
  auto decision = bb::Decide(budget, kStart + absl::Seconds(4));
  CHECK(decision.ended_.empty());
  CHECK(decision.granted_.empty());
  decision = bb::Decide(budget, kStart + bb::kMaxWait + absl::Seconds(1));
  REQUIRE(decision.ended_.size() == 1);
  CHECK(IsEnded(decision, id, bb::Reason::NoMemory));
}

TEST_CASE("no address holds more than half of the budget")
{
  auto budget = BudgetOf(110);
  const std::uint64_t size = GENERATE(kMiB / 32, kMiB, kBody);
  std::uint64_t granted = 0;
  for (std::uint64_t id = 1; id <= 5000; ++id) {
    if (Begin(budget, id, "a", size, kStart) == bb::Answer::Granted) {
      granted += size;
    } else {
      bb::Release(budget, id);
    }
  }
  CHECK(granted <= budget.bytes_ / 2);
  CHECK(granted + size + bb::kUnreservedBytes > budget.bytes_ / 2);
  CHECK(Begin(budget, 6000, "b", size, kStart) == bb::Answer::Granted);
}

// Guards against large bodies that keep all memory from short requests.
TEST_CASE("small requests find memory beside large ones")
{
  auto budget = BudgetOf(110);
  auto id = Fill(budget, kStart);
  for (int count = 0; count < 50; ++count) {
    ++id;
    CHECK(Begin(budget, id, absl::StrCat("a", id), bb::kSmallBytes, kStart) ==
          bb::Answer::Granted);
  }
}

TEST_CASE("waiting requests of addresses that hold less go first")
{
  auto budget = BudgetOf(110);
  std::uint64_t id = 0;
  while (Begin(budget, ++id, "many", kBody, kStart) == bb::Answer::Granted) {
  }
  const auto ofMany = id;
  while (Begin(budget, ++id, "more", kBody, kStart) == bb::Answer::Granted) {
  }
  const auto ofMore = id;
  CHECK(Begin(budget, ++id, "one", kBody, kStart) == bb::Answer::Waits);
  bb::Release(budget, 1);
  const auto decision = bb::Decide(budget, kStart);
  REQUIRE_FALSE(decision.granted_.empty());
  CHECK(decision.granted_.front() == id);
  CHECK(budget.requests_.at(ofMore).wanted_ > 0);
  CHECK(budget.requests_.at(ofMany).wanted_ > 0);
}

// Guards against many requests that need no reservation, such as heads that
// stop short of their end.
TEST_CASE("requests without a reservation are ended beyond the budget")
{
  auto budget = BudgetOf(64);
  std::uint64_t id = 0;
  while (budget.used_ <= budget.bytes_ + 100000) {
    ++id;
    bb::RecordHeld(budget,
                   id,
                   absl::StrCat("a", id),
                   16384,
                   id % 2 == 0 ? 16384 : 1,
                   kStart);
  }
  const auto decision = bb::Decide(budget, kStart);
  CHECK(decision.ended_.size() >= 6);
  for (const auto& ended : decision.ended_) {
    CHECK(ended.id_ % 2 == 1);
  }
  ReleaseEnded(budget, decision);
  CHECK(budget.used_ <= budget.bytes_);
  CheckSums(budget);
}

// The load: clients of all kinds that begin, grow, stall, complete and leave at
// random.
TEST_CASE("the sums hold and all waits end under any sequence of events")
{
  const unsigned seed = GENERATE(range(1U, 20U));
  std::mt19937 random(seed);
  auto budget = BudgetOf(110);
  auto now = kStart;
  std::uint64_t next = 1;
  std::vector<std::uint64_t> open;
  for (int step = 0; step < 3000; ++step) {
    now += absl::Milliseconds(random() % 20);
    const auto pick = open.empty() ? 0 : random() % open.size();
    switch (random() % 6) {
      case 0:
      case 1: {
        const auto size =
          random() % 2 == 0 ? random() % 60000 : random() % kBody;
        Begin(
          budget, next, absl::StrCat("a", random() % 10), size + 17000, now);
        open.push_back(next++);
        break;
      }
      case 2:
        if (!open.empty() && budget.requests_.contains(open[pick])) {
          bb::RecordHeld(budget, open[pick], "", 0, random() % 100000, now);
        }
        break;
      case 3:
        if (!open.empty() && budget.requests_.contains(open[pick]) &&
            budget.requests_.at(open[pick]).wanted_ == 0) {
          bb::Complete(budget, open[pick], random() % kBody);
        }
        break;
      case 4:
        if (!open.empty()) {
          bb::Release(budget, open[pick]);
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(pick));
        }
        break;
      default:
        ReleaseEnded(budget, bb::Decide(budget, now));
    }
  }
  CheckSums(budget);
  now += bb::kMaxWait + absl::Seconds(1);
  ReleaseEnded(budget, bb::Decide(budget, now));
  ReleaseEnded(budget, bb::Decide(budget, now));
  CHECK(budget.waiting_ == 0);
  for (const auto id : open) {
    bb::Release(budget, id);
  }
  CheckSums(budget);
  CHECK(budget.used_ == 0);
}

TEST_CASE("the slowest readers are disconnected first")
{
  const auto now = kStart + absl::Seconds(10);
  const std::vector<bb::Reader> readers{
    { 1, 100000, 5000000, kStart },
    { 2, 100000, 1000, kStart },
    { 3, 100000, 0, now },
    { 4, 100000, 0, kStart },
    { 5, 100000, 2000000, now - absl::Seconds(1) },
  };
  CHECK(bb::SlowestReaders(readers, 1, now) == std::vector<std::uint64_t>{ 4 });
  CHECK(bb::SlowestReaders(readers, 150000, now) ==
        std::vector<std::uint64_t>{ 4, 3 });
  CHECK(bb::SlowestReaders(readers, 1000000, now) ==
        std::vector<std::uint64_t>{ 4, 3, 2, 1, 5 });
  CHECK(bb::SlowestReaders({}, 10, now).empty());
}

TEST_CASE("the longest idle connection of the busiest address is closed")
{
  CHECK(bb::LeastUseful({ { 1, kStart, 1 },
                          { 2, kStart + absl::Seconds(2), 5 },
                          { 3, kStart + absl::Seconds(1), 5 } }) == 2);
  CHECK(bb::LeastUseful({ { 1, kStart, 1 } }) == 0);
}
