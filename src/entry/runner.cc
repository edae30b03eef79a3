#include "entry/runner.h"

#include <array>

#include <absl/strings/str_cat.h>

#include "core/json.h"
#include "entry/problem.h"

namespace lycheeplank::entry {

namespace {

using reducer::AttemptResult;

constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;
// Error of an engine that refuses runs because it leaves.
constexpr absl::string_view kLeavingCode = "leaving";
// Delays before each reconnection to the run of an attempt whose stream was
// cut. The later ones reach an engine that was unreachable for a moment.
constexpr std::array<absl::Duration, 4> kContinuationDelays{
  absl::ZeroDuration(),
  absl::Milliseconds(100),
  absl::Milliseconds(300),
  absl::Seconds(1)
};
// Time without data after which a stream is considered cut.
constexpr absl::Duration kStreamIdleTimeout = absl::Seconds(30);
// Number of unsent bytes for one caller above which its connection is closed,
// because it reads too slowly.
constexpr std::size_t kMaxBacklogBytes = 1UL << 20U;

// Returns the weight version that a target serves, if it refused the run
// because of the weight version, or an empty string.
std::string
ReadServingVersion(const std::string& aBody)
{
  const auto body = json::ParseJson(aBody);
  return json::TextOf(body, "error") == "weight_version"
           ? json::TextOf(body, "serving")
           : "";
}

// Returns whether a target refused the run because it leaves. No other error of
// a target shows that it hasn't run.
bool
IsLeaving(const std::string& aBody)
{
  return json::TextOf(json::ParseJson(aBody), "error") == kLeavingCode;
}

adapters::RunParameters
MakeRunOrder(const reducer::Dispatch& aDispatch,
             const OpenRequest& aOpenRequest)
{
  adapters::RunParameters order;
  order.runId_ = absl::StrCat(aOpenRequest.publicId_, "-", aDispatch.attempt_);
  order.model_ = aOpenRequest.modelOrService_;
  order.adapter_ = aOpenRequest.adapter_;
  order.weightVersion_ = aDispatch.weightVersion_;
  order.cacheSalt_ = aOpenRequest.workspace_;
  order.maxTokens_ = aOpenRequest.maxTokens_;
  order.interactive_ = aOpenRequest.interactive_;
  order.importUrl_ = aDispatch.importUrl_;
  for (std::size_t i = 0; i < aDispatch.importKeys_.size(); ++i) {
    order.importBlocks_.push_back(
      { aDispatch.importKeys_[i], aDispatch.importGenerations_[i] });
  }
  return order;
}

reducer::ClaimedCallEnded
ToClaimedCallEnded(const OpenRequest& aOpenRequest,
                   std::uint32_t aAttempt,
                   net::Answer&& aAnswer)
{
  reducer::ClaimedCallEnded event;
  event.id_ = aOpenRequest.id_;
  event.attempt_ = aAttempt;
  event.complete_ = aAnswer.end_.completed_;
  event.neverSent_ = !aAnswer.end_.completed_ && aAnswer.end_.neverSent_;
  event.detail_ = aAnswer.end_.error_;
  event.answer_.status_ = static_cast<std::uint32_t>(aAnswer.end_.status_);
  event.answer_.contentType_ =
    std::string(net::FindField(aAnswer.headers_, "Content-Type"));
  event.answer_.body_ = std::move(aAnswer.body_);
  return event;
}

} // namespace

// An attempt in progress. Only one client thread uses it at a time.
struct Runner::Attempt
{
  reducer::Dispatch dispatch_;
  OpenRequestPtr openRequest_;
  std::string runId_;
  Relay relay_;
  int status_ = 0;
  std::string errorBody_;
  unsigned continuations_ = 0;
  bool started_ = false;
  bool firstTokenSeen_ = false;
};

Runner::Runner(net::Client& aClient,
               OpenRequests& aOpenRequests,
               metrics::Registry& aMetrics,
               std::string aSecret,
               Post aPost)
  : client_(aClient)
  , openRequests_(aOpenRequests)
  , metrics_(aMetrics)
  , secret_(std::move(aSecret))
  , post_(std::move(aPost))
{
}

void
Runner::Perform(const reducer::Dispatch& aDispatch)
{
  const OpenRequestPtr openRequest = openRequests_.Find(aDispatch.id_);
  if (!openRequest) {
    return;
  }
  {
    const absl::MutexLock lock(&openRequest->mutex_);
    openRequest->currentAttempt_ = aDispatch.attempt_;
    openRequest->targetUrl_ = aDispatch.url_;
    openRequest->runId_ =
      absl::StrCat(openRequest->publicId_, "-", aDispatch.attempt_);
  }
  if (openRequest->callName_.empty()) {
    StartCompletion(aDispatch, openRequest);
  } else {
    StartCall(aDispatch, openRequest);
  }
}

void
Runner::StartCompletion(const reducer::Dispatch& aDispatch,
                        const OpenRequestPtr& aOpenRequest)
{
  const adapters::RunParameters order = MakeRunOrder(aDispatch, *aOpenRequest);
  auto attempt = std::make_shared<Attempt>(
    Attempt{ aDispatch,
             aOpenRequest,
             order.runId_,
             Relay({ aOpenRequest->publicId_,
                     aOpenRequest->modelOrService_,
                     aOpenRequest->stream_,
                     0,
                     aDispatch.weightVersion_ },
                   aOpenRequest->exchange_,
                   resume::Signer(secret_,
                                  { aOpenRequest->workspace_,
                                    aDispatch.target_,
                                    order.runId_,
                                    aOpenRequest->publicId_ })) });
  net::Call call =
    adapters::StartRun(aDispatch.url_, order, aOpenRequest->prompt_);
  call.timeout_ = absl::InfiniteDuration();
  call.idleTimeout_ = kStreamIdleTimeout;
  const net::CallId id =
    client_.Start(std::move(call), MakeCallEvents(attempt));
  const absl::MutexLock lock(&aOpenRequest->mutex_);
  aOpenRequest->callId_ = id;
}

net::CallEvents
Runner::MakeCallEvents(const std::shared_ptr<Attempt>& aAttempt)
{
  net::CallEvents events;
  events.onStatus_ = [aAttempt](int aStatus) { aAttempt->status_ = aStatus; };
  events.onData_ = [this, aAttempt](absl::string_view aData) {
    OnData(aAttempt, aData);
  };
  events.onEnd_ = [this, aAttempt](const net::CallEnd& aEnd) {
    OnEnd(aAttempt, aEnd);
  };
  return events;
}

void
Runner::OnData(const std::shared_ptr<Attempt>& aAttempt,
               absl::string_view aData)
{
  if (aAttempt->status_ != 200) {
    aAttempt->errorBody_.append(aData.data(), aData.size());
    return;
  }
  OpenRequest& openRequest = *aAttempt->openRequest_;
  const absl::MutexLock lock(&openRequest.mutex_);
  if (openRequest.currentAttempt_ != aAttempt->dispatch_.attempt_) {
    metrics_.Count("stale_attempt_data_total");
    return;
  }
  const std::uint64_t before = aAttempt->relay_.NextIndex();
  const auto started = aAttempt->relay_.Feed(aData);
  openRequest.responseBegun_ = aAttempt->relay_.HasBegun();
  if (started && !aAttempt->started_) {
    aAttempt->started_ = true;
    post_(reducer::AttemptStarted{ openRequest.id_,
                                   aAttempt->dispatch_.attempt_,
                                   started->weightVersion_,
                                   started->cachedBlocks_,
                                   started->importedBlocks_ });
  }
  const std::uint64_t tokens = aAttempt->relay_.NextIndex() - before;
  if (tokens > 0 && !aAttempt->firstTokenSeen_) {
    aAttempt->firstTokenSeen_ = true;
    metrics_.Observe("time_to_first_token_seconds",
                     absl::Now() - openRequest.arrived_);
  }
  if (openRequest.exchange_->Backlog() > kMaxBacklogBytes) {
    metrics_.Count("slow_callers_cut_total");
    openRequest.exchange_->Abort();
  }
}

bool
Runner::TryContinueStream(const std::shared_ptr<Attempt>& aAttempt)
{
  if (!aAttempt->started_ ||
      aAttempt->continuations_ >= kContinuationDelays.size()) {
    return false;
  }
  OpenRequest& openRequest = *aAttempt->openRequest_;
  const absl::MutexLock lock(&openRequest.mutex_);
  if (openRequest.currentAttempt_ != aAttempt->dispatch_.attempt_) {
    return false;
  }
  const absl::Duration delay = kContinuationDelays[aAttempt->continuations_++];
  metrics_.Count("stream_continuations_total");
  aAttempt->relay_.Restart();
  aAttempt->status_ = 0;
  net::Call call = adapters::ResumeRun(
    aAttempt->dispatch_.url_, aAttempt->runId_, aAttempt->relay_.NextIndex());
  call.delay_ = delay;
  call.timeout_ = absl::InfiniteDuration();
  call.idleTimeout_ = kStreamIdleTimeout;
  openRequest.callId_ =
    client_.Start(std::move(call), MakeCallEvents(aAttempt));
  return true;
}

void
Runner::OnEnd(const std::shared_ptr<Attempt>& aAttempt,
              const net::CallEnd& aEnd)
{
  if (aAttempt->relay_.State() == RelayState::Finished) {
    EndAttempt(aAttempt, AttemptResult::Completed, "", "");
    return;
  }
  // A complete answer with an error status means that the engine doesn't know
  // the run, so reconnecting is useless.
  const bool cut = !aEnd.completed_ || aEnd.status_ == 200;
  if (cut && TryContinueStream(aAttempt)) {
    return;
  }
  const std::string detail =
    aEnd.error_.empty() ? absl::StrCat("status ", aEnd.status_) : aEnd.error_;
  if (aAttempt->relay_.HasBegun()) {
    EndAttempt(aAttempt, AttemptResult::BrokenMidway, detail, "");
  } else if (aEnd.neverSent_ && !aAttempt->started_) {
    EndAttempt(aAttempt, AttemptResult::NeverSent, detail, "");
  } else if (aEnd.completed_ && aEnd.status_ == kHttpConflict &&
             !aAttempt->started_) {
    std::string version = ReadServingVersion(aAttempt->errorBody_);
    const auto result =
      version.empty() ? AttemptResult::Refused : AttemptResult::WrongVersion;
    EndAttempt(aAttempt, result, detail, std::move(version));
  } else if (aEnd.completed_ && aEnd.status_ == kHttpUnavailable &&
             IsLeaving(aAttempt->errorBody_) && !aAttempt->started_) {
    EndAttempt(aAttempt, AttemptResult::Refused, detail, "");
  } else {
    EndAttempt(aAttempt, AttemptResult::Broken, detail, "");
  }
}

void
Runner::EndAttempt(const std::shared_ptr<Attempt>& aAttempt,
                   AttemptResult aResult,
                   std::string aDetail,
                   std::string aVersion)
{
  OpenRequest& openRequest = *aAttempt->openRequest_;
  reducer::AttemptEnded ended;
  ended.id_ = openRequest.id_;
  ended.attempt_ = aAttempt->dispatch_.attempt_;
  ended.result_ = aResult;
  ended.detail_ = std::move(aDetail);
  ended.weightVersion_ = std::move(aVersion);
  ended.tokens_ = aAttempt->relay_.TotalTokens();
  bool current = false;
  {
    const absl::MutexLock lock(&openRequest.mutex_);
    current = openRequest.currentAttempt_ == aAttempt->dispatch_.attempt_;
    if (current && aResult == AttemptResult::Completed) {
      openRequest.currentAttempt_ = 0;
    }
  }
  const bool whole = aResult == AttemptResult::Completed;
  // The thread that removes the open request sends the final answer. It removes
  // the request first, because a caller may disconnect as soon as it has the
  // whole answer and must not be counted as gone before the answer.
  if (!current || (whole && !openRequests_.Remove(openRequest.id_))) {
    metrics_.Count("stale_attempt_ends_total");
    return;
  }
  if (!whole) {
    post_(std::move(ended));
    return;
  }
  metrics_.Count("completions_total");
  metrics_.Count("tokens_relayed_total", static_cast<double>(ended.tokens_));
  aAttempt->relay_.SendEnd();
  post_(std::move(ended));
}

void
Runner::StartCall(const reducer::Dispatch& aDispatch,
                  const OpenRequestPtr& aOpenRequest)
{
  net::Call call;
  call.method_ = "POST";
  call.url_ = absl::StrCat(
    aDispatch.url_, "/v1/calls/", net::UrlEscape(aOpenRequest->callName_));
  call.body_ = aOpenRequest->body_;
  call.headers_.push_back({ "Content-Type", aOpenRequest->contentType_ });
  call.headers_.push_back(
    { "X-Attempt",
      absl::StrCat(aOpenRequest->publicId_, "-", aDispatch.attempt_) });
  if (!aOpenRequest->idempotencyKey_.empty()) {
    call.headers_.push_back(
      { "Idempotency-Key", aOpenRequest->idempotencyKey_ });
  }
  call.freshConnection_ = aDispatch.sendOnce_;
  call.timeout_ = aDispatch.deadline_ - absl::Now();
  if (aDispatch.sendOnce_ && call.timeout_ <= absl::ZeroDuration()) {
    // The deadline has passed, for instance because this process was suspended.
    // The call is not sent.
    reducer::ClaimedCallEnded tooLate;
    tooLate.id_ = aOpenRequest->id_;
    tooLate.attempt_ = aDispatch.attempt_;
    tooLate.neverSent_ = true;
    tooLate.detail_ = "the deadline passed before the call was sent";
    post_(std::move(tooLate));
    return;
  }
  const auto onAnswer = [this, aDispatch, aOpenRequest](net::Answer&& aAnswer) {
    if (aDispatch.sendOnce_) {
      post_(ToClaimedCallEnded(
        *aOpenRequest, aDispatch.attempt_, std::move(aAnswer)));
      return;
    }
    reducer::AttemptEnded ended;
    ended.id_ = aOpenRequest->id_;
    ended.attempt_ = aDispatch.attempt_;
    ended.detail_ = aAnswer.end_.error_;
    if (aAnswer.end_.completed_ && core::IsPassedOn(aAnswer.end_.status_)) {
      ended.result_ = AttemptResult::Completed;
      AnswerCall(aOpenRequest,
                 aAnswer.end_.status_,
                 std::string(net::FindField(aAnswer.headers_, "Content-Type")),
                 std::move(aAnswer.body_));
    } else {
      ended.result_ = aAnswer.end_.neverSent_ ? AttemptResult::NeverSent
                                              : AttemptResult::Broken;
      if (aAnswer.end_.completed_) {
        ended.detail_ = absl::StrCat("status ", aAnswer.end_.status_);
      }
    }
    post_(std::move(ended));
  };
  const net::CallId id = client_.Fetch(std::move(call), onAnswer);
  const absl::MutexLock lock(&aOpenRequest->mutex_);
  aOpenRequest->callId_ = id;
}

void
Runner::AnswerCall(const OpenRequestPtr& aOpenRequest,
                   int aStatus,
                   const std::string& aContentType,
                   std::string aBody)
{
  if (!openRequests_.Remove(aOpenRequest->id_)) {
    return;
  }
  metrics_.Count("service_calls_total");
  metrics_.Observe("service_call_seconds",
                   absl::Now() - aOpenRequest->arrived_);
  aOpenRequest->exchange_->Reply(
    aStatus,
    { { "Content-Type",
        aContentType.empty() ? "application/json" : aContentType },
      { "X-Request-Id", aOpenRequest->publicId_ } },
    std::move(aBody));
}

void
Runner::Perform(const reducer::Refuse& aRefuse)
{
  const OpenRequestPtr openRequest = openRequests_.Find(aRefuse.id_);
  if (!openRequest || !openRequests_.Remove(aRefuse.id_)) {
    return;
  }
  metrics_.Count(
    "refusals_total", "kind", core::TraitsOf(aRefuse.error_.kind_).name_);
  const absl::MutexLock lock(&openRequest->mutex_);
  openRequest->currentAttempt_ = 0;
  if (!openRequest->responseBegun_) {
    ReplyProblem(
      *openRequest->exchange_, aRefuse.error_, openRequest->publicId_);
    return;
  }
  EndWithProblem(
    *openRequest->exchange_, aRefuse.error_, openRequest->publicId_);
}

void
Runner::Perform(const reducer::CancelAttempt& aCancel)
{
  const OpenRequestPtr openRequest = openRequests_.Find(aCancel.id_);
  if (!openRequest) {
    return;
  }
  std::string url;
  std::string runId;
  net::CallId call = 0;
  {
    const absl::MutexLock lock(&openRequest->mutex_);
    if (openRequest->currentAttempt_ != aCancel.attempt_) {
      return;
    }
    openRequest->currentAttempt_ = 0;
    url = openRequest->targetUrl_;
    runId = openRequest->runId_;
    call = openRequest->callId_;
  }
  client_.Cancel(call);
  if (openRequest->callName_.empty()) {
    client_.Fetch(adapters::CancelRun(url, runId), [](net::Answer&&) {});
  }
}

void
Runner::Resume(const std::shared_ptr<net::Exchange>& aExchange,
               const resume::Position& aPosition,
               const std::string& aModel,
               const std::string& aTargetUrl)
{
  struct Resumed
  {
    Relay relay_;
    int status_ = 0;
  };
  auto resumed = std::make_shared<Resumed>(Resumed{ Relay(
    { aPosition.requestId_, aModel, true, aPosition.index_ + 1, absl::nullopt },
    aExchange,
    resume::Signer(secret_, aPosition)) });
  metrics_.Count("stream_resumes_total");
  net::Call call =
    adapters::ResumeRun(aTargetUrl, aPosition.runId_, aPosition.index_ + 1);
  call.timeout_ = absl::InfiniteDuration();
  call.idleTimeout_ = kStreamIdleTimeout;
  net::CallEvents events;
  events.onStatus_ = [resumed](int aStatus) { resumed->status_ = aStatus; };
  events.onData_ = [resumed](absl::string_view aData) {
    if (resumed->status_ == 200) {
      resumed->relay_.Feed(aData);
    }
  };
  events.onEnd_ = [resumed, aExchange, aPosition](const net::CallEnd& aEnd) {
    if (resumed->relay_.State() == RelayState::Finished) {
      resumed->relay_.SendEnd();
      return;
    }
    const core::Error error{
      core::ErrorKind::UnknownRun,
      absl::StrCat("target ",
                   aPosition.target_,
                   " can't continue the run: ",
                   aEnd.error_.empty() ? absl::StrCat("status ", aEnd.status_)
                                       : aEnd.error_),
      "",
      core::RunState::Unknown
    };
    if (resumed->relay_.HasBegun()) {
      resumed->relay_.SendError(error);
    } else {
      ReplyProblem(*aExchange, error, aPosition.requestId_);
    }
  };
  client_.Start(std::move(call), std::move(events));
}

} // namespace lycheeplank::entry
