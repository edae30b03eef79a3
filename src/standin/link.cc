#include "standin/link.h"

#include <algorithm>

namespace lycheeplank::standin {

absl::Time
AddTransfer(Link& aLink,
            std::uint64_t aBytes,
            double aSlowdown,
            absl::Time aNow)
{
  const absl::Duration time = absl::Seconds(static_cast<double>(aBytes) *
                                            aSlowdown / aLink.bytesPerSecond_);
  aLink.freeAt_ = std::max(aLink.freeAt_, aNow) + time;
  aLink.bytesTotal_ += aBytes;
  return aLink.freeAt_;
}

std::uint64_t
BacklogOf(const Link& aLink, double aSlowdown, absl::Time aNow)
{
  if (aLink.freeAt_ <= aNow) {
    return 0;
  }
  return static_cast<std::uint64_t>(
    absl::ToDoubleSeconds(aLink.freeAt_ - aNow) * aLink.bytesPerSecond_ /
    aSlowdown);
}

} // namespace lycheeplank::standin
