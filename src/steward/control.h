#ifndef LYCHEEPLANK_STEWARD_CONTROL_H
#define LYCHEEPLANK_STEWARD_CONTROL_H

#include <functional>

#include <absl/synchronization/notification.h>

#include "lycheeplank/rollout.h"
#include "process/event-thread.h"

namespace lycheeplank::steward {

using EventBody = decltype(rollout::Event::body_);

// What the control thread calls.
struct ControlHooks
{
  // Carries out one effect of the reducer.
  std::function<void(const rollout::Effect&)> perform_;
  // Runs with the state after each tick.
  std::function<void(const rollout::State&)> onTick_;
};

// The one thread that owns the state of rollouts.
class Control
{
public:
  Control(rollout::State aState, ControlHooks aHooks);

  void Start();
  // Adds an event, from any thread.
  void Post(const EventBody& aBody);
  // Gives up what this steward owns; waits until that is done or aTimeout has
  // passed, and tells which.
  bool GiveUp(absl::Duration aTimeout);

private:
  void Handle(const EventBody& aBody);
  absl::Duration Tick();

  rollout::State state_;
  const ControlHooks hooks_;
  absl::Notification gaveUp_;
  process::EventThread<EventBody> thread_;
};

} // namespace lycheeplank::steward

#endif
