#include "gateway/host.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Entries that vanish while the key-value service fails, or within this time
// after it, may have lapsed although their owners live. Owners that live are
// back within two seconds, so the entries are believed until shortly before.
constexpr absl::Duration kLapseTime = absl::Milliseconds(1800);
// How long after a failure of the service a vanished entry is taken so: its
// owners may be cut off a little longer than this host.
constexpr absl::Duration kUnsettledTime = absl::Seconds(3);

// How a host hears of items when it reads all of a prefix.
constexpr absl::string_view kListSource = "list";
// Weights that a list shows are taken for named when all was last known, but at
// most this share of the time before in which targets have to be left.
constexpr double kUnknownAgeShare = 0.5;

// Hosts that come up or that this one hasn't heard of yet share as well.
constexpr std::uint32_t kHostsUnseen = 1;

absl::Time
VanishTime(const Host& aHost, absl::Time aNow)
{
  // A copy lacks entries that were written since; their owners write them
  // again.
  const auto& store = aHost.store_;
  const bool unsettled =
    aNow - std::max(store.failedAt_, store.eraSeenAt_) < kUnsettledTime;
  return unsettled ? aNow + kLapseTime : aNow;
}

void
LearnCatalog(Host& aHost,
             const replica::Item& aItem,
             absl::string_view aSource,
             absl::Time aNow)
{
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
  cache_index::SetStores(aHost.kept_, aHost.catalog_->stores_);
  aHost.log_.Write(Line("catalog_in_force")
                     .Number("version", aHost.catalog_->version_)
                     .Number("revision", aItem.revision_)
                     .Number("hosts", aHost.catalog_->routes_.size())
                     .Number("services", aHost.catalog_->services_.size())
                     .Number("workspaces", aHost.catalog_->workspaces_.size())
                     .Text("source", aSource));
}

void
LearnTarget(Host& aHost,
            const std::string& aId,
            const replica::Item& aItem,
            absl::string_view aSource,
            absl::Time aNow)
{
  if (aItem.deleted_) {
    statements::MarkCommon(aHost.statements_, aId);
    const auto until = VanishTime(aHost, aNow);
    if (fleet::ExpireTarget(aHost.members_, aId, until)) {
      aHost.log_.Write(Line("target_vanished")
                         .Text("target", aId)
                         .Number("revision", aItem.revision_)
                         .Age("believed_ms", until - aNow)
                         .Text("source", aSource));
    }
    return;
  }
  auto target = aHost.adapter_.readTarget_(aItem);
  if (!target) {
    // An entry that can't be read names no target to use.
    fleet::ExpireTarget(aHost.members_, aId, aNow);
    aHost.log_.Write(Line("target_unreadable")
                       .Text("target", aId)
                       .Number("revision", aItem.revision_)
                       .Text("source", aSource));
    return;
  }
  const bool leaving = target->state_ == fleet::TargetState::Leaving;
  const auto known = aHost.members_.find(aId);
  if (known == aHost.members_.end() ||
      known->second.target_.state_ != target->state_ ||
      known->second.target_.weights_ != target->weights_) {
    Line line(leaving ? "target_leaving" : "target_ready");
    line.Text("target", aId)
      .Text("service", target->service_)
      .Text("address", target->address_)
      .Number("revision", aItem.revision_)
      .Text("source", aSource);
    for (const auto& [model, version] : target->weights_) {
      line.Number("weights", version);
    }
    aHost.log_.Write(line);
  }
  fleet::UpdateTarget(
    aHost.members_, std::move(*target), replica::PositionOf(aItem), aNow);
  if (leaving) {
    statements::MarkCommon(aHost.statements_, aId);
  }
  auto& member = aHost.members_.at(aId);
  statements::Apply(aHost.statements_, member);
  if (member.target_.state_ == fleet::TargetState::Leaving) {
    aHost.targets_.Drop(aId);
  }
}

void
LearnWeights(Host& aHost,
             const std::string& aModel,
             const replica::Item& aItem,
             absl::string_view aSource,
             absl::Time aHeardSince)
{
  const std::uint64_t version =
    aItem.deleted_ ? 0 : aHost.adapter_.readWeights_(aItem).value_or(0);
  auto& namings = aHost.weights_[aModel];
  const auto namedAt = aHeardSince - aItem.age_;
  if (!weights::AddVersion(namings, version, namedAt)) {
    return;
  }
  aHost.log_.Write(Line("weights_named")
                     .Text("model", aModel)
                     .Number("version", version)
                     .Age("age_ms", Now() - namedAt)
                     .Number("revision", aItem.revision_)
                     .Text("source", aSource));
}

void
LearnHost(Host& aHost,
          const std::string& aName,
          const replica::Item& aItem,
          absl::string_view aSource,
          absl::Time aNow)
{
  const auto known = aHost.hosts_.find(aName);
  if (aItem.deleted_) {
    if (known != aHost.hosts_.end()) {
      known->second.expiresAt_ =
        known->second.entry_.leaving_ ? aNow : VanishTime(aHost, aNow);
      aHost.log_.Write(
        Line("host_vanished").Text("name", aName).Text("source", aSource));
    }
    return;
  }
  const auto entry = entry_hosts::ReadHost(aItem.value_);
  if (!entry) {
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
LearnItem(Host& aHost,
          const replica::Item& aItem,
          absl::string_view aSource,
          absl::Time aHeardSince)
{
  const auto now = Now();
  const absl::string_view key = aItem.key_;
  if (key.substr(0, kHostPrefix.size()) == kHostPrefix) {
    LearnHost(
      aHost, std::string(key.substr(kHostPrefix.size())), aItem, aSource, now);
    return;
  }
  const auto [kind, name] = aHost.adapter_.nameOf_(key);
  switch (kind) {
    case ItemKind::Catalog:
      LearnCatalog(aHost, aItem, aSource, now);
      break;
    case ItemKind::Weights:
      LearnWeights(aHost, name, aItem, aSource, aHeardSince);
      break;
    case ItemKind::Target:
      LearnTarget(aHost, name, aItem, aSource, now);
      break;
    case ItemKind::Other:
      break;
  }
}

void
TellChange(Host& aHost)
{
  for (const auto& action : aHost.onChange_) {
    action();
  }
}

// Takes in items that are newer than what was known.
void
LearnNews(Host& aHost,
          const std::vector<replica::Item>& aNews,
          absl::string_view aSource,
          absl::Time aHeardSince)
{
  const auto heardBefore = Now() - aHeardSince;
  for (auto item : aNews) {
    LearnItem(aHost, item, aSource, aHeardSince);
    item.age_ += heardBefore;
    Publish(aHost, item);
  }
  if (!aNews.empty()) {
    Sweep(aHost);
    TellChange(aHost);
  }
}

// Takes in the era that a reply tells. A reply from an era that is over says
// nothing of the present one.
void
TakeEra(Host& aHost, const StoreCommand& aCommand, StoreReply& aReply)
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
  NoteEra(aHost, *aReply.era_, "service");
}

void
NoteStore(Host& aHost, const StoreCommand& aCommand, StoreOutcome aOutcome)
{
  auto& health = aHost.store_;
  const bool failed =
    aOutcome == StoreOutcome::Lost || aOutcome == StoreOutcome::Refused;
  (failed ? health.failedAt_ : health.answeredAt_) = Now();
  if (health.reachable_ != !failed) {
    health.reachable_ = !failed;
    aHost.log_.Write(
      Line(failed ? "store_lost" : "store_back")
        .Text("key", aCommand.key_)
        .Text("outcome", core::NameOf(kStoreOutcomes, aOutcome)));
    // The hosts that this one tells look for another one at once.
    aHost.onFeed_();
    if (!failed && health.failedAt_ != absl::InfinitePast()) {
      // The call that found it out goes on first.
      boost::asio::post(aHost.loop_, [&aHost, backAt = health.answeredAt_] {
        aHost.onStoreBack_(backAt);
      });
    }
  }
  aHost.metrics_.Count(
    "store_calls_total", "outcome", core::NameOf(kStoreOutcomes, aOutcome));
  aHost.metrics_.Count("store_operations_total",
                       "operation",
                       core::NameOf(kStoreOperations, aCommand.operation_));
  ++health.calls_.at(static_cast<std::size_t>(aCommand.operation_));
}

// Lets a waiting request look for a target again; false if it goes on waiting.
bool
TryToStart(Host& aHost, std::uint64_t aWaiter)
{
  const auto before = aHost.waiting_.entries_.size();
  // The action may add to or take from the waiters.
  const auto start = aHost.waiters_.at(aWaiter);
  start(false);
  return aHost.waiting_.entries_.size() < before;
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

retry_budget::Limits
ResendLimits(const Host& aHost)
{
  return { aHost.settings_.resendRatio_,
           aHost.settings_.resendWindow_,
           aHost.settings_.resendSlack_,
           static_cast<std::uint32_t>(aHost.hosts_.size()) + kHostsUnseen };
}

std::uint32_t
ConnectionShare(const Host& aHost, const catalog::Service& aService)
{
  const auto hosts = static_cast<std::uint32_t>(aHost.hosts_.size());
  return std::max(1U, aService.maxConnections_ / (hosts + kHostsUnseen));
}

void
Learn(Host& aHost,
      const std::vector<replica::Item>& aItems,
      absl::string_view aSource,
      absl::Time aHeardSince)
{
  std::vector<replica::Item> news;
  for (const auto& item : aItems) {
    if (replica::Apply(aHost.replica_, item, aHeardSince)) {
      news.push_back(item);
    }
  }
  LearnNews(aHost, news, aSource, aHeardSince);
}

void
LearnList(Host& aHost,
          absl::string_view aPrefix,
          const std::vector<replica::Item>& aItems,
          const core::Position& aAsOf,
          absl::Time aKnownUntil)
{
  const auto heardSince = std::max(
    aKnownUntil, Now() - kUnknownAgeShare * aHost.settings_.weightsTime_);
  LearnNews(
    aHost,
    replica::Reconcile(aHost.replica_, aPrefix, aItems, aAsOf, heardSince),
    kListSource,
    heardSince);
}

void
NoteEra(Host& aHost, std::uint64_t aEra, absl::string_view aSource)
{
  auto& store = aHost.store_;
  if (store.era_ && *store.era_ >= aEra) {
    return;
  }
  // A host that has heard nothing yet has nothing to give up.
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
  if (isReturn) {
    aHost.onEra_();
  }
}

void
SetRole(Host& aHost, Role aRole)
{
  if (aHost.role_ == aRole) {
    return;
  }
  aHost.role_ = aRole;
  relays::Restart(aHost.feed_, aHost.NewFeedId());
  aHost.log_.Write(
    Line("role_changed").Text("role", core::NameOf(kRoles, aRole)));
  aHost.onRole_();
}

absl::Duration
ReadTimeOf(const catalog::Route& aRoute)
{
  return kReadShareOfGoal * aRoute.goal_;
}

absl::Duration
LongestRead(const Host& aHost)
{
  absl::Duration longest = absl::ZeroDuration();
  if (aHost.catalog_) {
    for (const auto& [host, routes] : aHost.catalog_->routes_) {
      for (const auto& route : routes) {
        longest = std::max(longest, ReadTimeOf(route));
      }
    }
  }
  return longest;
}

void
CallStore(Host& aHost,
          const StoreCommand& aCommand,
          absl::Duration aTimeout,
          std::function<void(StoreReply)> aOnReply)
{
  Fetch(aHost.calls_,
        aHost.loop_,
        aHost.settings_.storeAddress_,
        aHost.adapter_.writeStoreCall_(aCommand),
        aTimeout,
        [&aHost, aCommand, onReply = std::move(aOnReply)](
          const http::Answer& aAnswer) {
          auto reply = aHost.adapter_.readStoreReply_(aCommand, aAnswer);
          TakeEra(aHost, aCommand, reply);
          NoteStore(aHost, aCommand, reply.outcome_);
          onReply(std::move(reply));
        });
}

void
StartWaiting(Host& aHost)
{
  const auto now = Now();
  for (const auto id : request_queue::RemoveExpired(aHost.waiting_, now)) {
    const auto waiter = aHost.waiters_.extract(id);
    waiter.mapped()(true);
  }
  for (const auto id : request_queue::SmallRequests(aHost.waiting_)) {
    if (!TryToStart(aHost, id)) {
      // The others are small as well.
      break;
    }
  }
  // A request that finds no room goes back into the queue.
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
  for (const auto& id : fleet::RemoveExpired(aHost.members_, now)) {
    aHost.targets_.Drop(id);
  }
  statements::Sweep(aHost.statements_, now);
  entry_hosts::RemoveExpiredHosts(aHost.hosts_, now);
  replica::RemoveOldTombstones(aHost.replica_, now);
  aHost.targets_.Sweep(now);
  aHost.calls_.Sweep(now);
}

} // namespace lycheeplank::gateway
