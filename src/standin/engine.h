#ifndef LYCHEEPLANK_STANDIN_ENGINE_H
#define LYCHEEPLANK_STANDIN_ENGINE_H

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>
#include <nlohmann/json_fwd.hpp>

#include "lycheeplank/net.h"
#include "standin/prefix-cache.h"
#include "standin/standin.h"

namespace lycheeplank::standin {

// Order in which waiting runs are taken.
enum class Priority
{
  Interactive,
  Batch,
};

inline constexpr std::array<core::Named<Priority>, 2> kPriorities{ {
  { Priority::Interactive, "interactive" },
  { Priority::Batch, "batch" },
} };

// A block in a store that a run may import.
struct StoredBlock
{
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
};

// What a caller asks of an engine.
struct RunRequest
{
  std::string id_;
  std::string prompt_;
  std::uint64_t maxTokens_ = 0;
  // The salt takes the place of the workspace.
  std::string cacheSalt_;
  std::string adapter_;
  Priority priority_ = Priority::Interactive;
  // Empty: any.
  std::string weightVersion_;
  std::string storeUrl_;
  std::vector<StoredBlock> imports_;
};

// A reader of a run's events.
struct Subscriber
{
  ExchangePtr exchange_;
  // First token that it wants.
  std::uint64_t from_ = 0;
  bool begun_ = false;
};

// A cached block as it was used by a run.
struct BlockUse
{
  core::BlockKey key_;
  core::CacheScope scope_;
  std::uint64_t generation_ = 0;
};

struct Run
{
  RunRequest request_;
  // Set once the prefill starts.
  std::string weightVersion_;
  std::vector<core::BlockKey> chain_;
  std::uint64_t promptTokens_ = 0;
  // Prompt tokens to compute, as far as known.
  std::uint64_t computeTokens_ = 0;
  std::size_t cachedBlocks_ = 0;
  // Blocks that this run has imported.
  absl::flat_hash_map<core::BlockKey, std::uint64_t> imported_;
  std::size_t importedBlocks_ = 0;
  // Imported blocks that stay in the cache until the prefill has begun.
  std::vector<core::BlockKey> importRetained_;
  // Answers that are still awaited from the store.
  std::size_t importsOpen_ = 0;
  std::vector<BlockUse> uses_;
  // Blocks that stay in the cache until the run ends.
  std::vector<core::BlockKey> retained_;
  std::uint64_t textSeed_ = 0;
  std::uint64_t tokens_ = 0;
  absl::Time nextTokenAt_;
  // The events of start and end; empty until then.
  std::string startEvent_;
  std::string endEvent_;
  std::vector<Subscriber> subscribers_;
  bool admitted_ = false;
  bool ended_ = false;
};

using RunPtr = std::shared_ptr<Run>;

// A copy of blocks to a store.
struct Export
{
  std::string storeUrl_;
  std::vector<core::BlockKey> blocks_;
  std::size_t next_ = 0;
  std::string weightVersion_;
  std::vector<StoredBlock> done_;
  bool failed_ = false;
  bool ended_ = false;
};

using ExportPtr = std::shared_ptr<Export>;

// One block that a run asked a store for.
struct ImportRecord
{
  std::string run_;
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
  // Why it was dropped; empty if it was not.
  std::string fault_;
};

// One order to load a version.
struct OrderRecord
{
  std::uint64_t fence_ = 0;
  std::string version_;
  bool taken_ = false;
};

// One load of a version.
struct LoadRecord
{
  std::string version_;
  absl::Time begun_;
  absl::Time ended_ = absl::InfiniteFuture();
  bool ok_ = false;
};

// All state of an engine.
struct Engine
{
  EngineOptions options_;
  Context& context_;
  PrefixCache cache_;
  std::string weightVersion_;
  // Version under way and the one ordered after it; empty for none.
  std::string loading_;
  std::string nextVersion_;
  std::uint64_t highestFence_ = 0;
  absl::flat_hash_map<std::string, RunPtr> runs_;
  std::deque<RunPtr> waiting_;
  std::deque<RunPtr> prefills_;
  // The run whose prompt is being computed.
  RunPtr prefilling_;
  std::uint32_t running_ = 0;
  // All runs whose prefill was started.
  std::vector<RunPtr> executions_;
  absl::flat_hash_map<std::string, ExportPtr> exports_;
  std::uint64_t lastExport_ = 0;
  // All imports, orders and loads so far, in order.
  std::vector<ImportRecord> imports_;
  std::vector<OrderRecord> orders_;
  std::vector<LoadRecord> loads_;
  // Last, so that no callback outlives what it uses.
  net::Client client_{ 1 };
};

// Returns what the cache blocks of a run belong to under the version served.
core::CacheScope
ScopeOf(const Engine& aEngine, const RunRequest& aRequest);

// Takes a new run in; its caller is the first subscriber.
void
StartRun(Engine& aEngine, RunRequest aRequest, const ExchangePtr& aExchange);

// Sends the events of a run from a token on.
void
Subscribe(Run& aRun, Subscriber aSubscriber);

// Send the events of a run to its subscribers and drop those who have gone.
void
PublishStart(Run& aRun);

void
PublishToken(Run& aRun, std::uint64_t aIndex);

// Ends the streams as well.
void
PublishEnd(Run& aRun, absl::string_view aReason);

// Ends a run early.
void
CancelRun(Engine& aEngine, const RunPtr& aRun);

// Fetches the blocks that a run may import and are not cached; false if there
// are none.
bool
StartImports(Engine& aEngine, const RunPtr& aRun);

// Puts an admitted run into the queue for its prefill.
void
QueuePrefill(Engine& aEngine, const RunPtr& aRun);

// Starts and shows exports.
void
HandleExport(Engine& aEngine, const ExchangePtr& aExchange);

// Takes and shows orders.
void
HandleOrder(Engine& aEngine, const ExchangePtr& aExchange);

} // namespace lycheeplank::standin

#endif
