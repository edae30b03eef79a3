#ifndef LYCHEEPLANK_STEWARD_CONTROL_H
#define LYCHEEPLANK_STEWARD_CONTROL_H

#include <functional>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "lycheeplank/rollout.h"

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
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  void Start();
  // Adds an event, from any thread.
  void Post(const EventBody& aBody);
  // Gives up what this steward owns; waits until that is done or aTimeout has
  // passed, and tells which.
  bool GiveUp(absl::Duration aTimeout);

private:
  void Run();
  std::vector<EventBody> TakeEvents();
  void Handle(const EventBody& aBody);

  rollout::State state_;
  const ControlHooks hooks_;
  absl::Mutex mutex_;
  std::vector<EventBody> events_ ABSL_GUARDED_BY(mutex_);
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
  bool gaveUp_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time nextTick_ = absl::InfinitePast();
  std::thread thread_;
};

} // namespace lycheeplank::steward

#endif
