#include "load/audit.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kQueryTimeout = absl::Seconds(10);

// Returns a member's JSON answer, or null if the member doesn't answer.
Json
FetchJson(net::Client& aClient, const Member& aMember, absl::string_view aPath)
{
  net::Call call;
  call.url_ = absl::StrCat(aMember.http_, aPath);
  call.timeout_ = kQueryTimeout;
  const net::Answer answer = aClient.FetchAndWait(call);
  return answer.Ok() ? Json::parse(answer.body_, nullptr, false) : Json();
}

std::uint64_t
LinkBytes(const Json& aLoad)
{
  return aLoad.is_object() ? aLoad.value("link_bytes_total", 0ULL) : 0;
}

void
AddBlocks(Audit& aAudit, const Json& aRun)
{
  for (const Json& block : aRun.at("blocks")) {
    aAudit.foreignBlocks_ +=
      block.at("cache_salt") != aRun.at("cache_salt") ? 1 : 0;
    aAudit.staleBlocks_ +=
      block.at("weight_version") != aRun.at("weight_version") ? 1 : 0;
  }
}

void
AddRun(Audit& aAudit, const Json& aRun)
{
  ++aAudit.runs_;
  aAudit.promptTokens_ += aRun.at("prompt_tokens").get<std::uint64_t>();
  aAudit.computedTokens_ += aRun.at("computed_tokens").get<std::uint64_t>();
  aAudit.cachedBlocks_ += aRun.at("cached_blocks").get<std::uint64_t>();
  aAudit.importedBlocks_ += aRun.at("imported_blocks").get<std::uint64_t>();
  AddBlocks(aAudit, aRun);
}

} // namespace

void
AddEngineRuns(Audit& aAudit, const std::string& aBody, std::size_t aSkip)
{
  const Json body = Json::parse(aBody);
  const Json& runs = body.at("runs");
  // An engine that was restarted during the run has fewer runs than the
  // baseline; all of them count.
  const std::size_t first = aSkip <= runs.size() ? aSkip : 0;
  for (std::size_t at = first; at < runs.size(); ++at) {
    AddRun(aAudit, runs[at]);
  }
}

void
AddServiceCalls(Audit& aAudit, const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  for (const Json& call : body.at("calls")) {
    if (const auto key = call.at("key").get<std::string>(); !key.empty()) {
      ++aAudit.callsByKey_[key];
    }
  }
}

Baseline
ReadBaseline(net::Client& aClient, const Cluster& aCluster)
{
  Baseline baseline;
  for (const Member& engine : aCluster.engines_) {
    const Json body = FetchJson(aClient, engine, "/executions");
    baseline.runs_.push_back(body.is_object() ? body["runs"].size() : 0);
  }
  for (const Member& store : aCluster.stores_) {
    baseline.linkBytes_.push_back(
      LinkBytes(FetchJson(aClient, store, "/v1/load")));
  }
  return baseline;
}

Audit
ReadAudit(net::Client& aClient,
          const Cluster& aCluster,
          const Baseline& aBaseline)
{
  Audit audit;
  for (std::size_t at = 0; at < aCluster.engines_.size(); ++at) {
    const Json body = FetchJson(aClient, aCluster.engines_[at], "/executions");
    if (body.is_object()) {
      AddEngineRuns(audit, body.dump(), aBaseline.runs_[at]);
    } else {
      audit.unreachable_.push_back(aCluster.engines_[at].name_);
    }
  }
  for (const Member& service : aCluster.services_) {
    const Json body = FetchJson(aClient, service, "/executions");
    if (body.is_object()) {
      AddServiceCalls(audit, body.dump());
    } else {
      audit.unreachable_.push_back(service.name_);
    }
  }
  for (std::size_t at = 0; at < aCluster.stores_.size(); ++at) {
    const Json load = FetchJson(aClient, aCluster.stores_[at], "/v1/load");
    if (!load.is_object()) {
      audit.unreachable_.push_back(aCluster.stores_[at].name_);
    }
    const std::uint64_t total = LinkBytes(load);
    const std::uint64_t before = aBaseline.linkBytes_[at];
    audit.linkBytes_ += total >= before ? total - before : total;
  }
  return audit;
}

Hardware
ReadHardware(net::Client& aClient, const Cluster& aCluster)
{
  Hardware hardware;
  for (const Member& engine : aCluster.engines_) {
    const Json body = FetchJson(aClient, engine, "/executions");
    if (!body.is_object() || !body.contains("settings")) {
      continue;
    }
    const Json& settings = body["settings"];
    hardware.blockTokens_ = settings.value("block_tokens", 0U);
    hardware.prefillTokensPerSecond_ = settings.value("prefill_rate", 0.0);
    hardware.kvBytesPerToken_ = settings.value("kv_bytes_per_token", 0ULL);
    hardware.cacheBlocks_ += settings.value("cache_blocks", 0U);
    hardware.model_ = settings.value("model", std::string());
  }
  for (const Member& store : aCluster.stores_) {
    const Json load = FetchJson(aClient, store, "/v1/load");
    if (load.is_object()) {
      ++hardware.stores_;
      hardware.linkBytesPerSecond_ =
        load.value("link_bytes_per_second", hardware.linkBytesPerSecond_);
    }
  }
  return hardware;
}

absl::btree_set<std::string>
ReadWeightVersions(net::Client& aClient, const Cluster& aCluster)
{
  absl::btree_set<std::string> versions;
  for (const Member& engine : aCluster.engines_) {
    const Json load = FetchJson(aClient, engine, "/v1/load");
    if (load.is_object()) {
      versions.insert(load.value("weight_version", std::string()));
    }
  }
  return versions;
}

} // namespace lycheeplank::load
