#ifndef LYCHEEPLANK_STANDIN_STORE_H
#define LYCHEEPLANK_STANDIN_STORE_H

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>
#include <nlohmann/json_fwd.hpp>

#include "standin/link.h"
#include "standin/standin.h"

namespace lycheeplank::standin {

enum class Tier
{
  Memory,
  Disk,
};

inline constexpr std::array<core::Named<Tier>, 2> kTiers{ {
  { Tier::Memory, "memory" },
  { Tier::Disk, "disk" },
} };

// A block that is stored or being written.
struct Block
{
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
  // The expected length of the payload, if the writer gave it.
  absl::optional<std::uint64_t> length_;
  std::string checksum_;
  std::string root_;
  std::string payload_;
  Tier tier_ = Tier::Memory;
  std::uint64_t lastUse_ = 0;
  absl::Time begunAt_;
};

// Protects one generation of a block from deletion and replacement.
struct Pin
{
  std::string key_;
  std::uint64_t generation_ = 0;
};

// An operation on a block.
enum class BlockCall
{
  Commit,
  Read,
  Free,
};

inline constexpr std::array<core::Named<BlockCall>, 3> kBlockCalls{ {
  { BlockCall::Commit, "commit" },
  { BlockCall::Read, "read" },
  { BlockCall::Free, "free" },
} };

// A record of one operation on a block, successful or refused.
struct BlockRecord
{
  BlockCall call_ = BlockCall::Commit;
  std::string key_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
  // The reason for a refusal; empty if the operation succeeded.
  std::string refusal_;
};

// The state of a stand-in store. Only the loop thread accesses it.
struct Store
{
  StoreOptions options_;
  Context& context_;
  Link link_;
  Link disk_;
  // The readable blocks by key.
  absl::btree_map<std::string, Block> committed_;
  // The uncommitted blocks with their keys, by generation.
  absl::btree_map<std::uint64_t, std::pair<std::string, Block>> pendingWrites_;
  absl::flat_hash_map<std::string, Pin> pins_;
  // All operations so far, in order.
  std::vector<BlockRecord> records_;
  // Starts at the current time, so that generations also grow across restarts.
  std::uint64_t lastGeneration_ =
    static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
  // Identifies this start of the store.
  std::uint64_t instance_ = lastGeneration_;
  std::uint64_t lastUse_ = 0;
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
};

// The block and generation that a call below /v1/blocks/ addresses.
struct BlockAddress
{
  std::string key_;
  std::uint64_t generation_ = 0;
};

// Returns the committed block with this key and generation; null if there is
// none.
Block*
FindBlock(Store& aStore, const BlockAddress& aAddress);

// Returns all committed blocks with their payloads, in the format of
// ReadContents.
nlohmann::json
ContentsOf(const Store& aStore);

// Loads the output of ContentsOf into a new store.
void
ReadContents(Store& aStore, const nlohmann::json& aContents);

// Handles a call below /v1/blocks/; aRest is the path after that prefix.
void
HandleBlock(Store& aStore,
            absl::string_view aRest,
            const ExchangePtr& aExchange);

} // namespace lycheeplank::standin

#endif
