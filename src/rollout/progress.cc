#include "rollout/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

namespace lycheeplank::rollout {

namespace {

using platform::Outcome;

void
SendListCommand(State& aState, absl::Time aNow, Effects& aEffects)
{
  platform::Command command;
  command.operation_ = platform::Operation::List;
  command.key_ = std::string(kRecordPrefix);
  command.value_ = aState.listAfter_;
  aState.listPending_ = true;
  SendCommand(
    aState, std::move(command), { Purpose::ListRecords }, aNow, aEffects);
}

void
SendReadCommand(State& aState,
                const std::string& aModel,
                absl::Time aNow,
                Effects& aEffects)
{
  if (!aState.pendingRecordReads_.insert(aModel).second) {
    return;
  }
  platform::Command command;
  command.key_ = RecordKey(aModel);
  SendCommand(aState,
              std::move(command),
              { Purpose::ReadRecord, 0, aModel },
              aNow,
              aEffects);
}

bool
OwnsAnyPartition(const State& aState)
{
  return std::any_of(aState.partitions_.begin(),
                     aState.partitions_.end(),
                     [](const Partition& aPartition) {
                       return aPartition.phase_ == Phase::Owned;
                     });
}

// Stops the rollouts whose records are no longer listed.
void
StopUnlistedRollouts(State& aState)
{
  for (auto& [model, rollout] : aState.models_) {
    if (aState.listedModels_.count(model) == 0 && rollout.recordVersion_ > 0) {
      rollout.record_.state_ = RolloutState::Stopped;
      rollout.recordVersion_ = 0;
    }
  }
}

// Reads the listed records of owned models that are new or have changed.
void
HandleListReply(State& aState,
                const platform::Reply& aReply,
                absl::Time aNow,
                Effects& aEffects)
{
  aState.listPending_ = false;
  if (aReply.outcome_ != Outcome::Ok) {
    return;
  }
  for (const auto& entry : aReply.entries_) {
    const std::string model(absl::StripPrefix(entry.key_, kRecordPrefix));
    aState.listAfter_ = entry.key_;
    aState.listedModels_.insert(model);
    if (!IsOwned(aState, model)) {
      continue;
    }
    const auto found = aState.models_.find(model);
    const bool known = found != aState.models_.end();
    if (!known || (found->second.recordVersion_ != entry.version_ &&
                   !found->second.writePending_)) {
      SendReadCommand(aState, model, aNow, aEffects);
    }
  }
  if (aReply.more_) {
    aState.nextList_ = aNow;
    return;
  }
  StopUnlistedRollouts(aState);
  aState.listedModels_.clear();
  aState.listAfter_.clear();
}

// Replaces a model's record by a newer one that was read, for instance one that
// an operator has written.
void
HandleReadRecord(State& aState,
                 const std::string& aModel,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects)
{
  auto record = ParseRecord(aReply.value_);
  if (!record || !IsOwned(aState, aModel)) {
    return;
  }
  auto& rollout = aState.models_[aModel];
  if (aReply.version_ <= rollout.recordVersion_) {
    return;
  }
  aEffects.push_back(
    Log{ absl::StrCat("event=rollout_record model=",
                      aModel,
                      " version=",
                      record->version_,
                      " state=",
                      core::NameOf(kRolloutStates, record->state_)) });
  const bool changed = record->version_ != rollout.record_.version_ ||
                       record->state_ != rollout.record_.state_;
  if (changed) {
    rollout.failure_.clear();
  }
  for (auto& [name, target] : rollout.targets_) {
    target.orderAttempts_ = changed ? 0 : target.orderAttempts_;
    target.nextRead_ = aNow;
  }
  rollout.record_ = std::move(*record);
  rollout.recordVersion_ = aReply.version_;
}

// Stores the written record, or reads the record if the write has failed.
void
HandleWriteReply(State& aState,
                 const PendingCommand& aCommand,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects)
{
  const auto found = aState.models_.find(aCommand.model_);
  if (found == aState.models_.end()) {
    return;
  }
  auto& rollout = found->second;
  rollout.writePending_ = false;
  if (aReply.outcome_ == Outcome::Ok) {
    rollout.record_ = *ParseRecord(aCommand.value_);
    rollout.recordVersion_ = aReply.version_;
    return;
  }
  SendReadCommand(aState, aCommand.model_, aNow, aEffects);
}

// Progress of a rollout according to the last reads of the targets.
struct Progress
{
  std::uint32_t doneTargets_ = 0;
  std::uint32_t totalTargets_ = 0;
  // Whether all targets have been read and none has a slot or a pending order.
  bool allSettled_ = true;
  // Names the first target that can't be reached; empty if there is none.
  std::string waitReason_;
};

Progress
ProgressOf(const State& aState,
           const std::string& aModel,
           const ModelRollout& aRollout)
{
  Progress progress;
  for (const auto& name : TargetsOf(aState, aModel)) {
    ++progress.totalTargets_;
    const auto found = aRollout.targets_.find(name);
    const bool known =
      found != aRollout.targets_.end() && found->second.hasBeenRead_;
    if (!known) {
      progress.allSettled_ = false;
      continue;
    }
    const auto& target = found->second;
    progress.allSettled_ &= !target.hasSlot_ && !target.orderPending_;
    if (target.reachable_ && !target.loading_ &&
        target.version_ == aRollout.record_.version_) {
      ++progress.doneTargets_;
    } else if (!target.reachable_ && progress.waitReason_.empty()) {
      progress.waitReason_ = absl::StrCat("target ", name, " can't be reached");
    }
  }
  return progress;
}

// Returns the record with the current progress or failure of the rollout.
Record
CurrentRecord(const State& aState,
              const std::string& aModel,
              const ModelRollout& aRollout)
{
  Record record = aRollout.record_;
  const bool active = record.state_ == RolloutState::Running ||
                      record.state_ == RolloutState::Done;
  if (!active) {
    return record;
  }
  if (!aRollout.failure_.empty()) {
    record.state_ = RolloutState::Failed;
    record.detail_ = aRollout.failure_;
    return record;
  }
  if (record.state_ == RolloutState::Done) {
    return record;
  }
  const Progress progress = ProgressOf(aState, aModel, aRollout);
  record.doneTargets_ = progress.doneTargets_;
  record.totalTargets_ = progress.totalTargets_;
  record.detail_ = progress.waitReason_;
  if (progress.allSettled_ && progress.doneTargets_ == progress.totalTargets_) {
    record.state_ = RolloutState::Done;
  }
  return record;
}

// Writes the record if it has changed. Changes of progress alone are written at
// most once per progressWritePeriod_.
void
WriteProgress(State& aState,
              const std::string& aModel,
              ModelRollout& aRollout,
              absl::Time aNow,
              Effects& aEffects)
{
  if (aRollout.writePending_ || aRollout.recordVersion_ == 0 ||
      aState.pendingRecordReads_.count(aModel) > 0) {
    return;
  }
  const Record updated = CurrentRecord(aState, aModel, aRollout);
  const std::string value = FormatRecord(updated);
  const bool urgent = updated.state_ != aRollout.record_.state_;
  if (value == FormatRecord(aRollout.record_) ||
      (!urgent && aNow < aRollout.nextProgressWrite_)) {
    return;
  }
  aRollout.nextProgressWrite_ = aNow + aState.settings_.progressWritePeriod_;
  aRollout.writePending_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = RecordKey(aModel);
  command.value_ = value;
  command.expect_ = aRollout.recordVersion_;
  PendingCommand pending{ Purpose::WriteRecord, 0, aModel, value };
  SendCommand(aState, std::move(command), std::move(pending), aNow, aEffects);
}

} // namespace

void
AdvanceRecords(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (!OwnsAnyPartition(aState) || !aState.config_) {
    return;
  }
  if (!aState.listPending_ && aNow >= aState.nextList_) {
    aState.nextList_ = aNow + aState.settings_.recordListPeriod_;
    SendListCommand(aState, aNow, aEffects);
  }
  for (auto& [model, rollout] : aState.models_) {
    if (IsOwned(aState, model)) {
      WriteProgress(aState, model, rollout, aNow, aEffects);
    }
  }
}

void
HandleRecordReply(State& aState,
                  const PendingCommand& aCommand,
                  const platform::Reply& aReply,
                  absl::Time aNow,
                  Effects& aEffects)
{
  switch (aCommand.purpose_) {
    case Purpose::ListRecords:
      HandleListReply(aState, aReply, aNow, aEffects);
      return;
    case Purpose::WriteRecord:
      HandleWriteReply(aState, aCommand, aReply, aNow, aEffects);
      return;
    default:
      aState.pendingRecordReads_.erase(aCommand.model_);
      if (aReply.outcome_ == Outcome::Ok) {
        HandleReadRecord(aState, aCommand.model_, aReply, aNow, aEffects);
      }
      return;
  }
}

} // namespace lycheeplank::rollout
