#include "rollout/internal.h"

#include <algorithm>

#include <glog/logging.h>

namespace lycheeplank::rollout {

namespace {

using platform::Outcome;

bool
Contains(const std::vector<Slot>& aSlots, const Slot& aSlot)
{
  return std::find(aSlots.begin(), aSlots.end(), aSlot) != aSlots.end();
}

// Returns whether this steward owns a partition.
bool
NeedsSlots(const State& aState)
{
  return std::any_of(aState.partitions_.begin(),
                     aState.partitions_.end(),
                     [](const Partition& aPartition) {
                       return aPartition.phase_ == Phase::Synchronising ||
                              aPartition.phase_ == Phase::Owned;
                     });
}

// Returns the slots after the requested releases, with as many of the requested
// slots as the limit allows.
std::vector<Slot>
DesiredSlots(const State& aState)
{
  const auto& table = aState.slots_;
  std::vector<Slot> next;
  for (const auto& slot : table.slots_) {
    if (!Contains(table.toRelease_, slot)) {
      next.push_back(slot);
    }
  }
  const std::size_t limit = aState.config_->limits_.maxLoading_;
  for (const auto& slot : table.toAcquire_) {
    if (next.size() < limit && !Contains(next, slot)) {
      next.push_back(slot);
    }
  }
  return next;
}

void
SendReadCommand(State& aState, absl::Time aNow, Effects& aEffects)
{
  auto& table = aState.slots_;
  platform::Command command;
  command.key_ = std::string(kSlotsKey);
  table.commandPending_ = true;
  SendCommand(
    aState, std::move(command), { Purpose::ReadSlots }, aNow, aEffects);
}

void
SendWriteCommand(State& aState, absl::Time aNow, Effects& aEffects)
{
  auto& table = aState.slots_;
  table.pendingSlots_ = DesiredSlots(aState);
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kSlotsKey);
  command.value_ = FormatSlots(table.pendingSlots_);
  command.expect_ = table.version_;
  table.commandPending_ = true;
  SendCommand(
    aState, std::move(command), { Purpose::WriteSlots }, aNow, aEffects);
}

// Updates for each target whether it holds a slot. A target with a new slot is
// read at once.
void
UpdateSlotFlags(State& aState, absl::Time aNow)
{
  for (auto& [model, rollout] : aState.models_) {
    for (auto& [name, target] : rollout.targets_) {
      const bool has = Contains(aState.slots_.slots_, { name, model });
      if (has && !target.hasSlot_) {
        target.effectVisibleAt_ = aNow;
        target.nextRead_ = aNow;
      }
      target.hasSlot_ = has;
    }
  }
}

// Adds the model and target of each slot of an owned partition, so that the
// slot is released even if its record or target was deleted.
void
TrackOwnedSlots(State& aState, absl::Time aNow)
{
  for (const auto& slot : aState.slots_.slots_) {
    if (!IsOwned(aState, slot.model_)) {
      continue;
    }
    const auto [found, isNew] = aState.models_.try_emplace(slot.model_);
    auto& rollout = found->second;
    if (isNew) {
      rollout.record_.model_ = slot.model_;
      rollout.record_.state_ = RolloutState::Stopped;
    }
    rollout.targets_.try_emplace(slot.target_);
  }
  UpdateSlotFlags(aState, aNow);
}

// Stores the slots of a reply. Returns false if they are malformed.
bool
StoreSlots(State& aState, const platform::Reply& aReply)
{
  auto& table = aState.slots_;
  const bool absent =
    aReply.outcome_ == Outcome::Absent ||
    (aReply.outcome_ == Outcome::Conflict && aReply.version_ == 0);
  const auto slots =
    ParseSlots(absent ? absl::string_view() : absl::string_view(aReply.value_));
  if (!slots) {
    LOG(ERROR) << "event=slots_unreadable key=" << kSlotsKey;
    return false;
  }
  table.slots_ = *slots;
  table.version_ = absent ? 0 : aReply.version_;
  return true;
}

// Erases the requests that the current slots already fulfil.
void
EraseCompletedRequests(SlotTable& aTable)
{
  const auto isHeld = [&](const Slot& aSlot) {
    return Contains(aTable.slots_, aSlot);
  };
  auto& toAcquire = aTable.toAcquire_;
  toAcquire.erase(std::remove_if(toAcquire.begin(), toAcquire.end(), isHeld),
                  toAcquire.end());
  auto& toRelease = aTable.toRelease_;
  toRelease.erase(
    std::remove_if(toRelease.begin(), toRelease.end(), std::not_fn(isHeld)),
    toRelease.end());
}

// Completes the takeover of partitions after a successful write of the slots
// that was sent at aSent. The write makes delayed writes of earlier owners fail
// with a conflict. Partitions that were acquired later need another write.
void
ActivatePartitions(State& aState, absl::Time aSent, Effects& aEffects)
{
  for (std::uint32_t i = 0; i < kPartitionCount; ++i) {
    auto& partition = aState.partitions_[i];
    if (partition.phase_ != Phase::Synchronising) {
      continue;
    }
    if (partition.acquiredAt_ <= aSent) {
      SetPhase(aState, i, Phase::Owned, aEffects);
      aState.nextList_ = aSent;
    } else {
      aState.slots_.barrierNeeded_ = true;
    }
  }
}

// Stores the slots of a successful write.
void
HandleWriteSuccess(State& aState,
                   const PendingCommand& aCommand,
                   const platform::Reply& aReply,
                   absl::Time aNow,
                   Effects& aEffects)
{
  auto& table = aState.slots_;
  table.slots_ = table.pendingSlots_;
  table.version_ = aReply.version_;
  table.fresh_ = true;
  table.barrierNeeded_ = false;
  ActivatePartitions(aState, aCommand.sent_, aEffects);
  EraseCompletedRequests(table);
  TrackOwnedSlots(aState, aNow);
}

// Schedules another read of the slots, since the last reply did not contain
// them.
void
ScheduleReread(SlotTable& aTable, const Settings& aSettings, absl::Time aNow)
{
  aTable.fresh_ = false;
  aTable.nextTry_ = aNow + aSettings.retryPeriod_;
}

} // namespace

void
AdvanceSlots(State& aState, absl::Time aNow, Effects& aEffects)
{
  auto& table = aState.slots_;
  if (table.commandPending_ || aNow < table.nextTry_ || !aState.config_ ||
      !NeedsSlots(aState)) {
    return;
  }
  if (!table.fresh_ || aNow >= table.nextRead_) {
    SendReadCommand(aState, aNow, aEffects);
    return;
  }
  const bool changes = DesiredSlots(aState) != table.slots_;
  if (changes || table.barrierNeeded_) {
    SendWriteCommand(aState, aNow, aEffects);
  }
}

void
HandleSlotsReply(State& aState,
                 const PendingCommand& aCommand,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects)
{
  auto& table = aState.slots_;
  table.commandPending_ = false;
  const bool answered = aReply.outcome_ == Outcome::Ok ||
                        aReply.outcome_ == Outcome::Absent ||
                        aReply.outcome_ == Outcome::Conflict;
  const bool isWrite = aCommand.purpose_ == Purpose::WriteSlots;
  if (!answered) {
    if (isWrite && aReply.outcome_ == Outcome::Refused) {
      table.nextTry_ = aNow + aState.settings_.retryPeriod_;
      return;
    }
    ScheduleReread(table, aState.settings_, aNow);
    return;
  }
  if (isWrite && aReply.outcome_ == Outcome::Ok) {
    HandleWriteSuccess(aState, aCommand, aReply, aNow, aEffects);
    return;
  }
  aState.counters_.slotConflicts_ += isWrite ? 1 : 0;
  if (!StoreSlots(aState, aReply)) {
    ScheduleReread(table, aState.settings_, aNow);
    return;
  }
  table.fresh_ = true;
  table.nextRead_ = aNow + aState.settings_.slotsReadPeriod_;
  EraseCompletedRequests(table);
  TrackOwnedSlots(aState, aNow);
}

} // namespace lycheeplank::rollout
