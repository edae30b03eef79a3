#ifndef LYCHEEPLANK_LOAD_CLUSTER_H
#define LYCHEEPLANK_LOAD_CLUSTER_H

#include <string>
#include <vector>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

// The name and address of a process of the cluster.
struct Member
{
  std::string name_;
  // Base URL.
  std::string http_;
};

// A workspace and the API key that its requests carry.
struct Workspace
{
  std::string name_;
  std::string key_;
};

// The description of a running cluster in cluster.json.
struct Cluster
{
  std::vector<Member> entries_;
  std::vector<Member> engines_;
  std::vector<Member> services_;
  std::vector<Member> stores_;
  std::vector<Workspace> workspaces_;
};

// Parses the JSON description of a cluster. Fails if it has no entry host or no
// workspace.
core::Result<Cluster>
ParseCluster(const std::string& aText);

// Reads and parses a cluster file.
core::Result<Cluster>
ReadCluster(const std::string& aPath);

// Removes all workspaces but the named ones; an empty list keeps all. Fails if
// no workspace is left.
core::Result<Cluster>
SelectWorkspaces(Cluster aCluster, const std::vector<std::string>& aNames);

} // namespace lycheeplank::load

#endif
