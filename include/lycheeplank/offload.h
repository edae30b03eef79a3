#ifndef LYCHEEPLANK_OFFLOAD_H
#define LYCHEEPLANK_OFFLOAD_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"
#include "lycheeplank/retention.h"

// Exports cache blocks of finished runs from engines to stores and frees blocks
// in stores that fill up. A reducer handles all events and returns effects as
// data.
namespace lycheeplank::offload {

// Maximum number of prompts whose last run is recorded.
inline constexpr std::size_t kMaxPrompts = 16384;
// Maximum number of waiting and active exports.
inline constexpr std::size_t kMaxExports = 1024;
// Maximum number of leading blocks of a prompt that are considered.
inline constexpr std::size_t kMaxChainBlocks = 4096;
// Maximum number of blocks of a store's inventory that are compared at once.
inline constexpr std::size_t kMaxInventoryBlocks = 65536;
// Maximum number of blocks that are recorded as held by a store.
inline constexpr std::size_t kMaxHeldBlocks = 65536;
inline constexpr std::size_t kMaxWorkspaces = 65536;
inline constexpr std::size_t kMaxExportsPerEngine = 1;
inline constexpr std::size_t kMaxExportsPerStore = 2;
// Maximum number of concurrent calls that free blocks of one store.
inline constexpr std::size_t kMaxFreesPerStore = 16;
// Maximum number of attempts at one export, including the first.
inline constexpr std::uint32_t kMaxAttempts = 2;
// Exports wait for imports while the backlog of a store's link is longer.
inline constexpr absl::Duration kMaxLinkBacklog = absl::Milliseconds(200);

// The number of leading blocks of a prompt that the directory lists for a
// store.
struct StoredPrefix
{
  std::string store_;
  std::uint32_t blocks_ = 0;
};

// A run that has ended.
struct FinishedRun
{
  std::string workspace_;
  std::string model_;
  std::string weightVersion_;
  std::string target_;
  // Keys of all full blocks of the prompt.
  std::vector<core::BlockKey> chain_;
  // Number of leading blocks that were cached or imported.
  std::uint32_t reusedBlocks_ = 0;
  // What stores held when the run was placed; unset if unknown.
  absl::optional<std::vector<StoredPrefix>> storedPrefixes_;
  // Time since the run was placed.
  absl::Duration age_ = absl::ZeroDuration();
};

// A block that a store has committed.
struct StoredBlock
{
  core::BlockKey key_;
  core::BlockKey root_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
};

// Events that the reducer handles.

struct ConfigChanged
{
  config::ConfigPtr config_;
};

// The names of the live hosts, including this one.
struct HostsChanged
{
  std::vector<std::string> hosts_;
};

struct RunFinished
{
  FinishedRun run_;
};

// A store's answer to a load poll.
struct StoreReported
{
  std::string store_;
  // False if the store didn't answer.
  bool reached_ = false;
  std::uint64_t usedBytes_ = 0;
  std::uint64_t linkBacklogBytes_ = 0;
};

// The engine's answer to a request to start an export.
struct ExportStarted
{
  std::uint64_t id_ = 0;
  bool accepted_ = false;
  // The name that the engine has given to the export.
  std::string exportName_;
};

enum class ExportStatus
{
  Running,
  Done,
  Failed,
  // The export is unknown to the engine.
  Lost,
  // The engine didn't answer.
  Unreachable,
};

// The engine's answer to a poll of an export's progress.
struct ExportReported
{
  std::uint64_t id_ = 0;
  ExportStatus status_ = ExportStatus::Unreachable;
  std::string weightVersion_;
  // Blocks that the store has committed.
  std::vector<StoredBlock> blocks_;
};

// One page of a store's inventory.
struct InventoryRead
{
  std::string store_;
  // False if the store didn't answer.
  bool reached_ = false;
  std::vector<StoredBlock> blocks_;
  // True if further pages follow.
  bool more_ = false;
};

enum class FreeReason
{
  Eviction,
  // The block was exported under another weight version than the run's.
  WrongVersion,
};

enum class FreeResult
{
  Freed,
  Pinned,
  Failed,
};

inline constexpr std::array<core::Named<FreeResult>, 3> kFreeResults{ {
  { FreeResult::Freed, "freed" },
  { FreeResult::Pinned, "pinned" },
  { FreeResult::Failed, "failed" },
} };

// The store's answer to a request to free a block.
struct FreeEnded
{
  std::string store_;
  StoredBlock block_;
  FreeReason reason_ = FreeReason::Eviction;
  FreeResult result_ = FreeResult::Failed;
};

// Triggers periodic work.
struct Tick
{};

using EventBody = std::variant<ConfigChanged,
                               HostsChanged,
                               RunFinished,
                               StoreReported,
                               ExportStarted,
                               ExportReported,
                               InventoryRead,
                               FreeEnded,
                               Tick>;

struct Event
{
  absl::Time now_;
  EventBody body_;
};

// Effects that the caller carries out.

struct StartExport
{
  std::uint64_t id_ = 0;
  std::string engineUrl_;
  std::string storeUrl_;
  std::vector<core::BlockKey> blocks_;
};

struct PollExport
{
  std::uint64_t id_ = 0;
  std::string engineUrl_;
  std::string exportName_;
};

struct PollStore
{
  std::string store_;
  std::string url_;
};

// Reports to the directory which blocks a store holds or no longer holds.
struct ReportSightings
{
  std::string store_;
  bool present_ = false;
  std::vector<StoredBlock> blocks_;
};

struct FetchInventory
{
  std::string store_;
  std::string url_;
  // The last key of the previous page; unset for the first page.
  absl::optional<core::BlockKey> after_;
};

struct FreeBlock
{
  std::string store_;
  std::string url_;
  StoredBlock block_;
  FreeReason reason_ = FreeReason::Eviction;
};

// Writes a log line.
struct Log
{
  std::string line_;
};

enum class Counter
{
  Exports,
  ExportedBytes,
  Evictions,
};

inline constexpr std::array<core::Named<Counter>, 3> kCounters{ {
  { Counter::Exports, "exports_total" },
  { Counter::ExportedBytes, "exported_bytes_total" },
  { Counter::Evictions, "evictions_total" },
} };

// Increments a counter.
struct Count
{
  Counter counter_ = Counter::Exports;
  // The value of the label "result"; empty for a counter without labels.
  std::string result_;
  std::uint64_t amount_ = 1;
};

using Effect = std::variant<StartExport,
                            PollExport,
                            PollStore,
                            ReportSightings,
                            FetchInventory,
                            FreeBlock,
                            Log,
                            Count>;

using Effects = std::vector<Effect>;

// How an export ended, as counted in the metrics.
enum class ExportResult
{
  Done,
  // Only some of the blocks were committed.
  Partial,
  Failed,
  // The engine has probably evicted the blocks.
  Missed,
  VersionChanged,
  // The store had no room until the latest start.
  NoRoom,
  // A more valuable export took its place.
  Displaced,
  // The store, target or workspace was removed from the configuration.
  Removed,
};

inline constexpr std::array<core::Named<ExportResult>, 8> kExportResults{ {
  { ExportResult::Done, "done" },
  { ExportResult::Partial, "partial" },
  { ExportResult::Failed, "failed" },
  { ExportResult::Missed, "missed" },
  { ExportResult::VersionChanged, "version_changed" },
  { ExportResult::NoRoom, "no_room" },
  { ExportResult::Displaced, "displaced" },
  { ExportResult::Removed, "removed" },
} };

// The reducer's state.

// A block that this host has exported to a store.
struct HeldBlock
{
  std::string store_;
  StoredBlock block_;
  // Time at which the export was reported.
  absl::Time since_;
};

// A prompt that has run, identified by its first block.
struct Prompt
{
  core::BlockKey root_;
  std::string workspace_;
  std::string model_;
  absl::Time lastRun_;
};

using PromptList = std::list<Prompt>;

enum class ExportStage
{
  Waiting,
  // The engine was requested to export and hasn't answered.
  Ordered,
  Running,
};

// An export from its planning to its end.
struct Export
{
  std::string workspace_;
  std::string weightVersion_;
  std::string target_;
  std::string store_;
  core::BlockKey root_;
  std::uint32_t firstBlock_ = 0;
  std::vector<core::BlockKey> blocks_;
  std::uint64_t bytes_ = 0;
  double valuePerByte_ = 0.0;
  absl::Time latestStart_;
  ExportStage stage_ = ExportStage::Waiting;
  std::uint32_t attempts_ = 0;
  std::string exportName_;
  absl::Time startedAt_;
  absl::Time nextPollAt_ = absl::InfinitePast();
  // A poll of the export's progress has not been answered yet.
  bool pollPending_ = false;
};

// Number of blocks that runs have recently added to an engine's cache, decaying
// over time.
struct Inflow
{
  double blocks_ = 0.0;
  absl::Time decayedAt_ = absl::InfinitePast();
};

enum class EvictionStage
{
  Idle,
  Reading,
  Freeing,
};

// The state of freeing blocks of one store.
struct Eviction
{
  EvictionStage stage_ = EvictionStage::Idle;
  std::uint64_t bytesToFree_ = 0;
  absl::Time startedAt_;
  // The key after which the next inventory read continues.
  absl::optional<core::BlockKey> after_;
  // True if the inventory read started at the first block.
  bool readFromStart_ = false;
  std::vector<StoredBlock> blocks_;
  // Blocks to free, in reverse order: the last element is freed first.
  std::vector<StoredBlock> queue_;
  // Number of free requests without an answer yet.
  std::size_t pendingFrees_ = 0;
  // Freed blocks that have not been reported to the directory yet.
  std::vector<StoredBlock> freed_;
};

struct StoreState
{
  bool reached_ = false;
  absl::Time reportedAt_ = absl::InfinitePast();
  absl::Time nextPollAt_ = absl::InfinitePast();
  std::uint64_t usedBytes_ = 0;
  std::uint64_t linkBacklogBytes_ = 0;
  // Value per byte that new blocks have to exceed while the store is nearly
  // full: the highest value among the blocks that would be freed next.
  double freedValuePerByte_ = 0.0;
  // Time at which freedValuePerByte_ was calculated.
  absl::Time freedValueAt_ = absl::InfinitePast();
  std::uint32_t failuresInRow_ = 0;
  // No exports to the store start before this time.
  absl::Time pausedUntil_ = absl::InfinitePast();
  // Estimated bytes in the store by workspace.
  absl::flat_hash_map<std::string, std::uint64_t> workspaceBytes_;
  Eviction eviction_;
};

// The state of the reducer. It can be moved but not copied, as promptByRoot_
// contains iterators into prompts_.
struct State
{
  State() = default;
  State(State&&) = default;
  State& operator=(State&&) = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  std::string self_;
  config::ConfigPtr config_;
  std::vector<std::string> hosts_;
  // Returns of prompts by workspace.
  absl::flat_hash_map<std::string, retention::ReturnHistogram> returns_;
  // The prompt with the latest run is first.
  PromptList prompts_;
  absl::flat_hash_map<core::BlockKey, PromptList::iterator> promptByRoot_;
  // Blocks that this host has exported, unless they are known to be gone.
  absl::flat_hash_map<core::BlockKey, HeldBlock> held_;
  // Keys of held_, oldest first; keys of dropped blocks may remain.
  std::deque<core::BlockKey> heldOrder_;
  absl::btree_map<std::uint64_t, Export> exports_;
  std::uint64_t lastExportId_ = 0;
  // Recent inflow by engine.
  absl::flat_hash_map<std::string, Inflow> inflows_;
  absl::btree_map<std::string, StoreState> stores_;
};

// Returns the initial state of the host aSelf.
State
Start(absl::string_view aSelf);

// Handles an event and returns the effects to carry out.
Effects
Step(State& aState, const Event& aEvent);

// Returns the expected time until an engine evicts blocks that were used just
// now, based on its cache size and the inflow from this host's runs.
absl::Duration
ExpectedTimeToEviction(const State& aState,
                       const std::string& aTarget,
                       std::uint32_t aBlocks);

// Returns whether this host is the one that frees blocks in a store.
bool
OwnsStore(const State& aState, absl::string_view aStore);

// Returns a workspace's share of a store in bytes. The store is divided among
// the workspaces that use it, in proportion to their configured shares.
std::uint64_t
WorkspaceShareBytes(const State& aState,
                    const std::string& aStore,
                    const std::string& aWorkspace);

// Returns a description of a violated invariant of the state, or an empty
// string.
std::string
BrokenInvariant(const State& aState);

} // namespace lycheeplank::offload

#endif
