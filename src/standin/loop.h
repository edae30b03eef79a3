#ifndef LYCHEEPLANK_STANDIN_LOOP_H
#define LYCHEEPLANK_STANDIN_LOOP_H

#include <cstdint>
#include <functional>
#include <thread>
#include <utility>

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace lycheeplank::standin {

// A thread that runs tasks in the order of their due times. All state of a
// stand-in is accessed on it alone.
class Loop
{
public:
  using Task = std::function<void()>;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Schedules a task for now, after a delay, or at a given time. After Stop the
  // task is discarded.
  void Post(Task aTask);
  void After(absl::Duration aDelay, Task aTask);
  void At(absl::Time aTime, Task aTask);
  // Discards the pending tasks and waits for the running one.
  void Stop();

private:
  // The due time and a sequence number: tasks with equal due times run in the
  // order in which they were scheduled.
  using TaskKey = std::pair<absl::Time, std::uint64_t>;

  void Run();
  // Blocks until a task is due; returns an empty task once stopped.
  Task WaitForNextTask();

  absl::Mutex mutex_;
  absl::CondVar tasksChanged_;
  absl::btree_map<TaskKey, Task> tasks_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t nextSequence_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace lycheeplank::standin

#endif
