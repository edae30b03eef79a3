#include "lycheeplank/request_queue.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace request_queue = lycheeplank::request_queue;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kGoal = absl::Milliseconds(800);
constexpr absl::Duration kMaxWait = absl::Milliseconds(3200);

request_queue::QueuedRequest
MakeQueued(std::uint64_t aId, absl::Time aArrivedAt)
{
  return { aId, aArrivedAt, aArrivedAt + kGoal, aArrivedAt + kMaxWait };
}

// Simulates ten seconds in which prompts arrive 30% faster than they can be
// started. Returns the share that starts within its goal.
double
InTimeShare(unsigned aSeed, bool aInArrivalOrder)
{
  std::mt19937 random(aSeed);
  std::exponential_distribution<> gap(1.3);
  constexpr absl::Duration kStartEvery = absl::Milliseconds(50);
  request_queue::Queue queue;
  std::deque<request_queue::QueuedRequest> line;
  std::uint64_t id = 0;
  int arrived = 0;
  int inTime = 0;
  auto next = kStart;
  for (auto now = kStart; now < kStart + absl::Seconds(10);
       now += kStartEvery) {
    while (next <= now) {
      ++arrived;
      const auto entry = MakeQueued(++id, next);
      if (aInArrivalOrder) {
        line.push_back(entry);
      } else {
        request_queue::Enqueue(queue, entry, now);
      }
      next += gap(random) * kStartEvery;
    }
    request_queue::RemoveExpired(queue, now);
    while (!line.empty() && line.front().callerLeavesAt_ <= now) {
      line.pop_front();
    }
    if (aInArrivalOrder && !line.empty()) {
      inTime += line.front().goalAt_ >= now ? 1 : 0;
      line.pop_front();
    }
    if (const auto started = request_queue::NextToStart(queue, now)) {
      const auto found = std::find_if(
        queue.entries_.begin(), queue.entries_.end(), [&](const auto& aEntry) {
          return aEntry.id_ == *started;
        });
      inTime += found->goalAt_ >= now ? 1 : 0;
      request_queue::StartRequest(queue, *started, now);
    }
  }
  return static_cast<double>(inTime) / arrived;
}

} // namespace

TEST_CASE("while all can meet their goals, the oldest starts first")
{
  request_queue::Queue queue;
  request_queue::Enqueue(queue, MakeQueued(1, kStart), kStart);
  request_queue::Enqueue(queue, MakeQueued(2, kStart), kStart);
  CHECK(request_queue::NextToStart(queue, kStart) == 1U);
}

TEST_CASE("requests that can still meet their goals go before late ones")
{
  request_queue::Queue queue;
  request_queue::Enqueue(queue, MakeQueued(1, kStart), kStart);
  request_queue::Enqueue(queue, MakeQueued(2, kStart + kGoal), kStart + kGoal);
  const auto now = kStart + kGoal + absl::Milliseconds(100);
  CHECK(request_queue::NextToStart(queue, now) == 2U);
  CHECK(request_queue::RemoveRequest(queue, 2));
  CHECK(request_queue::NextToStart(queue, now) == 1U);
}

TEST_CASE("requests whose callers no longer wait are removed")
{
  request_queue::Queue queue;
  request_queue::Enqueue(queue, MakeQueued(1, kStart), kStart);
  request_queue::Enqueue(
    queue, MakeQueued(2, kStart + absl::Seconds(1)), kStart);
  CHECK(request_queue::RemoveExpired(queue, kStart + kMaxWait) ==
        std::vector<std::uint64_t>{ 1 });
  CHECK(queue.entries_.size() == 1);
  CHECK_FALSE(request_queue::RemoveRequest(queue, 1));
}

TEST_CASE(
  "a request that could not start before its caller leaves is refused at once")
{
  request_queue::Queue queue;
  queue.startInterval_ = 0.1;
  std::uint64_t id = 0;
  absl::optional<absl::Duration> refused;
  while (!refused && id < 1000) {
    refused = request_queue::Enqueue(queue, MakeQueued(++id, kStart), kStart);
  }
  REQUIRE(refused);
  CHECK(*refused > absl::ZeroDuration());
  // The callers' waiting time divided by the start interval.
  CHECK(id == 34);
}

// Guards against a wrong start interval: now and then a single request waits
// for a moment.
TEST_CASE("rare starts do not make the queue count as full")
{
  request_queue::Queue queue;
  auto now = kStart;
  for (std::uint64_t id = 1; id < 50; ++id) {
    request_queue::Enqueue(queue, MakeQueued(id, now), now);
    request_queue::StartRequest(queue, id, now + absl::Milliseconds(20));
    now += absl::Milliseconds(900);
  }
  for (std::uint64_t id = 100; id < 120; ++id) {
    CHECK_FALSE(request_queue::Enqueue(queue, MakeQueued(id, now), now));
  }
}

// Guards the order of starts against lateness of all requests under overload.
TEST_CASE("under a 30% overload most requests start within their goals")
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

TEST_CASE("small requests may start before the others, oldest first")
{
  request_queue::Queue queue;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    auto entry = MakeQueued(id, kStart);
    entry.isSmall_ = id % 2 == 0;
    request_queue::Enqueue(queue, entry, kStart);
  }
  CHECK(request_queue::SmallRequests(queue) ==
        std::vector<std::uint64_t>{ 2, 4 });
  CHECK(request_queue::NextToStart(queue, kStart) == 1U);
}

namespace {

// Simulates short and long prompts that share one target's memory, which the
// long ones alone would fill. Returns the mean wait of the short ones in
// seconds; those that do not start count with the whole time that their callers
// wait.
double
MeanWaitOfShort(unsigned aSeed, bool aShortFirst)
{
  constexpr double kMemory = 130.0;
  constexpr double kShort = 1.0;
  constexpr absl::Duration kRun = absl::Milliseconds(2500);
  constexpr absl::Duration kStep = absl::Milliseconds(25);
  std::mt19937 random(aSeed);
  std::exponential_distribution<> gap(1.0);
  std::uniform_real_distribution<> longSize(5.0, 25.0);
  std::bernoulli_distribution isShort(0.6);
  request_queue::Queue queue;
  std::map<std::uint64_t, double> sizes;
  std::map<std::uint64_t, absl::Time> arrivals;
  std::multimap<absl::Time, double> running;
  double held = 0.0;
  double waited = 0.0;
  int shorts = 0;
  std::uint64_t id = 0;
  auto next = kStart;
  const auto end = kStart + absl::Seconds(20);
  for (auto now = kStart; now < end; now += kStep) {
    while (!running.empty() && running.begin()->first <= now) {
      held -= running.begin()->second;
      running.erase(running.begin());
    }
    for (; next <= now; next += gap(random) * absl::Milliseconds(90)) {
      const bool small = isShort(random);
      auto entry = MakeQueued(++id, next);
      entry.isSmall_ = small && aShortFirst;
      sizes[id] = small ? kShort : longSize(random);
      arrivals[id] = next;
      shorts += small ? 1 : 0;
      if (request_queue::Enqueue(queue, entry, now) && small) {
        waited += absl::ToDoubleSeconds(kMaxWait);
      }
    }
    for (const auto expired : request_queue::RemoveExpired(queue, now)) {
      waited += sizes[expired] == kShort ? absl::ToDoubleSeconds(kMaxWait) : 0;
    }
    const auto start = [&](std::uint64_t aId) {
      if (held + sizes[aId] > kMemory) {
        return false;
      }
      held += sizes[aId];
      running.emplace(now + kRun, sizes[aId]);
      waited +=
        sizes[aId] == kShort ? absl::ToDoubleSeconds(now - arrivals[aId]) : 0.0;
      request_queue::StartRequest(queue, aId, now);
      return true;
    };
    for (const auto small : request_queue::SmallRequests(queue)) {
      start(small);
    }
    for (auto first = request_queue::NextToStart(queue, now);
         first && start(*first);
         first = request_queue::NextToStart(queue, now)) {
    }
  }
  return waited / shorts;
}

} // namespace

TEST_CASE("short prompts do not wait behind long ones that fill the memory")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CHECK(MeanWaitOfShort(seed, true) < 0.2 * MeanWaitOfShort(seed, false));
  }
}

namespace {

// Returns a request of priority scheduling.
request_queue::QueuedRequest
MakeUrgent(std::uint64_t aId,
           std::uint32_t aPriority,
           const std::string& aWorkspace,
           absl::Time aArrivedAt = kStart,
           bool aIsSmall = false)
{
  auto request = MakeQueued(aId, aArrivedAt);
  request.isSmall_ = aIsSmall;
  request.workspace_ = aWorkspace;
  request.priority_ = aPriority;
  request.tokens_ = aIsSmall ? 100 : 1000;
  return request;
}

std::vector<std::uint64_t>
IdsInOrder(const request_queue::Queue& aQueue, absl::Time aNow)
{
  std::vector<std::uint64_t> ids;
  for (const auto& request : request_queue::StartOrder(aQueue, aNow)) {
    ids.push_back(request.id_);
  }
  return ids;
}

} // namespace

// Guards against less urgent requests and late ones that start first.
TEST_CASE("the most urgent requests start first and late ones last")
{
  request_queue::Queue queue;
  const auto now = kStart + kGoal + absl::Milliseconds(1);
  const std::vector<request_queue::QueuedRequest> requests{
    MakeUrgent(1, 0, "a"),      MakeUrgent(2, 0, "a"),
    MakeUrgent(3, 2, "a", now), MakeUrgent(4, 0, "a", now),
    MakeUrgent(5, 1, "a", now),
  };
  for (const auto& request : requests) {
    request_queue::AddRequest(queue, request, now);
  }
  CHECK(IdsInOrder(queue, now) == std::vector<std::uint64_t>{ 4, 5, 3, 2, 1 });
}

// Guards against a workspace that floods the queue and delays all others.
TEST_CASE("workspaces of one priority start in turn")
{
  request_queue::Queue queue;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    request_queue::AddRequest(queue, MakeUrgent(id, 0, "flood"), kStart);
  }
  request_queue::StartRequest(queue, 1, kStart);
  const auto later = kStart + absl::Milliseconds(1);
  request_queue::AddRequest(queue, MakeUrgent(21, 0, "b", later), later);
  request_queue::AddRequest(queue, MakeUrgent(22, 0, "b", later), later);
  auto order = IdsInOrder(queue, kStart);
  order.resize(4);
  CHECK(order == std::vector<std::uint64_t>{ 22, 20, 21, 19 });
  // What workspaces had before they shared the queue doesn't count.
  while (!queue.entries_.empty()) {
    request_queue::StartRequest(queue, queue.entries_.front().id_, kStart);
  }
  request_queue::AddRequest(queue, MakeUrgent(30, 0, "flood"), kStart);
  request_queue::AddRequest(queue, MakeUrgent(31, 0, "b", later), later);
  CHECK(IdsInOrder(queue, kStart) == std::vector<std::uint64_t>{ 30, 31 });
}

// Guards against small requests that use up the room for which a more urgent
// long one waits.
TEST_CASE("a small request passes others and leaves room for more urgent ones")
{
  request_queue::Pass pass;
  const auto small = [](std::uint32_t aPriority) {
    return MakeUrgent(9, aPriority, "a", kStart, true);
  };
  CHECK(request_queue::MayPass(pass, small(2)));
  request_queue::RecordBlocked(pass, MakeUrgent(1, 1, "a"));
  CHECK_FALSE(request_queue::MayPass(pass, MakeUrgent(2, 0, "a")));
  CHECK(request_queue::MayPass(pass, small(2)));
  auto other = MakeUrgent(3, 2, "a");
  other.service_ = std::string("t");
  CHECK(request_queue::MayPass(pass, other));
  request_queue::RecordBlocked(pass, small(1));
  CHECK_FALSE(request_queue::MayPass(pass, small(1)));
  CHECK(request_queue::MayPass(pass, small(0)));

  request_queue::Queue queue;
  request_queue::AddRequest(queue, MakeUrgent(1, 1, "a"), kStart);
  CHECK(request_queue::LargestBefore(queue, small(2), kStart) == 1000);
  CHECK(request_queue::LargestBefore(queue, small(1), kStart) == 0);
  auto late = small(0);
  late.goalAt_ = kStart;
  CHECK(request_queue::LargestBefore(queue, late, kStart) == 1000);
  CHECK(request_queue::LargestBefore(queue, other, kStart) == 0);
}

// Guards against requests that arrive and take the room for which others wait.
TEST_CASE("a request that arrives waits behind those that go first")
{
  request_queue::Queue queue;
  CHECK_FALSE(request_queue::MustWait(queue, MakeUrgent(9, 1, "a"), kStart));
  request_queue::AddRequest(queue, MakeUrgent(1, 1, "a"), kStart);
  CHECK(request_queue::MustWait(queue, MakeUrgent(9, 1, "b"), kStart));
  CHECK(request_queue::MustWait(queue, MakeUrgent(9, 2, "b"), kStart));
  CHECK_FALSE(request_queue::MustWait(queue, MakeUrgent(9, 0, "b"), kStart));
  const auto late = kStart + kGoal;
  CHECK_FALSE(
    request_queue::MustWait(queue, MakeUrgent(9, 2, "b", late), late));
}
