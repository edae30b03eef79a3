#ifndef LYCHEEPLANK_LOAD_EXPERIMENT_REPORT_H
#define LYCHEEPLANK_LOAD_EXPERIMENT_REPORT_H

#include <string>
#include <vector>

#include "load/report.h"
#include "load/workload.h"
#include "lycheeplank/config.h"

namespace lycheeplank::load {

// What one policy made of the trace.
struct PolicyResult
{
  config::Policy policy_ = config::Policy::Estimate;
  Report report_;
};

// Returns report.md.
std::string
FormatExperiment(const TraceOptions& aTrace,
                 const std::vector<PolicyResult>& aResults);

// Returns policies.csv, one line a policy and one for the bound.
std::string
FormatPolicyCsv(const std::vector<PolicyResult>& aResults);

// Returns a script for gnuplot that plots policies.csv into PNG files.
std::string
PlotScript();

} // namespace lycheeplank::load

#endif
