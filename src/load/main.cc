#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <glog/logging.h>

#include "load/options.h"
#include "lycheeplank/version.h"

namespace {

using namespace lycheeplank::load;
namespace core = lycheeplank::core;
namespace config = lycheeplank::config;

std::string
EnvironmentName(const std::string& aFlag)
{
  return "LYCHEEPLANK_LOAD_" +
         absl::AsciiStrToUpper(absl::StrReplaceAll(aFlag, { { "-", "_" } }));
}

// Adds a flag that can also be set as an environment variable.
template<typename Value>
CLI::Option*
AddFlag(CLI::App& aApp,
        const std::string& aName,
        Value& aValue,
        const std::string& aHelp)
{
  return aApp.add_option("--" + aName, aValue, aHelp)
    ->envname(EnvironmentName(aName))
    ->capture_default_str();
}

// Adds a flag whose value is one of the names in a table.
template<typename Enum, std::size_t N>
CLI::Option*
AddChoice(CLI::App& aApp,
          const std::string& aName,
          const std::array<core::Named<Enum>, N>& aTable,
          Enum& aValue)
{
  return aApp
    .add_option_function<std::string>(
      "--" + aName,
      [&aTable, &aValue](const std::string& aText) {
        const auto value = core::ValueOf(aTable, aText);
        if (!value) {
          throw CLI::ValidationError("use one of " + core::AllNames(aTable));
        }
        aValue = *value;
      },
      core::AllNames(aTable))
    ->envname(EnvironmentName(aName))
    ->default_str(std::string(core::NameOf(aTable, aValue)));
}

// Adds a flag whose value is a number of seconds.
void
AddSeconds(CLI::App& aApp,
           const std::string& aName,
           absl::Duration& aTime,
           const std::string& aHelp)
{
  aApp
    .add_option_function<double>(
      "--" + aName,
      [&aTime](double aValue) { aTime = absl::Seconds(aValue); },
      aHelp)
    ->envname(EnvironmentName(aName))
    ->check(CLI::NonNegativeNumber)
    ->default_str(absl::StrCat(absl::ToDoubleSeconds(aTime)));
}

void
AddTrace(CLI::App& aApp, TraceOptions& aOptions)
{
  AddChoice(aApp, "profile", kProfiles, aOptions.profile_);
  AddFlag(aApp, "rate", aOptions.requestsPerSecond_, "requests per second")
    ->check(CLI::PositiveNumber);
  AddSeconds(
    aApp, "seconds", aOptions.duration_, "length of the trace in seconds");
  AddFlag(aApp, "seed", aOptions.seed_, "equal seeds give equal traces");
  AddSeconds(aApp,
             "min-gap",
             aOptions.minReuseGap_,
             "shortest time until a document is used again, in seconds");
  AddSeconds(aApp,
             "warm-up",
             aOptions.warmUp_,
             "latencies of requests before this time are not reported");
}

void
AddWorkspaces(CLI::App& aApp, ClusterOptions& aOptions)
{
  AddFlag(aApp,
          "workspaces",
          aOptions.workspaces_,
          "workspaces that send requests; all if empty")
    ->delimiter(',')
    ->expected(0, -1);
}

void
AddCluster(CLI::App& aApp, ClusterOptions& aOptions)
{
  AddFlag(aApp, "cluster", aOptions.path_, "cluster.json")->required();
  AddWorkspaces(aApp, aOptions);
}

void
AddRun(CLI::App& aApp, RunOptions& aOptions)
{
  AddCluster(aApp, aOptions.cluster_);
  AddTrace(aApp, aOptions.trace_);
  AddFlag(aApp, "report", aOptions.reportDir_, "folder for result files");
  AddChoice(aApp, "output", kOutputFormats, aOptions.output_);
}

void
AddBench(CLI::App& aApp, BenchOptions& aOptions)
{
  AddCluster(aApp, aOptions.cluster_);
  AddChoice(aApp, "mode", kBenchModes, aOptions.mode_)->required();
  AddFlag(aApp, "parallel", aOptions.parallel_, "concurrent requests");
  AddFlag(aApp, "requests", aOptions.requests_, "total number of requests");
  AddFlag(aApp, "tokens", aOptions.tokens_, "tokens of each stream");
  AddChoice(aApp, "output", kOutputFormats, aOptions.output_);
}

// Parses policy names that are separated by commas.
std::vector<config::Policy>
ParsePolicies(const std::string& aText)
{
  std::vector<config::Policy> policies;
  for (const absl::string_view name : absl::StrSplit(aText, ',')) {
    const auto policy = core::ValueOf(config::kPolicies, name);
    if (!policy) {
      throw CLI::ValidationError("use one or more of " +
                                 core::AllNames(config::kPolicies));
    }
    policies.push_back(*policy);
  }
  return policies;
}

void
AddExperiment(CLI::App& aApp, ExperimentOptions& aOptions)
{
  AddWorkspaces(aApp, aOptions.cluster_);
  AddTrace(aApp, aOptions.trace_);
  aApp
    .add_option_function<std::string>(
      "--policies",
      [&aOptions](const std::string& aText) {
        aOptions.policies_ = ParsePolicies(aText);
      },
      "policies to compare, separated by commas")
    ->envname(EnvironmentName("policies"))
    ->required();
  AddChoice(aApp, "fault", kFaultKinds, aOptions.fault_.kind_);
  AddSeconds(aApp,
             "fault-at",
             aOptions.fault_.at_,
             "time of the fault in seconds from the start");
  AddFlag(aApp, "report", aOptions.reportDir_, "folder for result files")
    ->required();
  AddFlag(aApp,
          "local-cluster",
          aOptions.script_,
          "script that starts and stops clusters");
  AddFlag(aApp, "entries", aOptions.entries_, "entry hosts");
  AddFlag(aApp, "engines", aOptions.engines_, "engines");
  AddFlag(aApp, "services", aOptions.services_, "services");
  AddFlag(aApp, "stores", aOptions.stores_, "stores");
  AddFlag(aApp, "runs", aOptions.runs_, "seeds to run each policy with")
    ->check(CLI::PositiveNumber);
  AddFlag(aApp,
          "cluster-argument",
          aOptions.clusterArguments_,
          "argument for the script's 'up', as --cluster-argument=--token-ms=1");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  google::InitGoogleLogging(aArguments[0]);
  FLAGS_logtostderr = true;
  CLI::App app("Sends load to a cluster and reports the results.");
  app.set_version_flag("--version", lycheeplank::kVersion);
  app.require_subcommand(1);
  RunOptions run;
  BenchOptions bench;
  ExperimentOptions experiment;
  CLI::App* runApp =
    app.add_subcommand("run", "runs one trace and reports the results");
  CLI::App* benchApp =
    app.add_subcommand("bench", "measures throughput or latency");
  CLI::App* experimentApp =
    app.add_subcommand("experiment", "compares policies on the same traces");
  AddRun(*runApp, run);
  AddBench(*benchApp, bench);
  AddExperiment(*experimentApp, experiment);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : lycheeplank::kExitUsage;
  }
  if (runApp->parsed()) {
    return RunCommand(run);
  }
  return benchApp->parsed() ? BenchCommand(bench)
                            : ExperimentCommand(experiment);
}
