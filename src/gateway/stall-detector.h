#ifndef LYCHEEPLANK_SRC_GATEWAY_STALL_DETECTOR_H
#define LYCHEEPLANK_SRC_GATEWAY_STALL_DETECTOR_H

#include <absl/time/time.h>

// Detects stalls of the event loop, for example while the process or its
// machine is frozen. After a stall the sockets hold messages that were sent at
// any time during it, so the time at which a message is read doesn't tell its
// age.
namespace lycheeplank::gateway {

// Recorded iterations of the event loop, and its last stall.
struct StallDetector
{
  absl::Time lastIteration_ = absl::InfinitePast();
  // The iterations before and after the last stall, or before the first and
  // after the last of stalls less than kCatchUpTime apart.
  absl::Time stallStart_ = absl::InfinitePast();
  absl::Time stallEnd_ = absl::InfinitePast();
  // Length of all stalls.
  absl::Duration stalled_ = absl::ZeroDuration();
};

// A time, and the length of all stalls before it.
struct Moment
{
  absl::Time at_ = absl::InfinitePast();
  absl::Duration stalled_ = absl::ZeroDuration();
};

// A longer time between two recorded iterations is a stall. The loop records
// one every 25 ms.
inline constexpr absl::Duration kStallThreshold = absl::Milliseconds(150);
// Messages that were on the sockets at the end of a stall are read within this
// time.
inline constexpr absl::Duration kCatchUpTime = absl::Milliseconds(300);

// Returns whether the loop is in a stall or has just left one. Data that
// arrived during the stall may still be unread, so no peer may be treated as
// silent.
bool
IsCatchingUp(const StallDetector& aDetector, absl::Time aNow);

// Records an iteration of the event loop, and a stall if the iteration before
// is too long ago.
void
RecordIteration(StallDetector& aDetector, absl::Time aNow);

// Returns the present moment.
Moment
MomentAt(const StallDetector& aDetector, absl::Time aNow);

// Returns the earliest time at which a message that is read at aNow may have
// been sent. aAskedAt is the time of the request that it answers, infinite past
// for a message without a request.
absl::Time
EarliestSendTime(const StallDetector& aDetector,
                 absl::Time aAskedAt,
                 absl::Time aNow);

} // namespace lycheeplank::gateway

#endif
