#ifndef LYCHEEPLANK_REPLICA_H
#define LYCHEEPLANK_REPLICA_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

// A host's replica of the items of the key-value service. Changes are merged by
// position in the service's history, so it makes no difference whether a change
// comes from the service or a peer.
namespace lycheeplank::replica {

// One item as of its last change.
struct Item
{
  std::string key_;
  std::string value_;
  // Revision of the change; increases with each change within an era.
  std::uint64_t revision_ = 0;
  // Revision at which the key was created.
  std::uint64_t created_ = 0;
  bool deleted_ = false;
  // Age of the change at the host that sends it.
  absl::Duration age_ = absl::ZeroDuration();
  // Era of the service in which the change was made or read.
  std::uint64_t era_ = 0;
};

inline core::Position
PositionOf(const Item& aItem)
{
  return { aItem.era_, aItem.revision_ };
}

struct StoredItem
{
  Item item_;
  absl::Time learnedAt_ = absl::InfinitePast();
};

struct Replica
{
  absl::btree_map<std::string, StoredItem> items_;
  // Latest position that was applied.
  core::Position newest_;
};

// Records the start of an era. Changes of older eras are rejected from now on;
// known items stay until the new era changes them.
void
BeginEra(Replica& aReplica, std::uint64_t aEra);

// Applies one change; returns false if it is not newer than the known item of
// its key, or belongs to a past era.
bool
Apply(Replica& aReplica, Item aItem, absl::Time aNow);

// Applies a complete list of a prefix that is not older than aAsOf: known items
// that are not in the list count as deleted at that revision. Returns the items
// that changed, deletions included; none for a list of a past era.
std::vector<Item>
Reconcile(Replica& aReplica,
          absl::string_view aPrefix,
          const std::vector<Item>& aItems,
          const core::Position& aAsOf,
          absl::Time aNow);

// Returns the item of a key, or null if it is absent or deleted.
const StoredItem*
Find(const Replica& aReplica, absl::string_view aKey);

// Returns all changes after a position with their ages, deletions included.
std::vector<Item>
ChangesAfter(const Replica& aReplica,
             const core::Position& aPosition,
             absl::Time aNow);

// Time for which deletions are kept and sent to peers; longer than the longest
// silence of a peer.
inline constexpr absl::Duration kTombstoneLifetime = absl::Seconds(60);

// Removes tombstones that are older than kTombstoneLifetime.
void
RemoveOldTombstones(Replica& aReplica, absl::Time aNow);

} // namespace lycheeplank::replica

#endif
