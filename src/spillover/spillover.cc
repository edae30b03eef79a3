#include "lycheeplank/spillover.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

namespace lycheeplank::spillover {

namespace {

// Wait in seconds at a data centre without targets.
constexpr double kNoTargetsWait = 60.0;

// Returns the loss of an answer after a wait, as a share of its value.
double
LossOf(double aWaitSeconds, const Times& aTimes)
{
  const double late =
    std::min(1.0, aWaitSeconds / absl::ToDoubleSeconds(aTimes.goal_));
  return kLateLoss * late * late;
}

double
RoomOf(const DataCentre& aDataCentre)
{
  return kUsableShare * aDataCentre.targets_ - aDataCentre.need_;
}

// What the hosts of a data centre should do, before it is smoothed.
struct Plan
{
  Reason reason_ = Reason::Enough;
  double share_ = 0.0;
  std::vector<std::pair<std::string, double>> rooms_;
  double localSeconds_ = 0.0;
  double remoteSeconds_ = 0.0;
};

Plan
MakePlan(const std::vector<DataCentre>& aDataCentres,
         const DataCentre& aOwn,
         const Times& aTimes,
         double aMinGain)
{
  Plan plan;
  plan.localSeconds_ = ExpectedWait(aOwn, aOwn.need_, aTimes);
  if (RoomOf(aOwn) >= 0.0) {
    return plan;
  }
  const double localLoss = LossOf(plan.localSeconds_, aTimes);
  double surplus = 0.0;
  double room = 0.0;
  std::size_t known = 0;
  plan.remoteSeconds_ = std::numeric_limits<double>::max();
  for (const auto& other : aDataCentres) {
    if (!other.isKnown_) {
      continue;
    }
    const double otherRoom = RoomOf(other);
    surplus += std::max(0.0, -otherRoom);
    if (other.name_ == aOwn.name_ || other.targets_ <= 0.0) {
      continue;
    }
    ++known;
    const double wait =
      ExpectedWait(other, kUsableShare * other.targets_, aTimes);
    plan.remoteSeconds_ = std::min(plan.remoteSeconds_, wait);
    if (otherRoom > 0.0 && localLoss - LossOf(wait, aTimes) > aMinGain) {
      plan.rooms_.emplace_back(other.name_, otherRoom);
      room += otherRoom;
    }
  }
  if (known == 0) {
    plan.remoteSeconds_ = 0.0;
    plan.reason_ = Reason::Unknown;
  } else if (plan.rooms_.empty()) {
    plan.reason_ = localLoss - LossOf(plan.remoteSeconds_, aTimes) > aMinGain
                     ? Reason::NoRoom
                     : Reason::NoGain;
  } else {
    // Data centres with a surplus divide the room in proportion to it.
    plan.reason_ = aOwn.targets_ > 0.0 ? Reason::Surplus : Reason::NoTargets;
    plan.share_ = -RoomOf(aOwn) / aOwn.need_ * std::min(1.0, room / surplus);
  }
  return plan;
}

bool
TakeLogged(State& aState)
{
  const bool isChanged =
    (aState.share_ > 0.0) != (aState.loggedShare_ > 0.0) ||
    std::abs(aState.share_ - aState.loggedShare_) >= kLoggedChange;
  if (isChanged) {
    aState.loggedShare_ = aState.share_;
    aState.loggedReason_ = aState.reason_;
  }
  return isChanged;
}

} // namespace

std::uint32_t
NameHash(absl::string_view aName)
{
  return static_cast<std::uint32_t>(core::StableHash(aName));
}

Demand
RefusedAt(const RefusedDemand& aRefused, absl::Duration aRun, absl::Time aNow)
{
  const auto age = std::max(absl::ZeroDuration(), aNow - aRefused.updatedAt_);
  const double left = std::exp(-absl::FDivDuration(age, aRun));
  return { left * aRefused.demand_.calls_, left * aRefused.demand_.tokens_ };
}

void
AddRefused(RefusedDemand& aRefused,
           double aTokens,
           absl::Duration aRun,
           absl::Time aNow)
{
  aRefused.demand_ = RefusedAt(aRefused, aRun, aNow);
  aRefused.demand_.calls_ += 1.0;
  aRefused.demand_.tokens_ += aTokens;
  aRefused.updatedAt_ = aNow;
}

absl::optional<Demand>
TotalOf(const DemandReports& aReports,
        std::uint32_t aDataCentre,
        std::uint32_t aService,
        absl::Time aNow)
{
  absl::optional<Demand> total;
  absl::optional<Demand> sum;
  auto totalAt = absl::InfinitePast();
  for (const auto& [host, report] : aReports) {
    if (aNow - report.reportedAt_ > kMaxDemandAge) {
      continue;
    }
    for (const auto& row : report.rows_) {
      if (row.dataCentre_ != aDataCentre || row.service_ != aService) {
        continue;
      }
      if (!row.isTotal_) {
        sum = sum.value_or(Demand());
        sum->calls_ += row.demand_.calls_;
        sum->tokens_ += row.demand_.tokens_;
      } else if (report.reportedAt_ > totalAt) {
        total = row.demand_;
        totalAt = report.reportedAt_;
      }
    }
  }
  return total ? total : sum;
}

std::vector<DemandRow>
TotalRows(const DemandReports& aReports, absl::Time aNow)
{
  absl::btree_set<std::pair<std::uint32_t, std::uint32_t>> keys;
  for (const auto& [host, report] : aReports) {
    for (const auto& row : report.rows_) {
      keys.emplace(row.dataCentre_, row.service_);
    }
  }
  std::vector<DemandRow> rows;
  for (const auto& [dataCentre, service] : keys) {
    if (const auto total = TotalOf(aReports, dataCentre, service, aNow)) {
      rows.push_back({ dataCentre, service, true, *total });
    }
  }
  return rows;
}

std::vector<DemandRow>
ReceivedTotals(const DemandReports& aReports, absl::Time aNow)
{
  DemandReports totals;
  for (const auto& [host, report] : aReports) {
    auto& rows = totals[host].rows_;
    std::copy_if(report.rows_.begin(),
                 report.rows_.end(),
                 std::back_inserter(rows),
                 [](const auto& aRow) { return aRow.isTotal_; });
    totals[host].reportedAt_ = report.reportedAt_;
  }
  return TotalRows(totals, aNow);
}

std::vector<DemandRow>
SumParts(const DemandReports& aReports,
         const std::vector<std::string>& aHosts,
         absl::Time aNow)
{
  absl::btree_map<std::pair<std::uint32_t, std::uint32_t>, Demand> sums;
  for (const auto& host : aHosts) {
    const auto report = aReports.find(host);
    if (report == aReports.end() ||
        aNow - report->second.reportedAt_ > kMaxDemandAge) {
      continue;
    }
    for (const auto& row : report->second.rows_) {
      if (!row.isTotal_) {
        auto& sum = sums[{ row.dataCentre_, row.service_ }];
        sum.calls_ += row.demand_.calls_;
        sum.tokens_ += row.demand_.tokens_;
      }
    }
  }
  std::vector<DemandRow> rows;
  for (const auto& [key, sum] : sums) {
    rows.push_back({ key.first, key.second, false, sum });
  }
  return rows;
}

double
NeedOf(const Demand& aDemand, double aSlots, double aMemoryTokens)
{
  const double slots = aSlots > 0.0 ? aDemand.calls_ / aSlots : 0.0;
  const double memory =
    aMemoryTokens > 0.0 ? aDemand.tokens_ / aMemoryTokens : 0.0;
  return std::max(slots, memory);
}

double
ExpectedWait(const DataCentre& aDataCentre, double aNeed, const Times& aTimes)
{
  if (aDataCentre.targets_ <= 0.0) {
    return kNoTargetsWait;
  }
  const double start =
    aDataCentre.slowness_ * absl::ToDoubleSeconds(aTimes.start_);
  const double use = aNeed / (kUsableShare * aDataCentre.targets_);
  return start + absl::ToDoubleSeconds(aTimes.run_) * std::max(0.0, use - 1.0);
}

bool
Update(State& aState,
       const std::vector<DataCentre>& aDataCentres,
       absl::string_view aOwn,
       const Times& aTimes,
       absl::Time aNow)
{
  const auto own =
    std::find_if(aDataCentres.begin(),
                 aDataCentres.end(),
                 [aOwn](const auto& aOther) { return aOther.name_ == aOwn; });
  if (own == aDataCentres.end() || !own->isKnown_) {
    return Reset(aState, Reason::Unknown);
  }
  auto plan = MakePlan(
    aDataCentres, *own, aTimes, aState.share_ > 0.0 ? kKeepGain : kStartGain);
  const double weight =
    aState.updatedAt_ == absl::InfinitePast()
      ? 0.0
      : 1.0 -
          std::exp(-absl::FDivDuration(aNow - aState.updatedAt_, kShareTime));
  aState.updatedAt_ = aNow;
  aState.reason_ = plan.reason_;
  aState.localSeconds_ = plan.localSeconds_;
  aState.remoteSeconds_ = plan.remoteSeconds_;
  aState.share_ += weight * (plan.share_ - aState.share_);
  if (plan.share_ > 0.0) {
    aState.rooms_ = std::move(plan.rooms_);
  } else if (aState.share_ < kMinShare || plan.reason_ != Reason::Enough) {
    // Without a data centre that can serve them, requests stay at once.
    aState.share_ = 0.0;
    aState.rooms_.clear();
  }
  return TakeLogged(aState);
}

bool
Reset(State& aState, Reason aReason)
{
  aState.reason_ = aReason;
  aState.share_ = 0.0;
  aState.rooms_.clear();
  aState.updatedAt_ = absl::InfinitePast();
  return TakeLogged(aState);
}

absl::string_view
DrawDestination(const State& aState, double aDraw)
{
  if (aDraw >= aState.share_ || aState.rooms_.empty()) {
    return {};
  }
  double all = 0.0;
  for (const auto& [name, room] : aState.rooms_) {
    all += room;
  }
  double at = aDraw / aState.share_ * all;
  for (const auto& [name, room] : aState.rooms_) {
    at -= room;
    if (at < 0.0) {
      return name;
    }
  }
  return aState.rooms_.back().first;
}

} // namespace lycheeplank::spillover
