#ifndef LYCHEEPLANK_CATALOG_H
#define LYCHEEPLANK_CATALOG_H

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"

// The routes, services and workspaces of the active configuration, and the
// look-ups that each request makes in them.
namespace lycheeplank::catalog {

// Whether a request may run again.
enum class RepeatPolicy
{
  // May run any number of times.
  Idempotent,
  // Runs at most once.
  Once,
  // Answers with a stream of events; runs at most once unless the route is
  // resumable.
  Stream,
};

// A service and its weight in a route's split of requests.
struct ServiceShare
{
  std::string service_;
  double weight_ = 1.0;
};

struct Route
{
  std::string name_;
  std::string host_;
  // Path prefix; starts and ends with a slash.
  std::string prefix_;
  RepeatPolicy repeatPolicy_ = RepeatPolicy::Once;
  // A cut stream may continue at another target.
  bool resumable_ = false;
  // Requests need no key.
  bool isPublic_ = false;
  std::uint32_t attempts_ = 1;
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  absl::Duration timeout_ = absl::Seconds(30);
  // Time within which an answer is worth most.
  absl::Duration goal_ = absl::Seconds(1);
  // Streams: time without an event after which callers give up.
  absl::Duration maxGap_ = absl::InfiniteDuration();
  std::vector<ServiceShare> shares_;
};

// Returns whether a request of the route may run more than once.
bool
MayRepeat(const Route& aRoute);

struct Service
{
  std::string name_;
  std::uint32_t maxConnections_ = 64;
  // Model engines cache prompts and accept weight orders.
  bool isEngine_ = false;
  // Engines only: concurrent runs in one batch, and names of the models.
  std::uint32_t slots_ = 0;
  std::vector<std::string> models_;
  // Memory of one engine in tokens, shared by running requests and cached
  // prompts.
  std::uint64_t memoryTokens_ = 0;
  // Time after a start in which a target is cold, zero if it never is, and the
  // requests per second that a cold target may get from all hosts together.
  absl::Duration coldFor_ = absl::ZeroDuration();
  double warmupPerSecond_ = 0.0;
};

// A store for the KV cache of shared prompt parts.
struct CacheStore
{
  std::string name_;
  std::string address_;
  std::string dataCentre_;
  std::uint64_t capacityTokens_ = 0;
  double linkBitsPerSecond_ = 0.0;
};

struct Workspace
{
  std::string name_;
  // Shares no cached prompts with other workspaces.
  bool isIsolated_ = false;
  std::vector<std::string> keys_;
  // Overrides the route's priority.
  absl::optional<std::uint32_t> priority_;
};

// Limits on the size and duration of callers' requests.
struct RequestLimits
{
  std::uint32_t headerBytes_ = 16U << 10U;
  std::uint64_t bodyBytes_ = 4U << 20U;
  absl::Duration headerTimeout_ = absl::Seconds(3);
  absl::Duration idleTimeout_ = absl::Seconds(15);
};

struct Catalog
{
  std::uint64_t version_ = 0;
  // Position in the history of the configuration store; it only increases.
  std::uint64_t revision_ = 0;
  RequestLimits limits_;
  // Routes by host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<Route>> routes_;
  absl::flat_hash_map<std::string, Service> services_;
  std::vector<CacheStore> stores_;
  std::vector<Workspace> workspaces_;
  // Index into workspaces_ by key.
  absl::flat_hash_map<std::string, std::size_t> workspaceByKey_;
  // Distinct priorities of the routes to a service, ascending.
  absl::flat_hash_map<std::string, std::vector<std::uint32_t>> priorities_;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

// Sorts the routes and fills the look-up tables; required before the first
// look-up.
void
BuildIndexes(Catalog& aCatalog);

// Returns the route of the host with the longest prefix of the request's path,
// or null. Query and port are ignored.
const Route*
FindRoute(const Catalog& aCatalog,
          absl::string_view aHost,
          absl::string_view aTarget);

// Returns the workspace that holds a key, or null.
const Workspace*
FindWorkspace(const Catalog& aCatalog, absl::string_view aKey);

// Returns the priority of a request among all requests of its service, 0 for
// the most urgent: by the workspace's priority, or by the route's if the
// workspace has none, and by the routes' priorities where these are equal. So a
// workspace's priority doesn't remove the order among its own requests.
std::uint32_t
CombinedPriority(const Catalog& aCatalog,
                 const Route& aRoute,
                 const Workspace* aWorkspace,
                 const std::string& aService);

// Returns the service for a request. A hash of the request's id implements the
// weights of the route's services.
const std::string&
PickService(const Route& aRoute, absl::string_view aRequestId);

} // namespace lycheeplank::catalog

#endif
