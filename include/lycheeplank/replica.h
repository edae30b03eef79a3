#ifndef LYCHEEPLANK_REPLICA_H
#define LYCHEEPLANK_REPLICA_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

// A host's copy of the key-value service's items, merged by position in the
// service's history, so that it makes no difference whether a change comes from
// the service or a peer.
namespace lycheeplank::replica {

// One item as of its last change.
struct Item
{
  std::string key_;
  std::string value_;
  // Revision of the change; grows with each change within an era.
  std::uint64_t revision_ = 0;
  // Revision at which the key was created.
  std::uint64_t created_ = 0;
  bool deleted_ = false;
  // How long before the host that tells of the change had heard of it.
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
  // Latest position that was taken in.
  core::Position newest_;
};

// Notes that the service is in an era; nothing of older eras is taken in any
// more. What is known stays until the new era shows otherwise.
void
BeginEra(Replica& aReplica, std::uint64_t aEra);

// Takes in one change; false if it isn't newer than what is known of its key,
// or stems from an era that is over.
bool
Apply(Replica& aReplica, Item aItem, absl::Time aNow);

// Takes in a whole list of a prefix that is not older than aAsOf: known items
// that it lacks count as deleted at that revision. Returns the items that are
// news, deletions included; none for a list of an era that is over.
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

// Deletions are told to peers for so long, which outlasts any peer's silence.
inline constexpr absl::Duration kTombstoneLifetime = absl::Seconds(60);

// Forgets old deletions.
void
RemoveOldTombstones(Replica& aReplica, absl::Time aNow);

} // namespace lycheeplank::replica

#endif
