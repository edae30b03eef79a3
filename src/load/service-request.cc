#include "load/request-state.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;
using StatePtr = std::shared_ptr<RequestState>;

// Time after the deadline within which the system must still answer, if only
// with an error.
constexpr absl::Duration kDeadlineGrace = absl::Seconds(5);

// Returns whether the answer echoes the name and body of this call.
bool
EchoesCall(const RequestState& aState, const net::Answer& aAnswer)
{
  const Json body = Json::parse(aAnswer.body_, nullptr, false);
  const TaskTraits& task = TraitsOf(aState.outcome_.task_);
  return body.is_object() &&
         body.value("call", std::string()) == std::string(task.call_) &&
         body.value("echo", std::string()) == CallBodyOf(aState.plan_.arrival_);
}

void
Send(const StatePtr& aState, const std::string& aUrl);

void
ScheduleAttempt(const StatePtr& aState, RetryDecision aDecision)
{
  SendToEntryHost(aState, aDecision, [aState](const std::string& aUrl) {
    Send(aState, aUrl);
  });
}

void
OnAnswer(const StatePtr& aState, const net::Answer& aAnswer)
{
  if (aAnswer.Ok()) {
    Finish(*aState,
           EchoesCall(*aState, aAnswer) ? EndState::Answered : EndState::Wrong);
    return;
  }
  if (!aAnswer.end_.completed_) {
    // A call with side effects keeps its idempotency key, so it can safely be
    // repeated.
    ScheduleAttempt(aState, RetryDecision::OtherHost);
    return;
  }
  const Problem problem = ParseProblem(aAnswer.body_);
  if (const RetryDecision next = DecideRetry(problem);
      next != RetryDecision::GiveUp) {
    ScheduleAttempt(aState, next);
  } else {
    FinishRefused(*aState, problem);
  }
}

void
Send(const StatePtr& aState, const std::string& aUrl)
{
  const TaskTraits& task = TraitsOf(aState->outcome_.task_);
  net::Call call;
  call.method_ = "POST";
  call.url_ =
    absl::StrCat(aUrl, "/v1/services/", task.service_, "/", task.call_);
  call.headers_ = RequestHeaders(*aState);
  call.headers_.push_back(
    { "X-Deadline-Ms",
      absl::StrCat(absl::ToInt64Milliseconds(task.deadline_)) });
  if (task.needsIdempotencyKey_) {
    call.headers_.push_back(
      { "Idempotency-Key", aState->outcome_.idempotencyKey_ });
    call.freshConnection_ = true;
  }
  call.body_ = CallBodyOf(aState->plan_.arrival_);
  call.timeout_ = task.deadline_ + kDeadlineGrace;
  aState->context_.client_.Fetch(
    std::move(call),
    [aState](net::Answer&& aAnswer) { OnAnswer(aState, aAnswer); });
}

} // namespace

void
StartServiceCall(RequestContext& aContext,
                 PlannedRequest aPlan,
                 OnFinished aOnFinished)
{
  auto state = std::make_shared<RequestState>(
    RequestState{ aContext, std::move(aPlan), std::move(aOnFinished) });
  const Arrival& arrival = state->plan_.arrival_;
  state->outcome_.task_ = arrival.task_;
  if (TraitsOf(arrival.task_).needsIdempotencyKey_) {
    state->outcome_.idempotencyKey_ =
      absl::StrCat(aContext.runName_, "-", state->plan_.index_);
  }
  state->startedAt_ = absl::Now();
  ScheduleAttempt(state, RetryDecision::AfterPause);
}

} // namespace lycheeplank::load
