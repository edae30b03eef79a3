#ifndef LYCHEEPLANK_SRC_POISON_TRAFFIC_H
#define LYCHEEPLANK_SRC_POISON_TRAFFIC_H

#include <string>

#include "lycheeplank/poison.h"

// Counts of begun answers and lost requests, which tell how likely a sound
// request is lost.
namespace lycheeplank::poison {

// Returns what is left at aNow of a weight of one at aThen.
double
DecayedWeight(absl::Time aThen, absl::Time aNow);

// Count an answer that has begun, and a request that was lost before.
void
CountBegin(TrafficByGroup& aTraffic, const std::string& aGroup, absl::Time aAt);
void
CountLoss(TrafficByGroup& aTraffic, const std::string& aGroup, absl::Time aAt);

// Returns the traffic of all hosts, as far as it is known and estimated.
TrafficByGroup
TotalTraffic(const State& aState, absl::Time aNow);

// Returns the last known traffic of a host.
TrafficByGroup
TrafficOf(const State& aState, const std::string& aHost);

// Returns the share of a group's requests that are lost, without those counted
// in aOwn. If the group has few requests, the share of the other groups of the
// service counts.
double
LossShare(const TrafficByGroup& aTraffic,
          const TrafficByGroup& aOwn,
          const std::string& aGroup,
          absl::Time aNow);

// Records another host's report.
void
SetPeerTraffic(State& aState, const Message& aMessage);

// Forgets reports that hardly count any more.
void
DropOldTraffic(State& aState, absl::Time aNow);

} // namespace lycheeplank::poison

#endif
