#include "lycheeplank/config.h"

#include <algorithm>

namespace lycheeplank::config {

namespace {

constexpr absl::string_view kWildcard = "*";

// Returns whether a list contains a name or the wildcard.
bool
ContainsName(const std::vector<std::string>& aNames, absl::string_view aName)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&](const std::string& aEntry) {
      return aEntry == kWildcard || aEntry == aName;
    });
}

bool
RuleAllows(const Rule& aRule,
           TargetKind aKind,
           absl::string_view aServes,
           absl::string_view aDataCentre)
{
  const auto& served =
    aKind == TargetKind::Engine ? aRule.models_ : aRule.services_;
  const bool inDataCentre = aDataCentre.empty() || aRule.dataCentres_.empty() ||
                            ContainsName(aRule.dataCentres_, aDataCentre);
  return inDataCentre && ContainsName(served, aServes);
}

} // namespace

void
BuildIndexes(Config& aConfig)
{
  aConfig.workspaceByKeyDigest_.clear();
  for (const auto& [name, workspace] : aConfig.workspaces_) {
    for (const auto& digest : workspace.keyDigests_) {
      aConfig.workspaceByKeyDigest_.emplace(digest, name);
    }
  }
  aConfig.rulesByWorkspace_.clear();
  for (const auto& [name, rule] : aConfig.rules_) {
    for (const auto& workspace : rule.workspaces_) {
      aConfig.rulesByWorkspace_[workspace].push_back(name);
    }
  }
}

bool
IsAllowed(const Config& aConfig,
          absl::string_view aWorkspace,
          TargetKind aKind,
          absl::string_view aServes,
          absl::string_view aDataCentre)
{
  if (!aConfig.workspaces_.contains(aWorkspace)) {
    return false;
  }
  for (const auto workspace : { aWorkspace, kWildcard }) {
    const auto found = aConfig.rulesByWorkspace_.find(workspace);
    if (found == aConfig.rulesByWorkspace_.end()) {
      continue;
    }
    for (const auto& name : found->second) {
      if (RuleAllows(aConfig.rules_.at(name), aKind, aServes, aDataCentre)) {
        return true;
      }
    }
  }
  return false;
}

} // namespace lycheeplank::config
