#ifndef LYCHEEPLANK_TEST_TRACE_FAKES_H
#define LYCHEEPLANK_TEST_TRACE_FAKES_H

#include <deque>
#include <list>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "lycheeplank/retention.h"
#include "workloads.h"

// Fake engine caches and stores with which placement policies are compared.
namespace lycheeplank::trace {

// Identifies a block by its prompt and position; prompts share no blocks.
using BlockId = std::uint64_t;

inline BlockId
MakeBlockId(std::uint32_t aPrompt, std::uint32_t aPosition)
{
  constexpr unsigned kPositionBits = 16;
  return (BlockId{ aPrompt } << kPositionBits) | aPosition;
}

inline std::uint32_t
PromptOf(BlockId aBlock)
{
  constexpr unsigned kPositionBits = 16;
  return static_cast<std::uint32_t>(aBlock >> kPositionBits);
}

inline std::uint32_t
PositionOf(BlockId aBlock)
{
  return static_cast<std::uint32_t>(aBlock & 0xffffU);
}

// A run that was sent to an engine.
struct Run
{
  std::uint32_t arrival_ = 0;
  std::uint32_t host_ = 0;
  std::uint32_t engine_ = 0;
  double readyAt_ = 0.0;
  // Blocks requested from a store: the first one, their number, and how many of
  // them were imported.
  std::uint32_t store_ = 0;
  std::uint32_t firstImport_ = 0;
  std::uint32_t requestedImports_ = 0;
  std::uint32_t imported_ = 0;
  std::uint64_t expectedTokens_ = 0;
};

// An engine that prefills one run at a time, interactive runs first.
struct Engine
{
  std::list<BlockId> recent_;
  absl::flat_hash_map<BlockId, std::list<BlockId>::iterator> cache_;
  absl::flat_hash_map<BlockId, double> usedAt_;
  std::deque<std::uint32_t> interactive_;
  std::deque<std::uint32_t> batch_;
  bool busy_ = false;
  double busyUntil_ = 0.0;
  // Expected tokens of runs that were sent to the engine and have not started.
  std::uint64_t queuedTokens_ = 0;
  std::uint32_t waiting_ = 0;
  // Moving average of the idle time of evicted blocks.
  double evictionAgeSeconds_ = 60.0;
};

struct StoredBlock
{
  std::uint64_t generation_ = 0;
  double usedAt_ = 0.0;
};

// What a transfer on a store's link is for: the import of a run, or the export
// of blocks from an engine.
struct TransferJob
{
  std::uint32_t run_ = 0;
  std::uint32_t engine_ = 0;
  std::vector<BlockId> blocks_;
};

struct Store
{
  absl::flat_hash_map<BlockId, StoredBlock> blocks_;
  std::vector<std::uint64_t> bytesByWorkspace_;
  std::uint64_t nextGeneration_ = 1;
  bool alive_ = true;
  double rate_ = 0.0;
  std::vector<retention::Transfer> waiting_;
  std::vector<TransferJob> jobs_;
  retention::LinkTraffic use_;
  bool busy_ = false;
  retention::Transfer current_;
  TransferJob currentJob_;
  double currentStart_ = 0.0;
  std::uint64_t queuedImportBytes_ = 0;
  std::uint64_t queuedExportBytes_ = 0;
  // Value per byte that new blocks have to exceed.
  double freedValue_ = 0.0;
};

// Marks a block as the most recently used one.
inline void
Touch(Engine& aEngine, BlockId aBlock, double aNow)
{
  if (const auto found = aEngine.cache_.find(aBlock);
      found != aEngine.cache_.end()) {
    aEngine.recent_.erase(found->second);
  }
  aEngine.recent_.push_front(aBlock);
  aEngine.cache_[aBlock] = aEngine.recent_.begin();
  aEngine.usedAt_[aBlock] = aNow;
}

// Evicts and returns the least recently used block.
inline BlockId
EvictLeastRecentlyUsed(Engine& aEngine, double aNow)
{
  constexpr double kNewestWeight = 0.02;
  const BlockId oldest = aEngine.recent_.back();
  aEngine.recent_.pop_back();
  aEngine.cache_.erase(oldest);
  const double idle = aNow - aEngine.usedAt_[oldest];
  aEngine.usedAt_.erase(oldest);
  aEngine.evictionAgeSeconds_ +=
    kNewestWeight * (idle - aEngine.evictionAgeSeconds_);
  return oldest;
}

// Returns how many leading blocks of a prompt an engine has cached.
inline std::uint32_t
LeadingBlocksInEngine(const Engine& aEngine,
                      std::uint32_t aPrompt,
                      std::uint32_t aBlocks)
{
  std::uint32_t leading = 0;
  while (leading < aBlocks &&
         aEngine.cache_.contains(MakeBlockId(aPrompt, leading))) {
    ++leading;
  }
  return leading;
}

} // namespace lycheeplank::trace

#endif
