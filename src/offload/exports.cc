#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "offload/handlers.h"

namespace lycheeplank::offload::detail {

namespace {

constexpr absl::Duration kExportPollPeriod = absl::Milliseconds(300);
// An export that takes longer counts as failed.
constexpr absl::Duration kExportTimeout = absl::Minutes(2);
// An export whose latest start is nearer than this doesn't wait for a busy
// link.
constexpr absl::Duration kUrgentStartTime = absl::Seconds(1);
constexpr absl::Duration kFirstStorePause = absl::Seconds(5);
constexpr std::uint32_t kMaxPauseDoublings = 6;

// Numbers of ordered or running exports by engine and by store.
struct ActiveExports
{
  absl::flat_hash_map<std::string, std::size_t> byEngine_;
  absl::flat_hash_map<std::string, std::size_t> byStore_;
};

ActiveExports
CountActiveExports(const State& aState)
{
  ActiveExports active;
  for (const auto& [id, item] : aState.exports_) {
    if (item.stage_ != ExportStage::Waiting) {
      ++active.byEngine_[item.target_];
      ++active.byStore_[item.store_];
    }
  }
  return active;
}

bool
IsConfigured(const State& aState, const Export& aExport)
{
  return aState.stores_.contains(aExport.store_) &&
         aState.config_->targets_.contains(aExport.target_) &&
         aState.config_->workspaces_.contains(aExport.workspace_);
}

// Returns whether a store, including active exports, is below the high-water
// mark at which blocks are freed. The new export itself may exceed the mark.
// Otherwise a store that is freed down to the low-water mark would never accept
// a prompt that is longer than the remaining space. The store refuses the
// blocks that don't fit, and the retry exports them.
bool
HasRoom(const State& aState, const Export& aExport)
{
  const auto capacity = CapacityOf(aState.config_->stores_.at(aExport.store_));
  auto used = aState.stores_.at(aExport.store_).usedBytes_;
  for (const auto& [id, item] : aState.exports_) {
    const bool underWay = item.stage_ != ExportStage::Waiting;
    used += underWay && item.store_ == aExport.store_ ? item.bytes_ : 0;
  }
  return retention::BytesToFree(used, capacity) == 0;
}

bool
IsLinkFree(const StepContext& aStep, const Export& aExport)
{
  const auto& store = aStep.state_.stores_.at(aExport.store_);
  const auto& settings = aStep.state_.config_->stores_.at(aExport.store_);
  const auto backlog =
    absl::Seconds(static_cast<double>(store.linkBacklogBytes_) /
                  settings.linkBytesPerSecond_);
  return backlog <= kMaxLinkBacklog ||
         aExport.latestStart_ - aStep.now_ <= kUrgentStartTime;
}

bool
MayStart(const StepContext& aStep,
         const ActiveExports& aActive,
         const Export& aExport)
{
  const auto& store = aStep.state_.stores_.at(aExport.store_);
  const auto activeFor = [](const auto& aCounts, const std::string& aName) {
    const auto found = aCounts.find(aName);
    return found == aCounts.end() ? std::size_t{ 0 } : found->second;
  };
  return IsFresh(aStep.state_, store, aStep.now_) &&
         store.pausedUntil_ <= aStep.now_ &&
         activeFor(aActive.byEngine_, aExport.target_) < kMaxExportsPerEngine &&
         activeFor(aActive.byStore_, aExport.store_) < kMaxExportsPerStore &&
         IsLinkFree(aStep, aExport) && HasRoom(aStep.state_, aExport);
}

// Returns the result with which to drop an export, because it was removed from
// the configuration or can no longer start; nullopt to keep it.
absl::optional<ExportResult>
ReasonToDrop(const StepContext& aStep, const Export& aExport)
{
  if (!IsConfigured(aStep.state_, aExport)) {
    return ExportResult::Removed;
  }
  if (aExport.stage_ != ExportStage::Waiting) {
    return absl::nullopt;
  }
  if (aExport.latestStart_ >= aStep.now_) {
    return absl::nullopt;
  }
  if (aExport.attempts_ > 0) {
    return ExportResult::Failed;
  }
  return HasRoom(aStep.state_, aExport) ? ExportResult::Missed
                                        : ExportResult::NoRoom;
}

void
DropUnstartableExports(StepContext& aStep)
{
  auto& exports = aStep.state_.exports_;
  for (auto item = exports.begin(); item != exports.end();) {
    if (const auto reason = ReasonToDrop(aStep, item->second)) {
      RecordExportEnd(aStep, item->second, *reason);
      item = exports.erase(item);
    } else {
      ++item;
    }
  }
}

// Returns the ids of the waiting exports, the most valuable first.
std::vector<std::uint64_t>
WaitingByValue(const State& aState)
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, item] : aState.exports_) {
    if (item.stage_ == ExportStage::Waiting) {
      ids.push_back(id);
    }
  }
  std::stable_sort(
    ids.begin(), ids.end(), [&](std::uint64_t aLeft, std::uint64_t aRight) {
      return aState.exports_.at(aLeft).valuePerByte_ >
             aState.exports_.at(aRight).valuePerByte_;
    });
  return ids;
}

void
OrderExport(StepContext& aStep, std::uint64_t aId, Export& aExport)
{
  const auto& config = *aStep.state_.config_;
  aExport.stage_ = ExportStage::Ordered;
  aExport.startedAt_ = aStep.now_;
  aExport.pollPending_ = false;
  ++aExport.attempts_;
  aStep.effects_.emplace_back(
    StartExport{ aId,
                 config.targets_.at(aExport.target_).url_,
                 config.stores_.at(aExport.store_).url_,
                 aExport.blocks_ });
}

void
StartWaitingExports(StepContext& aStep)
{
  auto& state = aStep.state_;
  auto active = CountActiveExports(state);
  for (const auto id : WaitingByValue(state)) {
    auto& item = state.exports_.at(id);
    if (MayStart(aStep, active, item)) {
      ++active.byEngine_[item.target_];
      ++active.byStore_[item.store_];
      OrderExport(aStep, id, item);
    }
  }
}

void
PollRunningExports(StepContext& aStep)
{
  for (auto& [id, item] : aStep.state_.exports_) {
    if (item.stage_ != ExportStage::Running || item.pollPending_ ||
        aStep.now_ < item.nextPollAt_) {
      continue;
    }
    item.pollPending_ = true;
    item.nextPollAt_ = aStep.now_ + kExportPollPeriod;
    aStep.effects_.emplace_back(
      PollExport{ id,
                  aStep.state_.config_->targets_.at(item.target_).url_,
                  item.exportName_ });
  }
}

// Queues a failed export for its second attempt, or ends it.
void
RetryOrEnd(StepContext& aStep, std::uint64_t aId, bool aPartial)
{
  auto& exports = aStep.state_.exports_;
  auto& item = exports.at(aId);
  if (item.attempts_ < kMaxAttempts && aStep.now_ <= item.latestStart_) {
    item.stage_ = ExportStage::Waiting;
    return;
  }
  RecordExportEnd(
    aStep, item, aPartial ? ExportResult::Partial : ExportResult::Failed);
  exports.erase(aId);
}

// Records the result of an export to a store. After each failure in a row the
// store is paused for longer.
void
RecordStoreResult(StepContext& aStep, const Export& aExport, bool aSucceeded)
{
  const auto found = aStep.state_.stores_.find(aExport.store_);
  if (found == aStep.state_.stores_.end()) {
    return;
  }
  auto& store = found->second;
  if (aSucceeded) {
    store.failuresInRow_ = 0;
    return;
  }
  const auto doublings = std::min(store.failuresInRow_, kMaxPauseDoublings);
  store.pausedUntil_ = aStep.now_ + kFirstStorePause * (1 << doublings);
  ++store.failuresInRow_;
}

// Frees the blocks that were exported under another weight version than that of
// the run.
void
FreeWrongVersion(StepContext& aStep,
                 const Export& aExport,
                 const std::vector<StoredBlock>& aBlocks)
{
  const auto& config = *aStep.state_.config_;
  const auto store = config.stores_.find(aExport.store_);
  if (store == config.stores_.end()) {
    return;
  }
  for (const auto& block : aBlocks) {
    aStep.effects_.emplace_back(FreeBlock{
      aExport.store_, store->second.url_, block, FreeReason::WrongVersion });
  }
}

// Returns the requested blocks that the store has committed and removes them
// from the blocks to export.
std::vector<StoredBlock>
RemoveCommitted(Export& aExport, const std::vector<StoredBlock>& aBlocks)
{
  absl::flat_hash_set<core::BlockKey> missing(aExport.blocks_.begin(),
                                              aExport.blocks_.end());
  std::vector<StoredBlock> committed;
  for (auto block : aBlocks) {
    if (block.generation_ > 0 && missing.erase(block.key_) > 0) {
      block.root_ = aExport.root_;
      committed.push_back(block);
    }
  }
  const auto bytesEach =
    aExport.blocks_.empty() ? 0 : aExport.bytes_ / aExport.blocks_.size();
  aExport.blocks_.erase(
    std::remove_if(aExport.blocks_.begin(),
                   aExport.blocks_.end(),
                   [&](const auto& aKey) { return !missing.contains(aKey); }),
    aExport.blocks_.end());
  aExport.bytes_ = bytesEach * aExport.blocks_.size();
  return committed;
}

// Records committed blocks in the state and reports them to the directory.
void
ReportCommitted(StepContext& aStep,
                const Export& aExport,
                std::vector<StoredBlock> aCommitted)
{
  std::uint64_t bytes = 0;
  for (const auto& block : aCommitted) {
    RecordHeldBlock(aStep.state_, block, aExport.store_, aStep.now_);
    bytes += block.bytes_;
  }
  if (const auto store = aStep.state_.stores_.find(aExport.store_);
      store != aStep.state_.stores_.end()) {
    store->second.workspaceBytes_[aExport.workspace_] += bytes;
    store->second.usedBytes_ += bytes;
  }
  aStep.effects_.emplace_back(Count{ Counter::ExportedBytes, "", bytes });
  aStep.effects_.emplace_back(
    ReportSightings{ aExport.store_, true, std::move(aCommitted) });
}

void
FinishExport(StepContext& aStep,
             std::uint64_t aId,
             const ExportReported& aReport)
{
  auto& item = aStep.state_.exports_.at(aId);
  if (aReport.weightVersion_ != item.weightVersion_) {
    FreeWrongVersion(aStep, item, aReport.blocks_);
    RecordExportEnd(aStep, item, ExportResult::VersionChanged);
    aStep.state_.exports_.erase(aId);
    return;
  }
  auto committed = RemoveCommitted(item, aReport.blocks_);
  const bool anyCommitted = !committed.empty();
  RecordStoreResult(aStep, item, anyCommitted);
  if (anyCommitted) {
    ReportCommitted(aStep, item, std::move(committed));
  }
  if (item.blocks_.empty()) {
    RecordExportEnd(aStep, item, ExportResult::Done);
    aStep.state_.exports_.erase(aId);
    return;
  }
  RetryOrEnd(aStep, aId, anyCommitted);
}

} // namespace

void
Handle(StepContext& aStep, const ExportStarted& aEvent)
{
  const auto found = aStep.state_.exports_.find(aEvent.id_);
  if (found == aStep.state_.exports_.end() ||
      found->second.stage_ != ExportStage::Ordered) {
    return;
  }
  if (!aEvent.accepted_) {
    RetryOrEnd(aStep, aEvent.id_, false);
    return;
  }
  auto& item = found->second;
  item.stage_ = ExportStage::Running;
  item.exportName_ = aEvent.exportName_;
  item.nextPollAt_ = aStep.now_ + kExportPollPeriod;
}

void
Handle(StepContext& aStep, const ExportReported& aEvent)
{
  const auto found = aStep.state_.exports_.find(aEvent.id_);
  if (found == aStep.state_.exports_.end() ||
      found->second.stage_ != ExportStage::Running ||
      !found->second.pollPending_) {
    return;
  }
  auto& item = found->second;
  item.pollPending_ = false;
  if (aEvent.status_ == ExportStatus::Done ||
      aEvent.status_ == ExportStatus::Failed) {
    FinishExport(aStep, aEvent.id_, aEvent);
  } else if (aEvent.status_ == ExportStatus::Lost ||
             aStep.now_ - item.startedAt_ > kExportTimeout) {
    RetryOrEnd(aStep, aEvent.id_, false);
  }
}

void
AdvanceExports(StepContext& aStep)
{
  DropUnstartableExports(aStep);
  StartWaitingExports(aStep);
  PollRunningExports(aStep);
}

void
CountExportResult(StepContext& aStep, ExportResult aResult)
{
  aStep.effects_.emplace_back(Count{
    Counter::Exports, std::string(core::NameOf(kExportResults, aResult)), 1 });
}

void
RecordExportEnd(StepContext& aStep, const Export& aExport, ExportResult aResult)
{
  CountExportResult(aStep, aResult);
  aStep.effects_.emplace_back(
    Log{ absl::StrCat("event=export_ended result=",
                      core::NameOf(kExportResults, aResult),
                      " workspace=",
                      aExport.workspace_,
                      " target=",
                      aExport.target_,
                      " store=",
                      aExport.store_,
                      " root=",
                      core::ToHex(aExport.root_),
                      " attempts=",
                      aExport.attempts_) });
}

} // namespace lycheeplank::offload::detail
