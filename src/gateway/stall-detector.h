#ifndef LYCHEEPLANK_SRC_GATEWAY_STALL_DETECTOR_H
#define LYCHEEPLANK_SRC_GATEWAY_STALL_DETECTOR_H

#include <absl/time/time.h>

// How old what a host hears may be. A process that is stopped, or a machine
// that stands still, finds messages on its sockets that were written at any
// moment of the gap; they aren't news of the moment at which they are read.
namespace lycheeplank::gateway {

// Turns of the event loop, noted now and then.
struct StallDetector
{
  absl::Time lastIteration_ = absl::InfinitePast();
  // The last gap: the turn before it, and the one that found it.
  absl::Time stallStart_ = absl::InfinitePast();
  absl::Time stallEnd_ = absl::InfinitePast();
};

// Turns that lie further apart than this have a gap between them; the loop
// notes one each 25 ms.
inline constexpr absl::Duration kStallThreshold = absl::Milliseconds(150);
// What lay on the sockets at the end of a gap is read within this time.
inline constexpr absl::Duration kCatchUpTime = absl::Milliseconds(300);

// Returns whether the loop has just found a gap: bytes that came meanwhile may
// not have been read yet, so that nobody can be called silent.
bool
IsCatchingUp(const StallDetector& aDetector, absl::Time aNow);

void
RecordIteration(StallDetector& aDetector, absl::Time aNow);

// Returns the earliest moment at which a message may have been written that is
// read now. aAskedAt: when it was asked for; infinite past for what comes
// unasked.
absl::Time
EarliestSendTime(const StallDetector& aDetector,
                 absl::Time aAskedAt,
                 absl::Time aNow);

} // namespace lycheeplank::gateway

#endif
