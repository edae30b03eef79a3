#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "offload/handlers.h"

namespace lycheeplank::offload::detail {

namespace {

constexpr absl::Duration kAskPeriod = absl::Milliseconds(300);
// An export that takes longer has failed.
constexpr absl::Duration kExportTimeout = absl::Minutes(2);
// An export that has to start within this doesn't wait for a link.
constexpr absl::Duration kUrgent = absl::Seconds(1);
constexpr absl::Duration kFirstPause = absl::Seconds(5);
constexpr std::uint32_t kMaxPauseDoublings = 6;

// Exports under way by engine and by store.
struct Busy
{
  absl::flat_hash_map<std::string, std::size_t> engines_;
  absl::flat_hash_map<std::string, std::size_t> stores_;
};

Busy
CountBusy(const State& aState)
{
  Busy busy;
  for (const auto& [id, item] : aState.exports_) {
    if (item.stage_ != ExportStage::Waiting) {
      ++busy.engines_[item.target_];
      ++busy.stores_[item.store_];
    }
  }
  return busy;
}

bool
IsConfigured(const State& aState, const Export& aExport)
{
  return aState.stores_.contains(aExport.store_) &&
         aState.config_->targets_.contains(aExport.target_) &&
         aState.config_->workspaces_.contains(aExport.workspace_);
}

// Whether a store is below the mark at which blocks are freed, exports under
// way included. An export may go beyond it, or stores that are freed down to
// the low mark would never take a prompt that is longer than what is left; the
// store refuses the blocks that don't fit, and they go with the retry.
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
         aExport.latestStart_ - aStep.now_ <= kUrgent;
}

bool
MayStart(const StepContext& aStep, const Busy& aBusy, const Export& aExport)
{
  const auto& store = aStep.state_.stores_.at(aExport.store_);
  const auto countOf = [](const auto& aCounts, const std::string& aName) {
    const auto found = aCounts.find(aName);
    return found == aCounts.end() ? std::size_t{ 0 } : found->second;
  };
  return IsFresh(aStep.state_, store, aStep.now_) &&
         store.pausedUntil_ <= aStep.now_ &&
         countOf(aBusy.engines_, aExport.target_) < kMaxExportsPerEngine &&
         countOf(aBusy.stores_, aExport.store_) < kMaxExportsPerStore &&
         IsLinkFree(aStep, aExport) && HasRoom(aStep.state_, aExport);
}

// Returns why a waiting export can no longer start.
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
DropLate(StepContext& aStep)
{
  auto& exports = aStep.state_.exports_;
  for (auto item = exports.begin(); item != exports.end();) {
    if (const auto reason = ReasonToDrop(aStep, item->second)) {
      CountExport(aStep, item->second, *reason);
      item = exports.erase(item);
    } else {
      ++item;
    }
  }
}

// Waiting exports, the most valuable first.
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
Order(StepContext& aStep, std::uint64_t aId, Export& aExport)
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
StartWaiting(StepContext& aStep)
{
  auto& state = aStep.state_;
  auto busy = CountBusy(state);
  for (const auto id : WaitingByValue(state)) {
    auto& item = state.exports_.at(id);
    if (MayStart(aStep, busy, item)) {
      ++busy.engines_[item.target_];
      ++busy.stores_[item.store_];
      Order(aStep, id, item);
    }
  }
}

void
PollRunning(StepContext& aStep)
{
  for (auto& [id, item] : aStep.state_.exports_) {
    if (item.stage_ != ExportStage::Running || item.pollPending_ ||
        aStep.now_ < item.nextPollAt_) {
      continue;
    }
    item.pollPending_ = true;
    item.nextPollAt_ = aStep.now_ + kAskPeriod;
    aStep.effects_.emplace_back(
      PollExport{ id,
                  aStep.state_.config_->targets_.at(item.target_).url_,
                  item.exportName_ });
  }
}

// Lets a failed export wait for its second attempt, or ends it.
void
RetryOrEnd(StepContext& aStep, std::uint64_t aId, bool aPartial)
{
  auto& exports = aStep.state_.exports_;
  auto& item = exports.at(aId);
  if (item.attempts_ < kMaxAttempts && aStep.now_ <= item.latestStart_) {
    item.stage_ = ExportStage::Waiting;
    return;
  }
  CountExport(
    aStep, item, aPartial ? ExportResult::Partial : ExportResult::Failed);
  exports.erase(aId);
}

// Pauses exports to a store after failures in a row.
void
NoteStoreResult(StepContext& aStep, const Export& aExport, bool aGood)
{
  const auto found = aStep.state_.stores_.find(aExport.store_);
  if (found == aStep.state_.stores_.end()) {
    return;
  }
  auto& store = found->second;
  if (aGood) {
    store.failuresInRow_ = 0;
    return;
  }
  const auto doublings = std::min(store.failuresInRow_, kMaxPauseDoublings);
  store.pausedUntil_ = aStep.now_ + kFirstPause * (1 << doublings);
  ++store.failuresInRow_;
}

// Frees what an export wrote under another weight version than the run's.
void
FreeForeign(StepContext& aStep,
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

// Returns the committed blocks that the export asked for and takes them off
// the list of blocks to export.
std::vector<StoredBlock>
TakeCommitted(Export& aExport, const std::vector<StoredBlock>& aBlocks)
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

// Tells the directory and the state about committed blocks.
void
Announce(StepContext& aStep,
         const Export& aExport,
         std::vector<StoredBlock> aCommitted)
{
  std::uint64_t bytes = 0;
  for (const auto& block : aCommitted) {
    NoteHeld(aStep.state_, block, aExport.store_, aStep.now_);
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
Settle(StepContext& aStep, std::uint64_t aId, const ExportReported& aReport)
{
  auto& item = aStep.state_.exports_.at(aId);
  if (aReport.weightVersion_ != item.weightVersion_) {
    FreeForeign(aStep, item, aReport.blocks_);
    CountExport(aStep, item, ExportResult::VersionChanged);
    aStep.state_.exports_.erase(aId);
    return;
  }
  auto committed = TakeCommitted(item, aReport.blocks_);
  const bool any = !committed.empty();
  NoteStoreResult(aStep, item, any);
  if (any) {
    Announce(aStep, item, std::move(committed));
  }
  if (item.blocks_.empty()) {
    CountExport(aStep, item, ExportResult::Done);
    aStep.state_.exports_.erase(aId);
    return;
  }
  RetryOrEnd(aStep, aId, any);
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
  item.nextPollAt_ = aStep.now_ + kAskPeriod;
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
    Settle(aStep, aEvent.id_, aEvent);
  } else if (aEvent.status_ == ExportStatus::Lost ||
             aStep.now_ - item.startedAt_ > kExportTimeout) {
    RetryOrEnd(aStep, aEvent.id_, false);
  }
}

void
DriveExports(StepContext& aStep)
{
  DropLate(aStep);
  StartWaiting(aStep);
  PollRunning(aStep);
}

void
CountDropped(StepContext& aStep, ExportResult aResult)
{
  aStep.effects_.emplace_back(Count{
    Counter::Exports, std::string(core::NameOf(kExportResults, aResult)), 1 });
}

void
CountExport(StepContext& aStep, const Export& aExport, ExportResult aResult)
{
  CountDropped(aStep, aResult);
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
