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
MakeChain(std::uint64_t aPrompt, std::size_t aBlocks)
{
  std::vector<core::BlockKey> chain;
  for (std::size_t i = 0; i < aBlocks; ++i) {
    chain.push_back({ aPrompt, i });
  }
  return chain;
}

// The reducer of one steward, to which tests post events.
struct Fixture
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
EffectsOf(const offload::Effects& aEffects)
{
  std::vector<T> found;
  for (const auto& effect : aEffects) {
    if (const auto* part = std::get_if<T>(&effect)) {
      found.push_back(*part);
    }
  }
  return found;
}

// Returns the counted results of ended exports, in order.
std::vector<std::string>
Results(const offload::Effects& aEffects)
{
  std::vector<std::string> results;
  for (const auto& count : EffectsOf<offload::Count>(aEffects)) {
    if (count.counter_ == offload::Counter::Exports) {
      results.push_back(count.result_);
    }
  }
  return results;
}

using Names = std::vector<std::string>;

offload::StoreReported
StoreReport(std::uint64_t aUsed = 0, std::uint64_t aBacklog = 0)
{
  return { "store-0", true, aUsed, aBacklog };
}

Fixture
ReadyFixture()
{
  Fixture fixture;
  fixture.Post(offload::ConfigChanged{ MakeConfig() });
  fixture.Post(offload::HostsChanged{ { "host-a" } });
  fixture.Post(StoreReport());
  return fixture;
}

offload::RunFinished
MakeRun(std::uint64_t aPrompt,
        std::size_t aBlocks,
        const std::string& aTarget = "engine-0",
        const std::string& aWorkspace = "co-operative")
{
  return {
    { aWorkspace, "wording", "v1", aTarget, MakeChain(aPrompt, aBlocks) }
  };
}

std::vector<offload::StoredBlock>
CommittedBlocks(const std::vector<core::BlockKey>& aKeys)
{
  std::vector<offload::StoredBlock> blocks;
  blocks.reserve(aKeys.size());
  std::uint64_t generation = 0;
  for (const auto& key : aKeys) {
    blocks.push_back({ key, {}, ++generation, kBlockBytes });
  }
  return blocks;
}

// Accepts an export and makes the reducer poll it, so that it expects a report.
void
Accept(Fixture& aFixture, std::uint64_t aId)
{
  aFixture.Post(offload::ExportStarted{ aId, true, "7" });
  REQUIRE(EffectsOf<offload::PollExport>(aFixture.TickAfter(absl::Seconds(1)))
            .size() == 1);
}

offload::ExportReported
DoneReport(std::uint64_t aId, const std::vector<core::BlockKey>& aKeys)
{
  return { aId, offload::ExportStatus::Done, "v1", CommittedBlocks(aKeys) };
}

// Finishes a run and exports its blocks; returns the effects of the last event.
offload::Effects
RunAndExport(Fixture& aFixture, const offload::RunFinished& aRun)
{
  aFixture.Post(StoreReport(aFixture.state_.stores_.at("store-0").usedBytes_));
  const auto started = EffectsOf<offload::StartExport>(aFixture.Post(aRun));
  REQUIRE(started.size() == 1);
  Accept(aFixture, started[0].id_);
  return aFixture.Post(DoneReport(started[0].id_, started[0].blocks_));
}

} // namespace

TEST_CASE("a finished run is exported and reported once it is committed")
{
  auto fixture = ReadyFixture();
  const auto started =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5)));
  REQUIRE(started.size() == 1);
  CHECK(started[0].engineUrl_ == "http://engine-0");
  CHECK(started[0].storeUrl_ == "http://store-0");
  CHECK(started[0].blocks_ == MakeChain(1, 5));
  Accept(fixture, started[0].id_);
  const auto effects =
    fixture.Post(DoneReport(started[0].id_, started[0].blocks_));
  const auto reports = EffectsOf<offload::ReportSightings>(effects);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].present_);
  CHECK(reports[0].blocks_.size() == 5);
  CHECK(reports[0].blocks_[4].root_ == MakeChain(1, 1)[0]);
  CHECK(Results(effects) == Names{ "done" });
  CHECK(fixture.state_.exports_.empty());
}

TEST_CASE("only blocks that the store doesn't hold are exported")
{
  auto fixture = ReadyFixture();
  RunAndExport(fixture, MakeRun(1, 5));
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).empty());
  CHECK(fixture.state_.exports_.empty());
  auto longer = MakeRun(1, 8);
  longer.run_.reusedBlocks_ = 5;
  const auto started = EffectsOf<offload::StartExport>(fixture.Post(longer));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ ==
        std::vector<core::BlockKey>{ { 1, 5 }, { 1, 6 }, { 1, 7 } });
}

TEST_CASE("blocks that had to be computed again are exported again")
{
  auto fixture = ReadyFixture();
  RunAndExport(fixture, MakeRun(1, 5));
  fixture.now_ += absl::Hours(24);
  fixture.Post(StoreReport());
  auto returned = MakeRun(1, 5);
  returned.run_.reusedBlocks_ = 3;
  const auto started = EffectsOf<offload::StartExport>(fixture.Post(returned));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ ==
        std::vector<core::BlockKey>{ { 1, 3 }, { 1, 4 } });
}

TEST_CASE("a run that is reported twice is exported once")
{
  auto fixture = ReadyFixture();
  REQUIRE(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).size() ==
          1);
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).empty());
  CHECK(fixture.state_.exports_.size() == 1);
}

TEST_CASE("blocks that another host has exported are not exported again")
{
  auto fixture = ReadyFixture();
  auto run = MakeRun(1, 5);
  run.run_.storedPrefixes_ = { { "store-0", 5 } };
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(run)).empty());
  run.run_.storedPrefixes_ = { { "store-0", 3 } };
  const auto started = EffectsOf<offload::StartExport>(fixture.Post(run));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ ==
        std::vector<core::BlockKey>{ { 1, 3 }, { 1, 4 } });
}

TEST_CASE("blocks that a store has lost are exported again")
{
  auto fixture = ReadyFixture();
  RunAndExport(fixture, MakeRun(1, 5));
  auto run = MakeRun(1, 5);
  run.run_.reusedBlocks_ = 5;
  run.run_.storedPrefixes_ = std::vector<offload::StoredPrefix>();
  // The directory may not yet have received the report of these blocks when the
  // run was placed.
  fixture.now_ += absl::Seconds(20);
  fixture.Post(StoreReport());
  run.run_.age_ = absl::Seconds(18);
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(run)).empty());
  run.run_.age_ = absl::Seconds(1);
  const auto started = EffectsOf<offload::StartExport>(fixture.Post(run));
  REQUIRE(started.size() == 1);
  CHECK(started[0].blocks_ == MakeChain(1, 5));
}

TEST_CASE("a run placed without knowledge of what stores hold changes nothing")
{
  auto fixture = ReadyFixture();
  RunAndExport(fixture, MakeRun(1, 5));
  fixture.now_ += absl::Seconds(20);
  fixture.Post(StoreReport());
  auto run = MakeRun(1, 5);
  run.run_.reusedBlocks_ = 5;
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(run)).empty());
}

TEST_CASE("a store that was down is used again also by hosts that don't own it")
{
  const std::vector<std::string> hosts{ "host-a", "host-b", "host-c" };
  for (const auto& host : hosts) {
    Fixture fixture = ReadyFixture();
    fixture.state_.self_ = host;
    fixture.Post(offload::HostsChanged{ hosts });
    fixture.Post(offload::StoreReported{ "store-0", false });
    CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).empty());
    fixture.now_ += absl::Seconds(20);
    REQUIRE(EffectsOf<offload::PollStore>(fixture.Tick()).size() == 1);
    fixture.Post(StoreReport());
    CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).size() ==
          1);
  }
}

TEST_CASE("late and repeated reports of an export change nothing")
{
  auto fixture = ReadyFixture();
  const auto started =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5)));
  const auto id = started.at(0).id_;
  CHECK(fixture.Post(DoneReport(id, MakeChain(1, 5))).empty());
  Accept(fixture, id);
  CHECK_FALSE(fixture.Post(DoneReport(id, MakeChain(1, 5))).empty());
  CHECK(fixture.Post(DoneReport(id, MakeChain(1, 5))).empty());
  CHECK(fixture.Post(offload::ExportStarted{ id, true, "7" }).empty());
}

TEST_CASE("an export of another weight version is freed and not reported")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  Accept(fixture, id);
  auto report = DoneReport(id, MakeChain(1, 5));
  report.weightVersion_ = "v2";
  const auto effects = fixture.Post(report);
  CHECK(EffectsOf<offload::ReportSightings>(effects).empty());
  CHECK(Results(effects) == Names{ "version_changed" });
  CHECK(EffectsOf<offload::FreeBlock>(effects).size() == 5);
  CHECK(fixture.state_.exports_.empty());
  CHECK(fixture.state_.held_.empty());
}

TEST_CASE("an export to a store that dies during it is retried once")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  Accept(fixture, id);
  auto report = DoneReport(id, MakeChain(1, 2));
  report.status_ = offload::ExportStatus::Failed;
  const auto first = fixture.Post(report);
  CHECK(EffectsOf<offload::ReportSightings>(first).at(0).blocks_.size() == 2);
  CHECK(Results(first).empty());
  fixture.Post(offload::StoreReported{ "store-0", false });
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).empty());
  fixture.Post(StoreReport());
  const auto again = EffectsOf<offload::StartExport>(fixture.Tick());
  REQUIRE(again.size() == 1);
  CHECK(again[0].blocks_.size() == 3);
  Accept(fixture, id);
  auto failed = DoneReport(id, {});
  failed.status_ = offload::ExportStatus::Failed;
  CHECK(Results(fixture.Post(failed)) == Names{ "failed" });
  CHECK(fixture.state_.exports_.empty());
}

TEST_CASE("a store that refuses all blocks gets no exports for a while")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  Accept(fixture, id);
  auto failed = DoneReport(id, {});
  failed.status_ = offload::ExportStatus::Failed;
  fixture.Post(failed);
  fixture.Post(StoreReport());
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).empty());
  fixture.now_ += absl::Seconds(6);
  fixture.Post(StoreReport());
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).size() == 1);
}

TEST_CASE("an export from an unreachable engine is retried once")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  fixture.Post(offload::ExportStarted{ id, false, "" });
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).size() == 1);
  const auto effects = fixture.Post(offload::ExportStarted{ id, false, "" });
  CHECK(Results(effects) == Names{ "failed" });
}

TEST_CASE("an engine that forgot an export is asked to start it again")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  Accept(fixture, id);
  fixture.Post(offload::ExportReported{ id, offload::ExportStatus::Lost });
  fixture.Post(StoreReport());
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).size() == 1);
}

TEST_CASE("an export that never ends is given up after one retry")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  Accept(fixture, id);
  fixture.now_ += absl::Hours(3);
  fixture.Post(
    offload::ExportReported{ id, offload::ExportStatus::Unreachable });
  CHECK(fixture.state_.exports_.empty());
}

TEST_CASE("a steward resumed late drops exports of what engines have evicted")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(0, kStoreBytes));
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).empty());
  REQUIRE(fixture.state_.exports_.size() == 1);
  fixture.now_ += absl::Hours(5);
  fixture.Post(StoreReport());
  const auto effects = fixture.Tick();
  CHECK(EffectsOf<offload::StartExport>(effects).empty());
  CHECK(Results(effects) == Names{ "missed" });
}

TEST_CASE("a steward resumed late finishes an export that ended meanwhile")
{
  auto fixture = ReadyFixture();
  const auto id =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).at(0).id_;
  Accept(fixture, id);
  fixture.now_ += absl::Hours(5);
  const auto effects = fixture.Post(DoneReport(id, MakeChain(1, 5)));
  CHECK(Results(effects) == Names{ "done" });
}

TEST_CASE("exports wait for a busy link until their latest start")
{
  auto fixture = ReadyFixture();
  const std::uint64_t backlog = 100'000'000;
  fixture.Post(StoreReport(0, backlog));
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).empty());
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).empty());
  fixture.now_ =
    fixture.state_.exports_.begin()->second.latestStart_ - absl::Seconds(1);
  fixture.Post(StoreReport(0, backlog));
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).size() == 1);
}

TEST_CASE("an engine exports one prompt at once, the most valuable first")
{
  auto fixture = ReadyFixture();
  REQUIRE(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 3))).size() ==
          1);
  for (std::uint64_t prompt = 2; prompt < 6; ++prompt) {
    CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(prompt, 3)))
            .empty());
  }
  const auto best = std::prev(fixture.state_.exports_.end());
  best->second.valuePerByte_ *= 2.0;
  Accept(fixture, 1);
  fixture.Post(DoneReport(1, MakeChain(1, 3)));
  const auto next = EffectsOf<offload::StartExport>(fixture.Tick());
  REQUIRE(next.size() == 1);
  CHECK(next[0].id_ == best->first);
}

TEST_CASE("a prompt larger than the engine's cache is not exported")
{
  auto fixture = ReadyFixture();
  fixture.Post(MakeRun(1, 65));
  CHECK(fixture.state_.exports_.empty());
}

TEST_CASE("an engine is expected to evict sooner when more blocks come in")
{
  auto fixture = ReadyFixture();
  fixture.Post(MakeRun(1, 5));
  const auto before =
    offload::ExpectedTimeToEviction(fixture.state_, "engine-0", 5);
  for (std::uint64_t prompt = 2; prompt < 20; ++prompt) {
    fixture.Post(MakeRun(prompt, 5));
  }
  const auto after =
    offload::ExpectedTimeToEviction(fixture.state_, "engine-0", 5);
  CHECK(after < before / 5);
  CHECK(offload::ExpectedTimeToEviction(fixture.state_, "engine-1", 5) >
        before);
}

TEST_CASE("the gap between two runs of a prompt is recorded")
{
  auto fixture = ReadyFixture();
  fixture.Post(MakeRun(1, 5));
  fixture.now_ += absl::Hours(48);
  fixture.Post(MakeRun(1, 5));
  const auto& histogram = fixture.state_.returns_.at("co-operative");
  CHECK(histogram.returned_[17] == Approx(1.0));
}

TEST_CASE("a prompt that doesn't return for a month counts as abandoned")
{
  auto fixture = ReadyFixture();
  fixture.Post(MakeRun(1, 5));
  fixture.now_ += absl::Hours(24 * 31);
  fixture.Post(MakeRun(2, 5));
  CHECK(fixture.state_.returns_.at("co-operative").abandoned_ == Approx(1.0));
  CHECK(fixture.state_.prompts_.size() == 1);
}

TEST_CASE("runs that name unknown targets or workspaces are ignored")
{
  auto fixture = ReadyFixture();
  fixture.Post(MakeRun(1, 5, "engine-9"));
  fixture.Post(MakeRun(1, 5, "engine-0", "stranger"));
  fixture.Post(MakeRun(1, 0));
  CHECK(fixture.state_.exports_.empty());
  CHECK(fixture.state_.prompts_.empty());
  Fixture blank;
  blank.Post(MakeRun(1, 5));
  blank.Tick();
  CHECK(blank.state_.prompts_.empty());
}

TEST_CASE("exports to a removed store are dropped")
{
  auto fixture = ReadyFixture();
  REQUIRE(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).size() ==
          1);
  config::Config changed = *MakeConfig();
  changed.revision_ = 2;
  changed.stores_.clear();
  fixture.Post(offload::ConfigChanged{
    std::make_shared<const config::Config>(std::move(changed)) });
  CHECK(Results(fixture.Tick()) == Names{ "removed" });
  CHECK(fixture.Post(offload::ExportStarted{ 1, true, "7" }).empty());
  fixture.Post(offload::ConfigChanged{ MakeConfig() });
  CHECK(fixture.state_.config_->revision_ == 2);
}

namespace {

// Makes a store's inventory of aPrompts prompts with five blocks each.
std::vector<offload::StoredBlock>
MakeInventory(std::uint64_t aPrompts)
{
  std::vector<offload::StoredBlock> blocks;
  std::uint64_t generation = 0;
  for (std::uint64_t prompt = 1; prompt <= aPrompts; ++prompt) {
    for (const auto& key : MakeChain(prompt, 5)) {
      blocks.push_back({ key, { prompt, 0 }, ++generation, kBlockBytes });
    }
  }
  return blocks;
}

} // namespace

TEST_CASE(
  "a full store is freed down to its low-water mark, its oldest prompts first")
{
  auto fixture = ReadyFixture();
  const auto read = EffectsOf<offload::FetchInventory>(
    fixture.Post(StoreReport(96 * kBlockBytes)));
  REQUIRE(read.size() == 1);
  CHECK_FALSE(read[0].after_);
  fixture.Post(
    offload::InventoryRead{ "store-0", true, MakeInventory(19), false });
  auto frees = EffectsOf<offload::FreeBlock>(fixture.Tick());
  REQUIRE(frees.size() == 6);
  CHECK(frees[0].block_.root_ == MakeChain(1, 1)[0]);
  CHECK(frees[0].block_.key_ == MakeChain(1, 5)[4]);
  for (const auto& free : frees) {
    fixture.Post(offload::FreeEnded{
      "store-0", free.block_, free.reason_, offload::FreeResult::Freed });
  }
  fixture.Tick();
  const auto& store = fixture.state_.stores_.at("store-0");
  CHECK(store.eviction_.stage_ == offload::EvictionStage::Idle);
  CHECK(store.usedBytes_ == 90 * kBlockBytes);
}

TEST_CASE("pinned blocks stay and freed blocks are reported")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(96 * kBlockBytes));
  fixture.Post(
    offload::InventoryRead{ "store-0", true, MakeInventory(19), false });
  const auto frees = EffectsOf<offload::FreeBlock>(fixture.Tick());
  REQUIRE(frees.size() == 6);
  std::size_t reports = 0;
  for (std::size_t i = 0; i < frees.size(); ++i) {
    const auto result =
      i == 0 ? offload::FreeResult::Pinned : offload::FreeResult::Freed;
    const auto effects = fixture.Post(offload::FreeEnded{
      "store-0", frees[i].block_, frees[i].reason_, result });
    for (const auto& report : EffectsOf<offload::ReportSightings>(effects)) {
      CHECK_FALSE(report.present_);
      reports += report.blocks_.size();
    }
  }
  CHECK(reports == 5);
}

TEST_CASE("only one of the live hosts frees a store's blocks")
{
  const std::vector<std::string> hosts{ "host-a", "host-b", "host-c" };
  int owners = 0;
  for (const auto& host : hosts) {
    Fixture fixture = ReadyFixture();
    fixture.state_.self_ = host;
    fixture.Post(offload::HostsChanged{ hosts });
    const auto effects = fixture.Post(StoreReport(96 * kBlockBytes));
    owners += EffectsOf<offload::FetchInventory>(effects).empty() ? 0 : 1;
  }
  CHECK(owners == 1);
}

TEST_CASE("a steward resumed late drops its plan to free blocks")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(96 * kBlockBytes));
  fixture.now_ += absl::Hours(1);
  fixture.Tick();
  const auto effects = fixture.Post(
    offload::InventoryRead{ "store-0", true, MakeInventory(19), false });
  CHECK(effects.empty());
  CHECK(EffectsOf<offload::FreeBlock>(fixture.Tick()).empty());
}

TEST_CASE("a steward that is no longer the owner stops freeing")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(96 * kBlockBytes));
  fixture.Post(
    offload::InventoryRead{ "store-0", true, MakeInventory(19), false });
  fixture.Post(offload::HostsChanged{ { "host-b" } });
  CHECK(EffectsOf<offload::FreeBlock>(fixture.Tick()).empty());
}

TEST_CASE("an inventory is read page by page")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(96 * kBlockBytes));
  auto all = MakeInventory(19);
  const std::vector<offload::StoredBlock> head(all.begin(), all.begin() + 50);
  const std::vector<offload::StoredBlock> tail(all.begin() + 50, all.end());
  const auto next = EffectsOf<offload::FetchInventory>(
    fixture.Post(offload::InventoryRead{ "store-0", true, head, true }));
  REQUIRE(next.size() == 1);
  CHECK(next[0].after_ == head.back().key_);
  fixture.Post(offload::InventoryRead{ "store-0", true, tail, false });
  CHECK(EffectsOf<offload::FreeBlock>(fixture.Tick()).size() == 6);
}

TEST_CASE("a store that dies during an inventory read ends the eviction")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(96 * kBlockBytes));
  fixture.Post(offload::InventoryRead{ "store-0", false });
  CHECK(fixture.state_.stores_.at("store-0").eviction_.stage_ ==
        offload::EvictionStage::Idle);
  CHECK(EffectsOf<offload::FetchInventory>(
          fixture.Post(StoreReport(96 * kBlockBytes)))
          .size() == 1);
}

namespace {

// Makes a store that is nearly full of two workspaces' prompts: the
// co-operative is far over its share, the authority below it.
Fixture
NearlyFullStore()
{
  auto fixture = ReadyFixture();
  for (std::uint64_t prompt = 1; prompt <= 17; ++prompt) {
    RunAndExport(fixture, MakeRun(prompt, 5, "engine-0", "co-operative"));
    fixture.now_ += absl::Minutes(30);
  }
  RunAndExport(fixture, MakeRun(18, 5, "engine-1", "authority"));
  fixture.now_ += absl::Minutes(30);
  fixture.Post(StoreReport(92 * kBlockBytes));
  return fixture;
}

} // namespace

TEST_CASE("exports of a workspace over its share of a full store count less")
{
  auto fixture = NearlyFullStore();
  CHECK(fixture.state_.stores_.at("store-0").freedValuePerByte_ > 0.0);
  fixture.Post(MakeRun(30, 2));
  fixture.Post(MakeRun(31, 2, "engine-1", "authority"));
  REQUIRE(fixture.state_.exports_.size() == 2);
  const auto& overShare = fixture.state_.exports_.begin()->second;
  const auto& belowShare = std::prev(fixture.state_.exports_.end())->second;
  CHECK(belowShare.workspace_ == "authority");
  CHECK(overShare.valuePerByte_ < 0.5 * belowShare.valuePerByte_);
}

TEST_CASE("a nearly full store gets no blocks that are worth less than its own")
{
  auto fixture = ReadyFixture();
  for (std::uint64_t prompt = 1; prompt <= 18; ++prompt) {
    RunAndExport(fixture, MakeRun(prompt, 5, "engine-1", "authority"));
  }
  auto& histogram = fixture.state_.returns_["co-operative"];
  for (int i = 0; i < 100; ++i) {
    retention::RecordAbandonment(histogram, fixture.now_);
  }
  fixture.now_ += absl::Minutes(2);
  fixture.Post(StoreReport(92 * kBlockBytes));
  fixture.Post(MakeRun(30, 5));
  CHECK(fixture.state_.exports_.empty());
  fixture.Post(StoreReport(50 * kBlockBytes));
  fixture.now_ += absl::Minutes(2);
  fixture.Post(StoreReport(50 * kBlockBytes));
  fixture.Post(MakeRun(31, 5));
  CHECK(fixture.state_.exports_.size() == 1);
}

TEST_CASE("blocks of a workspace over its share are freed first")
{
  auto fixture = NearlyFullStore();
  fixture.Post(StoreReport(96 * kBlockBytes));
  fixture.Post(
    offload::InventoryRead{ "store-0", true, MakeInventory(18), false });
  const auto frees = EffectsOf<offload::FreeBlock>(fixture.Tick());
  REQUIRE(frees.size() == 6);
  for (const auto& free : frees) {
    CHECK(free.block_.root_ != MakeChain(18, 1)[0]);
  }
}

TEST_CASE(
  "the value that new blocks have to exceed falls with the store's usage")
{
  auto fixture = NearlyFullStore();
  fixture.now_ += absl::Minutes(2);
  fixture.Post(StoreReport(50 * kBlockBytes));
  CHECK(fixture.state_.stores_.at("store-0").freedValuePerByte_ == 0.0);
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(30, 5))).size() ==
        1);
}

TEST_CASE("an export waits for room and is dropped after its latest start")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(98 * kBlockBytes));
  CHECK(EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 5))).empty());
  SECTION("the store has room in time")
  {
    fixture.Post(StoreReport(89 * kBlockBytes));
    CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).size() == 1);
  }
  SECTION("the store has none in time")
  {
    fixture.now_ = fixture.state_.exports_.begin()->second.latestStart_ +
                   absl::Milliseconds(1);
    CHECK(Results(fixture.Tick()) == Names{ "no_room" });
  }
}

TEST_CASE(
  "a prompt longer than the free part of a store is exported in two parts")
{
  auto fixture = ReadyFixture();
  fixture.Post(StoreReport(94 * kBlockBytes));
  const auto started =
    EffectsOf<offload::StartExport>(fixture.Post(MakeRun(1, 8)));
  REQUIRE(started.size() == 1);
  Accept(fixture, started[0].id_);
  auto report = DoneReport(started[0].id_, MakeChain(1, 6));
  report.status_ = offload::ExportStatus::Failed;
  fixture.Post(report);
  fixture.Post(StoreReport(kStoreBytes));
  CHECK(EffectsOf<offload::StartExport>(fixture.Tick()).empty());
  fixture.Post(StoreReport(90 * kBlockBytes));
  const auto rest = EffectsOf<offload::StartExport>(fixture.Tick());
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].blocks_ == std::vector<core::BlockKey>{ { 1, 6 }, { 1, 7 } });
}

namespace {

// An export on a fake engine; a lost one is unknown to the engine when polled.
struct FakeExport
{
  offload::StartExport order_;
  bool lost_ = false;
};

// Simulates one steward with engines and a store that fail at random.
struct Simulation
{
  explicit Simulation(unsigned aSeed)
    : random_(aSeed)
  {
  }

  bool Chance(double aChance)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < aChance;
  }
  std::uint64_t Below(std::uint64_t aLimit) { return random_() % aLimit; }

  std::mt19937_64 random_;
  Fixture fixture_ = ReadyFixture();
  std::deque<offload::Effect> pendingEffects_;
  absl::btree_map<std::string, FakeExport> engineExports_;
  absl::btree_map<core::BlockKey, offload::StoredBlock> store_;
  absl::flat_hash_map<core::BlockKey, std::string> workspaceOf_;
  std::uint64_t lastGeneration_ = 0;
  std::uint64_t lastExport_ = 0;
  std::uint64_t reportedBlocks_ = 0;
  std::uint64_t freed_ = 0;
};

std::uint64_t
UsedBytes(const Simulation& aSimulation)
{
  return aSimulation.store_.size() * kBlockBytes;
}

// Checks that the store was below its high-water mark before the last export of
// the step started, according to its last report plus all other active exports.
// Exports that started earlier in the step were compared with a smaller sum.
void
CheckRoom(const Simulation& aSimulation, const offload::Effects& aEffects)
{
  const auto orders = EffectsOf<offload::StartExport>(aEffects);
  if (orders.empty()) {
    return;
  }
  const auto& state = aSimulation.fixture_.state_;
  auto bytes = state.stores_.at("store-0").usedBytes_;
  for (const auto& [id, item] : state.exports_) {
    const bool other =
      id != orders.back().id_ && item.stage_ != offload::ExportStage::Waiting;
    bytes += other ? item.bytes_ : 0;
  }
  REQUIRE(bytes < 95 * kBlockBytes);
}

void
Post(Simulation& aSimulation, offload::EventBody aBody)
{
  auto effects = aSimulation.fixture_.Post(std::move(aBody));
  CheckRoom(aSimulation, effects);
  for (auto& effect : effects) {
    aSimulation.pendingEffects_.push_back(std::move(effect));
  }
}

void
Perform(Simulation& aSimulation, const offload::StartExport& aOrder)
{
  if (aSimulation.Chance(0.1)) {
    Post(aSimulation, offload::ExportStarted{ aOrder.id_, false, "" });
    return;
  }
  const auto name = absl::StrCat(++aSimulation.lastExport_);
  aSimulation.engineExports_[name] = { aOrder, aSimulation.Chance(0.1) };
  Post(aSimulation, offload::ExportStarted{ aOrder.id_, true, name });
  if (aSimulation.Chance(0.1)) {
    Post(aSimulation, offload::ExportStarted{ aOrder.id_, true, "other" });
  }
}

// Commits the blocks of an export, except those that fail at random or for lack
// of room.
offload::ExportReported
FinishExport(Simulation& aSimulation,
             std::uint64_t aId,
             const offload::StartExport& aOrder)
{
  offload::ExportReported report;
  report.id_ = aId;
  report.status_ = offload::ExportStatus::Done;
  report.weightVersion_ = aSimulation.Chance(0.1) ? "v2" : "v1";
  for (const auto& key : aOrder.blocks_) {
    if (UsedBytes(aSimulation) >= kStoreBytes || aSimulation.Chance(0.05)) {
      report.status_ = offload::ExportStatus::Failed;
      continue;
    }
    const offload::StoredBlock block{
      key, { key.high_, 0 }, ++aSimulation.lastGeneration_, kBlockBytes
    };
    aSimulation.store_[key] = block;
    report.blocks_.push_back(block);
  }
  return report;
}

void
Perform(Simulation& aSimulation, const offload::PollExport& aPoll)
{
  const auto found = aSimulation.engineExports_.find(aPoll.exportName_);
  if (aSimulation.Chance(0.2)) {
    Post(aSimulation,
         offload::ExportReported{ aPoll.id_, offload::ExportStatus::Running });
  } else if (found == aSimulation.engineExports_.end() || found->second.lost_) {
    Post(aSimulation,
         offload::ExportReported{ aPoll.id_, offload::ExportStatus::Lost });
  } else {
    const auto report =
      FinishExport(aSimulation, aPoll.id_, found->second.order_);
    aSimulation.engineExports_.erase(found);
    Post(aSimulation, report);
    Post(aSimulation, report);
  }
}

void
Perform(Simulation& aSimulation, const offload::PollStore&)
{
  Post(aSimulation,
       offload::StoreReported{ "store-0",
                               !aSimulation.Chance(0.05),
                               UsedBytes(aSimulation),
                               aSimulation.Below(40'000'000) });
}

// Checks that reported blocks match the store: present ones are held in that
// generation, absent ones are not.
void
Perform(Simulation& aSimulation, const offload::ReportSightings& aReport)
{
  for (const auto& block : aReport.blocks_) {
    const auto found = aSimulation.store_.find(block.key_);
    if (aReport.present_) {
      REQUIRE(found != aSimulation.store_.end());
      REQUIRE(found->second.generation_ == block.generation_);
      ++aSimulation.reportedBlocks_;
    } else {
      REQUIRE((found == aSimulation.store_.end() ||
               found->second.generation_ > block.generation_));
    }
  }
}

void
Perform(Simulation& aSimulation, const offload::FetchInventory& aFetch)
{
  constexpr std::size_t kPageSize = 40;
  offload::InventoryRead read{ "store-0", !aSimulation.Chance(0.05) };
  auto next = aFetch.after_ ? aSimulation.store_.upper_bound(*aFetch.after_)
                            : aSimulation.store_.begin();
  while (next != aSimulation.store_.end() && read.blocks_.size() < kPageSize) {
    read.blocks_.push_back(next->second);
    ++next;
  }
  read.more_ = next != aSimulation.store_.end();
  Post(aSimulation, read);
}

void
Perform(Simulation& aSimulation, const offload::FreeBlock& aFree)
{
  auto result = offload::FreeResult::Failed;
  const auto found = aSimulation.store_.find(aFree.block_.key_);
  if (aSimulation.Chance(0.1)) {
    result = offload::FreeResult::Pinned;
  } else if (found != aSimulation.store_.end() &&
             found->second.generation_ == aFree.block_.generation_) {
    aSimulation.store_.erase(found);
    ++aSimulation.freed_;
    result = offload::FreeResult::Freed;
  }
  Post(aSimulation,
       offload::FreeEnded{ "store-0", aFree.block_, aFree.reason_, result });
}

void
Perform(Simulation&, const offload::Log&)
{
}

void
Perform(Simulation&, const offload::Count&)
{
}

void
FinishRandomRun(Simulation& aSimulation)
{
  const auto prompt = 1 + aSimulation.Below(60);
  const auto* workspace = prompt % 3 == 0 ? "authority" : "co-operative";
  const auto* target = aSimulation.Chance(0.5) ? "engine-0" : "engine-1";
  Post(aSimulation,
       MakeRun(prompt, 1 + aSimulation.Below(8), target, workspace));
}

void
AdvanceSimulation(Simulation& aSimulation)
{
  const bool suspended = aSimulation.Chance(0.002);
  const auto time = suspended ? absl::Hours(2) : absl::Milliseconds(100);
  aSimulation.fixture_.now_ += time;
  if (aSimulation.Chance(0.1)) {
    FinishRandomRun(aSimulation);
  }
  Post(aSimulation, offload::Tick{});
  // Effects are performed after a delay, the oldest first.
  while (!aSimulation.pendingEffects_.empty() && !aSimulation.Chance(0.05)) {
    const auto effect = std::move(aSimulation.pendingEffects_.front());
    aSimulation.pendingEffects_.pop_front();
    std::visit([&](const auto& aEffect) { Perform(aSimulation, aEffect); },
               effect);
  }
}

} // namespace

TEST_CASE("invariants hold in random runs with failures")
{
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U, 6U }) {
    CAPTURE(seed);
    Simulation simulation(seed);
    for (int i = 0; i < 20'000; ++i) {
      AdvanceSimulation(simulation);
      REQUIRE(UsedBytes(simulation) <= kStoreBytes);
    }
    CHECK(simulation.reportedBlocks_ > 100);
    CHECK(simulation.freed_ > 100);
  }
}

TEST_CASE("the state stays bounded after many prompts have run")
{
  auto fixture = ReadyFixture();
  for (std::uint64_t prompt = 0; prompt < 40'000; ++prompt) {
    offload::Step(fixture.state_, { fixture.now_, MakeRun(prompt, 2) });
    fixture.now_ += absl::Milliseconds(10);
  }
  REQUIRE(offload::BrokenInvariant(fixture.state_).empty());
  CHECK(fixture.state_.prompts_.size() == offload::kMaxPrompts);
}
