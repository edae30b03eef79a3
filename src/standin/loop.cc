#include "standin/loop.h"

namespace lycheeplank::standin {

Loop::Loop()
  : thread_([this] { Run(); })
{
}

Loop::~Loop()
{
  Stop();
}

void
Loop::Post(Task aTask)
{
  At(absl::Now(), std::move(aTask));
}

void
Loop::After(absl::Duration aDelay, Task aTask)
{
  At(absl::Now() + aDelay, std::move(aTask));
}

void
Loop::At(absl::Time aTime, Task aTask)
{
  const absl::MutexLock lock(&mutex_);
  if (stopped_) {
    return;
  }
  const TaskKey key{ aTime, nextSequence_++ };
  tasks_.emplace(key, std::move(aTask));
  if (tasks_.begin()->first == key) {
    tasksChanged_.Signal();
  }
}

void
Loop::Stop()
{
  {
    const absl::MutexLock lock(&mutex_);
    stopped_ = true;
    tasksChanged_.Signal();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  absl::btree_map<TaskKey, Task> dropped;
  const absl::MutexLock lock(&mutex_);
  dropped.swap(tasks_);
}

void
Loop::Run()
{
  while (const Task task = WaitForNextTask()) {
    task();
  }
}

Loop::Task
Loop::WaitForNextTask()
{
  const absl::MutexLock lock(&mutex_);
  while (!stopped_) {
    if (tasks_.empty()) {
      tasksChanged_.Wait(&mutex_);
      continue;
    }
    const auto first = tasks_.begin();
    if (const absl::Time due = first->first.first; due > absl::Now()) {
      tasksChanged_.WaitWithDeadline(&mutex_, due);
      continue;
    }
    Task task = std::move(first->second);
    tasks_.erase(first);
    return task;
  }
  return {};
}

} // namespace lycheeplank::standin
