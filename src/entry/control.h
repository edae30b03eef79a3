#ifndef LYCHEEPLANK_ENTRY_CONTROL_H
#define LYCHEEPLANK_ENTRY_CONTROL_H

#include <functional>
#include <random>

#include <absl/synchronization/notification.h>

#include "lycheeplank/reducer.h"
#include "process/event-thread.h"

namespace lycheeplank::entry {

// The one thread that owns the control state: it takes events in order, runs
// the reducer and hands each effect to a performer.
class Control
{
public:
  using Perform = std::function<void(const reducer::Effect&)>;

  Control(reducer::State aState, Perform aPerform);

  // Starts to take events.
  void Start();
  // Adds an event, from any thread.
  void Post(reducer::Event aEvent);
  // Runs a function on the control thread with the state, and waits for it.
  void Inspect(const std::function<void(const reducer::State&)>& aFunction);

private:
  struct Item
  {
    reducer::Event event_;
    const std::function<void(const reducer::State&)>* inspect_ = nullptr;
    absl::Notification* inspected_ = nullptr;
  };

  void Handle(const Item& aItem);
  void Step(const reducer::Event& aEvent);
  // Tells the reducer that time has passed, or waits first for events from
  // before a pause; returns the time until the next tick.
  absl::Duration Tick();

  reducer::State state_;
  std::mt19937_64 random_{ std::random_device{}() };
  const Perform perform_;
  // When the next tick is due.
  absl::Time tickDue_ = absl::InfiniteFuture();
  // The process stood still; events from before go ahead of the next tick.
  bool catchingUp_ = false;
  process::EventThread<Item> thread_;
};

} // namespace lycheeplank::entry

#endif
