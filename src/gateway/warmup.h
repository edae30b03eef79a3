#ifndef LYCHEEPLANK_SRC_GATEWAY_WARMUP_H
#define LYCHEEPLANK_SRC_GATEWAY_WARMUP_H

#include <array>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "gateway/host.h"

// Decides which targets are cold, from their entries, ended evacuations and
// evidence of crashes. Only targets of services with catalog::Service::coldFor_
// are ever cold; target_limits keeps their limits.
namespace lycheeplank::gateway {

// What makes a host take a target for cold.
enum class ColdEvidence
{
  // The target's entry: the remaining time, or a new start.
  Entry,
  // The target may have become cold while its data centre was evacuated.
  Evacuation,
  // The target couldn't be reached, so it may return under the same id before
  // its entry changes.
  Unreachable,
};

inline constexpr std::array<core::Named<ColdEvidence>, 3> kColdEvidence{ {
  { ColdEvidence::Entry, "entry" },
  { ColdEvidence::Evacuation, "evacuation" },
  { ColdEvidence::Unreachable, "unreachable" },
} };

// Returns how long the targets of a service are cold after a start; zero if
// they never are or the service isn't known.
absl::Duration
ColdTimeOf(const Host& aHost, absl::string_view aService);

// Records that a target is cold for a time from now on, at most for the time of
// its service.
void
NoteTargetCold(Host& aHost,
               const std::string& aTarget,
               absl::Duration aTime,
               ColdEvidence aEvidence);

// Records what the entry of a target says. aIsNewStart: the target started
// after this host had all entries.
void
NoteEntryWarmup(Host& aHost, const std::string& aTarget, bool aIsNewStart);

// Records that the targets of a data centre are cold because its evacuation has
// ended.
void
NoteEvacuationEnd(Host& aHost, const std::string& aDataCentre);

} // namespace lycheeplank::gateway

#endif
