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

absl::Time
Exchange::BeginLimit(std::uint64_t aWeights) const
{
  const auto published = host_.weights_.find(request_.model_);
  if (aWeights == 0 || published == host_.weights_.end() ||
      !Uses(host_, mechanisms::Mechanism::RecallOutdated)) {
    return absl::InfiniteFuture();
  }
  return weights::OutdatedSince(published->second, aWeights) +
         host_.settings_.weightsTime_ - kBeginMargin;
}

void
Exchange::StartWeightsTimer()
{
  const auto limit = BeginLimit(attemptWeights_);
  if (limit == absl::InfiniteFuture()) {
    return;
  }
  weightsTimer_.Set(limit - Now(),
                    [self = shared_from_this(), attempt = attemptNumber_] {
                      if (!self->ended_ && self->attemptNumber_ == attempt &&
                          self->firstByteAt_ == absl::InfinitePast()) {
                        self->EndAttempt(retry::AttemptEnd::Outdated);
                      }
                    });
}

void
Exchange::LimitBegin()
{
  if (!ended_ && connection_ != nullptr &&
      firstByteAt_ == absl::InfinitePast()) {
    StartWeightsTimer();
  }
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

void
LimitBegins(Host& aHost)
{
  ForEachOpen(aHost, &Exchange::LimitBegin);
}

} // namespace lycheeplank::gateway
