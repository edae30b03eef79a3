#ifndef LYCHEEPLANK_ADAPTERS_ENGINE_H
#define LYCHEEPLANK_ADAPTERS_ENGINE_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

namespace lycheeplank::adapters {

// A cache block that the engine imports from a store before the run.
struct ImportBlock
{
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
};

// Parameters of a run that is to be started on a model engine.
struct RunParameters
{
  std::string runId_;
  std::string model_;
  std::string adapter_;
  // Weight version that the run needs; an engine that serves another version
  // refuses the run.
  std::string weightVersion_;
  // Separates the cache blocks of different workspaces.
  std::string cacheSalt_;
  std::uint32_t maxTokens_ = 0;
  bool interactive_ = true;
  std::string importUrl_;
  std::vector<ImportBlock> importBlocks_;
};

// Sent by the engine when a run starts.
struct RunStart
{
  std::string weightVersion_;
  std::uint64_t promptTokens_ = 0;
  std::uint32_t cachedBlocks_ = 0;
  std::uint32_t importedBlocks_ = 0;
};

// A generated token.
struct RunToken
{
  std::uint64_t index_ = 0;
  std::string text_;
};

// Sent by the engine when a run is complete.
struct RunFinish
{
  std::string reason_;
  std::uint64_t tokens_ = 0;
  std::string weightVersion_;
  std::vector<core::BlockKey> blocks_;
};

// An event of a run's stream; exactly one member is set.
struct RunEvent
{
  absl::optional<RunStart> start_;
  absl::optional<RunToken> token_;
  absl::optional<RunFinish> finish_;
};

// Load and state as reported by an engine or by a service without a model.
struct LoadReport
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  std::uint32_t cacheBlocks_ = 0;
  std::uint32_t cacheBlocksUsed_ = 0;
  std::string weightVersion_;
  bool leaving_ = false;
  // Age of the figures when they were reported.
  absl::Duration age_ = absl::ZeroDuration();
};

// A block that an engine added to its cache or evicted from it.
struct CacheEvent
{
  std::uint64_t sequence_ = 0;
  // False if the block was evicted.
  bool stored_ = false;
  core::BlockKey block_;
  // Key of the first block of the same prompt.
  core::BlockKey root_;
};

// Cache events and the last sequence number that the engine has assigned.
struct CacheEvents
{
  std::vector<CacheEvent> events_;
  std::uint64_t lastSequence_ = 0;
};

// A block that an export has written to a store.
struct ExportedBlock
{
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
};

// Returns the call that starts a run. The call's body is built on a client
// thread just before the call is sent.
net::Call
StartRun(const std::string& aUrl,
         RunParameters aParameters,
         std::shared_ptr<const std::string> aPrompt);

// Returns the call that resumes a run's stream at token index aFrom.
net::Call
ResumeRun(const std::string& aUrl,
          const std::string& aRunId,
          std::uint64_t aFrom);

// Returns the call that cancels a run.
net::Call
CancelRun(const std::string& aUrl, const std::string& aRunId);

// Parses an event of a run; returns nothing if aData is not a valid event.
absl::optional<RunEvent>
ReadRunEvent(absl::string_view aData);

// Returns the call that queries the load of an engine or service.
net::Call
QueryLoad(const std::string& aUrl);

// Parses a load report; returns nothing if it is malformed.
absl::optional<LoadReport>
ReadLoad(const std::string& aBody);

// Returns the call that queries the cache events after sequence number aAfter.
net::Call
QueryCacheEvents(const std::string& aUrl, std::uint64_t aAfter);

// Parses cache events; returns nothing if they are malformed.
absl::optional<CacheEvents>
ReadCacheEvents(const std::string& aBody);

// Returns the call that queries all blocks in an engine's cache.
net::Call
QueryCachedBlocks(const std::string& aUrl);

// Parses the list of cached blocks into one "stored" event for each block, with
// sequence number 0; returns nothing if it is malformed.
absl::optional<CacheEvents>
ReadCachedBlocks(const std::string& aBody);

// Returns the call that starts an export of blocks from an engine to a store.
net::Call
StartExport(const std::string& aUrl,
            const std::string& aStoreUrl,
            const std::vector<core::BlockKey>& aBlocks);

// Parses the ID of a started export; returns nothing if the body is malformed
// and an empty ID if it has none.
absl::optional<std::string>
ReadExportId(const std::string& aBody);

// Returns the call that queries the state of an export.
net::Call
QueryExport(const std::string& aUrl, const std::string& aExport);

// State of an export.
struct ExportState
{
  bool running_ = false;
  bool done_ = false;
  std::string weightVersion_;
  std::vector<ExportedBlock> blocks_;
};

// Parses the state of an export; returns nothing if it is malformed.
absl::optional<ExportState>
ReadExport(const std::string& aBody);

} // namespace lycheeplank::adapters

#endif
