#ifndef LYCHEEPLANK_AVAILABILITY_H
#define LYCHEEPLANK_AVAILABILITY_H

#include <cstdint>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "lycheeplank/fleet.h"

// What targets have said of themselves in answers to this host. It goes before
// their entries in the key-value service, which may be later, or out of reach,
// and it outlasts an entry that lapses and comes back.
namespace lycheeplank::availability {

struct Record
{
  // Start of the target that it holds for, in milliseconds since 1970.
  std::int64_t startedAtMs_ = 0;
  bool isLeaving_ = false;
  // Its entry or another host has told the same, so all hosts know it.
  bool isKnownToAll_ = false;
  // The target wants no requests from this host until then.
  absl::Time closedUntil_ = absl::InfinitePast();
  absl::Time reportedAt_ = absl::InfinitePast();
};

// By id of the target.
using Records = absl::flat_hash_map<std::string, Record>;

// Records are kept for so long after the last one; a target that leaves
// exits within seconds, mostly.
inline constexpr absl::Duration kRetention = absl::Minutes(10);
// A target that asks to be left alone is believed for at most so long, so that
// a wrong figure doesn't take it out of use for good.
inline constexpr absl::Duration kMaxClosedTime = absl::Minutes(5);

// Notes that a target leaves; true if that was not known.
bool
NoteLeaving(Records& aStatements,
            fleet::Members& aMembers,
            const std::string& aTarget,
            std::int64_t aStartedAtMs,
            absl::Time aNow);

// Notes that a target wants no requests from this host for a time.
void
NoteClosed(Records& aStatements,
           fleet::Members& aMembers,
           const std::string& aTarget,
           std::int64_t aStartedAtMs,
           absl::Duration aDuration,
           absl::Time aNow);

// Notes that the entry of a target, or another host, tells that it leaves.
void
MarkKnownToAll(Records& aStatements, const std::string& aTarget);

// Returns whether the other hosts have to be told that a target leaves.
bool
NeedsBroadcast(const Records& aStatements,
               const std::string& aTarget,
               std::int64_t aStartedAtMs);

// Puts what a target has said into what is believed of it, after its entry was
// taken in. What another start of it said doesn't count.
void
Apply(const Records& aStatements, fleet::Member& aMember);

// Forgets old availability.
void
Sweep(Records& aStatements, absl::Time aNow);

} // namespace lycheeplank::availability

#endif
