#include "load/request-state.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace lycheeplank::load {

namespace {

constexpr std::uint32_t kMaxAttempts = 12;
constexpr std::uint32_t kImmediateAttempts = 3;
constexpr absl::Duration kRetryPause = absl::Milliseconds(300);

// Calls the function with the best entry host of the workspace's list.
void
Send(const std::shared_ptr<RequestState>& aState,
     const std::function<void(const std::string&)>& aSend)
{
  aState->context_.entries_.Get(
    aState->plan_.arrival_.workspace_,
    [aState, aSend](const EntryDirectory::Urls& aUrls) {
      aState->url_ = aUrls.front();
      aSend(aState->url_);
    });
}

// Returns the pause before the next attempt. The first attempts at other hosts
// need none, because another host will probably answer; later ones are delayed,
// because all hosts seem to be down.
absl::Duration
PauseBefore(const RequestState& aState, RetryDecision aDecision)
{
  const bool immediate =
    aState.count_ == 1 || (aDecision == RetryDecision::OtherHost &&
                           aState.count_ <= kImmediateAttempts);
  return immediate ? absl::ZeroDuration() : kRetryPause;
}

} // namespace

RetryDecision
DecideRetry(const Problem& aProblem)
{
  if (IsRetryableElsewhere(aProblem)) {
    return RetryDecision::OtherHost;
  }
  return IsRetryableLater(aProblem) ? RetryDecision::AfterPause
                                    : RetryDecision::GiveUp;
}

void
SendToEntryHost(const std::shared_ptr<RequestState>& aState,
                RetryDecision aDecision,
                std::function<void(const std::string&)> aSend)
{
  if (++aState->count_ > kMaxAttempts || aDecision == RetryDecision::GiveUp) {
    Finish(*aState, EndState::Broken);
    return;
  }
  aState->outcome_.repeats_ += aState->count_ == 1 ? 0 : 1;
  if (aDecision == RetryDecision::OtherHost) {
    aState->context_.entries_.Demote(aState->plan_.arrival_.workspace_,
                                     aState->url_);
  }
  aState->context_.loop_.After(
    PauseBefore(*aState, aDecision),
    [aState, send = std::move(aSend)] { Send(aState, send); });
}

void
Finish(RequestState& aState, EndState aEndState)
{
  aState.outcome_.end_ = aEndState;
  aState.outcome_.total_ = absl::Now() - aState.startedAt_;
  aState.onFinished_(std::move(aState.outcome_));
}

void
FinishRefused(RequestState& aState, const Problem& aProblem)
{
  aState.outcome_.refusalKind_ = aProblem.kind_;
  aState.outcome_.runState_ = aProblem.runState_;
  Finish(aState, EndState::Refused);
}

std::vector<net::Field>
RequestHeaders(const RequestState& aState)
{
  const auto& workspace =
    aState.context_.cluster_.workspaces_[aState.plan_.arrival_.workspace_];
  return { { "Authorization", absl::StrCat("Bearer ", workspace.key_) },
           { "Content-Type", "application/json" } };
}

} // namespace lycheeplank::load
