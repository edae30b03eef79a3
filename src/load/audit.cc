#include "load/audit.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kAskLimit = absl::Seconds(10);

// Returns the answer of a member; null if there is none.
Json
Ask(net::Client& aClient, const Member& aMember, absl::string_view aPath)
{
  net::Call call;
  call.url_ = absl::StrCat(aMember.http_, aPath);
  call.timeout_ = kAskLimit;
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
AddEngine(Audit& aAudit, const std::string& aBody, std::size_t aSkip)
{
  const Json body = Json::parse(aBody);
  const Json& runs = body.at("runs");
  // An engine that was started anew has fewer runs than before.
  const std::size_t first = aSkip <= runs.size() ? aSkip : 0;
  for (std::size_t at = first; at < runs.size(); ++at) {
    AddRun(aAudit, runs[at]);
  }
}

void
AddService(Audit& aAudit, const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  for (const Json& call : body.at("calls")) {
    if (const auto key = call.at("key").get<std::string>(); !key.empty()) {
      ++aAudit.callsByKey_[key];
    }
  }
}

Baseline
TakeBaseline(net::Client& aClient, const Cluster& aCluster)
{
  Baseline baseline;
  for (const Member& engine : aCluster.engines_) {
    const Json body = Ask(aClient, engine, "/executions");
    baseline.runs_.push_back(body.is_object() ? body["runs"].size() : 0);
  }
  for (const Member& store : aCluster.stores_) {
    baseline.linkBytes_.push_back(LinkBytes(Ask(aClient, store, "/v1/load")));
  }
  return baseline;
}

Audit
TakeAudit(net::Client& aClient,
          const Cluster& aCluster,
          const Baseline& aBaseline)
{
  Audit audit;
  for (std::size_t at = 0; at < aCluster.engines_.size(); ++at) {
    const Json body = Ask(aClient, aCluster.engines_[at], "/executions");
    if (body.is_object()) {
      AddEngine(audit, body.dump(), aBaseline.runs_[at]);
    } else {
      audit.silent_.push_back(aCluster.engines_[at].name_);
    }
  }
  for (const Member& service : aCluster.services_) {
    const Json body = Ask(aClient, service, "/executions");
    if (body.is_object()) {
      AddService(audit, body.dump());
    } else {
      audit.silent_.push_back(service.name_);
    }
  }
  for (std::size_t at = 0; at < aCluster.stores_.size(); ++at) {
    const Json load = Ask(aClient, aCluster.stores_[at], "/v1/load");
    if (!load.is_object()) {
      audit.silent_.push_back(aCluster.stores_[at].name_);
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
    const Json body = Ask(aClient, engine, "/executions");
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
    const Json load = Ask(aClient, store, "/v1/load");
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
    const Json load = Ask(aClient, engine, "/v1/load");
    if (load.is_object()) {
      versions.insert(load.value("weight_version", std::string()));
    }
  }
  return versions;
}

} // namespace lycheeplank::load
