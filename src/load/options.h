#ifndef LYCHEEPLANK_LOAD_OPTIONS_H
#define LYCHEEPLANK_LOAD_OPTIONS_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "load/cluster.h"
#include "load/fault.h"
#include "load/workload.h"
#include "lycheeplank/config.h"
#include "lycheeplank/core.h"

namespace lycheeplank::load {

enum class OutputFormat
{
  Table,
  Json,
};

inline constexpr std::array<core::Named<OutputFormat>, 2> kOutputFormats{ {
  { OutputFormat::Table, "table" },
  { OutputFormat::Json, "json" },
} };

// The metric that a benchmark measures.
enum class BenchMode
{
  // Tokens per second through one entry host.
  Relay,
  // Short requests per second through one entry host.
  Short,
  // Time to first token through an entry host and directly from an engine.
  Latency,
};

inline constexpr std::array<core::Named<BenchMode>, 3> kBenchModes{ {
  { BenchMode::Relay, "relay" },
  { BenchMode::Short, "short" },
  { BenchMode::Latency, "latency" },
} };

// The cluster and the workspaces that a command uses.
struct ClusterOptions
{
  // Path of cluster.json.
  std::string path_;
  // Names of the workspaces that send requests; all if empty.
  std::vector<std::string> workspaces_{ "co-operative", "authority" };
};

struct RunOptions
{
  ClusterOptions cluster_;
  TraceOptions trace_;
  // Folder for result files; none are written if empty.
  std::string reportDir_;
  OutputFormat output_ = OutputFormat::Table;
};

struct BenchOptions
{
  ClusterOptions cluster_;
  BenchMode mode_ = BenchMode::Relay;
  // Number of concurrent requests.
  std::uint32_t parallel_ = 64;
  std::uint32_t requests_ = 1000;
  // Tokens of each stream.
  std::uint32_t tokens_ = 200;
  OutputFormat output_ = OutputFormat::Table;
};

struct ExperimentOptions
{
  // Only the workspaces are used; each started cluster has its own path.
  ClusterOptions cluster_;
  TraceOptions trace_;
  std::vector<config::Policy> policies_;
  FaultOptions fault_;
  // Number of traces for each policy; their seeds are consecutive.
  std::uint32_t runs_ = 1;
  std::string reportDir_;
  // The script that starts and stops clusters.
  std::string script_ = "support/local-cluster";
  std::uint32_t entries_ = 2;
  std::uint32_t engines_ = 4;
  std::uint32_t services_ = 1;
  std::uint32_t stores_ = 1;
  // Additional arguments for the script's `up` command.
  std::vector<std::string> clusterArguments_;
};

// Reads the cluster file and keeps the workspaces that send requests.
core::Result<Cluster>
OpenCluster(const ClusterOptions& aOptions);

// Each function runs one subcommand and returns the program's exit code.
int
RunCommand(const RunOptions& aOptions);

int
BenchCommand(const BenchOptions& aOptions);

int
ExperimentCommand(const ExperimentOptions& aOptions);

} // namespace lycheeplank::load

#endif
