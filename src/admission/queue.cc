#include "lycheeplank/admission.h"

#include <algorithm>

#include <glog/logging.h>

#include "admission/internal.h"
#include "admission/token-bucket.h"

namespace lycheeplank::admission {

namespace {

// Batch requests are usually promoted to the interactive queue this long before
// their latest start.
constexpr absl::Duration kPromotionLead = absl::Seconds(30);
// Upper limit of the usual promotion lead, as a part of the time from arrival
// to the latest start.
constexpr double kPromotionShare = 0.25;
// The lead is at least the estimated wait multiplied by this factor.
constexpr double kPromotionWaitFactor = 2.0;
// Weight of one finished run in the moving average of the cost ratio.
constexpr double kCostRatioWeight = 0.05;
constexpr double kMinCostRatio = 0.1;
constexpr double kMaxCostRatio = 10.0;
constexpr absl::Duration kMinCost = absl::Milliseconds(1);
// The state of a workspace is dropped this long after its last use.
constexpr absl::Duration kIdleTimeout = absl::Minutes(1);
constexpr absl::Duration kSweepPeriod = absl::Seconds(10);
// The rate limit allows bursts of as many requests as it admits in this time.
constexpr double kBurstSeconds = 1.0;

Queue&
QueueOf(WorkspaceState& aWorkspace, Priority aPriority)
{
  return aWorkspace.queues_[Index(aPriority)];
}

bool
HasWaiting(const WorkspaceState& aWorkspace)
{
  return std::any_of(
    aWorkspace.queues_.begin(),
    aWorkspace.queues_.end(),
    [](const Queue& aQueue) { return !aQueue.waiting_.empty(); });
}

std::size_t
CountWaiting(const WorkspaceState& aWorkspace)
{
  std::size_t count = 0;
  for (const auto& queue : aWorkspace.queues_) {
    count += queue.waiting_.size();
  }
  return count;
}

// Removes a workspace from the ready sets, which are keyed by its virtual
// start. Has to be called before the virtual start changes.
void
RemoveReady(State& aState,
            const std::string& aName,
            const WorkspaceState& aWorkspace)
{
  for (auto& ready : aState.ready_) {
    ready.erase({ aWorkspace.virtualStart_, aName });
  }
}

// Adds a workspace to the ready set of each of its non-empty queues, unless it
// runs as many requests as it may.
void
AddReady(State& aState,
         const std::string& aName,
         const WorkspaceState& aWorkspace)
{
  if (aWorkspace.running_ >= aWorkspace.quota_.maxRunning_) {
    return;
  }
  for (std::size_t i = 0; i < aWorkspace.queues_.size(); ++i) {
    if (!aWorkspace.queues_[i].waiting_.empty()) {
      aState.ready_[i].insert({ aWorkspace.virtualStart_, aName });
    }
  }
}

// Adds the share of a workspace to the sum of active shares, or subtracts it,
// when the workspace becomes active or idle.
void
UpdateActive(State& aState, WorkspaceState& aWorkspace)
{
  const bool active = aWorkspace.running_ > 0 || HasWaiting(aWorkspace);
  if (active == aWorkspace.active_) {
    return;
  }
  aWorkspace.active_ = active;
  const double share = aWorkspace.quota_.share_;
  aState.activeShare_ += active ? share : -share;
}

// Replaces the quota of a workspace. Only the ready sets and the sum of active
// shares depend on it.
void
SetQuota(State& aState,
         const std::string& aName,
         WorkspaceState& aWorkspace,
         const Quota& aQuota)
{
  RemoveReady(aState, aName, aWorkspace);
  if (aWorkspace.active_) {
    aState.activeShare_ += aQuota.share_ - aWorkspace.quota_.share_;
  }
  aWorkspace.quota_ = aQuota;
  AddReady(aState, aName, aWorkspace);
}

// Returns the state of a workspace with its quota updated; creates it if there
// is none.
WorkspaceState&
GetOrCreateWorkspace(State& aState,
                     const Request& aRequest,
                     const Quota& aQuota)
{
  const auto [found, isNew] =
    aState.workspaces_.try_emplace(aRequest.workspace_);
  if (isNew) {
    found->second.rateLimit_.tokens_ =
      std::max(1.0, aQuota.requestsPerSecond_ * kBurstSeconds);
    found->second.retryBudget_ = MakeRetryBudget(kWorkspaceRetries);
    found->second.virtualStart_ = aState.virtualTime_;
  }
  SetQuota(aState, aRequest.workspace_, found->second, aQuota);
  return found->second;
}

// Inserts a request into its queue. A workspace without waiting requests starts
// at the current virtual time or later, so that it can't save up service.
void
InsertWaiting(State& aState,
              WorkspaceState& aWorkspace,
              const QueuePosition& aPosition,
              const Request& aRequest)
{
  RemoveReady(aState, aRequest.workspace_, aWorkspace);
  if (!HasWaiting(aWorkspace)) {
    aWorkspace.virtualStart_ =
      std::max(aWorkspace.virtualStart_, aState.virtualTime_);
  }
  auto& queue = QueueOf(aWorkspace, aPosition.priority_);
  queue.waiting_.emplace(aPosition.key_, aRequest);
  queue.work_ += aRequest.cost_;
  aState.work_[Index(aPosition.priority_)] += aRequest.cost_;
  aState.positions_[aRequest.id_] = aPosition;
  UpdateActive(aState, aWorkspace);
  AddReady(aState, aRequest.workspace_, aWorkspace);
}

// Removes a waiting request from its queue; its position and timers are kept.
Request
ExtractWaiting(State& aState,
               WorkspaceState& aWorkspace,
               const QueuePosition& aPosition)
{
  RemoveReady(aState, aPosition.workspace_, aWorkspace);
  auto& queue = QueueOf(aWorkspace, aPosition.priority_);
  const auto found = queue.waiting_.find(aPosition.key_);
  CHECK(found != queue.waiting_.end());
  Request request = std::move(found->second);
  queue.waiting_.erase(found);
  queue.work_ -= request.cost_;
  aState.work_[Index(aPosition.priority_)] -= request.cost_;
  AddReady(aState, aPosition.workspace_, aWorkspace);
  return request;
}

// Removes a waiting request with its position and timers.
Request
RemoveWaiting(State& aState, std::uint64_t aId)
{
  const auto found = aState.positions_.find(aId);
  CHECK(found != aState.positions_.end());
  const QueuePosition position = found->second;
  aState.positions_.erase(found);
  auto& workspace = aState.workspaces_.at(position.workspace_);
  Request request = ExtractWaiting(aState, workspace, position);
  aState.latestStarts_.erase({ position.key_.latestStart_, aId });
  aState.promotions_.erase({ position.promotion_, aId });
  UpdateActive(aState, workspace);
  return request;
}

// Returns when a batch request is moved to the interactive queue.
absl::Time
PromotionTime(const State& aState, const Request& aRequest, absl::Time aNow)
{
  const absl::Time latestStart = LatestStart(aRequest);
  if (latestStart == absl::InfiniteFuture()) {
    return latestStart;
  }
  const absl::Duration span = latestStart - aNow;
  const absl::Duration usual = std::min(kPromotionLead, span * kPromotionShare);
  const absl::Duration wait =
    EstimatedWait(aState, aRequest) * kPromotionWaitFactor;
  return latestStart - std::min(span, std::max(usual, wait));
}

// Adds a new request to its queue and sets its timers.
void
Enqueue(State& aState,
        WorkspaceState& aWorkspace,
        const Request& aRequest,
        absl::Time aNow)
{
  QueuePosition position{ aRequest.workspace_,
                          aRequest.priority_,
                          { LatestStart(aRequest), aState.nextSequence_++ } };
  aState.latestStarts_.insert({ position.key_.latestStart_, aRequest.id_ });
  if (aRequest.priority_ == Priority::Batch) {
    position.promotion_ = PromotionTime(aState, aRequest, aNow);
    aState.promotions_.insert({ position.promotion_, aRequest.id_ });
  }
  InsertWaiting(aState, aWorkspace, position, aRequest);
  ++aState.counters_.queued_;
}

// Moves batch requests whose promotion is due to the interactive queues.
void
Promote(State& aState, absl::Time aNow)
{
  while (!aState.promotions_.empty() &&
         aState.promotions_.begin()->first <= aNow) {
    const std::uint64_t id = aState.promotions_.begin()->second;
    aState.promotions_.erase(aState.promotions_.begin());
    QueuePosition position = aState.positions_.at(id);
    auto& workspace = aState.workspaces_.at(position.workspace_);
    const Request request = ExtractWaiting(aState, workspace, position);
    position.priority_ = Priority::Interactive;
    position.promotion_ = absl::InfiniteFuture();
    InsertWaiting(aState, workspace, position, request);
    ++aState.counters_.promoted_;
  }
}

// Returns why a request has to be refused, or nothing if it can be queued.
absl::optional<Refusal>
FindRefusal(const State& aState,
            const WorkspaceState& aWorkspace,
            const Request& aRequest,
            absl::Time aNow)
{
  if (aWorkspace.rateLimit_.tokens_ < 1.0) {
    return Refusal::RateLimit;
  }
  if (aState.slots_ == 0) {
    return Refusal::NoCapacity;
  }
  if (CountWaiting(aWorkspace) >= aWorkspace.quota_.maxWaiting_) {
    return Refusal::QueueFull;
  }
  const absl::Duration needed =
    EstimatedWait(aState, aRequest) + aRequest.cost_ * aState.costRatio_;
  if (aNow + needed > aRequest.deadline_) {
    return Refusal::DeadlineUnreachable;
  }
  return absl::nullopt;
}

// Returns the first request of a queue that can still meet its deadline.
absl::optional<std::uint64_t>
FirstStartable(const Queue& aQueue, absl::Time aNow)
{
  const auto found = aQueue.waiting_.lower_bound({ aNow, 0 });
  if (found == aQueue.waiting_.end()) {
    return absl::nullopt;
  }
  return found->second.id_;
}

// Returns the request to start next: from the ready workspace with the least
// service in proportion to its share; interactive requests come first.
absl::optional<std::uint64_t>
PickNext(const State& aState, absl::Time aNow)
{
  for (std::size_t i = 0; i < aState.ready_.size(); ++i) {
    for (const auto& [virtualStart, name] : aState.ready_[i]) {
      const auto& workspace = aState.workspaces_.at(name);
      if (auto id = FirstStartable(workspace.queues_[i], aNow)) {
        return id;
      }
    }
  }
  return absl::nullopt;
}

// Charges service time to a workspace, divided by its share.
void
Charge(State& aState,
       const std::string& aName,
       WorkspaceState& aWorkspace,
       absl::Duration aService)
{
  RemoveReady(aState, aName, aWorkspace);
  aWorkspace.virtualStart_ +=
    absl::ToDoubleSeconds(aService) / aWorkspace.quota_.share_;
  AddReady(aState, aName, aWorkspace);
}

// Updates the ratio of measured to estimated cost with one finished run.
void
UpdateCostRatio(State& aState,
                absl::Duration aEstimated,
                absl::Duration aMeasured)
{
  const double ratio = absl::FDivDuration(aMeasured, aEstimated);
  const double bounded = std::clamp(ratio, kMinCostRatio, kMaxCostRatio);
  aState.costRatio_ += kCostRatioWeight * (bounded - aState.costRatio_);
}

} // namespace

Decision
Admit(State& aState,
      const Request& aRequest,
      const Quota& aQuota,
      absl::Time aNow)
{
  RemoveIdleWorkspaces(aState, aNow);
  Request request = aRequest;
  request.cost_ = std::max(request.cost_, kMinCost);
  auto& workspace = GetOrCreateWorkspace(aState, request, aQuota);
  workspace.lastUsed_ = aNow;
  const double rate = aQuota.requestsPerSecond_;
  Refill(workspace.rateLimit_, rate, std::max(1.0, rate * kBurstSeconds), aNow);
  if (const auto refusal = FindRefusal(aState, workspace, request, aNow)) {
    ++aState.counters_.refusals_[static_cast<std::size_t>(*refusal)];
    const auto retryAfter = RetryAfter(aState, request, *refusal, aNow);
    return { Verdict::Refused, *refusal, retryAfter };
  }
  workspace.rateLimit_.tokens_ -= 1.0;
  Enqueue(aState, workspace, request, aNow);
  return {};
}

absl::optional<Request>
StartNext(State& aState, absl::Time aNow)
{
  if (aState.running_.size() >= aState.slots_) {
    return absl::nullopt;
  }
  Promote(aState, aNow);
  const auto id = PickNext(aState, aNow);
  if (!id) {
    return absl::nullopt;
  }
  const Request request = RemoveWaiting(aState, *id);
  auto& workspace = aState.workspaces_.at(request.workspace_);
  aState.virtualTime_ = std::max(aState.virtualTime_, workspace.virtualStart_);
  RemoveReady(aState, request.workspace_, workspace);
  ++workspace.running_;
  Charge(aState, request.workspace_, workspace, request.cost_);
  UpdateActive(aState, workspace);
  aState.running_[*id] = { request.workspace_, request.cost_, aNow };
  aState.runningWork_ += request.cost_;
  ++aState.counters_.started_;
  return request;
}

void
FinishRequest(State& aState, std::uint64_t aId, absl::Time aNow)
{
  const auto found = aState.running_.find(aId);
  if (found == aState.running_.end()) {
    return;
  }
  const RunningRequest run = found->second;
  aState.running_.erase(found);
  aState.runningWork_ -= run.cost_;
  const absl::Duration measured = aNow - run.started_;
  UpdateCostRatio(aState, run.cost_, measured);
  auto& workspace = aState.workspaces_.at(run.workspace_);
  RemoveReady(aState, run.workspace_, workspace);
  --workspace.running_;
  workspace.lastUsed_ = aNow;
  Charge(aState, run.workspace_, workspace, measured - run.cost_);
  UpdateActive(aState, workspace);
}

bool
Withdraw(State& aState, std::uint64_t aId)
{
  if (aState.positions_.count(aId) == 0) {
    return false;
  }
  RemoveWaiting(aState, aId);
  return true;
}

std::vector<ExpiredRequest>
Expire(State& aState, absl::Time aNow)
{
  std::vector<ExpiredRequest> expired;
  Promote(aState, aNow);
  while (!aState.latestStarts_.empty() &&
         aState.latestStarts_.begin()->first < aNow) {
    Request request =
      RemoveWaiting(aState, aState.latestStarts_.begin()->second);
    const auto refusal = request.deadline_ <= aNow ? Refusal::DeadlinePassed
                                                   : Refusal::WaitedTooLong;
    ++aState.counters_.refusals_[static_cast<std::size_t>(refusal)];
    const auto retryAfter = RetryAfter(aState, request, refusal, aNow);
    expired.push_back({ std::move(request), refusal, retryAfter });
  }
  return expired;
}

absl::Time
NextExpiry(const State& aState)
{
  absl::Time next = absl::InfiniteFuture();
  for (const auto* timers : { &aState.latestStarts_, &aState.promotions_ }) {
    if (!timers->empty()) {
      next = std::min(next, timers->begin()->first);
    }
  }
  return next;
}

void
RemoveIdleWorkspaces(State& aState, absl::Time aNow)
{
  if (aNow < aState.lastSweep_ + kSweepPeriod) {
    return;
  }
  aState.lastSweep_ = aNow;
  absl::erase_if(aState.workspaces_, [&](const auto& aEntry) {
    const auto& workspace = aEntry.second;
    return !workspace.active_ && workspace.lastUsed_ + kIdleTimeout < aNow &&
           workspace.nextRetry_ < aNow;
  });
}

} // namespace lycheeplank::admission
