#ifndef LYCHEEPLANK_LOAD_CLUSTER_H
#define LYCHEEPLANK_LOAD_CLUSTER_H

#include <string>
#include <vector>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

// A process of the cluster and where it is reached.
struct Member
{
  std::string name_;
  // Base URL.
  std::string http_;
};

struct Workspace
{
  std::string name_;
  std::string key_;
};

// What cluster.json says of a running cluster.
struct Cluster
{
  std::vector<Member> entries_;
  std::vector<Member> engines_;
  std::vector<Member> services_;
  std::vector<Member> stores_;
  std::vector<Workspace> workspaces_;
};

// Reads a description in JSON.
core::Result<Cluster>
ParseCluster(const std::string& aText);

core::Result<Cluster>
ReadCluster(const std::string& aPath);

// Leaves only the named workspaces; none named leaves all.
core::Result<Cluster>
WithWorkspaces(Cluster aCluster, const std::vector<std::string>& aNames);

} // namespace lycheeplank::load

#endif
