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

// A thread that owns some state. It handles events one at a time, in the order
// in which they were posted, and runs a periodic tick between them.
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
  using Handler = std::function<void(const Event&)>;
  // Does the work that is due and returns the time until the next tick.
  using TickFunction = std::function<absl::Duration()>;

  EventThread(std::string aName, Handler aHandle, TickFunction aTick)
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

  // Stops the thread and waits for its end; drops the events that are still
  // queued.
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

  // Queues an event. May be called from any thread.
  void Post(Event aEvent)
  {
    const absl::MutexLock lock(&mutex_);
    events_.push_back(std::move(aEvent));
  }

  // Queues events from the front of a list until aLimit events are queued in
  // all, and drops the others. Returns the number of events added.
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
    while (WaitForEvents(events)) {
      for (const auto& event : events) {
        handle_(event);
      }
      if (const auto now = Clock::now(); now >= nextTick_) {
        nextTick_ = now + absl::ToChronoNanoseconds(tick_());
      }
    }
  }

  // Waits for events or the next tick and moves the queued events to aEvents.
  // Returns false once the thread has to end.
  bool WaitForEvents(std::vector<Event>& aEvents)
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
  const Handler handle_;
  const TickFunction tick_;
  absl::Mutex mutex_;
  std::vector<Event> events_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  Clock::time_point nextTick_;
  std::thread thread_;
};

} // namespace lycheeplank::process

#endif
