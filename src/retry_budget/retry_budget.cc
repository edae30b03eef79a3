#include "lycheeplank/retry_budget.h"

#include <algorithm>

namespace lycheeplank::retry_budget {

namespace {

std::int64_t
BucketNumber(const Limits& aLimits, absl::Time aNow)
{
  return (aNow - absl::UnixEpoch()) / (aLimits.window_ / kBucketCount);
}

Ledger::Bucket&
CurrentBucket(Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  const auto number = BucketNumber(aLimits, aNow);
  auto& part =
    aLedger
      .buckets_[static_cast<std::size_t>(number) % aLedger.buckets_.size()];
  if (part.number_ != number) {
    part = { number, 0, 0 };
  }
  return part;
}

} // namespace

void
CountRequest(Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  ++CurrentBucket(aLedger, aLimits, aNow).requests_;
}

double
ResendsLeft(const Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  const auto number = BucketNumber(aLimits, aNow);
  double requests = 0.0;
  double resends = 0.0;
  for (const auto& part : aLedger.buckets_) {
    if (part.number_ >= 0 &&
        number - part.number_ <= static_cast<std::int64_t>(kBucketCount)) {
      resends += part.resends_;
      // The oldest part lies outside the window by now or soon.
      requests +=
        number - part.number_ < static_cast<std::int64_t>(kBucketCount)
          ? part.requests_
          : 0;
    }
  }
  return kUsedRatioShare * aLimits.ratio_ * requests +
         aLimits.slack_ / std::max(1U, aLimits.hosts_) - resends;
}

bool
TakeResend(Ledger& aLedger, const Limits& aLimits, absl::Time aNow)
{
  if (ResendsLeft(aLedger, aLimits, aNow) < 1.0) {
    return false;
  }
  ++CurrentBucket(aLedger, aLimits, aNow).resends_;
  return true;
}

} // namespace lycheeplank::retry_budget
