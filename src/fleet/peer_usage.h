#ifndef LYCHEEPLANK_SRC_FLEET_PEER_USAGE_H
#define LYCHEEPLANK_SRC_FLEET_PEER_USAGE_H

#include "lycheeplank/fleet.h"

namespace lycheeplank::fleet::detail {

// Adds the reported load of a host to a sum unless the report is too old.
template<typename Sum>
void
AddRecent(Sum& aSum, const PeerUsage& aReported, absl::Time aNow)
{
  if (aNow - aReported.reportedAt_ < kMaxPeerLoadAge) {
    aSum.inFlight_ += aReported.inFlight_;
    aSum.urgentTokens_ += aReported.urgentTokens_;
    aSum.otherTokens_ += aReported.otherTokens_;
    aSum.heldTokens_ += aReported.heldTokens_;
  }
}

} // namespace lycheeplank::fleet::detail

#endif
