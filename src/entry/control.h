#ifndef LYCHEEPLANK_ENTRY_CONTROL_H
#define LYCHEEPLANK_ENTRY_CONTROL_H

#include <functional>
#include <random>

#include <absl/synchronization/notification.h>

#include "lycheeplank/reducer.h"
#include "process/event-thread.h"

namespace lycheeplank::entry {

// The thread that owns the control state. It passes events to the reducer in
// the order of posting and performs the effects that the reducer returns.
class Control
{
public:
  using Perform = std::function<void(const reducer::Effect&)>;

  Control(reducer::State aState, Perform aPerform);

  // Starts to handle events.
  void Start();
  // Queues an event. May be called from any thread.
  void Post(reducer::Event aEvent);
  // Calls aFunction with the state on the control thread and waits until it
  // returns. Must not be called on the control thread.
  void Inspect(const std::function<void(const reducer::State&)>& aFunction);

private:
  // An event, or a function to call with the state if inspector_ is set.
  struct QueueItem
  {
    reducer::Event event_;
    const std::function<void(const reducer::State&)>* inspector_ = nullptr;
    absl::Notification* done_ = nullptr;
  };

  void Handle(const QueueItem& aItem);
  void Step(const reducer::Event& aEvent);
  // Passes a tick to the reducer. After a stall of the process it first delays
  // the tick, so that events from before the stall are handled. Returns the
  // time until the next tick.
  absl::Duration Tick();

  reducer::State state_;
  std::mt19937_64 random_{ std::random_device{}() };
  const Perform perform_;
  // Time at which the next tick is due.
  absl::Time nextTickAt_ = absl::InfiniteFuture();
  // True while the next tick is delayed after a stall of the process.
  bool catchingUp_ = false;
  process::EventThread<QueueItem> thread_;
};

} // namespace lycheeplank::entry

#endif
