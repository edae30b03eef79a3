#include "lycheeplank/retention.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace retention = lycheeplank::retention;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'700'000'000);

retention::ReturnHistogram
HistogramWith(absl::Duration aGap, int aTimes)
{
  retention::ReturnHistogram counts;
  for (int i = 0; i < aTimes; ++i) {
    retention::RecordReturn(counts, aGap, kNow);
  }
  return counts;
}

retention::ExportCandidate
MakeCandidate()
{
  retention::ExportCandidate candidate;
  candidate.blocks_ = 20;
  candidate.blockTokens_ = 2000;
  candidate.kvBytesPerToken_ = 1000;
  candidate.prefillTokensPerSecond_ = 20000.0;
  candidate.returns_ = HistogramWith(absl::Hours(24), 20);
  candidate.timeToEviction_ = absl::Minutes(5);
  return candidate;
}

retention::StoreView
MakeStore(absl::string_view aName)
{
  retention::StoreView store;
  store.name_ = aName;
  store.capacityBytes_ = 1'000'000'000;
  store.workspaceShareBytes_ = 100'000'000;
  store.linkBytesPerSecond_ = 100e6;
  return store;
}

} // namespace

TEST_CASE("the probability of a return follows from the counts and their order")
{
  const auto counts = HistogramWith(absl::Hours(24), 50);
  using retention::ReturnProbability;
  CHECK(ReturnProbability(counts, absl::Hours(1), absl::Hours(48)) > 0.85);
  CHECK(ReturnProbability(counts, absl::ZeroDuration(), absl::Hours(1)) < 0.1);
  CHECK(ReturnProbability(counts, absl::Hours(1), absl::Hours(1)) == 0.0);
  const double all =
    ReturnProbability(counts, absl::ZeroDuration(), absl::InfiniteDuration());
  const double parts =
    ReturnProbability(counts, absl::ZeroDuration(), absl::Hours(10)) +
    ReturnProbability(counts, absl::Hours(10), absl::InfiniteDuration());
  CHECK(all == Approx(parts));
  CHECK(all <= 1.0);
}

TEST_CASE("the probability of a return without any counts is that of the prior")
{
  const retention::ReturnHistogram empty;
  const double probability = retention::ReturnProbability(
    empty, absl::ZeroDuration(), absl::InfiniteDuration());
  CHECK(probability == Approx(0.5));
}

TEST_CASE("old counts decay")
{
  auto counts = HistogramWith(absl::Minutes(1), 64);
  for (int i = 0; i < 8; ++i) {
    retention::RecordAbandonment(counts, kNow + absl::Hours(24 * 60));
  }
  const double probability = retention::ReturnProbability(
    counts, absl::ZeroDuration(), absl::InfiniteDuration());
  CHECK(probability < 0.3);
}

TEST_CASE(
  "a prompt idle for longer than all gaps between runs is unlikely to return")
{
  const auto counts = HistogramWith(absl::Hours(1), 50);
  const double fresh = retention::ReturnProbabilityAfterIdle(
    counts, absl::Minutes(10), absl::Hours(3));
  const double stale = retention::ReturnProbabilityAfterIdle(
    counts, absl::Hours(50), absl::Hours(3));
  CHECK(fresh > 0.8);
  CHECK(stale < 0.1);
}

TEST_CASE(
  "prompts that return after eviction from the engine's memory are exported")
{
  const auto plan = retention::PlanExport(MakeCandidate(),
                                          { MakeStore("s1"), MakeStore("s2") });
  REQUIRE(plan);
  CHECK(plan->blocks_ == 20);
  CHECK(plan->bytes_ == 40'000'000);
  CHECK(plan->valuePerByte_ > 0.0);
  CHECK(plan->startWithin_ < absl::Minutes(5));
}

TEST_CASE("prompts that return before eviction from the engine's memory are "
          "not exported")
{
  auto candidate = MakeCandidate();
  candidate.objective_ = { 1.0, 0.0, 0.001 };
  candidate.returns_ = HistogramWith(absl::Seconds(20), 200);
  CHECK(!retention::PlanExport(candidate, { MakeStore("s1") }));
}

TEST_CASE(
  "an export that can't end before the engine evicts the blocks is left out")
{
  auto candidate = MakeCandidate();
  auto store = MakeStore("s1");
  candidate.timeToEviction_ = absl::Seconds(10);
  store.queuedBytes_ = 900'000'000;
  CHECK(retention::PlanExport(candidate, { store }));
  store.queuedBytes_ = 1'000'000'000;
  CHECK(!retention::PlanExport(candidate, { store }));
}

TEST_CASE("an import slower than the prefill saves tokens but no time")
{
  auto candidate = MakeCandidate();
  auto slow = MakeStore("s1");
  slow.linkBytesPerSecond_ = 10e6;
  CHECK(!retention::PlanExport(candidate, { slow }));
  candidate.objective_.recomputeWeight_ = 1.0;
  CHECK(retention::PlanExport(candidate, { slow }));
}

TEST_CASE("further blocks of a prompt go to the store that holds its start")
{
  auto first = MakeStore("s1");
  auto second = MakeStore("s2");
  second.heldBlocks_ = 5;
  const auto plan = retention::PlanExport(MakeCandidate(), { first, second });
  REQUIRE(plan);
  CHECK(plan->store_ == "s2");
  CHECK(plan->firstBlock_ == 5);
  CHECK(plan->blocks_ == 15);
  second.heldBlocks_ = 20;
  CHECK(!retention::PlanExport(MakeCandidate(), { first, second }));
}

TEST_CASE(
  "in a nearly full store a workspace over its share has to export more "
  "valuable blocks")
{
  auto store = MakeStore("s1");
  const auto candidate = MakeCandidate();
  const auto alone = retention::PlanExport(candidate, { store });
  REQUIRE(alone);
  store.freedValuePerByte_ = alone->valuePerByte_ / 2.0;
  store.workspaceBytes_ = 90'000'000;
  CHECK(retention::PlanExport(candidate, { store }));
  store.workspaceBytes_ = 190'000'000;
  CHECK(retention::PlanExport(candidate, { store }));
  store.workspaceBytes_ = 210'000'000;
  CHECK(!retention::PlanExport(candidate, { store }));
}

TEST_CASE(
  "blocks that are worth less than those in a full store are not exported")
{
  auto store = MakeStore("s1");
  store.freedValuePerByte_ = 1.0;
  CHECK(!retention::PlanExport(MakeCandidate(), { store }));
}

TEST_CASE(
  "freeing starts at the high-water mark and ends at the low-water mark")
{
  CHECK(retention::BytesToFree(940, 1000) == 0);
  CHECK(retention::BytesToFree(960, 1000) == 60);
}

TEST_CASE("among equal blocks those of a workspace over its share are freed, "
          "pinned ones stay")
{
  const auto returns = HistogramWith(absl::Hours(1), 50);
  const std::vector<retention::WorkspaceUsage> usages{
    { returns, 300, 100, 1.0 }, { returns, 100, 100, 1.0 }
  };
  std::vector<retention::EvictionCandidate> blocks{
    { 0, 0, 100, absl::Minutes(10) },
    { 0, 1, 100, absl::Minutes(10) },
    { 0, 2, 100, absl::Minutes(10) },
    { 1, 0, 100, absl::Minutes(10) },
  };
  blocks[2].pinned_ = true;
  const auto plan =
    retention::PlanEvictions(blocks, usages, 200, absl::Hours(2));
  CHECK(plan.blocks_ == std::vector<std::size_t>{ 1, 0 });
  CHECK(plan.bytes_ == 200);
}

TEST_CASE("a block that won't return is freed before one of a workspace over "
          "its share")
{
  const std::vector<retention::WorkspaceUsage> usages{
    { HistogramWith(absl::Hours(1), 50), 300, 100, 1.0 },
    { HistogramWith(absl::Hours(1), 50), 100, 100, 1.0 }
  };
  const std::vector<retention::EvictionCandidate> blocks{
    { 0, 0, 100, absl::Minutes(10) },
    { 1, 0, 100, absl::Hours(100) },
  };
  const auto plan =
    retention::PlanEvictions(blocks, usages, 100, absl::Hours(2));
  CHECK(plan.blocks_ == std::vector<std::size_t>{ 1 });
}

TEST_CASE(
  "a flood of one workspace doesn't evict blocks within the shares of others")
{
  const auto returns = HistogramWith(absl::Hours(1), 50);
  const std::vector<retention::WorkspaceUsage> usages{
    { returns, 9000, 5000, 1.0 }, { returns, 1000, 5000, 1.0 }
  };
  std::vector<retention::EvictionCandidate> blocks(100);
  for (std::uint32_t i = 0; i < blocks.size(); ++i) {
    blocks[i] = { i < 90 ? 0U : 1U, 0, 100, absl::Minutes(i % 30) };
  }
  const auto plan =
    retention::PlanEvictions(blocks, usages, 4000, absl::Hours(2));
  CHECK(std::all_of(plan.blocks_.begin(),
                    plan.blocks_.end(),
                    [](std::size_t aIndex) { return aIndex < 90; }));
}

TEST_CASE(
  "the block least likely to return is freed first, the end of a prompt "
  "before its start")
{
  std::vector<retention::WorkspaceUsage> usages(1);
  usages[0] = { HistogramWith(absl::Hours(1), 50), 500, 1000, 1.0 };
  std::vector<retention::EvictionCandidate> blocks{
    { 0, 0, 100, absl::Minutes(10) }, { 0, 1, 100, absl::Minutes(10) },
    { 0, 0, 100, absl::Hours(90) },   { 0, 1, 100, absl::Hours(90) },
    { 0, 2, 100, absl::Hours(90) },
  };
  const auto plan =
    retention::PlanEvictions(blocks, usages, 400, absl::Hours(2));
  CHECK(plan.blocks_ == std::vector<std::size_t>{ 4, 3, 2, 1 });
  CHECK(plan.valuePerByte_ > 0.5);
}

TEST_CASE("a store is divided in proportion to the shares")
{
  CHECK(retention::DivideByShares(1000, { 1.0, 3.0 }) ==
        std::vector<std::uint64_t>{ 250, 750 });
}

TEST_CASE(
  "interactive imports go before exports, and exports before batch imports "
  "that are not due")
{
  using retention::TransferKind;
  std::vector<retention::Transfer> waiting{
    { TransferKind::BatchImport, 10, kNow, kNow + absl::Minutes(1) },
    { TransferKind::Export, 10, kNow, kNow + absl::Minutes(2) },
    { TransferKind::InteractiveImport, 10, kNow },
  };
  const retention::LinkTraffic traffic{ 100, 50 };
  CHECK(retention::NextTransfer({}, traffic, kNow) == absl::nullopt);
  CHECK(retention::NextTransfer(waiting, traffic, kNow) == std::size_t{ 2 });
  CHECK(retention::NextTransfer(waiting, { 100, 5 }, kNow) == std::size_t{ 1 });
  waiting.pop_back();
  CHECK(retention::NextTransfer(waiting, traffic, kNow) == std::size_t{ 1 });
  CHECK(retention::NextTransfer(waiting, traffic, kNow + absl::Minutes(1)) ==
        std::size_t{ 0 });
}

TEST_CASE("the most valuable export goes first")
{
  using retention::TransferKind;
  std::vector<retention::Transfer> waiting(3);
  for (auto& transfer : waiting) {
    transfer = { TransferKind::Export, 10, kNow };
  }
  waiting[1].valuePerByte_ = 2.0;
  waiting[2].valuePerByte_ = 1.0;
  CHECK(retention::NextTransfer(waiting, {}, kNow) == std::size_t{ 1 });
}

TEST_CASE("batch work starts on an idle target or at its latest start")
{
  const auto latest =
    retention::LatestStart(kNow + absl::Hours(1), absl::Minutes(20));
  CHECK(latest == kNow + absl::Minutes(30) - absl::Seconds(30));
  CHECK(!retention::MayStartBatch(latest, 0.9, 0, kNow));
  CHECK(!retention::MayStartBatch(latest, 0.1, 3, kNow));
  CHECK(retention::MayStartBatch(latest, 0.1, 0, kNow));
  CHECK(retention::MayStartBatch(latest, 0.9, 3, latest));
}

TEST_CASE("batch runs on one target start early enough for all to end in time")
{
  const auto starts = retention::LatestStarts({
    { kNow + absl::Hours(2), absl::Minutes(20) },
    { kNow + absl::Hours(1), absl::Minutes(20) },
    { kNow + absl::Hours(2), absl::Minutes(20) },
  });
  REQUIRE(starts.size() == 3);
  CHECK(starts[1] ==
        retention::LatestStart(kNow + absl::Hours(1), absl::Minutes(20)));
  CHECK(starts[0] == starts[2] - absl::Minutes(30));
}
