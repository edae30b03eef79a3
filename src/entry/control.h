#ifndef LYCHEEPLANK_ENTRY_CONTROL_H
#define LYCHEEPLANK_ENTRY_CONTROL_H

#include <functional>
#include <random>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// The one thread that owns the control state: it takes events in order, runs
// the reducer and hands each effect to a performer.
class Control
{
public:
  using Perform = std::function<void(const reducer::Effect&)>;

  Control(reducer::State aState, Perform aPerform);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

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
    bool* inspected_ = nullptr;
  };

  void Run();
  std::vector<Item> TakeItems();
  void Handle(const Item& aItem);
  absl::Duration TickInterval() const;
  // Tells the reducer that time has passed, if that is due.
  void TickIfDue();

  reducer::State state_;
  std::mt19937_64 random_{ std::random_device{}() };
  const Perform perform_;
  absl::Mutex mutex_;
  std::vector<Item> items_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time nextTick_ = absl::InfinitePast();
  // The process stood still; events from before go ahead of the next tick.
  bool catchingUp_ = false;
  std::thread thread_;
};

} // namespace lycheeplank::entry

#endif
