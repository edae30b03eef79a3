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

// One thread that runs tasks in the order of their times; it owns all state
// of a stand-in.
class Loop
{
public:
  using Task = std::function<void()>;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs a task as soon as the earlier ones are done.
  void Post(Task aTask);
  void After(absl::Duration aDelay, Task aTask);
  void At(absl::Time aTime, Task aTask);
  // Runs no further task and waits for the running one.
  void Stop();

private:
  // Tasks of the same time run in the order in which they came.
  using Place = std::pair<absl::Time, std::uint64_t>;

  void Run();
  Task TakeNext();

  absl::Mutex mutex_;
  absl::CondVar changed_;
  absl::btree_map<Place, Task> tasks_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t nextPlace_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace lycheeplank::standin

#endif
