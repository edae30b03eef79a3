#include "lycheeplank/attempts.h"

#include <algorithm>

namespace lycheeplank::attempts {

namespace {

// An answer that takes as many times the goal is worth a second attempt.
constexpr double kSilenceGoals = 2.0;
constexpr absl::Duration kLeastSilence = absl::Milliseconds(200);
// A stream goes on elsewhere well before its caller would leave it, so that
// another target has time to read the prompt; not sooner, since busy targets
// pause streams for some hundred milliseconds and more prompts keep them busy.
constexpr double kGapParts = 2.0;

bool
MayRunAgain(const catalog::Route& aRoute, const History& aHistory)
{
  return aHistory.runs_ == 0 ||
         (catalog::MayRepeat(aRoute) && aHistory.runs_ < aRoute.attempts_);
}

} // namespace

Step
After(const catalog::Route& aRoute,
      const History& aHistory,
      End aEnd,
      absl::Duration aTimeLeft,
      bool aBudgetLeft)
{
  const bool again = MayRunAgain(aRoute, aHistory) &&
                     aHistory.tries_ < kMostTries &&
                     aHistory.sends_ < kMostSends && aTimeLeft > kLeastTime;
  if (aEnd == End::CutAnswer) {
    const bool goesOn =
      aRoute.repeat_ == catalog::Repeat::Stream && again && aBudgetLeft;
    return goesOn ? Step::TryAgain : Step::Cut;
  }
  if (again && (aBudgetLeft || aHistory.sends_ == 0)) {
    return Step::TryAgain;
  }
  if (aEnd == End::Error) {
    return Step::PassOn;
  }
  return aHistory.runs_ == 0 ? Step::Refuse : Step::Fail;
}

absl::Duration
SilenceLimit(const catalog::Route& aRoute, const History& aHistory)
{
  if (!catalog::MayRepeat(aRoute) || aHistory.runs_ >= aRoute.attempts_) {
    return absl::InfiniteDuration();
  }
  return aRoute.repeat_ == catalog::Repeat::Stream
           ? aRoute.longestGap_ / kGapParts
           : std::max(kLeastSilence, kSilenceGoals * aRoute.goal_);
}

absl::Duration
RestLimit(const catalog::Route& aRoute,
          const History& aHistory,
          std::uint64_t aLength)
{
  return SilenceLimit(aRoute, aHistory) +
         absl::Seconds(static_cast<double>(aLength) / kLeastBytesPerSecond);
}

absl::Duration
GapLimit(const catalog::Route& aRoute, const History& aHistory)
{
  if (aRoute.repeat_ != catalog::Repeat::Stream || !aRoute.resumable_ ||
      aHistory.runs_ >= aRoute.attempts_) {
    return absl::InfiniteDuration();
  }
  return aRoute.longestGap_ / kGapParts;
}

} // namespace lycheeplank::attempts
