#ifndef LYCHEEPLANK_LOAD_AUDIT_H
#define LYCHEEPLANK_LOAD_AUDIT_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "load/cluster.h"
#include "lycheeplank/net.h"

// Records of executed work that targets and stores report.
namespace lycheeplank::load {

// Counters of engines and stores before a run, in the order of the cluster
// file.
struct Baseline
{
  // Number of runs that each engine had executed.
  std::vector<std::size_t> runs_;
  // Bytes that each store's link had carried.
  std::vector<std::uint64_t> linkBytes_;
};

// Totals of the work that engines, services and stores did during a run.
struct Audit
{
  std::uint64_t runs_ = 0;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t computedTokens_ = 0;
  std::uint64_t cachedBlocks_ = 0;
  std::uint64_t importedBlocks_ = 0;
  std::uint64_t linkBytes_ = 0;
  // KV cache blocks that were used although they were computed for another
  // workspace (foreign) or weight version (stale).
  std::uint64_t foreignBlocks_ = 0;
  std::uint64_t staleBlocks_ = 0;
  // Number of executions of each idempotency key.
  absl::btree_map<std::string, std::uint32_t> callsByKey_;
  // Names of the members that returned no audit data.
  std::vector<std::string> unreachable_;
};

// Capacities and rates of the engines and stores of a cluster.
struct Hardware
{
  std::uint32_t blockTokens_ = 2000;
  double prefillTokensPerSecond_ = 20000.0;
  std::uint64_t kvBytesPerToken_ = 1000;
  // Sum over all engines.
  std::uint64_t cacheBlocks_ = 0;
  // Rate of each store's link.
  double linkBytesPerSecond_ = 100e6;
  std::uint32_t stores_ = 0;
  std::string model_;
};

// Reads the counters of all engines and stores before a run.
Baseline
ReadBaseline(net::Client& aClient, const Cluster& aCluster);

// Reads the work that was done since the baseline.
Audit
ReadAudit(net::Client& aClient,
          const Cluster& aCluster,
          const Baseline& aBaseline);

// Reads the settings that engines and stores report.
Hardware
ReadHardware(net::Client& aClient, const Cluster& aCluster);

// Returns the weight versions that the engines serve at present.
absl::btree_set<std::string>
ReadWeightVersions(net::Client& aClient, const Cluster& aCluster);

// Adds the runs in an engine's answer to GET /executions. The first aSkip runs
// precede the baseline and are left out.
void
AddEngineRuns(Audit& aAudit, const std::string& aBody, std::size_t aSkip);

// Adds the calls in a service's answer to GET /executions.
void
AddServiceCalls(Audit& aAudit, const std::string& aBody);

} // namespace lycheeplank::load

#endif
