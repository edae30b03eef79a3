#ifndef LYCHEEPLANK_SRC_GATEWAY_CLOCK_H
#define LYCHEEPLANK_SRC_GATEWAY_CLOCK_H

#include <ctime>

#include <absl/time/time.h>

namespace lycheeplank::gateway {

// Returns a time that only moves forward and goes on while the machine is
// suspended, so that leases and deadlines are seen to have passed.
inline absl::Time
Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

} // namespace lycheeplank::gateway

#endif
