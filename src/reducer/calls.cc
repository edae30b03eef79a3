#include "reducer/parts.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace lycheeplank::reducer::detail {

namespace {

// A home that can't be reached is replaced by this host, which asks again.
constexpr std::uint32_t kMaxAsks = 2;
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
// Time between two messages that a call still runs.
constexpr absl::Duration kRunningInterval = absl::Seconds(2);

// Returns the host that keeps the claims of a key, by rendezvous hash of its
// shard.
std::string
HomeOf(const State& aState,
       const std::string& aWorkspace,
       const std::string& aKey)
{
  const std::uint32_t shards =
    std::max(1U, aState.config_->limits_.claimShards_);
  const std::string item =
    absl::StrCat("claims/", claims::ShardOf(aWorkspace, aKey, shards));
  std::vector<std::string> names;
  for (const auto& host : aState.live_) {
    names.push_back(host.name_);
  }
  const auto picked = core::RendezvousPick(item, names, 1);
  return picked.empty() ? aState.self_.name_ : picked[0];
}

claims::Ask
MakeAsk(const Context& aContext, const RequestState& aRequest)
{
  claims::Ask ask;
  ask.workspace_ = aRequest.request_.workspace_;
  ask.key_ = aRequest.request_.idempotencyKey_;
  ask.attempt_ = aRequest.claimAttempt_;
  ask.holder_ = aContext.state_.self_.name_;
  ask.requestDigest_ = aRequest.request_.digest_;
  ask.now_ = aContext.now_;
  return ask;
}

claims::Report
MakeReport(const Context& aContext,
           const RequestState& aRequest,
           claims::AttemptOutcome aOutcome)
{
  claims::Report report;
  report.workspace_ = aRequest.request_.workspace_;
  report.key_ = aRequest.request_.idempotencyKey_;
  report.attempt_ = aRequest.claimAttempt_;
  report.outcome_ = aOutcome;
  report.now_ = aContext.now_;
  return report;
}

// Hands a report to the claims of this host; any host may write any shard.
void
ReportHere(Context& aContext, claims::Report aReport, const ClaimTicket& aFor)
{
  aReport.ticket_ = ++aContext.state_.lastTicket_;
  aReport.now_ = aContext.now_;
  aContext.state_.claimTickets_[aReport.ticket_] = aFor;
  StepClaims(aContext, std::move(aReport));
}

// Sends a report to the home of its claim.
void
SendReport(Context& aContext,
           const RequestState& aRequest,
           claims::Report aReport)
{
  if (aRequest.claimHome_ == aContext.state_.self_.name_) {
    ReportHere(aContext, std::move(aReport), { aRequest.request_.id_, 0, 0 });
    return;
  }
  aContext.effects_.emplace_back(ReportOutcome{
    aRequest.request_.id_, aRequest.claimHome_, std::move(aReport) });
}

// Records the outcome of a call; the caller hears of it afterwards.
void
Record(Context& aContext,
       RequestState& aRequest,
       claims::AttemptOutcome aOutcome)
{
  aRequest.phase_ = Phase::Recording;
  claims::Report report = MakeReport(aContext, aRequest, aOutcome);
  report.answer_ = aRequest.answer_;
  AddNote(aContext,
          aRequest.request_,
          "outcome",
          std::string(core::NameOf(claims::kAttemptOutcomes, aOutcome)));
  SendReport(aContext, aRequest, std::move(report));
}

// Answers the caller of a call whose outcome is recorded.
void
TellOutcome(Context& aContext, RequestId aId)
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

core::Error
VerdictError(const claims::Answered& aAnswer)
{
  using core::ErrorKind;
  using core::RunState;
  const absl::Duration wait = aAnswer.retryAfter_;
  switch (aAnswer.verdict_) {
    case claims::Verdict::InProgress:
      return { ErrorKind::InProgress,
               "an earlier request with this key is being run",
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
               "the key stands for another request" };
    case claims::Verdict::Expired:
      return { ErrorKind::IdempotencyKeyExpired,
               "the key's own time is older than the retention" };
    default:
      return { ErrorKind::PlatformUnavailable,
               "the claim could not be made durable",
               "",
               RunState::No,
               std::max(wait, kDefaultRetryAfter) };
  }
}

// Goes on with a call whose claim was granted.
void
RunGranted(Context& aContext, RequestState& aRequest)
{
  if (aContext.now_ >= aRequest.request_.deadline_) {
    WithdrawCall(aContext,
                 aRequest,
                 { core::ErrorKind::DeadlineExceeded,
                   "the deadline passed before the call was sent",
                   "",
                   core::RunState::No,
                   kDefaultRetryAfter });
    return;
  }
  aRequest.phase_ = Phase::Running;
  aContext.state_.claimed_.insert(aRequest.request_.id_);
  aRequest.saidRunning_ = aContext.now_;
  Place(aContext, aRequest, {});
}

// Tries another target with a claim under which nothing was sent.
void
SendElsewhere(Context& aContext,
              RequestState& aRequest,
              const OnceAnswered& aEvent)
{
  Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  admission::CountFailure(pool.health_, aRequest.target_, aContext.now_);
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
    WithdrawCall(aContext,
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
  RunGranted(aContext, aRequest);
}

// Carries the effects of the claims module on.
struct Carrier
{
  Context& context_;

  void operator()(platform::Command& aCommand)
  {
    context_.effects_.emplace_back(
      SendCommand{ Module::Claims, std::move(aCommand) });
  }
  void operator()(claims::Answered& aAnswer)
  {
    const ClaimTicket ticket = Take(aAnswer.ticket_);
    if (ticket.call_ != 0) {
      context_.effects_.emplace_back(
        ReplyClaim{ ticket.call_, std::move(aAnswer) });
      return;
    }
    OnClaimAnswered(
      context_,
      ClaimAnswered{ ticket.request_, ticket.ask_, true, std::move(aAnswer) });
  }
  void operator()(claims::Recorded& aRecorded)
  {
    const ClaimTicket ticket = Take(aRecorded.ticket_);
    if (ticket.call_ != 0) {
      context_.effects_.emplace_back(
        ReplyReport{ ticket.call_, aRecorded.durable_ });
      return;
    }
    TellOutcome(context_, ticket.request_);
  }
  void operator()(claims::Count& aCount)
  {
    AddCount(context_,
             "claims_total",
             "event",
             core::NameOf(claims::kCounters, aCount.counter_));
  }

  ClaimTicket Take(std::uint64_t aTicket)
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
    std::visit(Carrier{ aContext }, effect);
  }
}

void
AskForClaim(Context& aContext, RequestState& aRequest)
{
  State& state = aContext.state_;
  aRequest.phase_ = Phase::Claiming;
  ++aRequest.asks_;
  aRequest.claimAttempt_ =
    absl::StrCat(aRequest.request_.name_, "-", aRequest.asks_);
  aRequest.claimHome_ = aRequest.asks_ == 1
                          ? HomeOf(state,
                                   aRequest.request_.workspace_,
                                   aRequest.request_.idempotencyKey_)
                          : state.self_.name_;
  claims::Ask ask = MakeAsk(aContext, aRequest);
  if (aRequest.claimHome_ != state.self_.name_) {
    aContext.effects_.emplace_back(AskClaim{ aRequest.request_.id_,
                                             aRequest.asks_,
                                             aRequest.claimHome_,
                                             std::move(ask) });
    return;
  }
  ask.ticket_ = ++state.lastTicket_;
  state.claimTickets_[ask.ticket_] = { aRequest.request_.id_,
                                       aRequest.asks_,
                                       0 };
  StepClaims(aContext, std::move(ask));
}

void
WithdrawCall(Context& aContext, RequestState& aRequest, core::Error aError)
{
  // The home has to know at once, so that a repeat there isn't told unknown.
  // The caller need not wait: nothing was sent, whatever is recorded.
  SendReport(aContext,
             aRequest,
             MakeReport(aContext, aRequest, claims::AttemptOutcome::Withdrawn));
  Refuse(aContext, aRequest.request_.id_, std::move(aError));
}

void
GiveUpSentCall(Context& aContext, RequestState& aRequest, core::Error aError)
{
  aRequest.error_ = std::move(aError);
  aRequest.error_->kind_ = core::ErrorKind::OutcomeUnknown;
  aRequest.error_->run_ = core::RunState::Unknown;
  aRequest.error_->retryAfter_ = absl::ZeroDuration();
  Record(aContext, aRequest, claims::AttemptOutcome::Unknown);
}

void
OnClaimAnswered(Context& aContext, const ClaimAnswered& aEvent)
{
  const auto found = aContext.state_.requests_.find(aEvent.id_);
  if (found == aContext.state_.requests_.end() ||
      found->second.phase_ != Phase::Claiming ||
      found->second.asks_ != aEvent.ask_) {
    // An ask that was given up was withdrawn then.
    return;
  }
  RequestState& request = found->second;
  if (!aEvent.reached_) {
    AddCount(aContext, "claim_homes_unreachable_total", "", "");
    ReportHere(aContext,
               MakeReport(aContext, request, claims::AttemptOutcome::Withdrawn),
               {});
    if (request.asks_ < kMaxAsks) {
      AskForClaim(aContext, request);
      return;
    }
    Refuse(aContext, aEvent.id_, VerdictError({}));
    return;
  }
  AddNote(
    aContext,
    request.request_,
    "claim",
    std::string(core::NameOf(claims::kVerdicts, aEvent.answer_.verdict_)));
  switch (aEvent.answer_.verdict_) {
    case claims::Verdict::Granted:
      RunGranted(aContext, request);
      return;
    case claims::Verdict::Done:
      aContext.effects_.emplace_back(
        AnswerCall{ aEvent.id_, aEvent.answer_.answer_ });
      EndRequest(aContext, aEvent.id_);
      return;
    default:
      Refuse(aContext, aEvent.id_, VerdictError(aEvent.answer_));
      return;
  }
}

void
OnOnceAnswered(Context& aContext, const OnceAnswered& aEvent)
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
    SendElsewhere(aContext, request, aEvent);
    return;
  }
  constexpr std::uint32_t kServerError = 500;
  if (aEvent.whole_ && aEvent.answer_.status_ < kServerError) {
    Pool& pool = PoolOf(aContext.state_, request.request_);
    admission::CountAnswer(pool.health_, request.target_, aContext.now_);
    admission::CountSuccess(pool.admission_,
                            request.request_.workspace_,
                            aContext.state_.config_->limits_,
                            aContext.now_);
    request.answer_ = aEvent.answer_;
    Record(aContext, request, claims::AttemptOutcome::Done);
    return;
  }
  GiveUpSentCall(aContext,
                 request,
                 { core::ErrorKind::OutcomeUnknown,
                   absl::StrCat("target ",
                                request.target_,
                                " gave no usable answer",
                                aEvent.detail_.empty() ? "" : ": ",
                                aEvent.detail_) });
}

void
OnReportAnswered(Context& aContext, const ReportAnswered& aEvent)
{
  if (!aEvent.reached_) {
    ReportHere(aContext, aEvent.report_, { aEvent.id_, 0, 0 });
    return;
  }
  if (!aEvent.durable_) {
    // The home goes on trying, but it may end before it succeeds.
    ReportHere(aContext, aEvent.report_, {});
  }
  TellOutcome(aContext, aEvent.id_);
}

void
OnPeerAsksClaim(Context& aContext, const PeerAsksClaim& aEvent)
{
  claims::Ask ask = aEvent.ask_;
  ask.ticket_ = ++aContext.state_.lastTicket_;
  ask.now_ = aContext.now_;
  aContext.state_.claimTickets_[ask.ticket_] = { 0, 0, aEvent.call_ };
  StepClaims(aContext, std::move(ask));
}

void
OnPeerReportsOutcome(Context& aContext, const PeerReportsOutcome& aEvent)
{
  ReportHere(aContext, aEvent.report_, { 0, 0, aEvent.call_ });
}

void
SayWhatRuns(Context& aContext)
{
  State& state = aContext.state_;
  std::vector<SayRunning> due;
  const auto say = [&](const RequestState& aRequest, std::string aHost) {
    due.push_back({ std::move(aHost),
                    { aRequest.request_.workspace_,
                      aRequest.request_.idempotencyKey_,
                      aRequest.claimAttempt_,
                      aContext.now_ } });
  };
  for (const RequestId id : state.claimed_) {
    RequestState& request = state.requests_.at(id);
    if (request.phase_ != Phase::Running ||
        aContext.now_ - request.saidRunning_ < kRunningInterval) {
      continue;
    }
    request.saidRunning_ = aContext.now_;
    say(request, request.claimHome_);
    // Repeats go to the home of now, which may be another one.
    if (std::string home = HomeOf(
          state, request.request_.workspace_, request.request_.idempotencyKey_);
        home != request.claimHome_) {
      say(request, std::move(home));
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
