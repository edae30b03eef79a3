#include "steward/run-reports.h"

#include <nlohmann/json.hpp>

namespace lycheeplank::steward {

namespace {

using nlohmann::json;

// Parses the prefixes that stores held. Returns nothing if the entry host did
// not report them.
absl::optional<std::vector<offload::StoredPrefix>>
ParseStoredPrefixes(const json& aRun)
{
  const auto found = aRun.find("holdings");
  if (found == aRun.end()) {
    return absl::nullopt;
  }
  std::vector<offload::StoredPrefix> prefixes;
  for (const auto& item : *found) {
    prefixes.push_back({ item.at("store").get<std::string>(),
                         item.at("blocks").get<std::uint32_t>() });
  }
  return prefixes;
}

// Parses a finished run. Returns nothing if a block key is invalid. Throws
// json::exception if a field is missing or of another type.
absl::optional<offload::FinishedRun>
ParseRun(const json& aItem)
{
  offload::FinishedRun run;
  run.workspace_ = aItem.at("workspace").get<std::string>();
  run.model_ = aItem.at("model").get<std::string>();
  run.weightVersion_ = aItem.at("weight_version").get<std::string>();
  run.target_ = aItem.at("target").get<std::string>();
  run.reusedBlocks_ = aItem.value("reused_blocks", std::uint32_t{ 0 });
  run.storedPrefixes_ = ParseStoredPrefixes(aItem);
  run.age_ = absl::Milliseconds(aItem.value("age_ms", std::int64_t{ 0 }));
  for (const auto& item : aItem.at("chain")) {
    const auto key = core::BlockKeyFromHex(item.get<std::string>());
    if (!key) {
      return absl::nullopt;
    }
    run.chain_.push_back(*key);
  }
  return run;
}

} // namespace

absl::optional<std::vector<offload::FinishedRun>>
ParseRuns(const std::string& aBody)
{
  const auto body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return absl::nullopt;
  }
  std::vector<offload::FinishedRun> runs;
  try {
    for (const auto& item : body.at("runs")) {
      auto run = ParseRun(item);
      if (!run) {
        return absl::nullopt;
      }
      runs.push_back(std::move(*run));
    }
  } catch (const json::exception&) {
    return absl::nullopt;
  }
  return runs;
}

std::string
FormatSightings(const offload::ReportSightings& aSightings)
{
  json sightings = json::array();
  for (const auto& block : aSightings.blocks_) {
    sightings.push_back({ { "block", core::ToHex(block.key_) },
                          { "root", core::ToHex(block.root_) },
                          { "present", aSightings.present_ },
                          { "on_disk", false },
                          { "generation", block.generation_ },
                          { "bytes", block.bytes_ } });
  }
  const json body{ { "holder", aSightings.store_ },
                   { "sightings", std::move(sightings) } };
  return body.dump();
}

} // namespace lycheeplank::steward
