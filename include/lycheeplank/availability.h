#ifndef LYCHEEPLANK_AVAILABILITY_H
#define LYCHEEPLANK_AVAILABILITY_H

#include <cstdint>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "lycheeplank/fleet.h"

// Availability that targets have announced in responses to this host or its
// peers. It takes precedence over their entries in the key-value service, which
// may be delayed or unreachable, and survives an entry that expires and comes
// back.
namespace lycheeplank::availability {

// What one target has announced about its availability.
struct Record
{
  // Start time of the target's process, in milliseconds since 1970. The record
  // doesn't hold for other starts.
  std::int64_t startedAtMs_ = 0;
  bool isLeaving_ = false;
  // The target's entry or another host has reported the same, so all hosts know
  // it.
  bool isKnownToAll_ = false;
  // The target accepts no requests from this host until then.
  absl::Time closedUntil_ = absl::InfinitePast();
  absl::Time reportedAt_ = absl::InfinitePast();
};

// Records by id of the target.
using Records = absl::flat_hash_map<std::string, Record>;

// Records are kept for this long after the last announcement; a target that
// leaves usually exits within seconds.
inline constexpr absl::Duration kRetention = absl::Minutes(10);
// Longest time for which a target may close itself, so that a wrong value
// doesn't take it out of use for good.
inline constexpr absl::Duration kMaxClosedTime = absl::Minutes(5);

// Records that a target leaves. Returns whether this changed the target's state
// in aMembers.
bool
NoteLeaving(Records& aRecords,
            fleet::Members& aMembers,
            const std::string& aTarget,
            std::int64_t aStartedAtMs,
            absl::Time aNow);

// Records that a target accepts no requests from this host for aDuration.
void
NoteClosed(Records& aRecords,
           fleet::Members& aMembers,
           const std::string& aTarget,
           std::int64_t aStartedAtMs,
           absl::Duration aDuration,
           absl::Time aNow);

// Records that the target's entry or another host reports that a start of the
// target leaves.
void
MarkKnownToAll(Records& aRecords,
               const std::string& aTarget,
               std::int64_t aStartedAtMs);

// Returns whether the other hosts need a notice that a target leaves.
bool
NeedsBroadcast(const Records& aRecords,
               const std::string& aTarget,
               std::int64_t aStartedAtMs);

// Applies a target's record to its member after the member was updated from the
// target's entry. Ignores the record if it is of another start of the target.
void
Apply(const Records& aRecords, fleet::Member& aMember);

// Removes expired records.
void
Sweep(Records& aRecords, absl::Time aNow);

} // namespace lycheeplank::availability

#endif
