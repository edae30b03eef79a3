#include "gateway/stream-end.h"

namespace lycheeplank::gateway {

EndVerdict
JudgeEnd(const EndEvidence& aEvidence)
{
  if (aEvidence.isConnected_) {
    return EndVerdict::Whole;
  }
  if (aEvidence.hasLostCall_) {
    return EndVerdict::Broken;
  }
  // A target that leaves stops listening before its last answers end.
  if (!aEvidence.isListed_) {
    return EndVerdict::Whole;
  }
  if (!aEvidence.connect_) {
    return EndVerdict::NeedsConnection;
  }
  return aEvidence.connect_ == ConnectEnd::Refused ? EndVerdict::Broken
                                                   : EndVerdict::Whole;
}

} // namespace lycheeplank::gateway
