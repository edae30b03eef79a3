#ifndef LYCHEEPLANK_RETENTION_H
#define LYCHEEPLANK_RETENTION_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"

// Which blocks are exported to stores, which are freed there, and in which
// order transfers and batch work are started. All functions are pure.
namespace lycheeplank::retention {

// Bucket i counts gaps from 2^i to 2^(i+1) seconds; the last one reaches to
// 194 days.
inline constexpr std::size_t kReturnBuckets = 24;

// What a workspace's prompts did after a run, with old counts decayed.
struct ReturnHistogram
{
  std::array<float, kReturnBuckets> returned_{};
  // Prompts that were given up before they returned.
  float abandoned_ = 0.0F;
  absl::Time decayedAt_ = absl::InfinitePast();
};

// Counts a prompt that returned aGap after its last run.
void
RecordReturn(ReturnHistogram& aCounts, absl::Duration aGap, absl::Time aNow);

// Counts a prompt that was forgotten without a return.
void
RecordAbandonment(ReturnHistogram& aCounts, absl::Time aNow);

// Returns the chance that a prompt returns between aFrom and aTo after a run.
// Workspaces with few counts follow a prior that is even over the buckets.
double
ReturnProbability(const ReturnHistogram& aCounts,
                  absl::Duration aFrom,
                  absl::Duration aTo);

// Returns the chance of a return within aHorizon from now for a prompt that
// has been idle for aIdle.
double
ReturnProbabilityAfterIdle(const ReturnHistogram& aCounts,
                           absl::Duration aIdle,
                           absl::Duration aHorizon);

// The blocks that a run left in its engine's cache.
struct ExportCandidate
{
  std::uint32_t blocks_ = 0;
  std::uint32_t blockTokens_ = 1;
  std::uint64_t kvBytesPerToken_ = 0;
  config::Objective objective_;
  double prefillTokensPerSecond_ = 1.0;
  // Return behaviour of the workspace.
  ReturnHistogram returns_;
  // Expected time until the engine evicts the blocks.
  absl::Duration timeToEviction_ = absl::ZeroDuration();
  // Stable hash of the prompt's first block; spreads prompts over stores.
  std::uint64_t promptHash_ = 0;
};

// A store that could take the blocks.
struct StoreView
{
  absl::string_view name_;
  // Leading blocks of the prompt that it holds already.
  std::uint32_t heldBlocks_ = 0;
  std::uint64_t capacityBytes_ = 0;
  std::uint64_t usedBytes_ = 0;
  // What the run's workspace uses, and its share.
  std::uint64_t workspaceBytes_ = 0;
  std::uint64_t workspaceShareBytes_ = 0;
  // Expected time until a block that isn't used is freed.
  absl::Duration timeToFree_ = absl::InfiniteDuration();
  double linkBytesPerSecond_ = 1.0;
  // Exports included.
  std::uint64_t queuedBytes_ = 0;
  // Highest value per byte of the blocks that would be freed for new ones, as
  // in EvictionPlan; zero while there is room.
  double freedValuePerByte_ = 0.0;
};

// Blocks to export to a store: [firstBlock_, firstBlock_ + blocks_).
struct ExportPlan
{
  std::string store_;
  std::uint32_t firstBlock_ = 0;
  std::uint32_t blocks_ = 0;
  std::uint64_t bytes_ = 0;
  // Expected saving, in units of the objective, less the cost of the link.
  double valuePerByte_ = 0.0;
  // Time left to start before the engine is expected to evict the blocks.
  absl::Duration startWithin_ = absl::ZeroDuration();
};

// Returns the saving per byte when a block is imported instead of computed.
double
SavingPerByte(const ExportCandidate& aCandidate, double aLinkBytesPerSecond);

// Plans the export after a run, if it can start before the engine evicts the
// blocks. A prompt goes on where most of its blocks are.
absl::optional<ExportPlan>
PlanExport(const ExportCandidate& aCandidate,
           const std::vector<StoreView>& aStores);

// A workspace's use of a store.
struct WorkspaceUsage
{
  ReturnHistogram returns_;
  std::uint64_t usedBytes_ = 0;
  std::uint64_t shareBytes_ = 0;
  // Saving per byte when one of its blocks is imported.
  double savingPerByte_ = 0.0;
};

// A block in a store that could be freed.
struct EvictionCandidate
{
  // Position in the list of workspaces.
  std::uint32_t workspace_ = 0;
  // Position in its prompt.
  std::uint32_t position_ = 0;
  std::uint64_t bytes_ = 0;
  // Time since the last run of its prompt, also if that run didn't import it.
  absl::Duration idle_ = absl::ZeroDuration();
  bool pinned_ = false;
};

// Part of a store at which blocks are freed, and down to which.
inline constexpr double kHighWaterMark = 0.95;
inline constexpr double kLowWaterMark = 0.90;

// Returns the bytes to free; zero below the high-water mark.
std::uint64_t
BytesToFree(std::uint64_t aUsedBytes, std::uint64_t aCapacityBytes);

// Blocks to free.
struct EvictionPlan
{
  // Positions in the list of blocks, in the order of freeing.
  std::vector<std::size_t> blocks_;
  std::uint64_t bytes_ = 0;
  // Of the most valuable block among them.
  double valuePerByte_ = 0.0;
};

// Returns the part of its value that a block keeps when its workspace uses
// aUsedBytes and has a right to aShareBytes: all of it up to the share, less
// in proportion above it.
double
FairShareFactor(std::uint64_t aUsedBytes, std::uint64_t aShareBytes);

// Plans which blocks to free: those with the lowest expected saving per byte
// within aHorizon, where workspaces over their share count less; the end of a
// prompt before its start.
EvictionPlan
PlanEvictions(const std::vector<EvictionCandidate>& aBlocks,
              const std::vector<WorkspaceUsage>& aWorkspaces,
              std::uint64_t aBytesToFree,
              absl::Duration aHorizon);

// Returns each workspace's part of a store, by configured shares.
std::vector<std::uint64_t>
DivideByShares(std::uint64_t aCapacityBytes,
               const std::vector<double>& aShares);

enum class TransferKind
{
  InteractiveImport,
  BatchImport,
  Export,
};

inline constexpr std::array<core::Named<TransferKind>, 3> kTransferKinds{ {
  { TransferKind::InteractiveImport, "interactive_import" },
  { TransferKind::BatchImport, "batch_import" },
  { TransferKind::Export, "export" },
} };

// A transfer that waits for a store's link.
struct Transfer
{
  TransferKind kind_ = TransferKind::InteractiveImport;
  std::uint64_t bytes_ = 0;
  absl::Time queuedAt_;
  // Batch imports: start after this misses the deadline. Exports: the engine
  // may evict the blocks after this.
  absl::Time latestStart_ = absl::InfiniteFuture();
  // Exports only; the most valuable one goes first.
  double valuePerByte_ = 0.0;
};

// Bytes that a link moved lately.
struct LinkTraffic
{
  std::uint64_t importBytes_ = 0;
  std::uint64_t exportBytes_ = 0;
};

// Part of a busy link that exports get even if imports wait.
inline constexpr double kMinExportShare = 0.1;

// Returns the position of the transfer that goes next. Imports for interactive
// work and batch imports past their latest start go first, then exports, then
// other batch imports; exports keep a small share.
absl::optional<std::size_t>
NextTransfer(const std::vector<Transfer>& aWaiting,
             const LinkTraffic& aUse,
             absl::Time aNow);

// Returns the latest time to start work that takes about aEstimate and has to
// end by aDeadline.
absl::Time
LatestStart(absl::Time aDeadline, absl::Duration aEstimate);

// One of several batch runs on a target.
struct BatchRun
{
  absl::Time deadline_;
  absl::Duration estimate_ = absl::ZeroDuration();
};

// Returns when each run has to start at the latest, if they run one after the
// other in order of their deadlines.
std::vector<absl::Time>
LatestStarts(const std::vector<BatchRun>& aRuns);

// Part of a target's slots in use below which batch work may start early.
inline constexpr double kMaxIdleSlotUse = 0.5;

// Whether batch work starts now: on a target that is mostly idle, and in any
// case from its latest start on.
bool
MayStartBatch(absl::Time aLatestStart,
              double aInteractiveUse,
              std::uint32_t aInteractiveWaiting,
              absl::Time aNow);

} // namespace lycheeplank::retention

#endif
