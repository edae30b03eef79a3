#include "load/options.h"

#include <cstdio>
#include <filesystem>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <glog/logging.h>

#include "load/cluster.h"
#include "load/experiment-report.h"
#include "load/files.h"
#include "load/run.h"
#include "load/subprocess.h"
#include "lycheeplank/version.h"

namespace lycheeplank::load {

namespace {

std::string
ToString(absl::string_view aText)
{
  return std::string(aText);
}

core::Result<void>
StartCluster(const ExperimentOptions& aOptions,
             const std::string& aDir,
             config::Policy aPolicy)
{
  std::vector<std::string> arguments{
    aOptions.script_, "up",
    "--dir",          aDir,
    "--entries",      absl::StrCat(aOptions.entries_),
    "--engines",      absl::StrCat(aOptions.engines_),
    "--services",     absl::StrCat(aOptions.services_),
    "--stores",       absl::StrCat(aOptions.stores_),
    "--policy",       ToString(core::NameOf(config::kPolicies, aPolicy))
  };
  arguments.insert(arguments.end(),
                   aOptions.clusterArguments_.begin(),
                   aOptions.clusterArguments_.end());
  return RunProgram(arguments);
}

core::Result<Report>
RunOnCluster(const ExperimentOptions& aOptions,
             const TraceOptions& aTrace,
             const std::string& aDir,
             const std::string& aName)
{
  BOOST_LEAF_AUTO(
    cluster,
    OpenCluster({ aDir + "/cluster.json", aOptions.cluster_.workspaces_ }));
  BOOST_LEAF_AUTO(commands,
                  PlanFault(cluster, aOptions.fault_.kind_, aTrace.seed_));
  const RunResult result =
    RunTrace(cluster, aTrace, { aOptions.fault_.at_, std::move(commands) });
  Report report = MakeReport(result);
  BOOST_LEAF_CHECK(
    WriteFile(aOptions.reportDir_, aName + ".json", FormatJson(report)));
  BOOST_LEAF_CHECK(
    WriteFile(aOptions.reportDir_, aName + ".csv", FormatCsv(result)));
  LOG(INFO) << "event=policy_done run=" << aName
            << " ttft_p50_ms=" << report.firstToken_.p50_
            << " recomputed_share=" << report.recomputedShare_
            << " clean=" << IsClean(report);
  return report;
}

// Runs a trace on a new cluster, which is stopped even if the run fails.
core::Result<Report>
RunPolicy(const ExperimentOptions& aOptions,
          const TraceOptions& aTrace,
          config::Policy aPolicy)
{
  const std::string name =
    absl::StrCat(core::NameOf(config::kPolicies, aPolicy), "-", aTrace.seed_);
  const std::string dir = absl::StrCat(aOptions.reportDir_, "/cluster-", name);
  LOG(INFO) << "event=policy_started run=" << name;
  BOOST_LEAF_CHECK(StartCluster(aOptions, dir, aPolicy));
  auto report = RunOnCluster(aOptions, aTrace, dir, name);
  BOOST_LEAF_CHECK(
    RunProgram({ aOptions.script_, "down", "--now", "--dir", dir }));
  return report;
}

core::Result<void>
WriteReport(const ExperimentOptions& aOptions,
            const std::vector<PolicyResult>& aResults)
{
  const std::string& dir = aOptions.reportDir_;
  BOOST_LEAF_CHECK(
    WriteFile(dir,
              "report.md",
              FormatExperiment(aOptions.trace_, aOptions.fault_, aResults)));
  BOOST_LEAF_CHECK(WriteFile(dir, "policies.csv", FormatPolicyCsv(aResults)));
  BOOST_LEAF_CHECK(
    WriteFile(dir, "runs.csv", FormatRunCsv(aOptions.trace_, aResults)));
  BOOST_LEAF_CHECK(WriteFile(dir, "plots.gp", PlotScript()));
  return RunProgram(
    { "gnuplot", "-e", absl::StrCat("cd '", dir, "'"), dir + "/plots.gp" });
}

// Runs each seed with all policies before the next seed, so that a change in
// the machine's load affects all policies.
core::Result<int>
RunExperiment(const ExperimentOptions& aOptions)
{
  std::vector<PolicyResult> results;
  for (const config::Policy policy : aOptions.policies_) {
    results.push_back({ policy, {} });
  }
  bool clean = true;
  TraceOptions trace = aOptions.trace_;
  for (std::uint32_t run = 0; run < aOptions.runs_; ++run, ++trace.seed_) {
    for (PolicyResult& result : results) {
      BOOST_LEAF_AUTO(report, RunPolicy(aOptions, trace, result.policy_));
      clean = clean && IsClean(report);
      result.reports_.push_back(std::move(report));
    }
  }
  BOOST_LEAF_CHECK(WriteReport(aOptions, results));
  std::fputs(
    FormatExperiment(aOptions.trace_, aOptions.fault_, results).c_str(),
    stdout);
  return clean ? 0 : kExitFailed;
}

} // namespace

int
ExperimentCommand(const ExperimentOptions& aOptions)
{
  ExperimentOptions options = aOptions;
  // gnuplot runs inside the report folder, so the path must be absolute.
  options.reportDir_ = std::filesystem::absolute(aOptions.reportDir_).string();
  return core::HandleError(
    [&] { return RunExperiment(options); },
    [](const core::Error& aError) {
      absl::FPrintF(stderr, "lycheeplank-load: %s\n", core::Describe(aError));
      return kExitFailed;
    });
}

} // namespace lycheeplank::load
