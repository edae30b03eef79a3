#ifndef LYCHEEPLANK_ENTRY_STOP_POINT_H
#define LYCHEEPLANK_ENTRY_STOP_POINT_H

#include <array>
#include <atomic>
#include <cstdint>

#include "lycheeplank/core.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// A moment of a call that runs at most once, at which a failure test can make
// this process stop.
enum class StopPoint
{
  None,
  // The claim is about to be asked for, here or at its home.
  BeforeClaim,
  // The claim was written or answered; the reducer doesn't know it yet.
  ClaimWritten,
  // The claim is held and the call about to be sent.
  ClaimGranted,
  // The call was handed to the client that sends it.
  Dispatched,
  // The service has answered; nothing is recorded yet.
  Answered,
  // The outcome is recorded and the caller about to be answered.
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

// Returns the moment just before an effect is carried out.
StopPoint
PointBefore(const reducer::Effect& aEffect);

// Returns the moment just after an effect was carried out.
StopPoint
PointAfter(const reducer::Effect& aEffect);

// Returns the moment just before an event is handed to the reducer.
StopPoint
PointBefore(const reducer::Event& aEvent);

// Tells whether a command writes a claim or an outcome.
bool
WritesClaims(const reducer::SendCommand& aCommand);

// Stops this process with SIGSTOP when a moment is reached for the given time,
// once; after SIGCONT it goes on. For failure tests only.
class Stopper
{
public:
  Stopper(StopPoint aPoint, std::uint32_t aCount);

  void Reach(StopPoint aPoint);

private:
  const StopPoint point_;
  std::atomic<std::int64_t> left_;
};

} // namespace lycheeplank::entry

#endif
