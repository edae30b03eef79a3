#include "load/attempts.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "load/completion-reader.h"

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kGone = 410;
// Time after the deadline in which the system still has to say something.
constexpr absl::Duration kGrace = absl::Seconds(5);

// A completion under way.
struct CompletionFlight
{
  std::shared_ptr<Attempts> attempts_;
  Completion completion_;
  net::SseParser parser_;
  int status_ = 0;
  std::string errorBody_;
};

using FlightPtr = std::shared_ptr<CompletionFlight>;

std::string
BodyOf(const Attempts& aAttempts)
{
  const TaskTraits& task = TraitsOf(aAttempts.plan_.arrival_.task_);
  return Json({ { "model", aAttempts.context_.model_ },
                { "prompt", aAttempts.plan_.prompt_ },
                { "max_tokens", task.maxTokens_ },
                { "stream", true },
                { "priority", task.interactive_ ? "interactive" : "batch" },
                { "deadline_ms", absl::ToInt64Milliseconds(task.deadline_) } })
    .dump();
}

// Notes what has come so far.
void
RecordTokens(const FlightPtr& aFlight)
{
  Attempts& attempts = *aFlight->attempts_;
  Completion& completion = aFlight->completion_;
  attempts.outcome_.tokens_ = completion.tokens_;
  attempts.outcome_.tokenGaps_ = std::move(completion.tokenGaps_);
  if (completion.firstTokenAt_) {
    attempts.outcome_.firstToken_ =
      *completion.firstTokenAt_ - attempts.startedAt_;
  }
}

void
LandCompletion(const FlightPtr& aFlight)
{
  RecordTokens(aFlight);
  const Attempts& attempts = *aFlight->attempts_;
  const bool right =
    IsRight(aFlight->completion_,
            attempts.plan_.prompt_,
            attempts.context_.model_,
            attempts.context_.weightVersions_,
            TraitsOf(attempts.plan_.arrival_.task_).maxTokens_);
  Land(*aFlight->attempts_, right ? End::Answered : End::Wrong);
}

void
LandProblem(const FlightPtr& aFlight, const Problem& aProblem)
{
  RecordTokens(aFlight);
  LandRefused(*aFlight->attempts_, aProblem);
}

void
Send(const FlightPtr& aFlight, const std::string& aUrl);

void
SendAgain(const FlightPtr& aFlight, Next aHow)
{
  WithEntry(aFlight->attempts_, aHow, [aFlight](const std::string& aUrl) {
    Send(aFlight, aUrl);
  });
}

// Goes on after a whole answer that is not a stream.
void
TakeRefusal(const FlightPtr& aFlight)
{
  const Problem problem = ParseProblem(aFlight->errorBody_);
  if (aFlight->status_ == kGone && !aFlight->completion_.lastId_.empty()) {
    // The run is forgotten; a new one gives the whole answer.
    const auto firstTokenAt = aFlight->completion_.firstTokenAt_;
    aFlight->completion_ = Completion();
    aFlight->completion_.firstTokenAt_ = firstTokenAt;
    aFlight->completion_.lastTokenAt_ = absl::Now();
    SendAgain(aFlight, Next::Later);
  } else if (const Next next = NextAfter(problem); next != Next::GiveUp) {
    SendAgain(aFlight, next);
  } else {
    LandProblem(aFlight, problem);
  }
}

void
OnEnd(const FlightPtr& aFlight, const net::CallEnd& aEnd)
{
  if (aFlight->completion_.done_) {
    LandCompletion(aFlight);
  } else if (aFlight->completion_.problem_) {
    LandProblem(aFlight, *aFlight->completion_.problem_);
  } else if (aEnd.completed_ && aEnd.status_ != kOk) {
    TakeRefusal(aFlight);
  } else if (absl::Now() - aFlight->attempts_->startedAt_ >
             TraitsOf(aFlight->attempts_->outcome_.task_).deadline_) {
    Land(*aFlight->attempts_, End::Broken);
  } else {
    // A completion may be repeated; with an event id it is resumed instead.
    aFlight->attempts_->outcome_.resumes_ +=
      aFlight->completion_.lastId_.empty() ? 0 : 1;
    SendAgain(aFlight, Next::OtherHost);
  }
}

void
OnData(const FlightPtr& aFlight, absl::string_view aData)
{
  if (aFlight->status_ == kOk) {
    ReadPiece(aFlight->completion_, aFlight->parser_, aData, absl::Now());
  } else {
    aFlight->errorBody_.append(aData.data(), aData.size());
  }
}

void
Send(const FlightPtr& aFlight, const std::string& aUrl)
{
  const Attempts& attempts = *aFlight->attempts_;
  net::Call call;
  call.method_ = "POST";
  call.url_ = absl::StrCat(aUrl, "/v1/completions");
  call.headers_ = HeadersOf(attempts);
  call.body_ = BodyOf(attempts);
  call.timeout_ = TraitsOf(attempts.plan_.arrival_.task_).deadline_ + kGrace;
  if (const std::string& id = aFlight->completion_.lastId_; !id.empty()) {
    call.headers_.push_back({ "Last-Event-ID", id });
  }
  aFlight->parser_ = net::SseParser();
  aFlight->status_ = 0;
  aFlight->errorBody_.clear();
  net::CallEvents events;
  events.onStatus_ = [aFlight](int aStatus) { aFlight->status_ = aStatus; };
  events.onData_ = [aFlight](absl::string_view aData) {
    OnData(aFlight, aData);
  };
  events.onEnd_ = [aFlight](const net::CallEnd& aEnd) { OnEnd(aFlight, aEnd); };
  attempts.context_.client_.Start(std::move(call), std::move(events));
}

} // namespace

void
StartCompletion(FlightContext& aContext, FlightPlan aPlan, OnLanded aOnLanded)
{
  auto flight = std::make_shared<CompletionFlight>();
  flight->attempts_ = std::make_shared<Attempts>(
    Attempts{ aContext, std::move(aPlan), std::move(aOnLanded) });
  flight->attempts_->outcome_.task_ = flight->attempts_->plan_.arrival_.task_;
  flight->attempts_->startedAt_ = absl::Now();
  SendAgain(flight, Next::Later);
}

} // namespace lycheeplank::load
