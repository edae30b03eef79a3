#include "adapters/engine.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include "adapters/json-text.h"
#include "adapters/json.h"

namespace lycheeplank::adapters {

namespace {

using detail::ReadBody;
using detail::ReadKey;
using nlohmann::json;

constexpr absl::Duration kQueryTimeout = absl::Seconds(2);

net::Call
GetCall(const std::string& aUrl, const std::string& aPath)
{
  net::Call call;
  call.url_ = aUrl + aPath;
  call.timeout_ = kQueryTimeout;
  return call;
}

net::Call
PostCall(const std::string& aUrl, const std::string& aPath, std::string aBody)
{
  net::Call call = GetCall(aUrl, aPath);
  call.method_ = "POST";
  call.headers_.push_back({ "Content-Type", "application/json" });
  call.body_ = std::move(aBody);
  return call;
}

// Reads a count that others are compared with. Returns nothing if the field is
// absent or negative, or is a fraction or a flag, which the parser would
// convert.
absl::optional<std::uint64_t>
ReadCount(const json& aBody, const char* aName)
{
  const auto count = aBody.find(aName);
  if (count == aBody.end() || !count->is_number_unsigned()) {
    return absl::nullopt;
  }
  return count->get<std::uint64_t>();
}

RunStart
ReadStart(const json& aBody)
{
  RunStart start;
  start.weightVersion_ = aBody.at("weight_version").get<std::string>();
  start.promptTokens_ = aBody.value("prompt_tokens", std::uint64_t{ 0 });
  start.cachedBlocks_ = aBody.value("cached_blocks", 0U);
  start.importedBlocks_ = aBody.value("imported_blocks", 0U);
  return start;
}

// Reads a token event in the form that engines use for most tokens, without the
// cost of a JSON parser. Returns nothing for any other form; the caller then
// runs the JSON parser.
absl::optional<RunToken>
ReadPlainToken(absl::string_view aData)
{
  constexpr absl::string_view kTextField = R"(,"text":")";
  if (!absl::ConsumePrefix(&aData, R"({"index":)") ||
      !absl::ConsumeSuffix(&aData, R"("})")) {
    return absl::nullopt;
  }
  const std::size_t end = aData.find(kTextField);
  if (end == absl::string_view::npos) {
    return absl::nullopt;
  }
  const absl::string_view digits = aData.substr(0, end);
  const absl::string_view text = aData.substr(end + kTextField.size());
  RunToken token;
  // Signs, spaces and leading zeros are left to the JSON parser, because
  // SimpleAtoi accepts some of them.
  const bool isPlain = !digits.empty() && digits.front() >= '1' &&
                       digits.front() <= '9' &&
                       absl::SimpleAtoi(digits, &token.index_) &&
                       absl::ascii_isdigit(digits.back());
  if (!isPlain || !NeedsNoJsonEscapes(text)) {
    return absl::nullopt;
  }
  token.text_ = std::string(text);
  return token;
}

absl::optional<RunFinish>
ReadFinish(const json& aBody)
{
  const auto tokens = ReadCount(aBody, "tokens");
  if (!tokens) {
    return absl::nullopt;
  }
  RunFinish finish;
  finish.reason_ = aBody.at("finish_reason").get<std::string>();
  finish.tokens_ = *tokens;
  finish.weightVersion_ = aBody.value("weight_version", "");
  for (const auto& item : aBody.value("blocks", json::array())) {
    if (const auto key = core::BlockKeyFromHex(item.get<std::string>()); key) {
      finish.blocks_.push_back(*key);
    }
  }
  return finish;
}

std::string
RunBody(const RunParameters& aParameters, const std::string& aPrompt)
{
  json body{ { "model", aParameters.model_ },
             { "prompt", aPrompt },
             { "max_tokens", aParameters.maxTokens_ },
             { "stream", true },
             { "run_id", aParameters.runId_ },
             { "cache_salt", aParameters.cacheSalt_ },
             { "adapter", aParameters.adapter_ },
             { "priority", aParameters.interactive_ ? "interactive" : "batch" },
             { "weight_version", aParameters.weightVersion_ } };
  if (!aParameters.importBlocks_.empty()) {
    json blocks = json::array();
    for (const auto& block : aParameters.importBlocks_) {
      blocks.push_back({ { "key", core::ToHex(block.key_) },
                         { "generation", block.generation_ } });
    }
    body["import"] = { { "store_url", aParameters.importUrl_ },
                       { "blocks", std::move(blocks) } };
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

net::Call
StartRun(const std::string& aUrl,
         RunParameters aParameters,
         std::shared_ptr<const std::string> aPrompt)
{
  net::Call call = PostCall(aUrl, "/v1/completions", "");
  call.bodySource_ = [parameters = std::move(aParameters),
                      prompt = std::move(aPrompt)] {
    return RunBody(parameters, *prompt);
  };
  return call;
}

net::Call
ResumeRun(const std::string& aUrl,
          const std::string& aRunId,
          std::uint64_t aFrom)
{
  return GetCall(
    aUrl,
    absl::StrCat("/v1/runs/", net::UrlEscape(aRunId), "/stream?from=", aFrom));
}

net::Call
CancelRun(const std::string& aUrl, const std::string& aRunId)
{
  return PostCall(
    aUrl, absl::StrCat("/v1/runs/", net::UrlEscape(aRunId), "/cancel"), "");
}

absl::optional<RunEvent>
ReadRunEvent(absl::string_view aData)
{
  if (auto token = ReadPlainToken(aData); token) {
    RunEvent event;
    event.token_ = *std::move(token);
    return event;
  }
  return ReadBody<RunEvent>(
    aData, [](const json& aBody) -> absl::optional<RunEvent> {
      RunEvent event;
      if (const auto text = aBody.find("text"); text != aBody.end()) {
        const auto index = ReadCount(aBody, "index");
        if (!index) {
          return absl::nullopt;
        }
        event.token_ = RunToken{ *index, text->get<std::string>() };
        return event;
      }
      const std::string name = aBody.value("event", "");
      if (name == "start") {
        event.start_ = ReadStart(aBody);
      } else if (name == "end") {
        event.finish_ = ReadFinish(aBody);
      }
      return event.start_ || event.finish_ ? absl::make_optional(event)
                                           : absl::nullopt;
    });
}

net::Call
QueryLoad(const std::string& aUrl)
{
  return GetCall(aUrl, "/v1/load");
}

absl::optional<LoadReport>
ReadLoad(const std::string& aBody)
{
  return ReadBody<LoadReport>(aBody, [](const json& aLoad) {
    LoadReport report;
    report.running_ = aLoad.value("running", 0U);
    report.waiting_ = aLoad.value("waiting", 0U);
    report.queuedPrefillTokens_ =
      aLoad.value("queued_prefill_tokens", std::uint64_t{ 0 });
    report.cacheBlocks_ = aLoad.value("cache_blocks", 0U);
    report.cacheBlocksUsed_ = aLoad.value("cache_blocks_used", 0U);
    report.weightVersion_ = aLoad.value("weight_version", "");
    report.leaving_ = aLoad.value("leaving", false);
    report.age_ = absl::Milliseconds(aLoad.value("age_ms", 0.0));
    return report;
  });
}

net::Call
QueryCacheEvents(const std::string& aUrl, std::uint64_t aAfter)
{
  return GetCall(aUrl, absl::StrCat("/v1/events?after=", aAfter));
}

absl::optional<CacheEvents>
ReadCacheEvents(const std::string& aBody)
{
  return ReadBody<CacheEvents>(aBody, [](const json& aList) {
    CacheEvents events;
    events.lastSequence_ = aList.value("last_seq", std::uint64_t{ 0 });
    for (const auto& item : aList.value("events", json::array())) {
      events.events_.push_back({ item.value("seq", std::uint64_t{ 0 }),
                                 item.value("kind", "") == "stored",
                                 ReadKey(item, "block"),
                                 ReadKey(item, "root") });
    }
    return events;
  });
}

net::Call
QueryCachedBlocks(const std::string& aUrl)
{
  return GetCall(aUrl, "/v1/blocks");
}

absl::optional<CacheEvents>
ReadCachedBlocks(const std::string& aBody)
{
  return ReadBody<CacheEvents>(aBody, [](const json& aList) {
    CacheEvents events;
    events.lastSequence_ = aList.value("last_seq", std::uint64_t{ 0 });
    for (const auto& item : aList.value("blocks", json::array())) {
      events.events_.push_back(
        { 0, true, ReadKey(item, "block"), ReadKey(item, "root") });
    }
    return events;
  });
}

net::Call
StartExport(const std::string& aUrl,
            const std::string& aStoreUrl,
            const std::vector<core::BlockKey>& aBlocks)
{
  json blocks = json::array();
  for (const auto& block : aBlocks) {
    blocks.push_back(core::ToHex(block));
  }
  const json body{ { "store_url", aStoreUrl }, { "blocks", blocks } };
  return PostCall(aUrl, "/v1/exports", body.dump());
}

absl::optional<std::string>
ReadExportId(const std::string& aBody)
{
  return ReadBody<std::string>(
    aBody, [](const json& aExport) { return aExport.value("export", ""); });
}

net::Call
QueryExport(const std::string& aUrl, const std::string& aExport)
{
  return GetCall(aUrl, absl::StrCat("/v1/exports/", net::UrlEscape(aExport)));
}

absl::optional<ExportState>
ReadExport(const std::string& aBody)
{
  return ReadBody<ExportState>(aBody, [](const json& aExport) {
    ExportState state;
    const std::string name = aExport.value("state", "");
    state.running_ = name == "running";
    state.done_ = name == "done";
    state.weightVersion_ = aExport.value("weight_version", "");
    for (const auto& item : aExport.value("blocks", json::array())) {
      state.blocks_.push_back({ ReadKey(item, "key"),
                                item.value("generation", std::uint64_t{ 0 }),
                                item.value("bytes", std::uint64_t{ 0 }) });
    }
    return state;
  });
}

} // namespace lycheeplank::adapters
