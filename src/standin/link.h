#ifndef LYCHEEPLANK_STANDIN_LINK_H
#define LYCHEEPLANK_STANDIN_LINK_H

#include <cstdint>

#include <absl/time/time.h>

namespace lycheeplank::standin {

// A link or a disk that moves one transfer after the other.
struct Link
{
  double bytesPerSecond_ = 0.0;
  absl::Time freeAt_ = absl::InfinitePast();
  std::uint64_t bytesTotal_ = 0;
};

// Puts a transfer behind those before it and returns when it ends.
absl::Time
AddTransfer(Link& aLink,
            std::uint64_t aBytes,
            double aSlowdown,
            absl::Time aNow);

// Returns how many bytes are still to be moved.
std::uint64_t
BacklogOf(const Link& aLink, double aSlowdown, absl::Time aNow);

} // namespace lycheeplank::standin

#endif
