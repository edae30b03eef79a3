#ifndef LYCHEEPLANK_SRC_GATEWAY_LONG_POLL_H
#define LYCHEEPLANK_SRC_GATEWAY_LONG_POLL_H

#include <absl/time/time.h>

#include "gateway/stall-detector.h"

// Dates the changes that a series of long polls returns. A poll is answered at
// once if there have been changes since the answer before, otherwise as soon as
// there is one, so what an answer tells may be older than its call.
namespace lycheeplank::gateway {

// An answer that takes longer wasn't ready when the call arrived.
inline constexpr absl::Duration kPromptAnswerTime = absl::Milliseconds(500);

// Bounds that follow from one answer.
struct PollTimes
{
  // The changes of the answer were made after this time.
  absl::Time changedSince_ = absl::InfinitePast();
  // The answer has all changes that were made before this time.
  absl::Time completeAt_ = absl::InfinitePast();
};

// Dates an answer that is read at aNow. aCompleteAt: PollTimes::completeAt_ of
// the answer after which this poll goes on.
PollTimes
DatePoll(const StallDetector& aDetector,
         absl::Time aCompleteAt,
         absl::Time aCalledAt,
         absl::Time aNow);

} // namespace lycheeplank::gateway

#endif
