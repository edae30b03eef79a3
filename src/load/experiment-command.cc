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
Text(absl::string_view aText)
{
  return std::string(aText);
}

core::Result<void>
StartCluster(const ExperimentOptions& aOptions,
             const std::string& aDir,
             config::Policy aPolicy)
{
  return RunProgram({ aOptions.script_,
                      "up",
                      "--dir",
                      aDir,
                      "--entries",
                      absl::StrCat(aOptions.entries_),
                      "--engines",
                      absl::StrCat(aOptions.engines_),
                      "--services",
                      absl::StrCat(aOptions.services_),
                      "--stores",
                      absl::StrCat(aOptions.stores_),
                      "--policy",
                      Text(core::NameOf(config::kPolicies, aPolicy)) });
}

core::Result<PolicyResult>
RunOnCluster(const ExperimentOptions& aOptions,
             const std::string& aDir,
             config::Policy aPolicy)
{
  BOOST_LEAF_AUTO(
    cluster,
    OpenCluster({ aDir + "/cluster.json", aOptions.cluster_.workspaces_ }));
  const RunResult result = RunTrace(cluster, aOptions.trace_);
  PolicyResult policy{ aPolicy, MakeReport(result) };
  const std::string name = Text(core::NameOf(config::kPolicies, aPolicy));
  BOOST_LEAF_CHECK(
    WriteFile(aOptions.reportDir_, name + ".json", FormatJson(policy.report_)));
  BOOST_LEAF_CHECK(
    WriteFile(aOptions.reportDir_, name + ".csv", FormatCsv(result)));
  LOG(INFO) << "event=policy_done policy=" << name
            << " ttft_p50_ms=" << policy.report_.firstToken_.p50_
            << " recomputed_share=" << policy.report_.recomputedShare_
            << " clean=" << IsClean(policy.report_);
  return policy;
}

// Runs the trace on a cluster of its own, which is taken down in any case.
core::Result<PolicyResult>
RunPolicy(const ExperimentOptions& aOptions, config::Policy aPolicy)
{
  const std::string dir = absl::StrCat(
    aOptions.reportDir_, "/cluster-", core::NameOf(config::kPolicies, aPolicy));
  BOOST_LEAF_CHECK(StartCluster(aOptions, dir, aPolicy));
  auto result = RunOnCluster(aOptions, dir, aPolicy);
  BOOST_LEAF_CHECK(RunProgram({ aOptions.script_, "down", "--dir", dir }));
  return result;
}

core::Result<void>
WriteReport(const ExperimentOptions& aOptions,
            const std::vector<PolicyResult>& aResults)
{
  const std::string& dir = aOptions.reportDir_;
  BOOST_LEAF_CHECK(
    WriteFile(dir, "report.md", FormatExperiment(aOptions.trace_, aResults)));
  BOOST_LEAF_CHECK(WriteFile(dir, "policies.csv", FormatPolicyCsv(aResults)));
  BOOST_LEAF_CHECK(WriteFile(dir, "plots.gp", PlotScript()));
  return RunProgram(
    { "gnuplot", "-e", absl::StrCat("cd '", dir, "'"), dir + "/plots.gp" });
}

core::Result<int>
RunExperiment(const ExperimentOptions& aOptions)
{
  std::vector<PolicyResult> results;
  bool clean = true;
  for (const config::Policy policy : aOptions.policies_) {
    BOOST_LEAF_AUTO(result, RunPolicy(aOptions, policy));
    clean = clean && IsClean(result.report_);
    results.push_back(std::move(result));
  }
  BOOST_LEAF_CHECK(WriteReport(aOptions, results));
  std::fputs(FormatExperiment(aOptions.trace_, results).c_str(), stdout);
  return clean ? 0 : kExitFailed;
}

} // namespace

int
ExperimentCommand(const ExperimentOptions& aOptions)
{
  return core::HandleError(
    [&] { return RunExperiment(aOptions); },
    [](const core::Error& aError) {
      absl::FPrintF(stderr, "lycheeplank-load: %s\n", core::Describe(aError));
      return kExitFailed;
    });
}

} // namespace lycheeplank::load
