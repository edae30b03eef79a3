#ifndef LYCHEEPLANK_STEWARD_CLOCK_H
#define LYCHEEPLANK_STEWARD_CLOCK_H

#include <ctime>

#include <absl/time/time.h>

namespace lycheeplank::steward {

// Returns the time since the host was started. Clock adjustments don't affect
// it, and it advances while the host is suspended. Leases rely on both.
inline absl::Time
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

} // namespace lycheeplank::steward

#endif
