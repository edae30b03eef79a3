#include "gateway/stall-detector.h"

#include <algorithm>

namespace lycheeplank::gateway {

bool
IsCatchingUp(const StallDetector& aDetector, absl::Time aNow)
{
  const bool isStalling = aDetector.lastIteration_ != absl::InfinitePast() &&
                          aNow - aDetector.lastIteration_ > kStallThreshold;
  return isStalling || aNow - aDetector.stallEnd_ < kCatchUpTime;
}

void
RecordIteration(StallDetector& aDetector, absl::Time aNow)
{
  if (aDetector.lastIteration_ != absl::InfinitePast() &&
      aNow - aDetector.lastIteration_ > kStallThreshold) {
    aDetector.stallStart_ = aDetector.lastIteration_;
    aDetector.stallEnd_ = aNow;
  }
  aDetector.lastIteration_ = aNow;
}

absl::Time
EarliestSendTime(const StallDetector& aDetector,
                 absl::Time aAskedAt,
                 absl::Time aNow)
{
  const bool isAfterStall = aNow - aDetector.stallEnd_ < kCatchUpTime;
  const auto since = std::max(
    aAskedAt, isAfterStall ? aDetector.stallStart_ : aDetector.lastIteration_);
  // There is no bound for a message without a request that is read before the
  // first iteration.
  return since == absl::InfinitePast() ? aNow : std::min(aNow, since);
}

} // namespace lycheeplank::gateway
