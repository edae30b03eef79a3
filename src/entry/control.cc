#include "entry/control.h"

#include <glog/logging.h>

namespace lycheeplank::entry {

namespace {

// Maximum time between two ticks.
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
// Maximum time between two ticks while callers wait for a claim or an outcome
// to be written.
constexpr absl::Duration kClaimTickInterval = absl::Milliseconds(5);
// A tick that is late by more than this means that the process was stalled.
constexpr absl::Duration kStallThreshold = absl::Milliseconds(500);
// Time after a stall in which the other threads can post the events that
// arrived before it.
constexpr absl::Duration kCatchUpDelay = absl::Milliseconds(200);

} // namespace

Control::Control(reducer::State aState, Perform aPerform)
  : state_(std::move(aState))
  , perform_(std::move(aPerform))
  , thread_(
      "control",
      [this](const QueueItem& aItem) { Handle(aItem); },
      [this] { return Tick(); })
{
}

void
Control::Start()
{
  thread_.Start();
}

void
Control::Post(reducer::Event aEvent)
{
  thread_.Post({ std::move(aEvent) });
}

void
Control::Inspect(const std::function<void(const reducer::State&)>& aFunction)
{
  absl::Notification done;
  thread_.Post({ reducer::Tick{}, &aFunction, &done });
  done.WaitForNotification();
}

void
Control::Handle(const QueueItem& aItem)
{
  if (aItem.inspector_ == nullptr) {
    Step(aItem.event_);
    return;
  }
  (*aItem.inspector_)(state_);
  aItem.done_->Notify();
}

void
Control::Step(const reducer::Event& aEvent)
{
  for (const auto& effect :
       reducer::Step(state_, { absl::Now(), random_() }, aEvent)) {
    perform_(effect);
  }
}

absl::Duration
Control::Tick()
{
  const absl::Time now = absl::Now();
  if (now - nextTickAt_ > kStallThreshold && !catchingUp_) {
    // A deadline may have passed during the stall. It must not turn an answer
    // that has already arrived, or a call that was never sent, into an unknown
    // outcome.
    LOG(WARNING) << "event=process_stood_still ms="
                 << absl::ToInt64Milliseconds(now - nextTickAt_);
    catchingUp_ = true;
    nextTickAt_ = now + kCatchUpDelay;
    return kCatchUpDelay;
  }
  catchingUp_ = false;
  Step(reducer::Tick{});
  const absl::Duration interval =
    state_.claimTickets_.empty() ? kTickInterval : kClaimTickInterval;
  nextTickAt_ = absl::Now() + interval;
  return interval;
}

} // namespace lycheeplank::entry
