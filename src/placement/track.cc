#include "lycheeplank/placement.h"

namespace lycheeplank::placement {

OwnWork
OwnWorkSince(const std::vector<SentRun>& aSent,
             absl::Time aReportedAt,
             absl::Time aNow)
{
  OwnWork own;
  absl::Duration ages = absl::ZeroDuration();
  for (const auto& run : aSent) {
    if (run.sentAt_ <= aReportedAt) {
      continue;
    }
    own.prefillTokens_ += run.prefillTokens_;
    ++own.runs_;
    ages += aNow - run.sentAt_;
  }
  if (own.runs_ > 0) {
    own.meanAge_ = ages / own.runs_;
  }
  return own;
}

} // namespace lycheeplank::placement
