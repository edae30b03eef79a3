#include "lycheeplank/admission.h"

#include <algorithm>

namespace lycheeplank::admission {

namespace {

constexpr std::uint32_t kMaxConsecutiveFailures = 5;
constexpr double kMaxErrorRate = 0.5;
// Number of requests before the error rate is used.
constexpr std::uint32_t kMinSamples = 20;
// Weight of one request in the moving average of the error rate.
constexpr double kErrorRateWeight = 0.05;
// Largest part of a pool that may be ejected at a time.
constexpr double kMaxEjectedShare = 0.5;
constexpr absl::Duration kFirstEjection = absl::Seconds(2);
constexpr absl::Duration kMaxEjection = absl::Minutes(2);
constexpr std::uint32_t kMaxDoublings = 8;
// Largest random addition to the ejection time, as a part of it.
constexpr double kEjectionJitter = 0.25;
// Once an answer arrives this long after the last ejection ended, the ejection
// time starts from its shortest value again.
constexpr absl::Duration kEjectionResetTime = absl::Minutes(5);
// After this time without an answer another probe may be sent.
constexpr absl::Duration kProbeTimeout = absl::Seconds(30);

// Returns the length of a target's next ejection: it doubles each time, and
// differs between hosts so that they don't all probe at once.
absl::Duration
EjectionDuration(const TargetPool& aPool,
                 absl::string_view aTarget,
                 std::uint32_t aTimes)
{
  constexpr std::uint64_t kSteps = 1024;
  const std::uint32_t doublings = std::min(aTimes - 1, kMaxDoublings);
  const absl::Duration base =
    std::min(kMaxEjection, kFirstEjection * double(1U << doublings));
  const std::uint64_t step =
    core::StableHash(aTarget, aPool.seed_ + aTimes) % kSteps;
  return base * (1.0 + kEjectionJitter * double(step) / double(kSteps));
}

bool
HasOutstandingProbe(const TargetHealth& aHealth)
{
  return aHealth.probeStarted_ != absl::InfinitePast();
}

// Ejects a target, or extends its ejection after a failed probe.
void
Eject(TargetPool& aPool,
      absl::string_view aTarget,
      TargetHealth& aHealth,
      absl::Time aNow)
{
  aPool.ejectedCount_ += aHealth.ejected_ ? 0 : 1;
  aHealth.ejected_ = true;
  ++aHealth.ejections_;
  aHealth.ejectedUntil_ =
    aNow + EjectionDuration(aPool, aTarget, aHealth.ejections_);
  aHealth.probeStarted_ = absl::InfinitePast();
}

// Readmits an ejected target. The number of its ejections is kept.
void
Readmit(TargetPool& aPool, TargetHealth& aHealth, absl::Time aNow)
{
  --aPool.ejectedCount_;
  const std::uint32_t times = aHealth.ejections_;
  aHealth = {};
  aHealth.ejections_ = times;
  aHealth.ejectedUntil_ = aNow;
}

// Returns whether a target has failed often enough to be ejected.
bool
IsOutlier(const TargetHealth& aHealth)
{
  return aHealth.consecutiveFailures_ >= kMaxConsecutiveFailures ||
         (aHealth.samples_ >= kMinSamples &&
          aHealth.errorRate_ > kMaxErrorRate);
}

// Returns whether one more target of the pool may be ejected.
bool
MayEject(const TargetPool& aPool)
{
  const double most = kMaxEjectedShare * double(aPool.targets_.size());
  return double(aPool.ejectedCount_ + 1) <= most;
}

// Adds the result of one request to the failure statistics.
void
AddSample(TargetHealth& aHealth, bool aFailed)
{
  const double value = aFailed ? 1.0 : 0.0;
  aHealth.errorRate_ += kErrorRateWeight * (value - aHealth.errorRate_);
  ++aHealth.samples_;
  aHealth.consecutiveFailures_ = aFailed ? aHealth.consecutiveFailures_ + 1 : 0;
}

} // namespace

void
SetTargets(TargetPool& aPool, const std::vector<std::string>& aNames)
{
  absl::btree_map<std::string, TargetHealth> kept;
  aPool.ejectedCount_ = 0;
  for (const auto& name : aNames) {
    const auto found = aPool.targets_.find(name);
    auto& health = kept[name];
    health = found == aPool.targets_.end() ? TargetHealth{} : found->second;
    aPool.ejectedCount_ += health.ejected_ ? 1 : 0;
  }
  aPool.targets_ = std::move(kept);
}

Availability
AvailabilityOf(const TargetPool& aPool,
               absl::string_view aTarget,
               absl::Time aNow)
{
  const auto found = aPool.targets_.find(aTarget);
  if (found == aPool.targets_.end() || !found->second.ejected_) {
    return Availability::Usable;
  }
  const auto& health = found->second;
  const bool probed =
    HasOutstandingProbe(health) && aNow < health.probeStarted_ + kProbeTimeout;
  return aNow < health.ejectedUntil_ || probed ? Availability::Ejected
                                               : Availability::Probe;
}

void
RecordDispatch(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow)
{
  if (AvailabilityOf(aPool, aTarget, aNow) == Availability::Probe) {
    aPool.targets_.find(aTarget)->second.probeStarted_ = aNow;
  }
}

void
RecordAnswer(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow)
{
  const auto found = aPool.targets_.find(aTarget);
  if (found == aPool.targets_.end()) {
    return;
  }
  auto& health = found->second;
  if (health.ejected_) {
    if (HasOutstandingProbe(health)) {
      Readmit(aPool, health, aNow);
    }
    return;
  }
  AddSample(health, false);
  if (aNow > health.ejectedUntil_ + kEjectionResetTime) {
    health.ejections_ = 0;
  }
}

bool
RecordFailure(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow)
{
  const auto found = aPool.targets_.find(aTarget);
  if (found == aPool.targets_.end()) {
    return false;
  }
  auto& health = found->second;
  if (health.ejected_) {
    if (HasOutstandingProbe(health)) {
      Eject(aPool, aTarget, health, aNow);
    }
    return false;
  }
  AddSample(health, true);
  if (!IsOutlier(health) || !MayEject(aPool)) {
    return false;
  }
  Eject(aPool, aTarget, health, aNow);
  return true;
}

} // namespace lycheeplank::admission
