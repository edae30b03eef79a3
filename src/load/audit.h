#ifndef LYCHEEPLANK_LOAD_AUDIT_H
#define LYCHEEPLANK_LOAD_AUDIT_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "load/cluster.h"
#include "lycheeplank/net.h"

// What targets and stores say of the work that they did.
namespace lycheeplank::load {

// Where the counters stood before a run, in the order of the cluster file.
struct Baseline
{
  std::vector<std::size_t> runs_;
  std::vector<std::uint64_t> linkBytes_;
};

struct Audit
{
  std::uint64_t runs_ = 0;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t computedTokens_ = 0;
  std::uint64_t cachedBlocks_ = 0;
  std::uint64_t importedBlocks_ = 0;
  std::uint64_t linkBytes_ = 0;
  // Blocks used that were made for another workspace or weight version.
  std::uint64_t foreignBlocks_ = 0;
  std::uint64_t staleBlocks_ = 0;
  // Executions by idempotency key.
  absl::btree_map<std::string, std::uint32_t> callsByKey_;
  // Members that could not be asked.
  std::vector<std::string> silent_;
};

// Sizes and rates of the engines and stores of a cluster.
struct Hardware
{
  std::uint32_t blockTokens_ = 2000;
  double prefillTokensPerSecond_ = 20000.0;
  std::uint64_t kvBytesPerToken_ = 1000;
  // Over all engines.
  std::uint64_t cacheBlocks_ = 0;
  // Of each store.
  double linkBytesPerSecond_ = 100e6;
  std::uint32_t stores_ = 0;
  std::string model_;
};

Baseline
TakeBaseline(net::Client& aClient, const Cluster& aCluster);

Audit
TakeAudit(net::Client& aClient,
          const Cluster& aCluster,
          const Baseline& aBaseline);

Hardware
ReadHardware(net::Client& aClient, const Cluster& aCluster);

// Returns the weight versions that the engines serve now.
absl::btree_set<std::string>
ReadWeightVersions(net::Client& aClient, const Cluster& aCluster);

// Adds an engine's answer to GET /executions, leaving out the first runs.
void
AddEngine(Audit& aAudit, const std::string& aBody, std::size_t aSkip);

// Adds a service's answer to GET /executions.
void
AddService(Audit& aAudit, const std::string& aBody);

} // namespace lycheeplank::load

#endif
