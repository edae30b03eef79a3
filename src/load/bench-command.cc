#include "load/options.h"

#include <algorithm>
#include <cstdio>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "load/audit.h"
#include "load/closed-loop.h"
#include "load/cluster.h"
#include "load/statistics.h"
#include "lycheeplank/version.h"

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr unsigned kClientThreads = 2;
constexpr absl::Duration kCallLimit = absl::Minutes(5);

// The results of a benchmark, by name.
struct Metrics
{
  std::vector<std::pair<std::string, double>> values_;
  std::uint32_t failed_ = 0;
};

// The settings and clients that all calls of a benchmark share.
struct Bench
{
  const Cluster& cluster_;
  const BenchOptions& options_;
  std::string model_;
  net::Client& client_;
  // Unique prefix of this run's prompts, so that no earlier run has cached
  // them.
  std::string runName_;
};

std::string
PromptOf(const Bench& aBench, std::uint32_t aIndex)
{
  return absl::StrCat(aBench.runName_, " prompt ", aIndex);
}

net::Call
MakeEntryCall(const Bench& aBench,
              std::uint32_t aIndex,
              std::uint32_t aTokens,
              bool aStream)
{
  const auto& workspaces = aBench.cluster_.workspaces_;
  const Workspace& workspace = workspaces[aIndex % workspaces.size()];
  net::Call call;
  call.method_ = "POST";
  call.url_ = aBench.cluster_.entries_[0].http_ + "/v1/completions";
  call.headers_ = { { "Authorization",
                      absl::StrCat("Bearer ", workspace.key_) } };
  call.body_ = Json({ { "model", aBench.model_ },
                      { "prompt", PromptOf(aBench, aIndex) },
                      { "max_tokens", aTokens },
                      { "stream", aStream } })
                 .dump();
  call.timeout_ = kCallLimit;
  return call;
}

net::Call
MakeEngineCall(const Bench& aBench, std::uint32_t aIndex, std::uint32_t aTokens)
{
  const auto& engines = aBench.cluster_.engines_;
  net::Call call;
  call.method_ = "POST";
  call.url_ = engines[aIndex % engines.size()].http_ + "/v1/completions";
  call.body_ =
    Json({ { "model", aBench.model_ },
           { "prompt", PromptOf(aBench, aIndex) },
           { "max_tokens", aTokens },
           { "run_id", absl::StrCat(aBench.runName_, "-direct-", aIndex) },
           { "cache_salt", "bench" } })
      .dump();
  call.timeout_ = kCallLimit;
  return call;
}

std::uint32_t
CountFailed(const std::vector<CallTimes>& aTimes)
{
  return static_cast<std::uint32_t>(
    std::count_if(aTimes.begin(), aTimes.end(), [](const CallTimes& aEach) {
      return !aEach.ok_;
    }));
}

// Summarises the time to first token, in milliseconds, of the calls that
// succeeded with at least one token.
Summary
SummariseFirstTokens(const std::vector<CallTimes>& aTimes)
{
  std::vector<double> milliseconds;
  for (const CallTimes& times : aTimes) {
    if (times.ok_ && times.firstTokenAt_) {
      milliseconds.push_back(
        absl::ToDoubleMilliseconds(*times.firstTokenAt_ - times.startedAt_));
    }
  }
  return Summarise(std::move(milliseconds));
}

Metrics
MeasureRelay(const Bench& aBench)
{
  const absl::Time start = absl::Now();
  const auto times = RunClosedLoop(
    aBench.client_,
    aBench.options_.requests_,
    aBench.options_.parallel_,
    [&](std::uint32_t aIndex) {
      return MakeEntryCall(aBench, aIndex, aBench.options_.tokens_, true);
    });
  const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
  std::uint64_t tokens = 0;
  for (const CallTimes& call : times) {
    tokens += call.tokens_;
  }
  return { { { "tokens_per_second", static_cast<double>(tokens) / seconds },
             { "tokens", static_cast<double>(tokens) },
             { "seconds", seconds } },
           CountFailed(times) };
}

Metrics
MeasureShort(const Bench& aBench)
{
  const absl::Time start = absl::Now();
  const auto times =
    RunClosedLoop(aBench.client_,
                  aBench.options_.requests_,
                  aBench.options_.parallel_,
                  [&](std::uint32_t aIndex) {
                    return MakeEntryCall(aBench, aIndex, 1, false);
                  });
  const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
  std::vector<double> milliseconds;
  milliseconds.reserve(times.size());
  for (const CallTimes& call : times) {
    milliseconds.push_back(
      absl::ToDoubleMilliseconds(call.endedAt_ - call.startedAt_));
  }
  const Summary summary = Summarise(std::move(milliseconds));
  return { { { "requests_per_second",
               static_cast<double>(times.size()) / seconds },
             { "p50_ms", summary.p50_ },
             { "p95_ms", summary.p95_ },
             { "p99_ms", summary.p99_ } },
           CountFailed(times) };
}

// Measures direct and relayed calls alternately, one call at a time, so that
// both run under the same conditions.
Metrics
MeasureLatency(const Bench& aBench)
{
  std::vector<CallTimes> direct;
  std::vector<CallTimes> relayed;
  for (std::uint32_t at = 0; at < aBench.options_.requests_; ++at) {
    const auto runOne = [&](const MakeCall& aMakeCall) {
      return RunClosedLoop(aBench.client_, 1, 1, aMakeCall).front();
    };
    direct.push_back(
      runOne([&](std::uint32_t) { return MakeEngineCall(aBench, at, 1); }));
    relayed.push_back(runOne(
      [&](std::uint32_t) { return MakeEntryCall(aBench, at, 1, true); }));
  }
  const Summary engine = SummariseFirstTokens(direct);
  const Summary entry = SummariseFirstTokens(relayed);
  return { { { "direct_p50_ms", engine.p50_ },
             { "direct_p99_ms", engine.p99_ },
             { "entry_p50_ms", entry.p50_ },
             { "entry_p99_ms", entry.p99_ },
             { "added_p50_ms", entry.p50_ - engine.p50_ },
             { "added_p99_ms", entry.p99_ - engine.p99_ } },
           CountFailed(direct) + CountFailed(relayed) };
}

Metrics
Measure(const Bench& aBench)
{
  switch (aBench.options_.mode_) {
    case BenchMode::Relay:
      return MeasureRelay(aBench);
    case BenchMode::Short:
      return MeasureShort(aBench);
    case BenchMode::Latency:
      return MeasureLatency(aBench);
  }
  return {};
}

void
Print(const Metrics& aMetrics, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    Json json{ { "failed", aMetrics.failed_ } };
    for (const auto& [name, value] : aMetrics.values_) {
      json[name] = value;
    }
    std::puts(json.dump(2).c_str());
    return;
  }
  for (const auto& [name, value] : aMetrics.values_) {
    absl::PrintF("%-24s %12.2f\n", name, value);
  }
  absl::PrintF("%-24s %12d\n", "failed", aMetrics.failed_);
}

} // namespace

int
BenchCommand(const BenchOptions& aOptions)
{
  return core::HandleError(
    [&]() -> core::Result<int> {
      BOOST_LEAF_AUTO(cluster, OpenCluster(aOptions.cluster_));
      net::Client client(kClientThreads);
      const Hardware hardware = ReadHardware(client, cluster);
      const Metrics metrics =
        Measure({ cluster,
                  aOptions,
                  hardware.model_,
                  client,
                  absl::StrCat("bench-", core::RandomId()) });
      Print(metrics, aOptions.output_);
      return metrics.failed_ == 0 ? 0 : kExitFailed;
    },
    [](const core::Error& aError) {
      absl::FPrintF(stderr, "lycheeplank-load: %s\n", core::Describe(aError));
      return kExitFailed;
    });
}

} // namespace lycheeplank::load
