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
  auto& bucket =
    aLedger
      .buckets_[static_cast<std::size_t>(number) % aLedger.buckets_.size()];
  if (bucket.number_ != number) {
    bucket = { number, 0, 0 };
  }
  return bucket;
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
  for (const auto& bucket : aLedger.buckets_) {
    if (bucket.number_ >= 0 &&
        number - bucket.number_ <= static_cast<std::int64_t>(kBucketCount)) {
      resends += bucket.resends_;
      // The oldest bucket is partly or entirely outside the window, so its
      // requests do not count.
      requests +=
        number - bucket.number_ < static_cast<std::int64_t>(kBucketCount)
          ? bucket.requests_
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
