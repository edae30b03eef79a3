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

// The results of running a trace against a cluster.
struct RunResult
{
  Trace trace_;
  Hardware hardware_;
  // Outcomes in the order of the arrivals.
  std::vector<Outcome> outcomes_;
  Audit audit_;
  BoundSummary bound_;
  // Time from the start of the trace to the last outcome.
  absl::Duration elapsed_;
  // Names of the members that didn't confirm a fault or its end.
  std::vector<std::string> unconfirmed_;
};

// The commands that inject faults, and their time from the start of the trace.
struct FaultPlan
{
  absl::Duration at_;
  std::vector<FaultCommand> commands_;
};

// Generates a trace, sends its requests at their arrival times and waits for
// all outcomes. Faults are injected at their time and ended before the audit
// queries targets and stores.
RunResult
RunTrace(const Cluster& aCluster,
         const TraceOptions& aOptions,
         const FaultPlan& aFaults = {});

} // namespace lycheeplank::load

#endif
