#include "gateway/pulse.h"

#include <algorithm>

namespace lycheeplank::gateway {

bool
CatchesUp(const Pulse& aPulse, absl::Time aNow)
{
  const bool isInGap = aPulse.lastTurn_ != absl::InfinitePast() &&
                       aNow - aPulse.lastTurn_ > kLongestTurn;
  return isInGap || aNow - aPulse.gapUntil_ < kCatchUpTime;
}

void
NoteTurn(Pulse& aPulse, absl::Time aNow)
{
  if (aPulse.lastTurn_ != absl::InfinitePast() &&
      aNow - aPulse.lastTurn_ > kLongestTurn) {
    aPulse.gapFrom_ = aPulse.lastTurn_;
    aPulse.gapUntil_ = aNow;
  }
  aPulse.lastTurn_ = aNow;
}

absl::Time
HeardSince(const Pulse& aPulse, absl::Time aAskedAt, absl::Time aNow)
{
  const bool afterGap = aNow - aPulse.gapUntil_ < kCatchUpTime;
  const auto since =
    std::max(aAskedAt, afterGap ? aPulse.gapFrom_ : aPulse.lastTurn_);
  // Nothing tells of a message that came unasked before the first turn.
  return since == absl::InfinitePast() ? aNow : std::min(aNow, since);
}

} // namespace lycheeplank::gateway
