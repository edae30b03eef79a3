#ifndef LYCHEEPLANK_STANDIN_BLOCK_PAYLOAD_H
#define LYCHEEPLANK_STANDIN_BLOCK_PAYLOAD_H

#include <string>

#include <absl/types/optional.h>

#include "lycheeplank/core.h"

namespace lycheeplank::standin {

// What an engine writes into a store in place of a block's content.
struct BlockPayload
{
  core::BlockKey key_;
  core::BlockKey root_;
  core::CacheScope scope_;
};

std::string
FormatPayload(const BlockPayload& aPayload);

// Reads what FormatPayload wrote; nothing if it is damaged.
absl::optional<BlockPayload>
ParsePayload(const std::string& aText);

} // namespace lycheeplank::standin

#endif
