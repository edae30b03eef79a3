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

// One version of a block.
struct Block
{
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
  // Length of the payload, if the writer gave it.
  absl::optional<std::uint64_t> length_;
  std::string checksum_;
  std::string root_;
  std::string payload_;
  Tier tier_ = Tier::Memory;
  std::uint64_t lastUse_ = 0;
  absl::Time begunAt_;
};

struct Pin
{
  std::string key_;
  std::uint64_t generation_ = 0;
};

// What was done with a block.
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

// One call that reached a committed block, or failed to.
struct BlockRecord
{
  BlockCall call_ = BlockCall::Commit;
  std::string key_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
  // Why it was refused; empty if it was not.
  std::string refusal_;
};

struct Store
{
  StoreOptions options_;
  Context& context_;
  Link link_;
  Link disk_;
  // Blocks that can be read.
  absl::btree_map<std::string, Block> committed_;
  // Blocks under way, by generation.
  absl::btree_map<std::uint64_t, std::pair<std::string, Block>> writing_;
  absl::flat_hash_map<std::string, Pin> pins_;
  // All calls so far, in order.
  std::vector<BlockRecord> records_;
  // Starts at the time, so that it also grows across restarts.
  std::uint64_t lastGeneration_ =
    static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
  // Differs between two starts.
  std::uint64_t instance_ = lastGeneration_;
  std::uint64_t lastUse_ = 0;
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
};

// What a call below /v1/blocks/ names.
struct BlockAddress
{
  std::string key_;
  std::uint64_t generation_ = 0;
};

// Returns the committed block of exactly this generation, if there is one.
Block*
FindBlock(Store& aStore, const BlockAddress& aAddress);

// Returns all committed blocks with their payloads, as ReadContents takes them.
nlohmann::json
ContentsOf(const Store& aStore);

// Fills a new store with what ContentsOf gave.
void
ReadContents(Store& aStore, const nlohmann::json& aContents);

// Answers the calls below /v1/blocks/, whose rest of the path is given.
void
HandleBlock(Store& aStore,
            absl::string_view aRest,
            const ExchangePtr& aExchange);

} // namespace lycheeplank::standin

#endif
