#include "gateway/demand.h"

#include <algorithm>
#include <utility>

#include "gateway/clock.h"
#include "gateway/exchange.h"

namespace lycheeplank::gateway {

namespace {

using spillover::Reason;

// Computed part of a typical prompt; the rest is read from a cache.
constexpr double kTypicalTokens = 3000.0;
// Durations of a run at an engine and of a call to a plain service, as in the
// estimates of a target's wait.
constexpr absl::Duration kMeanRun = absl::Milliseconds(1500);
constexpr absl::Duration kMeanCall = absl::Milliseconds(30);

// Returns the times of each service: the shortest goal of its routes decides.
absl::btree_map<std::string, spillover::Times>
TimesOf(const catalog::Catalog& aCatalog)
{
  constexpr fleet::EngineSpeed kSpeed;
  absl::btree_map<std::string, spillover::Times> all;
  for (const auto& [host, routes] : aCatalog.routes_) {
    for (const auto& route : routes) {
      for (const auto& share : route.shares_) {
        const auto [found, isNew] = all.try_emplace(share.service_);
        auto& times = found->second;
        times.goal_ = isNew ? route.goal_ : std::min(times.goal_, route.goal_);
      }
    }
  }
  for (auto& [name, times] : all) {
    const auto service = aCatalog.services_.find(name);
    const bool isEngine =
      service != aCatalog.services_.end() && service->second.isEngine_;
    times.start_ =
      isEngine ? absl::Seconds(kSpeed.startSeconds_ +
                               kTypicalTokens / kSpeed.promptTokensPerSecond_)
               : kMeanCall;
    times.run_ = isEngine ? kMeanRun : kMeanCall;
    times.goal_ = std::max(times.goal_, times.start_);
  }
  return all;
}

// Returns the demand of this host's callers for each service that may send
// requests away, also if there is none: the others then know of the room.
std::vector<spillover::DemandRow>
OwnDemand(const Host& aHost)
{
  absl::btree_map<absl::string_view, spillover::Demand> demands;
  for (const auto& [service, state] : aHost.spillover_) {
    demands[service];
  }
  for (const auto* request : aHost.openRequests_) {
    const auto found = demands.find(request->Service());
    if (found != demands.end()) {
      found->second.calls_ += 1.0;
      found->second.tokens_ += static_cast<double>(request->HeldTokens());
    }
  }
  for (auto& [service, demand] : demands) {
    const auto refused = aHost.refusedDemands_.find(service);
    const auto times = aHost.spilloverTimes_.find(service);
    if (refused != aHost.refusedDemands_.end() &&
        times != aHost.spilloverTimes_.end()) {
      const auto lost =
        spillover::RefusedAt(refused->second, times->second.run_, Now());
      demand.calls_ += lost.calls_;
      demand.tokens_ += lost.tokens_;
    }
  }
  std::vector<spillover::DemandRow> rows;
  for (const auto& [service, demand] : demands) {
    rows.push_back({ spillover::NameHash(aHost.settings_.dataCentre_),
                     spillover::NameHash(service),
                     false,
                     demand });
  }
  return rows;
}

// Returns whether the targets of a service are in several data centres and room
// is scarce at times: the settings ask for scheduling by priority, or targets
// report their slowness.
bool
IsApplicable(const Host& aHost,
             const std::vector<fleet::DataCentreTargets>& aTargets)
{
  return aTargets.size() > 1 &&
         (aHost.settings_.priorityScheduling_ ||
          std::any_of(aTargets.begin(), aTargets.end(), [](const auto& aOne) {
            return aOne.reportsSlowness_;
          }));
}

std::vector<spillover::DataCentre>
DataCentresOf(const Host& aHost,
              const std::vector<fleet::DataCentreTargets>& aTargets,
              const std::string& aService,
              absl::Time aNow)
{
  const auto service = aHost.catalog_->services_.find(aService);
  const double memory = service == aHost.catalog_->services_.end()
                          ? 0.0
                          : static_cast<double>(service->second.memoryTokens_);
  // The mean slots of all targets, so that a data centre without any has a
  // need.
  double slots = 0.0;
  for (const auto& targets : aTargets) {
    slots = std::max(slots, targets.slots_);
  }
  std::vector<spillover::DataCentre> all;
  for (const auto& targets : aTargets) {
    const auto demand =
      spillover::TotalOf(aHost.demands_,
                         spillover::NameHash(targets.dataCentre_),
                         spillover::NameHash(aService),
                         aNow);
    all.push_back(
      { targets.dataCentre_,
        demand.has_value(),
        spillover::NeedOf(demand.value_or(spillover::Demand()),
                          targets.slots_ > 0.0 ? targets.slots_ : slots,
                          memory),
        static_cast<double>(targets.targets_),
        targets.slowness_ });
  }
  return all;
}

void
LogChange(Host& aHost,
          const std::string& aService,
          const spillover::State& aState)
{
  aHost.log_.Write(
    Line("spillover")
      .Text("service", aService)
      .Number("share", aState.share_)
      .Text("reason", core::NameOf(spillover::kReasons, aState.reason_))
      .Number("local_wait_s", aState.localSeconds_)
      .Number("remote_wait_s", aState.remoteSeconds_));
}

} // namespace

void
UpdateSpillover(Host& aHost)
{
  if (!aHost.catalog_ || !Uses(aHost, mechanisms::Mechanism::Spillover)) {
    return;
  }
  const auto now = Now();
  if (aHost.timesOf_ != aHost.catalog_) {
    aHost.spilloverTimes_ = TimesOf(*aHost.catalog_);
    aHost.timesOf_ = aHost.catalog_;
    absl::erase_if(aHost.spillover_, [&aHost](const auto& aService) {
      return !aHost.spilloverTimes_.contains(aService.first);
    });
  }
  absl::erase_if(aHost.demands_, [now](const auto& aReport) {
    return now - aReport.second.reportedAt_ > spillover::kMaxDemandAge;
  });
  aHost.demands_[aHost.settings_.name_] = { OwnDemand(aHost), now };
  for (const auto& [service, times] : aHost.spilloverTimes_) {
    fleet::RequestSpec question;
    question.service_ = service;
    question.dataCentre_ = aHost.settings_.dataCentre_;
    question.evacuations_ = &aHost.evacuations_;
    auto targets =
      fleet::TargetsByDataCentre(aHost.members_,
                                 question,
                                 absl::FDivDuration(times.goal_, times.start_),
                                 now);
    if (std::none_of(
          targets.begin(), targets.end(), [&question](const auto& aTargets) {
            return aTargets.dataCentre_ == question.dataCentre_;
          })) {
      targets.push_back({ std::string(question.dataCentre_) });
    }
    if (!IsApplicable(aHost, targets)) {
      if (const auto found = aHost.spillover_.find(service);
          found != aHost.spillover_.end()) {
        if (spillover::Reset(found->second, Reason::Inactive)) {
          LogChange(aHost, service, found->second);
        }
        aHost.metrics_.Set("spillover_share", "service", service, 0.0);
        aHost.spillover_.erase(found);
      }
      continue;
    }
    auto& state = aHost.spillover_[service];
    if (spillover::Update(state,
                          DataCentresOf(aHost, targets, service, now),
                          question.dataCentre_,
                          times,
                          now)) {
      LogChange(aHost, service, state);
    }
    aHost.metrics_.Set("spillover_share", "service", service, state.share_);
  }
}

void
CountRefusedDemand(Host& aHost, const std::string& aService, double aTokens)
{
  if (const auto times = aHost.spilloverTimes_.find(aService);
      times != aHost.spilloverTimes_.end() &&
      aHost.spillover_.contains(aService)) {
    spillover::AddRefused(
      aHost.refusedDemands_[aService], aTokens, times->second.run_, Now());
  }
}

bool
SharesDemands(const Host& aHost)
{
  return !aHost.spillover_.empty();
}

absl::string_view
PreferredDataCentre(const Host& aHost,
                    const std::string& aService,
                    double aDraw)
{
  const auto found = aHost.spillover_.find(aService);
  if (found == aHost.spillover_.end()) {
    return aHost.settings_.dataCentre_;
  }
  const auto away = spillover::DrawDestination(found->second, aDraw);
  return away.empty() ? aHost.settings_.dataCentre_ : away;
}

} // namespace lycheeplank::gateway
