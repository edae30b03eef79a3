#include "lycheeplank/retry.h"

#include <algorithm>

namespace lycheeplank::retry {

namespace {

// An answer that takes this many times the goal is worth a second attempt.
constexpr double kSilenceGoalFactor = 2.0;
constexpr absl::Duration kMinSilenceLimit = absl::Milliseconds(200);
// A stream moves to another target well before its caller gives up, so that the
// new target has time to read the prompt. It does not move sooner, since busy
// targets pause streams for some hundred milliseconds, and more prompts would
// keep them busy.
constexpr double kGapDivisor = 2.0;

bool
MayRunAgain(const catalog::Route& aRoute, const History& aHistory)
{
  return aHistory.runs_ == 0 ||
         (catalog::MayRepeat(aRoute) && aHistory.runs_ < aRoute.attempts_);
}

} // namespace

NextStep
DecideNextStep(const catalog::Route& aRoute,
               const History& aHistory,
               AttemptEnd aEnd,
               absl::Duration aTimeLeft,
               bool aBudgetLeft)
{
  const bool again = MayRunAgain(aRoute, aHistory) &&
                     aHistory.tries_ < kMaxTries &&
                     aHistory.sends_ < kMaxSends && aTimeLeft > kMinTimeLeft;
  if (aEnd == AttemptEnd::CutAnswer) {
    const bool goesOn = aRoute.repeatPolicy_ == catalog::RepeatPolicy::Stream &&
                        again && aBudgetLeft;
    return goesOn ? NextStep::TryAgain : NextStep::Cut;
  }
  if (again && (aBudgetLeft || aHistory.sends_ == 0)) {
    return NextStep::TryAgain;
  }
  if (aEnd == AttemptEnd::Error) {
    return NextStep::PassOn;
  }
  return aHistory.runs_ == 0 ? NextStep::Refuse : NextStep::Fail;
}

absl::Duration
SilenceLimit(const catalog::Route& aRoute, const History& aHistory)
{
  if (!catalog::MayRepeat(aRoute) || aHistory.runs_ >= aRoute.attempts_) {
    return absl::InfiniteDuration();
  }
  return aRoute.repeatPolicy_ == catalog::RepeatPolicy::Stream
           ? aRoute.maxGap_ / kGapDivisor
           : std::max(kMinSilenceLimit, kSilenceGoalFactor * aRoute.goal_);
}

absl::Duration
BodyTimeLimit(const catalog::Route& aRoute,
              const History& aHistory,
              std::uint64_t aLength)
{
  return SilenceLimit(aRoute, aHistory) +
         absl::Seconds(static_cast<double>(aLength) / kMinBytesPerSecond);
}

absl::Duration
GapLimit(const catalog::Route& aRoute, const History& aHistory)
{
  if (aRoute.repeatPolicy_ != catalog::RepeatPolicy::Stream ||
      !aRoute.resumable_ || aHistory.runs_ >= aRoute.attempts_) {
    return absl::InfiniteDuration();
  }
  return aRoute.maxGap_ / kGapDivisor;
}

} // namespace lycheeplank::retry
