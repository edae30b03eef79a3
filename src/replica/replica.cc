#include "lycheeplank/replica.h"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace lycheeplank::replica {

void
BeginEra(Replica& aReplica, std::uint64_t aEra)
{
  aReplica.newest_ = std::max(aReplica.newest_, core::Position{ aEra, 0 });
}

bool
Apply(Replica& aReplica, Item aItem, absl::Time aNow)
{
  if (aItem.era_ < aReplica.newest_.era_) {
    return false;
  }
  aReplica.newest_ = std::max(aReplica.newest_, PositionOf(aItem));
  auto& known = aReplica.items_[aItem.key_];
  if (PositionOf(known.item_) >= PositionOf(aItem)) {
    return false;
  }
  known.learnedAt_ = aNow - aItem.age_;
  known.item_ = std::move(aItem);
  return true;
}

std::vector<Item>
Reconcile(Replica& aReplica,
          absl::string_view aPrefix,
          const std::vector<Item>& aItems,
          const core::Position& aAsOf,
          absl::Time aNow)
{
  std::vector<Item> changed;
  if (aAsOf.era_ < aReplica.newest_.era_) {
    return changed;
  }
  absl::flat_hash_set<absl::string_view> listed;
  for (const auto& item : aItems) {
    listed.insert(item.key_);
    if (Apply(aReplica, item, aNow)) {
      changed.push_back(item);
    }
  }
  for (auto at = aReplica.items_.lower_bound(std::string(aPrefix));
       at != aReplica.items_.end() &&
       absl::string_view(at->first).substr(0, aPrefix.size()) == aPrefix;
       ++at) {
    auto& known = at->second;
    if (!known.item_.deleted_ && PositionOf(known.item_) <= aAsOf &&
        !listed.contains(at->first)) {
      known.item_.deleted_ = true;
      known.item_.value_.clear();
      known.item_.era_ = aAsOf.era_;
      known.item_.revision_ = aAsOf.revision_;
      known.learnedAt_ = aNow;
      changed.push_back(known.item_);
    }
  }
  aReplica.newest_ = std::max(aReplica.newest_, aAsOf);
  return changed;
}

const StoredItem*
Find(const Replica& aReplica, absl::string_view aKey)
{
  const auto found = aReplica.items_.find(std::string(aKey));
  return found == aReplica.items_.end() || found->second.item_.deleted_
           ? nullptr
           : &found->second;
}

std::vector<Item>
ChangesAfter(const Replica& aReplica,
             const core::Position& aPosition,
             absl::Time aNow)
{
  std::vector<Item> items;
  for (const auto& [key, known] : aReplica.items_) {
    if (PositionOf(known.item_) > aPosition) {
      items.push_back(known.item_);
      items.back().age_ = aNow - known.learnedAt_;
    }
  }
  return items;
}

void
RemoveOldTombstones(Replica& aReplica, absl::Time aNow)
{
  for (auto at = aReplica.items_.begin(); at != aReplica.items_.end();) {
    const bool old = at->second.item_.deleted_ &&
                     aNow - at->second.learnedAt_ > kTombstoneLifetime;
    at = old ? aReplica.items_.erase(at) : std::next(at);
  }
}

} // namespace lycheeplank::replica
