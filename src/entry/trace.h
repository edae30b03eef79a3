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
  std::string event_;
  std::string detail_;
};

// The recorded decisions about one request, the oldest first.
struct RequestTrace
{
  std::string workspace_;
  reducer::RequestKind kind_ = reducer::RequestKind::Completion;
  std::vector<TraceEvent> events_;
};

// Keeps the decisions about the latest requests, for operators. Thread-safe.
class RequestTraces
{
public:
  // Adds a decision. Drops it if its request has the maximum number of events.
  // Drops the oldest request if there are too many requests.
  void Add(const reducer::TraceDecision& aDecision);
  // Returns the trace of a request; it has no events if there is none.
  RequestTrace Find(const std::string& aRequest) const;

private:
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, RequestTrace> requests_
    ABSL_GUARDED_BY(mutex_);
  // Requests in the order of their first event.
  std::deque<std::string> insertionOrder_ ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::entry

#endif
