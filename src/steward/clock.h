#ifndef LYCHEEPLANK_STEWARD_CLOCK_H
#define LYCHEEPLANK_STEWARD_CLOCK_H

#include <ctime>

#include <absl/time/time.h>

namespace lycheeplank::steward {

// Returns the time since the host has started, which no clock adjustment
// moves and which goes on while the host is suspended; leases need both.
inline absl::Time
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

} // namespace lycheeplank::steward

#endif
