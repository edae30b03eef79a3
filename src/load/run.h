#ifndef LYCHEEPLANK_LOAD_RUN_H
#define LYCHEEPLANK_LOAD_RUN_H

#include <string>
#include <vector>

#include "load/audit.h"
#include "load/bound.h"
#include "load/cluster.h"
#include "load/fault.h"
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
  // From the start of the trace to the last outcome.
  absl::Duration took_;
  // Members that didn't confirm a fault or its end.
  std::vector<std::string> unconfirmed_;
};

// Faults that come with a trace.
struct FaultPlan
{
  absl::Duration at_;
  std::vector<FaultOrder> orders_;
};

// Sends the trace's requests at their times and waits for all outcomes. Faults
// come at their time and end before targets and stores are asked.
RunResult
RunTrace(const Cluster& aCluster,
         const TraceOptions& aOptions,
         const FaultPlan& aFaults = {});

} // namespace lycheeplank::load

#endif
