#include "lycheeplank/catalog.h"

#include <algorithm>

namespace lycheeplank::catalog {

namespace {

// Resolution of the split between services.
constexpr std::uint64_t kSplitSteps = 1U << 20U;

absl::string_view
WithoutPort(absl::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

absl::string_view
PathOf(absl::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

bool
MayRepeat(const Route& aRoute)
{
  return aRoute.repeatPolicy_ == RepeatPolicy::Idempotent ||
         (aRoute.repeatPolicy_ == RepeatPolicy::Stream && aRoute.resumable_);
}

void
BuildIndexes(Catalog& aCatalog)
{
  for (auto& [host, routes] : aCatalog.routes_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route& aLeft, const Route& aRight) {
                       return aLeft.prefix_.size() > aRight.prefix_.size();
                     });
  }
  aCatalog.priorities_.clear();
  for (const auto& [host, routes] : aCatalog.routes_) {
    for (const auto& route : routes) {
      for (const auto& share : route.shares_) {
        aCatalog.priorities_[share.service_].push_back(route.priority_);
      }
    }
  }
  for (auto& [service, priorities] : aCatalog.priorities_) {
    std::sort(priorities.begin(), priorities.end());
    priorities.erase(std::unique(priorities.begin(), priorities.end()),
                     priorities.end());
  }
  aCatalog.workspaceByKey_.clear();
  for (std::size_t i = 0; i < aCatalog.workspaces_.size(); ++i) {
    for (const auto& key : aCatalog.workspaces_[i].keys_) {
      aCatalog.workspaceByKey_[key] = i;
    }
  }
}

const Route*
FindRoute(const Catalog& aCatalog,
          absl::string_view aHost,
          absl::string_view aTarget)
{
  const auto found = aCatalog.routes_.find(WithoutPort(aHost));
  if (found == aCatalog.routes_.end()) {
    return nullptr;
  }
  const auto path = PathOf(aTarget);
  const auto& routes = found->second;
  const auto route =
    std::find_if(routes.begin(), routes.end(), [path](const Route& aRoute) {
      return path.substr(0, aRoute.prefix_.size()) == aRoute.prefix_;
    });
  return route == routes.end() ? nullptr : &*route;
}

const Workspace*
FindWorkspace(const Catalog& aCatalog, absl::string_view aKey)
{
  const auto found = aCatalog.workspaceByKey_.find(aKey);
  return found == aCatalog.workspaceByKey_.end()
           ? nullptr
           : &aCatalog.workspaces_[found->second];
}

std::uint32_t
CombinedPriority(const Catalog& aCatalog,
                 const Route& aRoute,
                 const Workspace* aWorkspace,
                 const std::string& aService)
{
  const auto first = aWorkspace != nullptr
                       ? aWorkspace->priority_.value_or(aRoute.priority_)
                       : aRoute.priority_;
  const auto found = aCatalog.priorities_.find(aService);
  if (found == aCatalog.priorities_.end()) {
    return first;
  }
  const auto& priorities = found->second;
  const auto second = static_cast<std::uint32_t>(
    std::lower_bound(priorities.begin(), priorities.end(), aRoute.priority_) -
    priorities.begin());
  return first * static_cast<std::uint32_t>(priorities.size()) + second;
}

const std::string&
PickService(const Route& aRoute, absl::string_view aRequestId)
{
  double total = 0.0;
  for (const auto& share : aRoute.shares_) {
    total += share.weight_;
  }
  const auto step = core::StableHash(aRequestId) % kSplitSteps;
  double left = total * static_cast<double>(step) / kSplitSteps;
  for (const auto& share : aRoute.shares_) {
    left -= share.weight_;
    if (left < 0.0) {
      return share.service_;
    }
  }
  return aRoute.shares_.back().service_;
}

} // namespace lycheeplank::catalog
