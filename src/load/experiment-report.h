#ifndef LYCHEEPLANK_LOAD_EXPERIMENT_REPORT_H
#define LYCHEEPLANK_LOAD_EXPERIMENT_REPORT_H

#include <string>
#include <vector>

#include "load/fault.h"
#include "load/report.h"
#include "load/workload.h"
#include "lycheeplank/config.h"

namespace lycheeplank::load {

// What one policy made of the traces, in the order of their seeds.
struct PolicyResult
{
  config::Policy policy_ = config::Policy::Estimate;
  std::vector<Report> reports_;
};

// Returns report.md; aTrace holds the first seed.
std::string
FormatExperiment(const TraceOptions& aTrace,
                 const FaultOptions& aFault,
                 const std::vector<PolicyResult>& aResults);

// Returns policies.csv: means over the seeds, one line a policy and one for
// the bound.
std::string
FormatPolicyCsv(const std::vector<PolicyResult>& aResults);

// Returns runs.csv, one line a policy and seed.
std::string
FormatRunCsv(const TraceOptions& aTrace,
             const std::vector<PolicyResult>& aResults);

// Returns a script for gnuplot that plots policies.csv into PNG files.
std::string
PlotScript();

} // namespace lycheeplank::load

#endif
