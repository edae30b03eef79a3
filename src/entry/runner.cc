#include "entry/runner.h"

#include <array>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "entry/problem.h"

namespace lycheeplank::entry {

namespace {

using reducer::AttemptResult;

constexpr int kConflict = 409;
// Waits before one attempt goes on with the stream of its own run; an engine
// that was away for a moment is reached by a later one.
constexpr std::array<absl::Duration, 4> kContinuationDelays{
  absl::ZeroDuration(),
  absl::Milliseconds(100),
  absl::Milliseconds(300),
  absl::Seconds(1)
};
// Time without any data after which a stream counts as cut.
constexpr absl::Duration kStreamIdleTimeout = absl::Seconds(30);
// Unread data of a caller that is too slow, after which it is cut off.
constexpr std::size_t kMaxBacklogBytes = 1UL << 20U;

// What a target's refusal says of its weight version.
std::string
ServingVersion(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() && body.value("error", "") == "weight_version"
           ? body.value("serving", "")
           : "";
}

adapters::RunParameters
MakeOrder(const reducer::Dispatch& aDispatch, const Ticket& aTicket)
{
  adapters::RunParameters order;
  order.runId_ = absl::StrCat(aTicket.name_, "-", aDispatch.attempt_);
  order.model_ = aTicket.serves_;
  order.adapter_ = aTicket.adapter_;
  order.weightVersion_ = aDispatch.weightVersion_;
  order.cacheSalt_ = aTicket.workspace_;
  order.maxTokens_ = aTicket.maxTokens_;
  order.interactive_ = aTicket.interactive_;
  order.importUrl_ = aDispatch.importUrl_;
  for (std::size_t i = 0; i < aDispatch.importKeys_.size(); ++i) {
    order.importBlocks_.push_back(
      { aDispatch.importKeys_[i], aDispatch.importGenerations_[i] });
  }
  return order;
}

reducer::ClaimedCallEnded
ToOnceAnswer(const Ticket& aTicket,
             std::uint32_t aAttempt,
             net::Answer&& aAnswer)
{
  reducer::ClaimedCallEnded event;
  event.id_ = aTicket.id_;
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

// One attempt under way; used by one thread of the client at a time.
struct Runner::Attempt
{
  reducer::Dispatch dispatch_;
  TicketPtr ticket_;
  std::string runId_;
  Relay relay_;
  int status_ = 0;
  std::string errorBody_;
  unsigned continuations_ = 0;
  bool started_ = false;
  bool firstTokenSeen_ = false;
};

Runner::Runner(net::Client& aClient,
               Tickets& aTickets,
               metrics::Registry& aMetrics,
               std::string aSecret,
               Post aPost)
  : client_(aClient)
  , tickets_(aTickets)
  , metrics_(aMetrics)
  , secret_(std::move(aSecret))
  , post_(std::move(aPost))
{
}

void
Runner::Perform(const reducer::Dispatch& aDispatch)
{
  const TicketPtr ticket = tickets_.Find(aDispatch.id_);
  if (!ticket) {
    return;
  }
  {
    const absl::MutexLock lock(&ticket->mutex_);
    ticket->attempt_ = aDispatch.attempt_;
    ticket->targetUrl_ = aDispatch.url_;
    ticket->runId_ = absl::StrCat(ticket->name_, "-", aDispatch.attempt_);
  }
  if (ticket->call_.empty()) {
    StartCompletion(aDispatch, ticket);
  } else {
    StartCall(aDispatch, ticket);
  }
}

void
Runner::StartCompletion(const reducer::Dispatch& aDispatch,
                        const TicketPtr& aTicket)
{
  const adapters::RunParameters order = MakeOrder(aDispatch, *aTicket);
  auto attempt = std::make_shared<Attempt>(
    Attempt{ aDispatch,
             aTicket,
             order.runId_,
             Relay({ aTicket->name_, aTicket->serves_, aTicket->stream_, 0 },
                   aTicket->exchange_,
                   resume::Signer(secret_,
                                  { aTicket->workspace_,
                                    aDispatch.target_,
                                    order.runId_,
                                    aTicket->name_ })) });
  net::Call call = adapters::StartRun(aDispatch.url_, order, aTicket->prompt_);
  call.timeout_ = absl::InfiniteDuration();
  call.idleTimeout_ = kStreamIdleTimeout;
  const net::CallId id = client_.Start(std::move(call), EventsOf(attempt));
  const absl::MutexLock lock(&aTicket->mutex_);
  aTicket->callId_ = id;
}

net::CallEvents
Runner::EventsOf(const std::shared_ptr<Attempt>& aAttempt)
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
  Ticket& ticket = *aAttempt->ticket_;
  const absl::MutexLock lock(&ticket.mutex_);
  if (ticket.attempt_ != aAttempt->dispatch_.attempt_) {
    metrics_.Count("stale_attempt_data_total");
    return;
  }
  const std::uint64_t before = aAttempt->relay_.NextIndex();
  const auto started = aAttempt->relay_.Feed(aData);
  ticket.answering_ = aAttempt->relay_.HasBegun();
  if (started && !aAttempt->started_) {
    aAttempt->started_ = true;
    post_(reducer::AttemptStarted{ ticket.id_,
                                   aAttempt->dispatch_.attempt_,
                                   started->weightVersion_,
                                   started->cachedBlocks_,
                                   started->importedBlocks_ });
  }
  const std::uint64_t tokens = aAttempt->relay_.NextIndex() - before;
  if (tokens > 0 && !aAttempt->firstTokenSeen_) {
    aAttempt->firstTokenSeen_ = true;
    metrics_.Observe("time_to_first_token_seconds",
                     absl::Now() - ticket.arrived_);
  }
  if (ticket.exchange_->Backlog() > kMaxBacklogBytes) {
    metrics_.Count("slow_callers_cut_total");
    ticket.exchange_->Abort();
  }
}

bool
Runner::TryContinue(const std::shared_ptr<Attempt>& aAttempt)
{
  if (!aAttempt->started_ ||
      aAttempt->continuations_ >= kContinuationDelays.size()) {
    return false;
  }
  Ticket& ticket = *aAttempt->ticket_;
  const absl::MutexLock lock(&ticket.mutex_);
  if (ticket.attempt_ != aAttempt->dispatch_.attempt_) {
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
  ticket.callId_ = client_.Start(std::move(call), EventsOf(aAttempt));
  return true;
}

void
Runner::OnEnd(const std::shared_ptr<Attempt>& aAttempt,
              const net::CallEnd& aEnd)
{
  if (aAttempt->relay_.State() == RelayState::Finished) {
    Conclude(aAttempt, AttemptResult::Completed, "", "");
    return;
  }
  // A whole answer with an error status says that the run is not known.
  const bool cut = !aEnd.completed_ || aEnd.status_ == 200;
  if (cut && TryContinue(aAttempt)) {
    return;
  }
  const std::string detail =
    aEnd.error_.empty() ? absl::StrCat("status ", aEnd.status_) : aEnd.error_;
  if (aAttempt->relay_.HasBegun()) {
    Conclude(aAttempt, AttemptResult::BrokenMidway, detail, "");
  } else if (aEnd.neverSent_ && !aAttempt->started_) {
    Conclude(aAttempt, AttemptResult::NeverSent, detail, "");
  } else if (aEnd.completed_ && aEnd.status_ == kConflict &&
             !aAttempt->started_) {
    std::string version = ServingVersion(aAttempt->errorBody_);
    const auto result =
      version.empty() ? AttemptResult::Refused : AttemptResult::WrongVersion;
    Conclude(aAttempt, result, detail, std::move(version));
  } else if (aEnd.completed_ && aEnd.status_ != 200 && !aAttempt->started_) {
    Conclude(aAttempt, AttemptResult::Refused, detail, "");
  } else {
    Conclude(aAttempt, AttemptResult::Broken, detail, "");
  }
}

void
Runner::Conclude(const std::shared_ptr<Attempt>& aAttempt,
                 AttemptResult aResult,
                 std::string aDetail,
                 std::string aVersion)
{
  Ticket& ticket = *aAttempt->ticket_;
  reducer::AttemptEnded ended;
  ended.id_ = ticket.id_;
  ended.attempt_ = aAttempt->dispatch_.attempt_;
  ended.result_ = aResult;
  ended.detail_ = std::move(aDetail);
  ended.weightVersion_ = std::move(aVersion);
  ended.tokens_ = aAttempt->relay_.Tokens();
  bool current = false;
  {
    const absl::MutexLock lock(&ticket.mutex_);
    current = ticket.attempt_ == aAttempt->dispatch_.attempt_;
    if (current && aResult == AttemptResult::Completed) {
      ticket.attempt_ = 0;
    }
  }
  const bool whole = aResult == AttemptResult::Completed;
  // Whoever removes the ticket gives the caller the final answer. It is removed
  // first, since a caller that has its whole answer may leave at once and must
  // not be taken for one that is gone.
  if (!current || (whole && !tickets_.Remove(ticket.id_))) {
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
Runner::StartCall(const reducer::Dispatch& aDispatch, const TicketPtr& aTicket)
{
  net::Call call;
  call.method_ = "POST";
  call.url_ =
    absl::StrCat(aDispatch.url_, "/v1/calls/", net::UrlEscape(aTicket->call_));
  call.body_ = aTicket->body_;
  call.headers_.push_back({ "Content-Type", aTicket->contentType_ });
  call.headers_.push_back(
    { "X-Attempt", absl::StrCat(aTicket->name_, "-", aDispatch.attempt_) });
  if (!aTicket->idempotencyKey_.empty()) {
    call.headers_.push_back({ "Idempotency-Key", aTicket->idempotencyKey_ });
  }
  call.freshConnection_ = aDispatch.sendOnce_;
  call.timeout_ = aDispatch.deadline_ - absl::Now();
  if (aDispatch.sendOnce_ && call.timeout_ <= absl::ZeroDuration()) {
    // Too late to send: this process may have been stopped for a while.
    reducer::ClaimedCallEnded tooLate;
    tooLate.id_ = aTicket->id_;
    tooLate.attempt_ = aDispatch.attempt_;
    tooLate.neverSent_ = true;
    tooLate.detail_ = "the deadline passed before the call was sent";
    post_(std::move(tooLate));
    return;
  }
  const auto onAnswer = [this, aDispatch, aTicket](net::Answer&& aAnswer) {
    if (aDispatch.sendOnce_) {
      post_(ToOnceAnswer(*aTicket, aDispatch.attempt_, std::move(aAnswer)));
      return;
    }
    reducer::AttemptEnded ended;
    ended.id_ = aTicket->id_;
    ended.attempt_ = aDispatch.attempt_;
    ended.detail_ = aAnswer.end_.error_;
    constexpr int kServerError = 500;
    if (aAnswer.end_.completed_ && aAnswer.end_.status_ < kServerError) {
      ended.result_ = AttemptResult::Completed;
      AnswerCall(aTicket,
                 aAnswer.end_.status_,
                 std::string(net::FindField(aAnswer.headers_, "Content-Type")),
                 std::move(aAnswer.body_));
    } else {
      ended.result_ = aAnswer.end_.neverSent_ ? AttemptResult::NeverSent
                                              : AttemptResult::Broken;
    }
    post_(std::move(ended));
  };
  const net::CallId id = client_.Fetch(std::move(call), onAnswer);
  const absl::MutexLock lock(&aTicket->mutex_);
  aTicket->callId_ = id;
}

void
Runner::AnswerCall(const TicketPtr& aTicket,
                   int aStatus,
                   const std::string& aContentType,
                   std::string aBody)
{
  if (!tickets_.Remove(aTicket->id_)) {
    return;
  }
  metrics_.Count("service_calls_total");
  metrics_.Observe("service_call_seconds", absl::Now() - aTicket->arrived_);
  aTicket->exchange_->Reply(
    aStatus,
    { { "Content-Type",
        aContentType.empty() ? "application/json" : aContentType },
      { "X-Request-Id", aTicket->name_ } },
    std::move(aBody));
}

void
Runner::Perform(const reducer::Refuse& aRefuse)
{
  const TicketPtr ticket = tickets_.Find(aRefuse.id_);
  if (!ticket || !tickets_.Remove(aRefuse.id_)) {
    return;
  }
  metrics_.Count(
    "refusals_total", "kind", core::TraitsOf(aRefuse.error_.kind_).name_);
  const absl::MutexLock lock(&ticket->mutex_);
  ticket->attempt_ = 0;
  if (!ticket->answering_) {
    ReplyProblem(*ticket->exchange_, aRefuse.error_, ticket->name_);
    return;
  }
  EndWithProblem(*ticket->exchange_, aRefuse.error_, ticket->name_);
}

void
Runner::Perform(const reducer::CancelAttempt& aCancel)
{
  const TicketPtr ticket = tickets_.Find(aCancel.id_);
  if (!ticket) {
    return;
  }
  std::string url;
  std::string runId;
  net::CallId call = 0;
  {
    const absl::MutexLock lock(&ticket->mutex_);
    if (ticket->attempt_ != aCancel.attempt_) {
      return;
    }
    ticket->attempt_ = 0;
    url = ticket->targetUrl_;
    runId = ticket->runId_;
    call = ticket->callId_;
  }
  client_.Cancel(call);
  if (ticket->call_.empty()) {
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
  auto resumed = std::make_shared<Resumed>(
    Resumed{ Relay({ aPosition.requestId_, aModel, true, aPosition.index_ + 1 },
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
                   " can't go on with the run: ",
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
