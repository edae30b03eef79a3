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

// What a benchmark measures.
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

// Where load goes.
struct ClusterOptions
{
  // Path of cluster.json.
  std::string path_;
  // Workspaces that send requests; empty: all.
  std::vector<std::string> workspaces_{ "co-operative", "authority" };
};

struct RunOptions
{
  ClusterOptions cluster_;
  TraceOptions trace_;
  // Folder for files; empty for none.
  std::string reportDir_;
  OutputFormat output_ = OutputFormat::Table;
};

struct BenchOptions
{
  ClusterOptions cluster_;
  BenchMode mode_ = BenchMode::Relay;
  // Requests at the same time.
  std::uint32_t parallel_ = 64;
  std::uint32_t requests_ = 1000;
  std::uint32_t tokens_ = 200;
  OutputFormat output_ = OutputFormat::Table;
};

struct ExperimentOptions
{
  // The path is that of each cluster started.
  ClusterOptions cluster_;
  TraceOptions trace_;
  std::vector<config::Policy> policies_;
  FaultOptions fault_;
  // Traces for each policy, with seeds that follow each other.
  std::uint32_t runs_ = 1;
  std::string reportDir_;
  // The script that starts and ends clusters.
  std::string script_ = "support/local-cluster";
  std::uint32_t entries_ = 2;
  std::uint32_t engines_ = 4;
  std::uint32_t services_ = 1;
  std::uint32_t stores_ = 1;
  // Further arguments of the script's `up`.
  std::vector<std::string> clusterArguments_;
};

// Reads the cluster with the workspaces that send requests.
core::Result<Cluster>
OpenCluster(const ClusterOptions& aOptions);

// Each runs one subcommand and returns the exit code of the program.
int
RunCommand(const RunOptions& aOptions);

int
BenchCommand(const BenchOptions& aOptions);

int
ExperimentCommand(const ExperimentOptions& aOptions);

} // namespace lycheeplank::load

#endif
