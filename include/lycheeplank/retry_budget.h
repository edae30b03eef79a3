#ifndef LYCHEEPLANK_RETRY_BUDGET_H
#define LYCHEEPLANK_RETRY_BUDGET_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

// The retry budget of a service: the resends that one host may make, counted
// without communication between hosts.
namespace lycheeplank::retry_budget {

struct Limits
{
  // Allowed resends per request.
  double ratio_ = 0.2;
  absl::Duration window_ = absl::Seconds(10);
  // Allowed resends of all hosts together per window, in addition to the ratio.
  double slack_ = 0.0;
  // Maximum number of live hosts, which share the slack.
  std::uint32_t hosts_ = 1;
};

// Number of buckets that a window is counted in.
inline constexpr std::size_t kBucketCount = 10;
// Share of the ratio that is used: requests counted at one host may reach a
// target in the next window.
inline constexpr double kUsedRatioShare = 0.8;

// Counts of requests and resends of one service at one host.
struct Ledger
{
  struct Bucket
  {
    std::int64_t number_ = -1;
    std::uint32_t requests_ = 0;
    std::uint32_t resends_ = 0;
  };
  // One more than a window has, since the window covers the oldest bucket only
  // in part.
  std::array<Bucket, kBucketCount + 1> buckets_{};
};

// Counts a request of a caller.
void
CountRequest(Ledger& aLedger, const Limits& aLimits, absl::Time aNow);

// Takes one resend from the budget; returns false if none is left.
bool
TakeResend(Ledger& aLedger, const Limits& aLimits, absl::Time aNow);

// Returns the number of resends that are left in the current window.
double
ResendsLeft(const Ledger& aLedger, const Limits& aLimits, absl::Time aNow);

} // namespace lycheeplank::retry_budget

#endif
