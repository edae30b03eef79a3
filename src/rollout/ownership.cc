#include "rollout/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace lycheeplank::rollout {

namespace {

using platform::Outcome;

std::string
OwnerKey(std::uint32_t aPartition)
{
  return absl::StrCat(kOwnerPrefix, aPartition);
}

// Returns the value that this steward writes to an owner key. It contains the
// lease, so that the values of different leases differ.
std::string
OwnerKeyValue(const State& aState)
{
  return absl::StrCat(aState.name_, " ", aState.lease_);
}

// Returns the rank of this steward among the candidates of a partition, from 0
// for the first, or nothing if it is no candidate.
absl::optional<std::size_t>
CandidateRank(const State& aState, std::uint32_t aPartition)
{
  auto hosts = aState.hosts_;
  if (std::find(hosts.begin(), hosts.end(), aState.name_) == hosts.end()) {
    hosts.push_back(aState.name_);
  }
  const auto candidates = core::RendezvousPick(
    OwnerKey(aPartition), hosts, aState.settings_.candidatesPerPartition_);
  const auto found =
    std::find(candidates.begin(), candidates.end(), aState.name_);
  if (found == candidates.end()) {
    return absl::nullopt;
  }
  return static_cast<std::size_t>(found - candidates.begin());
}

// Returns whether this steward owns, acquires or releases a partition.
bool
IsHeld(const Partition& aPartition)
{
  return aPartition.phase_ != Phase::Waiting;
}

bool
HoldsAnyPartition(const State& aState)
{
  return std::any_of(
    aState.partitions_.begin(), aState.partitions_.end(), IsHeld);
}

// Returns whether any partition is free and this steward is a candidate for it.
bool
CanAcquireAnyPartition(const State& aState)
{
  for (std::uint32_t i = 0; i < kPartitionCount; ++i) {
    const auto& partition = aState.partitions_[i];
    if (partition.seenVersion_ == 0U && CandidateRank(aState, i)) {
      return true;
    }
  }
  return false;
}

// Returns whether no order of a partition can still arrive: all have ended, and
// the longest delay of those without an answer has passed.
bool
AreOrdersSettled(const State& aState, std::uint32_t aPartition, absl::Time aNow)
{
  for (const auto& [id, order] : aState.pendingOrders_) {
    if (PartitionOf(order.model_) == aPartition) {
      return false;
    }
  }
  for (const auto& [model, rollout] : aState.models_) {
    if (PartitionOf(model) != aPartition) {
      continue;
    }
    for (const auto& [name, target] : rollout.targets_) {
      if (aNow < target.holdUntil_) {
        return false;
      }
    }
  }
  return true;
}

bool
AreAllOrdersSettled(const State& aState, absl::Time aNow)
{
  for (std::uint32_t i = 0; i < kPartitionCount; ++i) {
    if (!AreOrdersSettled(aState, i, aNow)) {
      return false;
    }
  }
  return true;
}

void
DropLease(State& aState, absl::Time aNow, Effects& aEffects)
{
  platform::Command command;
  command.operation_ = platform::Operation::DropLease;
  command.lease_ = aState.lease_;
  SendCommand(aState,
              std::move(command),
              { Purpose::DropLease, 0, "", aState.lease_ },
              aNow,
              aEffects);
  aState.lease_.clear();
  aState.leaseValidUntil_ = absl::InfinitePast();
}

// Releases all partitions and drops the lease.
void
DropLeaseAndPartitions(State& aState, absl::Time aNow, Effects& aEffects)
{
  for (std::uint32_t i = 0; i < kPartitionCount; ++i) {
    auto& partition = aState.partitions_[i];
    if (!IsHeld(partition)) {
      continue;
    }
    SetPhase(aState, i, Phase::Waiting, aEffects);
    partition.fence_ = 0;
    partition.seenVersion_.reset();
    ErasePartitionModels(aState, i);
  }
  DropLease(aState, aNow, aEffects);
}

// Requests a lease if a partition can be acquired, or renews the present one.
void
RequestLease(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (aState.leasePending_ || aNow < aState.nextLeaseCall_) {
    return;
  }
  platform::Command command;
  PendingCommand pending;
  if (aState.lease_.empty()) {
    if (!CanAcquireAnyPartition(aState)) {
      return;
    }
    command.operation_ = platform::Operation::GrantLease;
    pending.purpose_ = Purpose::GrantLease;
  } else {
    command.operation_ = platform::Operation::KeepLease;
    command.lease_ = aState.lease_;
    pending.purpose_ = Purpose::KeepLease;
    pending.value_ = aState.lease_;
  }
  command.duration_ = aState.settings_.leaseDuration_;
  aState.leasePending_ = true;
  aState.nextLeaseCall_ = aNow + aState.settings_.leaseRenewalPeriod_;
  SendCommand(aState, std::move(command), std::move(pending), aNow, aEffects);
}

// Drops the lease if it has expired, is not needed or the steward stops;
// requests or renews it otherwise.
void
AdvanceLease(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (!aState.lease_.empty()) {
    const bool expired = aNow >= aState.leaseValidUntil_;
    const bool idle =
      !HoldsAnyPartition(aState) && !CanAcquireAnyPartition(aState);
    const bool stops = aState.stopping_ && AreAllOrdersSettled(aState, aNow);
    if (expired || idle || stops) {
      DropLeaseAndPartitions(aState, aNow, aEffects);
    }
  }
  if (!aState.stopping_ || !aState.lease_.empty()) {
    RequestLease(aState, aNow, aEffects);
  }
}

// Watches the owner key of a partition, or reads it if its version is unknown.
void
WatchOwnerKey(State& aState,
              std::uint32_t aPartition,
              absl::Time aNow,
              Effects& aEffects)
{
  auto& partition = aState.partitions_[aPartition];
  platform::Command command;
  command.key_ = OwnerKey(aPartition);
  command.operation_ = platform::Operation::Read;
  if (partition.seenVersion_) {
    command.operation_ = platform::Operation::Watch;
    command.expect_ = partition.seenVersion_;
    command.duration_ = aState.settings_.maxWatchTime_;
  }
  partition.commandPending_ = true;
  SendCommand(aState,
              std::move(command),
              { Purpose::WatchOwnerKey, aPartition },
              aNow,
              aEffects);
}

// Creates the owner key of a free partition, bound to the lease, if the lease
// is valid for long enough.
void
WriteOwnerKey(State& aState,
              std::uint32_t aPartition,
              absl::Time aNow,
              Effects& aEffects)
{
  if (aNow + aState.settings_.unfencedMargin_ > aState.leaseValidUntil_) {
    return;
  }
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = OwnerKey(aPartition);
  command.value_ = OwnerKeyValue(aState);
  command.expect_ = 0;
  command.lease_ = aState.lease_;
  PendingCommand pending{ Purpose::WriteOwnerKey, aPartition };
  pending.value_ = command.value_;
  aState.partitions_[aPartition].commandPending_ = true;
  SetPhase(aState, aPartition, Phase::Acquiring, aEffects);
  SendCommand(aState, std::move(command), std::move(pending), aNow, aEffects);
}

// Reads the owner key back after the reply to its write was lost.
void
VerifyOwnerKey(State& aState,
               std::uint32_t aPartition,
               absl::Time aNow,
               Effects& aEffects)
{
  platform::Command command;
  command.key_ = OwnerKey(aPartition);
  PendingCommand pending{ Purpose::VerifyOwnerKey, aPartition };
  pending.value_ = OwnerKeyValue(aState);
  aState.partitions_[aPartition].commandPending_ = true;
  SendCommand(aState, std::move(command), std::move(pending), aNow, aEffects);
}

// Deletes the owner key of a partition once all its orders are settled.
void
DeleteOwnerKey(State& aState,
               std::uint32_t aPartition,
               absl::Time aNow,
               Effects& aEffects)
{
  auto& partition = aState.partitions_[aPartition];
  if (!AreOrdersSettled(aState, aPartition, aNow)) {
    return;
  }
  ErasePartitionModels(aState, aPartition);
  platform::Command command;
  command.operation_ = platform::Operation::Delete;
  command.key_ = OwnerKey(aPartition);
  command.expect_ = partition.fence_;
  partition.commandPending_ = true;
  SendCommand(aState,
              std::move(command),
              { Purpose::DeleteOwnerKey, aPartition },
              aNow,
              aEffects);
}

void
AdvancePartition(State& aState,
                 std::uint32_t aPartition,
                 absl::Time aNow,
                 Effects& aEffects)
{
  auto& partition = aState.partitions_[aPartition];
  if (partition.commandPending_ || aNow < partition.nextTry_) {
    return;
  }
  switch (partition.phase_) {
    case Phase::Waiting:
      if (aState.stopping_ || !CandidateRank(aState, aPartition)) {
        return;
      }
      if (partition.seenVersion_ == 0U) {
        WriteOwnerKey(aState, aPartition, aNow, aEffects);
      } else {
        WatchOwnerKey(aState, aPartition, aNow, aEffects);
      }
      return;
    case Phase::Verifying:
      VerifyOwnerKey(aState, aPartition, aNow, aEffects);
      return;
    case Phase::Releasing:
      DeleteOwnerKey(aState, aPartition, aNow, aEffects);
      return;
    case Phase::Acquiring:
    case Phase::Synchronising:
    case Phase::Owned:
      return;
  }
}

// Records that this steward has become the owner of a partition.
void
BecomeOwner(State& aState,
            std::uint32_t aPartition,
            std::uint64_t aFence,
            absl::Time aNow,
            Effects& aEffects)
{
  auto& partition = aState.partitions_[aPartition];
  CHECK_GT(aFence, 0U);
  partition.fence_ = aFence;
  partition.seenVersion_ = aFence;
  partition.acquiredAt_ = aNow;
  aState.slots_.fresh_ = false;
  aState.slots_.barrierNeeded_ = true;
  ++aState.counters_.takeovers_;
  SetPhase(aState, aPartition, Phase::Synchronising, aEffects);
}

// Stores the version of the owner key from a reply. If the key is absent,
// delays the attempt to acquire the partition by the rank of this steward.
void
StoreOwnerVersion(State& aState,
                  std::uint32_t aPartition,
                  const platform::Reply& aReply,
                  absl::Time aNow)
{
  auto& partition = aState.partitions_[aPartition];
  partition.seenVersion_ =
    aReply.outcome_ == Outcome::Absent ? 0 : aReply.version_;
  if (partition.seenVersion_ == 0U) {
    const std::size_t rank = CandidateRank(aState, aPartition).value_or(0);
    partition.nextTry_ = aNow + aState.settings_.delayPerRank_ * double(rank);
  }
}

// Handles the reply to the write of the owner key or to its verification.
void
HandleAcquireReply(State& aState,
                   const PendingCommand& aCommand,
                   const platform::Reply& aReply,
                   absl::Time aNow,
                   Effects& aEffects)
{
  const std::uint32_t index = aCommand.partition_;
  const bool current = aCommand.value_ == OwnerKeyValue(aState);
  if (!current) {
    // The lease of that attempt has expired, and the platform deletes the key
    // with it.
    return;
  }
  const bool written = aCommand.purpose_ == Purpose::WriteOwnerKey &&
                       aReply.outcome_ == Outcome::Ok;
  if (written || (aReply.version_ > 0 && aReply.value_ == aCommand.value_)) {
    BecomeOwner(aState, index, aReply.version_, aNow, aEffects);
    return;
  }
  auto& partition = aState.partitions_[index];
  if (aReply.outcome_ == Outcome::Lost) {
    partition.nextTry_ = aNow + aState.settings_.retryPeriod_;
    SetPhase(aState, index, Phase::Verifying, aEffects);
    return;
  }
  SetPhase(aState, index, Phase::Waiting, aEffects);
  if (aReply.outcome_ == Outcome::Refused) {
    partition.seenVersion_.reset();
    partition.nextTry_ = aNow + aState.settings_.retryPeriod_;
    return;
  }
  StoreOwnerVersion(aState, index, aReply, aNow);
  if (aReply.outcome_ == Outcome::Absent) {
    // The lease no longer exists, which its next renewal will report.
    partition.nextTry_ = aNow + aState.settings_.retryPeriod_;
  }
}

void
HandleWatchReply(State& aState,
                 std::uint32_t aPartition,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects)
{
  if (aReply.version_ > 0 && aReply.value_ == OwnerKeyValue(aState)) {
    // An earlier deletion of this steward's own key has failed.
    aState.partitions_[aPartition].fence_ = aReply.version_;
    SetPhase(aState, aPartition, Phase::Releasing, aEffects);
    return;
  }
  const bool answered = aReply.outcome_ == Outcome::Ok ||
                        aReply.outcome_ == Outcome::Absent ||
                        aReply.outcome_ == Outcome::Conflict;
  if (answered) {
    StoreOwnerVersion(aState, aPartition, aReply, aNow);
    return;
  }
  auto& partition = aState.partitions_[aPartition];
  partition.seenVersion_.reset();
  partition.nextTry_ = aNow + aState.settings_.retryPeriod_;
}

} // namespace

void
SetPhase(State& aState,
         std::uint32_t aPartition,
         Phase aPhase,
         Effects& aEffects)
{
  auto& partition = aState.partitions_[aPartition];
  if (partition.phase_ == aPhase) {
    return;
  }
  aEffects.push_back(Log{ absl::StrCat("event=rollout_partition partition=",
                                       aPartition,
                                       " from=",
                                       core::NameOf(kPhases, partition.phase_),
                                       " to=",
                                       core::NameOf(kPhases, aPhase),
                                       " fence=",
                                       partition.fence_) });
  partition.phase_ = aPhase;
}

bool
IsOwned(const State& aState, absl::string_view aModel)
{
  return aState.partitions_[PartitionOf(aModel)].phase_ == Phase::Owned;
}

void
ErasePartitionModels(State& aState, std::uint32_t aPartition)
{
  const auto isInPartition = [&](const Slot& aSlot) {
    return PartitionOf(aSlot.model_) == aPartition;
  };
  auto& slots = aState.slots_;
  for (auto* list : { &slots.toAcquire_, &slots.toRelease_ }) {
    list->erase(std::remove_if(list->begin(), list->end(), isInPartition),
                list->end());
  }
  absl::erase_if(aState.models_, [&](const auto& aEntry) {
    return PartitionOf(aEntry.first) == aPartition;
  });
}

void
ReleasePartition(State& aState,
                 std::uint32_t aPartition,
                 absl::Time aNow,
                 Effects& aEffects)
{
  auto& partition = aState.partitions_[aPartition];
  if (partition.phase_ == Phase::Owned ||
      partition.phase_ == Phase::Synchronising) {
    partition.nextTry_ = aNow;
    SetPhase(aState, aPartition, Phase::Releasing, aEffects);
  }
}

void
AdvanceOwnership(State& aState, absl::Time aNow, Effects& aEffects)
{
  AdvanceLease(aState, aNow, aEffects);
  for (std::uint32_t i = 0; i < kPartitionCount; ++i) {
    AdvancePartition(aState, i, aNow, aEffects);
  }
}

void
HandleLeaseReply(State& aState,
                 const PendingCommand& aCommand,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects)
{
  if (aCommand.purpose_ == Purpose::DropLease) {
    return;
  }
  aState.leasePending_ = false;
  const absl::Time until = aCommand.sent_ + aState.settings_.leaseDuration_;
  if (aCommand.purpose_ == Purpose::GrantLease) {
    if (aReply.outcome_ == Outcome::Ok) {
      aState.lease_ = aReply.lease_;
      aState.leaseValidUntil_ = until;
    }
    return;
  }
  if (aCommand.value_ != aState.lease_) {
    return;
  }
  if (aReply.outcome_ == Outcome::Ok) {
    aState.leaseValidUntil_ = std::max(aState.leaseValidUntil_, until);
  } else if (aReply.outcome_ == Outcome::Absent) {
    DropLeaseAndPartitions(aState, aNow, aEffects);
  }
}

void
HandleOwnerKeyReply(State& aState,
                    const PendingCommand& aCommand,
                    const platform::Reply& aReply,
                    absl::Time aNow,
                    Effects& aEffects)
{
  const std::uint32_t index = aCommand.partition_;
  auto& partition = aState.partitions_[index];
  partition.commandPending_ = false;
  switch (aCommand.purpose_) {
    case Purpose::WriteOwnerKey:
    case Purpose::VerifyOwnerKey:
      HandleAcquireReply(aState, aCommand, aReply, aNow, aEffects);
      return;
    case Purpose::DeleteOwnerKey:
      if (partition.phase_ == Phase::Releasing) {
        partition.seenVersion_.reset();
        partition.fence_ = 0;
        SetPhase(aState, index, Phase::Waiting, aEffects);
      }
      return;
    default:
      if (partition.phase_ == Phase::Waiting) {
        HandleWatchReply(aState, index, aReply, aNow, aEffects);
      }
      return;
  }
}

} // namespace lycheeplank::rollout
