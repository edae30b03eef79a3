#include "lycheeplank/replica.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

namespace replica = lycheeplank::replica;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

replica::Item
MakeItem(const std::string& aKey,
         std::uint64_t aRevision,
         const std::string& aValue,
         bool aDeleted = false)
{
  return { aKey, aValue, aRevision, 1, aDeleted };
}

} // namespace

TEST_CASE("an older change never replaces a newer one")
{
  replica::Replica copy;
  CHECK(replica::Apply(copy, MakeItem("a", 5, "new"), kNow));
  CHECK_FALSE(replica::Apply(copy, MakeItem("a", 4, "old"), kNow));
  CHECK_FALSE(replica::Apply(copy, MakeItem("a", 5, "same"), kNow));
  CHECK(replica::Find(copy, "a")->item_.value_ == "new");
}

TEST_CASE("a deletion is not undone by an older change of the item")
{
  replica::Replica copy;
  replica::Apply(copy, MakeItem("a", 5, "x"), kNow);
  replica::Apply(copy, MakeItem("a", 7, "", true), kNow);
  CHECK(replica::Find(copy, "a") == nullptr);
  CHECK_FALSE(replica::Apply(copy, MakeItem("a", 6, "late"), kNow));
  CHECK(replica::Find(copy, "a") == nullptr);
}

TEST_CASE("a list deletes missing items that are not newer than the list")
{
  replica::Replica copy;
  replica::Apply(copy, MakeItem("p/a", 2, "x"), kNow);
  replica::Apply(copy, MakeItem("p/b", 9, "x"), kNow);
  replica::Apply(copy, MakeItem("q/c", 2, "x"), kNow);
  const auto changed =
    replica::Reconcile(copy, "p/", { MakeItem("p/d", 4, "x") }, { 0, 5 }, kNow);
  CHECK(changed.size() == 2);
  CHECK(replica::Find(copy, "p/a") == nullptr);
  CHECK(replica::Find(copy, "p/b") != nullptr);
  CHECK(replica::Find(copy, "p/d") != nullptr);
  CHECK(replica::Find(copy, "q/c") != nullptr);
}

TEST_CASE("the same changes in any order lead to the same state")
{
  std::vector<replica::Item> changes;
  for (std::uint64_t i = 1; i <= 60; ++i) {
    changes.push_back(MakeItem(std::string(1, static_cast<char>('a' + i % 7)),
                               i,
                               std::to_string(i),
                               i % 5 == 0));
  }
  replica::Replica ordered;
  for (const auto& change : changes) {
    replica::Apply(ordered, change, kNow);
  }
  for (unsigned seed = 0; seed < 50; ++seed) {
    auto shuffled = changes;
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(seed));
    replica::Replica copy;
    for (const auto& change : shuffled) {
      replica::Apply(copy, change, kNow);
    }
    REQUIRE(copy.items_.size() == ordered.items_.size());
    for (const auto& [key, known] : ordered.items_) {
      REQUIRE(copy.items_[key].item_.revision_ == known.item_.revision_);
      REQUIRE(copy.items_[key].item_.deleted_ == known.item_.deleted_);
    }
  }
}

TEST_CASE("peers receive deletions until the tombstones are removed")
{
  replica::Replica copy;
  replica::Apply(copy, MakeItem("a", 3, "x"), kNow);
  replica::Apply(copy, MakeItem("a", 5, "", true), kNow);
  CHECK(replica::ChangesAfter(copy, { 0, 4 }, kNow).size() == 1);
  CHECK(replica::ChangesAfter(copy, { 0, 5 }, kNow).empty());
  replica::RemoveOldTombstones(
    copy, kNow + replica::kTombstoneLifetime + absl::Seconds(1));
  CHECK(replica::ChangesAfter(copy, { 0, 0 }, kNow).empty());
}

TEST_CASE("a change received from another host keeps its age")
{
  replica::Replica copy;
  auto item = MakeItem("a", 3, "v");
  item.age_ = absl::Seconds(5);
  CHECK(replica::Apply(copy, item, kNow));
  CHECK(replica::Find(copy, "a")->learnedAt_ == kNow - absl::Seconds(5));
  const auto sent =
    replica::ChangesAfter(copy, { 0, 0 }, kNow + absl::Seconds(1));
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().age_ == absl::Seconds(6));
}

namespace {

replica::Item
MakeItemInEra(std::uint64_t aEra,
              const std::string& aKey,
              std::uint64_t aRevision,
              const std::string& aValue)
{
  auto item = MakeItem(aKey, aRevision, aValue);
  item.era_ = aEra;
  return item;
}

} // namespace

TEST_CASE("a change of a later era replaces one of a higher revision")
{
  replica::Replica copy;
  replica::Apply(copy, MakeItemInEra(1, "a", 90, "before"), kNow);
  CHECK(replica::Apply(copy, MakeItemInEra(2, "a", 12, "after"), kNow));
  CHECK(replica::Find(copy, "a")->item_.value_ == "after");
  CHECK_FALSE(replica::Apply(copy, MakeItemInEra(1, "a", 91, "late"), kNow));
  CHECK(replica::Find(copy, "a")->item_.value_ == "after");
}

TEST_CASE("changes of a past era are rejected and known items stay")
{
  replica::Replica copy;
  replica::Apply(copy, MakeItemInEra(1, "a", 90, "x"), kNow);
  replica::BeginEra(copy, 2);
  CHECK(replica::Find(copy, "a") != nullptr);
  CHECK_FALSE(replica::Apply(copy, MakeItemInEra(1, "b", 91, "x"), kNow));
  CHECK(replica::Find(copy, "b") == nullptr);
  CHECK(replica::Reconcile(
          copy, "", { MakeItemInEra(1, "b", 91, "x") }, { 1, 95 }, kNow)
          .empty());
  CHECK(replica::Find(copy, "a") != nullptr);
}

TEST_CASE("a list of a later era deletes missing items of any revision")
{
  replica::Replica copy;
  replica::Apply(copy, MakeItemInEra(1, "a", 90, "x"), kNow);
  replica::Apply(copy, MakeItemInEra(1, "b", 91, "x"), kNow);
  const auto changed = replica::Reconcile(
    copy, "", { MakeItemInEra(2, "a", 10, "x") }, { 2, 20 }, kNow);
  CHECK(changed.size() == 2);
  CHECK(replica::Find(copy, "a") != nullptr);
  CHECK(replica::Find(copy, "b") == nullptr);
  // The owner writes the item again.
  CHECK(replica::Apply(copy, MakeItemInEra(2, "b", 21, "x"), kNow));
  CHECK(replica::Find(copy, "b") != nullptr);
}
