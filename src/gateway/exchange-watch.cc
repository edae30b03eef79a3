#include "gateway/exchange.h"

#include <algorithm>

#include "gateway/clock.h"

// The part of an exchange that watches the target that it waits for.
namespace lycheeplank::gateway {

namespace {

// Period of looks whether the target that a request waits for is down.
constexpr absl::Duration kDownCheck = absl::Milliseconds(250);
// A request that still waits at a target with old weights is taken back so much
// before the time is over: its way there, and that of its first event.
constexpr absl::Duration kBeginMargin = absl::Milliseconds(200);

} // namespace

void
Exchange::WatchSilence(absl::Duration aLimit)
{
  // A target that others have found to be down isn't waited for to the end.
  const auto step = std::min(aLimit, kDownCheck);
  silenceTimer_.Set(
    step,
    [self = shared_from_this(), attempt = attempt_, rest = aLimit - step] {
      if (self->ended_ || self->attempt_ != attempt) {
        return;
      }
      if (self->IsOwnPause()) {
        self->WatchSilence(rest + kCatchUpTime);
        return;
      }
      // Goes on where the request can't go elsewhere now.
      const bool isOver = rest <= absl::ZeroDuration();
      self->WatchSilence(isOver ? kDownCheck : rest);
      if (isOver || self->IsTargetDown()) {
        self->OnSilence();
      }
    });
}

bool
Exchange::IsOwnPause() const
{
  return paused_ || CatchesUp(host_.pulse_, Now());
}

bool
Exchange::CanGoOn()
{
  const bool left =
    retry_budget::ResendsLeft(Ledger(), ResendLimits(host_), Now()) >= 1.0;
  const auto end =
    begun_ ? retry::AttemptEnd::CutAnswer : retry::AttemptEnd::Silent;
  if (retry::DecideNextStep(*route_, history_, end, TimeLeft(), left) !=
      retry::NextStep::TryAgain) {
    return false;
  }
  // The log line of the request tells of the attempt that was made.
  const auto computed = computedTokens_;
  const auto read = readTokens_;
  const bool found = !ChooseTarget().id_.empty();
  computedTokens_ = computed;
  readTokens_ = read;
  return found;
}

bool
Exchange::IsTargetDown() const
{
  const auto found = host_.members_.find(targetId_);
  return found != host_.members_.end() && Now() < found->second.downUntil_;
}

void
Exchange::WatchWeights()
{
  const auto namings = host_.weights_.find(request_.model_);
  if (attemptWeights_ == 0 || namings == host_.weights_.end() ||
      !Uses(host_, mechanisms::Mechanism::RecallOutdated)) {
    return;
  }
  const auto since = weights::OutdatedSince(namings->second, attemptWeights_);
  if (since == absl::InfiniteFuture()) {
    return;
  }
  const auto limit = since + host_.settings_.weightsTime_ - kBeginMargin;
  weightsTimer_.Set(limit - Now(),
                    [self = shared_from_this(), attempt = attempt_] {
                      if (!self->ended_ && self->attempt_ == attempt &&
                          self->firstByteAt_ == absl::InfinitePast()) {
                        self->EndAttempt(retry::AttemptEnd::Outdated);
                      }
                    });
}

void
Exchange::OnSilence()
{
  // A silent target may only be slow: what can't go elsewhere stays there.
  if (CanGoOn()) {
    EndAttempt(retry::AttemptEnd::Silent);
  }
}

} // namespace lycheeplank::gateway
