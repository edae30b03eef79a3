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

// The priority of a run. Waiting interactive runs start before batch runs.
enum class Priority
{
  Interactive,
  Batch,
};

inline constexpr std::array<core::Named<Priority>, 2> kPriorities{ {
  { Priority::Interactive, "interactive" },
  { Priority::Batch, "batch" },
} };

// A block in a store, identified by its key and the generation of its write.
struct StoredBlock
{
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
};

// The body of a POST /v1/completions request.
struct RunRequest
{
  std::string id_;
  std::string prompt_;
  std::uint64_t maxTokens_ = 0;
  // The engine uses the salt as the workspace of the cache scope.
  std::string cacheSalt_;
  std::string adapter_;
  Priority priority_ = Priority::Interactive;
  // The weight version required by the caller; empty accepts any.
  std::string weightVersion_;
  // The store and the blocks that the run may import from it.
  std::string storeUrl_;
  std::vector<StoredBlock> imports_;
};

// A client that reads the event stream of a run.
struct Subscriber
{
  ExchangePtr exchange_;
  // The index of the first token to send.
  std::uint64_t firstToken_ = 0;
  bool streamStarted_ = false;
};

// A cached block that a run used, with the properties it had at that time.
struct BlockUse
{
  core::BlockKey key_;
  core::CacheScope scope_;
  std::uint64_t generation_ = 0;
};

// A request and the state of its execution.
struct Run
{
  RunRequest request_;
  // The version that executes the run; empty until the prefill starts.
  std::string weightVersion_;
  std::vector<core::BlockKey> chain_;
  std::uint64_t promptTokens_ = 0;
  // The prompt tokens to compute. This is an estimate until the prefill starts.
  std::uint64_t computeTokens_ = 0;
  std::size_t cachedBlocks_ = 0;
  // The blocks imported by this run, with their generations.
  absl::flat_hash_map<core::BlockKey, std::uint64_t> imported_;
  std::size_t importedBlocks_ = 0;
  // Imported blocks that are protected from eviction until the prefill starts.
  std::vector<core::BlockKey> importRetained_;
  // The number of block fetches without a response.
  std::size_t pendingImports_ = 0;
  std::vector<BlockUse> uses_;
  // Blocks that are protected from eviction until the run ends.
  std::vector<core::BlockKey> retained_;
  std::uint64_t textSeed_ = 0;
  std::uint64_t tokens_ = 0;
  absl::Time nextTokenAt_;
  // The start and end events in SSE format; each is empty until it is sent.
  std::string startEvent_;
  std::string endEvent_;
  std::vector<Subscriber> subscribers_;
  bool admitted_ = false;
  bool ended_ = false;
};

using RunPtr = std::shared_ptr<Run>;

// A job that copies cached blocks to a store, one after the other.
struct Export
{
  std::string storeUrl_;
  std::vector<core::BlockKey> blocks_;
  std::size_t nextBlock_ = 0;
  std::string weightVersion_;
  std::vector<StoredBlock> exportedBlocks_;
  bool failed_ = false;
  bool ended_ = false;
};

using ExportPtr = std::shared_ptr<Export>;

// A record of one block fetched from a store for a run.
struct ImportRecord
{
  std::string run_;
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
  // The reason for which the block was discarded; empty if it was not.
  std::string fault_;
};

// A record of one order to load a weight version.
struct OrderRecord
{
  std::uint64_t fence_ = 0;
  std::string version_;
  bool accepted_ = false;
};

// A record of one load of a weight version.
struct LoadRecord
{
  std::string version_;
  absl::Time startedAt_;
  absl::Time endedAt_ = absl::InfiniteFuture();
  bool ok_ = false;
};

// The state of a stand-in engine. Only the loop thread accesses it.
struct Engine
{
  EngineOptions options_;
  Context& context_;
  PrefixCache cache_;
  std::string weightVersion_;
  // The version being loaded and the one to load next; empty if there is none.
  std::string loadingVersion_;
  std::string pendingVersion_;
  std::uint64_t highestFence_ = 0;
  absl::flat_hash_map<std::string, RunPtr> runs_;
  std::deque<RunPtr> waiting_;
  std::deque<RunPtr> prefills_;
  // The run in prefill; null if there is none.
  RunPtr prefilling_;
  std::uint32_t running_ = 0;
  // All runs whose prefill has started, in that order.
  std::vector<RunPtr> executions_;
  absl::flat_hash_map<std::string, ExportPtr> exports_;
  std::uint64_t lastExportId_ = 0;
  // All imports, orders and loads so far, in order.
  std::vector<ImportRecord> imports_;
  std::vector<OrderRecord> orders_;
  std::vector<LoadRecord> loads_;
  // Declared last: it is destroyed first, so that no callback uses a destroyed
  // member.
  net::Client client_{ 1 };
};

// Returns the cache scope of a request under the weight version now served.
core::CacheScope
ScopeOf(const Engine& aEngine, const RunRequest& aRequest);

// Accepts or rejects a new run. The caller becomes its first subscriber.
void
StartRun(Engine& aEngine, RunRequest aRequest, const ExchangePtr& aExchange);

// Sends the past events of a run, from the subscriber's first token, and
// registers the subscriber for the later ones.
void
Subscribe(Run& aRun, Subscriber aSubscriber);

// Sends the start event to the subscribers and removes those that have
// disconnected.
void
PublishStart(Run& aRun);

// Sends one token in the same way.
void
PublishToken(Run& aRun, std::uint64_t aIndex);

// Sends the end event and closes all streams of the run.
void
PublishEnd(Run& aRun, absl::string_view aReason);

// Ends a run with the reason "cancelled"; no effect on an ended run.
void
CancelRun(Engine& aEngine, const RunPtr& aRun);

// Starts to fetch the blocks that follow the cached prefix of a run and that it
// may import. Returns false if there are none.
bool
StartImports(Engine& aEngine, const RunPtr& aRun);

// Adds an admitted run to the prefill queue.
void
QueuePrefill(Engine& aEngine, const RunPtr& aRun);

// Handles requests that start an export or read its state.
void
HandleExport(Engine& aEngine, const ExchangePtr& aExchange);

// Handles orders to load weights and requests for the state of loading.
void
HandleOrder(Engine& aEngine, const ExchangePtr& aExchange);

} // namespace lycheeplank::standin

#endif
