#ifndef LYCHEEPLANK_LOAD_REQUEST_H
#define LYCHEEPLANK_LOAD_REQUEST_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load/cluster.h"
#include "load/entry-directory.h"
#include "load/outcome.h"
#include "load/workload.h"
#include "lycheeplank/net.h"
#include "standin/loop.h"

// Sends single requests of a trace; repeats and resumes them as a caller would.
namespace lycheeplank::load {

// The state that all requests of a run share.
struct RequestContext
{
  net::Client& client_;
  EntryDirectory& entries_;
  // Runs delayed attempts.
  standin::Loop& loop_;
  const Cluster& cluster_;
  std::string model_;
  std::vector<std::string> weightVersions_;
  // Unique prefix of this run's idempotency keys.
  std::string runName_;
};

// A request of the trace that is ready to be sent.
struct PlannedRequest
{
  Arrival arrival_;
  // Index in the trace's arrivals.
  std::size_t index_ = 0;
  std::string prompt_;
};

// Receives the outcome when a request has ended.
using OnFinished = std::function<void(Outcome&&)>;

// Sends a completion and calls back when its outcome is final.
void
StartCompletion(RequestContext& aContext,
                PlannedRequest aPlan,
                OnFinished aOnFinished);

// Sends a service call and calls back when its outcome is final.
void
StartServiceCall(RequestContext& aContext,
                 PlannedRequest aPlan,
                 OnFinished aOnFinished);

} // namespace lycheeplank::load

#endif
