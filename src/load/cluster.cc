#include "load/cluster.h"

#include <algorithm>
#include <fstream>
#include <iterator>

#include <absl/algorithm/container.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kEngine = "engine";

Member
ParseMember(const Json& aJson)
{
  return { aJson.at("name").get<std::string>(),
           aJson.at("http").get<std::string>() };
}

Cluster
ParseClusterJson(const Json& aJson)
{
  Cluster cluster;
  for (const Json& entry : aJson.at("entries")) {
    cluster.entries_.push_back(ParseMember(entry));
  }
  for (const Json& target : aJson.at("targets")) {
    auto& targets = target.at("kind") == std::string(kEngine)
                      ? cluster.engines_
                      : cluster.services_;
    targets.push_back(ParseMember(target));
  }
  for (const Json& store : aJson.at("stores")) {
    cluster.stores_.push_back(ParseMember(store));
  }
  for (const Json& workspace : aJson.at("workspaces")) {
    cluster.workspaces_.push_back({ workspace.at("name").get<std::string>(),
                                    workspace.at("key").get<std::string>() });
  }
  return cluster;
}

} // namespace

core::Result<Cluster>
ParseCluster(const std::string& aText)
{
  try {
    Cluster cluster = ParseClusterJson(Json::parse(aText));
    if (cluster.entries_.empty() || cluster.workspaces_.empty()) {
      return core::Fail({ core::ErrorKind::ConfigInvalid,
                          "the cluster has no entry host or no workspace",
                          "name at least one of each" });
    }
    return cluster;
  } catch (const Json::exception& error) {
    return core::Fail(
      { core::ErrorKind::ConfigInvalid,
        absl::StrCat("can't parse the cluster file: ", error.what()),
        "see docs/load.md for its format" });
  }
}

core::Result<Cluster>
ReadCluster(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return core::Fail({ core::ErrorKind::NotFound,
                        absl::StrCat("can't read ", aPath),
                        "start a cluster first" });
  }
  return ParseCluster({ std::istreambuf_iterator<char>(file), {} });
}

core::Result<Cluster>
SelectWorkspaces(Cluster aCluster, const std::vector<std::string>& aNames)
{
  if (aNames.empty()) {
    return aCluster;
  }
  auto& workspaces = aCluster.workspaces_;
  workspaces.erase(std::remove_if(workspaces.begin(),
                                  workspaces.end(),
                                  [&](const Workspace& aEach) {
                                    return !absl::c_linear_search(aNames,
                                                                  aEach.name_);
                                  }),
                   workspaces.end());
  if (workspaces.empty()) {
    return core::Fail({ core::ErrorKind::NotFound,
                        "the cluster has none of the named workspaces",
                        "select others with --workspaces" });
  }
  return aCluster;
}

} // namespace lycheeplank::load
