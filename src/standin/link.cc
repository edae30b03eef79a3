#include "standin/link.h"

#include <algorithm>

namespace lycheeplank::standin {

absl::Time
ScheduleTransfer(Link& aLink,
                 std::uint64_t aBytes,
                 double aSlowdown,
                 absl::Time aNow)
{
  const absl::Duration time = absl::Seconds(static_cast<double>(aBytes) *
                                            aSlowdown / aLink.bytesPerSecond_);
  aLink.idleAt_ = std::max(aLink.idleAt_, aNow) + time;
  aLink.bytesTotal_ += aBytes;
  return aLink.idleAt_;
}

std::uint64_t
BacklogBytes(const Link& aLink, double aSlowdown, absl::Time aNow)
{
  if (aLink.idleAt_ <= aNow) {
    return 0;
  }
  return static_cast<std::uint64_t>(
    absl::ToDoubleSeconds(aLink.idleAt_ - aNow) * aLink.bytesPerSecond_ /
    aSlowdown);
}

} // namespace lycheeplank::standin
