#ifndef LYCHEEPLANK_RETRY_BUDGET_H
#define LYCHEEPLANK_RETRY_BUDGET_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

// The share of a service's second sends that one host may make, kept without
// asking the other hosts.
namespace lycheeplank::retry_budget {

struct Limits
{
  // Second sends allowed for each request.
  double ratio_ = 0.2;
  absl::Duration window_ = absl::Seconds(10);
  // Second sends allowed to all hosts together in a window, beside the ratio.
  double slack_ = 0.0;
  // Hosts that may live at once and share the slack.
  std::uint32_t hosts_ = 1;
};

// Parts of a window that are counted by themselves.
inline constexpr std::size_t kBucketCount = 10;
// Part of the ratio that is used: requests that are counted at one host may
// reach a target in the window after.
inline constexpr double kUsedRatioShare = 0.8;

// Requests and second sends of one service at one host.
struct Ledger
{
  struct Bucket
  {
    std::int64_t number_ = -1;
    std::uint32_t requests_ = 0;
    std::uint32_t resends_ = 0;
  };
  // One more than a window has, since the oldest one is left only in part.
  std::array<Bucket, kBucketCount + 1> buckets_{};
};

// Counts a request of a caller.
void
CountRequest(Ledger& aLedger, const Limits& aLimits, absl::Time aNow);

// Takes one second send out of the budget; false if none is left.
bool
TakeResend(Ledger& aLedger, const Limits& aLimits, absl::Time aNow);

// Returns the second sends that are left in the current window.
double
ResendsLeft(const Ledger& aLedger, const Limits& aLimits, absl::Time aNow);

} // namespace lycheeplank::retry_budget

#endif
