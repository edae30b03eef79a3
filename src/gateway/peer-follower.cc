#include "gateway/peer-follower.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/clock.h"
#include "gateway/peers.h"

namespace lycheeplank::gateway {

namespace {

// Period at which a host looks how it hears of changes. Keys and routes have to
// be in force within seconds.
constexpr absl::Duration kLookPeriod = absl::Milliseconds(300);
// Period of looks while the host starts.
constexpr absl::Duration kStartPeriod = absl::Milliseconds(20);
// A starting host that the key-value service doesn't answer asks its peers
// after this time.
constexpr absl::Duration kSettleTime = absl::Milliseconds(600);
// The look at which a host sees itself shows those that started with it.
constexpr absl::Duration kListedTime = absl::Milliseconds(50);
// A host that could serve, but isn't told anything, asks for itself after this
// time.
constexpr absl::Duration kStartTime = absl::Seconds(3);
// A host that follows another source than its best one tries that one again
// after this time.
constexpr absl::Duration kReturnTime = absl::Seconds(3);
// Feeds whose positions are kept; hosts that are replaced leave theirs behind.
constexpr std::size_t kMostPositions = 32;
// Pause after a relay that was of no use.
constexpr absl::Duration kRetryPause = absl::Milliseconds(50);

void
TakeStore(Host& aHost, const StoreNews& aNews, absl::Time aHeardSince)
{
  const auto found = aHost.kept_.stores_.find(aNews.store_);
  if (found == aHost.kept_.stores_.end()) {
    return;
  }
  auto& state = found->second;
  if (aNews.lost_) {
    cache_index::MarkUnreachable(state);
  } else if (aNews.whole_) {
    cache_index::ReplaceContents(
      state, aNews.epoch_, aNews.next_, aNews.changes_, aHeardSince);
  } else {
    cache_index::ApplyChanges(
      state, aNews.epoch_, aNews.next_, aNews.changes_, aHeardSince);
  }
}

void
TakeSource(Host& aHost, const Source& aSource, absl::Time aHeardSince)
{
  if (aSource.clockMs_ != 0) {
    // Counted from now, the clock may be taken for slow, which ends reads too
    // early and never too late.
    aHost.kept_.clockOffset_ = absl::FromUnixMillis(aSource.clockMs_) - Now();
  }
  for (auto& [name, state] : aHost.kept_.stores_) {
    if (const auto heard = aSource.heard_.find(name);
        heard != aSource.heard_.end()) {
      state.lastAnswerAt_ = aHeardSince - heard->second;
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
  StepLater(kStartPeriod);
}

void
PeerFollower::StepLater(absl::Duration aPause)
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

std::vector<PeerFollower::Peer>
PeerFollower::Sources() const
{
  std::vector<Peer> peers;
  for (const auto& name : relays::SourcesOf(
         host_.hosts_, host_.settings_.dataCentre_, host_.settings_.name_)) {
    peers.push_back(PeerOf(name));
  }
  return peers;
}

PeerFollower::Peer
PeerFollower::PickAny()
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
PeerFollower::IsSettled()
{
  const auto now = Now();
  if (host_.role_ != Role::Starting ||
      (!host_.store_.reachable_ && now - startedAt_ > kSettleTime)) {
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
  if (now - listedSince_ > kListedTime || now - servesSince_ > kStartTime) {
    return true;
  }
  // Relays that were there before this host are the ones to ask.
  const auto mates = std::count_if(
    host_.hosts_.begin(), host_.hosts_.end(), [this](const auto& aHost) {
      return aHost.second.entry_.dataCentre_ == host_.settings_.dataCentre_;
    });
  return !isListed && static_cast<std::size_t>(mates) >= relays::kRelays;
}

void
PeerFollower::Step()
{
  if (!IsSettled()) {
    StepLater(kStartPeriod);
    return;
  }
  if (IsRelay()) {
    StepAsRelay();
    return;
  }
  const auto peers = Sources();
  const auto now = Now();
  if (failures_ > 0 && now - triedBestAt_ > kReturnTime) {
    failures_ = 0;
  }
  if (failures_ == 0) {
    triedBestAt_ = now;
  }
  Ask(peers[failures_ % peers.size()]);
}

void
PeerFollower::StepAsRelay()
{
  SetRole(host_, Role::Direct);
  failures_ = 0;
  if (host_.store_.reachable_) {
    following_ = false;
    StepLater(Jitter(host_, kLookPeriod));
    return;
  }
  // The same peer is asked until it fails.
  if (const auto peer = following_ ? peer_ : PickAny(); !peer.name_.empty()) {
    Ask(peer);
  } else {
    StepLater(Jitter(host_, kLookPeriod));
  }
}

void
PeerFollower::Ask(const Peer& aPeer)
{
  peer_ = aPeer;
  if (positions_.size() > kMostPositions) {
    positions_.clear();
  }
  const auto& position = positions_[aPeer.name_];
  Fetch(
    host_.calls_,
    host_.loop_,
    aPeer.address_,
    { "GET",
      absl::StrCat(
        kChangesPath, "?feed=", position.feed_, "&from=", position.next_),
      {},
      {} },
    kPollTime + kPeerTimeout,
    [self = shared_from_this(), aPeer, askedAt = Now()](
      const http::Answer& aAnswer) { self->OnNews(aPeer, aAnswer, askedAt); });
}

void
PeerFollower::OnNews(const Peer& aPeer,
                     const http::Answer& aAnswer,
                     absl::Time aAskedAt)
{
  const auto news =
    aAnswer.status_ == 200 ? ReadNews(aAnswer.body_) : absl::nullopt;
  if (!news) {
    Fail(aPeer, absl::StrCat("status ", aAnswer.status_));
    return;
  }
  const bool isRelay = IsRelay();
  if (!isRelay && !news->source_.direct_) {
    Fail(aPeer, "asks others itself");
    return;
  }
  positions_[aPeer.name_] = { news->feed_, news->next_ };
  Take(*news, HeardSince(host_.pulse_, aAskedAt, Now()));
  if (!isRelay && !news->source_.reachable_ && host_.store_.reachable_) {
    Fail(aPeer, "has lost the key-value service");
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
    StepLater(Jitter(host_, kLookPeriod));
    return;
  }
  SetRole(host_, Role::Told);
  StepLater(absl::ZeroDuration());
}

void
PeerFollower::Take(const News& aNews, absl::Time aHeardSince)
{
  if (aNews.source_.era_ != 0) {
    NoteEra(host_, aNews.source_.era_, "peer");
  }
  Learn(host_, aNews.items_, "peer", aHeardSince);
  if (!aNews.notices_.empty()) {
    TakeNotices(host_, aNews.notices_);
  }
  if (host_.role_ == Role::Direct && IsRelay()) {
    // It hears of the cache stores by itself.
    return;
  }
  for (const auto& store : aNews.stores_) {
    TakeStore(host_, store, aHeardSince);
  }
  TakeSource(host_, aNews.source_, aHeardSince);
}

void
PeerFollower::Fail(const Peer& aPeer, absl::string_view aReason)
{
  ++failures_;
  if (std::exchange(following_, false)) {
    host_.log_.Write(
      Line("peer_lost").Text("peer", aPeer.name_).Text("reason", aReason));
  }
  const auto sources = Sources().size();
  if (host_.role_ == Role::Starting && host_.store_.reachable_ &&
      Now() - servesSince_ < kStartTime) {
    // The relays are starting as well.
    StepLater(Jitter(host_, kLookPeriod));
    return;
  }
  if (IsRelay() || failures_ % std::max<std::size_t>(1, sources) == 0) {
    SetRole(host_, Role::Direct);
    StepLater(Jitter(host_, kLookPeriod));
    return;
  }
  StepLater(kRetryPause);
}

} // namespace lycheeplank::gateway
