#include "gateway/stall-detector.h"

#include <algorithm>

namespace lycheeplank::gateway {

namespace {

// Returns the length of the stall that the loop is in, 0 if it is in none.
absl::Duration
PresentStall(const StallDetector& aDetector, absl::Time aNow)
{
  const auto gap = aNow - aDetector.lastIteration_;
  return aDetector.lastIteration_ != absl::InfinitePast() &&
             gap > kStallThreshold
           ? gap
           : absl::ZeroDuration();
}

// Returns the start of a stall that follows the last iteration. Messages of a
// stall shortly before it may still be unread.
absl::Time
NextStallStart(const StallDetector& aDetector)
{
  return aDetector.lastIteration_ - aDetector.stallEnd_ < kCatchUpTime
           ? aDetector.stallStart_
           : aDetector.lastIteration_;
}

} // namespace

bool
IsCatchingUp(const StallDetector& aDetector, absl::Time aNow)
{
  return PresentStall(aDetector, aNow) > absl::ZeroDuration() ||
         aNow - aDetector.stallEnd_ < kCatchUpTime;
}

void
RecordIteration(StallDetector& aDetector, absl::Time aNow)
{
  if (const auto stall = PresentStall(aDetector, aNow);
      stall > absl::ZeroDuration()) {
    aDetector.stallStart_ = NextStallStart(aDetector);
    aDetector.stallEnd_ = aNow;
    aDetector.stalled_ += stall;
  }
  aDetector.lastIteration_ = aNow;
}

Moment
MomentAt(const StallDetector& aDetector, absl::Time aNow)
{
  return { aNow, aDetector.stalled_ + PresentStall(aDetector, aNow) };
}

absl::Time
EarliestSendTime(const StallDetector& aDetector,
                 absl::Time aAskedAt,
                 absl::Time aNow)
{
  auto unreadSince = aDetector.lastIteration_;
  if (PresentStall(aDetector, aNow) > absl::ZeroDuration()) {
    unreadSince = NextStallStart(aDetector);
  } else if (aNow - aDetector.stallEnd_ < kCatchUpTime) {
    unreadSince = aDetector.stallStart_;
  }
  const auto since = std::max(aAskedAt, unreadSince);
  // There is no bound for a message without a request that is read before the
  // first iteration.
  return since == absl::InfinitePast() ? aNow : std::min(aNow, since);
}

} // namespace lycheeplank::gateway
