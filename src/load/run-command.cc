#include "load/options.h"

#include <cstdio>

#include <glog/logging.h>

#include "load/files.h"
#include "load/report.h"
#include "load/run.h"
#include "lycheeplank/version.h"

namespace lycheeplank::load {

core::Result<Cluster>
OpenCluster(const ClusterOptions& aOptions)
{
  BOOST_LEAF_AUTO(cluster, ReadCluster(aOptions.path_));
  return SelectWorkspaces(std::move(cluster), aOptions.workspaces_);
}

int
RunCommand(const RunOptions& aOptions)
{
  return core::HandleError(
    [&]() -> core::Result<int> {
      BOOST_LEAF_AUTO(cluster, OpenCluster(aOptions.cluster_));
      const RunResult result = RunTrace(cluster, aOptions.trace_);
      const Report report = MakeReport(result);
      const std::string text = aOptions.output_ == OutputFormat::Json
                                 ? FormatJson(report) + "\n"
                                 : FormatTable(report);
      std::fputs(text.c_str(), stdout);
      if (const std::string& dir = aOptions.reportDir_; !dir.empty()) {
        BOOST_LEAF_CHECK(WriteFile(dir, "run.json", FormatJson(report)));
        BOOST_LEAF_CHECK(WriteFile(dir, "requests.csv", FormatCsv(result)));
      }
      return IsClean(report) ? 0 : kExitFailed;
    },
    [](const core::Error& aError) {
      std::fprintf(
        stderr, "lycheeplank-load: %s\n", core::Describe(aError).c_str());
      return kExitFailed;
    });
}

} // namespace lycheeplank::load
