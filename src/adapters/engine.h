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

// One block to be read from a store before the run.
struct ImportBlock
{
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
};

// A run to be started on a model engine.
struct RunParameters
{
  std::string runId_;
  std::string model_;
  std::string adapter_;
  // The version that the run needs; the engine refuses if it serves another.
  std::string weightVersion_;
  // Keeps the cache blocks of workspaces apart.
  std::string cacheSalt_;
  std::uint32_t maxTokens_ = 0;
  bool interactive_ = true;
  std::string importUrl_;
  std::vector<ImportBlock> importBlocks_;
};

// What the engine says when a run starts.
struct RunStart
{
  std::string weightVersion_;
  std::uint64_t promptTokens_ = 0;
  std::uint32_t cachedBlocks_ = 0;
  std::uint32_t importedBlocks_ = 0;
};

// One generated token.
struct RunToken
{
  std::uint64_t index_ = 0;
  std::string text_;
};

// What the engine says when a run is complete.
struct RunFinish
{
  std::string reason_;
  std::uint64_t tokens_ = 0;
  std::string weightVersion_;
  std::vector<core::BlockKey> blocks_;
};

// One event of a run; exactly one part is set.
struct RunEvent
{
  absl::optional<RunStart> start_;
  absl::optional<RunToken> token_;
  absl::optional<RunFinish> finish_;
};

// Load and state as an engine or a plain service reports it.
struct LoadReport
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  std::uint32_t cacheBlocks_ = 0;
  std::uint32_t cacheBlocksUsed_ = 0;
  std::string weightVersion_;
  bool leaving_ = false;
  absl::Duration age_ = absl::ZeroDuration();
};

// One change of an engine's cache.
struct CacheEvent
{
  std::uint64_t sequence_ = 0;
  bool stored_ = false;
  core::BlockKey block_;
  core::BlockKey root_;
};

struct CacheEvents
{
  std::vector<CacheEvent> events_;
  std::uint64_t lastSequence_ = 0;
};

// A block that an export has put into a store.
struct ExportedBlock
{
  core::BlockKey key_;
  std::uint64_t generation_ = 0;
  std::uint64_t bytes_ = 0;
};

// Returns the call that starts a run; its body is made when it is sent.
net::Call
StartRun(const std::string& aUrl,
         RunParameters aOrder,
         std::shared_ptr<const std::string> aPrompt);

// Returns the call that continues a run's stream from a token on.
net::Call
ResumeRun(const std::string& aUrl,
          const std::string& aRunId,
          std::uint64_t aFrom);

// Returns the call that ends a run early.
net::Call
CancelRun(const std::string& aUrl, const std::string& aRunId);

// Reads one event of a run; nothing if it is not one.
absl::optional<RunEvent>
ReadRunEvent(absl::string_view aData);

// Returns the call that asks for the load.
net::Call
QueryLoad(const std::string& aUrl);

absl::optional<LoadReport>
ReadLoad(const std::string& aBody);

// Returns the call that asks for cache events after a sequence number.
net::Call
QueryCacheEvents(const std::string& aUrl, std::uint64_t aAfter);

absl::optional<CacheEvents>
ReadCacheEvents(const std::string& aBody);

// Returns the call that asks for all blocks that an engine caches now.
net::Call
QueryCachedBlocks(const std::string& aUrl);

// Reads all cached blocks as events that store them.
absl::optional<CacheEvents>
ReadCachedBlocks(const std::string& aBody);

// Returns the call that copies blocks into a store.
net::Call
StartExport(const std::string& aUrl,
            const std::string& aStoreUrl,
            const std::vector<core::BlockKey>& aBlocks);

absl::optional<std::string>
ReadExportId(const std::string& aBody);

net::Call
QueryExport(const std::string& aUrl, const std::string& aExport);

// How far an export is.
struct ExportState
{
  bool running_ = false;
  bool done_ = false;
  std::string weightVersion_;
  std::vector<ExportedBlock> blocks_;
};

absl::optional<ExportState>
ReadExport(const std::string& aBody);

} // namespace lycheeplank::adapters

#endif
