#include "poison/traffic.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace lycheeplank::poison {

namespace {

// Reports of this age count for less than a thousandth.
const absl::Duration kMaxTrafficAge = 7 * kTrafficTime;
constexpr absl::string_view kGroupSeparator = "\n";

void
Add(Traffic& aTraffic, const Traffic& aMore)
{
  if (aMore.at_ > aTraffic.at_) {
    const double left = DecayedWeight(aTraffic.at_, aMore.at_);
    aTraffic.begun_ *= left;
    aTraffic.lost_ *= left;
    aTraffic.at_ = aMore.at_;
  }
  const double weight = DecayedWeight(aMore.at_, aTraffic.at_);
  aTraffic.begun_ += weight * aMore.begun_;
  aTraffic.lost_ += weight * aMore.lost_;
}

void
Count(TrafficByGroup& aTraffic,
      const std::string& aGroup,
      const Traffic& aCounts)
{
  if (aTraffic.size() < kMaxGroups || aTraffic.contains(aGroup)) {
    Add(aTraffic[aGroup], aCounts);
  }
}

// Returns the counts of traffic without those of aOwn, as of aNow.
Traffic
Without(const Traffic& aTraffic, const Traffic* aOwn, absl::Time aNow)
{
  Traffic rest;
  rest.at_ = aNow;
  Add(rest, aTraffic);
  if (aOwn != nullptr) {
    rest.lost_ =
      std::max(0.0, rest.lost_ - aOwn->lost_ * DecayedWeight(aOwn->at_, aNow));
  }
  return rest;
}

absl::string_view
ServiceOf(absl::string_view aGroup)
{
  return aGroup.substr(0, aGroup.find(kGroupSeparator));
}

// Requests of other groups count for this many.
constexpr double kPriorRequests = 2.0;

} // namespace

std::string
GroupOf(absl::string_view aService, absl::string_view aRoute)
{
  return absl::StrCat(aService, kGroupSeparator, aRoute);
}

double
LossShare(const TrafficByGroup& aTraffic,
          const TrafficByGroup& aOwn,
          const std::string& aGroup,
          absl::Time aNow)
{
  Traffic group;
  Traffic others;
  for (const auto& [name, traffic] : aTraffic) {
    const auto own = aOwn.find(name);
    const auto rest =
      Without(traffic, own == aOwn.end() ? nullptr : &own->second, aNow);
    if (name == aGroup) {
      group = rest;
    } else if (ServiceOf(name) == ServiceOf(aGroup)) {
      Add(others, rest);
    }
  }
  const double prior =
    (others.lost_ + 1.0) / (others.lost_ + others.begun_ + 2.0);
  return (group.lost_ + kPriorRequests * prior) /
         (group.lost_ + group.begun_ + kPriorRequests);
}

double
DecayedWeight(absl::Time aThen, absl::Time aNow)
{
  return std::exp(
    -std::max(0.0, absl::FDivDuration(aNow - aThen, kTrafficTime)));
}

void
CountBegin(TrafficByGroup& aTraffic, const std::string& aGroup, absl::Time aAt)
{
  Count(aTraffic, aGroup, { 1.0, 0.0, aAt });
}

void
CountLoss(TrafficByGroup& aTraffic, const std::string& aGroup, absl::Time aAt)
{
  Count(aTraffic, aGroup, { 0.0, 1.0, aAt });
}

TrafficByGroup
TotalTraffic(const State& aState, absl::Time aNow)
{
  TrafficByGroup total;
  const auto add = [&](const TrafficByGroup& aTraffic) {
    for (const auto& [group, counts] : aTraffic) {
      auto& sum = total[group];
      sum.at_ = aNow;
      Add(sum, counts);
    }
  };
  add(aState.ownTraffic_);
  for (const auto& [host, traffic] : aState.peerTraffic_) {
    add(traffic);
  }
  // Hosts without losses don't tell their traffic. They are assumed to begin as
  // many answers as the others.
  const auto known = static_cast<double>(aState.peerTraffic_.size() + 1);
  const double scale =
    std::max(1.0, static_cast<double>(aState.hosts_) / known);
  for (auto& [group, counts] : total) {
    counts.begun_ *= scale;
  }
  return total;
}

TrafficByGroup
TrafficOf(const State& aState, const std::string& aHost)
{
  if (aHost == aState.self_) {
    return aState.ownTraffic_;
  }
  const auto found = aState.peerTraffic_.find(aHost);
  return found == aState.peerTraffic_.end() ? TrafficByGroup() : found->second;
}

void
SetPeerTraffic(State& aState, const Message& aMessage)
{
  if (!aMessage.traffic_.empty()) {
    aState.peerTraffic_[aMessage.sender_] = aMessage.traffic_;
  }
}

void
DropOldTraffic(State& aState, absl::Time aNow)
{
  absl::erase_if(aState.peerTraffic_, [&](const auto& aEntry) {
    return std::all_of(
      aEntry.second.begin(), aEntry.second.end(), [&](const auto& aGroup) {
        return aNow - aGroup.second.at_ > kMaxTrafficAge;
      });
  });
}

} // namespace lycheeplank::poison
