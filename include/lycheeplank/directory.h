#ifndef LYCHEEPLANK_DIRECTORY_H
#define LYCHEEPLANK_DIRECTORY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/string_view.h>

#include "lycheeplank/core.h"

// The directory of the targets and stores that hold cache blocks. Its content
// is soft state: a wrong entry costs time only, and everything can be rebuilt
// from inventories.
namespace lycheeplank::directory {

// Number of home hosts of each prompt, which hold its part of the directory.
inline constexpr std::size_t kHomes = 2;
// Maximum number of blocks in one host's directory.
inline constexpr std::size_t kMaxBlocks = 2'000'000;

enum class HolderKind
{
  Engine,
  Store,
};

enum class Tier
{
  Memory,
  Disk,
};

// A report that a block is present or missing at a holder.
struct Sighting
{
  core::BlockKey block_;
  // First block of the prompt, which determines the homes.
  core::BlockKey root_;
  bool present_ = true;
  Tier tier_ = Tier::Memory;
  // Set for stores only.
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
};

// Identifies a target or a store that holds blocks.
struct HolderId
{
  std::string name_;
  HolderKind kind_ = HolderKind::Engine;
};

// One holder's copy of one block. The copies of a block form a linked list in
// the pool.
struct BlockCopy
{
  std::uint64_t generation_ = 0;
  // Index of the next copy in the list.
  std::uint32_t next_ = 0;
  std::uint32_t kibibytes_ = 0;
  // Index of the holder.
  std::uint16_t holder_ = 0;
  Tier tier_ = Tier::Memory;
};

// A pool of copies in chunks of fixed size, so that it can grow without
// reallocating and moving its whole content.
struct CopyPool
{
  std::vector<std::vector<BlockCopy>> chunks_;
  std::uint32_t size_ = 0;
};

// The start of a block's list of copies, and the index of its prompt's root.
struct BlockEntry
{
  std::uint32_t firstCopy_ = 0;
  std::uint32_t root_ = 0;
};

// A prompt's first block, with the number of blocks that refer to it.
struct RootEntry
{
  core::BlockKey key_;
  std::uint32_t blocks_ = 0;
};

// A target or store with copies, or an unused entry.
struct HolderEntry
{
  HolderId id_;
  // Number of copies.
  std::uint64_t copies_ = 0;
  // Short keys of the holder's blocks. Filled for engines only, whose caches
  // are small.
  absl::flat_hash_set<std::uint64_t> engineBlocks_;
  bool inUse_ = false;
};

// The directory of one home host.
struct State
{
  // Blocks by their short key, the low half of the block key. A collision costs
  // a useless look-up at the holder, which compares whole keys.
  absl::flat_hash_map<std::uint64_t, BlockEntry> blocks_;
  CopyPool copies_;
  // Unused indexes of copies_.
  std::vector<std::uint32_t> freeCopies_;
  std::vector<RootEntry> roots_;
  // Unused indexes of roots_.
  std::vector<std::uint32_t> freeRoots_;
  absl::flat_hash_map<core::BlockKey, std::uint32_t> rootIndex_;
  std::vector<HolderEntry> holders_;
  absl::flat_hash_map<std::string, std::uint16_t> holderIndex_;
  std::size_t maxBlocks_ = kMaxBlocks;
  // Number of sightings dropped because the directory was full.
  std::uint64_t droppedSightings_ = 0;
};

// A holder of leading blocks of a prompt.
struct Holder
{
  HolderId id_;
  std::uint32_t leadingBlocks_ = 0;
  // True if any of the leading blocks is on disk.
  bool onDisk_ = false;
  // Generation of each leading block in a store; empty for an engine.
  std::vector<std::uint64_t> generations_;
  // Number of blocks of the prompt that it holds after the first missing one.
  std::uint32_t blocksAfterGap_ = 0;
};

// Records a sighting. A report that a generation of a block is missing doesn't
// remove a copy of a newer generation.
void
Apply(State& aState, const HolderId& aHolder, const Sighting& aSighting);

// Replaces all copies of a holder by its inventory.
void
ApplyInventory(State& aState,
               const HolderId& aHolder,
               const std::vector<Sighting>& aSightings);

// Removes a holder that died or swapped its weights, with all its copies.
void
DropHolder(State& aState, absl::string_view aName);

// Records that a run found the first aCached blocks of its prompt in the
// engine's cache and none of the blocks after them.
void
ApplyRunResult(State& aState,
               const HolderId& aEngine,
               const std::vector<core::BlockKey>& aChain,
               std::size_t aCached);

// Returns how many blocks of a holder are in this host's directory.
std::size_t
CountBlocks(const State& aState, absl::string_view aName);

// Returns the sightings of missing blocks after an import requested the blocks
// [aFirst, aFirst + number of generations) from a store and received only the
// first aImported of them.
std::vector<Sighting>
MissingAfterImport(const std::vector<core::BlockKey>& aChain,
                   std::size_t aFirst,
                   const std::vector<std::uint64_t>& aGenerations,
                   std::size_t aImported);

// Finds the holders of a prompt's blocks, which are given in order. Engines
// without the first block are omitted; stores with only later blocks are not.
std::vector<Holder>
LocateHolders(const State& aState, const std::vector<core::BlockKey>& aChain);

// Returns an estimate of the memory in use.
std::size_t
MemoryBytes(const State& aState);

// Position in an engine's numbered cache events.
struct EventCursor
{
  std::uint64_t lastSeq_ = 0;
  // Set by a gap in the numbers; cleared by the next inventory.
  bool needsInventory_ = true;
};

// Whether the numbers of a batch of events are complete.
enum class SequenceResult
{
  Complete,
  // Numbers are missing or the engine has restarted; its inventory has to be
  // fetched.
  Gap,
};

// Advances the cursor over events with the ascending numbers aSeqs. aLastSeq is
// the last number that the engine has assigned.
SequenceResult
Advance(EventCursor& aCursor,
        const std::vector<std::uint64_t>& aSeqs,
        std::uint64_t aLastSeq);

// Advances the cursor to an inventory that includes all events up to aLastSeq.
void
AdvanceToInventory(EventCursor& aCursor, std::uint64_t aLastSeq);

// Entry hosts with precomputed hash seeds for the fast choice of homes.
struct HostSet
{
  std::vector<std::string> names_;
  std::vector<std::uint64_t> seeds_;
};

// Makes a host set; the order of the names doesn't matter.
HostSet
MakeHostSet(std::vector<std::string> aNames);

// Returns the home hosts of a prompt, best first.
std::vector<std::string>
Homes(const core::BlockKey& aRoot, const HostSet& aHosts);

// Sightings for one home host.
struct HomeBatch
{
  std::string host_;
  std::vector<Sighting> sightings_;
};

// Splits the sightings of a holder by the home hosts that have to receive them.
// With aEveryHost, hosts without sightings get an empty batch, so that an
// inventory also clears their outdated entries.
std::vector<HomeBatch>
SplitByHome(const std::vector<Sighting>& aSightings,
            const HostSet& aHosts,
            bool aEveryHost = false);

// The sightings of one holder that a home hands over to another host.
struct HandOver
{
  std::string host_;
  HolderId holder_;
  std::vector<Sighting> sightings_;
};

// What one host has to do after a change of the list of hosts.
struct HomeChange
{
  std::vector<HandOver> handOvers_;
  // First blocks of prompts for which this host is no longer a home.
  std::vector<core::BlockKey> forget_;
  // True if some prompts may have lost all homes at once, so that the
  // inventories of the targets and stores that this host follows have to be
  // fetched.
  bool rebuild_ = false;
};

// Plans what aSelf has to do after a change of hosts. The best old home that is
// still a host hands over a prompt; if there is none, each leaving home does.
HomeChange
PlanHomeChange(const State& aState,
               absl::string_view aSelf,
               const HostSet& aBefore,
               const HostSet& aAfter);

// Removes the copies of all blocks of the given prompts.
void
ForgetPrompts(State& aState, const std::vector<core::BlockKey>& aRoots);

} // namespace lycheeplank::directory

#endif
