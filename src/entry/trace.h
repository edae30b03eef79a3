#ifndef LYCHEEPLANK_ENTRY_TRACE_H
#define LYCHEEPLANK_ENTRY_TRACE_H

#include <deque>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// One decision about a request.
struct TraceEvent
{
  absl::Time at_;
  std::string what_;
  std::string detail_;
};

// All that is remembered of a request.
struct RequestTrace
{
  std::string workspace_;
  reducer::RequestKind kind_ = reducer::RequestKind::Completion;
  std::vector<TraceEvent> events_;
};

// Remembers what was decided about the latest requests, for operators.
class Trace
{
public:
  void Add(const reducer::TraceDecision& aNote);
  // Returns what is known of a request; without events if it is not remembered.
  RequestTrace Find(const std::string& aRequest) const;

private:
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, RequestTrace> requests_
    ABSL_GUARDED_BY(mutex_);
  // Requests in the order of their first event.
  std::deque<std::string> order_ ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::entry

#endif
