#ifndef LYCHEEPLANK_SRC_GATEWAY_DEMAND_H
#define LYCHEEPLANK_SRC_GATEWAY_DEMAND_H

#include <string>
#include <vector>

#include <absl/strings/string_view.h>

#include "gateway/host.h"

// Measures the demand of this host's callers and keeps the decision which share
// of each service's requests goes to other data centres, see
// lycheeplank/spillover.h.
namespace lycheeplank::gateway {

// Time between two updates. Demands are shared about as often.
inline constexpr absl::Duration kDemandPeriod = absl::Milliseconds(200);

// Updates this host's demand and the decisions; call it each kDemandPeriod.
void
UpdateSpillover(Host& aHost);

// Counts a refused request that would have held aTokens as demand.
void
CountRefusedDemand(Host& aHost, const std::string& aService, double aTokens);

// Returns whether any service may send requests away, so that the demands of
// all data centres are needed.
bool
SharesDemands(const Host& aHost);

// Returns the data centre whose targets a request prefers: this host's own, or
// another one that gets a part of the surplus. aDraw: random number of the
// request, see spillover::DrawDestination.
absl::string_view
PreferredDataCentre(const Host& aHost,
                    const std::string& aService,
                    double aDraw);

} // namespace lycheeplank::gateway

#endif
