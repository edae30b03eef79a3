#ifndef LYCHEEPLANK_SRC_GATEWAY_HOST_H
#define LYCHEEPLANK_SRC_GATEWAY_HOST_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "gateway/adapter.h"
#include "gateway/event-ids.h"
#include "gateway/log.h"
#include "gateway/peer-updates.h"
#include "gateway/pool.h"
#include "gateway/settings.h"
#include "gateway/stall-detector.h"
#include "lycheeplank/availability.h"
#include "lycheeplank/body_budget.h"
#include "lycheeplank/cache_index.h"
#include "lycheeplank/catalog.h"
#include "lycheeplank/crash_evidence.h"
#include "lycheeplank/entry_hosts.h"
#include "lycheeplank/fleet.h"
#include "lycheeplank/mechanisms.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/overload.h"
#include "lycheeplank/part_use.h"
#include "lycheeplank/poison.h"
#include "lycheeplank/relays.h"
#include "lycheeplank/replica.h"
#include "lycheeplank/request_queue.h"
#include "lycheeplank/retry_budget.h"
#include "lycheeplank/spillover.h"
#include "lycheeplank/target_limits.h"
#include "lycheeplank/weights.h"

namespace lycheeplank::gateway {

// Keys that the hosts write to the key-value service.
inline constexpr absl::string_view kHostPrefix = "lycheeplank/hosts/";
inline constexpr absl::string_view kOwnerKey = "lycheeplank/weights-owner";

// Why an entry names no target to use.
enum class EntryFault
{
  // A field is missing, of another type or of an unknown value, as another
  // writer leaves it.
  Unreadable,
  // There is no catalog to judge it by.
  NoCatalog,
  // The catalog has no such service.
  UnknownService,
};

inline constexpr std::array<core::Named<EntryFault>, 3> kEntryFaults{ {
  { EntryFault::Unreadable, "unreadable" },
  { EntryFault::NoCatalog, "no_catalog" },
  { EntryFault::UnknownService, "unknown_service" },
} };

// State of the key-value service as this host observes it.
struct StoreHealth
{
  // Times of the last successful and of the last failed call.
  absl::Time answeredAt_ = absl::InfinitePast();
  absl::Time failedAt_ = absl::InfinitePast();
  bool reachable_ = false;
  // Era of the service, and when this host first saw it; no value until the
  // service has reported one.
  absl::optional<std::uint64_t> era_;
  absl::Time eraSeenAt_ = absl::InfinitePast();
  // Number of calls by StoreOperation.
  std::array<std::uint64_t, kStoreOperations.size()> calls_{};
};

// The way in which a host receives changes.
enum class Role
{
  // It reads from the key-value service and has not yet found out whether
  // another host relays changes to it. It doesn't read from cache stores, which
  // serve only a few hosts.
  Starting,
  // It reads from the key-value service and the cache stores and relays changes
  // to other hosts.
  Direct,
  // It receives changes from other hosts.
  Relayed,
};

inline constexpr std::array<core::Named<Role>, 3> kRoles{ {
  { Role::Starting, "starting" },
  { Role::Direct, "direct" },
  { Role::Relayed, "told" },
} };

class Exchange;
class Timer;

// A request for a permit that the issuer hasn't answered.
struct PendingAsk
{
  std::string target_;
  // Start of the target's process; no value if the target isn't listed.
  absl::optional<std::int64_t> startedAtMs_;
  absl::Time askedAt_;
  std::function<void(const target_limits::Permit&)> onPermit_;
  std::shared_ptr<Timer> timer_;
};

// What the newest rows of the feed say of targets, by key of the entry.
struct RelayedTargets
{
  struct Entry
  {
    std::uint64_t era_ = 0;
    // No value: the entry can't be read.
    absl::optional<fleet::Target> target_;
  };
  // Id of the feed.
  std::uint64_t feed_ = 0;
  absl::flat_hash_map<std::string, Entry> targets_;
};

// What a waiting request is told.
enum class WaiterCall
{
  // A target may have room.
  MayStart,
  // The caller no longer waits, or would leave before the expected start; the
  // request has been removed from the queue.
  Expired,
  Hopeless,
};

// State that the parts of one host share. Used only from the thread of the
// event loop.
struct Host
{
  Host(Loop& aLoop, Settings aSettings, const Adapter& aAdapter, int aLogHandle)
    : loop_(aLoop)
    , settings_(std::move(aSettings))
    , memory_(body_budget::MemoryOf(settings_.memoryBytes_,
                                    settings_.maxDescriptors_))
    , adapter_(aAdapter)
    , log_(settings_.name_, aLogHandle)
    , targetPool_(aLoop)
    , callPool_(aLoop)
    , random_(std::random_device{}())
  {
    relays::Restart(feed_, NewFeedId());
    limits_.self_ = settings_.name_;
    poison_.self_ = settings_.name_;
  }

  // Returns a random id that is not 0, so that no two feeds of any hosts have
  // the same one.
  std::uint64_t NewFeedId() { return random_() | 1U; }

  Loop& loop_;
  Settings settings_;
  const body_budget::Memory memory_;
  const Adapter& adapter_;
  Log log_;
  metrics::Registry metrics_;

  replica::Replica replica_;
  catalog::CatalogPtr catalog_;
  absl::Time catalogAt_ = absl::InfinitePast();
  // Targets that may be used, and by id why other entries name none.
  fleet::Members members_;
  absl::btree_map<std::string, EntryFault> unusedEntries_;
  // Some target has reported its momentary slowness.
  bool haveTargetsSlowness_ = false;
  // Data centres that the operator has evacuated.
  fleet::Evacuations evacuations_;
  availability::Records availability_;
  absl::flat_hash_map<std::string, weights::PublishedVersions> weights_;
  part_use::Readers readers_;
  // This host has all items of the key-value service that were written before
  // itemsCompleteAt_, and those of each prefix that it follows itself.
  absl::Time itemsCompleteAt_ = absl::InfinitePast();
  absl::flat_hash_map<std::string, absl::Time> prefixesCompleteAt_;
  cache_index::Index cacheIndex_;
  // Reads from cache stores that haven't been reported to the other hosts yet.
  cache_index::ReadCounts readCounts_;
  // Targets that this host couldn't reach, not reported to other hosts yet.
  fleet::DownReports downReports_;
  entry_hosts::Hosts hosts_;
  // Requests that wait for memory at a target. waiters_ holds, by id, a
  // callback that tries to start the request or refuses it.
  request_queue::Queue waiting_;
  absl::flat_hash_map<std::uint64_t, std::function<void(WaiterCall)>> waiters_;
  std::uint64_t nextWaiter_ = 1;
  absl::flat_hash_map<std::string, retry_budget::Ledger> resendBudgets_;
  target_limits::State limits_;
  crash_evidence::State crashes_;
  // By number of the ask.
  absl::flat_hash_map<std::uint64_t, PendingAsk> permitAsks_;
  poison::State poison_;
  // Requests that wait at targets for the begin of their answers, with
  // callbacks that withdraw them if they are blocked.
  absl::flat_hash_map<const void*, std::function<void()>> onBlock_;
  // Runs when a request was lost before its answer began.
  std::function<void()> onLoss_ = [] {};
  // Sends a datagram to another host.
  std::function<void(const std::string& aHost, const std::string& aText)>
    sendDatagram_ = [](const std::string&, const std::string&) {};
  StoreHealth store_;
  // Recent sends of this host, by service.
  absl::flat_hash_map<std::string, fleet::SendRate> sendRates_;
  // With priority scheduling, the requests of services that have memory.
  overload::Loads priorityLoads_;
  // Demands of the data centres, and by service the decision which share of the
  // requests to send to other ones. spilloverTimes_ follows from the catalog
  // timesOf_.
  spillover::DemandReports demands_;
  absl::btree_map<std::string, spillover::State> spillover_;
  absl::btree_map<std::string, spillover::Times> spilloverTimes_;
  // By service.
  absl::flat_hash_map<std::string, spillover::RefusedDemand> refusedDemands_;
  catalog::CatalogPtr timesOf_;
  // By service. Open streams refer to the entries, which therefore stay.
  std::map<std::string, EventIds> eventIds_;
  // Bytes of answers that are buffered until they are complete.
  std::size_t bufferedBytes_ = 0;

  // Connections for requests, by target id, and for all other calls, by
  // address.
  Pool targetPool_;
  Pool callPool_;
  StallDetector stallDetector_;
  std::mt19937_64 random_;

  Role role_ = Role::Starting;
  // A relayed host passes what it receives on to others, see
  // relays::ForwardersOf; the key-value service answers its source.
  bool forwards_ = false;
  bool sourceReachesStore_ = false;
  relays::Feed feed_;
  RelayedTargets relayedTargets_;
  // Runs when the key-value service has been restored from a backup.
  std::function<void()> onNewEra_ = [] {};
  // Runs when the key-value service answers again after failed calls; the
  // argument is the time of the answer.
  std::function<void(absl::Time)> onStoreRecovered_ = [](absl::Time) {};
  // Run when the feed has a new row or the service's reachability has changed,
  // and when the role has changed.
  std::function<void()> onFeed_ = [] {};
  std::function<void()> onRole_ = [] {};

  // Runs when a version of a model's weights has been published.
  std::function<void()> onWeights_ = [] {};

  bool stopping_ = false;
  absl::Time stoppedAt_ = absl::InfinitePast();
  // Requests without a final answer.
  absl::flat_hash_set<Exchange*> openRequests_;
  // Runs when this host's open calls at targets have changed.
  std::function<void()> onLoad_ = [] {};
  // Run when items of the key-value service have changed: the catalog, targets,
  // weights or hosts.
  std::vector<std::function<void()>> onChange_;
};

// Returns the duration multiplied by a random factor between 0.5 and 1.5, so
// that hosts don't act at the same time.
absl::Duration
Jitter(Host& aHost, absl::Duration aDuration);

// Returns whether a mechanism is enabled; experiments switch some off.
inline bool
Uses(const Host& aHost, mechanisms::Mechanism aMechanism)
{
  return mechanisms::IsOn(aHost.settings_.switches_, aMechanism);
}

// Returns whether waiting requests start by priority: if the settings ask for
// it, or if targets share their machines with others, so that their throughput
// changes from moment to moment and room is scarce at times.
inline bool
SchedulesByPriority(const Host& aHost)
{
  return aHost.settings_.priorityScheduling_ || aHost.haveTargetsSlowness_;
}

// Returns whether the host has a catalog and at least one target, so that it
// can accept requests.
bool
CanServe(const Host& aHost);

// Returns the time until which an entry is believed that has vanished from the
// key-value service now: its owner may be alive and write it again.
absl::Time
RemovalTime(const Host& aHost, absl::Time aNow);

// Returns the start time of a target's present process, in milliseconds since
// 1970; nothing if the target isn't listed.
absl::optional<std::int64_t>
StartOf(const Host& aHost, const std::string& aTarget);

// Returns the limits of the retry budget, which is divided among the known
// hosts and kUnknownHosts more.
retry_budget::Limits
ResendLimits(const Host& aHost);

// Returns how many connections this host may open to one target of a service:
// the target's limit divided among the known hosts and kUnknownHosts more.
std::uint32_t
ConnectionShare(const Host& aHost, const catalog::Service& aService);

// Applies changed items of the key-value service, received from it or from a
// peer. aHeardSince: earliest time at which the message may have been written,
// see EarliestSendTime.
void
ApplyItems(Host& aHost,
           const std::vector<replica::Item>& aItems,
           absl::string_view aSource,
           absl::Time aHeardSince);

// Applies a complete listing of a prefix. aKnownUntil: when the host's copy of
// the prefix was last complete; new items were written later.
void
ApplyList(Host& aHost,
          absl::string_view aPrefix,
          const std::vector<replica::Item>& aItems,
          const core::Position& aAsOf,
          const Moment& aKnownUntil);

// Record that the host has all items, or all of one prefix, that were written
// before aAt. aKnownSince: see part_use::Readers; after a list it is the
// present time, since targets may have been listed and have vanished before.
void
NoteItemsComplete(Host& aHost, absl::Time aAt, absl::Time aKnownSince);
void
NotePrefixComplete(Host& aHost,
                   const std::string& aPrefix,
                   absl::Time aAt,
                   absl::Time aKnownSince);

// Records the era of the key-value service; ignores eras that aren't newer than
// the known one. A new era invalidates leases and revisions of earlier ones.
void
UpdateEra(Host& aHost, std::uint64_t aEra, absl::string_view aSource);

void
SetRole(Host& aHost, Role aRole);

// Starts or ends the forwarding of changes.
void
SetForwards(Host& aHost, bool aForwards);

// Returns whether a host passes changes on to others.
inline bool
PassesOn(const Host& aHost)
{
  return aHost.role_ == Role::Direct || aHost.forwards_;
}

// Appends a row to this host's feed if it passes changes on to others. aNews:
// an item, an update of a cache store, or a notice. aKey, aUrgency: see
// relays::AddRow.
template<typename News>
void
Publish(Host& aHost,
        const News& aNews,
        absl::string_view aKey = {},
        relays::Urgency aUrgency = relays::Urgency::Normal)
{
  if (PassesOn(aHost)) {
    relays::AddRow(aHost.feed_, WriteRow(aNews), aKey, aUrgency);
    aHost.onFeed_();
  }
}

// Share of a route's goal that reading a prompt from cache stores may take.
// Parts that aren't read by then are computed instead, which mostly still meets
// the goal.
inline constexpr double kReadShareOfGoal = 0.7;

// Returns how long a request of a route may read from cache stores.
absl::Duration
ReadTimeOf(const catalog::Route& aRoute);

// Calls the key-value service and records the outcome in Host::store_.
PendingFetch
CallStore(Host& aHost,
          const StoreCommand& aCommand,
          absl::Duration aTimeout,
          std::function<void(StoreReply)> aOnReply);

// Timeout of a call to the key-value service; a slow answer takes some hundred
// milliseconds.
inline constexpr absl::Duration kStoreCallTimeout = absl::Milliseconds(1500);

// Starts the waiting requests for which targets have memory, and refuses those
// whose callers would give up soon.
void
StartWaitingRequests(Host& aHost);

// Removes expired connections, entries and target statements; call it
// periodically.
void
Sweep(Host& aHost);

} // namespace lycheeplank::gateway

#endif
