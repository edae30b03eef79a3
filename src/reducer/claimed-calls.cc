#include "reducer/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace lycheeplank::reducer::detail {

namespace {

// After an unreachable home the second try uses this host as the home.
constexpr std::uint32_t kMaxClaimTries = 2;
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
// Time between two heartbeats of a claim.
constexpr absl::Duration kClaimHeartbeatInterval = absl::Seconds(2);

// Returns the host that keeps the claims of a key, by a rendezvous hash of the
// key's shard over the live hosts.
std::string
ClaimHomeOf(const State& aState,
            const std::string& aWorkspace,
            const std::string& aKey)
{
  const std::uint32_t shards =
    std::max(1U, aState.config_->limits_.claimShards_);
  const std::string item =
    absl::StrCat("claims/", claims::ShardOf(aWorkspace, aKey, shards));
  std::vector<std::string> names;
  for (const auto& host : aState.liveHosts_) {
    names.push_back(host.name_);
  }
  const auto picked = core::RendezvousPick(item, names, 1);
  return picked.empty() ? aState.self_.name_ : picked[0];
}

claims::ClaimRequest
MakeClaimRequest(const Context& aContext, const RequestState& aRequest)
{
  claims::ClaimRequest ask;
  ask.workspace_ = aRequest.request_.workspace_;
  ask.key_ = aRequest.request_.idempotencyKey_;
  ask.attempt_ = aRequest.claimAttemptId_;
  ask.holder_ = aContext.state_.self_.name_;
  ask.requestDigest_ = aRequest.request_.digest_;
  ask.now_ = aContext.now_;
  return ask;
}

claims::OutcomeReport
MakeReport(const Context& aContext,
           const RequestState& aRequest,
           claims::AttemptOutcome aOutcome)
{
  claims::OutcomeReport report;
  report.workspace_ = aRequest.request_.workspace_;
  report.key_ = aRequest.request_.idempotencyKey_;
  report.attempt_ = aRequest.claimAttemptId_;
  report.outcome_ = aOutcome;
  report.now_ = aContext.now_;
  return report;
}

// Reports an outcome to the claims module of this host. That is allowed for
// every key, because any host may write any shard.
void
ReportLocally(Context& aContext,
              claims::OutcomeReport aReport,
              const ClaimTicket& aTicket)
{
  aReport.ticket_ = ++aContext.state_.lastTicket_;
  aReport.now_ = aContext.now_;
  aContext.state_.claimTickets_[aReport.ticket_] = aTicket;
  StepClaims(aContext, std::move(aReport));
}

// Reports an outcome to the home of its claim.
void
SendReport(Context& aContext,
           const RequestState& aRequest,
           claims::OutcomeReport aReport)
{
  if (aRequest.claimHome_ == aContext.state_.self_.name_) {
    ReportLocally(
      aContext, std::move(aReport), { aRequest.request_.id_, 0, 0 });
    return;
  }
  aContext.effects_.emplace_back(ReportOutcome{
    aRequest.request_.id_, aRequest.claimHome_, std::move(aReport) });
}

// Records the outcome of a call. The caller is answered afterwards, in
// AnswerRecordedCall.
void
RecordOutcome(Context& aContext,
              RequestState& aRequest,
              claims::AttemptOutcome aOutcome)
{
  aRequest.phase_ = Phase::Recording;
  claims::OutcomeReport report = MakeReport(aContext, aRequest, aOutcome);
  report.answer_ = aRequest.answer_;
  AddTrace(aContext,
           aRequest.request_,
           "outcome",
           std::string(core::NameOf(claims::kAttemptOutcomes, aOutcome)));
  SendReport(aContext, aRequest, std::move(report));
}

// Answers the caller of a call whose outcome is recorded.
void
AnswerRecordedCall(Context& aContext, RequestId aId)
{
  const auto found = aContext.state_.requests_.find(aId);
  if (found == aContext.state_.requests_.end() ||
      found->second.phase_ != Phase::Recording) {
    return;
  }
  RequestState& request = found->second;
  if (request.error_) {
    Refuse(aContext, aId, *request.error_);
    return;
  }
  aContext.effects_.emplace_back(AnswerCall{ aId, request.answer_ });
  EndRequest(aContext, aId);
}

// Returns the caller's error for a claim that was not granted.
core::Error
ErrorForVerdict(const claims::ClaimResponse& aAnswer)
{
  using core::ErrorKind;
  using core::RunState;
  const absl::Duration wait = aAnswer.retryAfter_;
  switch (aAnswer.verdict_) {
    case claims::Verdict::InProgress:
      return { ErrorKind::InProgress,
               "an earlier request with this key is still running",
               "",
               RunState::Unknown,
               std::max(wait, kDefaultRetryAfter) };
    case claims::Verdict::Unknown:
      return { ErrorKind::OutcomeUnknown,
               "an earlier request with this key may have run",
               "",
               RunState::Unknown,
               wait };
    case claims::Verdict::Mismatch:
      return { ErrorKind::IdempotencyKeyMismatch,
               "the key was used for another request" };
    case claims::Verdict::Expired:
      return { ErrorKind::IdempotencyKeyExpired,
               "the time in the key is older than the retention" };
    default:
      return { ErrorKind::PlatformUnavailable,
               "the claim could not be stored durably",
               "",
               RunState::No,
               std::max(wait, kDefaultRetryAfter) };
  }
}

// Places a call whose claim was granted, or withdraws it after its deadline.
void
RunClaimedCall(Context& aContext, RequestState& aRequest)
{
  if (aContext.now_ >= aRequest.request_.deadline_) {
    AbandonUnsentCall(aContext,
                      aRequest,
                      { core::ErrorKind::DeadlineExceeded,
                        "the deadline passed before the call was sent",
                        "",
                        core::RunState::No,
                        kDefaultRetryAfter });
    return;
  }
  aRequest.phase_ = Phase::Running;
  aContext.state_.claimedRequests_.insert(aRequest.request_.id_);
  aRequest.lastHeartbeat_ = aContext.now_;
  PlaceAttempt(aContext, aRequest, {});
}

// Retries a call at another target under the same claim. The failed attempt was
// never sent.
void
RetryOnOtherTarget(Context& aContext,
                   RequestState& aRequest,
                   const ClaimedCallEnded& aEvent)
{
  Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  admission::RecordFailure(pool.health_, aRequest.target_, aContext.now_);
  const auto verdict =
    admission::TakeRetry(pool.admission_,
                         { aRequest.request_.workspace_,
                           admission::RetryReason::ConnectFailed,
                           aRequest.attempt_,
                           aRequest.request_.deadline_,
                           absl::ZeroDuration() },
                         aContext.state_.config_->limits_,
                         aContext.now_);
  if (verdict != admission::RetryVerdict::Allowed) {
    AbandonUnsentCall(aContext,
                      aRequest,
                      { core::ErrorKind::TargetFailed,
                        absl::StrCat("target ",
                                     aRequest.target_,
                                     " could not be reached: ",
                                     aEvent.detail_),
                        "",
                        core::RunState::No,
                        kDefaultRetryAfter });
    return;
  }
  AddCount(aContext, "retries_total", "reason", "connect_failed");
  aRequest.triedTargets_.push_back(aRequest.target_);
  ++aRequest.attempt_;
  RunClaimedCall(aContext, aRequest);
}

// Forwards the effects of the claims module.
struct EffectForwarder
{
  Context& context_;

  void operator()(platform::Command& aCommand)
  {
    context_.effects_.emplace_back(
      SendCommand{ Module::Claims, std::move(aCommand) });
  }
  void operator()(claims::ClaimResponse& aAnswer)
  {
    const ClaimTicket ticket = TakeTicket(aAnswer.ticket_);
    if (ticket.peerCallId_ != 0) {
      context_.effects_.emplace_back(
        ReplyClaim{ ticket.peerCallId_, std::move(aAnswer) });
      return;
    }
    OnClaimAnswered(
      context_,
      ClaimAnswered{
        ticket.request_, ticket.claimTry_, true, std::move(aAnswer) });
  }
  void operator()(claims::ReportResponse& aRecorded)
  {
    const ClaimTicket ticket = TakeTicket(aRecorded.ticket_);
    if (ticket.peerCallId_ != 0) {
      context_.effects_.emplace_back(
        ReplyOutcomeReport{ ticket.peerCallId_, aRecorded.durable_ });
      return;
    }
    AnswerRecordedCall(context_, ticket.request_);
  }
  void operator()(claims::Count& aCount)
  {
    AddCount(context_,
             "claims_total",
             "event",
             core::NameOf(claims::kCounters, aCount.counter_));
  }

  // Removes a ticket and returns it.
  ClaimTicket TakeTicket(std::uint64_t aTicket)
  {
    auto node = context_.state_.claimTickets_.extract(aTicket);
    return node.empty() ? ClaimTicket{} : node.mapped();
  }
};

} // namespace

void
StepClaims(Context& aContext, const claims::Event& aEvent)
{
  for (auto& effect : claims::Step(aContext.state_.claims_, aEvent)) {
    std::visit(EffectForwarder{ aContext }, effect);
  }
}

void
BeginClaim(Context& aContext, RequestState& aRequest)
{
  State& state = aContext.state_;
  aRequest.phase_ = Phase::Claiming;
  ++aRequest.claimTries_;
  aRequest.claimAttemptId_ =
    absl::StrCat(aRequest.request_.publicId_, "-", aRequest.claimTries_);
  aRequest.claimHome_ = aRequest.claimTries_ == 1
                          ? ClaimHomeOf(state,
                                        aRequest.request_.workspace_,
                                        aRequest.request_.idempotencyKey_)
                          : state.self_.name_;
  claims::ClaimRequest ask = MakeClaimRequest(aContext, aRequest);
  if (aRequest.claimHome_ != state.self_.name_) {
    aContext.effects_.emplace_back(RequestClaim{ aRequest.request_.id_,
                                                 aRequest.claimTries_,
                                                 aRequest.claimHome_,
                                                 std::move(ask) });
    return;
  }
  ask.ticket_ = ++state.lastTicket_;
  state.claimTickets_[ask.ticket_] = { aRequest.request_.id_,
                                       aRequest.claimTries_,
                                       0 };
  StepClaims(aContext, std::move(ask));
}

void
AbandonUnsentCall(Context& aContext, RequestState& aRequest, core::Error aError)
{
  // The withdrawal is reported at once, so that the home doesn't answer a
  // repeat with an unknown outcome. The caller doesn't wait for the recording:
  // the call was never sent, whatever is recorded.
  SendReport(aContext,
             aRequest,
             MakeReport(aContext, aRequest, claims::AttemptOutcome::Withdrawn));
  Refuse(aContext, aRequest.request_.id_, std::move(aError));
}

void
AbandonSentCall(Context& aContext, RequestState& aRequest, core::Error aError)
{
  aRequest.error_ = std::move(aError);
  aRequest.error_->kind_ = core::ErrorKind::OutcomeUnknown;
  aRequest.error_->run_ = core::RunState::Unknown;
  aRequest.error_->retryAfter_ = absl::ZeroDuration();
  RecordOutcome(aContext, aRequest, claims::AttemptOutcome::Unknown);
}

void
OnClaimAnswered(Context& aContext, const ClaimAnswered& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.phase_ != Phase::Claiming ||
      found->second.claimTries_ != aEvent.claimTry_) {
    // The request ended or moved on, and withdrew this claim then.
    return;
  }
  RequestState& request = found->second;
  if (!aEvent.reached_) {
    AddCount(aContext, "claim_homes_unreachable_total", "", "");
    ReportLocally(
      aContext,
      MakeReport(aContext, request, claims::AttemptOutcome::Withdrawn),
      {});
    if (request.claimTries_ < kMaxClaimTries) {
      BeginClaim(aContext, request);
      return;
    }
    Refuse(aContext, aEvent.id_, ErrorForVerdict({}));
    return;
  }
  AddTrace(
    aContext,
    request.request_,
    "claim",
    std::string(core::NameOf(claims::kVerdicts, aEvent.answer_.verdict_)));
  switch (aEvent.answer_.verdict_) {
    case claims::Verdict::Granted:
      RunClaimedCall(aContext, request);
      return;
    case claims::Verdict::Done:
      aContext.effects_.emplace_back(
        AnswerCall{ aEvent.id_, aEvent.answer_.answer_ });
      EndRequest(aContext, aEvent.id_);
      return;
    default:
      Refuse(aContext, aEvent.id_, ErrorForVerdict(aEvent.answer_));
      return;
  }
}

void
OnClaimedCallEnded(Context& aContext, const ClaimedCallEnded& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.phase_ != Phase::Running ||
      found->second.attempt_ != aEvent.attempt_) {
    AddCount(aContext, "late_attempt_ends_total", "", "");
    return;
  }
  RequestState& request = found->second;
  if (aEvent.neverSent_) {
    RetryOnOtherTarget(aContext, request, aEvent);
    return;
  }
  const auto status = static_cast<int>(aEvent.answer_.status_);
  if (aEvent.complete_ && core::IsPassedOn(status)) {
    Pool& pool = PoolOf(aContext.state_, request.request_);
    admission::RecordAnswer(pool.health_, request.target_, aContext.now_);
    admission::RecordSuccess(pool.admission_,
                             request.request_.workspace_,
                             aContext.state_.config_->limits_,
                             aContext.now_);
    request.answer_ = aEvent.answer_;
    RecordOutcome(aContext, request, claims::AttemptOutcome::Done);
    return;
  }
  AbandonSentCall(
    aContext,
    request,
    { core::ErrorKind::OutcomeUnknown,
      absl::StrCat("target ",
                   request.target_,
                   " gave no usable answer: ",
                   aEvent.detail_.empty() ? absl::StrCat("status ", status)
                                          : aEvent.detail_) });
}

void
OnOutcomeReportAnswered(Context& aContext, const OutcomeReportAnswered& aEvent)
{
  if (!aEvent.reached_) {
    ReportLocally(aContext, aEvent.report_, { aEvent.id_, 0, 0 });
    return;
  }
  if (!aEvent.durable_) {
    // The home keeps trying to record the outcome, but it may stop before it
    // succeeds, so this host records it too.
    ReportLocally(aContext, aEvent.report_, {});
  }
  AnswerRecordedCall(aContext, aEvent.id_);
}

void
OnPeerRequestsClaim(Context& aContext, const PeerRequestsClaim& aEvent)
{
  claims::ClaimRequest ask = aEvent.ask_;
  ask.ticket_ = ++aContext.state_.lastTicket_;
  ask.now_ = aContext.now_;
  aContext.state_.claimTickets_[ask.ticket_] = { 0, 0, aEvent.callId_ };
  StepClaims(aContext, std::move(ask));
}

void
OnPeerReportsOutcome(Context& aContext, const PeerReportsOutcome& aEvent)
{
  ReportLocally(aContext, aEvent.report_, { 0, 0, aEvent.callId_ });
}

void
SendClaimHeartbeats(Context& aContext)
{
  State& state = aContext.state_;
  std::vector<SendClaimHeartbeat> due;
  const auto addHeartbeat = [&](const RequestState& aRequest,
                                std::string aHost) {
    due.push_back({ std::move(aHost),
                    { aRequest.request_.workspace_,
                      aRequest.request_.idempotencyKey_,
                      aRequest.claimAttemptId_,
                      aContext.now_ } });
  };
  for (const RequestId id : state.claimedRequests_) {
    RequestState& request = state.requests_.at(id);
    if (request.phase_ != Phase::Running ||
        aContext.now_ - request.lastHeartbeat_ < kClaimHeartbeatInterval) {
      continue;
    }
    request.lastHeartbeat_ = aContext.now_;
    addHeartbeat(request, request.claimHome_);
    // Repeats go to the current home, which may differ from the home that
    // granted the claim.
    if (std::string home = ClaimHomeOf(
          state, request.request_.workspace_, request.request_.idempotencyKey_);
        home != request.claimHome_) {
      addHeartbeat(request, std::move(home));
    }
  }
  for (auto& message : due) {
    if (message.host_ == state.self_.name_) {
      StepClaims(aContext, std::move(message.running_));
    } else {
      aContext.effects_.emplace_back(std::move(message));
    }
  }
}

} // namespace lycheeplank::reducer::detail
