#ifndef LYCHEEPLANK_STANDIN_LINK_H
#define LYCHEEPLANK_STANDIN_LINK_H

#include <cstdint>

#include <absl/time/time.h>

namespace lycheeplank::standin {

// A model of a network link or a disk that executes transfers one at a time.
struct Link
{
  double bytesPerSecond_ = 0.0;
  // The time at which the last scheduled transfer ends.
  absl::Time idleAt_ = absl::InfinitePast();
  std::uint64_t bytesTotal_ = 0;
};

// Schedules a transfer after all earlier ones and returns its end. aSlowdown is
// the factor by which it takes longer.
absl::Time
ScheduleTransfer(Link& aLink,
                 std::uint64_t aBytes,
                 double aSlowdown,
                 absl::Time aNow);

// Returns the number of scheduled bytes that are not transferred yet.
std::uint64_t
BacklogBytes(const Link& aLink, double aSlowdown, absl::Time aNow);

} // namespace lycheeplank::standin

#endif
