#include "steward/control.h"

#include <pthread.h>

#include "steward/clock.h"

namespace lycheeplank::steward {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);

} // namespace

Control::Control(rollout::State aState, ControlHooks aHooks)
  : state_(std::move(aState))
  , hooks_(std::move(aHooks))
{
}

Control::~Control()
{
  {
    const absl::MutexLock lock(&mutex_);
    ending_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
Control::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void
Control::Post(const EventBody& aBody)
{
  const absl::MutexLock lock(&mutex_);
  events_.push_back(aBody);
}

bool
Control::GiveUp(absl::Duration aTimeout)
{
  Post(rollout::StopAsked{});
  const absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&gaveUp_), aTimeout);
}

void
Control::Run()
{
  pthread_setname_np(pthread_self(), "control");
  while (true) {
    const auto events = TakeEvents();
    for (const auto& event : events) {
      Handle(event);
    }
    if (const absl::Time now = BootTime(); now >= nextTick_) {
      nextTick_ = now + kTickPeriod;
      Handle(rollout::Tick{});
      hooks_.onTick_(state_);
    }
    const absl::MutexLock lock(&mutex_);
    gaveUp_ = rollout::IsStopped(state_);
    if (ending_) {
      return;
    }
  }
}

std::vector<EventBody>
Control::TakeEvents()
{
  std::vector<EventBody> events;
  const absl::MutexLock lock(&mutex_);
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return !events_.empty() || ending_;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&ready), kTickPeriod);
  std::swap(events, events_);
  return events;
}

void
Control::Handle(const EventBody& aBody)
{
  for (const auto& effect : rollout::Step(state_, { BootTime(), aBody })) {
    hooks_.perform_(effect);
  }
}

} // namespace lycheeplank::steward
