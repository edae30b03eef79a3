#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/clock.h"
#include "gateway/demand.h"

namespace lycheeplank::gateway {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr absl::string_view kRefused = "refused";

} // namespace

Exchange::Exchange(Host& aHost, ServerConnectionPtr aCaller)
  : host_(aHost)
  , caller_(std::move(aCaller))
  , deadlineTimer_(aHost.loop_)
  , silenceTimer_(aHost.loop_)
  , weightsTimer_(aHost.loop_)
  , waitTimer_(aHost.loop_)
  , endTimer_(aHost.loop_)
{
}

absl::Duration
Exchange::TimeLeft() const
{
  return deadline_ - Now();
}

void
Exchange::Start()
{
  host_.openRequests_.insert(this);
  caller_->AllowPauses();
  arrivedAt_ = caller_->ArrivedAt();
  request_ = host_.adapter_.readCaller_(caller_->Head());
  catalog_ = host_.catalog_;
  deadline_ = absl::InfiniteFuture();
  if (!Validate()) {
    return;
  }
  service_ = catalog::PickService(*route_, request_.id_);
  fingerprint_ =
    FingerprintOf(request_,
                  caller_->Head(),
                  caller_->Body(),
                  workspace_ == nullptr ? request_.key_ : workspace_->name_);
  traits_ = TraitsOf(request_, fingerprint_);
  if (route_->repeatPolicy_ == catalog::RepeatPolicy::Stream) {
    events_.ExpectNumbers(request_.lastEventId_, &host_.eventIds_[service_]);
  }
  readDraw_ = std::uniform_real_distribution<>(0.0, 1.0)(host_.random_);
  awayDraw_ = std::uniform_real_distribution<>(0.0, 1.0)(host_.random_);
  deadline_ = arrivedAt_ + route_->timeout_;
  if (request_.callerTimeout_) {
    deadline_ = std::min(deadline_, arrivedAt_ + *request_.callerTimeout_);
  }
  retry_budget::CountRequest(Ledger(), ResendLimits(host_), Now());
  const auto self = shared_from_this();
  caller_->OnGone([self] { self->OnGone(); });
  deadlineTimer_.Set(TimeLeft(), [self] { self->OnDeadline(); });
  if (WaitsByPriority()) {
    fleet::RecordArrival(
      host_.priorityLoads_[service_], Priority(), HeldTokens(), Now());
  }
  TryNextTarget();
}

bool
Exchange::Validate()
{
  if (!CanServe(host_)) {
    Refuse("not_ready", kRetryAfterNoTarget);
    return false;
  }
  if (request_.host_.empty() || caller_->Head().target_.front() != '/') {
    Answer(kBadRequest, "malformed");
    return false;
  }
  route_ =
    catalog::FindRoute(*catalog_, request_.host_, caller_->Head().target_);
  if (route_ == nullptr) {
    Answer(kNotFound, "no_route");
    return false;
  }
  if (!catalog_->workspaces_.empty()) {
    workspace_ = catalog::FindWorkspace(*catalog_, request_.key_);
    if (workspace_ == nullptr && !route_->isPublic_) {
      Answer(kUnauthorized, "unknown_key");
      return false;
    }
  }
  return true;
}

void
Exchange::OnDeadline()
{
  if (!ended_) {
    GiveUp("deadline", kRetryAfterFull);
  }
}

void
Exchange::GiveUp(absl::string_view aReason, absl::Duration aRetryAfter)
{
  if (isEndChecked_) {
    // Nothing shows so far that the target has died.
    EndStream();
    return;
  }
  ++attemptNumber_;
  if (!targetId_.empty()) {
    ReleaseTarget(fleet::CallResult::Abandoned);
  }
  if (answerBegun_) {
    caller_->Abort();
    Close("cut", head_.status_, aReason);
  } else if (history_.runs_ == 0) {
    Refuse(aReason, aRetryAfter);
  } else {
    Answer(kGatewayTimeout, aReason);
  }
}

void
Exchange::OnGone()
{
  if (ended_) {
    return;
  }
  ++attemptNumber_;
  if (!targetId_.empty()) {
    ReleaseTarget(fleet::CallResult::Abandoned);
  }
  Close("caller_gone", 0, answerBegun_ ? "in_answer" : "before_answer");
}

void
Exchange::Refuse(absl::string_view aReason, absl::Duration aRetryAfter)
{
  RefuseUntil(aReason, Jitter(host_, aRetryAfter));
}

void
Exchange::RefuseUntil(absl::string_view aReason, absl::Duration aRetryAfter)
{
  retryAfter_ = aRetryAfter;
  if (!service_.empty()) {
    CountRefusedDemand(host_, service_, static_cast<double>(HeldTokens()));
  }
  caller_->Reply(
    kUnavailable,
    { { "Retry-After", absl::StrCat(absl::ToDoubleSeconds(aRetryAfter)) } },
    "");
  Close(kRefused, kUnavailable, aReason);
}

void
Exchange::Answer(int aStatus, absl::string_view aReason)
{
  caller_->Reply(aStatus, {}, "");
  Close(aStatus >= kServerError ? "failed" : "denied", aStatus, aReason);
}

void
Exchange::Close(absl::string_view aOutcome,
                int aStatus,
                absl::string_view aReason)
{
  if (std::exchange(ended_, true)) {
    return;
  }
  deadlineTimer_.Cancel();
  silenceTimer_.Cancel();
  weightsTimer_.Cancel();
  waitTimer_.Cancel();
  endTimer_.Cancel();
  if (waiterId_ != 0) {
    request_queue::RemoveRequest(host_.waiting_, waiterId_);
    host_.waiters_.erase(std::exchange(waiterId_, 0));
  }
  body_.clear();
  UpdateBufferedBytes();
  host_.openRequests_.erase(this);
  const auto now = Now();
  const auto took = now - arrivedAt_;
  host_.metrics_.Count("requests_total", "outcome", aOutcome);
  host_.metrics_.Observe("request_seconds", took);
  Line line("request");
  line.Text("id", request_.id_)
    .Text("route", route_ == nullptr ? "" : route_->name_)
    .Text("workspace", workspace_ == nullptr ? "" : workspace_->name_)
    .Text("outcome", aOutcome)
    .Text("reason", aReason)
    .Number("status", aStatus)
    .Text("target", targetId_)
    .Text("framing", headAccepted_ ? FramingOf(head_) : "")
    .Number("events", events_.Count())
    .Text("fingerprint", fingerprint_)
    .Number("tries", history_.tries_)
    .Number("sends", history_.sends_)
    .Number("permit_asks", permitAsks_)
    .Age("took_ms", took)
    .Age("first_ms",
         firstByteAt_ == absl::InfinitePast() ? absl::InfiniteDuration()
                                              : firstByteAt_ - arrivedAt_)
    .Age("sent_ms",
         sentAt_ == absl::InfinitePast() ? absl::InfiniteDuration()
                                         : sentAt_ - arrivedAt_)
    .Number("wait_estimate_ms", choice_.waitSeconds_ * 1000.0)
    .Number("backlog_tokens", choice_.backlogTokens_)
    .Number("held_tokens", choice_.heldTokens_)
    .Number("running", choice_.running_)
    .Age("load_age_ms", choice_.loadAge_)
    .Number("candidates", choice_.candidates_)
    .Number("computed_tokens", computedTokens_)
    .Number("read_tokens", readTokens_)
    .Number("weights", attemptWeights_)
    .Number("catalog", catalog_ ? catalog_->version_ : 0)
    .Age("catalog_age_ms", now - host_.catalogAt_);
  if (aOutcome == kRefused && host_.settings_.priorityScheduling_ &&
      route_ != nullptr) {
    CountRefusal(aReason, line);
  }
  host_.log_.Write(line);
}

void
Exchange::CountRefusal(absl::string_view aReason, Line& aLine)
{
  const auto situation = refusal_ ? *refusal_ : Assess();
  host_.metrics_.Count("refusals_total", "reason", aReason);
  host_.metrics_.Count("refusals_by_priority_total",
                       "priority",
                       absl::StrCat(situation.priority_));
  host_.metrics_.Count("refusals_by_data_centre_total",
                       "data_centre",
                       host_.settings_.dataCentre_);
  aLine.Number("priority", situation.priority_)
    .Number("workspace_share", situation.workspaceShare_)
    .Age("expected_wait_ms", situation.expectedWait_)
    .Age("goal_left_ms", situation.goalLeft_)
    .Age("retry_after_ms", retryAfter_)
    .Number("queued", host_.waiting_.entries_.size());
}

} // namespace lycheeplank::gateway
