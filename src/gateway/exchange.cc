#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kServerError = 500;

// A connection to a target is made in a round trip; a target that takes longer
// doesn't answer.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
// A request that may run once goes only on connections that were in use
// lately: one that the target closed meanwhile would leave its fate unknown.
constexpr absl::Duration kOnceIdle = absl::Milliseconds(500);
// Others find a closed connection out by trying.
constexpr absl::Duration kRepeatableIdle = absl::Seconds(10);
// An answer that isn't a stream is held back up to this size until it is
// whole, so that another target can make up for a cut one.
constexpr std::size_t kHeldBytes = 256U << 10U;
// Bytes that wait for a slow caller before its target is held back.
constexpr std::size_t kMostUnsent = 256U << 10U;
// Part of a route's goal that reading a prompt from cache stores may take. What
// isn't read by then is thrown away and computed, which mostly meets the goal.
constexpr double kReadShareOfGoal = 0.7;
// Bytes of the heads of a request and its answer and of a short body.
constexpr std::uint64_t kCallBytes = 1500;
// Answer bytes a token, for the cost of crossing a boundary.
constexpr std::uint64_t kBytesPerOutputToken = 100;
// Pauses after which a refused caller finds a place: the time in which one
// running request ends, and in which a failed target is replaced.
constexpr absl::Duration kPauseFull = absl::Milliseconds(200);
constexpr absl::Duration kPauseNoTarget = absl::Milliseconds(500);
// Requests that have missed their goals are placed as if so much were left.
constexpr absl::Duration kLeastGoal = absl::Milliseconds(100);
// A prompt that starts to be read takes about this long to its first event.
constexpr absl::Duration kStartMargin = absl::Milliseconds(300);
// A refused caller that another host can serve comes back at once.
constexpr absl::Duration kPauseElsewhere = absl::Milliseconds(20);
// After its stop signal a host takes any request for so long: callers may still
// hold a list that names it. Later ones only if they surely end in time.
constexpr absl::Duration kStoppingTime = absl::Milliseconds(2900);
constexpr absl::Duration kStopMargin = absl::Milliseconds(600);
// Requests don't begin on old weights in the last part of the time allowed.
constexpr absl::Duration kWeightsMargin = absl::Milliseconds(1500);

bool
IsEventStream(const http::ResponseHead& aHead)
{
  const auto* type = http::FindField(aHead.fields_, "content-type");
  return type != nullptr &&
         absl::StartsWithIgnoreCase(*type, "text/event-stream");
}

http::Fields
PassedOn(const http::ResponseHead& aHead)
{
  http::Fields fields;
  for (const auto& field : aHead.fields_) {
    if (!http::IsHopField(aHead.fields_, field.name_) &&
        !absl::EqualsIgnoreCase(field.name_, "content-length")) {
      fields.push_back(field);
    }
  }
  return fields;
}

} // namespace

Exchange::Exchange(Host& aHost, ServerConnectionPtr aCaller)
  : host_(aHost)
  , caller_(std::move(aCaller))
  , deadlineTimer_(aHost.loop_)
  , silenceTimer_(aHost.loop_)
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
  ++host_.requestsOpen_;
  arrivedAt_ = caller_->ArrivedAt();
  request_ = host_.adapter_.readCaller_(caller_->Head());
  catalog_ = host_.catalog_;
  deadline_ = absl::InfiniteFuture();
  if (!Check()) {
    return;
  }
  service_ = catalog::PickService(*route_, request_.id_);
  readDraw_ = std::uniform_real_distribution<>(0.0, 1.0)(host_.random_);
  deadline_ = arrivedAt_ + route_->timeout_;
  if (request_.patience_) {
    deadline_ = std::min(deadline_, arrivedAt_ + *request_.patience_);
  }
  budget::CountRequest(Ledger(), ResendLimits(host_), Now());
  const auto self = shared_from_this();
  caller_->OnGone([self] { self->OnGone(); });
  deadlineTimer_.Set(TimeLeft(), [self] { self->OnDeadline(); });
  Try();
}

bool
Exchange::Check()
{
  if (!CanServe(host_)) {
    Refuse("not_ready", kPauseNoTarget);
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
  if (host_.stopping_ && !EndsBeforeStop()) {
    Refuse("stopping", kPauseElsewhere);
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

bool
Exchange::EndsBeforeStop() const
{
  const auto age = arrivedAt_ - host_.stoppedAt_;
  return age < kStoppingTime ||
         age + route_->timeout_ < host_.settings_.graceTime_ - kStopMargin;
}

fleet::Choice
Exchange::ChooseTarget()
{
  const auto now = Now();
  fleet::Question question;
  question.service_ = service_;
  question.dataCentre_ = host_.settings_.dataCentre_;
  question.tried_ = &tried_;
  question.seed_ = host_.random_();
  if (const auto service = catalog_->services_.find(service_);
      service != catalog_->services_.end()) {
    question.memoryTokens_ = service->second.memoryTokens_;
  }
  question.goal_ = std::max(kLeastGoal, arrivedAt_ + route_->goal_ - now);
  question.isUrgent_ = IsUrgent();
  question.heldTokens_ = request_.promptTokens_ + request_.outputTokens_;
  question.bytes_ = kCallBytes + caller_->Body().size() +
                    kBytesPerOutputToken * request_.outputTokens_;
  if (!request_.model_.empty()) {
    question.model_ = request_.model_;
    const auto& named = host_.weights_[request_.model_];
    question.weights_ = named.version_;
    question.weightsAge_ = now - named.learnedAt_;
    question.oldWeightsLimit_ = host_.settings_.weightsTime_ - kWeightsMargin;
    if (request_.parts_.size() > 1) {
      question.affinity_ = request_.parts_[request_.parts_.size() - 2].id_;
    }
    for (const auto version :
         fleet::VersionsOf(host_.members_, service_, request_.model_)) {
      const auto plan = PlanParts(version, host_.settings_.dataCentre_);
      question.costs_.push_back(
        { version, ComputedTokens(plan), plan.readTokens_ });
    }
  }
  auto choice =
    fleet::Choose(host_.members_, question, fleet::EngineSpeed(), now);
  if (!choice.id_.empty()) {
    const auto cost = fleet::CostAt(host_.members_.at(choice.id_), question);
    computedTokens_ = cost.computedTokens_;
    readTokens_ = cost.readTokens_;
  }
  return choice;
}

kept::Plan
Exchange::PlanParts(std::uint64_t aWeights, absl::string_view aDataCentre)
{
  if (request_.parts_.size() < 2) {
    return {};
  }
  const std::vector<kept::Part> shared(request_.parts_.begin(),
                                       request_.parts_.end() - 1);
  return kept::PlanParts(host_.kept_,
                         kept::ScopeOf(workspace_, request_.model_, aWeights),
                         shared,
                         aDataCentre,
                         readDraw_,
                         Now());
}

std::uint64_t
Exchange::ComputedTokens(const kept::Plan& aPlan) const
{
  return request_.promptTokens_ -
         std::min<std::uint64_t>(request_.promptTokens_, aPlan.readTokens_);
}

void
Exchange::Try()
{
  choice_ = ChooseTarget();
  if (choice_.id_.empty()) {
    if (begun_) {
      caller_->Abort();
      Close("cut", head_.status_, "no_other_target");
    } else if (history_.runs_ > 0) {
      Answer(kBadGateway, "no_other_target");
    } else {
      Refuse("no_target", kPauseNoTarget);
    }
    return;
  }
  if (absl::Seconds(choice_.waitSeconds_) > TimeLeft() && history_.runs_ == 0) {
    Refuse("deadline_unreachable", kPauseFull);
    return;
  }
  if (choice_.memoryFull_ && history_.tries_ == 0) {
    Wait();
    return;
  }
  if (waiter_ != 0) {
    waiting::Start(host_.waiting_, waiter_, Now());
    host_.waiters_.erase(std::exchange(waiter_, 0));
  }
  ++history_.tries_;
  ++attempt_;
  targetId_ = choice_.id_;
  tried_.push_back(targetId_);
  auto& member = host_.members_.at(targetId_);
  size_ = { computedTokens_,
            request_.promptTokens_ + request_.outputTokens_,
            IsUrgent() };
  fleet::CountSent(member, size_, Now());
  host_.onLoad_();
  headTaken_ = false;
  isEvents_ = false;
  const bool once = !catalog::MayRepeat(*route_);
  if (auto kept =
        host_.targets_.Take(targetId_, once ? kOnceIdle : kRepeatableIdle)) {
    Send(std::move(kept));
    return;
  }
  host_.targets_.Connect(
    targetId_,
    member.target_.address_,
    std::min(kConnectTimeout, TimeLeft()),
    [self = shared_from_this(), attempt = attempt_](ConnectionPtr aConnection) {
      if (self->ended_ || self->attempt_ != attempt) {
        if (aConnection) {
          aConnection->Close();
        }
        return;
      }
      if (!aConnection) {
        self->EndAttempt(attempts::End::NotSent);
        return;
      }
      self->Send(std::move(aConnection));
    });
}

std::uint32_t
Exchange::Priority() const
{
  return workspace_ != nullptr && workspace_->priority_ ? *workspace_->priority_
                                                        : route_->priority_;
}

bool
Exchange::IsUrgent() const
{
  return Priority() == 0;
}

void
Exchange::Wait()
{
  if (waiter_ != 0) {
    return;
  }
  const auto now = Now();
  const auto leavesAt =
    std::min(deadline_, arrivedAt_ + route_->longestGap_) - kStartMargin;
  const auto id = host_.nextWaiter_++;
  if (const auto pause = waiting::Add(
        host_.waiting_,
        { id, arrivedAt_, arrivedAt_ + route_->goal_ - kStartMargin, leavesAt },
        now)) {
    Refuse("queue_full", std::max(*pause, kPauseFull));
    return;
  }
  waiter_ = id;
  host_.waiters_[id] = [self = shared_from_this()](bool aExpired) {
    if (aExpired) {
      self->waiter_ = 0;
      self->Refuse("waited_too_long", kPauseFull);
    } else {
      self->Try();
    }
  };
}

Attempt
Exchange::MakeAttempt(const fleet::Member& aMember)
{
  const auto now = Now();
  Attempt attempt;
  attempt.targetId_ = aMember.target_.id_;
  attempt.workspace_ = workspace_ == nullptr ? "" : workspace_->name_;
  attempt.timeLeft_ = TimeLeft();
  attempt.priority_ = Priority();
  attempt.lastEventId_ = events_.Count() > 0 ? events_.LastId() : "";
  attemptWeights_ = 0;
  attemptParts_.clear();
  const auto weights = aMember.target_.weights_.find(request_.model_);
  if (request_.model_.empty() || weights == aMember.target_.weights_.end()) {
    return attempt;
  }
  attemptWeights_ = weights->second;
  attempt.weights_ = weights->second;
  attempt.cacheScope_ =
    kept::ScopeOf(workspace_, request_.model_, weights->second);
  attempt.parts_ =
    PlanParts(weights->second, aMember.target_.dataCentre_).parts_;
  attempt.readUntilMs_ = kept::ClockMs(host_.kept_, now + ReadTime());
  attemptParts_ = attempt.parts_;
  return attempt;
}

absl::Duration
Exchange::ReadTime() const
{
  return kReadShareOfGoal * route_->goal_;
}

void
Exchange::NoteReads(absl::Duration aTook)
{
  const auto delay = aTook - absl::Seconds(choice_.waitSeconds_);
  std::vector<std::string> noted;
  for (const auto& part : attemptParts_) {
    const auto& store = part.readFrom_;
    if (!store.empty() &&
        std::find(noted.begin(), noted.end(), store) == noted.end()) {
      noted.push_back(store);
      const auto* state = kept::NoteRead(host_.kept_, store, delay);
      if (state != nullptr && state->readShare_ < 1.0 - kept::kInTimeStep) {
        host_.metrics_.Count(
          "slow_reads_total", "store", state->settings_.name_);
        host_.log_.Write(Line("cache_store_slow")
                           .Text("id", request_.id_)
                           .Text("store", state->settings_.name_)
                           .Age("delay_ms", delay)
                           .Number("mean_delay_ms", state->readDelay_ * 1000.0)
                           .Number("read_share", state->readShare_));
      }
    }
  }
}

void
Exchange::Send(ConnectionPtr aConnection)
{
  connection_ = std::move(aConnection);
  const auto found = host_.members_.find(targetId_);
  if (found == host_.members_.end() ||
      found->second.target_.state_ != fleet::TargetState::Ready) {
    // It left while the connection was made.
    EndAttempt(attempts::End::NotSent);
    return;
  }
  ++history_.sends_;
  ++history_.runs_;
  sentAt_ = Now();
  firstByteAt_ = absl::InfinitePast();
  auto fields =
    host_.adapter_.targetFields_(caller_->Head(), MakeAttempt(found->second));
  const auto& head = caller_->Head();
  const auto& body = caller_->Body();
  if (!body.empty() || http::FindField(head.fields_, "content-length") ||
      http::FindField(head.fields_, "transfer-encoding")) {
    fields.push_back({ "Content-Length", absl::StrCat(body.size()) });
  }
  std::string bytes =
    http::WriteRequestHead(head.method_, head.target_, fields);
  bytes += body;
  const auto self = shared_from_this();
  const auto attempt = attempt_;
  const auto current = [self, attempt] {
    return !self->ended_ && self->attempt_ == attempt;
  };
  connection_->Start(bytes,
                     head.method_ == "HEAD",
                     { [self, current](const http::ResponseHead& aHead) {
                        return current() && self->OnHead(aHead);
                      },
                       [self, current](std::string& aBody) {
                         if (current()) {
                           self->OnBody(aBody);
                         }
                       },
                       [self, current](CallEnd aEnd) {
                         if (current()) {
                           self->OnEnd(aEnd);
                         }
                       } });
  if (const auto limit = attempts::SilenceLimit(*route_, history_);
      limit != absl::InfiniteDuration()) {
    WatchSilence(limit + absl::Seconds(choice_.waitSeconds_));
  }
}

void
Exchange::WatchSilence(absl::Duration aLimit)
{
  silenceTimer_.Set(aLimit, [self = shared_from_this(), attempt = attempt_] {
    if (!self->ended_ && self->attempt_ == attempt) {
      self->OnSilence();
    }
  });
}

bool
Exchange::OnHead(const http::ResponseHead& aHead)
{
  auto answer = host_.adapter_.readAnswer_(aHead);
  if (!answer.requestId_.empty() && answer.requestId_ != request_.id_) {
    host_.metrics_.Count("foreign_answers_total");
    host_.log_.Write(Line("foreign_answer")
                       .Text("id", request_.id_)
                       .Text("answer_id", answer.requestId_)
                       .Text("target", targetId_));
    return false;
  }
  answer_ = std::move(answer);
  head_ = aHead;
  headTaken_ = true;
  silenceTimer_.Cancel();
  body_.clear();
  const auto now = Now();
  const auto found = host_.members_.find(targetId_);
  if (found != host_.members_.end()) {
    auto& member = found->second;
    if (answer_.load_) {
      member.load_ = *answer_.load_;
      member.loadAt_ = now;
    }
    if (answer_.weights_ && !request_.model_.empty()) {
      member.target_.weights_[request_.model_] = *answer_.weights_;
    }
  }
  // A stream that goes on at another target keeps its first head.
  isEvents_ = aHead.status_ / 100 == 2 && IsEventStream(aHead);
  if (!isEvents_) {
    firstByteAt_ = now;
  }
  return true;
}

void
Exchange::OnBody(std::string& aBody)
{
  if (isEvents_) {
    Relay(aBody);
    return;
  }
  if (begun_ && events_.Count() > 0) {
    // The target where a stream was to go on has refused it.
    aBody.clear();
    return;
  }
  body_ += aBody;
  aBody.clear();
  if (begun_) {
    caller_->Write(body_);
    body_.clear();
  } else if (body_.size() > kHeldBytes && head_.status_ / 100 == 2) {
    BeginAnswer();
    caller_->Write(body_);
    body_.clear();
  }
}

void
Exchange::BeginAnswer()
{
  begun_ = true;
  caller_->Begin(head_.status_,
                 head_.reason_,
                 PassedOn(head_),
                 isEvents_ ? absl::nullopt : head_.length_);
  caller_->OnDrained([self = shared_from_this()] {
    if (self->paused_ && self->connection_) {
      self->paused_ = false;
      self->connection_->SetReading(true);
    }
  });
}

void
Exchange::Relay(std::string& aBody)
{
  const auto whole = events_.Take(aBody);
  if (whole.empty()) {
    return;
  }
  const auto now = Now();
  if (firstByteAt_ == absl::InfinitePast()) {
    firstByteAt_ = now;
    if (const auto found = host_.members_.find(targetId_);
        found != host_.members_.end()) {
      fleet::CountFirstByte(
        found->second, size_, now - sentAt_, choice_.usualSeconds_);
      host_.onLoad_();
    }
    host_.metrics_.Observe("first_event_seconds", now - sentAt_);
    NoteReads(now - sentAt_);
  }
  if (!begun_) {
    BeginAnswer();
  }
  caller_->Write(whole);
  if (const auto limit = attempts::GapLimit(*route_, history_);
      limit != absl::InfiniteDuration()) {
    WatchSilence(limit);
  }
  if (caller_->Unsent() > kMostUnsent && connection_ && !paused_) {
    paused_ = true;
    connection_->SetReading(false);
  }
}

void
Exchange::OnEnd(CallEnd aEnd)
{
  silenceTimer_.Cancel();
  if (isEvents_ && headTaken_) {
    FinishStream(aEnd);
    return;
  }
  if (aEnd != CallEnd::Complete) {
    host_.metrics_.Count(
      "broken_answers_total", "end", core::NameOf(kCallEnds, aEnd));
    EndAttempt(begun_ ? attempts::End::CutAnswer : attempts::End::Failed);
    return;
  }
  if (answer_.notRun_) {
    --history_.runs_;
    EndAttempt(attempts::End::NotRun);
    return;
  }
  if (begun_ && events_.Count() > 0) {
    EndAttempt(attempts::End::Error);
    return;
  }
  if (begun_) {
    LeaveTarget(fleet::CallResult::Answered);
    caller_->End();
    Close("served", head_.status_, "whole");
    return;
  }
  if (head_.status_ >= kServerError) {
    EndAttempt(attempts::End::Error);
    return;
  }
  DeliverWhole();
}

void
Exchange::DeliverWhole()
{
  LeaveTarget(fleet::CallResult::Answered);
  const auto status = head_.status_;
  // An answer to HEAD tells the length of a body that it lacks.
  const auto length = caller_->Head().method_ == "HEAD" && head_.length_
                        ? *head_.length_
                        : body_.size();
  caller_->Begin(status, head_.reason_, PassedOn(head_), length);
  caller_->Write(body_);
  caller_->End();
  Close(status / 100 == 2 ? "served" : "target_answer", status, "whole");
}

void
Exchange::FinishStream(CallEnd aEnd)
{
  if (aEnd != CallEnd::Complete) {
    host_.metrics_.Count(
      "broken_answers_total", "end", core::NameOf(kCallEnds, aEnd));
    events_.Clear();
    EndAttempt(begun_ ? attempts::End::CutAnswer : attempts::End::Failed);
    return;
  }
  LeaveTarget(fleet::CallResult::Answered);
  if (!begun_) {
    BeginAnswer();
  }
  caller_->Write(events_.Rest());
  caller_->End();
  Close("served", head_.status_, "whole");
}

void
Exchange::LeaveTarget(fleet::CallResult aResult)
{
  silenceTimer_.Cancel();
  const auto connection = std::exchange(connection_, nullptr);
  if (connection) {
    if (connection->IsBusy()) {
      connection->Close();
    } else {
      host_.targets_.Give(targetId_, connection);
    }
  }
  const auto found = host_.members_.find(targetId_);
  if (found == host_.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (firstByteAt_ == absl::InfinitePast() || !isEvents_) {
    const bool answered = aResult == fleet::CallResult::Answered;
    fleet::CountFirstByte(
      member, size_, Now() - sentAt_, answered ? choice_.usualSeconds_ : 0.0);
  }
  host_.onLoad_();
  if (fleet::CountEnd(member, size_, aResult, Now())) {
    host_.log_.Write(Line("target_aside")
                       .Text("target", targetId_)
                       .Text("id", request_.id_)
                       .Number("failure_share", member.failures_)
                       .Age("for_ms", member.asideUntil_ - Now()));
  }
}

void
Exchange::EndAttempt(attempts::End aEnd)
{
  fleet::CallResult result = fleet::CallResult::Failed;
  if (aEnd == attempts::End::NotRun || aEnd == attempts::End::Error) {
    result = fleet::CallResult::Refused;
  }
  if (aEnd == attempts::End::NotSent) {
    result = fleet::CallResult::Unreachable;
  }
  // Other weights are no failure; another target at the address is the end of
  // this one.
  if (answer_.isMisdirected_ && headTaken_) {
    result = !answer_.instance_.empty() && answer_.instance_ != targetId_
               ? fleet::CallResult::Replaced
               : fleet::CallResult::Abandoned;
  }
  // Some of a plain service's answers are errors on good targets as well.
  if (aEnd == attempts::End::Error) {
    result = fleet::CallResult::Abandoned;
  }
  host_.log_.Write(Line("attempt_failed")
                     .Text("id", request_.id_)
                     .Text("target", targetId_)
                     .Number("attempt", history_.tries_)
                     .Text("result", core::NameOf(attempts::kEnds, aEnd))
                     .Number("status", headTaken_ ? head_.status_ : 0)
                     .Flag("misdirected", headTaken_ && answer_.isMisdirected_)
                     .Number("weights", attemptWeights_)
                     .Age("took_ms", Now() - sentAt_)
                     .Age("load_age_ms", choice_.loadAge_)
                     .Number("events", events_.Count()));
  LeaveTarget(result);
  ++attempt_;
  // Once some of the answer has left, there is no other one to give.
  Follow(begun_ ? attempts::End::CutAnswer : aEnd);
}

void
Exchange::Follow(attempts::End aEnd)
{
  const auto limits = ResendLimits(host_);
  const bool left = budget::ResendsLeft(Ledger(), limits, Now()) >= 1.0;
  const auto step = attempts::After(*route_, history_, aEnd, TimeLeft(), left);
  switch (step) {
    case attempts::Step::TryAgain:
      if (history_.sends_ > 0) {
        budget::TakeResend(Ledger(), limits, Now());
      }
      Try();
      return;
    case attempts::Step::PassOn:
      DeliverWhole();
      return;
    case attempts::Step::Refuse:
      Refuse(left ? "targets_full" : "resends_spent", kPauseFull);
      return;
    case attempts::Step::Fail:
      Answer(kBadGateway, core::NameOf(attempts::kEnds, aEnd));
      return;
    case attempts::Step::Cut:
      caller_->Abort();
      Close("cut", head_.status_, core::NameOf(attempts::kEnds, aEnd));
      return;
  }
}

void
Exchange::OnSilence()
{
  const auto limits = ResendLimits(host_);
  if (budget::ResendsLeft(Ledger(), limits, Now()) < 1.0 ||
      host_.members_.size() < 2) {
    return;
  }
  EndAttempt(attempts::End::Silent);
}

void
Exchange::OnDeadline()
{
  if (ended_) {
    return;
  }
  ++attempt_;
  const bool wasTrying = connection_ != nullptr || !targetId_.empty();
  if (wasTrying) {
    LeaveTarget(fleet::CallResult::Abandoned);
  }
  if (begun_) {
    caller_->Abort();
    Close("cut", head_.status_, "deadline");
  } else if (history_.runs_ == 0) {
    Refuse("deadline", kPauseFull);
  } else {
    Answer(kGatewayTimeout, "deadline");
  }
}

void
Exchange::OnGone()
{
  if (ended_) {
    return;
  }
  ++attempt_;
  if (!targetId_.empty()) {
    LeaveTarget(fleet::CallResult::Abandoned);
  }
  Close("caller_gone", 0, begun_ ? "in_answer" : "before_answer");
}

void
Exchange::Refuse(absl::string_view aReason, absl::Duration aRetryAfter)
{
  const auto pause = Jitter(host_, aRetryAfter);
  caller_->Reply(
    kUnavailable,
    { { "Retry-After", absl::StrCat(absl::ToDoubleSeconds(pause)) } },
    "");
  Close("refused", kUnavailable, aReason);
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
  if (waiter_ != 0) {
    waiting::Remove(host_.waiting_, waiter_);
    host_.waiters_.erase(std::exchange(waiter_, 0));
  }
  --host_.requestsOpen_;
  const auto now = Now();
  const auto took = now - arrivedAt_;
  host_.metrics_.Count("requests_total", "outcome", aOutcome);
  host_.metrics_.Observe("request_seconds", took);
  host_.log_.Write(
    Line("request")
      .Text("id", request_.id_)
      .Text("route", route_ == nullptr ? "" : route_->name_)
      .Text("workspace", workspace_ == nullptr ? "" : workspace_->name_)
      .Text("outcome", aOutcome)
      .Text("reason", aReason)
      .Number("status", aStatus)
      .Text("target", targetId_)
      .Number("tries", history_.tries_)
      .Number("sends", history_.sends_)
      .Age("took_ms", took)
      .Age("first_ms",
           firstByteAt_ == absl::InfinitePast() ? absl::InfiniteDuration()
                                                : firstByteAt_ - arrivedAt_)
      .Number("wait_estimate_ms", choice_.waitSeconds_ * 1000.0)
      .Age("load_age_ms", choice_.loadAge_)
      .Number("candidates", choice_.candidates_)
      .Number("computed_tokens", computedTokens_)
      .Number("read_tokens", readTokens_)
      .Number("weights", attemptWeights_)
      .Number("catalog", catalog_ ? catalog_->version_ : 0)
      .Age("catalog_age_ms", now - host_.catalogAt_));
}

} // namespace lycheeplank::gateway
