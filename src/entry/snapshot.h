#ifndef LYCHEEPLANK_ENTRY_SNAPSHOT_H
#define LYCHEEPLANK_ENTRY_SNAPSHOT_H

#include <memory>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "lycheeplank/config.h"

namespace lycheeplank::entry {

// What the traffic threads read of the control state; never changed once
// published.
struct Snapshot
{
  // Null until a configuration is in force.
  config::ConfigPtr config_;
  // This host has to refuse new requests, since it can't know whether its
  // configuration is still the one in force.
  bool isolated_ = false;
  bool draining_ = false;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Hands the newest snapshot to any thread.
class SnapshotBox
{
public:
  SnapshotPtr Get() const
  {
    const absl::MutexLock lock(&mutex_);
    return snapshot_;
  }

  // Publishes a changed copy of the newest snapshot.
  template<typename Change>
  void Update(Change aChange)
  {
    const absl::MutexLock lock(&mutex_);
    auto next = std::make_shared<Snapshot>(*snapshot_);
    aChange(*next);
    snapshot_ = std::move(next);
  }

private:
  mutable absl::Mutex mutex_;
  SnapshotPtr snapshot_ ABSL_GUARDED_BY(mutex_) = std::make_shared<Snapshot>();
};

} // namespace lycheeplank::entry

#endif
