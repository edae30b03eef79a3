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

// Exports blocks of finished runs from engines to stores and frees blocks in
// stores that fill up. One reducer over all events; effects are data.
namespace lycheeplank::offload {

// Prompts whose last run is remembered.
inline constexpr std::size_t kMaxPrompts = 16384;
// Exports that wait or run.
inline constexpr std::size_t kMaxExports = 1024;
// Blocks of one prompt that are considered.
inline constexpr std::size_t kMaxChainBlocks = 4096;
// Blocks of a store's inventory that are compared at once.
inline constexpr std::size_t kMaxInventoryBlocks = 65536;
// Blocks that are remembered as held by a store.
inline constexpr std::size_t kMaxHeldBlocks = 65536;
inline constexpr std::size_t kMaxWorkspaces = 65536;
inline constexpr std::size_t kMaxExportsPerEngine = 1;
inline constexpr std::size_t kMaxExportsPerStore = 2;
// Calls under way that free blocks of one store.
inline constexpr std::size_t kMaxFreesPerStore = 16;
// Attempts at one export, the first included.
inline constexpr std::uint32_t kMaxAttempts = 2;
// A longer backlog of a store's link makes exports wait for imports.
inline constexpr absl::Duration kMaxLinkBacklog = absl::Milliseconds(200);

// Leading blocks of a prompt that a store holds, as the directory says.
struct StoredPrefix
{
  std::string store_;
  std::uint32_t blocks_ = 0;
};

// A run that has ended, with all full blocks of its prompt.
struct FinishedRun
{
  std::string workspace_;
  std::string model_;
  std::string weightVersion_;
  std::string target_;
  std::vector<core::BlockKey> chain_;
  // Leading blocks that were cached or imported.
  std::uint32_t reusedBlocks_ = 0;
  // What stores held when the run was placed; nothing if that isn't known.
  absl::optional<std::vector<StoredPrefix>> storedPrefixes_;
  // Time since it was placed.
  absl::Duration age_ = absl::ZeroDuration();
};

// A committed block of a store.
struct StoredBlock
{
  core::BlockKey key_;
  core::BlockKey root_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
};

// Events.

struct ConfigChanged
{
  config::ConfigPtr config_;
};

// Names of the live hosts, this one included.
struct HostsChanged
{
  std::vector<std::string> hosts_;
};

struct RunFinished
{
  FinishedRun run_;
};

struct StoreReported
{
  std::string store_;
  bool reached_ = false;
  std::uint64_t usedBytes_ = 0;
  std::uint64_t linkBacklogBytes_ = 0;
};

// The engine's answer to the order to export.
struct ExportStarted
{
  std::uint64_t id_ = 0;
  bool accepted_ = false;
  // The engine's own name for the export.
  std::string exportName_;
};

enum class ExportStatus
{
  Running,
  Done,
  Failed,
  // The engine doesn't know the export.
  Lost,
  // The engine gave no answer.
  Unreachable,
};

// The engine's answer to the question how far an export is.
struct ExportReported
{
  std::uint64_t id_ = 0;
  ExportStatus status_ = ExportStatus::Unreachable;
  std::string weightVersion_;
  // Blocks that the store has committed.
  std::vector<StoredBlock> blocks_;
};

struct InventoryRead
{
  std::string store_;
  bool reached_ = false;
  std::vector<StoredBlock> blocks_;
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

struct FreeEnded
{
  std::string store_;
  StoredBlock block_;
  FreeReason reason_ = FreeReason::Eviction;
  FreeResult result_ = FreeResult::Failed;
};

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

// Effects.

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

// Tells the directory which blocks a store holds or no longer holds.
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
  // The last key of the page before; nothing for the first page.
  absl::optional<core::BlockKey> after_;
};

struct FreeBlock
{
  std::string store_;
  std::string url_;
  StoredBlock block_;
  FreeReason reason_ = FreeReason::Eviction;
};

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

struct Count
{
  Counter counter_ = Counter::Exports;
  // Value of the label "result"; empty for a counter without labels.
  std::string result_;
  std::uint64_t by_ = 1;
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

// How an export ended, as counted.
enum class ExportResult
{
  Done,
  // Some blocks were committed, others not.
  Partial,
  Failed,
  // The engine has probably evicted the blocks.
  Missed,
  VersionChanged,
  // The store had no room until then.
  NoRoom,
  // A more valuable export took its place.
  Displaced,
  // The store or the target left the configuration.
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

// State.

// A block that was exported to a store.
struct HeldBlock
{
  std::string store_;
  StoredBlock block_;
  absl::Time since_;
};

// A prompt that ran, known by its first block.
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
  // Ordered; the engine hasn't answered.
  Ordered,
  Running,
};

// One export from plan to end.
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
  // A question about its state is not yet answered.
  bool pollPending_ = false;
};

// Blocks that runs have added to an engine's cache lately.
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

// Freeing blocks of one store.
struct Eviction
{
  EvictionStage stage_ = EvictionStage::Idle;
  std::uint64_t bytesToFree_ = 0;
  absl::Time startedAt_;
  // Where the next reading goes on.
  absl::optional<core::BlockKey> after_;
  // The reading has begun at the first block.
  bool fromStart_ = false;
  std::vector<StoredBlock> blocks_;
  // Blocks to free, the last one first.
  std::vector<StoredBlock> queue_;
  std::size_t pendingFrees_ = 0;
  std::vector<StoredBlock> freed_;
};

struct StoreState
{
  bool reached_ = false;
  absl::Time reportedAt_ = absl::InfinitePast();
  absl::Time nextPollAt_ = absl::InfinitePast();
  std::uint64_t usedBytes_ = 0;
  std::uint64_t linkBacklogBytes_ = 0;
  // Value per byte that blocks have to exceed while the store is nearly full:
  // the highest one among the blocks that would be freed next.
  double freedValuePerByte_ = 0.0;
  absl::Time freedValueAt_ = absl::InfinitePast();
  std::uint32_t failuresInRow_ = 0;
  absl::Time pausedUntil_ = absl::InfinitePast();
  // What workspaces use, as far as this host knows.
  absl::flat_hash_map<std::string, std::uint64_t> workspaceBytes_;
  Eviction eviction_;
};

// Moved only: the table of prompts refers into the list.
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
  absl::flat_hash_map<std::string, retention::ReturnHistogram> returns_;
  // The prompt with the latest run is first.
  PromptList prompts_;
  absl::flat_hash_map<core::BlockKey, PromptList::iterator> promptByRoot_;
  absl::flat_hash_map<core::BlockKey, HeldBlock> held_;
  // Keys of held_, the oldest first.
  std::deque<core::BlockKey> heldOrder_;
  absl::btree_map<std::uint64_t, Export> exports_;
  std::uint64_t lastExportId_ = 0;
  absl::flat_hash_map<std::string, Inflow> inflows_;
  absl::btree_map<std::string, StoreState> stores_;
};

// Returns the state of a host that knows nothing yet.
State
Start(absl::string_view aSelf);

// Takes in one event and returns what has to be done.
Effects
Step(State& aState, const Event& aEvent);

// Returns the expected time until an engine evicts blocks that were used just
// now, given its cache and the inflow that this host has seen.
absl::Duration
ExpectedTimeToEviction(const State& aState,
                       const std::string& aTarget,
                       std::uint32_t aBlocks);

// Whether this host frees blocks in a store.
bool
OwnsStore(const State& aState, absl::string_view aStore);

// Returns the bytes of a store that a workspace has a right to, divided among
// the workspaces that use it.
std::uint64_t
WorkspaceShareBytes(const State& aState,
                    const std::string& aStore,
                    const std::string& aWorkspace);

// Returns what is wrong with the state, or an empty string.
std::string
BrokenInvariant(const State& aState);

} // namespace lycheeplank::offload

#endif
