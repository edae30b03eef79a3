#ifndef LYCHEEPLANK_STEWARD_CONTROL_H
#define LYCHEEPLANK_STEWARD_CONTROL_H

#include <functional>

#include <absl/synchronization/notification.h>

#include "lycheeplank/rollout.h"
#include "process/event-thread.h"

namespace lycheeplank::steward {

// The body of an event of the rollout reducer.
using EventBody = decltype(rollout::Event::body_);

// Callbacks of the control thread, called on that thread.
struct ControlHooks
{
  // Carries out one effect of the reducer.
  std::function<void(const rollout::Effect&)> perform_;
  // Called with the state after each tick.
  std::function<void(const rollout::State&)> onTick_;
};

// The thread that owns the state of rollouts and runs their reducer.
class ControlThread
{
public:
  ControlThread(rollout::State aState, ControlHooks aHooks);

  void Start();
  // Queues an event. May be called from any thread.
  void Post(const EventBody& aBody);
  // Releases the lease and the partitions of this steward. Returns true once
  // they are released, or false if that takes longer than aTimeout.
  bool ReleaseOwnership(absl::Duration aTimeout);

private:
  void HandleEvent(const EventBody& aBody);
  absl::Duration Tick();

  rollout::State state_;
  const ControlHooks hooks_;
  absl::Notification released_;
  process::EventThread<EventBody> thread_;
};

} // namespace lycheeplank::steward

#endif
