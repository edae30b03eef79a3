#include "entry/control.h"

#include <glog/logging.h>

namespace lycheeplank::entry {

namespace {

// Longest time between two ticks.
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
// The same while callers wait for a claim or an outcome to be written.
constexpr absl::Duration kClaimTickInterval = absl::Milliseconds(5);
// A tick that is later than this means that the process stood still.
constexpr absl::Duration kPauseBound = absl::Milliseconds(500);
// Time in which the other threads then hand over what had come by the pause.
constexpr absl::Duration kCatchUp = absl::Milliseconds(200);

} // namespace

Control::Control(reducer::State aState, Perform aPerform)
  : state_(std::move(aState))
  , perform_(std::move(aPerform))
  , thread_(
      "control",
      [this](const Item& aItem) { Handle(aItem); },
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
Control::Handle(const Item& aItem)
{
  if (aItem.inspect_ == nullptr) {
    Step(aItem.event_);
    return;
  }
  (*aItem.inspect_)(state_);
  aItem.inspected_->Notify();
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
  if (now - tickDue_ > kPauseBound && !catchingUp_) {
    // A deadline that passed meanwhile must not turn an answer that is here,
    // or a call that was not sent, into an unknown outcome.
    LOG(WARNING) << "event=process_stood_still ms="
                 << absl::ToInt64Milliseconds(now - tickDue_);
    catchingUp_ = true;
    tickDue_ = now + kCatchUp;
    return kCatchUp;
  }
  catchingUp_ = false;
  Step(reducer::Tick{});
  const absl::Duration interval =
    state_.claimTickets_.empty() ? kTickInterval : kClaimTickInterval;
  tickDue_ = absl::Now() + interval;
  return interval;
}

} // namespace lycheeplank::entry
