#include "poison/traffic.h"

#include <algorithm>
#include <cmath>

namespace lycheeplank::poison {

namespace {

// Reports of this age count for less than a thousandth.
const absl::Duration kMaxTrafficAge = 7 * kTrafficTime;

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

} // namespace

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
  return total;
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
