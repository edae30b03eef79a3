#include "gateway/exchange.h"

#include <algorithm>

#include "gateway/clock.h"

// The part of Exchange that detects targets which make no progress.
namespace lycheeplank::gateway {

namespace {

// Interval of checks whether the target of a waiting request is down.
constexpr absl::Duration kDownCheckPeriod = absl::Milliseconds(250);
// A request that hasn't begun at a target with outdated weights is withdrawn
// this long before the weights must be out of use. Covers the network delay of
// the request and of its first event at another target.
constexpr absl::Duration kBeginMargin = absl::Milliseconds(200);

} // namespace

void
Exchange::StartSilenceTimer(absl::Duration aLimit)
{
  // Wakes up before the limit to check whether other hosts report the target
  // down.
  const auto step = std::min(aLimit, kDownCheckPeriod);
  silenceTimer_.Set(step,
                    [self = shared_from_this(),
                     attempt = attemptNumber_,
                     rest = aLimit - step] {
                      if (self->ended_ || self->attemptNumber_ != attempt) {
                        return;
                      }
                      if (self->IsPausedLocally()) {
                        self->StartSilenceTimer(rest + kCatchUpTime);
                        return;
                      }
                      // Starts the timer again first, in case the request can't
                      // move to another target now.
                      const bool isOver = rest <= absl::ZeroDuration();
                      self->StartSilenceTimer(isOver ? kDownCheckPeriod : rest);
                      if (isOver || self->IsTargetDown()) {
                        self->OnSilence();
                      }
                    });
}

bool
Exchange::IsPausedLocally() const
{
  return readingPaused_ || IsCatchingUp(host_.stallDetector_, Now());
}

bool
Exchange::CanFailOver()
{
  const bool left =
    retry_budget::ResendsLeft(Ledger(), ResendLimits(host_), Now()) >= 1.0;
  const auto end =
    answerBegun_ ? retry::AttemptEnd::CutAnswer : retry::AttemptEnd::Silent;
  if (retry::DecideNextStep(*route_, history_, end, TimeLeft(), left) !=
      retry::NextStep::TryAgain) {
    return false;
  }
  // The request's log line reports these values of the current attempt;
  // ChooseTarget overwrites them.
  const auto computed = computedTokens_;
  const auto read = readTokens_;
  // A permit might be denied when the attempt has been given up already.
  const bool found = !ChooseTarget(true).id_.empty();
  computedTokens_ = computed;
  readTokens_ = read;
  return found;
}

bool
Exchange::IsTargetDown() const
{
  const auto* member = CalledMember();
  return HasTargetRestarted() ||
         (member != nullptr && Now() < member->downUntil_);
}

void
Exchange::StartWeightsTimer()
{
  const auto published = host_.weights_.find(request_.model_);
  if (attemptWeights_ == 0 || published == host_.weights_.end() ||
      !Uses(host_, mechanisms::Mechanism::RecallOutdated)) {
    return;
  }
  const auto since = weights::OutdatedSince(published->second, attemptWeights_);
  if (since == absl::InfiniteFuture()) {
    return;
  }
  const auto limit = since + host_.settings_.weightsTime_ - kBeginMargin;
  weightsTimer_.Set(limit - Now(),
                    [self = shared_from_this(), attempt = attemptNumber_] {
                      if (!self->ended_ && self->attemptNumber_ == attempt &&
                          self->firstByteAt_ == absl::InfinitePast()) {
                        self->EndAttempt(retry::AttemptEnd::Outdated);
                      }
                    });
}

void
Exchange::OnSilence()
{
  // A silent target may only be slow, so a request stays there unless another
  // target can take it over.
  if (CanFailOver()) {
    EndAttempt(retry::AttemptEnd::Silent);
  }
}

} // namespace lycheeplank::gateway
