#include "gateway/host.h"

#include <algorithm>
#include <utility>

#include <absl/container/btree_set.h>
#include <boost/asio/post.hpp>

#include "gateway/clock.h"
#include "gateway/socket.h"
#include "gateway/target-entries.h"
#include "gateway/warmup.h"

namespace lycheeplank::gateway {

namespace {

// An entry that vanishes within kUnsettledTime of a failure of the key-value
// service may have lapsed although its owner is alive. Live owners write their
// entries again within two seconds, so the entry stays in use for this time,
// which is slightly shorter.
constexpr absl::Duration kLapseTime = absl::Milliseconds(1800);
// Time from the change of an entry until a host hears of it, at most: the pause
// between two watches.
constexpr absl::Duration kNoticeTime = absl::Milliseconds(200);
// Owners may be disconnected from the service a little longer than this host.
constexpr absl::Duration kUnsettledTime = absl::Seconds(3);

// Log source of items that come from a complete listing of a prefix.
constexpr absl::string_view kListSource = "list";
// New weights in a listing are dated back to when the host's copy was last
// complete, but at most by this share of Settings::weightsTime_, the time in
// which old weights must go out of use. Otherwise hosts would refuse requests
// after each outage. The time of a freeze of this host counts in full.
constexpr double kUnknownAgeShare = 0.5;

// Number of hosts assumed beyond the known ones: they may be starting or not
// yet visible to this host.
constexpr std::uint32_t kUnknownHosts = 1;

// Ends the evacuations whose time is over.
void
EndEvacuations(Host& aHost, absl::Time aNow)
{
  for (const auto& dataCentre :
       fleet::RemoveEndedEvacuations(aHost.evacuations_, aNow)) {
    aHost.log_.Write(Line("evacuation_ended").Text("data_centre", dataCentre));
    NoteEvacuationEnd(aHost, dataCentre);
  }
}

void
ApplyCatalog(Host& aHost,
             const replica::Item& aItem,
             absl::string_view aSource,
             absl::Time aNow)
{
  const auto readFrom = Now();
  auto read =
    aItem.deleted_ ? absl::nullopt : aHost.adapter_.readCatalog_(aItem);
  if (!read) {
    aHost.log_.Write(Line("catalog_unreadable")
                       .Number("revision", aItem.revision_)
                       .Number("bytes", aItem.value_.size())
                       .Text("source", aSource));
    return;
  }
  if (aHost.catalog_ && aHost.catalog_->version_ > read->version_) {
    aHost.log_.Write(Line("catalog_older")
                       .Number("version", read->version_)
                       .Number("in_force", aHost.catalog_->version_)
                       .Text("source", aSource));
    return;
  }
  aHost.catalog_ = std::make_shared<const catalog::Catalog>(std::move(*read));
  aHost.catalogAt_ = aNow;
  cache_index::SetStores(aHost.cacheIndex_, aHost.catalog_->stores_);
  aHost.log_.Write(Line("catalog_in_force")
                     .Number("version", aHost.catalog_->version_)
                     .Number("revision", aItem.revision_)
                     .Number("hosts", aHost.catalog_->routes_.size())
                     .Number("services", aHost.catalog_->services_.size())
                     .Number("workspaces", aHost.catalog_->workspaces_.size())
                     .Number("bytes", aItem.value_.size())
                     .Age("read_ms", Now() - readFrom)
                     .Text("source", aSource));
  ReapplyTargets(aHost, aNow);
}

void
ApplyWeights(Host& aHost,
             const std::string& aModel,
             const replica::Item& aItem,
             absl::string_view aSource,
             absl::Time aHeardSince)
{
  const std::uint64_t version =
    aItem.deleted_ ? 0 : aHost.adapter_.readWeights_(aItem).value_or(0);
  auto& published = aHost.weights_[aModel];
  const auto namedAt =
    std::max(aHeardSince - aItem.age_, aHost.itemsCompleteAt_);
  if (!weights::AddVersion(
        published, { version, namedAt, Now(), aHost.itemsCompleteAt_ })) {
    return;
  }
  aHost.log_.Write(Line("weights_named")
                     .Text("model", aModel)
                     .Number("version", version)
                     .Age("age_ms", Now() - namedAt)
                     .Age("absent_age_ms", Now() - aHost.itemsCompleteAt_)
                     .Number("revision", aItem.revision_)
                     .Text("source", aSource));
  aHost.onWeights_();
}

// Returns whether an entry is that of the host of its key, with addresses that
// others can connect to.
bool
NamesHost(const entry_hosts::HostEntry& aEntry, const std::string& aName)
{
  return aEntry.name_ == aName &&
         ParseEndpoint(aEntry.callerAddress_).port() != 0 &&
         ParseEndpoint(aEntry.peerAddress_).port() != 0;
}

void
ApplyHost(Host& aHost,
          const std::string& aName,
          const replica::Item& aItem,
          absl::string_view aSource,
          absl::Time aNow)
{
  const auto known = aHost.hosts_.find(aName);
  if (aItem.deleted_) {
    if (known != aHost.hosts_.end()) {
      known->second.expiresAt_ =
        known->second.entry_.leaving_ ? aNow : RemovalTime(aHost, aNow);
      aHost.log_.Write(
        Line("host_vanished").Text("name", aName).Text("source", aSource));
    }
    return;
  }
  const auto entry = entry_hosts::ReadHost(aItem.value_);
  if (!entry || !NamesHost(*entry, aName)) {
    aHost.log_.Write(
      Line("host_unreadable").Text("name", aName).Text("source", aSource));
    return;
  }
  if (known == aHost.hosts_.end() ||
      known->second.entry_.leaving_ != entry->leaving_) {
    aHost.log_.Write(Line(entry->leaving_ ? "host_leaving" : "host_ready")
                       .Text("name", aName)
                       .Text("address", entry->callerAddress_)
                       .Text("source", aSource));
  }
  aHost.hosts_[aName] = { *entry };
}

void
ApplyEvacuation(Host& aHost,
                const std::string& aDataCentre,
                const replica::Item& aItem,
                absl::string_view aSource,
                absl::Time aNow)
{
  const auto isIn = [&](const fleet::Member& aMember) {
    return aMember.target_.dataCentre_ == aDataCentre;
  };
  const auto targets =
    std::count_if(aHost.members_.begin(),
                  aHost.members_.end(),
                  [&](const auto& aEntry) { return isIn(aEntry.second); });
  if (aItem.deleted_) {
    const auto known = aHost.evacuations_.find(aDataCentre);
    if (known == aHost.evacuations_.end()) {
      return;
    }
    // A restored backup may lack an evacuation that is written again.
    known->second = RemovalTime(aHost, aNow);
    aHost.log_.Write(Line("evacuation_removed")
                       .Text("data_centre", aDataCentre)
                       .Number("revision", aItem.revision_)
                       .Age("believed_ms", known->second - aNow)
                       .Text("source", aSource));
    EndEvacuations(aHost, aNow);
    return;
  }
  const bool isNew = !aHost.evacuations_.contains(aDataCentre);
  aHost.evacuations_[aDataCentre] = absl::InfiniteFuture();
  if (!isNew) {
    return;
  }
  aHost.metrics_.Count("evacuations_total");
  aHost.log_.Write(Line("evacuation_begun")
                     .Text("data_centre", aDataCentre)
                     .Number("targets", targets)
                     .Number("revision", aItem.revision_)
                     .Text("source", aSource));
  // Idle connections would only use up the targets' connection limits.
  for (const auto& [id, member] : aHost.members_) {
    if (isIn(member)) {
      aHost.targetPool_.Drop(id);
    }
  }
}

void
ApplyItem(Host& aHost,
          const replica::Item& aItem,
          absl::string_view aSource,
          absl::Time aHeardSince)
{
  const auto now = Now();
  const absl::string_view key = aItem.key_;
  if (key.substr(0, kHostPrefix.size()) == kHostPrefix) {
    ApplyHost(
      aHost, std::string(key.substr(kHostPrefix.size())), aItem, aSource, now);
    return;
  }
  const auto [kind, name] = aHost.adapter_.parseKey_(key);
  switch (kind) {
    case ItemKind::Catalog:
      ApplyCatalog(aHost, aItem, aSource, now);
      break;
    case ItemKind::Weights:
      ApplyWeights(aHost, name, aItem, aSource, aHeardSince);
      break;
    case ItemKind::Target:
      ApplyTarget(aHost, name, aItem, aSource, now);
      break;
    case ItemKind::Evacuation:
      ApplyEvacuation(aHost, name, aItem, aSource, now);
      break;
    case ItemKind::Other:
      break;
  }
}

void
NotifyChange(Host& aHost)
{
  for (const auto& action : aHost.onChange_) {
    action();
  }
}

// Returns the key under which a newer row of an item replaces earlier ones;
// empty if it replaces none. Each named version of weights is due by its own
// time. Of a target's entries only the newest state matters, except that a
// target that has announced to leave stays out of use when its entry is gone,
// and that a target that names another model may still read parts of the
// models before: rows of a leaving target, of another start or with other
// models are kept. Unreadable rows replace only each other.
std::string
RowKeyOf(const Host& aHost, const replica::Item& aItem, ItemKind aKind)
{
  if (aKind == ItemKind::Catalog) {
    return aItem.key_;
  }
  if (aKind != ItemKind::Target || aItem.deleted_) {
    return {};
  }
  const auto target = aHost.adapter_.readTarget_(aItem);
  if (!target) {
    return absl::StrCat(aItem.key_, " unreadable");
  }
  if (target->state_ == fleet::TargetState::Leaving) {
    return {};
  }
  auto key = absl::StrCat(aItem.key_, " ", target->bornMs_);
  absl::btree_set<absl::string_view> models;
  for (const auto& [model, version] : target->weights_) {
    models.insert(model);
  }
  for (const auto model : models) {
    absl::StrAppend(&key, " ", model);
  }
  return key;
}

// Returns whether the newest row of a target's entry says the same as an item,
// so that the item needn't be relayed. Targets rewrite their entries about once
// a second and change only a counter. Updates the record of relayed entries.
bool
IsRelayed(Host& aHost, const replica::Item& aItem)
{
  auto& relayed = aHost.relayedTargets_;
  if (relayed.feed_ != aHost.feed_.id_) {
    relayed = { aHost.feed_.id_, {} };
  }
  if (aItem.deleted_) {
    relayed.targets_.erase(aItem.key_);
    return false;
  }
  auto target = aHost.adapter_.readTarget_(aItem);
  const auto [entry, isNew] = relayed.targets_.try_emplace(aItem.key_);
  auto& known = entry->second;
  if (!isNew && known.era_ == aItem.era_ && known.target_ == target) {
    return true;
  }
  known = { aItem.era_, std::move(target) };
  return false;
}

// Relays a changed item unless the hosts that poll this one know it.
void
RelayItem(Host& aHost, const replica::Item& aItem)
{
  const auto kind = aHost.adapter_.parseKey_(aItem.key_).kind_;
  if (!PassesOn(aHost) ||
      (kind == ItemKind::Target && IsRelayed(aHost, aItem))) {
    return;
  }
  Publish(aHost,
          aItem,
          RowKeyOf(aHost, aItem, kind),
          kind == ItemKind::Catalog ? relays::Urgency::Urgent
                                    : relays::Urgency::Normal);
}

// Applies items that are newer than the known ones, relays them and runs
// Host::onChange_.
void
ApplyNewItems(Host& aHost,
              const std::vector<replica::Item>& aNewItems,
              absl::string_view aSource,
              absl::Time aHeardSince)
{
  const auto age = Now() - aHeardSince;
  for (auto at = aNewItems.begin(); at != aNewItems.end(); ++at) {
    const bool isCatalog =
      aHost.adapter_.parseKey_(at->key_).kind_ == ItemKind::Catalog;
    if (isCatalog &&
        std::any_of(at + 1, aNewItems.end(), [&at](const auto& aLater) {
          return aLater.key_ == at->key_;
        })) {
      continue;
    }
    auto item = *at;
    ApplyItem(aHost, item, aSource, aHeardSince);
    item.age_ += age;
    RelayItem(aHost, item);
  }
  if (!aNewItems.empty()) {
    Sweep(aHost);
    NotifyChange(aHost);
  }
}

// Updates the known era from a reply and sets it on the reply's items. Clears a
// reply from an earlier era, which doesn't hold for the current one.
void
CheckReplyEra(Host& aHost, const StoreCommand& aCommand, StoreReply& aReply)
{
  if (!aReply.era_) {
    return;
  }
  if (aHost.store_.era_ && *aReply.era_ < *aHost.store_.era_) {
    aHost.metrics_.Count("store_replies_of_old_era_total");
    aHost.log_.Write(Line("store_reply_of_old_era")
                       .Text("key", aCommand.key_)
                       .Number("era", *aReply.era_)
                       .Number("present", *aHost.store_.era_));
    aReply = StoreReply();
    return;
  }
  for (auto& item : aReply.items_) {
    item.era_ = *aReply.era_;
  }
  UpdateEra(aHost, *aReply.era_, "service");
}

void
RecordStoreCall(Host& aHost,
                const StoreCommand& aCommand,
                StoreOutcome aOutcome,
                const http::Answer& aAnswer)
{
  auto& health = aHost.store_;
  const bool failed =
    aOutcome == StoreOutcome::Lost || aOutcome == StoreOutcome::Refused;
  (failed ? health.failedAt_ : health.answeredAt_) = Now();
  if (health.reachable_ != !failed) {
    health.reachable_ = !failed;
    aHost.log_.Write(
      Line(failed ? "store_lost" : "store_back")
        .Text("operation", core::NameOf(kStoreOperations, aCommand.operation_))
        .Text("key", aCommand.key_)
        .Text("outcome", core::NameOf(kStoreOutcomes, aOutcome)));
    // Hosts that follow this one switch to another relay at once.
    aHost.onFeed_();
    if (!failed && health.failedAt_ != absl::InfinitePast()) {
      // Runs after the callback of the current call.
      boost::asio::post(aHost.loop_, [&aHost, backAt = health.answeredAt_] {
        aHost.onStoreRecovered_(backAt);
      });
    }
  }
  if (failed && aAnswer.received_ > 0) {
    aHost.log_.Write(
      Line("store_call_cut")
        .Text("operation", core::NameOf(kStoreOperations, aCommand.operation_))
        .Text("key", aCommand.key_)
        .Number("received", aAnswer.received_)
        .Age("transfer_ms", aAnswer.transferTime_));
  }
  aHost.metrics_.Count("store_received_bytes_total",
                       static_cast<double>(aAnswer.received_));
  aHost.metrics_.Count(
    "store_calls_total", "outcome", core::NameOf(kStoreOutcomes, aOutcome));
  aHost.metrics_.Count("store_operations_total",
                       "operation",
                       core::NameOf(kStoreOperations, aCommand.operation_));
  ++health.calls_.at(static_cast<std::size_t>(aCommand.operation_));
}

// Lets a waiting request choose a target again; returns false if it stays in
// the queue.
bool
TryToStart(Host& aHost, std::uint64_t aWaiter)
{
  const auto before = aHost.waiting_.entries_.size();
  // A copy, since the callback may add or remove waiters.
  const auto start = aHost.waiters_.at(aWaiter);
  start(WaiterCall::MayStart);
  return aHost.waiting_.entries_.size() < before;
}

// Tells a request that it has been removed from the queue.
void
EndWaiter(Host& aHost, std::uint64_t aWaiter, WaiterCall aCall)
{
  const auto waiter = aHost.waiters_.extract(aWaiter);
  waiter.mapped()(aCall);
}

// Starts waiting requests in the order of their priorities.
void
StartByPriority(Host& aHost, absl::Time aNow)
{
  for (const auto id :
       overload::RemoveHopeless(aHost.waiting_, aHost.priorityLoads_, aNow)) {
    EndWaiter(aHost, id, WaiterCall::Hopeless);
  }
  request_queue::Pass pass;
  for (const auto& request : request_queue::StartOrder(aHost.waiting_, aNow)) {
    if (aHost.waiters_.contains(request.id_) &&
        request_queue::MayPass(pass, request) &&
        !TryToStart(aHost, request.id_)) {
      request_queue::RecordBlocked(pass, request);
    }
  }
}

} // namespace

absl::Duration
Jitter(Host& aHost, absl::Duration aDuration)
{
  return aDuration * std::uniform_real_distribution<>(0.5, 1.5)(aHost.random_);
}

bool
CanServe(const Host& aHost)
{
  return aHost.catalog_ != nullptr && !aHost.members_.empty();
}

absl::Time
RemovalTime(const Host& aHost, absl::Time aNow)
{
  // A restored backup lacks entries that were written after it; their owners
  // write them again.
  const auto& store = aHost.store_;
  if (aNow - store.eraSeenAt_ < kUnsettledTime) {
    return aNow + kLapseTime;
  }
  // A target may be gone two seconds after its entry was removed, of which this
  // host has heard late.
  return aNow - store.failedAt_ < kUnsettledTime
           ? aNow + kLapseTime - kNoticeTime
           : aNow;
}

absl::optional<std::int64_t>
StartOf(const Host& aHost, const std::string& aTarget)
{
  const auto found = aHost.members_.find(aTarget);
  return found == aHost.members_.end()
           ? absl::nullopt
           : absl::make_optional(found->second.target_.bornMs_);
}

retry_budget::Limits
ResendLimits(const Host& aHost)
{
  return { aHost.settings_.resendRatio_,
           aHost.settings_.resendWindow_,
           aHost.settings_.resendSlack_,
           static_cast<std::uint32_t>(aHost.hosts_.size()) + kUnknownHosts };
}

std::uint32_t
ConnectionShare(const Host& aHost, const catalog::Service& aService)
{
  const auto hosts = static_cast<std::uint32_t>(aHost.hosts_.size());
  return std::max(1U, aService.maxConnections_ / (hosts + kUnknownHosts));
}

void
ApplyItems(Host& aHost,
           const std::vector<replica::Item>& aItems,
           absl::string_view aSource,
           absl::Time aHeardSince)
{
  std::vector<replica::Item> newItems;
  for (const auto& item : aItems) {
    if (replica::Apply(aHost.replica_, item, aHeardSince)) {
      newItems.push_back(item);
    }
  }
  ApplyNewItems(aHost, newItems, aSource, aHeardSince);
}

void
ApplyList(Host& aHost,
          absl::string_view aPrefix,
          const std::vector<replica::Item>& aItems,
          const core::Position& aAsOf,
          const Moment& aKnownUntil)
{
  const auto now = MomentAt(aHost.stallDetector_, Now());
  const auto unknownAge = kUnknownAgeShare * aHost.settings_.weightsTime_ +
                          now.stalled_ - aKnownUntil.stalled_;
  const auto heardSince = std::max(aKnownUntil.at_, now.at_ - unknownAge);
  ApplyNewItems(
    aHost,
    replica::Reconcile(aHost.replica_, aPrefix, aItems, aAsOf, heardSince),
    kListSource,
    heardSince);
}

void
NoteItemsComplete(Host& aHost, absl::Time aAt, absl::Time aKnownSince)
{
  auto& knownSince = aHost.readers_.knownSince_;
  knownSince = knownSince == absl::InfiniteFuture()
                 ? Now()
                 : std::max(knownSince, aKnownSince);
  aHost.itemsCompleteAt_ = std::max(aHost.itemsCompleteAt_, aAt);
}

void
NotePrefixComplete(Host& aHost,
                   const std::string& aPrefix,
                   absl::Time aAt,
                   absl::Time aKnownSince)
{
  auto& complete = aHost.prefixesCompleteAt_;
  complete[aPrefix] = aAt;
  auto earliest = absl::InfiniteFuture();
  for (const auto& prefix : aHost.adapter_.prefixes_()) {
    const auto found = complete.find(prefix);
    if (found == complete.end()) {
      return;
    }
    earliest = std::min(earliest, found->second);
  }
  NoteItemsComplete(aHost, earliest, aKnownSince);
}

void
UpdateEra(Host& aHost, std::uint64_t aEra, absl::string_view aSource)
{
  auto& store = aHost.store_;
  if (store.era_ && *store.era_ >= aEra) {
    return;
  }
  // A host that has received nothing yet has no state to discard.
  const bool isReturn = store.era_ || store.answeredAt_ != absl::InfinitePast();
  aHost.log_.Write(Line("store_era")
                     .Number("old", store.era_.value_or(0))
                     .Number("new", aEra)
                     .Flag("returned", isReturn)
                     .Number("items_kept", aHost.replica_.items_.size())
                     .Number("revision", aHost.replica_.newest_.revision_)
                     .Text("source", aSource));
  aHost.metrics_.Count("store_eras_total");
  store.era_ = aEra;
  store.eraSeenAt_ = Now();
  replica::BeginEra(aHost.replica_, aEra);
  // Items of the era before say nothing of what has been written since.
  aHost.itemsCompleteAt_ = absl::InfinitePast();
  aHost.prefixesCompleteAt_.clear();
  if (isReturn) {
    aHost.onNewEra_();
  }
}

void
SetRole(Host& aHost, Role aRole)
{
  if (aHost.role_ == aRole) {
    return;
  }
  aHost.role_ = aRole;
  aHost.forwards_ = false;
  relays::Restart(aHost.feed_, aHost.NewFeedId());
  aHost.log_.Write(
    Line("role_changed").Text("role", core::NameOf(kRoles, aRole)));
  aHost.onRole_();
}

void
SetForwards(Host& aHost, bool aForwards)
{
  if (aHost.forwards_ == aForwards) {
    return;
  }
  aHost.forwards_ = aForwards;
  // The feed lacks what the host has received meanwhile.
  relays::Restart(aHost.feed_, aHost.NewFeedId());
  aHost.log_.Write(Line("forwarding_changed").Flag("forwards", aForwards));
}

absl::Duration
ReadTimeOf(const catalog::Route& aRoute)
{
  return std::min(kReadShareOfGoal * aRoute.goal_, cache_index::kMaxReadTime);
}

PendingFetch
CallStore(Host& aHost,
          const StoreCommand& aCommand,
          absl::Duration aTimeout,
          std::function<void(StoreReply)> aOnReply)
{
  return Fetch(aHost.callPool_,
               aHost.loop_,
               aHost.settings_.storeAddress_,
               aHost.adapter_.writeStoreCall_(aCommand),
               aTimeout,
               [&aHost, aCommand, onReply = std::move(aOnReply)](
                 const http::Answer& aAnswer) {
                 auto reply = aHost.adapter_.readStoreReply_(aCommand, aAnswer);
                 CheckReplyEra(aHost, aCommand, reply);
                 RecordStoreCall(aHost, aCommand, reply.outcome_, aAnswer);
                 onReply(std::move(reply));
               });
}

void
StartWaitingRequests(Host& aHost)
{
  const auto now = Now();
  for (const auto id : request_queue::RemoveExpired(aHost.waiting_, now)) {
    EndWaiter(aHost, id, WaiterCall::Expired);
  }
  if (SchedulesByPriority(aHost)) {
    StartByPriority(aHost, now);
    return;
  }
  for (const auto id : request_queue::SmallRequests(aHost.waiting_)) {
    if (!TryToStart(aHost, id)) {
      // The remaining ones are small as well and won't fit either.
      break;
    }
  }
  // A request that finds no target stays in the queue.
  while (const auto id = request_queue::NextToStart(aHost.waiting_, now)) {
    if (!TryToStart(aHost, *id)) {
      return;
    }
  }
}

void
Sweep(Host& aHost)
{
  const auto now = Now();
  EndEvacuations(aHost, now);
  for (auto& target : fleet::RemoveExpired(aHost.members_, now)) {
    aHost.targetPool_.Drop(target.id_);
    part_use::NoteVanished(aHost.readers_, std::move(target), now);
  }
  part_use::Sweep(aHost.readers_, now);
  availability::Sweep(aHost.availability_, now);
  entry_hosts::RemoveExpiredHosts(aHost.hosts_, now);
  replica::RemoveOldTombstones(aHost.replica_, now);
  aHost.targetPool_.Sweep(now);
  aHost.callPool_.Sweep(now);
}

} // namespace lycheeplank::gateway
