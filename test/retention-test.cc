#include "lycheeplank/retention.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace retention = lycheeplank::retention;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'700'000'000);

retention::ReturnHistogram
Returning(absl::Duration aGap, int aTimes)
{
  retention::ReturnHistogram counts;
  for (int i = 0; i < aTimes; ++i) {
    retention::RecordReturn(counts, aGap, kNow);
  }
  return counts;
}

retention::ExportCandidate
MakeQuestion()
{
  retention::ExportCandidate question;
  question.blocks_ = 20;
  question.blockTokens_ = 2000;
  question.kvBytesPerToken_ = 1000;
  question.prefillTokensPerSecond_ = 20000.0;
  question.returns_ = Returning(absl::Hours(24), 20);
  question.timeToEviction_ = absl::Minutes(5);
  return question;
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

TEST_CASE("the chance of a return follows the counts and their order")
{
  const auto counts = Returning(absl::Hours(24), 50);
  using retention::ReturnProbability;
  CHECK(ReturnChance(counts, absl::Hours(1), absl::Hours(48)) > 0.85);
  CHECK(ReturnChance(counts, absl::ZeroDuration(), absl::Hours(1)) < 0.1);
  CHECK(ReturnChance(counts, absl::Hours(1), absl::Hours(1)) == 0.0);
  const double all =
    ReturnChance(counts, absl::ZeroDuration(), absl::InfiniteDuration());
  const double parts =
    ReturnChance(counts, absl::ZeroDuration(), absl::Hours(10)) +
    ReturnChance(counts, absl::Hours(10), absl::InfiniteDuration());
  CHECK(all == Approx(parts));
  CHECK(all <= 1.0);
}

TEST_CASE("without counts the prior gives a middling chance")
{
  const retention::ReturnHistogram none;
  const double chance = retention::ReturnProbability(
    none, absl::ZeroDuration(), absl::InfiniteDuration());
  CHECK(chance == Approx(0.5));
}

TEST_CASE("old counts decay")
{
  auto counts = Returning(absl::Minutes(1), 64);
  for (int i = 0; i < 8; ++i) {
    retention::RecordAbandonment(counts, kNow + absl::Hours(24 * 60));
  }
  const double chance = retention::ReturnProbability(
    counts, absl::ZeroDuration(), absl::InfiniteDuration());
  CHECK(chance < 0.3);
}

TEST_CASE("a prompt idle for longer than all gaps is unlikely to return")
{
  const auto counts = Returning(absl::Hours(1), 50);
  const double fresh = retention::ReturnProbabilityAfterIdle(
    counts, absl::Minutes(10), absl::Hours(3));
  const double stale = retention::ReturnProbabilityAfterIdle(
    counts, absl::Hours(50), absl::Hours(3));
  CHECK(fresh > 0.8);
  CHECK(stale < 0.1);
}

TEST_CASE("prompts that return after the engine's memory are exported")
{
  const auto plan =
    retention::PlanExport(MakeQuestion(), { MakeStore("s1"), MakeStore("s2") });
  REQUIRE(plan);
  CHECK(plan->blocks_ == 20);
  CHECK(plan->bytes_ == 40'000'000);
  CHECK(plan->valuePerByte_ > 0.0);
  CHECK(plan->startWithin_ < absl::Minutes(5));
}

TEST_CASE("prompts that return within the engine's memory are not exported")
{
  auto question = MakeQuestion();
  question.objective_ = { 1.0, 0.0, 0.001 };
  question.returns_ = Returning(absl::Seconds(20), 200);
  CHECK(!retention::PlanExport(question, { MakeStore("s1") }));
}

TEST_CASE("an export that can't start before the engine evicts is left out")
{
  auto question = MakeQuestion();
  auto store = MakeStore("s1");
  question.timeToEviction_ = absl::Seconds(10);
  store.queuedBytes_ = 900'000'000;
  CHECK(retention::PlanExport(question, { store }));
  store.queuedBytes_ = 1'000'000'000;
  CHECK(!retention::PlanExport(question, { store }));
}

TEST_CASE("an import slower than the prefill saves nothing but tokens")
{
  auto question = MakeQuestion();
  auto slow = MakeStore("s1");
  slow.linkBytesPerSecond_ = 10e6;
  CHECK(!retention::PlanExport(question, { slow }));
  question.objective_.recomputeWeight_ = 1.0;
  CHECK(retention::PlanExport(question, { slow }));
}

TEST_CASE("a prompt goes on in the store that holds its start")
{
  auto first = MakeStore("s1");
  auto second = MakeStore("s2");
  second.heldBlocks_ = 5;
  const auto plan = retention::PlanExport(MakeQuestion(), { first, second });
  REQUIRE(plan);
  CHECK(plan->store_ == "s2");
  CHECK(plan->firstBlock_ == 5);
  CHECK(plan->blocks_ == 15);
  second.heldBlocks_ = 20;
  CHECK(!retention::PlanExport(MakeQuestion(), { first, second }));
}

TEST_CASE("in a nearly full store a workspace over its share has to offer more")
{
  auto store = MakeStore("s1");
  const auto question = MakeQuestion();
  const auto alone = retention::PlanExport(question, { store });
  REQUIRE(alone);
  store.freedValuePerByte_ = alone->valuePerByte_ / 2.0;
  store.workspaceBytes_ = 90'000'000;
  CHECK(retention::PlanExport(question, { store }));
  store.workspaceBytes_ = 190'000'000;
  CHECK(retention::PlanExport(question, { store }));
  store.workspaceBytes_ = 210'000'000;
  CHECK(!retention::PlanExport(question, { store }));
}

TEST_CASE("blocks that are worth less than those in the store stay out")
{
  auto store = MakeStore("s1");
  store.freedValuePerByte_ = 1.0;
  CHECK(!retention::PlanExport(MakeQuestion(), { store }));
}

TEST_CASE("freeing starts at the high-water mark and ends at the low one")
{
  CHECK(retention::BytesToFree(940, 1000) == 0);
  CHECK(retention::BytesToFree(960, 1000) == 60);
}

TEST_CASE("between equal blocks a workspace over its share loses its own, "
          "pinned ones stay")
{
  const auto gaps = Returning(absl::Hours(1), 50);
  const std::vector<retention::WorkspaceUsage> workspaces{
    { gaps, 300, 100, 1.0 }, { gaps, 100, 100, 1.0 }
  };
  std::vector<retention::EvictionCandidate> blocks{
    { 0, 0, 100, absl::Minutes(10) },
    { 0, 1, 100, absl::Minutes(10) },
    { 0, 2, 100, absl::Minutes(10) },
    { 1, 0, 100, absl::Minutes(10) },
  };
  blocks[2].pinned_ = true;
  const auto plan =
    retention::PlanEvictions(blocks, workspaces, 200, absl::Hours(2));
  CHECK(plan.blocks_ == std::vector<std::size_t>{ 1, 0 });
  CHECK(plan.bytes_ == 200);
}

TEST_CASE("a block that won't return is freed before one of a workspace over "
          "its share")
{
  const std::vector<retention::WorkspaceUsage> workspaces{
    { Returning(absl::Hours(1), 50), 300, 100, 1.0 },
    { Returning(absl::Hours(1), 50), 100, 100, 1.0 }
  };
  const std::vector<retention::EvictionCandidate> blocks{
    { 0, 0, 100, absl::Minutes(10) },
    { 1, 0, 100, absl::Hours(100) },
  };
  const auto plan =
    retention::PlanEvictions(blocks, workspaces, 100, absl::Hours(2));
  CHECK(plan.blocks_ == std::vector<std::size_t>{ 1 });
}

TEST_CASE("a flood of one workspace doesn't push out the shares of others")
{
  const auto gaps = Returning(absl::Hours(1), 50);
  const std::vector<retention::WorkspaceUsage> workspaces{
    { gaps, 9000, 5000, 1.0 }, { gaps, 1000, 5000, 1.0 }
  };
  std::vector<retention::EvictionCandidate> blocks(100);
  for (std::uint32_t i = 0; i < blocks.size(); ++i) {
    blocks[i] = { i < 90 ? 0U : 1U, 0, 100, absl::Minutes(i % 30) };
  }
  const auto plan =
    retention::PlanEvictions(blocks, workspaces, 4000, absl::Hours(2));
  CHECK(std::all_of(plan.blocks_.begin(),
                    plan.blocks_.end(),
                    [](std::size_t aIndex) { return aIndex < 90; }));
}

TEST_CASE("the block least likely to return is freed first, ends before "
          "starts")
{
  std::vector<retention::WorkspaceUsage> workspaces(1);
  workspaces[0] = { Returning(absl::Hours(1), 50), 500, 1000, 1.0 };
  std::vector<retention::EvictionCandidate> blocks{
    { 0, 0, 100, absl::Minutes(10) }, { 0, 1, 100, absl::Minutes(10) },
    { 0, 0, 100, absl::Hours(90) },   { 0, 1, 100, absl::Hours(90) },
    { 0, 2, 100, absl::Hours(90) },
  };
  const auto plan =
    retention::PlanEvictions(blocks, workspaces, 400, absl::Hours(2));
  CHECK(plan.blocks_ == std::vector<std::size_t>{ 4, 3, 2, 1 });
  CHECK(plan.valuePerByte_ > 0.5);
}

TEST_CASE("shares divide a store")
{
  CHECK(retention::DivideByShares(1000, { 1.0, 3.0 }) ==
        std::vector<std::uint64_t>{ 250, 750 });
}

TEST_CASE("imports go before exports and batch imports until they are due")
{
  using retention::TransferKind;
  std::vector<retention::Transfer> waiting{
    { TransferKind::BatchImport, 10, kNow, kNow + absl::Minutes(1) },
    { TransferKind::Export, 10, kNow, kNow + absl::Minutes(2) },
    { TransferKind::InteractiveImport, 10, kNow },
  };
  const retention::LinkTraffic use{ 100, 50 };
  CHECK(retention::NextTransfer({}, use, kNow) == absl::nullopt);
  CHECK(retention::NextTransfer(waiting, use, kNow) == std::size_t{ 2 });
  CHECK(retention::NextTransfer(waiting, { 100, 5 }, kNow) == std::size_t{ 1 });
  waiting.pop_back();
  CHECK(retention::NextTransfer(waiting, use, kNow) == std::size_t{ 1 });
  CHECK(retention::NextTransfer(waiting, use, kNow + absl::Minutes(1)) ==
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

TEST_CASE("batch work yields until its latest start")
{
  const auto latest =
    retention::LatestStart(kNow + absl::Hours(1), absl::Minutes(20));
  CHECK(latest == kNow + absl::Minutes(30) - absl::Seconds(30));
  CHECK(!retention::MayStartBatch(latest, 0.9, 0, kNow));
  CHECK(!retention::MayStartBatch(latest, 0.1, 3, kNow));
  CHECK(retention::MayStartBatch(latest, 0.1, 0, kNow));
  CHECK(retention::MayStartBatch(latest, 0.9, 3, latest));
}

TEST_CASE("batch runs on one target start early enough to all end in time")
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
