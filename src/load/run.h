#ifndef LYCHEEPLANK_LOAD_RUN_H
#define LYCHEEPLANK_LOAD_RUN_H

#include <string>
#include <vector>

#include "load/audit.h"
#include "load/bound.h"
#include "load/cluster.h"
#include "load/outcome.h"
#include "load/workload.h"

namespace lycheeplank::load {

// All that is known after a trace was run against a cluster.
struct RunResult
{
  Trace trace_;
  Hardware hardware_;
  // In the order of the arrivals.
  std::vector<Outcome> outcomes_;
  Audit audit_;
  BoundSummary bound_;
};

// Sends the trace's requests at their times and waits for all outcomes.
RunResult
RunTrace(const Cluster& aCluster, const TraceOptions& aOptions);

} // namespace lycheeplank::load

#endif
