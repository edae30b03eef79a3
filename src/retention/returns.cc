#include "lycheeplank/retention.h"

#include <algorithm>
#include <cmath>

namespace lycheeplank::retention {

namespace {

constexpr absl::Duration kHalfLife = absl::Hours(24 * 7);
// Weight of the prior as a number of prompts, and the part of them that
// returned.
constexpr double kPriorPrompts = 4.0;
constexpr double kPriorReturnShare = 0.5;

void
Decay(ReturnHistogram& aCounts, absl::Time aNow)
{
  if (aCounts.decayedAt_ == absl::InfinitePast()) {
    aCounts.decayedAt_ = aNow;
    return;
  }
  const double halfLives =
    absl::FDivDuration(aNow - aCounts.decayedAt_, kHalfLife);
  if (halfLives <= 0.0) {
    return;
  }
  const auto factor = static_cast<float>(std::exp2(-halfLives));
  for (auto& count : aCounts.returned_) {
    count *= factor;
  }
  aCounts.abandoned_ *= factor;
  aCounts.decayedAt_ = aNow;
}

// Returns the index of the bucket for a time between runs; the fraction is the
// position within the bucket.
double
BucketPositionOf(absl::Duration aGap)
{
  if (aGap == absl::InfiniteDuration()) {
    return kReturnBuckets;
  }
  const double seconds = std::max(1.0, absl::ToDoubleSeconds(aGap));
  return std::min(std::log2(seconds), static_cast<double>(kReturnBuckets));
}

double
WithPrior(float aCount)
{
  return static_cast<double>(aCount) +
         kPriorPrompts * kPriorReturnShare / kReturnBuckets;
}

// Returns the weight of the returns up to a position in the buckets.
double
WeightUpTo(const ReturnHistogram& aCounts, double aBucketPosition)
{
  double weight = 0.0;
  for (std::size_t i = 0; i < kReturnBuckets; ++i) {
    const double part =
      std::clamp(aBucketPosition - static_cast<double>(i), 0.0, 1.0);
    weight += part * WithPrior(aCounts.returned_[i]);
  }
  return weight;
}

double
TotalWeight(const ReturnHistogram& aCounts)
{
  return WeightUpTo(aCounts, kReturnBuckets) +
         static_cast<double>(aCounts.abandoned_) +
         kPriorPrompts * (1.0 - kPriorReturnShare);
}

} // namespace

void
RecordReturn(ReturnHistogram& aCounts, absl::Duration aGap, absl::Time aNow)
{
  Decay(aCounts, aNow);
  const auto bucket = static_cast<std::size_t>(BucketPositionOf(aGap));
  aCounts.returned_[std::min(bucket, kReturnBuckets - 1)] += 1.0F;
}

void
RecordAbandonment(ReturnHistogram& aCounts, absl::Time aNow)
{
  Decay(aCounts, aNow);
  aCounts.abandoned_ += 1.0F;
}

double
ReturnProbability(const ReturnHistogram& aCounts,
                  absl::Duration aFrom,
                  absl::Duration aTo)
{
  if (aTo <= aFrom) {
    return 0.0;
  }
  const double weight = WeightUpTo(aCounts, BucketPositionOf(aTo)) -
                        WeightUpTo(aCounts, BucketPositionOf(aFrom));
  return weight / TotalWeight(aCounts);
}

double
ReturnProbabilityAfterIdle(const ReturnHistogram& aCounts,
                           absl::Duration aIdle,
                           absl::Duration aHorizon)
{
  const double before = WeightUpTo(aCounts, BucketPositionOf(aIdle));
  const double within =
    WeightUpTo(aCounts, BucketPositionOf(aIdle + aHorizon)) - before;
  return within / (TotalWeight(aCounts) - before);
}

} // namespace lycheeplank::retention
