#ifndef LYCHEEPLANK_SRC_GATEWAY_HOST_H
#define LYCHEEPLANK_SRC_GATEWAY_HOST_H

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "gateway/adapter.h"
#include "gateway/log.h"
#include "gateway/news.h"
#include "gateway/pool.h"
#include "gateway/pulse.h"
#include "gateway/settings.h"
#include "lycheeplank/cache_index.h"
#include "lycheeplank/catalog.h"
#include "lycheeplank/entry_hosts.h"
#include "lycheeplank/fleet.h"
#include "lycheeplank/mechanisms.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/relays.h"
#include "lycheeplank/replica.h"
#include "lycheeplank/request_queue.h"
#include "lycheeplank/retry_budget.h"
#include "lycheeplank/statements.h"
#include "lycheeplank/weights.h"

namespace lycheeplank::gateway {

// Keys that the hosts themselves write to the key-value service.
inline constexpr absl::string_view kHostPrefix = "lycheeplank/hosts/";
inline constexpr absl::string_view kOwnerKey = "lycheeplank/weights-owner";

// How well the key-value service serves this host.
struct StoreHealth
{
  // When it last answered, and when a call last failed.
  absl::Time answeredAt_ = absl::InfinitePast();
  absl::Time failedAt_ = absl::InfinitePast();
  bool reachable_ = false;
  // Its era, and when this host first heard of it; nothing if it hasn't told.
  absl::optional<std::uint64_t> era_;
  absl::Time eraSeenAt_ = absl::InfinitePast();
  // Calls made, by operation.
  std::array<std::uint64_t, kStoreOperations.size()> calls_{};
};

// How a host hears of changes.
enum class Role
{
  // It asks the key-value service itself and doesn't know yet whether others
  // will tell it; stores let only a few hosts ask them.
  Starting,
  // It asks the key-value service and the cache stores itself and tells others.
  Direct,
  // Others tell it.
  Told,
};

inline constexpr std::array<core::Named<Role>, 3> kRoles{ {
  { Role::Starting, "starting" },
  { Role::Direct, "direct" },
  { Role::Told, "told" },
} };

// All that one host believes and shares between its parts; used from the one
// thread of the event loop.
struct Host
{
  Host(Loop& aLoop, Settings aSettings, const Adapter& aAdapter, int aLogHandle)
    : loop_(aLoop)
    , settings_(std::move(aSettings))
    , adapter_(aAdapter)
    , log_(settings_.name_, aLogHandle)
    , targets_(aLoop)
    , calls_(aLoop)
    , random_(std::random_device{}())
  {
    relays::Restart(feed_, NewFeedId());
  }

  // Feeds of one host and of others have different ids.
  std::uint64_t NewFeedId() { return random_() | 1U; }

  Loop& loop_;
  Settings settings_;
  const Adapter& adapter_;
  Log log_;
  metrics::Registry metrics_;

  replica::Replica replica_;
  catalog::CatalogPtr catalog_;
  absl::Time catalogAt_ = absl::InfinitePast();
  fleet::Members members_;
  statements::Statements statements_;
  absl::flat_hash_map<std::string, weights::PublishedVersions> weights_;
  cache_index::Index kept_;
  // Reads from cache stores that the other hosts haven't been told yet.
  cache_index::ReadCounts readCounts_;
  // Targets that this host couldn't reach, likewise.
  fleet::DownReports downReports_;
  entry_hosts::Hosts hosts_;
  // Requests that wait for a target's memory, and how each is tried again or
  // refused.
  request_queue::Queue waiting_;
  absl::flat_hash_map<std::uint64_t, std::function<void(bool aExpired)>>
    waiters_;
  std::uint64_t nextWaiter_ = 1;
  absl::flat_hash_map<std::string, retry_budget::Ledger> resends_;
  StoreHealth store_;
  // What this host sends, by service.
  absl::flat_hash_map<std::string, fleet::SendRate> outflows_;
  // Bytes of answers that are held back until they are whole.
  std::size_t heldBytes_ = 0;

  // Connections for requests, by target, and for all other calls, by address.
  Pool targets_;
  Pool calls_;
  Pulse pulse_;
  std::mt19937_64 random_;

  Role role_ = Role::Starting;
  relays::Feed feed_;
  // Runs when the key-value service has come back from a copy of its data.
  std::function<void()> onEra_ = [] {};
  // Runs when the key-value service answers again after it didn't.
  std::function<void(absl::Time)> onStoreBack_ = [](absl::Time) {};
  // Run when the feed has a new row, and when the role has changed.
  std::function<void()> onFeed_ = [] {};
  std::function<void()> onRole_ = [] {};

  bool stopping_ = false;
  absl::Time stoppedAt_ = absl::InfinitePast();
  std::uint64_t requestsOpen_ = 0;
  // Runs when this host's calls at targets have changed.
  std::function<void()> onLoad_ = [] {};
  // Run when targets, weights or stores of the catalog have changed.
  std::vector<std::function<void()>> onChange_;
};

// Returns a fraction of a duration between a half and one and a half, so that
// hosts don't act at the same moments.
absl::Duration
Jitter(Host& aHost, absl::Duration aDuration);

// Returns whether a mechanism is in use; experiments switch some off.
inline bool
Uses(const Host& aHost, mechanisms::Mechanism aMechanism)
{
  return mechanisms::IsOn(aHost.settings_.switches_, aMechanism);
}

// Returns whether the host knows enough to take requests.
bool
CanServe(const Host& aHost);

// Returns the budget for second sends, shared by the hosts that may live.
retry_budget::Limits
ResendLimits(const Host& aHost);

// Returns how many connections this host may have to one target of a service:
// its share of what the target allows, by the hosts that may live.
std::uint32_t
ConnectionShare(const Host& aHost, const catalog::Service& aService);

// Takes in changes of the key-value service's items, from it or from a peer.
// aHeardSince: earliest moment at which they may have been told, see
// HeardSince.
void
Learn(Host& aHost,
      const std::vector<replica::Item>& aItems,
      absl::string_view aSource,
      absl::Time aHeardSince);

// Takes in a whole list of a prefix. aKnownUntil: when the host last knew all
// of the prefix; what is new was written since.
void
LearnList(Host& aHost,
          absl::string_view aPrefix,
          const std::vector<replica::Item>& aItems,
          const core::Position& aAsOf,
          absl::Time aKnownUntil);

// Takes in the era of the key-value service; older ones than the known one are
// passed over. Leases and revisions of the era before are void from then on.
void
NoteEra(Host& aHost, std::uint64_t aEra, absl::string_view aSource);

void
SetRole(Host& aHost, Role aRole);

// Tells the hosts that ask this one, if it is one that others ask. aNews: an
// item, news of a cache store, or a notice.
template<typename Row>
void
Publish(Host& aHost, const Row& aNews)
{
  if (aHost.role_ == Role::Direct) {
    relays::AddRow(aHost.feed_, WriteRow(aNews));
    aHost.onFeed_();
  }
}

// Part of a route's goal that reading a prompt from cache stores may take. What
// isn't read by then is thrown away and computed, which mostly meets the goal.
inline constexpr double kReadShareOfGoal = 0.7;

// Returns how long a request of a route may read from cache stores, and the
// longest such time of all routes.
absl::Duration
ReadTimeOf(const catalog::Route& aRoute);
absl::Duration
LongestRead(const Host& aHost);

// Makes a call to the key-value service and notes how it serves.
void
CallStore(Host& aHost,
          const StoreCommand& aCommand,
          absl::Duration aTimeout,
          std::function<void(StoreReply)> aOnReply);

// Time after which a call to the key-value service is given up; a slow answer
// takes some hundred milliseconds.
inline constexpr absl::Duration kStoreTimeout = absl::Milliseconds(1500);

// Starts waiting requests for which there may be room now, and refuses those
// whose callers are about to leave.
void
StartWaiting(Host& aHost);

// Work that is due now and then: connections, entries and beliefs that are
// over.
void
Sweep(Host& aHost);

} // namespace lycheeplank::gateway

#endif
