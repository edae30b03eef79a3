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

// Returns the slots with all wanted changes that fit.
std::vector<Slot>
WithChanges(const State& aState)
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
SendRead(State& aState, absl::Time aNow, Effects& aEffects)
{
  auto& table = aState.slots_;
  platform::Command command;
  command.key_ = std::string(kSlotsKey);
  table.commandPending_ = true;
  SendCommand(
    aState, std::move(command), { Purpose::ReadSlots }, aNow, aEffects);
}

void
SendWrite(State& aState, absl::Time aNow, Effects& aEffects)
{
  auto& table = aState.slots_;
  table.pendingSlots_ = WithChanges(aState);
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kSlotsKey);
  command.value_ = FormatSlots(table.pendingSlots_);
  command.expect_ = table.version_;
  table.commandPending_ = true;
  SendCommand(
    aState, std::move(command), { Purpose::WriteSlots }, aNow, aEffects);
}

// Tells the targets which of them hold slots.
void
MarkTargets(State& aState, absl::Time aNow)
{
  for (auto& [model, work] : aState.models_) {
    for (auto& [name, target] : work.targets_) {
      const bool has = Contains(aState.slots_.slots_, { name, model });
      if (has && !target.hasSlot_) {
        target.effectVisibleAt_ = aNow;
        target.nextRead_ = aNow;
      }
      target.hasSlot_ = has;
    }
  }
}

// Makes sure that someone looks after each slot of an owned partition, also
// after its record or target was deleted.
void
AdoptSlots(State& aState, absl::Time aNow)
{
  for (const auto& slot : aState.slots_.slots_) {
    if (!IsOwned(aState, slot.model_)) {
      continue;
    }
    const auto [found, isNew] = aState.models_.try_emplace(slot.model_);
    auto& work = found->second;
    if (isNew) {
      work.record_.model_ = slot.model_;
      work.record_.state_ = RolloutState::Stopped;
    }
    work.targets_.try_emplace(slot.target_);
  }
  MarkTargets(aState, aNow);
}

// Takes the slots over as the platform has them.
bool
TakeSlots(State& aState, const platform::Reply& aReply)
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

// Drops wishes that came true.
void
DropSettledWishes(SlotTable& aTable)
{
  const auto isHeld = [&](const Slot& aSlot) {
    return Contains(aTable.slots_, aSlot);
  };
  auto& wanted = aTable.toAcquire_;
  wanted.erase(std::remove_if(wanted.begin(), wanted.end(), isHeld),
               wanted.end());
  auto& unwanted = aTable.toRelease_;
  unwanted.erase(
    std::remove_if(unwanted.begin(), unwanted.end(), std::not_fn(isHeld)),
    unwanted.end());
}

// Partitions whose owner has made earlier writes of the slots void may act.
void
OpenPartitions(State& aState, absl::Time aSent, Effects& aEffects)
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

void
TakeWritten(State& aState,
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
  OpenPartitions(aState, aCommand.sent_, aEffects);
  DropSettledWishes(table);
  AdoptSlots(aState, aNow);
}

// Reads the slots again, since the last reply doesn't tell what they are.
void
ReadAgain(SlotTable& aTable, const Settings& aSettings, absl::Time aNow)
{
  aTable.fresh_ = false;
  aTable.nextTry_ = aNow + aSettings.retryPeriod_;
}

} // namespace

void
RunSlots(State& aState, absl::Time aNow, Effects& aEffects)
{
  auto& table = aState.slots_;
  if (table.commandPending_ || aNow < table.nextTry_ || !aState.config_ ||
      !NeedsSlots(aState)) {
    return;
  }
  if (!table.fresh_ || aNow >= table.nextRead_) {
    SendRead(aState, aNow, aEffects);
    return;
  }
  const bool changes = WithChanges(aState) != table.slots_;
  if (changes || table.barrierNeeded_) {
    SendWrite(aState, aNow, aEffects);
  }
}

void
TakeSlotsReply(State& aState,
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
    ReadAgain(table, aState.settings_, aNow);
    return;
  }
  if (isWrite && aReply.outcome_ == Outcome::Ok) {
    TakeWritten(aState, aCommand, aReply, aNow, aEffects);
    return;
  }
  aState.counters_.slotConflicts_ += isWrite ? 1 : 0;
  if (!TakeSlots(aState, aReply)) {
    ReadAgain(table, aState.settings_, aNow);
    return;
  }
  table.fresh_ = true;
  table.nextRead_ = aNow + aState.settings_.slotsReadPeriod_;
  DropSettledWishes(table);
  AdoptSlots(aState, aNow);
}

} // namespace lycheeplank::rollout
