#include "entry/stop-point.h"

#include <csignal>

#include <glog/logging.h>

namespace lycheeplank::entry {

namespace {

bool
IsSendOnceDispatch(const reducer::Effect& aEffect)
{
  const auto* dispatch = absl::get_if<reducer::Dispatch>(&aEffect);
  return dispatch != nullptr && dispatch->sendOnce_;
}

} // namespace

StopPoint
StopPointBefore(const reducer::Effect& aEffect)
{
  const auto* command = absl::get_if<reducer::SendCommand>(&aEffect);
  if (absl::holds_alternative<reducer::RequestClaim>(aEffect) ||
      (command != nullptr && WritesClaims(*command))) {
    return StopPoint::BeforeClaim;
  }
  if (absl::holds_alternative<reducer::AnswerCall>(aEffect)) {
    return StopPoint::Recorded;
  }
  return IsSendOnceDispatch(aEffect) ? StopPoint::ClaimGranted
                                     : StopPoint::None;
}

StopPoint
StopPointAfter(const reducer::Effect& aEffect)
{
  return IsSendOnceDispatch(aEffect) ? StopPoint::Dispatched : StopPoint::None;
}

StopPoint
StopPointBefore(const reducer::Event& aEvent)
{
  const auto* claim = absl::get_if<reducer::ClaimAnswered>(&aEvent);
  if (claim != nullptr && claim->reached_) {
    return StopPoint::ClaimWritten;
  }
  return absl::holds_alternative<reducer::ClaimedCallEnded>(aEvent)
           ? StopPoint::Answered
           : StopPoint::None;
}

bool
WritesClaims(const reducer::SendCommand& aCommand)
{
  return aCommand.module_ == reducer::Module::Claims &&
         aCommand.command_.operation_ == platform::Operation::Write;
}

Stopper::Stopper(StopPoint aPoint, std::uint32_t aCount)
  : point_(aPoint)
  , remainingCount_(aCount)
{
  if (point_ != StopPoint::None) {
    LOG(WARNING) << "event=stop_at_set point="
                 << core::NameOf(kStopPoints, point_) << " count=" << aCount;
  }
}

void
Stopper::StopIfReached(StopPoint aPoint)
{
  if (point_ == StopPoint::None || aPoint != point_ || --remainingCount_ != 0) {
    return;
  }
  const auto name = core::NameOf(kStopPoints, point_);
  LOG(WARNING) << "event=stopped_for_test point=" << name;
  google::FlushLogFiles(google::INFO);
  // Raised on this thread, so that it does nothing more before SIGCONT.
  std::raise(SIGSTOP);
  LOG(WARNING) << "event=woken_for_test point=" << name;
}

} // namespace lycheeplank::entry
