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

// Which targets and stores hold which cache blocks. The content is soft state:
// a wrong entry costs time, and everything can be rebuilt from inventories.
namespace lycheeplank::directory {

// Home hosts of each prompt.
inline constexpr std::size_t kHomes = 2;
// Blocks that one host remembers at most.
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

// A block that was seen, or was found missing, at a holder.
struct Sighting
{
  core::BlockKey block_;
  // First block of the prompt, by which the homes are chosen.
  core::BlockKey root_;
  bool present_ = true;
  Tier tier_ = Tier::Memory;
  // Stores only.
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
};

// Names a target or a store.
struct HolderId
{
  std::string name_;
  HolderKind kind_ = HolderKind::Engine;
};

// One holder's copy of one block, in a pool; copies of a block form a list.
struct BlockCopy
{
  std::uint64_t generation_ = 0;
  std::uint32_t next_ = 0;
  std::uint32_t kibibytes_ = 0;
  std::uint16_t holder_ = 0;
  Tier tier_ = Tier::Memory;
};

// Copies in chunks of fixed size, so that growing needs no second copy of the
// whole pool.
struct CopyPool
{
  std::vector<std::vector<BlockCopy>> chunks_;
  std::uint32_t size_ = 0;
};

// Where the list of copies of a block starts, and its prompt.
struct BlockEntry
{
  std::uint32_t firstCopy_ = 0;
  std::uint32_t root_ = 0;
};

// A prompt's first block, counted by the blocks that name it.
struct RootEntry
{
  core::BlockKey key_;
  std::uint32_t blocks_ = 0;
};

struct HolderEntry
{
  HolderId id_;
  std::uint64_t copies_ = 0;
  // Short keys of its blocks; engines only, whose caches are small.
  absl::flat_hash_set<std::uint64_t> engineBlocks_;
  bool inUse_ = false;
};

// The directory of one home host.
struct State
{
  // Keyed by the low half of the block key: a collision costs a wasted look-up
  // at the holder, which compares whole keys.
  absl::flat_hash_map<std::uint64_t, BlockEntry> blocks_;
  CopyPool copies_;
  std::vector<std::uint32_t> freeCopies_;
  std::vector<RootEntry> roots_;
  std::vector<std::uint32_t> freeRoots_;
  absl::flat_hash_map<core::BlockKey, std::uint32_t> rootIndex_;
  std::vector<HolderEntry> holders_;
  absl::flat_hash_map<std::string, std::uint16_t> holderIndex_;
  std::size_t maxBlocks_ = kMaxBlocks;
  // Sightings that were not kept because the directory was full.
  std::uint64_t droppedSightings_ = 0;
};

// A holder of leading blocks of a prompt.
struct Holder
{
  HolderId id_;
  std::uint32_t leadingBlocks_ = 0;
  // True if any of the leading blocks is on disk.
  bool onDisk_ = false;
  // One for each leading block of a store; empty for an engine.
  std::vector<std::uint64_t> generations_;
  // Blocks of the prompt that it holds after the first one that it lacks.
  std::uint32_t blocksAfterGap_ = 0;
};

// Records what was seen at a holder. A block that was missing under a
// generation takes no newer copy away.
void
Apply(State& aState, const HolderId& aHolder, const Sighting& aSighting);

// Replaces all that is known of a holder by what it holds now.
void
ApplyInventory(State& aState,
               const HolderId& aHolder,
               const std::vector<Sighting>& aSightings);

// Forgets all copies of a holder that died or swapped its weights.
void
DropHolder(State& aState, absl::string_view aName);

// Records that a run found the first aCached blocks of its prompt in the
// engine's cache and not the one after them.
void
ApplyRunResult(State& aState,
               const HolderId& aEngine,
               const std::vector<core::BlockKey>& aChain,
               std::size_t aCached);

// Returns how many blocks of a holder this host knows.
std::size_t
CountBlocks(const State& aState, absl::string_view aName);

// Returns what it tells of a store that an import asked it for the blocks
// [aFirst, aFirst + generations) and got only the first aImported.
std::vector<Sighting>
MissingAfterImport(const std::vector<core::BlockKey>& aChain,
                   std::size_t aFirst,
                   const std::vector<std::uint64_t>& aGenerations,
                   std::size_t aImported);

// Finds the holders of the blocks of a prompt, given in order. Holders without
// the first block are left out, unless they are stores with later blocks.
std::vector<Holder>
LocateHolders(const State& aState, const std::vector<core::BlockKey>& aChain);

// Returns an estimate of the memory in use.
std::size_t
MemoryBytes(const State& aState);

// Position in an engine's numbered cache events.
struct EventCursor
{
  std::uint64_t lastSeq_ = 0;
  // Set by a gap; cleared by the inventory that mends it.
  bool needsInventory_ = true;
};

// What the numbers of a batch of events tell.
enum class SequenceResult
{
  Complete,
  // Numbers are missing, or the engine started again: fetch its inventory.
  Gap,
};

// Moves the cursor over events numbered aSeqs, in order, up to aLastSeq.
SequenceResult
Advance(EventCursor& aCursor,
        const std::vector<std::uint64_t>& aSeqs,
        std::uint64_t aLastSeq);

// Moves the cursor to an inventory; events up to aLastSeq are part of it.
void
AdvanceToInventory(EventCursor& aCursor, std::uint64_t aLastSeq);

// Entry hosts, prepared for quick choices of homes.
struct HostSet
{
  std::vector<std::string> names_;
  std::vector<std::uint64_t> seeds_;
};

// Prepares a list of hosts; their order doesn't matter.
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

// Splits what was seen at a holder by the home hosts that have to know. With
// aEveryHost, hosts without a sighting get an empty batch, so that an
// inventory also clears what they know.
std::vector<HomeBatch>
SplitByHome(const std::vector<Sighting>& aSightings,
            const HostSet& aHosts,
            bool aEveryHost = false);

// What a home hands to another host, by holder.
struct HandOver
{
  std::string host_;
  HolderId holder_;
  std::vector<Sighting> sightings_;
};

// What a change of the list of hosts asks of one of them.
struct HomeChange
{
  std::vector<HandOver> handOvers_;
  // Prompts that this host is no longer a home of.
  std::vector<core::BlockKey> forget_;
  // Some prompts may have lost all homes at once: fetch the inventories of the
  // targets and stores that this host follows.
  bool rebuild_ = false;
};

// Works out what aSelf has to do when the hosts change. The first home that
// stays hands over; where none stays, each home that leaves does.
HomeChange
PlanHomeChange(const State& aState,
               absl::string_view aSelf,
               const HostSet& aBefore,
               const HostSet& aAfter);

// Forgets prompts by their first blocks.
void
ForgetPrompts(State& aState, const std::vector<core::BlockKey>& aRoots);

} // namespace lycheeplank::directory

#endif
