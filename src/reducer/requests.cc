#include "reducer/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace lycheeplank::reducer::detail {

namespace {

// Suggested retry delay when there is no better estimate.
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);

// Returns the estimated time that a request holds a slot.
absl::Duration
EstimateCost(const Pool& aPool, const NewRequest& aRequest)
{
  if (aRequest.kind_ == RequestKind::ServiceCall) {
    return absl::Seconds(aPool.secondsPerRun_);
  }
  // Few runs generate as many tokens as they may, so the cost is at most that
  // of an average run.
  const double longest = aPool.secondsPerToken_ * aRequest.maxTokens_;
  return absl::Seconds(std::min(longest, aPool.secondsPerRun_));
}

admission::Request
MakeAdmissionRequest(const Pool& aPool, const NewRequest& aRequest)
{
  admission::Request request;
  request.id_ = aRequest.id_;
  request.workspace_ = aRequest.workspace_;
  request.priority_ = aRequest.priority_;
  request.deadline_ = aRequest.deadline_;
  request.cost_ = EstimateCost(aPool, aRequest);
  return request;
}

core::Error
RefusalError(admission::Refusal aRefusal, absl::Duration aRetryAfter)
{
  return { admission::ErrorKindOf(aRefusal),
           absl::StrCat("the request was not started: ",
                        core::NameOf(admission::kRefusals, aRefusal)),
           "",
           core::RunState::No,
           std::max(aRetryAfter, absl::Milliseconds(1)) };
}

// Removes the attempt of a request from its target's list and from the
// deadlines.
void
RemoveAttempt(Context& aContext, RequestState& aRequest)
{
  aContext.state_.deadlines_.erase(
    { aRequest.request_.deadline_, aRequest.request_.id_ });
  const auto target = aContext.state_.targets_.find(aRequest.target_);
  if (target == aContext.state_.targets_.end()) {
    return;
  }
  auto& own = target->second.ownAttempts_;
  own.erase(std::remove_if(own.begin(),
                           own.end(),
                           [&](const SentAttempt& aSent) {
                             return aSent.id_ == aRequest.request_.id_;
                           }),
            own.end());
}

// Refuses a request whose model is no longer configured. Returns whether it
// did.
bool
RefuseIfModelRemoved(Context& aContext, const RequestState& aRequest)
{
  if (aContext.state_.config_->models_.count(
        aRequest.request_.modelOrService_) > 0) {
    return false;
  }
  Refuse(aContext,
         aRequest.request_.id_,
         { core::ErrorKind::UnknownModel,
           absl::StrCat("model ",
                        aRequest.request_.modelOrService_,
                        " was removed while the request waited"),
           "",
           RunStateOf(aRequest) });
  return true;
}

// Takes the first step of an attempt: requests the claim of a non-repeatable
// call, locates the blocks of a prompt, or places the attempt directly.
void
BeginAttempt(Context& aContext, RequestState& aRequest)
{
  if (!aRequest.request_.repeatable_) {
    BeginClaim(aContext, aRequest);
    return;
  }
  if (aRequest.request_.kind_ == RequestKind::ServiceCall) {
    PlaceAttempt(aContext, aRequest, {});
    return;
  }
  State& state = aContext.state_;
  if (RefuseIfModelRemoved(aContext, aRequest)) {
    return;
  }
  aRequest.weightVersion_ = ChooseVersion(aContext, aRequest);
  aRequest.chain_ = core::ChainBlocks({ aRequest.request_.workspace_,
                                        aRequest.request_.modelOrService_,
                                        aRequest.weightVersion_,
                                        aRequest.request_.adapter_ },
                                      aRequest.request_.blockHashes_);
  if (aRequest.chain_.empty()) {
    PlaceAttempt(aContext, aRequest, {});
    return;
  }
  const auto homes = directory::Homes(aRequest.chain_[0], state.homeHosts_);
  const bool atHome =
    homes.empty() ||
    std::find(homes.begin(), homes.end(), state.self_.name_) != homes.end();
  if (atHome) {
    const auto holders =
      directory::LocateHolders(state.directory_, aRequest.chain_);
    aRequest.holdings_ = StoreHoldingsOf(holders);
    QueryHoldersAndPlace(aContext, aRequest, holders);
    return;
  }
  aRequest.phase_ = Phase::Locating;
  aContext.effects_.emplace_back(QueryHomes{
    aRequest.request_.id_, aRequest.attempt_, homes, aRequest.chain_ });
}

// Starts the next attempt of a request that has a slot.
void
StartAttempt(Context& aContext, RequestState& aRequest)
{
  ++aRequest.attempt_;
  aRequest.import_.reset();
  aRequest.directoryBlocks_ = 0;
  aRequest.holdings_.reset();
  aRequest.started_ = absl::InfiniteFuture();
  if (!QueryAnyTargets(aContext, aRequest)) {
    BeginAttempt(aContext, aRequest);
  }
}

// Starts the first attempt of a request that left the queue.
void
StartRequest(Context& aContext, const admission::Request& aAdmitted)
{
  const auto found = aContext.state_.requests_.find(aAdmitted.id_);
  CHECK(found != aContext.state_.requests_.end())
    << "request " << aAdmitted.id_ << " left the queue but has no state";
  RequestState& request = found->second;
  request.phase_ = Phase::Running;
  aContext.state_.deadlines_.insert(
    { request.request_.deadline_, aAdmitted.id_ });
  StartAttempt(aContext, request);
}

admission::RetryReason
RetryReasonOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::NeverSent:
      return admission::RetryReason::ConnectFailed;
    case AttemptResult::Refused:
      return admission::RetryReason::TargetRefused;
    case AttemptResult::WrongVersion:
      return admission::RetryReason::WrongVersion;
    default:
      return admission::RetryReason::TargetError;
  }
}

// Returns whether the request can't have run in a failed attempt.
bool
CannotHaveRun(AttemptResult aResult)
{
  return aResult == AttemptResult::NeverSent ||
         aResult == AttemptResult::Refused ||
         aResult == AttemptResult::WrongVersion;
}

core::Error
FailureError(const RequestState& aRequest, const AttemptEnded& aEvent)
{
  return { core::ErrorKind::TargetFailed,
           absl::StrCat("target ",
                        aRequest.target_,
                        ": ",
                        core::NameOf(kAttemptResults, aEvent.result_),
                        aEvent.detail_.empty() ? "" : ", ",
                        aEvent.detail_),
           "",
           CannotHaveRun(aEvent.result_) ? RunStateOf(aRequest)
                                         : core::RunState::Unknown,
           kDefaultRetryAfter };
}

// Retries a failed attempt if that is safe and the retry budgets allow it.
// Returns whether it did.
bool
RetryAttempt(Context& aContext,
             RequestState& aRequest,
             const AttemptEnded& aEvent)
{
  const bool safe = aRequest.request_.repeatable_ &&
                    aEvent.result_ != AttemptResult::BrokenMidway;
  if (!safe) {
    return false;
  }
  Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  const admission::RetryReason reason = RetryReasonOf(aEvent.result_);
  const admission::RetryVerdict verdict =
    admission::TakeRetry(pool.admission_,
                         { aRequest.request_.workspace_,
                           reason,
                           aRequest.attempt_,
                           aRequest.request_.deadline_,
                           EstimateCost(pool, aRequest.request_) },
                         aContext.state_.config_->limits_,
                         aContext.now_);
  AddCount(aContext,
           "retry_verdicts_total",
           "verdict",
           core::NameOf(admission::kRetryVerdicts, verdict));
  if (verdict != admission::RetryVerdict::Allowed) {
    return false;
  }
  AddCount(aContext,
           "retries_total",
           "reason",
           core::NameOf(admission::kRetryReasons, reason));
  RemoveAttempt(aContext, aRequest);
  aContext.state_.deadlines_.insert(
    { aRequest.request_.deadline_, aRequest.request_.id_ });
  aRequest.triedTargets_.push_back(aRequest.target_);
  aRequest.mayHaveRun_ |= !CannotHaveRun(aEvent.result_);
  StartAttempt(aContext, aRequest);
  return true;
}

// Ends a request that holds a slot and whose deadline has passed.
void
ExpireRunning(Context& aContext, RequestState& aRequest)
{
  const bool sent = aRequest.phase_ == Phase::Running;
  core::Error error{ core::ErrorKind::DeadlineExceeded,
                     "the deadline passed before the answer was complete",
                     "",
                     sent ? core::RunState::Unknown : RunStateOf(aRequest),
                     kDefaultRetryAfter };
  if (aRequest.phase_ == Phase::Recording) {
    return;
  }
  if (sent) {
    aContext.effects_.emplace_back(
      CancelAttempt{ aRequest.request_.id_, aRequest.attempt_ });
  }
  const bool claimed = aRequest.claimTries_ > 0;
  if (aRequest.request_.repeatable_ || !claimed) {
    Refuse(aContext, aRequest.request_.id_, std::move(error));
  } else if (sent) {
    AbandonSentCall(aContext, aRequest, std::move(error));
  } else {
    AbandonUnsentCall(aContext, aRequest, std::move(error));
  }
}

} // namespace

void
EndRequest(Context& aContext, RequestId aId)
{
  aContext.state_.claimedRequests_.erase(aId);
  auto node = aContext.state_.requests_.extract(aId);
  if (node.empty()) {
    return;
  }
  RequestState& request = node.mapped();
  Pool& pool = PoolOf(aContext.state_, request.request_);
  if (request.phase_ == Phase::Waiting) {
    admission::Withdraw(pool.admission_, aId);
  } else {
    RemoveAttempt(aContext, request);
    admission::FinishRequest(pool.admission_, aId, aContext.now_);
  }
  UpdateSlots(aContext, pool);
  aContext.poolsToStart_.push_back(&pool);
}

void
OnArrived(Context& aContext, const NewRequest& aRequest)
{
  State& state = aContext.state_;
  const auto found =
    state.pools_.find({ aRequest.kind_, aRequest.modelOrService_ });
  RequestState& request = state.requests_[aRequest.id_];
  request.request_ = aRequest;
  request.arrived_ = aContext.now_;
  if (found == state.pools_.end() || found->second.targets_.empty()) {
    state.requests_.erase(aRequest.id_);
    aContext.effects_.emplace_back(reducer::Refuse{
      aRequest.id_,
      { core::ErrorKind::NoTarget,
        absl::StrCat("no target serves ", aRequest.modelOrService_),
        "",
        core::RunState::No,
        kDefaultRetryAfter } });
    return;
  }
  Pool& pool = found->second;
  request.admissionRequest_ = MakeAdmissionRequest(pool, aRequest);
  const auto workspace = state.config_->workspaces_.find(aRequest.workspace_);
  const auto hosts = static_cast<std::uint32_t>(
    std::max<std::size_t>(1, state.liveHosts_.size()));
  const admission::Quota quota =
    workspace == state.config_->workspaces_.end()
      ? admission::Quota{}
      : admission::QuotaOf(workspace->second, hosts);
  const admission::Decision decision = admission::Admit(
    pool.admission_, request.admissionRequest_, quota, aContext.now_);
  if (decision.verdict_ == admission::Verdict::Refused) {
    state.requests_.erase(aRequest.id_);
    AddCount(aContext,
             "admission_refusals_total",
             "reason",
             core::NameOf(admission::kRefusals, decision.refusal_));
    aContext.effects_.emplace_back(reducer::Refuse{
      aRequest.id_, RefusalError(decision.refusal_, decision.retryAfter_) });
    return;
  }
  aContext.poolsToStart_.push_back(&pool);
}

void
StartWaitingRequests(Context& aContext)
{
  while (!aContext.poolsToStart_.empty()) {
    Pool& pool = *aContext.poolsToStart_.back();
    aContext.poolsToStart_.pop_back();
    while (const auto next =
             admission::StartNext(pool.admission_, aContext.now_)) {
      StartRequest(aContext, *next);
      UpdateSlots(aContext, pool);
    }
  }
}

void
OnCallerDisconnected(Context& aContext, RequestId aId)
{
  const auto found = aContext.state_.requests_.find(aId);
  if (found == aContext.state_.requests_.end()) {
    return;
  }
  const RequestState& request = found->second;
  // A non-repeatable call continues, so that its outcome gets recorded.
  if (!request.request_.repeatable_) {
    return;
  }
  AddCount(aContext, "callers_gone_total", "", "");
  AddTrace(aContext, request.request_, "caller_gone", "");
  if (request.phase_ == Phase::Running) {
    aContext.effects_.emplace_back(CancelAttempt{ aId, request.attempt_ });
  }
  aContext.effects_.emplace_back(ForgetRequest{ aId });
  EndRequest(aContext, aId);
}

void
OnAttemptStarted(Context& aContext, const AttemptStarted& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.attempt_ != aEvent.attempt_) {
    return;
  }
  RequestState& request = found->second;
  request.started_ = aContext.now_;
  request.cachedBlocks_ = aEvent.cachedBlocks_;
  CHECK(request.request_.kind_ != RequestKind::Completion ||
        aEvent.weightVersion_ == request.weightVersion_)
    << "request " << request.request_.publicId_
    << " runs under another weight version";
  AddTrace(aContext,
           request.request_,
           "started",
           absl::StrCat("target=",
                        request.target_,
                        " weight_version=",
                        aEvent.weightVersion_,
                        " cached_blocks=",
                        aEvent.cachedBlocks_,
                        " imported_blocks=",
                        aEvent.importedBlocks_));
  if (!request.chain_.empty()) {
    ReportRunBlocks(aContext, request, aEvent);
  }
}

void
OnAttemptEnded(Context& aContext, const AttemptEnded& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.attempt_ != aEvent.attempt_) {
    AddCount(aContext, "late_attempt_ends_total", "", "");
    return;
  }
  RequestState& request = found->second;
  AddTrace(aContext,
           request.request_,
           "attempt_ended",
           absl::StrCat("target=",
                        request.target_,
                        " result=",
                        core::NameOf(kAttemptResults, aEvent.result_),
                        aEvent.detail_.empty() ? "" : " detail=",
                        aEvent.detail_));
  if (aEvent.result_ == AttemptResult::Completed) {
    RecordCompletion(aContext, request, aEvent);
    EndRequest(aContext, aEvent.id_);
    return;
  }
  Pool& pool = PoolOf(aContext.state_, request.request_);
  if (aEvent.result_ == AttemptResult::WrongVersion) {
    // The target is healthy; only the recorded weight version was out of date.
    const auto target = aContext.state_.targets_.find(request.target_);
    if (target != aContext.state_.targets_.end()) {
      target->second.weightVersion_ = aEvent.weightVersion_;
    }
  } else if (admission::RecordFailure(
               pool.health_, request.target_, aContext.now_)) {
    AddCount(aContext, "targets_put_aside_total", "target", request.target_);
  }
  if (!RetryAttempt(aContext, request, aEvent)) {
    Refuse(aContext, aEvent.id_, FailureError(request, aEvent));
  }
}

void
OnHoldersLocated(Context& aContext, const HoldersLocated& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.attempt_ != aEvent.attempt_ ||
      found->second.phase_ != Phase::Locating) {
    return;
  }
  found->second.phase_ = Phase::Running;
  if (aEvent.homeAnswered_) {
    found->second.holdings_ = StoreHoldingsOf(aEvent.holders_);
  }
  if (!RefuseIfModelRemoved(aContext, found->second)) {
    QueryHoldersAndPlace(aContext, found->second, aEvent.holders_);
  }
}

void
OnLoadsCollected(Context& aContext, const LoadsCollected& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.attempt_ != aEvent.attempt_ ||
      found->second.phase_ != Phase::QueryingLoads) {
    return;
  }
  RequestState& request = found->second;
  RecordUnansweredQueries(aContext, request);
  if (request.request_.deadline_ <= aContext.now_) {
    // The next tick answers the request with a deadline error.
    return;
  }
  request.phase_ = Phase::Running;
  if (request.beginsAfterQuery_) {
    request.beginsAfterQuery_ = false;
    BeginAttempt(aContext, request);
  } else if (!RefuseIfModelRemoved(aContext, request)) {
    PlaceAttempt(aContext, request, request.holders_);
  }
}

void
ExpireRequests(Context& aContext)
{
  State& state = aContext.state_;
  for (auto& [key, pool] : state.pools_) {
    for (const auto& expired :
         admission::Expire(pool.admission_, aContext.now_)) {
      AddCount(aContext,
               "admission_refusals_total",
               "reason",
               core::NameOf(admission::kRefusals, expired.refusal_));
      state.requests_.erase(expired.request_.id_);
      aContext.effects_.emplace_back(
        reducer::Refuse{ expired.request_.id_,
                         RefusalError(expired.refusal_, expired.retryAfter_) });
    }
    UpdateSlots(aContext, pool);
    aContext.poolsToStart_.push_back(&pool);
  }
  while (!state.deadlines_.empty() &&
         state.deadlines_.begin()->first <= aContext.now_) {
    const RequestId id = state.deadlines_.begin()->second;
    state.deadlines_.erase(state.deadlines_.begin());
    ExpireRunning(aContext, state.requests_.at(id));
  }
}

core::RunState
RunStateOf(const RequestState& aRequest)
{
  return aRequest.mayHaveRun_ ? core::RunState::Unknown : core::RunState::No;
}

void
Refuse(Context& aContext, RequestId aId, core::Error aError)
{
  aContext.effects_.emplace_back(reducer::Refuse{ aId, std::move(aError) });
  EndRequest(aContext, aId);
}

} // namespace lycheeplank::reducer::detail
