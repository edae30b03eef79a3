#ifndef LYCHEEPLANK_SRC_GATEWAY_CLOCK_H
#define LYCHEEPLANK_SRC_GATEWAY_CLOCK_H

#include <ctime>

#include <absl/time/time.h>

namespace lycheeplank::gateway {

// Returns the time of a monotonic clock that also advances while the machine is
// suspended, so that leases and deadlines expire meanwhile.
inline absl::Time
Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

} // namespace lycheeplank::gateway

#endif
