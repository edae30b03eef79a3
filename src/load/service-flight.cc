#include "load/attempts.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;
using AttemptsPtr = std::shared_ptr<Attempts>;

constexpr absl::Duration kGrace = absl::Seconds(5);

// Whether the answer is the one to this call.
bool
IsEcho(const Attempts& aAttempts, const net::Answer& aAnswer)
{
  const Json body = Json::parse(aAnswer.body_, nullptr, false);
  const TaskTraits& task = TraitsOf(aAttempts.outcome_.task_);
  return body.is_object() &&
         body.value("call", std::string()) == std::string(task.call_) &&
         body.value("echo", std::string()) ==
           CallBodyOf(aAttempts.plan_.arrival_);
}

void
Send(const AttemptsPtr& aAttempts, const std::string& aUrl);

void
SendAgain(const AttemptsPtr& aAttempts, Next aHow)
{
  WithEntry(aAttempts, aHow, [aAttempts](const std::string& aUrl) {
    Send(aAttempts, aUrl);
  });
}

void
OnAnswer(const AttemptsPtr& aAttempts, const net::Answer& aAnswer)
{
  if (aAnswer.Ok()) {
    Land(*aAttempts, IsEcho(*aAttempts, aAnswer) ? End::Answered : End::Wrong);
    return;
  }
  if (!aAnswer.end_.completed_) {
    // The same idempotency key makes the repeat safe.
    SendAgain(aAttempts, Next::OtherHost);
    return;
  }
  const Problem problem = ParseProblem(aAnswer.body_);
  if (const Next next = NextAfter(problem); next != Next::GiveUp) {
    SendAgain(aAttempts, next);
  } else {
    LandRefused(*aAttempts, problem);
  }
}

void
Send(const AttemptsPtr& aAttempts, const std::string& aUrl)
{
  const TaskTraits& task = TraitsOf(aAttempts->outcome_.task_);
  net::Call call;
  call.method_ = "POST";
  call.url_ =
    absl::StrCat(aUrl, "/v1/services/", task.service_, "/", task.call_);
  call.headers_ = HeadersOf(*aAttempts);
  call.headers_.push_back(
    { "X-Deadline-Ms",
      absl::StrCat(absl::ToInt64Milliseconds(task.deadline_)) });
  if (task.once_) {
    call.headers_.push_back(
      { "Idempotency-Key", aAttempts->outcome_.idempotencyKey_ });
    call.freshConnection_ = true;
  }
  call.body_ = CallBodyOf(aAttempts->plan_.arrival_);
  call.timeout_ = task.deadline_ + kGrace;
  aAttempts->context_.client_.Fetch(
    std::move(call),
    [aAttempts](net::Answer&& aAnswer) { OnAnswer(aAttempts, aAnswer); });
}

} // namespace

void
StartServiceCall(FlightContext& aContext, FlightPlan aPlan, OnLanded aOnLanded)
{
  auto attempts = std::make_shared<Attempts>(
    Attempts{ aContext, std::move(aPlan), std::move(aOnLanded) });
  const Arrival& arrival = attempts->plan_.arrival_;
  attempts->outcome_.task_ = arrival.task_;
  if (TraitsOf(arrival.task_).once_) {
    attempts->outcome_.idempotencyKey_ =
      absl::StrCat(aContext.runName_, "-", attempts->plan_.index_);
  }
  attempts->startedAt_ = absl::Now();
  SendAgain(attempts, Next::Later);
}

} // namespace lycheeplank::load
