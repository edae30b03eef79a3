#ifndef LYCHEEPLANK_STANDIN_BLOCK_PAYLOAD_H
#define LYCHEEPLANK_STANDIN_BLOCK_PAYLOAD_H

#include <string>

#include <absl/types/optional.h>

#include "lycheeplank/core.h"

namespace lycheeplank::standin {

// The payload that the stand-in engine writes to a store instead of KV data.
// It identifies the block, so that an import can be verified.
struct BlockPayload
{
  core::BlockKey key_;
  core::BlockKey root_;
  core::CacheScope scope_;
};

// Returns the payload as JSON text.
std::string
FormatPayload(const BlockPayload& aPayload);

// Parses the output of FormatPayload. Returns nullopt if it is not a JSON
// object or has no valid keys.
absl::optional<BlockPayload>
ParsePayload(const std::string& aText);

} // namespace lycheeplank::standin

#endif
