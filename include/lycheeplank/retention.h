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

// Decides which cache blocks are worth exporting to stores, which ones are
// freed there, and in which order transfers and batch work start. All functions
// are pure.
namespace lycheeplank::retention {

// Bucket i counts returns after 2^i to 2^(i+1) seconds; the last bucket ends at
// 194 days.
inline constexpr std::size_t kReturnBuckets = 24;

// Histogram of the times after which a workspace's prompts ran again. Old
// counts decay.
struct ReturnHistogram
{
  std::array<float, kReturnBuckets> returned_{};
  // Prompts that counted as abandoned before they returned.
  float abandoned_ = 0.0F;
  absl::Time decayedAt_ = absl::InfinitePast();
};

// Counts a prompt that ran again aGap after its last run.
void
RecordReturn(ReturnHistogram& aCounts, absl::Duration aGap, absl::Time aNow);

// Counts a prompt that was dropped because it didn't return.
void
RecordAbandonment(ReturnHistogram& aCounts, absl::Time aNow);

// Returns the probability that a prompt returns between aFrom and aTo after a
// run. For workspaces with few counts a prior dominates that is uniform over
// the buckets.
double
ReturnProbability(const ReturnHistogram& aCounts,
                  absl::Duration aFrom,
                  absl::Duration aTo);

// Returns the probability that a prompt that has been idle for aIdle returns
// within aHorizon from now.
double
ReturnProbabilityAfterIdle(const ReturnHistogram& aCounts,
                           absl::Duration aIdle,
                           absl::Duration aHorizon);

// The blocks of a finished run in its engine's cache, which could be exported.
struct ExportCandidate
{
  std::uint32_t blocks_ = 0;
  std::uint32_t blockTokens_ = 1;
  std::uint64_t kvBytesPerToken_ = 0;
  config::Objective objective_;
  double prefillTokensPerSecond_ = 1.0;
  // Returns of the workspace's prompts.
  ReturnHistogram returns_;
  // Expected time from now until the engine evicts the blocks.
  absl::Duration timeToEviction_ = absl::ZeroDuration();
  // Stable hash of the prompt's first block, which spreads prompts over stores.
  std::uint64_t promptHash_ = 0;
};

// A store to which the blocks could be exported.
struct StoreView
{
  absl::string_view name_;
  // Number of leading blocks of the prompt that the store already holds.
  std::uint32_t heldBlocks_ = 0;
  std::uint64_t capacityBytes_ = 0;
  std::uint64_t usedBytes_ = 0;
  // Bytes that the run's workspace uses, and its share of the store.
  std::uint64_t workspaceBytes_ = 0;
  std::uint64_t workspaceShareBytes_ = 0;
  // Expected time until the store frees an unused block.
  absl::Duration timeToFree_ = absl::InfiniteDuration();
  double linkBytesPerSecond_ = 1.0;
  // Bytes queued on the link, exports included.
  std::uint64_t queuedBytes_ = 0;
  // Highest value per byte among the blocks that would be freed to make room,
  // as in EvictionPlan; zero while the store has room.
  double freedValuePerByte_ = 0.0;
};

// An export of the blocks [firstBlock_, firstBlock_ + blocks_) to a store.
struct ExportPlan
{
  std::string store_;
  std::uint32_t firstBlock_ = 0;
  std::uint32_t blocks_ = 0;
  std::uint64_t bytes_ = 0;
  // Expected saving per byte in units of the objective, less the cost of the
  // link.
  double valuePerByte_ = 0.0;
  // Time within which the export has to start to end before the engine is
  // expected to evict the blocks.
  absl::Duration startWithin_ = absl::ZeroDuration();
};

// Returns the saving, in units of the objective, for each byte that is imported
// instead of computed.
double
SavingPerByte(const ExportCandidate& aCandidate, double aLinkBytesPerSecond);

// Plans the export after a run. Prefers the store that holds most leading
// blocks of the prompt. Returns nullopt if no export is worthwhile or none can
// end before the engine evicts the blocks.
absl::optional<ExportPlan>
PlanExport(const ExportCandidate& aCandidate,
           const std::vector<StoreView>& aStores);

// A workspace's use of a store.
struct WorkspaceUsage
{
  ReturnHistogram returns_;
  std::uint64_t usedBytes_ = 0;
  std::uint64_t shareBytes_ = 0;
  // Saving for each imported byte, as returned by SavingPerByte.
  double savingPerByte_ = 0.0;
};

// A block in a store that could be freed to make room.
struct EvictionCandidate
{
  // Index in the list of workspaces.
  std::uint32_t workspace_ = 0;
  // Position in the prompt, from 0 on.
  std::uint32_t position_ = 0;
  std::uint64_t bytes_ = 0;
  // Time since the last run of its prompt, whether or not that run imported the
  // block.
  absl::Duration idle_ = absl::ZeroDuration();
  bool pinned_ = false;
};

// Blocks are freed when the used part of a store reaches the high-water mark,
// until it is down to the low-water mark.
inline constexpr double kHighWaterMark = 0.95;
inline constexpr double kLowWaterMark = 0.90;

// Returns the bytes to free; zero below the high-water mark.
std::uint64_t
BytesToFree(std::uint64_t aUsedBytes, std::uint64_t aCapacityBytes);

// The blocks to free in a store.
struct EvictionPlan
{
  // Indexes in the list of blocks, in the order in which to free them.
  std::vector<std::size_t> blocks_;
  std::uint64_t bytes_ = 0;
  // Value per byte of the most valuable block among them.
  double valuePerByte_ = 0.0;
};

// Returns the factor by which a block's value is reduced if its workspace uses
// more than its share: 1 up to the share, then the share divided by the usage.
double
FairShareFactor(std::uint64_t aUsedBytes, std::uint64_t aShareBytes);

// Plans which blocks to free: those with the lowest expected saving per byte
// within aHorizon. The saving of workspaces over their share is reduced by
// FairShareFactor. Later blocks of a prompt are freed before earlier ones.
EvictionPlan
PlanEvictions(const std::vector<EvictionCandidate>& aBlocks,
              const std::vector<WorkspaceUsage>& aWorkspaces,
              std::uint64_t aBytesToFree,
              absl::Duration aHorizon);

// Divides a store's bytes among workspaces in proportion to their configured
// shares.
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

// A transfer that waits for its turn on a store's link.
struct Transfer
{
  TransferKind kind_ = TransferKind::InteractiveImport;
  std::uint64_t bytes_ = 0;
  absl::Time queuedAt_;
  // Batch imports that start later miss the deadline. Exports that start later
  // may find the blocks evicted from the engine.
  absl::Time latestStart_ = absl::InfiniteFuture();
  // Used for exports only: the most valuable one goes first.
  double valuePerByte_ = 0.0;
};

// Bytes that a link has recently transferred.
struct LinkTraffic
{
  std::uint64_t importBytes_ = 0;
  std::uint64_t exportBytes_ = 0;
};

// Minimum part of a busy link's transfers reserved for exports, even while
// imports wait.
inline constexpr double kMinExportShare = 0.1;

// Returns the index of the transfer to start next, or nullopt if none waits.
// Interactive imports and batch imports past their latest start go first, then
// exports, then other batch imports. Exports go before all others while they
// have had less than kMinExportShare.
absl::optional<std::size_t>
NextTransfer(const std::vector<Transfer>& aWaiting,
             const LinkTraffic& aUse,
             absl::Time aNow);

// Returns the latest time at which to start work that takes about aEstimate and
// has to end by aDeadline, with a margin for longer work.
absl::Time
LatestStart(absl::Time aDeadline, absl::Duration aEstimate);

// A batch run among several on the same target.
struct BatchRun
{
  absl::Time deadline_;
  absl::Duration estimate_ = absl::ZeroDuration();
};

// Returns the latest start of each run if the runs take place one after the
// other in the order of their deadlines.
std::vector<absl::Time>
LatestStarts(const std::vector<BatchRun>& aRuns);

// Batch work may start early while a smaller part of the target's slots is in
// use.
inline constexpr double kMaxIdleSlotUse = 0.5;

// Returns whether batch work may start now: on a target that is mostly idle, or
// on any target once its latest start has come.
bool
MayStartBatch(absl::Time aLatestStart,
              double aInteractiveUse,
              std::uint32_t aInteractiveWaiting,
              absl::Time aNow);

} // namespace lycheeplank::retention

#endif
