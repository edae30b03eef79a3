#ifndef LYCHEEPLANK_MECHANISMS_H
#define LYCHEEPLANK_MECHANISMS_H

#include <array>
#include <cstdint>

#include "lycheeplank/core.h"

// Mechanisms of the decisions that can be switched off one by one, so that an
// experiment shows what each of them is worth. All are on in normal use.
namespace lycheeplank::mechanisms {

enum class Mechanism
{
  // Requests wait at the host until a target has memory for them.
  WaitForMemory,
  // A run counts with a part of its output limit.
  OutputShare,
  // Small requests start before the others.
  SmallFirst,
  // Other hosts are expected to send as this one does while requests wait.
  SimilarSends,
  // Room is left for what other hosts have sent and not told yet.
  UnreportedMargin,
  // Large fleets choose among targets drawn by chance.
  Sampling,
  // Requests for a part that no store holds meet at its target.
  Affinity,
  // Shared parts are kept in and read from cache stores.
  CacheStores,
  // Stores whose reads come late are read from less.
  SlowStores,
  // Changes of stores that are never told are found by their numbers.
  MissedChanges,
  // Hosts tell each other their loads.
  Loads,
  // Hosts tell each other which targets can't be reached.
  DownReports,
  // What may run again leaves a silent target.
  SilenceLimit,
  // A stream that has begun and falls silent goes on elsewhere.
  GapLimit,
  // What hasn't begun at old weights is taken back before their limit.
  TakeBack,
  // Calls that may run once use connections that were idle for a while.
  OnceReuse,
};

inline constexpr std::array<core::Named<Mechanism>, 16> kMechanisms{ {
  { Mechanism::WaitForMemory, "wait-for-memory" },
  { Mechanism::OutputShare, "output-share" },
  { Mechanism::SmallFirst, "small-first" },
  { Mechanism::SimilarSends, "sent-alike" },
  { Mechanism::UnreportedMargin, "unheard-margin" },
  { Mechanism::Sampling, "sampling" },
  { Mechanism::Affinity, "meeting" },
  { Mechanism::CacheStores, "cache-stores" },
  { Mechanism::SlowStores, "slow-stores" },
  { Mechanism::MissedChanges, "missed-changes" },
  { Mechanism::Loads, "loads" },
  { Mechanism::DownReports, "down-reports" },
  { Mechanism::SilenceLimit, "silence-limit" },
  { Mechanism::GapLimit, "gap-limit" },
  { Mechanism::TakeBack, "take-back" },
  { Mechanism::OnceReuse, "once-reuse" },
} };

// Which mechanisms are switched off; none in normal use.
struct Switches
{
  std::uint32_t off_ = 0;
};

constexpr std::uint32_t
BitOf(Mechanism aMechanism)
{
  return 1U << static_cast<unsigned>(aMechanism);
}

constexpr void
SwitchOff(Switches& aSwitches, Mechanism aMechanism)
{
  aSwitches.off_ |= BitOf(aMechanism);
}

constexpr bool
IsOn(const Switches& aSwitches, Mechanism aMechanism)
{
  return (aSwitches.off_ & BitOf(aMechanism)) == 0;
}

} // namespace lycheeplank::mechanisms

#endif
