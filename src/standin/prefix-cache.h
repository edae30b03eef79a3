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

struct CacheEvent
{
  std::uint64_t seq_ = 0;
  CacheEventKind kind_ = CacheEventKind::Stored;
  core::BlockKey block_;
  // First block of the prompt.
  core::BlockKey root_;
  absl::Time time_;
};

// One block in the cache and where it comes from.
struct CachedBlock
{
  core::BlockKey root_;
  core::CacheScope scope_;
  // Generation in the store from which it was imported; 0 if computed here.
  std::uint64_t generation_ = 0;
  std::uint64_t lastUse_ = 0;
  // Runs and exports that use it now.
  std::uint32_t users_ = 0;
};

// A cache of limited size that evicts the block used least recently.
struct PrefixCache
{
  std::uint32_t capacity_ = 0;
  absl::flat_hash_map<core::BlockKey, CachedBlock> blocks_;
  absl::btree_map<std::uint64_t, core::BlockKey> byLastUse_;
  std::uint64_t lastUse_ = 0;
  std::deque<CacheEvent> events_;
  std::uint64_t lastSeq_ = 0;
  // Every n-th event gets a number but is dropped; 0: none.
  std::uint32_t gapsEvery_ = 0;
};

// Returns how many blocks of the chain are cached, from the first one on.
std::size_t
CountCachedPrefix(const PrefixCache& aCache,
                  const std::vector<core::BlockKey>& aChain);

// Protects blocks from eviction.
void
Retain(PrefixCache& aCache, const std::vector<core::BlockKey>& aBlocks);

// Ends what Retain began and marks the blocks as used just now, the first one
// last, so that the end of a prompt is evicted before its beginning.
void
Release(PrefixCache& aCache, const std::vector<core::BlockKey>& aBlocks);

// Adds a block; false if it is cached already or all others are in use.
bool
Insert(PrefixCache& aCache,
       const core::BlockKey& aKey,
       const CachedBlock& aBlock);

// Removes all blocks.
void
Clear(PrefixCache& aCache);

} // namespace lycheeplank::standin

#endif
