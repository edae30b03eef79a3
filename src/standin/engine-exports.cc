#include "standin/engine.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "standin/block-payload.h"

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kExportPath = "/v1/exports/";
constexpr absl::Duration kStoreCallTimeout = absl::Seconds(60);

// The state of an export.
enum class ExportState
{
  Running,
  Done,
  Failed,
};

inline constexpr std::array<core::Named<ExportState>, 3> kExportStates{ {
  { ExportState::Running, "running" },
  { ExportState::Done, "done" },
  { ExportState::Failed, "failed" },
} };

ExportState
StateOf(const Export& aExport)
{
  if (!aExport.ended_) {
    return ExportState::Running;
  }
  return aExport.failed_ ? ExportState::Failed : ExportState::Done;
}

std::uint64_t
BlockBytes(const Engine& aEngine)
{
  return aEngine.options_.blockTokens_ * aEngine.options_.kvBytesPerToken_;
}

void
ExportNext(Engine& aEngine, const ExportPtr& aExport);

// Completes the current block and continues with the next one, also after a
// failure.
void
FinishBlock(Engine& aEngine, const ExportPtr& aExport, bool aOk)
{
  Release(aEngine.cache_, { aExport->blocks_[aExport->nextBlock_] });
  aExport->failed_ = aExport->failed_ || !aOk;
  ++aExport->nextBlock_;
  ExportNext(aEngine, aExport);
}

// Calls the store and passes the response to aNext on the loop thread.
void
CallStore(Engine& aEngine,
          net::Call aCall,
          std::function<void(const net::Answer&)> aNext)
{
  aCall.timeout_ = kStoreCallTimeout;
  aEngine.client_.Fetch(
    std::move(aCall),
    [&aEngine, next = std::move(aNext)](net::Answer&& aAnswer) {
      aEngine.context_.loop_.Post(
        [next, answer = std::move(aAnswer)] { next(answer); });
    });
}

std::string
BlockUrl(const Export& aExport, absl::string_view aSuffix)
{
  return absl::StrCat(aExport.storeUrl_,
                      "/v1/blocks/",
                      core::ToHex(aExport.blocks_[aExport.nextBlock_]),
                      aSuffix);
}

void
CommitBlock(Engine& aEngine,
            const ExportPtr& aExport,
            std::uint64_t aGeneration)
{
  CallStore(
    aEngine,
    { "POST",
      BlockUrl(*aExport, absl::StrCat("/commit?generation=", aGeneration)) },
    [&aEngine, aExport, aGeneration](const net::Answer& aAnswer) {
      if (aAnswer.Ok()) {
        aExport->exportedBlocks_.push_back(
          { aExport->blocks_[aExport->nextBlock_], aGeneration });
      }
      FinishBlock(aEngine, aExport, aAnswer.Ok());
    });
}

void
SendBlock(Engine& aEngine,
          const ExportPtr& aExport,
          const std::string& aPayload,
          std::uint64_t aGeneration)
{
  CallStore(aEngine,
            { "PUT",
              BlockUrl(*aExport, absl::StrCat("?generation=", aGeneration)),
              {},
              aPayload },
            [&aEngine, aExport, aGeneration](const net::Answer& aAnswer) {
              if (aAnswer.Ok()) {
                CommitBlock(aEngine, aExport, aGeneration);
              } else {
                FinishBlock(aEngine, aExport, false);
              }
            });
}

void
BeginBlock(Engine& aEngine,
           const ExportPtr& aExport,
           const std::string& aPayload,
           const core::BlockKey& aRoot)
{
  const Json body{ { "bytes", BlockBytes(aEngine) },
                   { "length", aPayload.size() },
                   { "checksum", core::Sha256Hex(aPayload) },
                   { "root", core::ToHex(aRoot) } };
  CallStore(aEngine,
            { "POST", BlockUrl(*aExport, "/begin"), {}, body.dump() },
            [&aEngine, aExport, aPayload](const net::Answer& aAnswer) {
              const Json answer = Json::parse(aAnswer.body_, nullptr, false);
              if (!aAnswer.Ok() || !answer.contains("generation")) {
                FinishBlock(aEngine, aExport, false);
                return;
              }
              SendBlock(aEngine,
                        aExport,
                        aPayload,
                        answer["generation"].get<std::uint64_t>());
            });
}

// Copies the next block that is still cached under the export's weight version,
// or ends the export. Skipped blocks make the export fail.
void
ExportNext(Engine& aEngine, const ExportPtr& aExport)
{
  for (; aExport->nextBlock_ < aExport->blocks_.size(); ++aExport->nextBlock_) {
    const core::BlockKey& key = aExport->blocks_[aExport->nextBlock_];
    const auto found = aEngine.cache_.blocks_.find(key);
    if (found == aEngine.cache_.blocks_.end() ||
        found->second.scope_.weightVersion_ != aExport->weightVersion_) {
      aExport->failed_ = true;
      continue;
    }
    const CachedBlock& block = found->second;
    const std::string payload =
      FormatPayload({ key, block.root_, block.scope_ });
    Retain(aEngine.cache_, { key });
    BeginBlock(aEngine, aExport, payload, block.root_);
    return;
  }
  aExport->ended_ = true;
}

void
StartExport(Engine& aEngine, const ExchangePtr& aExchange)
{
  const Json body = Json::parse(aExchange->request_.body_);
  auto started = std::make_shared<Export>();
  started->storeUrl_ = body.at("store_url").get<std::string>();
  started->weightVersion_ = aEngine.weightVersion_;
  for (const Json& block : body.at("blocks")) {
    if (const auto key = core::BlockKeyFromHex(block.get<std::string>())) {
      started->blocks_.push_back(*key);
    }
  }
  const std::string id = absl::StrCat(++aEngine.lastExportId_);
  aEngine.exports_[id] = started;
  ExportNext(aEngine, started);
  ReplyJson(aExchange, 202, { { "export", id } });
}

void
ShowExport(const Engine& aEngine, const Export& aExport, const ExchangePtr& aTo)
{
  Json blocks = Json::array();
  for (const StoredBlock& block : aExport.exportedBlocks_) {
    blocks.push_back({ { "key", core::ToHex(block.key_) },
                       { "generation", block.generation_ },
                       { "bytes", BlockBytes(aEngine) } });
  }
  ReplyJson(
    aTo,
    200,
    { { "state", std::string(core::NameOf(kExportStates, StateOf(aExport))) },
      { "weight_version", aExport.weightVersion_ },
      { "blocks", std::move(blocks) } });
}

} // namespace

void
HandleExport(Engine& aEngine, const ExchangePtr& aExchange)
{
  if (aExchange->request_.method_ == "POST") {
    StartExport(aEngine, aExchange);
    return;
  }
  const std::string id(
    absl::StripPrefix(aExchange->request_.path_, kExportPath));
  if (const auto found = aEngine.exports_.find(id);
      found != aEngine.exports_.end()) {
    ShowExport(aEngine, *found->second, aExchange);
  } else {
    ReplyError(aExchange, 404, "unknown export");
  }
}

} // namespace lycheeplank::standin
