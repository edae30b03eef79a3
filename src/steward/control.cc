#include "steward/control.h"

#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);

} // namespace

ControlThread::ControlThread(rollout::State aState, ControlHooks aHooks)
  : state_(std::move(aState))
  , hooks_(std::move(aHooks))
  , thread_(
      "control",
      [this](const EventBody& aBody) { HandleEvent(aBody); },
      [this] { return Tick(); })
{
}

void
ControlThread::Start()
{
  thread_.Start();
}

void
ControlThread::Post(const EventBody& aBody)
{
  thread_.Post(aBody);
}

bool
ControlThread::ReleaseOwnership(absl::Duration aTimeout)
{
  Post(rollout::StopRequested{});
  return released_.WaitForNotificationWithTimeout(aTimeout);
}

void
ControlThread::HandleEvent(const EventBody& aBody)
{
  for (const auto& effect : rollout::Step(state_, { BootTime(), aBody })) {
    hooks_.perform_(effect);
  }
  if (rollout::IsStopped(state_) && !released_.HasBeenNotified()) {
    released_.Notify();
  }
}

absl::Duration
ControlThread::Tick()
{
  HandleEvent(rollout::Tick{});
  hooks_.onTick_(state_);
  return kTickPeriod;
}

} // namespace lycheeplank::steward
