#ifndef LYCHEEPLANK_SRC_FLEET_PEER_USAGE_H
#define LYCHEEPLANK_SRC_FLEET_PEER_USAGE_H

#include "lycheeplank/fleet.h"

namespace lycheeplank::fleet::detail {

// Adds what a host has told to a sum if it told it lately.
template<typename Sum>
void
AddRecent(Sum& aSum, const PeerUsage& aTold, absl::Time aNow)
{
  if (aNow - aTold.reportedAt_ < kMaxPeerLoadAge) {
    aSum.inFlight_ += aTold.inFlight_;
    aSum.urgentTokens_ += aTold.urgentTokens_;
    aSum.otherTokens_ += aTold.otherTokens_;
    aSum.heldTokens_ += aTold.heldTokens_;
  }
}

} // namespace lycheeplank::fleet::detail

#endif
