#include "steward/control.h"

#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);

} // namespace

Control::Control(rollout::State aState, ControlHooks aHooks)
  : state_(std::move(aState))
  , hooks_(std::move(aHooks))
  , thread_(
      "control",
      [this](const EventBody& aBody) { Handle(aBody); },
      [this] { return Tick(); })
{
}

void
Control::Start()
{
  thread_.Start();
}

void
Control::Post(const EventBody& aBody)
{
  thread_.Post(aBody);
}

bool
Control::GiveUp(absl::Duration aTimeout)
{
  Post(rollout::StopRequested{});
  return gaveUp_.WaitForNotificationWithTimeout(aTimeout);
}

void
Control::Handle(const EventBody& aBody)
{
  for (const auto& effect : rollout::Step(state_, { BootTime(), aBody })) {
    hooks_.perform_(effect);
  }
  if (rollout::IsStopped(state_) && !gaveUp_.HasBeenNotified()) {
    gaveUp_.Notify();
  }
}

absl::Duration
Control::Tick()
{
  Handle(rollout::Tick{});
  hooks_.onTick_(state_);
  return kTickPeriod;
}

} // namespace lycheeplank::steward
