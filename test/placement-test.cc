#include "lycheeplank/placement.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace placement = lycheeplank::placement;
namespace config = lycheeplank::config;

namespace {

constexpr double kPrefillRate = 20000.0;
constexpr std::uint32_t kBlockTokens = 2000;

placement::PlacementRequest
MakeRequest()
{
  placement::PlacementRequest request;
  request.promptTokens_ = 40500;
  request.blocks_ = 20;
  request.blockTokens_ = kBlockTokens;
  request.kvBytesPerToken_ = 1000;
  return request;
}

placement::Candidate
MakeCandidate(absl::string_view aName)
{
  placement::Candidate candidate;
  candidate.name_ = aName;
  candidate.load_.age_ = absl::ZeroDuration();
  candidate.maxRuns_ = 16;
  candidate.prefillTokensPerSecond_ = kPrefillRate;
  candidate.meanSlotTime_ = absl::Seconds(1);
  return candidate;
}

placement::ImportSource
MakeSource(absl::string_view aStore, std::uint32_t aBlocks)
{
  placement::ImportSource source;
  source.store_ = aStore;
  source.leadingBlocks_ = aBlocks;
  for (std::uint32_t i = 0; i < aBlocks; ++i) {
    source.generations_.push_back(100 + i);
  }
  source.linkBytesPerSecond_ = 100e6;
  source.diskBytesPerSecond_ = 50e6;
  return source;
}

std::vector<placement::Follower>
MakeHosts(std::size_t aHosts, std::size_t aDataCentres)
{
  std::vector<placement::Follower> hosts(aHosts);
  for (std::size_t i = 0; i < aHosts; ++i) {
    hosts[i].name_ = "h" + std::to_string(i);
    hosts[i].dataCentre_ = "dc" + std::to_string(i % aDataCentres);
  }
  return hosts;
}

} // namespace

TEST_CASE("no decision is returned without candidates")
{
  CHECK(!placement::ChooseTarget(MakeRequest(), {}, {}));
}

TEST_CASE("the target that holds the prompt is chosen when all are idle")
{
  auto holder = MakeCandidate("e2");
  holder.cachedBlocks_ = 20;
  const auto decision = placement::ChooseTarget(
    MakeRequest(), { MakeCandidate("e1"), holder, MakeCandidate("e3") }, {});
  REQUIRE(decision);
  CHECK(decision->target_ == "e2");
  CHECK(decision->computedTokens_ == 500);
  CHECK(!decision->import_);
}

TEST_CASE(
  "an idle target with an import is preferred to a holder with a long queue")
{
  auto holder = MakeCandidate("e2");
  holder.cachedBlocks_ = 20;
  holder.load_.queuedPrefillTokens_ = 100000;
  const auto decision = placement::ChooseTarget(
    MakeRequest(), { MakeCandidate("e1"), holder }, { MakeSource("s1", 20) });
  REQUIRE(decision);
  CHECK(decision->target_ == "e1");
  REQUIRE(decision->import_);
  CHECK(decision->import_->store_ == "s1");
  CHECK(decision->import_->blocks_ == 20);
  CHECK(decision->import_->generations_.back() == 119);
  CHECK(decision->import_->bytes_ == 40000000);
}

TEST_CASE("blocks are computed rather than imported over a busy link")
{
  auto source = MakeSource("s1", 20);
  source.queuedBytes_ = 1000000000;
  const auto decision =
    placement::ChooseTarget(MakeRequest(), { MakeCandidate("e1") }, { source });
  REQUIRE(decision);
  CHECK(!decision->import_);
  CHECK(decision->computedTokens_ == 40500);
}

TEST_CASE("blocks that arrive during the queue wait are imported, the tail is "
          "computed")
{
  auto candidate = MakeCandidate("e1");
  candidate.load_.queuedPrefillTokens_ = 20000;
  auto source = MakeSource("s1", 20);
  // A block takes 0.2 s to import and 0.1 s to compute; the wait is 1 s.
  source.linkBytesPerSecond_ = 10e6;
  const auto decision =
    placement::ChooseTarget(MakeRequest(), { candidate }, { source });
  REQUIRE(decision);
  REQUIRE(decision->import_);
  CHECK(decision->import_->blocks_ == 5);
  CHECK(decision->estimate_.ttftSeconds_ ==
        Approx(1.0 + 30500.0 / kPrefillRate));
}

TEST_CASE(
  "the chosen number of blocks to import has the lowest cost of all numbers")
{
  for (std::uint64_t queued : { 0, 10000, 30000, 60000 }) {
    for (double rate : { 5e6, 15e6, 25e6, 100e6 }) {
      for (std::uint64_t backlog : { 0, 5000000, 20000000 }) {
        for (double recompute : { 0.0, 0.02, 1.0 }) {
          auto request = MakeRequest();
          request.objective_.recomputeWeight_ = recompute;
          request.objective_.linkWeight_ = 0.01;
          auto candidate = MakeCandidate("e1");
          candidate.load_.queuedPrefillTokens_ = queued;
          candidate.cachedBlocks_ = 3;
          double best = 1e9;
          for (std::uint32_t blocks = 3; blocks <= 18; ++blocks) {
            auto source = MakeSource("s1", blocks);
            source.linkBytesPerSecond_ = rate;
            source.queuedBytes_ = backlog;
            auto forced = request;
            forced.policy_ = config::Policy::AlwaysImport;
            const auto all =
              placement::ChooseTarget(forced, { candidate }, { source });
            best = std::min(best, all->costs_[0].cost_);
          }
          auto source = MakeSource("s1", 18);
          source.linkBytesPerSecond_ = rate;
          source.queuedBytes_ = backlog;
          const auto decision =
            placement::ChooseTarget(request, { candidate }, { source });
          CHECK(decision->costs_[0].cost_ == Approx(best));
        }
      }
    }
  }
}

TEST_CASE("the objective weighs time against recomputed tokens")
{
  auto holder = MakeCandidate("e2");
  holder.cachedBlocks_ = 20;
  holder.load_.queuedPrefillTokens_ = 100000;
  const std::vector<placement::Candidate> candidates{ MakeCandidate("e1"),
                                                      holder };
  auto request = MakeRequest();
  CHECK(placement::ChooseTarget(request, candidates, {})->target_ == "e1");
  request.objective_ = { 0.1, 1.0, 0.0 };
  CHECK(placement::ChooseTarget(request, candidates, {})->target_ == "e2");
}

TEST_CASE("a candidate that meets the deadline is preferred to a cheaper one")
{
  auto holder = MakeCandidate("e2");
  holder.cachedBlocks_ = 20;
  holder.load_.queuedPrefillTokens_ = 100000;
  auto request = MakeRequest();
  request.objective_ = { 0.1, 1.0, 0.0 };
  request.remaining_ = absl::Seconds(3);
  const auto decision =
    placement::ChooseTarget(request, { MakeCandidate("e1"), holder }, {});
  CHECK(decision->target_ == "e1");
  CHECK(decision->meetsDeadline_);
  request.remaining_ = absl::Seconds(1);
  CHECK(!placement::ChooseTarget(request, { MakeCandidate("e1"), holder }, {})
           ->meetsDeadline_);
}

TEST_CASE("an import that would miss the deadline is cut short")
{
  auto request = MakeRequest();
  request.objective_ = { 0.0, 1.0, 0.0 };
  auto source = MakeSource("s1", 20);
  // A block takes 0.2 s to import and 0.1 s to compute.
  source.linkBytesPerSecond_ = 10e6;
  const std::vector<placement::Candidate> candidates{ MakeCandidate("e1") };
  const auto relaxed = placement::ChooseTarget(request, candidates, { source });
  CHECK(relaxed->import_->blocks_ == 20);
  // The margin is half of the estimated 3.025 s.
  request.remaining_ = absl::Milliseconds(4550);
  const auto hurried = placement::ChooseTarget(request, candidates, { source });
  CHECK(hurried->meetsDeadline_);
  CHECK(hurried->import_->blocks_ == 10);
  request.remaining_ = absl::Seconds(1);
  CHECK(
    !placement::ChooseTarget(request, candidates, { source })->meetsDeadline_);
}

TEST_CASE("hosts with equally old reports prefer different idle targets")
{
  std::vector<placement::Candidate> candidates{ MakeCandidate("e1"),
                                                MakeCandidate("e2") };
  candidates[0].load_.age_ = absl::Seconds(1);
  candidates[1].load_.age_ = absl::Seconds(1);
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    auto request = MakeRequest();
    request.seed_ = seed;
    candidates[0].followerRank_ = 0;
    candidates[1].followerRank_ = 1;
    CHECK(placement::ChooseTarget(request, candidates, {})->target_ == "e1");
    std::swap(candidates[0].followerRank_, candidates[1].followerRank_);
    CHECK(placement::ChooseTarget(request, candidates, {})->target_ == "e2");
  }
}

TEST_CASE("a fresh report weighs more than the rank of the host")
{
  std::vector<placement::Candidate> candidates{ MakeCandidate("e1"),
                                                MakeCandidate("e2") };
  candidates[0].load_.queuedPrefillTokens_ = 10000;
  candidates[1].followerRank_ = 4;
  CHECK(placement::ChooseTarget(MakeRequest(), candidates, {})->target_ ==
        "e2");
}

TEST_CASE("work sent since the report adds to the queue wait and drains")
{
  auto busy = MakeCandidate("e1");
  busy.unreported_ = { 40000, 1, absl::ZeroDuration() };
  const std::vector<placement::Candidate> candidates{ busy,
                                                      MakeCandidate("e2") };
  CHECK(placement::ChooseTarget(MakeRequest(), candidates, {})->target_ ==
        "e2");
  busy.unreported_.meanAge_ = absl::Seconds(2);
  const auto drained = placement::ChooseTarget(MakeRequest(), { busy }, {});
  CHECK(drained->estimate_.queueSeconds_ == Approx(0.0));
}

TEST_CASE("an unknown load is taken to be the mean of the known ones")
{
  auto known = MakeCandidate("e1");
  known.load_.queuedPrefillTokens_ = 20000;
  auto unknown = MakeCandidate("e2");
  unknown.load_.age_ = absl::InfiniteDuration();
  const auto decision =
    placement::ChooseTarget(MakeRequest(), { known, unknown }, {});
  CHECK(decision->costs_[1].estimate_.queueSeconds_ == Approx(1.0));
}

TEST_CASE("the queue wait of a full target includes the wait for a slot")
{
  auto full = MakeCandidate("e1");
  full.load_.running_ = 16;
  full.load_.waiting_ = 15;
  const auto decision = placement::ChooseTarget(MakeRequest(), { full }, {});
  CHECK(decision->estimate_.queueSeconds_ == Approx(1.0));
}

TEST_CASE("the baseline policies choose according to their names")
{
  auto request = MakeRequest();
  std::vector<placement::Candidate> candidates{ MakeCandidate("e1"),
                                                MakeCandidate("e2"),
                                                MakeCandidate("e3") };
  candidates[0].load_.running_ = 5;
  candidates[1].load_.running_ = 3;
  candidates[2].load_.running_ = 9;
  request.policy_ = config::Policy::RoundRobin;
  request.seed_ = 4;
  CHECK(placement::ChooseTarget(request, candidates, {})->target_ == "e2");
  request.policy_ = config::Policy::LeastLoaded;
  CHECK(placement::ChooseTarget(request, candidates, {})->target_ == "e2");
  request.policy_ = config::Policy::NeverImport;
  const std::vector<placement::ImportSource> sources{ MakeSource("s1", 20) };
  CHECK(!placement::ChooseTarget(request, candidates, sources)->import_);
  request.policy_ = config::Policy::AlwaysImport;
  CHECK(placement::ChooseTarget(request, candidates, sources)->import_);
  request.policy_ = config::Policy::Sticky;
  const auto first = placement::ChooseTarget(request, candidates, {})->target_;
  request.seed_ = 77;
  CHECK(placement::ChooseTarget(request, candidates, {})->target_ == first);
}

TEST_CASE(
  "every host follows every target at the size of 8 hosts and 24 targets")
{
  const auto hosts = MakeHosts(8, 4);
  for (int i = 0; i < 24; ++i) {
    const auto target = "e" + std::to_string(i);
    for (const auto& host : hosts) {
      CHECK(placement::IsFollower(target, "dc1", host.name_, hosts, 24));
    }
  }
}

TEST_CASE(
  "few hosts follow each target at the size of 350 hosts and 1200 targets")
{
  const auto hosts = MakeHosts(350, 8);
  std::size_t most = 0;
  std::vector<std::size_t> followed(hosts.size(), 0);
  const auto count = placement::FollowerCount(hosts.size(), 1200);
  CHECK(count == 7);
  for (int i = 0; i < 1200; ++i) {
    const auto dataCentre = "dc" + std::to_string(i % 8);
    for (const auto& name : placement::Followers(
           "e" + std::to_string(i), dataCentre, hosts, count)) {
      const auto index = std::stoul(name.substr(1));
      CHECK(hosts[index].dataCentre_ == dataCentre);
      most = std::max(most, ++followed[index]);
    }
  }
  CHECK(most <= std::size_t{ 2 } * placement::kMinFollowedTargets);
}

TEST_CASE("a short list starts with the holders of most blocks and is bounded")
{
  std::vector<std::uint32_t> followed;
  std::vector<placement::HolderRef> holders;
  for (std::uint32_t i = 0; i < 100; ++i) {
    followed.push_back(i);
    holders.push_back({ 500 + i, i });
  }
  holders.push_back({ 7, 1000 });
  const auto list = placement::Shortlist(followed, holders, 3, 20);
  REQUIRE(list.size() == 20);
  CHECK(list[0] == 7);
  CHECK(list[1] == 599);
  CHECK(list[10] == 3);
  for (std::size_t i = 0; i < list.size(); ++i) {
    CHECK(std::count(list.begin(), list.end(), list[i]) == 1);
  }
}

TEST_CASE("a host's own imports drain from the estimated queue of a link")
{
  const absl::Time start = absl::FromUnixSeconds(1'000);
  constexpr double kRate = 100.0;
  placement::LinkQueue queue;
  placement::RecordLinkReport(queue, 30);
  CHECK(placement::QueuedBytes(queue, kRate, start) == 30);
  placement::RecordImport(queue, 50, kRate, start);
  CHECK(placement::QueuedBytes(queue, kRate, start) == 80);
  CHECK(placement::QueuedBytes(queue, kRate, start + absl::Seconds(0.25)) ==
        55);
  CHECK(placement::QueuedBytes(queue, kRate, start + absl::Seconds(2)) == 30);
  placement::RecordImport(queue, 50, kRate, start + absl::Seconds(2));
  CHECK(placement::QueuedBytes(queue, kRate, start + absl::Seconds(2)) == 80);
  placement::RecordLinkReport(queue, 0);
  CHECK(placement::QueuedBytes(queue, kRate, start + absl::Seconds(2)) == 0);
}
