#include "rollout/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

namespace lycheeplank::rollout {

namespace {

using platform::Outcome;

void
SendList(State& aState, absl::Time aNow, Effects& aEffects)
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
SendReadRecord(State& aState,
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
OwnsAny(const State& aState)
{
  return std::any_of(aState.partitions_.begin(),
                     aState.partitions_.end(),
                     [](const Partition& aPartition) {
                       return aPartition.phase_ == Phase::Owned;
                     });
}

// Stops the rollouts whose records were deleted.
void
StopUnlisted(State& aState)
{
  for (auto& [model, work] : aState.models_) {
    if (aState.listedModels_.count(model) == 0 && work.recordVersion_ > 0) {
      work.record_.state_ = RolloutState::Stopped;
      work.recordVersion_ = 0;
    }
  }
}

void
TakeList(State& aState,
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
      SendReadRecord(aState, model, aNow, aEffects);
    }
  }
  if (aReply.more_) {
    aState.nextList_ = aNow;
    return;
  }
  StopUnlisted(aState);
  aState.listedModels_.clear();
  aState.listAfter_.clear();
}

// Takes a record over that another one has written.
void
TakeRecord(State& aState,
           const std::string& aModel,
           const platform::Reply& aReply,
           absl::Time aNow,
           Effects& aEffects)
{
  auto record = ParseRecord(aReply.value_);
  if (!record || !IsOwned(aState, aModel)) {
    return;
  }
  auto& work = aState.models_[aModel];
  if (aReply.version_ <= work.recordVersion_) {
    return;
  }
  aEffects.push_back(
    Log{ absl::StrCat("event=rollout_record model=",
                      aModel,
                      " version=",
                      record->version_,
                      " state=",
                      core::NameOf(kRolloutStates, record->state_)) });
  const bool other = record->version_ != work.record_.version_ ||
                     record->state_ != work.record_.state_;
  if (other) {
    work.failure_.clear();
  }
  for (auto& [name, target] : work.targets_) {
    target.orderAttempts_ = other ? 0 : target.orderAttempts_;
    target.nextRead_ = aNow;
  }
  work.record_ = std::move(*record);
  work.recordVersion_ = aReply.version_;
}

void
TakeWritten(State& aState,
            const PendingCommand& aCommand,
            const platform::Reply& aReply,
            absl::Time aNow,
            Effects& aEffects)
{
  const auto found = aState.models_.find(aCommand.model_);
  if (found == aState.models_.end()) {
    return;
  }
  auto& work = found->second;
  work.writePending_ = false;
  if (aReply.outcome_ == Outcome::Ok) {
    work.record_ = *ParseRecord(aCommand.value_);
    work.recordVersion_ = aReply.version_;
    return;
  }
  SendReadRecord(aState, aCommand.model_, aNow, aEffects);
}

// What the targets of a model show.
struct Progress
{
  std::uint32_t doneTargets_ = 0;
  std::uint32_t totalTargets_ = 0;
  bool settled_ = true;
  std::string waitsFor_;
};

Progress
ProgressOf(const State& aState,
           const std::string& aModel,
           const ModelRollout& aWork)
{
  Progress progress;
  for (const auto& name : TargetsOf(aState, aModel)) {
    ++progress.totalTargets_;
    const auto found = aWork.targets_.find(name);
    const bool known =
      found != aWork.targets_.end() && found->second.hasBeenRead_;
    if (!known) {
      progress.settled_ = false;
      continue;
    }
    const auto& target = found->second;
    progress.settled_ &= !target.hasSlot_ && !target.orderPending_;
    if (target.reachable_ && !target.loading_ &&
        target.version_ == aWork.record_.version_) {
      ++progress.doneTargets_;
    } else if (!target.reachable_ && progress.waitsFor_.empty()) {
      progress.waitsFor_ = absl::StrCat("target ", name, " can't be reached");
    }
  }
  return progress;
}

// Returns what the record should say now.
Record
WantedRecord(const State& aState,
             const std::string& aModel,
             const ModelRollout& aWork)
{
  Record record = aWork.record_;
  const bool active = record.state_ == RolloutState::Running ||
                      record.state_ == RolloutState::Done;
  if (!active) {
    return record;
  }
  if (!aWork.failure_.empty()) {
    record.state_ = RolloutState::Failed;
    record.detail_ = aWork.failure_;
    return record;
  }
  if (record.state_ == RolloutState::Done) {
    return record;
  }
  const Progress progress = ProgressOf(aState, aModel, aWork);
  record.doneTargets_ = progress.doneTargets_;
  record.totalTargets_ = progress.totalTargets_;
  record.detail_ = progress.waitsFor_;
  if (progress.settled_ && progress.doneTargets_ == progress.totalTargets_) {
    record.state_ = RolloutState::Done;
  }
  return record;
}

void
WriteProgress(State& aState,
              const std::string& aModel,
              ModelRollout& aWork,
              absl::Time aNow,
              Effects& aEffects)
{
  if (aWork.writePending_ || aWork.recordVersion_ == 0 ||
      aState.pendingRecordReads_.count(aModel) > 0) {
    return;
  }
  const Record wanted = WantedRecord(aState, aModel, aWork);
  const std::string value = FormatRecord(wanted);
  const bool urgent = wanted.state_ != aWork.record_.state_;
  if (value == FormatRecord(aWork.record_) ||
      (!urgent && aNow < aWork.nextProgressWrite_)) {
    return;
  }
  aWork.nextProgressWrite_ = aNow + aState.settings_.progressWritePeriod_;
  aWork.writePending_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = RecordKey(aModel);
  command.value_ = value;
  command.expect_ = aWork.recordVersion_;
  PendingCommand pending{ Purpose::WriteRecord, 0, aModel, value };
  SendCommand(aState, std::move(command), std::move(pending), aNow, aEffects);
}

} // namespace

void
RunRecords(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (!OwnsAny(aState) || !aState.config_) {
    return;
  }
  if (!aState.listPending_ && aNow >= aState.nextList_) {
    aState.nextList_ = aNow + aState.settings_.recordListPeriod_;
    SendList(aState, aNow, aEffects);
  }
  for (auto& [model, work] : aState.models_) {
    if (IsOwned(aState, model)) {
      WriteProgress(aState, model, work, aNow, aEffects);
    }
  }
}

void
TakeRecordReply(State& aState,
                const PendingCommand& aCommand,
                const platform::Reply& aReply,
                absl::Time aNow,
                Effects& aEffects)
{
  switch (aCommand.purpose_) {
    case Purpose::ListRecords:
      TakeList(aState, aReply, aNow, aEffects);
      return;
    case Purpose::WriteRecord:
      TakeWritten(aState, aCommand, aReply, aNow, aEffects);
      return;
    default:
      aState.pendingRecordReads_.erase(aCommand.model_);
      if (aReply.outcome_ == Outcome::Ok) {
        TakeRecord(aState, aCommand.model_, aReply, aNow, aEffects);
      }
      return;
  }
}

} // namespace lycheeplank::rollout
