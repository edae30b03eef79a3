#ifndef LYCHEEPLANK_ENTRY_SNAPSHOT_H
#define LYCHEEPLANK_ENTRY_SNAPSHOT_H

#include <memory>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "lycheeplank/config.h"

namespace lycheeplank::entry {

// The part of the control state that the traffic threads read. Immutable once
// published.
struct Snapshot
{
  // Null until a configuration is in force.
  config::ConfigPtr config_;
  // True if this host has to refuse new requests, because it can't tell whether
  // its configuration is still in force.
  bool isolated_ = false;
  bool draining_ = false;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Holds the latest snapshot. Thread-safe.
class SnapshotHolder
{
public:
  SnapshotPtr Get() const
  {
    const absl::MutexLock lock(&mutex_);
    return snapshot_;
  }

  // Publishes a copy of the latest snapshot to which aChange was applied.
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
