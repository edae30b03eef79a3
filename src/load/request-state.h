#ifndef LYCHEEPLANK_LOAD_REQUEST_STATE_H
#define LYCHEEPLANK_LOAD_REQUEST_STATE_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load/problem.h"
#include "load/request.h"

namespace lycheeplank::load {

// The state that completions and service calls share while they are under
// way.
struct RequestState
{
  RequestContext& context_;
  PlannedRequest plan_;
  OnFinished onFinished_;
  Outcome outcome_;
  absl::Time startedAt_;
  std::uint32_t count_ = 0;
  // URL of the entry host that the last attempt used.
  std::string url_;
};

// How the caller continues after an attempt that got no answer.
enum class RetryDecision
{
  // Repeats the request at another entry host; the first repeats go out
  // without a pause.
  OtherHost,
  // Repeats the request after a pause.
  AfterPause,
  GiveUp,
};

// Returns whether and how to repeat a request after a refusal.
RetryDecision
DecideRetry(const Problem& aProblem);

// Counts an attempt and calls the function with the URL of the entry host to
// use. If the attempts are used up, the request ends as broken instead.
void
SendToEntryHost(const std::shared_ptr<RequestState>& aState,
                RetryDecision aDecision,
                std::function<void(const std::string&)> aSend);

// Ends the request and passes its outcome to the callback.
void
Finish(RequestState& aState, EndState aEndState);

// Ends the request as refused and records the refusal.
void
FinishRefused(RequestState& aState, const Problem& aProblem);

// Returns the headers that every attempt sends.
std::vector<net::Field>
RequestHeaders(const RequestState& aState);

} // namespace lycheeplank::load

#endif
