#include "lycheeplank/admission.h"

#include <algorithm>
#include <limits>

#include "admission/internal.h"

namespace lycheeplank::admission {

namespace {

constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Minutes(2);

// Returns the estimated work ahead of a new request in its workspace.
absl::Duration
WorkspaceWorkAhead(const WorkspaceState& aWorkspace, const Request& aRequest)
{
  const auto& interactive = aWorkspace.queues_[Index(Priority::Interactive)];
  const auto& own = aWorkspace.queues_[Index(aRequest.priority_)];
  absl::Duration work = aRequest.priority_ == Priority::Batch
                          ? interactive.work_
                          : absl::ZeroDuration();
  const WaitingKey end{ LatestStart(aRequest),
                        std::numeric_limits<std::uint64_t>::max() };
  for (auto at = own.waiting_.begin();
       at != own.waiting_.end() && at->first < end;
       ++at) {
    work += at->second.cost_;
  }
  return work;
}

// Returns the estimated work ahead of a new request in all workspaces.
absl::Duration
TotalWorkAhead(const State& aState, const Request& aRequest)
{
  const absl::Duration interactive = aState.work_[Index(Priority::Interactive)];
  return aRequest.priority_ == Priority::Interactive
           ? interactive
           : interactive + aState.work_[Index(Priority::Batch)];
}

// Returns the number of slots that a workspace gets by its share while all
// active workspaces have waiting requests.
double
FairSlots(const State& aState, const WorkspaceState& aWorkspace)
{
  const double share = aWorkspace.quota_.share_;
  const double others =
    aState.activeShare_ - (aWorkspace.active_ ? share : 0.0);
  return aState.slots_ * share / std::max(share, share + others);
}

// Returns the expected time until a slot is free, from the mean cost of the
// running requests.
absl::Duration
SlotWait(const State& aState)
{
  const std::size_t running = aState.running_.size();
  if (running < aState.slots_) {
    return absl::ZeroDuration();
  }
  const double perSecond = static_cast<double>(running);
  return aState.runningWork_ / perSecond / perSecond;
}

// Returns the expected time until the workspace runs fewer requests than its
// limit.
absl::Duration
WorkspaceSlotWait(const WorkspaceState& aWorkspace, const Request& aRequest)
{
  if (aWorkspace.running_ < aWorkspace.quota_.maxRunning_) {
    return absl::ZeroDuration();
  }
  return aRequest.cost_ / std::max(1.0, double(aWorkspace.running_));
}

// Returns the mean time between two starts of the workspace while all
// workspaces compete for slots.
absl::Duration
StartPeriod(const State& aState, const Request& aRequest)
{
  const auto found = aState.workspaces_.find(aRequest.workspace_);
  if (found == aState.workspaces_.end() || aState.slots_ == 0) {
    return aRequest.cost_;
  }
  const double slots =
    std::min(FairSlots(aState, found->second),
             double(std::max(1U, found->second.quota_.maxRunning_)));
  return aRequest.cost_ * aState.costRatio_ / std::max(slots, 1e-6);
}

// Returns how long the cause of a refusal is expected to last.
absl::Duration
RefusalDuration(const State& aState,
                const Request& aRequest,
                Refusal aRefusal,
                absl::Time aNow)
{
  const auto& workspace = aState.workspaces_.at(aRequest.workspace_);
  switch (aRefusal) {
    case Refusal::RateLimit:
      return absl::Seconds((1.0 - std::min(1.0, workspace.rateLimit_.tokens_)) /
                           workspace.quota_.requestsPerSecond_);
    case Refusal::QueueFull:
    case Refusal::NoCapacity:
      return absl::ZeroDuration();
    case Refusal::DeadlineUnreachable: {
      const absl::Duration slack = LatestStart(aRequest) - aNow;
      return EstimatedWait(aState, aRequest) -
             std::max(slack, absl::ZeroDuration());
    }
    case Refusal::WaitedTooLong:
    case Refusal::DeadlinePassed:
      return EstimatedWait(aState, aRequest);
  }
  return absl::ZeroDuration();
}

} // namespace

Quota
QuotaOf(const config::Workspace& aWorkspace, std::uint32_t aHosts)
{
  const std::uint32_t hosts = std::max(1U, aHosts);
  const auto part = [hosts](std::uint32_t aLimit) {
    return (aLimit + hosts - 1) / hosts;
  };
  return { aWorkspace.share_,
           part(aWorkspace.maxRunning_),
           part(aWorkspace.maxWaiting_),
           aWorkspace.requestsPerSecond_ / hosts };
}

core::ErrorKind
ErrorKindOf(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::DeadlineUnreachable:
    case Refusal::WaitedTooLong:
      return core::ErrorKind::DeadlineUnreachable;
    case Refusal::DeadlinePassed:
      return core::ErrorKind::DeadlineExceeded;
    case Refusal::QueueFull:
      return core::ErrorKind::QueueFull;
    case Refusal::RateLimit:
      return core::ErrorKind::WorkspaceLimit;
    case Refusal::NoCapacity:
      return core::ErrorKind::NoTarget;
  }
  return core::ErrorKind::Internal;
}

absl::Duration
EstimatedWait(const State& aState, const Request& aRequest)
{
  if (aState.slots_ == 0) {
    return absl::InfiniteDuration();
  }
  const absl::Duration all =
    TotalWorkAhead(aState, aRequest) / double(aState.slots_);
  const auto found = aState.workspaces_.find(aRequest.workspace_);
  if (found == aState.workspaces_.end()) {
    return SlotWait(aState) * aState.costRatio_;
  }
  const auto& workspace = found->second;
  const absl::Duration own = WorkspaceWorkAhead(workspace, aRequest);
  const absl::Duration fair =
    own / std::max(FairSlots(aState, workspace), 1e-6);
  const absl::Duration capped =
    own / std::max(1.0, double(workspace.quota_.maxRunning_)) +
    WorkspaceSlotWait(workspace, aRequest);
  const absl::Duration queued = std::max(std::min(all, fair), capped);
  return (SlotWait(aState) + queued) * aState.costRatio_;
}

absl::Duration
RetryAfter(State& aState,
           const Request& aRequest,
           Refusal aRefusal,
           absl::Time aNow)
{
  const absl::Duration lasts =
    RefusalDuration(aState, aRequest, aRefusal, aNow);
  const absl::Duration pace =
    aRefusal == Refusal::RateLimit
      ? absl::Seconds(
          1.0 /
          aState.workspaces_.at(aRequest.workspace_).quota_.requestsPerSecond_)
      : StartPeriod(aState, aRequest);
  auto& nextRetry = aState.workspaces_.at(aRequest.workspace_).nextRetry_;
  nextRetry = std::max(nextRetry, aNow + lasts) + pace;
  if (nextRetry < aNow + kMaxRetryAfter) {
    return std::max(nextRetry - aNow, kMinRetryAfter);
  }
  nextRetry = aNow + kMaxRetryAfter;
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step =
    core::StableHash(aRequest.workspace_, aRequest.id_) % kSteps;
  return kMaxRetryAfter / 2 * (1.0 + double(step) / double(kSteps));
}

} // namespace lycheeplank::admission
