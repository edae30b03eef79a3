#include "entry/control.h"

namespace lycheeplank::entry {

namespace {

// Longest time between two ticks.
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
// The same while callers wait for a claim or an outcome to be written.
constexpr absl::Duration kClaimTickInterval = absl::Milliseconds(5);

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
  Step(reducer::Tick{});
  return state_.claimTickets_.empty() ? kTickInterval : kClaimTickInterval;
}

} // namespace lycheeplank::entry
