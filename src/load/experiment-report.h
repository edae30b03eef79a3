#ifndef LYCHEEPLANK_LOAD_EXPERIMENT_REPORT_H
#define LYCHEEPLANK_LOAD_EXPERIMENT_REPORT_H

#include <string>
#include <vector>

#include "load/fault.h"
#include "load/report.h"
#include "load/workload.h"
#include "lycheeplank/config.h"

namespace lycheeplank::load {

// The reports of one policy, one for each trace, in the order of the seeds.
struct PolicyResult
{
  config::Policy policy_ = config::Policy::Estimate;
  std::vector<Report> reports_;
};

// Returns the content of report.md. aTrace holds the first seed.
std::string
FormatExperiment(const TraceOptions& aTrace,
                 const FaultOptions& aFault,
                 const std::vector<PolicyResult>& aResults);

// Returns the content of policies.csv: means over the seeds, with one line for
// each policy and one for the bound.
std::string
FormatPolicyCsv(const std::vector<PolicyResult>& aResults);

// Returns the content of runs.csv: one line for each policy and seed.
std::string
FormatRunCsv(const TraceOptions& aTrace,
             const std::vector<PolicyResult>& aResults);

// Returns a gnuplot script that plots policies.csv to PNG files.
std::string
PlotScript();

} // namespace lycheeplank::load

#endif
