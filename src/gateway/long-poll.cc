#include "gateway/long-poll.h"

#include <algorithm>

namespace lycheeplank::gateway {

PollTimes
DatePoll(const StallDetector& aDetector,
         absl::Time aCompleteAt,
         absl::Time aCalledAt,
         absl::Time aNow)
{
  const auto sentSince = EarliestSendTime(aDetector, aCalledAt, aNow);
  return sentSince - aCalledAt > kPromptAnswerTime
           ? PollTimes{ sentSince, sentSince }
           : PollTimes{ std::min(aCompleteAt, sentSince), aCalledAt };
}

} // namespace lycheeplank::gateway
