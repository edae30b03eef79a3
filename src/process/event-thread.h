#ifndef LYCHEEPLANK_PROCESS_EVENT_THREAD_H
#define LYCHEEPLANK_PROCESS_EVENT_THREAD_H

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <pthread.h>

namespace lycheeplank::process {

// A thread that owns some state: it handles events one by one, in the order in
// which they were added, and ticks in between.
//
//     EventThread<Event> thread(
//       "control",
//       [&](const Event& aEvent) { Handle(aEvent); },
//       [&] { return Tick(); });
//     thread.Start();
//     thread.Post(Event{});
template<typename Event>
class EventThread
{
public:
  using Handle = std::function<void(const Event&)>;
  // Does what is due and returns the time until the next tick.
  using Tick = std::function<absl::Duration()>;

  EventThread(std::string aName, Handle aHandle, Tick aTick)
    : name_(std::move(aName))
    , handle_(std::move(aHandle))
    , tick_(std::move(aTick))
  {
  }
  ~EventThread() { Stop(); }
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  void Start()
  {
    thread_ = std::thread([this] { Run(); });
  }

  // Ends the thread; events that it has not taken are dropped.
  void Stop()
  {
    {
      const absl::MutexLock lock(&mutex_);
      stopping_ = true;
    }
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  // Adds an event, from any thread.
  void Post(Event aEvent)
  {
    const absl::MutexLock lock(&mutex_);
    events_.push_back(std::move(aEvent));
  }

  // Adds the first events of a list, so that at most aLimit wait; returns how
  // many were added.
  std::size_t PostSome(std::vector<Event> aEvents, std::size_t aLimit)
  {
    const absl::MutexLock lock(&mutex_);
    const std::size_t room = aLimit - std::min(aLimit, events_.size());
    const std::size_t count = std::min(room, aEvents.size());
    std::move(aEvents.begin(),
              aEvents.begin() + static_cast<std::ptrdiff_t>(count),
              std::back_inserter(events_));
    return count;
  }

private:
  using Clock = std::chrono::steady_clock;

  void Run()
  {
    pthread_setname_np(pthread_self(), name_.c_str());
    std::vector<Event> events;
    while (Take(events)) {
      for (const auto& event : events) {
        handle_(event);
      }
      if (const auto now = Clock::now(); now >= nextTick_) {
        nextTick_ = now + absl::ToChronoNanoseconds(tick_());
      }
    }
  }

  // Waits for events or the next tick; false once the thread shall end.
  bool Take(std::vector<Event>& aEvents)
  {
    aEvents.clear();
    const absl::MutexLock lock(&mutex_);
    const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      return !events_.empty() || stopping_;
    };
    mutex_.AwaitWithTimeout(absl::Condition(&ready),
                            absl::FromChrono(nextTick_ - Clock::now()));
    std::swap(aEvents, events_);
    return !stopping_;
  }

  const std::string name_;
  const Handle handle_;
  const Tick tick_;
  absl::Mutex mutex_;
  std::vector<Event> events_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  Clock::time_point nextTick_;
  std::thread thread_;
};

} // namespace lycheeplank::process

#endif
