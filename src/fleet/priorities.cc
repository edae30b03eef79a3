#include "lycheeplank/fleet.h"

#include <algorithm>

// What a host knows of the mix of priorities.
namespace lycheeplank::fleet {

namespace {

// Weight of the newest send in the mix. Small hosts send a few requests each
// second, so a larger weight would let single requests decide.
constexpr double kMixWeight = 0.05;

} // namespace

void
RecordArrival(PriorityLoads& aLoads,
              std::uint32_t aPriority,
              std::uint64_t aHeldTokens,
              absl::Time aNow)
{
  RecordSend(aLoads.arrivals_[aPriority], aHeldTokens, aNow);
}

void
RecordPrioritySend(PriorityLoads& aLoads,
                   std::uint32_t aPriority,
                   std::uint64_t aHeldTokens)
{
  // A priority without sends so far starts at 0.
  aLoads.sentTokens_.try_emplace(aPriority, 0.0);
  for (auto& [priority, tokens] : aLoads.sentTokens_) {
    const double sent =
      priority == aPriority ? static_cast<double>(aHeldTokens) : 0.0;
    tokens += kMixWeight * (sent - tokens);
  }
}

double
EstimateReserve(const PriorityLoads& aLoads,
                std::uint32_t aPriority,
                std::size_t aHosts,
                std::size_t aTargets,
                absl::Time aNow)
{
  double tokens = 0.0;
  for (const auto& [priority, rate] : aLoads.arrivals_) {
    if (priority < aPriority) {
      // This host's own requests count as well.
      tokens += EstimateUnreportedTokens(
        rate, aHosts + 1, aTargets, kReserveTime, aNow);
    }
  }
  return tokens;
}

double
MoreUrgentPerSecond(const PriorityLoads& aLoads,
                    std::uint32_t aPriority,
                    absl::Time aNow)
{
  double tokens = 0.0;
  for (const auto& [priority, rate] : aLoads.arrivals_) {
    tokens += priority < aPriority ? TokensPerSecond(rate, aNow) : 0.0;
  }
  return tokens;
}

double
YieldingShare(const PriorityLoads& aLoads, std::uint32_t aPriority)
{
  double all = 0.0;
  double lessUrgent = 0.0;
  for (const auto& [priority, tokens] : aLoads.sentTokens_) {
    all += tokens;
    lessUrgent += priority > aPriority ? tokens : 0.0;
  }
  return all > 0.0 ? lessUrgent / all : 0.0;
}

} // namespace lycheeplank::fleet
