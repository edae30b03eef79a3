#include "rollout/internal.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace lycheeplank::rollout {

namespace {

// Returns whether the rollout of a model may go on.
bool
IsActive(const State& aState, const ModelRollout& aRollout)
{
  const bool isEnabled = aRollout.record_.state_ == RolloutState::Running ||
                         aRollout.record_.state_ == RolloutState::Done;
  return isEnabled && aRollout.failure_.empty() && !aState.stopping_;
}

// Returns a target of the configuration, or null if there is none of this name.
const config::Target*
FindTarget(const State& aState, const std::string& aName)
{
  const auto& targets = aState.config_->targets_;
  const auto found = targets.find(aName);
  return found == targets.end() ? nullptr : &found->second;
}

// Adds the new targets of the configuration and erases those that were removed
// from it and hold no slot.
void
SyncTargets(const State& aState,
            const std::string& aModel,
            ModelRollout& aRollout)
{
  const auto names = TargetsOf(aState, aModel);
  for (const auto& name : names) {
    aRollout.targets_.try_emplace(name);
  }
  absl::erase_if(aRollout.targets_, [&](const auto& aEntry) {
    const bool listed =
      std::find(names.begin(), names.end(), aEntry.first) != names.end();
    return !listed && !aEntry.second.hasSlot_;
  });
}

bool
Contains(const std::vector<Slot>& aSlots, const Slot& aSlot)
{
  return std::find(aSlots.begin(), aSlots.end(), aSlot) != aSlots.end();
}

// Requests that the slot of a target is released.
void
RequestSlotRelease(State& aState,
                   const std::string& aModel,
                   const std::string& aName)
{
  const Slot slot{ aName, aModel };
  if (!Contains(aState.slots_.toRelease_, slot)) {
    aState.slots_.toRelease_.push_back(slot);
  }
}

// Returns the time until the next read of a target.
absl::Duration
ReadPeriod(const State& aState,
           const ModelRollout& aRollout,
           const TargetRollout& aTarget)
{
  if (aTarget.hasSlot_) {
    return aState.settings_.pollPeriod_;
  }
  return aRollout.record_.state_ == RolloutState::Running
           ? aState.settings_.runningReadPeriod_
           : aState.settings_.idleReadPeriod_;
}

void
ReadTargetIfDue(State& aState,
                const std::string& aModel,
                const std::string& aName,
                TargetRollout& aTarget,
                absl::Time aNow,
                Effects& aEffects)
{
  const auto* target = FindTarget(aState, aName);
  const bool full =
    aState.pendingReads_.size() >= aState.settings_.maxPendingReads_ &&
    !aTarget.hasSlot_;
  if (target == nullptr || aTarget.readPending_ || aNow < aTarget.nextRead_ ||
      full) {
    return;
  }
  const std::uint64_t id = aState.nextId_++;
  aTarget.readPending_ = true;
  aState.pendingReads_[id] = { aModel, aName, aNow };
  ++aState.counters_.targetReads_;
  aEffects.push_back(ReadTarget{ id, aName, target->url_ });
}

// Sends an order to load the version if the slots are current and the lease is
// valid for long enough.
void
SendLoadOrder(State& aState,
              const std::string& aModel,
              const ModelRollout& aRollout,
              const std::string& aName,
              TargetRollout& aTarget,
              absl::Time aNow,
              Effects& aEffects)
{
  const auto* target = FindTarget(aState, aName);
  if (target == nullptr) {
    return;
  }
  const absl::Duration margin = target->honoursFencing_
                                  ? aState.settings_.fencedMargin_
                                  : aState.settings_.unfencedMargin_;
  const absl::Time notAfter = aState.leaseValidUntil_ - margin;
  const Slot slot{ aName, aModel };
  // The write that releases the slot may be pending.
  const bool releaseRequested = Contains(aState.slots_.toRelease_, slot);
  if (aNow > notAfter || !aState.slots_.fresh_ || releaseRequested) {
    return;
  }
  CHECK(IsOwned(aState, aModel));
  CHECK(Contains(aState.slots_.slots_, slot));
  const std::uint64_t fence = aState.partitions_[PartitionOf(aModel)].fence_;
  const std::uint64_t id = aState.nextId_++;
  aState.pendingOrders_[id] = {
    aModel, aName, aRollout.record_.version_, fence
  };
  aTarget.orderPending_ = true;
  ++aTarget.orderAttempts_;
  ++aState.counters_.sentOrders_;
  aEffects.push_back(SendOrder{
    id, aName, target->url_, aRollout.record_.version_, fence, notAfter });
}

// Releases the slot of a target that can't be reached. If the target has
// accepted an order, first waits for the load timeout and then fails the
// rollout.
void
HandleUnreachableTarget(State& aState,
                        const std::string& aModel,
                        ModelRollout& aRollout,
                        const std::string& aName,
                        TargetRollout& aTarget,
                        absl::Time aNow,
                        Effects& aEffects)
{
  if (aTarget.acceptedVersion_.empty()) {
    RequestSlotRelease(aState, aModel, aName);
    return;
  }
  if (aNow > aTarget.acceptedAt_ + aState.settings_.loadTimeout_) {
    FailRollout(aRollout,
                absl::StrCat("target ",
                             aName,
                             " can't be reached after it accepted an order"),
                aEffects);
    aTarget.acceptedVersion_.clear();
    RequestSlotRelease(aState, aModel, aName);
  }
}

// Handles a target with a slot that is not loading: releases the slot if the
// target serves the version or the rollout has ended, fails the rollout if
// orders had no effect, or sends an order.
void
HandleIdleTarget(State& aState,
                 const std::string& aModel,
                 ModelRollout& aRollout,
                 const std::string& aName,
                 TargetRollout& aTarget,
                 absl::Time aNow,
                 Effects& aEffects)
{
  const std::string& version = aRollout.record_.version_;
  if (!aTarget.acceptedVersion_.empty()) {
    if (aTarget.acceptedVersion_ == version && aTarget.version_ != version) {
      FailRollout(aRollout,
                  absl::StrCat("target ",
                               aName,
                               " serves ",
                               aTarget.version_,
                               " after an order to load ",
                               version),
                  aEffects);
    }
    aTarget.acceptedVersion_.clear();
  }
  const bool done = aTarget.version_ == version;
  if (done || !IsActive(aState, aRollout)) {
    aTarget.orderAttempts_ = 0;
    RequestSlotRelease(aState, aModel, aName);
    return;
  }
  if (aTarget.orderAttempts_ >= aState.settings_.maxOrderAttempts_) {
    FailRollout(aRollout,
                absl::StrCat("target ",
                             aName,
                             " did not load the version after repeated orders"),
                aEffects);
    return;
  }
  SendLoadOrder(aState, aModel, aRollout, aName, aTarget, aNow, aEffects);
}

// Handles a target with a slot according to its last read.
void
AdvanceTarget(State& aState,
              const std::string& aModel,
              ModelRollout& aRollout,
              const std::string& aName,
              TargetRollout& aTarget,
              absl::Time aNow,
              Effects& aEffects)
{
  if (FindTarget(aState, aName) == nullptr) {
    RequestSlotRelease(aState, aModel, aName);
    return;
  }
  const bool current =
    aTarget.hasBeenRead_ && aTarget.readSentAt_ >= aTarget.effectVisibleAt_;
  if (aTarget.orderPending_ || !current) {
    return;
  }
  if (aTarget.reachable_ && aTarget.loading_) {
    const bool late =
      !aTarget.acceptedVersion_.empty() &&
      aNow > aTarget.acceptedAt_ + aState.settings_.loadTimeout_;
    if (late) {
      FailRollout(
        aRollout,
        absl::StrCat("target ", aName, " did not finish loading in time"),
        aEffects);
    }
    return;
  }
  if (aNow < aTarget.holdUntil_) {
    return;
  }
  if (!aTarget.reachable_) {
    HandleUnreachableTarget(
      aState, aModel, aRollout, aName, aTarget, aNow, aEffects);
    return;
  }
  HandleIdleTarget(aState, aModel, aRollout, aName, aTarget, aNow, aEffects);
}

// Returns whether a target serves and holds no slot.
bool
IsServing(const TargetRollout& aTarget)
{
  return aTarget.hasBeenRead_ && aTarget.reachable_ && !aTarget.leaving_ &&
         !aTarget.loading_ && !aTarget.hasSlot_;
}

// Returns how many of aTotal targets of a model have to keep serving.
std::size_t
MinServingTargets(const State& aState, std::size_t aTotal)
{
  const double share = aState.config_->limits_.minServingShare_;
  const auto minServing =
    static_cast<std::size_t>(std::ceil(share * double(aTotal)));
  // At least one target may load; otherwise a model with a single target could
  // not be updated.
  return std::min(minServing, aTotal - 1);
}

// Returns whether a target serves another version than that of the rollout.
bool
NeedsUpdate(const ModelRollout& aRollout, const TargetRollout& aTarget)
{
  return IsServing(aTarget) && aTarget.version_ != aRollout.record_.version_;
}

// Requests slots for targets that need the version, as long as slots are free
// and enough targets of the model keep serving.
void
RequestSlots(State& aState, const std::string& aModel, ModelRollout& aRollout)
{
  if (!IsActive(aState, aRollout) || aRollout.recordVersion_ == 0) {
    return;
  }
  auto& table = aState.slots_;
  std::size_t serving = 0;
  for (const auto& [name, target] : aRollout.targets_) {
    const bool isRequested = Contains(table.toAcquire_, { name, aModel });
    serving += IsServing(target) && !isRequested ? 1 : 0;
  }
  const std::size_t minServing =
    MinServingTargets(aState, aRollout.targets_.size());
  const std::size_t limit = aState.config_->limits_.maxLoading_;
  for (const auto& [name, target] : aRollout.targets_) {
    const Slot slot{ name, aModel };
    const bool full = table.slots_.size() + table.toAcquire_.size() >= limit;
    if (full || serving <= minServing) {
      return;
    }
    if (NeedsUpdate(aRollout, target) && !Contains(table.toAcquire_, slot)) {
      table.toAcquire_.push_back(slot);
      --serving;
    }
  }
}

// Cancels the requests for slots that are no longer needed.
void
CancelSlotRequests(State& aState,
                   const std::string& aModel,
                   const ModelRollout& aRollout)
{
  auto& requests = aState.slots_.toAcquire_;
  const bool active = IsActive(aState, aRollout);
  requests.erase(std::remove_if(requests.begin(),
                                requests.end(),
                                [&](const Slot& aSlot) {
                                  if (aSlot.model_ != aModel) {
                                    return false;
                                  }
                                  const auto found =
                                    aRollout.targets_.find(aSlot.target_);
                                  return !active ||
                                         found == aRollout.targets_.end() ||
                                         !NeedsUpdate(aRollout, found->second);
                                }),
                 requests.end());
}

void
AdvanceModel(State& aState,
             const std::string& aModel,
             ModelRollout& aRollout,
             absl::Time aNow,
             Effects& aEffects)
{
  SyncTargets(aState, aModel, aRollout);
  for (auto& [name, target] : aRollout.targets_) {
    ReadTargetIfDue(aState, aModel, name, target, aNow, aEffects);
    if (target.hasSlot_) {
      AdvanceTarget(aState, aModel, aRollout, name, target, aNow, aEffects);
    }
  }
  if (!aState.slots_.commandPending_) {
    CancelSlotRequests(aState, aModel, aRollout);
    RequestSlots(aState, aModel, aRollout);
  }
}

// Returns the state of the target of a pending order or read, or null if this
// steward no longer owns the model or tracks the target.
TargetRollout*
FindTargetRollout(State& aState,
                  const std::string& aModel,
                  const std::string& aTarget)
{
  const auto model = aState.models_.find(aModel);
  if (model == aState.models_.end()) {
    return nullptr;
  }
  const auto found = model->second.targets_.find(aTarget);
  return found == model->second.targets_.end() ? nullptr : &found->second;
}

// Applies the result of an order to its target.
void
ApplyOrderResult(State& aState,
                 const PendingOrder& aOrder,
                 const OrderEnded& aEnded,
                 TargetRollout& aTarget,
                 absl::Time aNow,
                 Effects& aEffects)
{
  aTarget.orderPending_ = false;
  aTarget.effectVisibleAt_ = aNow + aState.settings_.loadReportDelay_;
  aTarget.nextRead_ = aTarget.effectVisibleAt_;
  switch (aEnded.result_) {
    case OrderResult::Accepted:
      aTarget.acceptedVersion_ = aOrder.version_;
      aTarget.acceptedAt_ = aNow;
      return;
    case OrderResult::StaleFence:
      ++aState.counters_.staleOrders_;
      ReleasePartition(aState, PartitionOf(aOrder.model_), aNow, aEffects);
      return;
    case OrderResult::Refused:
      FailRollout(aState.models_.at(aOrder.model_),
                  absl::StrCat("target ",
                               aOrder.target_,
                               " refused an order to load: ",
                               aEnded.detail_),
                  aEffects);
      return;
    case OrderResult::Lost:
      ++aState.counters_.lostOrders_;
      aTarget.holdUntil_ = aNow + aState.settings_.maxOrderDelay_;
      return;
    case OrderResult::NotSent:
      --aTarget.orderAttempts_;
      return;
  }
}

} // namespace

std::vector<std::string>
TargetsOf(const State& aState, absl::string_view aModel)
{
  std::vector<std::string> names;
  for (const auto& [name, target] : aState.config_->targets_) {
    if (target.kind_ == config::TargetKind::Engine &&
        target.serves_ == aModel) {
      names.push_back(name);
    }
  }
  return names;
}

void
FailRollout(ModelRollout& aRollout, std::string aReason, Effects& aEffects)
{
  if (!aRollout.failure_.empty()) {
    return;
  }
  aEffects.push_back(Log{ absl::StrCat("event=rollout_failed model=",
                                       aRollout.record_.model_,
                                       " version=",
                                       aRollout.record_.version_,
                                       " reason=\"",
                                       aReason,
                                       "\"") });
  aRollout.failure_ = std::move(aReason);
}

void
AdvanceTargets(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (!aState.config_) {
    return;
  }
  for (auto& [model, rollout] : aState.models_) {
    if (IsOwned(aState, model)) {
      AdvanceModel(aState, model, rollout, aNow, aEffects);
    }
  }
}

void
HandleTargetRead(State& aState, const TargetRead& aRead, absl::Time aNow)
{
  const auto found = aState.pendingReads_.find(aRead.id_);
  if (found == aState.pendingReads_.end()) {
    return;
  }
  const PendingRead read = found->second;
  aState.pendingReads_.erase(found);
  auto* target = FindTargetRollout(aState, read.model_, read.target_);
  if (target == nullptr) {
    return;
  }
  target->readPending_ = false;
  target->hasBeenRead_ = true;
  target->reachable_ = aRead.reachable_;
  target->version_ = aRead.version_;
  target->loading_ = aRead.loading_;
  target->leaving_ = aRead.leaving_;
  target->readAt_ = aNow;
  target->readSentAt_ = read.sent_;
  const auto& rollout = aState.models_.at(read.model_);
  target->nextRead_ = aNow + ReadPeriod(aState, rollout, *target);
}

void
HandleOrderEnded(State& aState,
                 const OrderEnded& aEnded,
                 absl::Time aNow,
                 Effects& aEffects)
{
  const auto found = aState.pendingOrders_.find(aEnded.id_);
  if (found == aState.pendingOrders_.end()) {
    return;
  }
  const PendingOrder order = found->second;
  aState.pendingOrders_.erase(found);
  aEffects.push_back(
    Log{ absl::StrCat("event=order_ended target=",
                      order.target_,
                      " version=",
                      order.version_,
                      " fence=",
                      order.fence_,
                      " result=",
                      core::NameOf(kOrderResults, aEnded.result_)) });
  auto* target = FindTargetRollout(aState, order.model_, order.target_);
  if (target != nullptr) {
    ApplyOrderResult(aState, order, aEnded, *target, aNow, aEffects);
  }
}

} // namespace lycheeplank::rollout
