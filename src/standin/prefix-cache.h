#ifndef LYCHEEPLANK_STANDIN_PREFIX_CACHE_H
#define LYCHEEPLANK_STANDIN_PREFIX_CACHE_H

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

namespace lycheeplank::standin {

enum class CacheEventKind
{
  Stored,
  Removed,
};

inline constexpr std::array<core::Named<CacheEventKind>, 2> kCacheEventKinds{ {
  { CacheEventKind::Stored, "stored" },
  { CacheEventKind::Removed, "removed" },
} };

// A change of the cache contents. `seq_` grows by one with each change.
struct CacheEvent
{
  std::uint64_t seq_ = 0;
  CacheEventKind kind_ = CacheEventKind::Stored;
  core::BlockKey block_;
  // The first block of the prompt.
  core::BlockKey root_;
  absl::Time time_;
};

// A cached block and its origin.
struct CachedBlock
{
  core::BlockKey root_;
  core::CacheScope scope_;
  // Its generation in the store it was imported from; 0 if computed here.
  std::uint64_t generation_ = 0;
  // The sequence number of its last use.
  std::uint64_t lastUse_ = 0;
  // The number of runs and exports that use it now.
  std::uint32_t users_ = 0;
};

// A cache of limited size that evicts the least recently used block.
struct PrefixCache
{
  std::uint32_t capacity_ = 0;
  absl::flat_hash_map<core::BlockKey, CachedBlock> blocks_;
  absl::btree_map<std::uint64_t, core::BlockKey> byLastUse_;
  std::uint64_t lastUse_ = 0;
  std::deque<CacheEvent> events_;
  std::uint64_t lastSeq_ = 0;
  // Every n-th event takes a sequence number but is dropped; 0 drops none.
  std::uint32_t gapsEvery_ = 0;
};

// Returns the length of the cached prefix of a chain, in blocks.
std::size_t
CountCachedPrefix(const PrefixCache& aCache,
                  const std::vector<core::BlockKey>& aChain);

// Protects blocks from eviction until Release.
void
Retain(PrefixCache& aCache, const std::vector<core::BlockKey>& aBlocks);

// Ends the protection by Retain and marks the blocks as just used. The first
// block is marked last, so that the end of a prompt is evicted before its
// beginning.
void
Release(PrefixCache& aCache, const std::vector<core::BlockKey>& aBlocks);

// Adds a block and evicts others if the cache is full. Returns false if the
// block is already cached or all blocks are in use.
bool
Insert(PrefixCache& aCache,
       const core::BlockKey& aKey,
       const CachedBlock& aBlock);

// Removes all blocks, also those in use.
void
Clear(PrefixCache& aCache);

} // namespace lycheeplank::standin

#endif
