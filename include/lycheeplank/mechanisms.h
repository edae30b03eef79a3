#ifndef LYCHEEPLANK_MECHANISMS_H
#define LYCHEEPLANK_MECHANISMS_H

#include <array>
#include <cstdint>

#include "lycheeplank/core.h"

// Mechanisms of the gateway's decisions that can be switched off one by one, so
// that an experiment shows the effect of each. All are on in normal use.
namespace lycheeplank::mechanisms {

enum class Mechanism
{
  // Requests wait at the host until a target has memory for them.
  WaitForMemory,
  // A run counts with a share of its output limit.
  OutputShare,
  // Small requests start before the others.
  SmallFirst,
  // While requests wait, other hosts are expected to send as this one does.
  SimilarSends,
  // Memory is reserved for unreported calls of other hosts.
  UnreportedMargin,
  // In large fleets, targets are chosen from a random sample.
  Sampling,
  // Requests for a part that no store holds go to the preferred targets of the
  // part.
  Affinity,
  // Shared parts are stored in and read from cache stores.
  CacheStores,
  // Stores with late reads get fewer reads.
  SlowStores,
  // Lost change messages of stores are detected by their numbers.
  MissedChanges,
  // Hosts report their loads to each other.
  LoadReports,
  // Hosts report unreachable targets to each other.
  DownReports,
  // Requests that may run again leave a silent target.
  SilenceLimit,
  // A started stream that falls silent continues at another target.
  GapLimit,
  // Requests that have not started on old weights are recalled before their
  // limit.
  RecallOutdated,
  // Calls that may run only once use connections that were idle for a while.
  ReuseForOnce,
  // The surplus of a data centre's requests goes to other data centres.
  Spillover,
};

inline constexpr std::array<core::Named<Mechanism>, 17> kMechanisms{ {
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
  { Mechanism::LoadReports, "loads" },
  { Mechanism::DownReports, "down-reports" },
  { Mechanism::SilenceLimit, "silence-limit" },
  { Mechanism::GapLimit, "gap-limit" },
  { Mechanism::RecallOutdated, "take-back" },
  { Mechanism::ReuseForOnce, "once-reuse" },
  { Mechanism::Spillover, "spillover" },
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
