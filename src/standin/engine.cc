#include "standin/engine.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "standin/load-report.h"

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kRunPath = "/v1/runs/";
constexpr absl::string_view kStreamSuffix = "/stream";
constexpr absl::string_view kCancelSuffix = "/cancel";

std::vector<StoredBlock>
ParseImports(const Json& aImport)
{
  std::vector<StoredBlock> blocks;
  for (const Json& block : aImport.at("blocks")) {
    if (const auto key =
          core::BlockKeyFromHex(block.at("key").get<std::string>())) {
      blocks.push_back({ *key, block.at("generation").get<std::uint64_t>() });
    }
  }
  return blocks;
}

RunRequest
ParseRun(const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  RunRequest request;
  request.id_ = body.value("run_id", core::RandomId());
  request.prompt_ = body.at("prompt").get<std::string>();
  request.maxTokens_ = body.at("max_tokens").get<std::uint64_t>();
  request.cacheSalt_ = body.value("cache_salt", std::string());
  request.adapter_ = body.value("adapter", std::string());
  request.priority_ =
    core::ValueOf(kPriorities, body.value("priority", std::string()))
      .value_or(Priority::Interactive);
  request.weightVersion_ = body.value("weight_version", std::string());
  if (body.contains("import") && body.at("import").is_object()) {
    request.storeUrl_ = body.at("import").at("store_url").get<std::string>();
    request.imports_ = ParseImports(body.at("import"));
  }
  return request;
}

void
HandleRun(Engine& aEngine,
          absl::string_view aRest,
          const ExchangePtr& aExchange)
{
  const bool stream = absl::ConsumeSuffix(&aRest, kStreamSuffix);
  const bool cancel = !stream && absl::ConsumeSuffix(&aRest, kCancelSuffix);
  const auto found = aEngine.runs_.find(std::string(aRest));
  if (found == aEngine.runs_.end() || !(stream || cancel)) {
    ReplyError(aExchange, 404, "unknown run");
    return;
  }
  const RunPtr run = found->second;
  if (stream) {
    Subscribe(*run, { aExchange, QueryNumber(aExchange->request_, "from", 0) });
    return;
  }
  CancelRun(aEngine, run);
  ReplyJson(aExchange, 200, Json::object());
}

std::uint64_t
QueuedPrefillTokens(const Engine& aEngine)
{
  std::uint64_t tokens =
    aEngine.prefilling_ ? aEngine.prefilling_->computeTokens_ : 0;
  for (const auto* queue : { &aEngine.waiting_, &aEngine.prefills_ }) {
    for (const RunPtr& run : *queue) {
      tokens += run->computeTokens_;
    }
  }
  return tokens;
}

Json
LoadOf(const Engine& aEngine)
{
  return { { "running", aEngine.running_ },
           { "waiting", aEngine.waiting_.size() },
           { "queued_prefill_tokens", QueuedPrefillTokens(aEngine) },
           { "cache_blocks", aEngine.cache_.capacity_ },
           { "cache_blocks_used", aEngine.cache_.blocks_.size() },
           { "weight_version", aEngine.weightVersion_ },
           { "leaving", aEngine.context_.faults_.leaving_ } };
}

void
ReplyEvents(const Engine& aEngine, const ExchangePtr& aExchange)
{
  const std::uint64_t after = QueryNumber(aExchange->request_, "after", 0);
  const absl::Time asOf = absl::Now() - aEngine.options_.eventLag_;
  std::uint64_t lastSeq = 0;
  bool allVisible = true;
  Json events = Json::array();
  for (const CacheEvent& event : aEngine.cache_.events_) {
    if (event.time_ > asOf) {
      allVisible = false;
      break;
    }
    lastSeq = event.seq_;
    if (event.seq_ <= after) {
      continue;
    }
    events.push_back(
      { { "seq", event.seq_ },
        { "kind", std::string(core::NameOf(kCacheEventKinds, event.kind_)) },
        { "block", core::ToHex(event.block_) },
        { "root", core::ToHex(event.root_) } });
  }
  lastSeq = allVisible ? aEngine.cache_.lastSeq_ : lastSeq;
  ReplyJson(aExchange,
            200,
            { { "events", std::move(events) }, { "last_seq", lastSeq } });
}

void
ReplyBlocks(const Engine& aEngine, const ExchangePtr& aExchange)
{
  Json blocks = Json::array();
  for (const auto& [key, block] : aEngine.cache_.blocks_) {
    blocks.push_back(
      { { "block", core::ToHex(key) }, { "root", core::ToHex(block.root_) } });
  }
  ReplyJson(aExchange,
            200,
            { { "blocks", std::move(blocks) },
              { "last_seq", aEngine.cache_.lastSeq_ } });
}

Json
UsesOf(const Run& aRun)
{
  Json blocks = Json::array();
  for (const BlockUse& use : aRun.uses_) {
    blocks.push_back({ { "key", core::ToHex(use.key_) },
                       { "cache_salt", use.scope_.workspace_ },
                       { "weight_version", use.scope_.weightVersion_ },
                       { "generation", use.generation_ } });
  }
  return blocks;
}

Json
SettingsOf(const Engine& aEngine)
{
  const EngineOptions& options = aEngine.options_;
  return { { "model", options.model_ },
           { "block_tokens", options.blockTokens_ },
           { "cache_blocks", options.cacheBlocks_ },
           { "prefill_rate", options.prefillTokensPerSecond_ },
           { "kv_bytes_per_token", options.kvBytesPerToken_ },
           { "token_ms", absl::ToDoubleMilliseconds(options.tokenTime_) } };
}

Json
ImportsOf(const Engine& aEngine)
{
  Json imports = Json::array();
  for (const auto& record : aEngine.imports_) {
    imports.push_back({ { "run_id", record.run_ },
                        { "key", core::ToHex(record.key_) },
                        { "generation", record.generation_ },
                        { "fault", record.fault_ } });
  }
  return imports;
}

Json
OrdersOf(const Engine& aEngine)
{
  Json orders = Json::array();
  for (const auto& record : aEngine.orders_) {
    orders.push_back({ { "fence", record.fence_ },
                       { "version", record.version_ },
                       { "taken", record.accepted_ } });
  }
  return orders;
}

// Returns the records of all loads; the end of an unfinished load is 0.
Json
LoadsOf(const Engine& aEngine)
{
  Json loads = Json::array();
  for (const auto& record : aEngine.loads_) {
    const bool ended = record.endedAt_ != absl::InfiniteFuture();
    loads.push_back(
      { { "version", record.version_ },
        { "begun_unix_us", absl::ToUnixMicros(record.startedAt_) },
        { "ended_unix_us", ended ? absl::ToUnixMicros(record.endedAt_) : 0 },
        { "ok", record.ok_ } });
  }
  return loads;
}

void
ReplyExecutions(const Engine& aEngine, const ExchangePtr& aExchange)
{
  Json runs = Json::array();
  for (const RunPtr& run : aEngine.executions_) {
    runs.push_back({ { "run_id", run->request_.id_ },
                     { "cache_salt", run->request_.cacheSalt_ },
                     { "model", aEngine.options_.model_ },
                     { "weight_version", run->weightVersion_ },
                     { "prompt_tokens", run->promptTokens_ },
                     { "computed_tokens", run->computeTokens_ },
                     { "cached_blocks", run->cachedBlocks_ },
                     { "imported_blocks", run->importedBlocks_ },
                     { "blocks", UsesOf(*run) } });
  }
  ReplyJson(aExchange,
            200,
            { { "runs", std::move(runs) },
              { "imports", ImportsOf(aEngine) },
              { "orders", OrdersOf(aEngine) },
              { "loads", LoadsOf(aEngine) },
              { "settings", SettingsOf(aEngine) } });
}

void
Handle(Engine& aEngine, LaggingReport& aReport, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  aEngine.cache_.gapsEvery_ = aEngine.context_.faults_.gapsEvery_;
  absl::string_view rest = request.path_;
  if (request.path_ == "/v1/completions") {
    StartRun(aEngine, ParseRun(request.body_), aExchange);
  } else if (absl::ConsumePrefix(&rest, kRunPath)) {
    HandleRun(aEngine, rest, aExchange);
  } else if (request.path_ == "/v1/load") {
    aReport.Reply(aExchange);
  } else if (request.path_ == "/v1/events") {
    ReplyEvents(aEngine, aExchange);
  } else if (request.path_ == "/v1/blocks") {
    ReplyBlocks(aEngine, aExchange);
  } else if (absl::StartsWith(request.path_, "/v1/exports")) {
    HandleExport(aEngine, aExchange);
  } else if (request.path_ == "/v1/orders") {
    HandleOrder(aEngine, aExchange);
  } else if (request.path_ == "/executions") {
    ReplyExecutions(aEngine, aExchange);
  } else {
    ReplyError(aExchange, 404, "unknown path");
  }
}

} // namespace

std::unique_ptr<StandinServer>
StartEngine(const EngineOptions& aOptions)
{
  auto context = std::make_shared<Context>();
  const std::shared_ptr<Engine> engine(new Engine{ aOptions, *context });
  engine->cache_.capacity_ = aOptions.cacheBlocks_;
  engine->weightVersion_ = aOptions.weightVersion_;
  auto report = std::make_shared<LaggingReport>(
    context->loop_, aOptions.reportLag_, [&state = *engine] {
      return LoadOf(state);
    });
  return std::make_unique<StandinServer>(
    aOptions.common_, context, [engine, report](const ExchangePtr& aExchange) {
      Handle(*engine, *report, aExchange);
    });
}

} // namespace lycheeplank::standin
