#ifndef LYCHEEPLANK_SRC_GATEWAY_EVENT_IDS_H
#define LYCHEEPLANK_SRC_GATEWAY_EVENT_IDS_H

#include <array>
#include <cstdint>

#include "lycheeplank/core.h"

// How the ids of a service's events follow each other. Ids have to increase; if
// those of a service are consecutive, a number that leaps shows that an event
// is missing or isn't of the stream.
namespace lycheeplank::gateway {

enum class IdPattern
{
  Unknown,
  Consecutive,
  Leaping,
};

inline constexpr std::array<core::Named<IdPattern>, 3> kIdPatterns{ {
  { IdPattern::Unknown, "unknown" },
  { IdPattern::Consecutive, "consecutive" },
  { IdPattern::Leaping, "leaping" },
} };

// Number of streams in a row that must oppose a pattern before it is dropped.
// Faulty targets are few, so that sound streams of others come in between.
inline constexpr std::uint32_t kOpposedStreams = 8;

struct EventIds
{
  IdPattern pattern_ = IdPattern::Unknown;
  // Streams in a row that opposed the pattern.
  std::uint32_t opposed_ = 0;
};

// Learns from the ids of one stream; returns whether the pattern has changed.
bool
RecordIds(EventIds& aIds, IdPattern aSeen);

} // namespace lycheeplank::gateway

#endif
