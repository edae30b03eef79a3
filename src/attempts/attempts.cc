#include "lycheeplank/attempts.h"

#include <algorithm>

namespace lycheeplank::attempts {

namespace {

// An answer that takes as many times the goal is worth a second attempt: by
// then the first one earns little.
constexpr double kSilenceGoals = 1.0;
constexpr absl::Duration kLeastSilence = absl::Milliseconds(200);

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
  if (aEnd == End::CutAnswer) {
    const bool goesOn = aRoute.repeat_ == catalog::Repeat::Stream &&
                        MayRunAgain(aRoute, aHistory) && aBudgetLeft &&
                        aTimeLeft > kLeastTime;
    return goesOn ? Step::TryAgain : Step::Cut;
  }
  const bool wasSent = aHistory.sends_ > 0;
  const bool again = MayRunAgain(aRoute, aHistory) &&
                     aHistory.tries_ < kMostTries &&
                     aHistory.sends_ < kMostSends && aTimeLeft > kLeastTime &&
                     (aBudgetLeft || !wasSent);
  if (again) {
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
  if (!catalog::MayRepeat(aRoute) ||
      aHistory.runs_ + 1 >= aRoute.attempts_) {
    return absl::InfiniteDuration();
  }
  return std::max(kLeastSilence, kSilenceGoals * aRoute.goal_);
}

} // namespace lycheeplank::attempts
