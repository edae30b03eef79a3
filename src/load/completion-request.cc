#include "load/request-state.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "load/completion-reader.h"

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
// Time after the deadline within which the system must still answer, if only
// with an error.
constexpr absl::Duration kDeadlineGrace = absl::Seconds(5);

// A completion that is under way.
struct CompletionRequest
{
  std::shared_ptr<RequestState> state_;
  Completion completion_;
  net::SseParser parser_;
  int status_ = 0;
  std::string errorBody_;
};

using CompletionRequestPtr = std::shared_ptr<CompletionRequest>;

std::string
RequestBody(const RequestState& aState)
{
  const TaskTraits& task = TraitsOf(aState.plan_.arrival_.task_);
  return Json({ { "model", aState.context_.model_ },
                { "prompt", aState.plan_.prompt_ },
                { "max_tokens", task.maxTokens_ },
                { "stream", true },
                { "priority", task.interactive_ ? "interactive" : "batch" },
                { "deadline_ms", absl::ToInt64Milliseconds(task.deadline_) } })
    .dump();
}

// Copies the tokens received so far to the outcome.
void
RecordTokens(const CompletionRequestPtr& aRequest)
{
  RequestState& state = *aRequest->state_;
  Completion& completion = aRequest->completion_;
  state.outcome_.tokens_ = completion.tokens_;
  state.outcome_.tokenGaps_ = std::move(completion.tokenGaps_);
  if (completion.firstTokenAt_) {
    state.outcome_.firstToken_ = *completion.firstTokenAt_ - state.startedAt_;
  }
}

void
FinishCompletion(const CompletionRequestPtr& aRequest)
{
  RecordTokens(aRequest);
  const RequestState& state = *aRequest->state_;
  const bool correct =
    IsCorrect(aRequest->completion_,
              state.plan_.prompt_,
              state.context_.model_,
              state.context_.weightVersions_,
              TraitsOf(state.plan_.arrival_.task_).maxTokens_);
  Finish(*aRequest->state_, correct ? EndState::Answered : EndState::Wrong);
}

void
FinishWithProblem(const CompletionRequestPtr& aRequest, const Problem& aProblem)
{
  RecordTokens(aRequest);
  FinishRefused(*aRequest->state_, aProblem);
}

void
Send(const CompletionRequestPtr& aRequest, const std::string& aUrl);

void
ScheduleAttempt(const CompletionRequestPtr& aRequest, RetryDecision aDecision)
{
  SendToEntryHost(
    aRequest->state_, aDecision, [aRequest](const std::string& aUrl) {
      Send(aRequest, aUrl);
    });
}

// Handles a complete answer with an error status: repeats the request or ends
// it as refused.
void
HandleErrorAnswer(const CompletionRequestPtr& aRequest)
{
  const Problem problem = ParseProblem(aRequest->errorBody_);
  if (aRequest->status_ == kStatusGone &&
      !aRequest->completion_.lastEventId_.empty()) {
    // The system no longer holds the run, so the stream can't be resumed. A new
    // run returns the whole answer.
    const auto firstTokenAt = aRequest->completion_.firstTokenAt_;
    aRequest->completion_ = Completion();
    aRequest->completion_.firstTokenAt_ = firstTokenAt;
    aRequest->completion_.lastTokenAt_ = absl::Now();
    ScheduleAttempt(aRequest, RetryDecision::AfterPause);
  } else if (const RetryDecision next = DecideRetry(problem);
             next != RetryDecision::GiveUp) {
    ScheduleAttempt(aRequest, next);
  } else {
    FinishWithProblem(aRequest, problem);
  }
}

void
OnEnd(const CompletionRequestPtr& aRequest, const net::CallEnd& aEnd)
{
  if (aRequest->completion_.done_) {
    FinishCompletion(aRequest);
  } else if (aRequest->completion_.problem_) {
    FinishWithProblem(aRequest, *aRequest->completion_.problem_);
  } else if (aEnd.completed_ && aEnd.status_ != kStatusOk) {
    HandleErrorAnswer(aRequest);
  } else if (absl::Now() - aRequest->state_->startedAt_ >
             TraitsOf(aRequest->state_->outcome_.task_).deadline_) {
    Finish(*aRequest->state_, EndState::Broken);
  } else {
    // A completion may safely be repeated. If an event ID was received, the
    // stream is resumed instead.
    aRequest->state_->outcome_.resumes_ +=
      aRequest->completion_.lastEventId_.empty() ? 0 : 1;
    ScheduleAttempt(aRequest, RetryDecision::OtherHost);
  }
}

void
OnData(const CompletionRequestPtr& aRequest, absl::string_view aData)
{
  if (aRequest->status_ == kStatusOk) {
    ParseChunk(aRequest->completion_, aRequest->parser_, aData, absl::Now());
  } else {
    aRequest->errorBody_.append(aData.data(), aData.size());
  }
}

void
Send(const CompletionRequestPtr& aRequest, const std::string& aUrl)
{
  const RequestState& state = *aRequest->state_;
  net::Call call;
  call.method_ = "POST";
  call.url_ = absl::StrCat(aUrl, "/v1/completions");
  call.headers_ = RequestHeaders(state);
  call.body_ = RequestBody(state);
  call.timeout_ =
    TraitsOf(state.plan_.arrival_.task_).deadline_ + kDeadlineGrace;
  if (const std::string& id = aRequest->completion_.lastEventId_; !id.empty()) {
    call.headers_.push_back({ "Last-Event-ID", id });
  }
  aRequest->parser_ = net::SseParser();
  aRequest->status_ = 0;
  aRequest->errorBody_.clear();
  net::CallEvents events;
  events.onStatus_ = [aRequest](int aStatus) { aRequest->status_ = aStatus; };
  events.onData_ = [aRequest](absl::string_view aData) {
    OnData(aRequest, aData);
  };
  events.onEnd_ = [aRequest](const net::CallEnd& aEnd) {
    OnEnd(aRequest, aEnd);
  };
  state.context_.client_.Start(std::move(call), std::move(events));
}

} // namespace

void
StartCompletion(RequestContext& aContext,
                PlannedRequest aPlan,
                OnFinished aOnFinished)
{
  auto request = std::make_shared<CompletionRequest>();
  request->state_ = std::make_shared<RequestState>(
    RequestState{ aContext, std::move(aPlan), std::move(aOnFinished) });
  request->state_->outcome_.task_ = request->state_->plan_.arrival_.task_;
  request->state_->startedAt_ = absl::Now();
  ScheduleAttempt(request, RetryDecision::AfterPause);
}

} // namespace lycheeplank::load
