#include "gateway/peer-follower.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/clock.h"
#include "gateway/peers.h"
#include "lycheeplank/relay_polls.h"

namespace lycheeplank::gateway {

namespace {

// Period at which a host checks its source of changes. New keys and routes have
// to take effect within seconds.
constexpr absl::Duration kStepPeriod = absl::Milliseconds(300);
// Period of these checks while the host starts.
constexpr absl::Duration kStartPeriod = absl::Milliseconds(20);
// Time after which a starting host polls its peers if the key-value service
// doesn't answer.
constexpr absl::Duration kPeerFallbackTime = absl::Milliseconds(600);
// Time that a starting host waits once it is on its own list of hosts. The list
// then has the hosts that started at the same time as well.
constexpr absl::Duration kListedSettleTime = absl::Milliseconds(50);
// Time after which a host that could serve, but has found no source, follows
// the key-value service itself.
constexpr absl::Duration kStartTimeout = absl::Seconds(3);
// Time after which a host that polls another source than its best one tries the
// best one again.
constexpr absl::Duration kBestSourceRetryTime = absl::Seconds(3);
// Maximum number of feed positions that are kept. Positions of hosts that were
// replaced would otherwise accumulate.
constexpr std::size_t kMaxPositions = 32;
// Time after which a host tries its forwarder again that doesn't forward yet.
constexpr absl::Duration kForwarderRetryTime = absl::Seconds(1);
// Pause after a source has failed.
constexpr absl::Duration kRetryPause = absl::Milliseconds(50);

void
ApplyStoreUpdate(Host& aHost, const StoreUpdate& aUpdate, absl::Time aSentSince)
{
  const auto found = aHost.cacheIndex_.stores_.find(aUpdate.store_);
  if (found == aHost.cacheIndex_.stores_.end()) {
    return;
  }
  auto& state = found->second;
  if (aUpdate.unreachable_) {
    cache_index::MarkUnreachable(state);
  } else if (aUpdate.isSnapshot_) {
    cache_index::ReplaceContents(
      state, aUpdate.epoch_, aUpdate.next_, aUpdate.changes_, aSentSince);
  } else {
    cache_index::ApplyChanges(
      state, aUpdate.epoch_, aUpdate.next_, aUpdate.changes_, aSentSince);
  }
}

void
ApplySenderStatus(Host& aHost,
                  const SenderStatus& aSender,
                  absl::Time aSentSince)
{
  if (aSender.clockMs_ != 0) {
    // The transit time of the update makes the clock appear slow, so reads may
    // end too early but never too late.
    aHost.cacheIndex_.clockOffset_ =
      absl::FromUnixMillis(aSender.clockMs_) - Now();
  }
  for (auto& [name, state] : aHost.cacheIndex_.stores_) {
    if (const auto heard = aSender.cacheStoreAges_.find(name);
        heard != aSender.cacheStoreAges_.end()) {
      state.lastAnswerAt_ = aSentSince - heard->second;
    }
  }
}

} // namespace

PeerFollower::PeerFollower(Host& aHost)
  : host_(aHost)
  , timer_(aHost.loop_)
{
}

void
PeerFollower::Start()
{
  startedAt_ = Now();
  ScheduleStep(kStartPeriod);
}

void
PeerFollower::ScheduleStep(absl::Duration aPause)
{
  timer_.Set(aPause, [self = shared_from_this()] { self->Step(); });
}

bool
PeerFollower::IsRelay() const
{
  return relays::IsRelay(host_.hosts_, host_.settings_.name_);
}

PeerFollower::Peer
PeerFollower::PeerOf(const std::string& aName) const
{
  return { aName, host_.hosts_.at(aName).entry_.peerAddress_ };
}

std::string
PeerFollower::Forwarder() const
{
  return Now() < forwarderRefusedUntil_
           ? std::string()
           : relays::ForwarderOf(host_.hosts_,
                                 host_.settings_.dataCentre_,
                                 host_.settings_.name_);
}

std::vector<PeerFollower::Peer>
PeerFollower::Sources() const
{
  std::vector<Peer> peers;
  for (const auto& name : relays::SourcesOf(
         host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_)) {
    if (Now() >= forwarderRefusedUntil_ ||
        !relays::IsForwarder(host_.hosts_, name)) {
      peers.push_back(PeerOf(name));
    }
  }
  return peers;
}

PeerFollower::Peer
PeerFollower::PickRandomPeer()
{
  std::vector<Peer> peers;
  for (const auto& [name, host] : host_.hosts_) {
    if (name != host_.settings_.name_) {
      peers.push_back({ name, host.entry_.peerAddress_ });
    }
  }
  if (peers.empty()) {
    for (const auto& seed : host_.settings_.seeds_) {
      if (seed != host_.settings_.peerAddress_) {
        peers.push_back({ seed, seed });
      }
    }
  }
  return peers.empty() ? Peer() : peers[host_.random_() % peers.size()];
}

bool
PeerFollower::CanChooseSource()
{
  const auto now = Now();
  if (host_.role_ != Role::Starting ||
      (!host_.store_.reachable_ && now - startedAt_ > kPeerFallbackTime)) {
    return true;
  }
  if (!CanServe(host_)) {
    servesSince_ = absl::InfiniteFuture();
    return false;
  }
  servesSince_ = std::min(servesSince_, now);
  const bool isListed = host_.hosts_.contains(host_.settings_.name_);
  listedSince_ =
    isListed ? std::min(listedSince_, now) : absl::InfiniteFuture();
  if (now - listedSince_ > kListedSettleTime ||
      now - servesSince_ > kStartTimeout) {
    return true;
  }
  // If the data centre had enough relays before this host started, it can poll
  // them at once.
  const auto mates = std::count_if(
    host_.hosts_.begin(), host_.hosts_.end(), [this](const auto& aHost) {
      return aHost.second.entry_.dataCentre_ == host_.settings_.dataCentre_;
    });
  return !isListed &&
         static_cast<std::size_t>(mates) >= relays::kRelaysPerDataCentre;
}

void
PeerFollower::Step()
{
  if (!CanChooseSource()) {
    ScheduleStep(kStartPeriod);
    return;
  }
  if (IsRelay()) {
    StepAsRelay();
    return;
  }
  const auto peers = Sources();
  const auto now = Now();
  if (failures_ > 0 && now - bestTriedAt_ > kBestSourceRetryTime) {
    failures_ = 0;
  }
  if (failures_ == 0) {
    bestTriedAt_ = now;
  }
  PollPeer(peers[failures_ % peers.size()]);
}

void
PeerFollower::StepAsRelay()
{
  SetRole(host_, Role::Direct);
  failures_ = 0;
  if (host_.store_.reachable_) {
    following_ = false;
    ScheduleStep(Jitter(host_, kStepPeriod));
    return;
  }
  // Polls the same peer until it fails.
  if (const auto peer = following_ ? peer_ : PickRandomPeer();
      !peer.name_.empty()) {
    PollPeer(peer);
  } else {
    ScheduleStep(Jitter(host_, kStepPeriod));
  }
}

void
PeerFollower::PollPeer(const Peer& aPeer)
{
  peer_ = aPeer;
  if (positions_.size() > kMaxPositions) {
    positions_.clear();
  }
  const auto& position = positions_[aPeer.name_];
  Fetch(host_.callPool_,
        host_.loop_,
        aPeer.address_,
        { "GET",
          absl::StrCat(kChangesPath,
                       "?feed=",
                       position.feed_,
                       "&from=",
                       position.next_,
                       "&compressed=1&urgent=",
                       position.urgent_,
                       aPeer.name_ == Forwarder() ? "&forwarded=1" : ""),
          {},
          {} },
        relays::kPollTime + kPeerTimeout,
        [self = shared_from_this(), aPeer, askedAt = Now()](
          const http::Answer& aAnswer) {
          self->OnUpdate(aPeer, aAnswer, askedAt);
        });
}

void
PeerFollower::OnUpdate(const Peer& aPeer,
                       const http::Answer& aAnswer,
                       absl::Time aAskedAt)
{
  const auto update = aAnswer.status_ == 200
                        ? ReadPackedPeerUpdate(aAnswer.body_)
                        : absl::nullopt;
  if (!update) {
    OnFailure(aPeer, absl::StrCat("status ", aAnswer.status_), aAnswer);
    return;
  }
  host_.metrics_.Count("peer_update_bytes_total",
                       static_cast<double>(aAnswer.received_));
  host_.metrics_.Observe("peer_update_seconds", aAnswer.transferTime_);
  const bool isRelay = IsRelay();
  const bool isForwarder = aPeer.name_ == Forwarder();
  const bool forwards = update->sender_.forwards_;
  if (isForwarder && !update->sender_.isDirect_ && !forwards) {
    OnForwarderRefusal();
    return;
  }
  if (!isRelay && !update->sender_.isDirect_ && !(isForwarder && forwards)) {
    OnFailure(aPeer, "peer polls other hosts itself", aAnswer);
    return;
  }
  // Rows of the update are passed on if the host forwards already.
  if (host_.role_ == Role::Relayed) {
    SetForwards(host_,
                update->sender_.isDirect_ &&
                  relays::IsForwarder(host_.hosts_, host_.settings_.name_));
  }
  auto& position = positions_[aPeer.name_];
  const auto times = DateUpdate(position, *update, aAskedAt);
  position = {
    update->feed_, update->next_, update->urgent_, times.completeAt_
  };
  ApplyUpdate(*update, aAskedAt, times.changedSince_);
  if (!isRelay && !update->sender_.storeReachable_ && host_.store_.reachable_) {
    OnFailure(aPeer, "peer can't reach the key-value service", aAnswer);
    return;
  }
  if (!std::exchange(following_, true)) {
    host_.log_.Write(
      Line("following_peer")
        .Text("peer", aPeer.name_)
        .Flag("relay", !isRelay)
        .Age("store_silent_ms", Now() - host_.store_.answeredAt_));
  }
  if (isRelay) {
    ScheduleStep(Jitter(host_, kStepPeriod));
    return;
  }
  SetRole(host_, Role::Relayed);
  if (std::exchange(host_.sourceReachesStore_,
                    update->sender_.storeReachable_) !=
      update->sender_.storeReachable_) {
    host_.onFeed_();
  }
  ScheduleStep(absl::ZeroDuration());
}

void
PeerFollower::OnForwarderRefusal()
{
  if (host_.role_ == Role::Starting && host_.store_.reachable_ &&
      Now() - servesSince_ < kStartTimeout) {
    // The forwarder is starting as well. If all hosts asked the relay instead,
    // their snapshots would occupy its link for seconds.
    ScheduleStep(Jitter(host_, kRetryPause));
    return;
  }
  forwarderRefusedUntil_ = Now() + Jitter(host_, kForwarderRetryTime);
  ScheduleStep(absl::ZeroDuration());
}

PollTimes
PeerFollower::DateUpdate(const FeedPosition& aPosition,
                         const PeerUpdate& aUpdate,
                         absl::Time aAskedAt) const
{
  // The ages in a snapshot are as of the answer.
  const bool isSnapshot = aPosition.feed_ != aUpdate.feed_;
  auto times = DatePoll(host_.stallDetector_,
                        isSnapshot ? aAskedAt : aPosition.completeAt_,
                        aAskedAt,
                        Now());
  if (aUpdate.sender_.hasMoreRows_) {
    times.completeAt_ = aPosition.completeAt_;
  }
  return times;
}

void
PeerFollower::ApplyUpdate(const PeerUpdate& aUpdate,
                          absl::Time aAskedAt,
                          absl::Time aChangedSince)
{
  const auto now = Now();
  const auto sentSince = EarliestSendTime(host_.stallDetector_, aAskedAt, now);
  if (aUpdate.sender_.era_ != 0) {
    UpdateEra(host_, aUpdate.sender_.era_, "peer");
  }
  ApplyItems(host_, aUpdate.items_, "peer", aChangedSince);
  if (aUpdate.sender_.itemsAge_ != absl::InfiniteDuration() &&
      !aUpdate.sender_.hasMoreRows_) {
    NoteItemsComplete(host_,
                      aAskedAt - aUpdate.sender_.itemsAge_,
                      now - aUpdate.sender_.knownTime_);
  }
  if (!aUpdate.notices_.empty()) {
    ApplyNotices(host_, aUpdate.notices_, sentSince);
  }
  if (host_.forwards_) {
    for (const auto& notice : aUpdate.notices_) {
      Publish(host_, notice);
    }
  }
  if (host_.role_ == Role::Direct && IsRelay()) {
    // A relay follows the cache stores itself.
    return;
  }
  for (const auto& store : aUpdate.stores_) {
    ApplyStoreUpdate(host_, store, sentSince);
    if (host_.forwards_) {
      Publish(host_, store);
    }
  }
  ApplySenderStatus(host_, aUpdate.sender_, sentSince);
}

void
PeerFollower::OnFailure(const Peer& aPeer,
                        absl::string_view aReason,
                        const http::Answer& aAnswer)
{
  ++failures_;
  // Further failures are logged only if a transfer was cut.
  if (std::exchange(following_, false) || aAnswer.received_ > 0) {
    host_.log_.Write(Line("peer_lost")
                       .Text("peer", aPeer.name_)
                       .Text("reason", aReason)
                       .Number("received", aAnswer.received_)
                       .Age("transfer_ms", aAnswer.transferTime_));
  }
  const auto sources = Sources().size();
  if (host_.role_ == Role::Starting && host_.store_.reachable_ &&
      Now() - servesSince_ < kStartTimeout) {
    // The relays may still be starting as well.
    ScheduleStep(Jitter(host_, kStepPeriod));
    return;
  }
  if (IsRelay() || failures_ % std::max<std::size_t>(1, sources) == 0) {
    SetRole(host_, Role::Direct);
    ScheduleStep(Jitter(host_, kStepPeriod));
    return;
  }
  ScheduleStep(kRetryPause);
}

} // namespace lycheeplank::gateway
