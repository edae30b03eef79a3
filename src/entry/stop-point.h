#ifndef LYCHEEPLANK_ENTRY_STOP_POINT_H
#define LYCHEEPLANK_ENTRY_STOP_POINT_H

#include <array>
#include <atomic>
#include <cstdint>

#include "lycheeplank/core.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// A point in a call that runs at most once. Failure tests can stop the process
// there.
enum class StopPoint
{
  None,
  // A claim is about to be requested from its home, or a claim or outcome is
  // about to be written by this host.
  BeforeClaim,
  // A claim or outcome was written, or the claim's home has answered. The
  // reducer hasn't received the reply yet.
  ClaimWritten,
  // The claim is held and the call is about to be sent.
  ClaimGranted,
  // The call was passed to the HTTP client.
  Dispatched,
  // The service has answered or the call has failed; nothing is recorded yet.
  Answered,
  // The outcome is recorded and the caller is about to be answered.
  Recorded,
};

inline constexpr std::array<core::Named<StopPoint>, 7> kStopPoints{ {
  { StopPoint::None, "none" },
  { StopPoint::BeforeClaim, "before-claim" },
  { StopPoint::ClaimWritten, "claim-written" },
  { StopPoint::ClaimGranted, "claim-granted" },
  { StopPoint::Dispatched, "dispatched" },
  { StopPoint::Answered, "answered" },
  { StopPoint::Recorded, "recorded" },
} };

// Returns the stop point just before an effect is performed.
StopPoint
StopPointBefore(const reducer::Effect& aEffect);

// Returns the stop point just after an effect was performed.
StopPoint
StopPointAfter(const reducer::Effect& aEffect);

// Returns the stop point just before an event is passed to the reducer.
StopPoint
StopPointBefore(const reducer::Event& aEvent);

// Returns whether a command writes a claim or an outcome.
bool
WritesClaims(const reducer::SendCommand& aCommand);

// Stops this process with SIGSTOP, once, when it reaches a point for the
// aCount-th time. The process continues after SIGCONT. For failure tests only.
class Stopper
{
public:
  Stopper(StopPoint aPoint, std::uint32_t aCount);

  // Counts the arrival at a point, and stops the process if it is due.
  void StopIfReached(StopPoint aPoint);

private:
  const StopPoint point_;
  std::atomic<std::int64_t> remainingCount_;
};

} // namespace lycheeplank::entry

#endif
