#include "rollout/internal.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace lycheeplank::rollout {

namespace {

bool
IsActive(const State& aState, const ModelRollout& aWork)
{
  const bool wanted = aWork.record_.state_ == RolloutState::Running ||
                      aWork.record_.state_ == RolloutState::Done;
  return wanted && aWork.failure_.empty() && !aState.stopping_;
}

const config::Target*
FindTarget(const State& aState, const std::string& aName)
{
  const auto& targets = aState.config_->targets_;
  const auto found = targets.find(aName);
  return found == targets.end() ? nullptr : &found->second;
}

// Adds new targets of the configuration and drops those that have left it.
void
SyncTargets(const State& aState, const std::string& aModel, ModelRollout& aWork)
{
  const auto names = TargetsOf(aState, aModel);
  for (const auto& name : names) {
    aWork.targets_.try_emplace(name);
  }
  absl::erase_if(aWork.targets_, [&](const auto& aEntry) {
    const bool listed =
      std::find(names.begin(), names.end(), aEntry.first) != names.end();
    return !listed && !aEntry.second.hasSlot_;
  });
}

bool
IsWanted(const std::vector<Slot>& aSlots, const Slot& aSlot)
{
  return std::find(aSlots.begin(), aSlots.end(), aSlot) != aSlots.end();
}

void
ReleaseSlot(State& aState, const std::string& aModel, const std::string& aName)
{
  const Slot slot{ aName, aModel };
  if (!IsWanted(aState.slots_.toRelease_, slot)) {
    aState.slots_.toRelease_.push_back(slot);
  }
}

absl::Duration
ReadPeriod(const State& aState,
           const ModelRollout& aWork,
           const TargetRollout& aTarget)
{
  if (aTarget.hasSlot_) {
    return aState.settings_.pollPeriod_;
  }
  return aWork.record_.state_ == RolloutState::Running
           ? aState.settings_.runningReadPeriod_
           : aState.settings_.idleReadPeriod_;
}

void
ReadIfDue(State& aState,
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

// Sends an order if the lease lasts long enough for it.
void
Order(State& aState,
      const std::string& aModel,
      const ModelRollout& aWork,
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
  // The write that gives the slot back may be under way.
  const bool givenBack = IsWanted(aState.slots_.toRelease_, slot);
  if (aNow > notAfter || !aState.slots_.fresh_ || givenBack) {
    return;
  }
  CHECK(IsOwned(aState, aModel));
  CHECK(IsWanted(aState.slots_.slots_, slot));
  const std::uint64_t fence = aState.partitions_[PartitionOf(aModel)].fence_;
  const std::uint64_t id = aState.nextId_++;
  aState.pendingOrders_[id] = { aModel, aName, aWork.record_.version_, fence };
  aTarget.orderPending_ = true;
  ++aTarget.orderAttempts_;
  ++aState.counters_.sentOrders_;
  aEffects.push_back(SendOrder{
    id, aName, target->url_, aWork.record_.version_, fence, notAfter });
}

// Deals with a slot whose target can't be reached.
void
FollowUnreachable(State& aState,
                  const std::string& aModel,
                  ModelRollout& aWork,
                  const std::string& aName,
                  TargetRollout& aTarget,
                  absl::Time aNow,
                  Effects& aEffects)
{
  if (aTarget.acceptedVersion_.empty()) {
    ReleaseSlot(aState, aModel, aName);
    return;
  }
  if (aNow > aTarget.acceptedAt_ + aState.settings_.loadTimeout_) {
    Fail(aWork,
         absl::StrCat("target ", aName, " can't be reached after its order"),
         aEffects);
    aTarget.acceptedVersion_.clear();
    ReleaseSlot(aState, aModel, aName);
  }
}

// Deals with a slot whose target is not loading.
void
FollowIdle(State& aState,
           const std::string& aModel,
           ModelRollout& aWork,
           const std::string& aName,
           TargetRollout& aTarget,
           absl::Time aNow,
           Effects& aEffects)
{
  const std::string& wanted = aWork.record_.version_;
  if (!aTarget.acceptedVersion_.empty()) {
    if (aTarget.acceptedVersion_ == wanted && aTarget.version_ != wanted) {
      Fail(aWork,
           absl::StrCat("target ",
                        aName,
                        " serves ",
                        aTarget.version_,
                        " after an order to load ",
                        wanted),
           aEffects);
    }
    aTarget.acceptedVersion_.clear();
  }
  const bool done = aTarget.version_ == wanted;
  if (done || !IsActive(aState, aWork)) {
    aTarget.orderAttempts_ = 0;
    ReleaseSlot(aState, aModel, aName);
    return;
  }
  if (aTarget.orderAttempts_ >= aState.settings_.maxOrderAttempts_) {
    Fail(aWork,
         absl::StrCat("target ", aName, " does not follow its orders"),
         aEffects);
    return;
  }
  Order(aState, aModel, aWork, aName, aTarget, aNow, aEffects);
}

// Takes the next step for a target that holds a slot.
void
FollowSlot(State& aState,
           const std::string& aModel,
           ModelRollout& aWork,
           const std::string& aName,
           TargetRollout& aTarget,
           absl::Time aNow,
           Effects& aEffects)
{
  if (FindTarget(aState, aName) == nullptr) {
    ReleaseSlot(aState, aModel, aName);
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
      Fail(aWork,
           absl::StrCat("target ", aName, " takes too long to load"),
           aEffects);
    }
    return;
  }
  if (aNow < aTarget.holdUntil_) {
    return;
  }
  if (!aTarget.reachable_) {
    FollowUnreachable(aState, aModel, aWork, aName, aTarget, aNow, aEffects);
    return;
  }
  FollowIdle(aState, aModel, aWork, aName, aTarget, aNow, aEffects);
}

bool
IsServing(const TargetRollout& aTarget)
{
  return aTarget.hasBeenRead_ && aTarget.reachable_ && !aTarget.leaving_ &&
         !aTarget.loading_ && !aTarget.hasSlot_;
}

// Returns how many targets of a model have to go on serving.
std::size_t
MinServing(const State& aState, std::size_t aTotal)
{
  const double share = aState.config_->limits_.minServingShare_;
  const auto least =
    static_cast<std::size_t>(std::ceil(share * double(aTotal)));
  // A model with one target can't be changed otherwise.
  return std::min(least, aTotal - 1);
}

bool
IsCandidate(const ModelRollout& aWork, const TargetRollout& aTarget)
{
  return IsServing(aTarget) && aTarget.version_ != aWork.record_.version_;
}

// Asks for slots for the targets that are next.
void
WantSlots(State& aState, const std::string& aModel, ModelRollout& aWork)
{
  if (!IsActive(aState, aWork) || aWork.recordVersion_ == 0) {
    return;
  }
  auto& table = aState.slots_;
  std::size_t serving = 0;
  for (const auto& [name, target] : aWork.targets_) {
    const bool wanted = IsWanted(table.toAcquire_, { name, aModel });
    serving += IsServing(target) && !wanted ? 1 : 0;
  }
  const std::size_t least = MinServing(aState, aWork.targets_.size());
  const std::size_t limit = aState.config_->limits_.maxLoading_;
  for (const auto& [name, target] : aWork.targets_) {
    const Slot slot{ name, aModel };
    const bool full = table.slots_.size() + table.toAcquire_.size() >= limit;
    if (full || serving <= least) {
      return;
    }
    if (IsCandidate(aWork, target) && !IsWanted(table.toAcquire_, slot)) {
      table.toAcquire_.push_back(slot);
      --serving;
    }
  }
}

// Withdraws wishes for slots that are no longer needed.
void
DropWishes(State& aState, const std::string& aModel, const ModelRollout& aWork)
{
  auto& wanted = aState.slots_.toAcquire_;
  const bool active = IsActive(aState, aWork);
  wanted.erase(std::remove_if(wanted.begin(),
                              wanted.end(),
                              [&](const Slot& aSlot) {
                                if (aSlot.model_ != aModel) {
                                  return false;
                                }
                                const auto found =
                                  aWork.targets_.find(aSlot.target_);
                                return !active ||
                                       found == aWork.targets_.end() ||
                                       !IsCandidate(aWork, found->second);
                              }),
               wanted.end());
}

void
RunModel(State& aState,
         const std::string& aModel,
         ModelRollout& aWork,
         absl::Time aNow,
         Effects& aEffects)
{
  SyncTargets(aState, aModel, aWork);
  for (auto& [name, target] : aWork.targets_) {
    ReadIfDue(aState, aModel, name, target, aNow, aEffects);
    if (target.hasSlot_) {
      FollowSlot(aState, aModel, aWork, name, target, aNow, aEffects);
    }
  }
  if (!aState.slots_.commandPending_) {
    DropWishes(aState, aModel, aWork);
    WantSlots(aState, aModel, aWork);
  }
}

// Returns the work of a pending order or read, if it is still this steward's.
TargetRollout*
WorkOf(State& aState, const std::string& aModel, const std::string& aTarget)
{
  const auto model = aState.models_.find(aModel);
  if (model == aState.models_.end()) {
    return nullptr;
  }
  const auto found = model->second.targets_.find(aTarget);
  return found == model->second.targets_.end() ? nullptr : &found->second;
}

void
NoteOrderEnd(State& aState,
             const PendingOrder& aOrder,
             const OrderEnded& aEnd,
             TargetRollout& aTarget,
             absl::Time aNow,
             Effects& aEffects)
{
  aTarget.orderPending_ = false;
  aTarget.effectVisibleAt_ = aNow + aState.settings_.loadReportDelay_;
  aTarget.nextRead_ = aTarget.effectVisibleAt_;
  switch (aEnd.result_) {
    case OrderResult::Accepted:
      aTarget.acceptedVersion_ = aOrder.version_;
      aTarget.acceptedAt_ = aNow;
      return;
    case OrderResult::StaleFence:
      ++aState.counters_.staleOrders_;
      ReleasePartition(aState, PartitionOf(aOrder.model_), aNow, aEffects);
      return;
    case OrderResult::Refused:
      Fail(aState.models_.at(aOrder.model_),
           absl::StrCat(
             "target ", aOrder.target_, " refused its order: ", aEnd.detail_),
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
Fail(ModelRollout& aWork, std::string aReason, Effects& aEffects)
{
  if (!aWork.failure_.empty()) {
    return;
  }
  aEffects.push_back(Log{ absl::StrCat("event=rollout_failed model=",
                                       aWork.record_.model_,
                                       " version=",
                                       aWork.record_.version_,
                                       " reason=\"",
                                       aReason,
                                       "\"") });
  aWork.failure_ = std::move(aReason);
}

void
RunTargets(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (!aState.config_) {
    return;
  }
  for (auto& [model, work] : aState.models_) {
    if (IsOwned(aState, model)) {
      RunModel(aState, model, work, aNow, aEffects);
    }
  }
}

void
TakeTargetRead(State& aState, const TargetRead& aRead, absl::Time aNow)
{
  const auto found = aState.pendingReads_.find(aRead.id_);
  if (found == aState.pendingReads_.end()) {
    return;
  }
  const PendingRead read = found->second;
  aState.pendingReads_.erase(found);
  auto* target = WorkOf(aState, read.model_, read.target_);
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
  const auto& work = aState.models_.at(read.model_);
  target->nextRead_ = aNow + ReadPeriod(aState, work, *target);
}

void
TakeOrderEnd(State& aState,
             const OrderEnded& aEnd,
             absl::Time aNow,
             Effects& aEffects)
{
  const auto found = aState.pendingOrders_.find(aEnd.id_);
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
                      core::NameOf(kOrderResults, aEnd.result_)) });
  auto* target = WorkOf(aState, order.model_, order.target_);
  if (target != nullptr) {
    NoteOrderEnd(aState, order, aEnd, *target, aNow, aEffects);
  }
}

} // namespace lycheeplank::rollout
