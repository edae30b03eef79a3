#include "lycheeplank/cache_index.h"

#include <map>

#include <catch2/catch.hpp>

namespace catalog = lycheeplank::catalog;
namespace cache_index = lycheeplank::cache_index;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const absl::Time kSettled = kStart + cache_index::kEpochSettleTime;
const std::vector<cache_index::Part> kParts{ { "p1", 512 }, { "p2", 8000 } };

cache_index::Index
MakeIndex(int aStores = 3)
{
  std::vector<catalog::CacheStore> stores;
  for (int i = 0; i < aStores; ++i) {
    catalog::CacheStore store;
    store.name_ = "s" + std::to_string(i);
    store.address_ = "10.0.0." + std::to_string(i) + ":1";
    store.dataCentre_ = i % 2 == 0 ? "a" : "b";
    store.capacityTokens_ = 100000;
    stores.push_back(store);
  }
  cache_index::Index index;
  cache_index::SetStores(index, stores);
  index.clockOffset_ = absl::ZeroDuration();
  for (auto& [name, state] : index.stores_) {
    cache_index::ApplyChanges(state, 7, 1, {}, kStart);
    state.lastAnswerAt_ = kSettled;
  }
  return index;
}

cache_index::Plan
PlanAt(const cache_index::Index& aIndex, absl::Time aNow, double aDraw = 0.0)
{
  return cache_index::PlanParts(aIndex, "x.m.1", kParts, "a", aDraw, aNow);
}

void
AddPart(cache_index::Index& aIndex,
        const std::string& aStore,
        const std::string& aPart,
        std::uint32_t aTokens,
        const std::string& aScope = "x.m.1")
{
  auto& state = aIndex.stores_.at(aStore);
  cache_index::ApplyChanges(state,
                            state.epoch_,
                            state.next_ + 1,
                            { { true, aScope, aPart, aTokens } },
                            kSettled);
}

} // namespace

// Guards against a target that checked the end of a read, fell silent, and
// reads a part that is being written to the store which has restarted
// meanwhile.
TEST_CASE("a restarted store isn't written to while silent targets may read it")
{
  constexpr auto kSilence = absl::Milliseconds(1300);
  auto index = MakeIndex(1);
  auto& state = index.stores_.at("s0");
  cache_index::ApplyChanges(state, 8, 1, {}, kSettled);
  state.lastAnswerAt_ =
    kSettled + cache_index::kMaxStateAge + absl::Milliseconds(700) + kSilence;
  CHECK(PlanAt(index, state.lastAnswerAt_).parts_[0].storeAt_.empty());
}

TEST_CASE("a part that no store holds is computed and stored at one store")
{
  const auto index = MakeIndex();
  const auto plan = PlanAt(index, kSettled);
  REQUIRE(plan.parts_.size() == 2);
  CHECK(plan.computedTokens_ == 8512);
  for (const auto& part : plan.parts_) {
    CHECK(part.readFrom_.empty());
    CHECK_FALSE(part.storeAt_.empty());
  }
  // All hosts choose the same store without communication.
  CHECK(PlanAt(index, kSettled).parts_[1].storeAt_ == plan.parts_[1].storeAt_);
}

TEST_CASE("a part is read only from a synced store that holds it completely")
{
  auto index = MakeIndex();
  AddPart(index, "s1", "p2", 4000);
  CHECK(PlanAt(index, kSettled).parts_[1].readFrom_.empty());
  AddPart(index, "s1", "p2", 8000);
  CHECK(PlanAt(index, kSettled).parts_[1].readFrom_ == "10.0.0.1:1");
  const auto silent =
    kSettled + cache_index::kMaxStateAge + absl::Milliseconds(1);
  CHECK(PlanAt(index, silent).parts_[1].readFrom_.empty());
  cache_index::MarkUnreachable(index.stores_.at("s1"));
  CHECK(PlanAt(index, kSettled).parts_[1].readFrom_.empty());
}

TEST_CASE("a scope never reads the parts of another scope")
{
  auto index = MakeIndex();
  AddPart(index, "s1", "p2", 8000, "x.m.2");
  CHECK(PlanAt(index, kSettled).parts_[1].readFrom_.empty());
  const catalog::Workspace open{ "n", false, {} };
  const catalog::Workspace walled{ "n", true, {} };
  CHECK(cache_index::ScopeOf(&open, "m", 1) ==
        cache_index::ScopeOf(nullptr, "m", 1));
  CHECK(cache_index::ScopeOf(&walled, "m", 1) !=
        cache_index::ScopeOf(&open, "m", 1));
  CHECK(cache_index::ScopeOf(&open, "m", 1) !=
        cache_index::ScopeOf(&open, "m", 2));
}

TEST_CASE("a restarted store counts as empty and is not written to at once")
{
  auto index = MakeIndex(1);
  AddPart(index, "s0", "p2", 8000);
  auto& state = index.stores_.at("s0");
  cache_index::ApplyChanges(state, 8, 1, {}, kSettled);
  auto plan = PlanAt(index, kSettled);
  CHECK(plan.parts_[1].readFrom_.empty());
  // Another host may still use the old contents and read while this host
  // writes.
  CHECK(plan.parts_[1].storeAt_.empty());
  state.lastAnswerAt_ = kSettled + cache_index::kEpochSettleTime;
  plan = PlanAt(index, kSettled + cache_index::kEpochSettleTime);
  CHECK_FALSE(plan.parts_[1].storeAt_.empty());
}

TEST_CASE("without the stores' clock nothing is read or stored")
{
  auto index = MakeIndex();
  AddPart(index, "s1", "p2", 8000);
  index.clockOffset_.reset();
  const auto plan = PlanAt(index, kSettled);
  CHECK(plan.readTokens_ == 0);
  CHECK(plan.parts_[1].readFrom_.empty());
  CHECK(plan.parts_[1].storeAt_.empty());
}

TEST_CASE("no part is stored at a full store")
{
  auto index = MakeIndex(2);
  AddPart(index, "s0", "big", 93000);
  AddPart(index, "s1", "big", 85000);
  CHECK(PlanAt(index, kSettled).parts_[1].storeAt_ == "10.0.0.1:1");
  AddPart(index, "s1", "more", 10000);
  CHECK(PlanAt(index, kSettled).parts_[1].storeAt_.empty());
}

TEST_CASE("removed parts free their capacity")
{
  auto index = MakeIndex(1);
  auto& state = index.stores_.at("s0");
  AddPart(index, "s0", "p2", 8000);
  AddPart(index, "s0", "p2", 8000);
  CHECK(state.usedTokens_ == 8000);
  cache_index::ApplyChanges(
    state, 7, 9, { { false, "x.m.1", "p2", 8000 } }, kSettled);
  CHECK(state.usedTokens_ == 0);
}

TEST_CASE("only parts of older weights are freed")
{
  auto index = MakeIndex(1);
  auto& state = index.stores_.at("s0");
  AddPart(index, "s0", "old", 10, "shared.m.1");
  AddPart(index, "s0", "new", 10, "shared.m.2");
  AddPart(index, "s0", "other", 10, "shared.n.1");
  const auto old = cache_index::PartsOfOldWeights(state, "m", 2);
  REQUIRE(old.size() == 1);
  CHECK(old[0].part_ == "old");
  CHECK(cache_index::PartsOfOldWeights(state, "m", 1).empty());
}

constexpr absl::Duration kReadTime = absl::Milliseconds(350);
constexpr absl::Duration kExpected = absl::Milliseconds(130);

void
Read(cache_index::Index& aIndex,
     int aStore,
     absl::Duration aDelay,
     absl::Time aNow = kSettled)
{
  cache_index::RecordRead(
    aIndex,
    "10.0.0." + std::to_string(aStore) + ":1",
    cache_index::IsLateRead(kExpected + aDelay, kExpected, kReadTime),
    aNow);
}

// Guards against reads from a slow store: the links of one store turn slow
// while the others keep their speed.
TEST_CASE("a store that is slower than the others gets fewer reads")
{
  auto index = MakeIndex();
  for (int i = 0; i < 60; ++i) {
    Read(index, 0, absl::Milliseconds(500));
    Read(index, 1, absl::Milliseconds(20));
    Read(index, 2, absl::Milliseconds(20));
  }
  CHECK(index.stores_.at("s0").readShare_ < 0.2);
  CHECK(index.stores_.at("s1").readShare_ == 1.0);
  AddPart(index, "s0", "p2", 8000);
  CHECK(PlanAt(index, kSettled, 0.5).parts_[1].readFrom_.empty());
  for (int i = 0; i < 60; ++i) {
    Read(index, 0, absl::Milliseconds(20));
  }
  CHECK(index.stores_.at("s0").readShare_ == 1.0);
}

// Guards against a store that stays slow because late reads keep filling its
// link, while one of many hosts reads from it only once in two seconds. Some
// stores with faster links stay in time.
TEST_CASE("a host with few reads avoids slow stores and returns to them")
{
  auto index = MakeIndex(8);
  auto now = kSettled;
  for (int i = 0; i < 6; ++i) {
    now += absl::Seconds(2);
    for (int store = 0; store < 8; ++store) {
      // The maximum duration of a late read that the short read time permits.
      Read(index,
           store,
           store < 5 ? absl::Milliseconds(250) : absl::Milliseconds(30),
           now);
    }
  }
  for (int store = 0; store < 8; ++store) {
    const auto& state = index.stores_.at("s" + std::to_string(store));
    CHECK((cache_index::ReadShareAt(state, now) < 0.6) == (store < 5));
    // Without new reads the store is tried again.
    CHECK(cache_index::ReadShareAt(
            state, now + 5 * cache_index::kSlownessHalfLife) > 0.95);
  }
}

// Guards against false detection: under normal load a target sometimes takes
// longer.
TEST_CASE("varying targets do not make a store count as slow")
{
  auto index = MakeIndex();
  for (int i = 0; i < 100; ++i) {
    Read(index, i % 3, absl::Milliseconds(i % 4 == 0 ? 200 : 40));
  }
  for (const auto& [name, state] : index.stores_) {
    CHECK(state.readShare_ == 1.0);
  }
}

// Guards against false detection: busy targets delay the reads from all stores
// alike.
TEST_CASE("busy targets do not stop reads from stores")
{
  auto index = MakeIndex();
  for (int i = 0; i < 100; ++i) {
    Read(index, i % 3, absl::Seconds(1));
  }
  for (const auto& [name, state] : index.stores_) {
    CHECK(state.readShare_ > 0.6);
  }
}

TEST_CASE("parts are distributed over stores by the speed of their links")
{
  auto index = MakeIndex(2);
  index.stores_.at("s0").settings_.linkBitsPerSecond_ = 1e9;
  index.stores_.at("s1").settings_.linkBitsPerSecond_ = 3e9;
  std::map<std::string, int> counts;
  for (int i = 0; i < 2000; ++i) {
    const auto plan = cache_index::PlanParts(
      index, "x.m.1", { { std::to_string(i), 10 } }, "a", 0.0, kSettled);
    ++counts[plan.parts_[0].storeAt_];
  }
  CHECK(counts["10.0.0.1:1"] > 1350);
  CHECK(counts["10.0.0.1:1"] < 1650);
}

TEST_CASE("read counts of other hosts reveal a slow store")
{
  auto index = MakeIndex(4);
  cache_index::ReadCounts counts;
  for (const auto* name : { "s0", "s1", "s2" }) {
    counts[cache_index::NameHash(name)] = { 40, 1 };
  }
  counts[cache_index::NameHash("s3")] = { 40, 30 };
  auto now = kSettled;
  for (int i = 0; i < 8; ++i) {
    now += absl::Milliseconds(100);
    cache_index::ApplyPeerReadCounts(index, counts, now);
  }
  const auto& slow = index.stores_.at("s3");
  CHECK(cache_index::ReadShareAt(slow, now) < 0.5);
  CHECK(cache_index::ReadShareAt(index.stores_.at("s0"), now) == 1.0);
  // The share changes once per period, however many hosts report: the effect
  // has to be reported back first.
  CHECK(cache_index::ReadShareAt(slow, now) > cache_index::kMinReadShare);
  counts[cache_index::NameHash("s3")] = { 40, 0 };
  for (int i = 0; i < 40; ++i) {
    now += absl::Milliseconds(100);
    cache_index::ApplyPeerReadCounts(index, counts, now);
  }
  CHECK(cache_index::ReadShareAt(slow, now) > 0.9);
}

TEST_CASE("reads are counted by store")
{
  const auto index = MakeIndex();
  cache_index::ReadCounts counts;
  cache_index::CountRead(counts, index, "10.0.0.1:1", true);
  cache_index::CountRead(counts, index, "10.0.0.1:1", false);
  cache_index::CountRead(counts, index, "10.9.9.9:1", true);
  REQUIRE(counts.size() == 1);
  CHECK(counts.at(cache_index::NameHash("s1")).reads_ == 2);
  CHECK(counts.at(cache_index::NameHash("s1")).late_ == 1);
}

TEST_CASE("the difference to a list turns the indexed contents into the list")
{
  cache_index::StoreState store;
  cache_index::ApplyChanges(store,
                            7,
                            4,
                            { { true, "shared.m.1", "a", 512 },
                              { true, "shared.m.1", "b", 512 },
                              { true, "shared.m.1", "c", 512 } },
                            absl::FromUnixSeconds(1000));
  const std::vector<cache_index::Change> held{
    { true, "shared.m.1", "a", 512 },
    { true, "shared.m.1", "b", 640 },
    { true, "shared.m.1", "d", 512 }
  };
  const auto changes = cache_index::DiffContents(store, held);
  CHECK(changes.size() == 3);
  cache_index::ApplyChanges(store, 7, 9, changes, absl::FromUnixSeconds(1000));
  CHECK(cache_index::DiffContents(store, held).empty());
  CHECK(store.parts_.size() == 3);
}
