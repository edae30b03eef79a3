#include "gateway/warmup.h"

#include <algorithm>

#include "gateway/clock.h"
#include "gateway/permits.h"

namespace lycheeplank::gateway {

absl::Duration
ColdTimeOf(const Host& aHost, absl::string_view aService)
{
  if (!aHost.catalog_) {
    return absl::ZeroDuration();
  }
  const auto service = aHost.catalog_->services_.find(std::string(aService));
  return service == aHost.catalog_->services_.end() ? absl::ZeroDuration()
                                                    : service->second.coldFor_;
}

void
NoteTargetCold(Host& aHost,
               const std::string& aTarget,
               absl::Duration aTime,
               ColdEvidence aEvidence)
{
  const auto member = aHost.members_.find(aTarget);
  if (member == aHost.members_.end()) {
    return;
  }
  const auto& service = member->second.target_.service_;
  const auto time = std::min(aTime, ColdTimeOf(aHost, service));
  if (time <= absl::ZeroDuration()) {
    return;
  }
  const auto perSecond = aHost.catalog_->services_.at(service).warmupPerSecond_;
  const auto now = Now();
  if (!target_limits::NoteCold(
        aHost.limits_, member->second, perSecond, now + time, now)) {
    return;
  }
  const auto evidence = core::NameOf(kColdEvidence, aEvidence);
  aHost.metrics_.Count("targets_cold_total", "evidence", evidence);
  aHost.log_.Write(Line("target_cold")
                     .Text("target", aTarget)
                     .Text("evidence", evidence)
                     .Number("per_second", perSecond)
                     .Age("for_ms", time));
  TickLimits(aHost);
}

void
NoteEntryWarmup(Host& aHost, const std::string& aTarget, bool aIsNewStart)
{
  const auto member = aHost.members_.find(aTarget);
  if (member == aHost.members_.end()) {
    return;
  }
  const auto& target = member->second.target_;
  const auto time = target.warmup_.value_or(
    aIsNewStart ? ColdTimeOf(aHost, target.service_) : absl::ZeroDuration());
  NoteTargetCold(aHost, aTarget, time, ColdEvidence::Entry);
}

void
NoteEvacuationEnd(Host& aHost, const std::string& aDataCentre)
{
  for (const auto& [id, member] : aHost.members_) {
    if (member.target_.dataCentre_ == aDataCentre) {
      NoteTargetCold(
        aHost, id, absl::InfiniteDuration(), ColdEvidence::Evacuation);
    }
  }
}

} // namespace lycheeplank::gateway
