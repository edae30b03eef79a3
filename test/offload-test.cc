#include "lycheeplank/offload.h"

#include <algorithm>
#include <deque>
#include <random>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace config = lycheeplank::config;
namespace core = lycheeplank::core;
namespace offload = lycheeplank::offload;
namespace retention = lycheeplank::retention;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'700'000'000);
constexpr std::uint64_t kBlockBytes = 2'000'000;
constexpr std::uint64_t kStoreBytes = 100 * kBlockBytes;

config::ConfigPtr
MakeConfig()
{
  auto made = std::make_shared<config::Config>();
  made->revision_ = 1;
  made->workspaces_["co-operative"];
  made->workspaces_["authority"];
  made->models_["wording"];
  for (const auto* name : { "engine-0", "engine-1" }) {
    auto& target = made->targets_[name];
    target.url_ = absl::StrCat("http://", name);
    target.serves_ = "wording";
  }
  auto& store = made->stores_["store-0"];
  store.url_ = "http://store-0";
  store.memoryBytes_ = kStoreBytes;
  return made;
}

std::vector<core::BlockKey>
Chain(std::uint64_t aPrompt, std::size_t aBlocks)
{
  std::vector<core::BlockKey> chain;
  for (std::size_t i = 0; i < aBlocks; ++i) {
    chain.push_back({ aPrompt, i });
  }
  return chain;
}

// One steward whose events are made by hand.
struct Bench
{
  offload::State state_ = offload::Start("host-a");
  absl::Time now_ = kStart;

  offload::Effects Post(offload::EventBody aBody)
  {
    auto effects = offload::Step(state_, { now_, std::move(aBody) });
    REQUIRE(offload::BrokenInvariant(state_).empty());
    return effects;
  }
  offload::Effects Tick() { return Post(offload::Tick{}); }
  offload::Effects TickAfter(absl::Duration aTime)
  {
    now_ += aTime;
    return Tick();
  }
};

template<typename T>
std::vector<T>
Of(const offload::Effects& aEffects)
{
  std::vector<T> found;
  for (const auto& effect : aEffects) {
    if (const auto* part = std::get_if<T>(&effect)) {
      found.push_back(*part);
    }
  }
  return found;
}

// Results of ended exports, in order.
std::vector<std::string>
Results(const offload::Effects& aEffects)
{
  std::vector<std::string> results;
  for (const auto& count : Of<offload::Count>(aEffects)) {
    if (count.counter_ == offload::Counter::Exports) {
      results.push_back(count.result_);
    }
  }
  return results;
}

using Names = std::vector<std::string>;

offload::StoreReported
Report(std::uint64_t aUsed = 0, std::uint64_t aBacklog = 0)
{
  return { "store-0", true, aUsed, aBacklog };
}

Bench
Ready()
{
  Bench bench;
  bench.Post(offload::ConfigChanged{ MakeConfig() });
  bench.Post(offload::HostsChanged{ { "host-a" } });
  bench.Post(Report());
  return bench;
}

offload::RunFinished
Run(std::uint64_t aPrompt,
    std::size_t aBlocks,
    const std::string& aTarget = "engine-0",
    const std::string& aWorkspace = "co-operative")
{
  return { { aWorkspace, "wording", "v1", aTarget, Chain(aPrompt, aBlocks) } };
}

std::vector<offload::StoredBlock>
Committed(const std::vector<core::BlockKey>& aKeys)
{
  std::vector<offload::StoredBlock> blocks;
  blocks.reserve(aKeys.size());
  std::uint64_t generation = 0;
  for (const auto& key : aKeys) {
    blocks.push_back({ key, {}, ++generation, kBlockBytes });
  }
  return blocks;
}

// Accepts an export and asks for its state, so that a report can follow.
void
Accept(Bench& aBench, std::uint64_t aId)
{
  aBench.Post(offload::ExportStarted{ aId, true, "7" });
  REQUIRE(Of<offload::PollExport>(aBench.TickAfter(absl::Seconds(1))).size() ==
          1);
}

offload::ExportReported
Done(std::uint64_t aId, const std::vector<core::BlockKey>& aKeys)
{
  return { aId, offload::ExportStatus::Done, "v1", Committed(aKeys) };
}

// Runs a prompt and exports it; returns the effects of the last event.
offload::Effects
ExportAll(Bench& aBench, const offload::RunFinished& aRun)
{
  aBench.Post(Report(aBench.state_.stores_.at("store-0").usedBytes_));
  const auto started = Of<offload::StartExport>(aBench.Post(aRun));
  REQUIRE(started.size() == 1);
  Accept(aBench, started[0].id_);
  return aBench.Post(Done(started[0].id_, started[0].blocks_));
}

} // namespace

TEST_CASE("a finished run is exported and announced once it is committed")
{
  auto bench = Ready();
  const auto started = Of<offload::StartExport>(bench.Post(Run(1, 5)));
  REQUIRE(started.size() == 1);
  CHECK(started[0].engineUrl_ == "http://engine-0");
  CHECK(started[0].storeUrl_ == "http://store-0");
  CHECK(started[0].blocks_ == Chain(1, 5));
  Accept(bench, started[0].id_);
  const auto effects = bench.Post(Done(started[0].id_, started[0].blocks_));
  const auto told = Of<offload::ReportSightings>(effects);
  REQUIRE(told.size() == 1);
  CHECK(told[0].present_);
  CHECK(told[0].blocks_.size() == 5);
  CHECK(told[0].blocks_[4].root_ == Chain(1, 1)[0]);
  CHECK(Results(effects) == Names{ "done" });
  CHECK(bench.state_.exports_.empty());
}

TEST_CASE("only blocks that the store doesn't hold are exported")
{
  auto bench = Ready();
  ExportAll(bench, Run(1, 5));
  CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).empty());
  CHECK(bench.state_.exports_.empty());
  auto longer = Run(1, 8);
  longer.run_.reusedBlocks_ = 5;
  const auto started = Of<offload::StartExport>(bench.Post(longer));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ ==
        std::vector<core::BlockKey>{ { 1, 5 }, { 1, 6 }, { 1, 7 } });
}

TEST_CASE("blocks that had to be computed again are exported again")
{
  auto bench = Ready();
  ExportAll(bench, Run(1, 5));
  bench.now_ += absl::Hours(24);
  bench.Post(Report());
  auto returned = Run(1, 5);
  returned.run_.reusedBlocks_ = 3;
  const auto started = Of<offload::StartExport>(bench.Post(returned));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ ==
        std::vector<core::BlockKey>{ { 1, 3 }, { 1, 4 } });
}

TEST_CASE("a run that is reported twice is exported once")
{
  auto bench = Ready();
  REQUIRE(Of<offload::StartExport>(bench.Post(Run(1, 5))).size() == 1);
  CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).empty());
  CHECK(bench.state_.exports_.size() == 1);
}

TEST_CASE("blocks that another host has exported are not exported again")
{
  auto bench = Ready();
  auto run = Run(1, 5);
  run.run_.storedPrefixes_ = { { "store-0", 5 } };
  CHECK(Of<offload::StartExport>(bench.Post(run)).empty());
  run.run_.storedPrefixes_ = { { "store-0", 3 } };
  const auto started = Of<offload::StartExport>(bench.Post(run));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ ==
        std::vector<core::BlockKey>{ { 1, 3 }, { 1, 4 } });
}

TEST_CASE("blocks that a store has lost are exported again")
{
  auto bench = Ready();
  ExportAll(bench, Run(1, 5));
  auto run = Run(1, 5);
  run.run_.reusedBlocks_ = 5;
  run.run_.storedPrefixes_ = std::vector<offload::StoredPrefix>();
  // The directory may not have heard of them when this run was placed.
  bench.now_ += absl::Seconds(20);
  bench.Post(Report());
  run.run_.age_ = absl::Seconds(18);
  CHECK(Of<offload::StartExport>(bench.Post(run)).empty());
  run.run_.age_ = absl::Seconds(1);
  const auto started = Of<offload::StartExport>(bench.Post(run));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ == Chain(1, 5));
}

TEST_CASE("a run that doesn't know what stores hold changes nothing")
{
  auto bench = Ready();
  ExportAll(bench, Run(1, 5));
  bench.now_ += absl::Seconds(20);
  bench.Post(Report());
  auto run = Run(1, 5);
  run.run_.reusedBlocks_ = 5;
  CHECK(Of<offload::StartExport>(bench.Post(run)).empty());
}

TEST_CASE("a store that was down is used again also by hosts that don't own it")
{
  const std::vector<std::string> hosts{ "host-a", "host-b", "host-c" };
  for (const auto& host : hosts) {
    Bench bench = Ready();
    bench.state_.self_ = host;
    bench.Post(offload::HostsChanged{ hosts });
    bench.Post(offload::StoreReported{ "store-0", false });
    CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).empty());
    bench.now_ += absl::Seconds(20);
    REQUIRE(Of<offload::PollStore>(bench.Tick()).size() == 1);
    bench.Post(Report());
    CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).size() == 1);
  }
}

TEST_CASE("late and repeated reports of an export change nothing")
{
  auto bench = Ready();
  const auto started = Of<offload::StartExport>(bench.Post(Run(1, 5)));
  const auto id = started.at(0).id_;
  CHECK(bench.Post(Done(id, Chain(1, 5))).empty());
  Accept(bench, id);
  CHECK_FALSE(bench.Post(Done(id, Chain(1, 5))).empty());
  CHECK(bench.Post(Done(id, Chain(1, 5))).empty());
  CHECK(bench.Post(offload::ExportStarted{ id, true, "7" }).empty());
}

TEST_CASE("an export of another weight version is freed and not announced")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  Accept(bench, id);
  auto report = Done(id, Chain(1, 5));
  report.weightVersion_ = "v2";
  const auto effects = bench.Post(report);
  CHECK(Of<offload::ReportSightings>(effects).empty());
  CHECK(Results(effects) == Names{ "version_changed" });
  CHECK(Of<offload::FreeBlock>(effects).size() == 5);
  CHECK(bench.state_.exports_.empty());
  CHECK(bench.state_.held_.empty());
}

TEST_CASE("a store that dies during an export costs one retry")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  Accept(bench, id);
  auto report = Done(id, Chain(1, 2));
  report.status_ = offload::ExportStatus::Failed;
  const auto first = bench.Post(report);
  CHECK(Of<offload::ReportSightings>(first).at(0).blocks_.size() == 2);
  CHECK(Results(first).empty());
  bench.Post(offload::StoreReported{ "store-0", false });
  CHECK(Of<offload::StartExport>(bench.Tick()).empty());
  bench.Post(Report());
  const auto again = Of<offload::StartExport>(bench.Tick());
  REQUIRE(again.size() == 1);
  CHECK(again[0].blocks_.size() == 3);
  Accept(bench, id);
  auto failed = Done(id, {});
  failed.status_ = offload::ExportStatus::Failed;
  CHECK(Results(bench.Post(failed)) == Names{ "failed" });
  CHECK(bench.state_.exports_.empty());
}

TEST_CASE("a store that refuses all blocks gets no exports for a while")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  Accept(bench, id);
  auto failed = Done(id, {});
  failed.status_ = offload::ExportStatus::Failed;
  bench.Post(failed);
  bench.Post(Report());
  CHECK(Of<offload::StartExport>(bench.Tick()).empty());
  bench.now_ += absl::Seconds(6);
  bench.Post(Report());
  CHECK(Of<offload::StartExport>(bench.Tick()).size() == 1);
}

TEST_CASE("an engine that is gone costs one retry")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  bench.Post(offload::ExportStarted{ id, false, "" });
  CHECK(Of<offload::StartExport>(bench.Tick()).size() == 1);
  const auto effects = bench.Post(offload::ExportStarted{ id, false, "" });
  CHECK(Results(effects) == Names{ "failed" });
}

TEST_CASE("an engine that forgot an export is asked to start it again")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  Accept(bench, id);
  bench.Post(offload::ExportReported{ id, offload::ExportStatus::Lost });
  bench.Post(Report());
  CHECK(Of<offload::StartExport>(bench.Tick()).size() == 1);
}

TEST_CASE("an export that never ends is given up after one retry")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  Accept(bench, id);
  bench.now_ += absl::Hours(3);
  bench.Post(offload::ExportReported{ id, offload::ExportStatus::Unreachable });
  CHECK(bench.state_.exports_.empty());
}

TEST_CASE("a steward that wakes late drops what engines have evicted")
{
  auto bench = Ready();
  bench.Post(Report(0, kStoreBytes));
  CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).empty());
  REQUIRE(bench.state_.exports_.size() == 1);
  bench.now_ += absl::Hours(5);
  bench.Post(Report());
  const auto effects = bench.Tick();
  CHECK(Of<offload::StartExport>(effects).empty());
  CHECK(Results(effects) == Names{ "missed" });
}

TEST_CASE("a steward that wakes late settles an export that ended meanwhile")
{
  auto bench = Ready();
  const auto id = Of<offload::StartExport>(bench.Post(Run(1, 5))).at(0).id_;
  Accept(bench, id);
  bench.now_ += absl::Hours(5);
  const auto effects = bench.Post(Done(id, Chain(1, 5)));
  CHECK(Results(effects) == Names{ "done" });
}

TEST_CASE("exports wait for a busy link until their latest start")
{
  auto bench = Ready();
  const std::uint64_t backlog = 100'000'000;
  bench.Post(Report(0, backlog));
  CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).empty());
  CHECK(Of<offload::StartExport>(bench.Tick()).empty());
  bench.now_ =
    bench.state_.exports_.begin()->second.latestStart_ - absl::Seconds(1);
  bench.Post(Report(0, backlog));
  CHECK(Of<offload::StartExport>(bench.Tick()).size() == 1);
}

TEST_CASE("an engine exports one prompt at once, the most valuable first")
{
  auto bench = Ready();
  REQUIRE(Of<offload::StartExport>(bench.Post(Run(1, 3))).size() == 1);
  for (std::uint64_t prompt = 2; prompt < 6; ++prompt) {
    CHECK(Of<offload::StartExport>(bench.Post(Run(prompt, 3))).empty());
  }
  const auto best = std::prev(bench.state_.exports_.end());
  best->second.valuePerByte_ *= 2.0;
  Accept(bench, 1);
  bench.Post(Done(1, Chain(1, 3)));
  const auto next = Of<offload::StartExport>(bench.Tick());
  REQUIRE(next.size() == 1);
  CHECK(next[0].id_ == best->first);
}

TEST_CASE("a prompt larger than the engine's cache is not exported")
{
  auto bench = Ready();
  bench.Post(Run(1, 65));
  CHECK(bench.state_.exports_.empty());
}

TEST_CASE("an engine is expected to evict sooner when more blocks come in")
{
  auto bench = Ready();
  bench.Post(Run(1, 5));
  const auto calm =
    offload::ExpectedTimeToEviction(bench.state_, "engine-0", 5);
  for (std::uint64_t prompt = 2; prompt < 20; ++prompt) {
    bench.Post(Run(prompt, 5));
  }
  const auto busy =
    offload::ExpectedTimeToEviction(bench.state_, "engine-0", 5);
  CHECK(busy < calm / 5);
  CHECK(offload::ExpectedTimeToEviction(bench.state_, "engine-1", 5) > calm);
}

TEST_CASE("the gap between two runs of a prompt is learnt")
{
  auto bench = Ready();
  bench.Post(Run(1, 5));
  bench.now_ += absl::Hours(48);
  bench.Post(Run(1, 5));
  const auto& gaps = bench.state_.returns_.at("co-operative");
  CHECK(gaps.returned_[17] == Approx(1.0));
}

TEST_CASE("a prompt that doesn't return for long counts as gone")
{
  auto bench = Ready();
  bench.Post(Run(1, 5));
  bench.now_ += absl::Hours(24 * 31);
  bench.Post(Run(2, 5));
  CHECK(bench.state_.returns_.at("co-operative").abandoned_ == Approx(1.0));
  CHECK(bench.state_.prompts_.size() == 1);
}

TEST_CASE("runs that name unknown things are ignored")
{
  auto bench = Ready();
  bench.Post(Run(1, 5, "engine-9"));
  bench.Post(Run(1, 5, "engine-0", "stranger"));
  bench.Post(Run(1, 0));
  CHECK(bench.state_.exports_.empty());
  CHECK(bench.state_.prompts_.empty());
  Bench blank;
  blank.Post(Run(1, 5));
  blank.Tick();
  CHECK(blank.state_.prompts_.empty());
}

TEST_CASE("a removed store takes its exports along")
{
  auto bench = Ready();
  REQUIRE(Of<offload::StartExport>(bench.Post(Run(1, 5))).size() == 1);
  config::Config changed = *MakeConfig();
  changed.revision_ = 2;
  changed.stores_.clear();
  bench.Post(offload::ConfigChanged{
    std::make_shared<const config::Config>(std::move(changed)) });
  CHECK(Results(bench.Tick()) == Names{ "removed" });
  CHECK(bench.Post(offload::ExportStarted{ 1, true, "7" }).empty());
  bench.Post(offload::ConfigChanged{ MakeConfig() });
  CHECK(bench.state_.config_->revision_ == 2);
}

namespace {

// A store's inventory: aPrompts prompts of five blocks each.
std::vector<offload::StoredBlock>
Inventory(std::uint64_t aPrompts)
{
  std::vector<offload::StoredBlock> blocks;
  std::uint64_t generation = 0;
  for (std::uint64_t prompt = 1; prompt <= aPrompts; ++prompt) {
    for (const auto& key : Chain(prompt, 5)) {
      blocks.push_back({ key, { prompt, 0 }, ++generation, kBlockBytes });
    }
  }
  return blocks;
}

} // namespace

TEST_CASE("a full store is freed down to its mark, its oldest prompts first")
{
  auto bench = Ready();
  const auto read =
    Of<offload::FetchInventory>(bench.Post(Report(96 * kBlockBytes)));
  REQUIRE(read.size() == 1);
  CHECK_FALSE(read[0].after_);
  bench.Post(offload::InventoryRead{ "store-0", true, Inventory(19), false });
  auto frees = Of<offload::FreeBlock>(bench.Tick());
  REQUIRE(frees.size() == 6);
  CHECK(frees[0].block_.root_ == Chain(1, 1)[0]);
  CHECK(frees[0].block_.key_ == Chain(1, 5)[4]);
  for (const auto& free : frees) {
    bench.Post(offload::FreeEnded{
      "store-0", free.block_, free.reason_, offload::FreeResult::Freed });
  }
  bench.Tick();
  const auto& store = bench.state_.stores_.at("store-0");
  CHECK(store.eviction_.stage_ == offload::EvictionStage::Idle);
  CHECK(store.usedBytes_ == 90 * kBlockBytes);
}

TEST_CASE("pinned blocks are left and freed blocks are announced")
{
  auto bench = Ready();
  bench.Post(Report(96 * kBlockBytes));
  bench.Post(offload::InventoryRead{ "store-0", true, Inventory(19), false });
  const auto frees = Of<offload::FreeBlock>(bench.Tick());
  REQUIRE(frees.size() == 6);
  std::size_t told = 0;
  for (std::size_t i = 0; i < frees.size(); ++i) {
    const auto result =
      i == 0 ? offload::FreeResult::Pinned : offload::FreeResult::Freed;
    const auto effects = bench.Post(offload::FreeEnded{
      "store-0", frees[i].block_, frees[i].reason_, result });
    for (const auto& tell : Of<offload::ReportSightings>(effects)) {
      CHECK_FALSE(tell.present_);
      told += tell.blocks_.size();
    }
  }
  CHECK(told == 5);
}

TEST_CASE("only one of the live hosts frees a store's blocks")
{
  const std::vector<std::string> hosts{ "host-a", "host-b", "host-c" };
  int owners = 0;
  for (const auto& host : hosts) {
    Bench bench = Ready();
    bench.state_.self_ = host;
    bench.Post(offload::HostsChanged{ hosts });
    const auto effects = bench.Post(Report(96 * kBlockBytes));
    owners += Of<offload::FetchInventory>(effects).empty() ? 0 : 1;
  }
  CHECK(owners == 1);
}

TEST_CASE("a steward that wakes late drops its plan to free blocks")
{
  auto bench = Ready();
  bench.Post(Report(96 * kBlockBytes));
  bench.now_ += absl::Hours(1);
  bench.Tick();
  const auto effects =
    bench.Post(offload::InventoryRead{ "store-0", true, Inventory(19), false });
  CHECK(effects.empty());
  CHECK(Of<offload::FreeBlock>(bench.Tick()).empty());
}

TEST_CASE("a steward that is no longer the owner stops freeing")
{
  auto bench = Ready();
  bench.Post(Report(96 * kBlockBytes));
  bench.Post(offload::InventoryRead{ "store-0", true, Inventory(19), false });
  bench.Post(offload::HostsChanged{ { "host-b" } });
  CHECK(Of<offload::FreeBlock>(bench.Tick()).empty());
}

TEST_CASE("an inventory is read page by page")
{
  auto bench = Ready();
  bench.Post(Report(96 * kBlockBytes));
  auto all = Inventory(19);
  const std::vector<offload::StoredBlock> head(all.begin(), all.begin() + 50);
  const std::vector<offload::StoredBlock> tail(all.begin() + 50, all.end());
  const auto next = Of<offload::FetchInventory>(
    bench.Post(offload::InventoryRead{ "store-0", true, head, true }));
  REQUIRE(next.size() == 1);
  CHECK(next[0].after_ == head.back().key_);
  bench.Post(offload::InventoryRead{ "store-0", true, tail, false });
  CHECK(Of<offload::FreeBlock>(bench.Tick()).size() == 6);
}

TEST_CASE("a store that dies during the reading ends it")
{
  auto bench = Ready();
  bench.Post(Report(96 * kBlockBytes));
  bench.Post(offload::InventoryRead{ "store-0", false });
  CHECK(bench.state_.stores_.at("store-0").eviction_.stage_ ==
        offload::EvictionStage::Idle);
  CHECK(
    Of<offload::FetchInventory>(bench.Post(Report(96 * kBlockBytes))).size() ==
    1);
}

namespace {

// A store that is nearly full of two workspaces' prompts; the Co-operative is
// far over its share, the Authority below it.
Bench
NearlyFull()
{
  auto bench = Ready();
  for (std::uint64_t prompt = 1; prompt <= 17; ++prompt) {
    ExportAll(bench, Run(prompt, 5, "engine-0", "co-operative"));
    bench.now_ += absl::Minutes(30);
  }
  ExportAll(bench, Run(18, 5, "engine-1", "authority"));
  bench.now_ += absl::Minutes(30);
  bench.Post(Report(92 * kBlockBytes));
  return bench;
}

} // namespace

TEST_CASE("exports of a workspace over its share of a full store count less")
{
  auto bench = NearlyFull();
  CHECK(bench.state_.stores_.at("store-0").freedValuePerByte_ > 0.0);
  bench.Post(Run(30, 2));
  bench.Post(Run(31, 2, "engine-1", "authority"));
  REQUIRE(bench.state_.exports_.size() == 2);
  const auto& heavy = bench.state_.exports_.begin()->second;
  const auto& light = std::prev(bench.state_.exports_.end())->second;
  CHECK(light.workspace_ == "authority");
  CHECK(heavy.valuePerByte_ < 0.5 * light.valuePerByte_);
}

TEST_CASE(
  "a nearly full store takes nothing that is worth less than its blocks")
{
  auto bench = Ready();
  for (std::uint64_t prompt = 1; prompt <= 18; ++prompt) {
    ExportAll(bench, Run(prompt, 5, "engine-1", "authority"));
  }
  auto& gone = bench.state_.returns_["co-operative"];
  for (int i = 0; i < 100; ++i) {
    retention::RecordAbandonment(gone, bench.now_);
  }
  bench.now_ += absl::Minutes(2);
  bench.Post(Report(92 * kBlockBytes));
  bench.Post(Run(30, 5));
  CHECK(bench.state_.exports_.empty());
  bench.Post(Report(50 * kBlockBytes));
  bench.now_ += absl::Minutes(2);
  bench.Post(Report(50 * kBlockBytes));
  bench.Post(Run(31, 5));
  CHECK(bench.state_.exports_.size() == 1);
}

TEST_CASE("blocks of a workspace over its share are freed first")
{
  auto bench = NearlyFull();
  bench.Post(Report(96 * kBlockBytes));
  bench.Post(offload::InventoryRead{ "store-0", true, Inventory(18), false });
  const auto frees = Of<offload::FreeBlock>(bench.Tick());
  REQUIRE(frees.size() == 6);
  for (const auto& free : frees) {
    CHECK(free.block_.root_ != Chain(18, 1)[0]);
  }
}

TEST_CASE("the value that new blocks have to exceed falls with the store's use")
{
  auto bench = NearlyFull();
  bench.now_ += absl::Minutes(2);
  bench.Post(Report(50 * kBlockBytes));
  CHECK(bench.state_.stores_.at("store-0").freedValuePerByte_ == 0.0);
  CHECK(Of<offload::StartExport>(bench.Post(Run(30, 5))).size() == 1);
}

TEST_CASE("an export waits for room and is dropped after its latest start")
{
  auto bench = Ready();
  bench.Post(Report(98 * kBlockBytes));
  CHECK(Of<offload::StartExport>(bench.Post(Run(1, 5))).empty());
  SECTION("there is room in time")
  {
    bench.Post(Report(89 * kBlockBytes));
    CHECK(Of<offload::StartExport>(bench.Tick()).size() == 1);
  }
  SECTION("there is none")
  {
    bench.now_ = bench.state_.exports_.begin()->second.latestStart_ +
                 absl::Milliseconds(1);
    CHECK(Results(bench.Tick()) == Names{ "no_room" });
  }
}

TEST_CASE("a prompt longer than the free part of a store is exported in parts")
{
  auto bench = Ready();
  bench.Post(Report(94 * kBlockBytes));
  const auto started = Of<offload::StartExport>(bench.Post(Run(1, 8)));
  REQUIRE(started.size() == 1);
  Accept(bench, started[0].id_);
  auto report = Done(started[0].id_, Chain(1, 6));
  report.status_ = offload::ExportStatus::Failed;
  bench.Post(report);
  bench.Post(Report(kStoreBytes));
  CHECK(Of<offload::StartExport>(bench.Tick()).empty());
  bench.Post(Report(90 * kBlockBytes));
  const auto rest = Of<offload::StartExport>(bench.Tick());
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].blocks_ == std::vector<core::BlockKey>{ { 1, 6 }, { 1, 7 } });
}

namespace {

// An engine's export as a fake engine and store carry it out.
struct FakeExport
{
  offload::StartExport order_;
  bool lost_ = false;
};

// Engines and a store that fail at random, behind one steward.
struct World
{
  explicit World(unsigned aSeed)
    : random_(aSeed)
  {
  }

  bool Chance(double aChance)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < aChance;
  }
  std::uint64_t Below(std::uint64_t aLimit) { return random_() % aLimit; }

  std::mt19937_64 random_;
  Bench bench_ = Ready();
  std::deque<offload::Effect> todo_;
  absl::btree_map<std::string, FakeExport> engineExports_;
  absl::btree_map<core::BlockKey, offload::StoredBlock> store_;
  absl::flat_hash_map<core::BlockKey, std::string> workspaceOf_;
  std::uint64_t lastGeneration_ = 0;
  std::uint64_t lastExport_ = 0;
  std::uint64_t announced_ = 0;
  std::uint64_t freed_ = 0;
};

std::uint64_t
UsedBytes(const World& aWorld)
{
  return aWorld.store_.size() * kBlockBytes;
}

// Before the last export of a step starts, the store is below its mark, with
// the other exports under way and as its last report shows it; those that
// started before it in the step saw less.
void
CheckRoom(const World& aWorld, const offload::Effects& aEffects)
{
  const auto orders = Of<offload::StartExport>(aEffects);
  if (orders.empty()) {
    return;
  }
  const auto& state = aWorld.bench_.state_;
  auto bytes = state.stores_.at("store-0").usedBytes_;
  for (const auto& [id, item] : state.exports_) {
    const bool other =
      id != orders.back().id_ && item.stage_ != offload::ExportStage::Waiting;
    bytes += other ? item.bytes_ : 0;
  }
  REQUIRE(bytes < 95 * kBlockBytes);
}

void
Post(World& aWorld, offload::EventBody aBody)
{
  auto effects = aWorld.bench_.Post(std::move(aBody));
  CheckRoom(aWorld, effects);
  for (auto& effect : effects) {
    aWorld.todo_.push_back(std::move(effect));
  }
}

void
Carry(World& aWorld, const offload::StartExport& aOrder)
{
  if (aWorld.Chance(0.1)) {
    Post(aWorld, offload::ExportStarted{ aOrder.id_, false, "" });
    return;
  }
  const auto name = absl::StrCat(++aWorld.lastExport_);
  aWorld.engineExports_[name] = { aOrder, aWorld.Chance(0.1) };
  Post(aWorld, offload::ExportStarted{ aOrder.id_, true, name });
  if (aWorld.Chance(0.1)) {
    Post(aWorld, offload::ExportStarted{ aOrder.id_, true, "other" });
  }
}

// Commits the blocks of an export as far as chance and room allow.
offload::ExportReported
Finish(World& aWorld, std::uint64_t aId, const offload::StartExport& aOrder)
{
  offload::ExportReported report;
  report.id_ = aId;
  report.status_ = offload::ExportStatus::Done;
  report.weightVersion_ = aWorld.Chance(0.1) ? "v2" : "v1";
  for (const auto& key : aOrder.blocks_) {
    if (UsedBytes(aWorld) >= kStoreBytes || aWorld.Chance(0.05)) {
      report.status_ = offload::ExportStatus::Failed;
      continue;
    }
    const offload::StoredBlock block{
      key, { key.high_, 0 }, ++aWorld.lastGeneration_, kBlockBytes
    };
    aWorld.store_[key] = block;
    report.blocks_.push_back(block);
  }
  return report;
}

void
Carry(World& aWorld, const offload::PollExport& aAsk)
{
  const auto found = aWorld.engineExports_.find(aAsk.exportName_);
  if (aWorld.Chance(0.2)) {
    Post(aWorld,
         offload::ExportReported{ aAsk.id_, offload::ExportStatus::Running });
  } else if (found == aWorld.engineExports_.end() || found->second.lost_) {
    Post(aWorld,
         offload::ExportReported{ aAsk.id_, offload::ExportStatus::Lost });
  } else {
    const auto report = Finish(aWorld, aAsk.id_, found->second.order_);
    aWorld.engineExports_.erase(found);
    Post(aWorld, report);
    Post(aWorld, report);
  }
}

void
Carry(World& aWorld, const offload::PollStore&)
{
  Post(aWorld,
       offload::StoreReported{ "store-0",
                               !aWorld.Chance(0.05),
                               UsedBytes(aWorld),
                               aWorld.Below(40'000'000) });
}

// Blocks are announced only while the store holds that generation.
void
Carry(World& aWorld, const offload::ReportSightings& aTell)
{
  for (const auto& block : aTell.blocks_) {
    const auto found = aWorld.store_.find(block.key_);
    if (aTell.present_) {
      REQUIRE(found != aWorld.store_.end());
      REQUIRE(found->second.generation_ == block.generation_);
      ++aWorld.announced_;
    } else {
      REQUIRE((found == aWorld.store_.end() ||
               found->second.generation_ > block.generation_));
    }
  }
}

void
Carry(World& aWorld, const offload::FetchInventory& aFetch)
{
  constexpr std::size_t kPage = 40;
  offload::InventoryRead read{ "store-0", !aWorld.Chance(0.05) };
  auto next = aFetch.after_ ? aWorld.store_.upper_bound(*aFetch.after_)
                            : aWorld.store_.begin();
  while (next != aWorld.store_.end() && read.blocks_.size() < kPage) {
    read.blocks_.push_back(next->second);
    ++next;
  }
  read.more_ = next != aWorld.store_.end();
  Post(aWorld, read);
}

void
Carry(World& aWorld, const offload::FreeBlock& aFree)
{
  auto result = offload::FreeResult::Failed;
  const auto found = aWorld.store_.find(aFree.block_.key_);
  if (aWorld.Chance(0.1)) {
    result = offload::FreeResult::Pinned;
  } else if (found != aWorld.store_.end() &&
             found->second.generation_ == aFree.block_.generation_) {
    aWorld.store_.erase(found);
    ++aWorld.freed_;
    result = offload::FreeResult::Freed;
  }
  Post(aWorld,
       offload::FreeEnded{ "store-0", aFree.block_, aFree.reason_, result });
}

void
Carry(World&, const offload::Log&)
{
}

void
Carry(World&, const offload::Count&)
{
}

void
RunOnce(World& aWorld)
{
  const auto prompt = 1 + aWorld.Below(60);
  const auto* workspace = prompt % 3 == 0 ? "authority" : "co-operative";
  const auto* target = aWorld.Chance(0.5) ? "engine-0" : "engine-1";
  Post(aWorld, Run(prompt, 1 + aWorld.Below(8), target, workspace));
}

void
Advance(World& aWorld)
{
  const bool frozen = aWorld.Chance(0.002);
  const auto time = frozen ? absl::Hours(2) : absl::Milliseconds(100);
  aWorld.bench_.now_ += time;
  if (aWorld.Chance(0.1)) {
    RunOnce(aWorld);
  }
  Post(aWorld, offload::Tick{});
  // Effects are carried out late and in order of their age.
  while (!aWorld.todo_.empty() && !aWorld.Chance(0.05)) {
    const auto effect = std::move(aWorld.todo_.front());
    aWorld.todo_.pop_front();
    std::visit([&](const auto& aPart) { Carry(aWorld, aPart); }, effect);
  }
}

} // namespace

TEST_CASE("invariants hold in random runs with failures")
{
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U, 6U }) {
    CAPTURE(seed);
    World world(seed);
    for (int i = 0; i < 20'000; ++i) {
      Advance(world);
      REQUIRE(UsedBytes(world) <= kStoreBytes);
    }
    CHECK(world.announced_ > 100);
    CHECK(world.freed_ > 100);
  }
}

TEST_CASE("the state stays bounded when many prompts run")
{
  auto bench = Ready();
  for (std::uint64_t prompt = 0; prompt < 40'000; ++prompt) {
    offload::Step(bench.state_, { bench.now_, Run(prompt, 2) });
    bench.now_ += absl::Milliseconds(10);
  }
  REQUIRE(offload::BrokenInvariant(bench.state_).empty());
  CHECK(bench.state_.prompts_.size() == offload::kMaxPrompts);
}
