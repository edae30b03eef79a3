#include "gateway/peers.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>

#include "core/compress.h"
#include "gateway/clock.h"
#include "gateway/route.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

namespace {

constexpr absl::string_view kNoticesPath = "/peer/notices";
// Hosts that start within this time get the same snapshot and the later changes
// as rows. Building a snapshot takes a relay some ten milliseconds.
constexpr absl::Duration kSnapshotLife = absl::Milliseconds(400);
// Answers from this size on are compressed.
constexpr std::size_t kCompressBytes = 1024;
// Time in which the key-value service and the relays pass a changed entry on to
// all hosts.
constexpr absl::Duration kEntryPropagationTime = absl::Milliseconds(300);
// Upper bound of a notice's transit time between two hosts, which is usually a
// few milliseconds.
constexpr absl::Duration kNoticeTransitTime = absl::Milliseconds(30);

// Returns the revision of a host's entry; 0 if it isn't known.
std::uint64_t
HostRevision(const Host& aHost, const std::string& aName)
{
  const auto* entry =
    replica::Find(aHost.replica_, absl::StrCat(kHostPrefix, aName));
  return entry == nullptr ? 0 : entry->item_.revision_;
}

void
ApplyNotice(Host& aHost, const Notice& aNotice, absl::Time aSentSince)
{
  if (aNotice.kind_ == Notice::Kind::HostLeaving) {
    const auto host = aHost.hosts_.find(aNotice.name_);
    // Hosts of an earlier release name no revision.
    const bool isCurrent =
      aNotice.version_ == 0 ||
      HostRevision(aHost, aNotice.name_) <= aNotice.version_;
    if (host != aHost.hosts_.end() && isCurrent) {
      host->second.entry_.leaving_ = true;
    }
    return;
  }
  if (aNotice.kind_ == Notice::Kind::TargetLeaving) {
    availability::NoteLeaving(aHost.availability_,
                              aHost.members_,
                              aNotice.name_,
                              aNotice.startedAtMs_,
                              Now());
    availability::MarkKnownToAll(
      aHost.availability_, aNotice.name_, aNotice.startedAtMs_);
    if (StartOf(aHost, aNotice.name_) == aNotice.startedAtMs_) {
      aHost.targetPool_.Drop(aNotice.name_);
    }
    return;
  }
  const auto found = aHost.members_.find(aNotice.name_);
  // Hosts of an earlier release name no start.
  if (found == aHost.members_.end() ||
      (aNotice.startedAtMs_ != 0 &&
       aNotice.startedAtMs_ != found->second.target_.bornMs_)) {
    return;
  }
  auto& member = found->second;
  if (aNotice.kind_ == Notice::Kind::LoadOrdered) {
    member.weightLoadUntil_ = aSentSince + aNotice.pause_;
    return;
  }
  auto& weights = member.target_.weights_[aNotice.model_];
  weights = std::max(weights, aNotice.version_);
  member.weightLoadUntil_ = absl::InfinitePast();
}

void
PublishNotices(Host& aHost, const std::vector<Notice>& aNotices)
{
  for (const auto& notice : aNotices) {
    Publish(aHost, notice);
  }
}

std::uint64_t
QueryNumber(absl::string_view aTarget, absl::string_view aName)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(http::QueryParameter(aTarget, aName), &number)
           ? number
           : 0;
}

// Returns a host's complete state as rows, with ages as of the latest time at
// which the snapshot is sent.
std::string
SnapshotRows(const Host& aHost)
{
  std::vector<std::string> rows;
  for (auto& item : replica::ChangesAfter(aHost.replica_, {}, Now())) {
    item.age_ += kSnapshotLife;
    rows.push_back(WriteRow(item));
  }
  for (const auto& [name, state] : aHost.cacheIndex_.stores_) {
    if (state.syncState_ == cache_index::SyncState::Synced) {
      rows.push_back(WriteRow(
        { name, false, true, state.epoch_, state.next_, ContentsOf(state) }));
    }
  }
  return absl::StrJoin(rows, ",");
}

// Returns whether the key-value service answers this host, or the relay whose
// changes it forwards.
bool
ReachesStore(const Host& aHost)
{
  return aHost.forwards_ ? aHost.sourceReachesStore_ : aHost.store_.reachable_;
}

SenderStatus
StatusOf(const Host& aHost)
{
  const auto now = Now();
  SenderStatus status;
  status.isDirect_ = aHost.role_ == Role::Direct && CanServe(aHost);
  status.forwards_ = aHost.forwards_ && CanServe(aHost);
  status.storeReachable_ = ReachesStore(aHost);
  status.era_ = aHost.store_.era_.value_or(0);
  status.itemsAge_ = now - aHost.itemsCompleteAt_;
  status.knownTime_ =
    std::max(absl::ZeroDuration(), now - aHost.readers_.knownSince_);
  status.clockMs_ = cache_index::StoreClockMs(aHost.cacheIndex_, now);
  for (const auto& [name, state] : aHost.cacheIndex_.stores_) {
    if (state.syncState_ == cache_index::SyncState::Synced) {
      status.cacheStoreAges_[name] = now - state.lastAnswerAt_;
    }
  }
  return status;
}

void
ReplyJson(const ServerConnectionPtr& aCaller, const std::string& aBody)
{
  aCaller->Reply(200, { { "Content-Type", "application/json" } }, aBody);
}

// Sends a shared answer; null: the caller is sent to its next source.
void
Send(const ServerConnectionPtr& aCaller,
     std::shared_ptr<const std::string> aAnswer)
{
  if (!aAnswer) {
    aCaller->Reply(503, {}, "");
    return;
  }
  const bool isPacked = !absl::StartsWith(*aAnswer, "{");
  http::Fields fields{ { "Content-Type", "application/json" } };
  if (isPacked) {
    fields.push_back({ "Content-Encoding", "deflate" });
  }
  aCaller->ReplyShared(200, std::move(fields), std::move(aAnswer));
}

} // namespace

PeerServer::PeerServer(Host& aHost)
  : host_(aHost)
  , timer_(aHost.loop_)
{
}

void
PeerServer::Answer(const ServerConnectionPtr& aCaller)
{
  const auto& head = aCaller->Head();
  if (absl::StartsWith(head.target_, kChangesPath)) {
    AnswerChanges(aCaller);
    return;
  }
  if (absl::StartsWith(head.target_, kRoutePath)) {
    const auto question = ReadRouteQuestion(head.target_);
    if (!question) {
      aCaller->Reply(400, {}, "");
      return;
    }
    ReplyJson(aCaller, ExplainRoute(host_, *question, Now()));
    return;
  }
  if (head.target_ == kNoticesPath) {
    const auto notices = ReadNotices(aCaller->Body());
    ApplyNotices(
      host_,
      notices,
      EarliestSendTime(host_.stallDetector_, absl::InfinitePast(), Now()));
    PublishNotices(host_, notices);
    ReplyJson(aCaller, "{}");
    return;
  }
  aCaller->Reply(404, {}, "");
}

void
PeerServer::AnswerChanges(const ServerConnectionPtr& aCaller)
{
  const auto& target = aCaller->Head().target_;
  if (QueryNumber(target, "compressed") == 0) {
    // The caller's release can't read compressed rows. It follows the
    // key-value service itself until it is replaced.
    aCaller->Reply(404, {}, "");
    return;
  }
  relays::Position position{ QueryNumber(target, "feed"),
                             QueryNumber(target, "from"),
                             absl::nullopt };
  if (!http::QueryParameter(target, "urgent").empty()) {
    position.urgent_ = QueryNumber(target, "urgent");
  }
  if (!PassesOn(host_) && QueryNumber(target, "forwarded") != 0) {
    // The caller wants to follow this host and isn't served with its state.
    Send(aCaller, Pack(position, StatusOf(host_), {}));
    return;
  }
  if (host_.stopping_ || !PassesOn(host_)) {
    Send(aCaller, AnswerFor(position));
    return;
  }
  polls_.pollTime_ =
    relays::PollTimeOf(host_.hosts_, host_.settings_.dataCentre_);
  const auto poll = relays::AddPoll(polls_, host_.feed_, position, Now());
  callers_[poll] = aCaller;
  aCaller->OnGone([this, poll] {
    relays::RemovePoll(polls_, poll);
    callers_.erase(poll);
  });
  AnswerPolls();
}

PeerServer::Text
PeerServer::AnswerFor(const relays::Position& aPosition)
{
  if (relays::HeldBytes(held_) > relays::kMaxHeldBytes) {
    host_.metrics_.Count("peer_answers_refused_total");
    return nullptr;
  }
  const auto portion = relays::PortionFor(host_.feed_, aPosition);
  if (!portion) {
    return SnapshotFor(aPosition);
  }
  auto status = StatusOf(host_);
  status.hasMoreRows_ = portion->position_.next_ < relays::NextRow(host_.feed_);
  return Pack(portion->position_, status, portion->rows_);
}

PeerServer::Text
PeerServer::SnapshotFor(const relays::Position& aPosition)
{
  auto& snapshot = aPosition.urgent_ ? packed_ : plain_;
  const auto now = Now();
  if (now - snapshot.builtAt_ < kSnapshotLife &&
      relays::IsKnown(host_.feed_, snapshot.position_)) {
    return snapshot.answer_;
  }
  // Hosts that get the answer later must not take the state for newer.
  auto status = StatusOf(host_);
  status.itemsAge_ += kSnapshotLife;
  status.knownTime_ = absl::ZeroDuration();
  for (auto& [store, age] : status.cacheStoreAges_) {
    age += kSnapshotLife;
  }
  const auto next = relays::NextRow(host_.feed_);
  snapshot.position_ = { host_.feed_.id_, next, absl::nullopt };
  if (aPosition.urgent_) {
    snapshot.position_.urgent_ = next;
  }
  snapshot.builtAt_ = now;
  snapshot.answer_ = Pack(snapshot.position_, status, SnapshotRows(host_));
  return snapshot.answer_;
}

PeerServer::Text
PeerServer::Pack(const relays::Position& aPosition,
                 const SenderStatus& aStatus,
                 const std::string& aRows)
{
  auto text = WritePeerUpdate(aPosition.feed_,
                              aPosition.next_,
                              aStatus,
                              aRows,
                              aPosition.urgent_.value_or(0));
  if (aPosition.urgent_ && text.size() >= kCompressBytes) {
    text = core::Compress(text);
  }
  auto answer = std::make_shared<const std::string>(std::move(text));
  held_.answers_.emplace_back(answer);
  return answer;
}

void
PeerServer::OnNewRows()
{
  const bool changed =
    std::exchange(storeReachable_, ReachesStore(host_)) != ReachesStore(host_);
  relays::StartBatch(polls_, Now(), changed);
  SetTimer();
}

void
PeerServer::AnswerPolls()
{
  // Callers may poll again during a reply.
  if (std::exchange(isAnswering_, true)) {
    return;
  }
  for (const auto& group : relays::TakeDuePolls(polls_, host_.feed_, Now())) {
    const auto answer = AnswerFor(group.position_);
    for (const auto poll : group.polls_) {
      const auto caller = callers_.extract(poll);
      if (!caller.empty()) {
        caller.mapped()->OnGone(nullptr);
        Send(caller.mapped(), answer);
      }
    }
  }
  isAnswering_ = false;
  SetTimer();
}

void
PeerServer::SetTimer()
{
  const auto due = relays::NextDueTime(polls_, host_.feed_);
  if (due != absl::InfiniteFuture()) {
    timer_.Set(std::max(absl::ZeroDuration(), due - Now()),
               [this] { AnswerPolls(); });
  }
}

void
ApplyNotices(Host& aHost,
             const std::vector<Notice>& aNotices,
             absl::Time aSentSince)
{
  for (const auto& notice : aNotices) {
    ApplyNotice(aHost, notice, aSentSince);
    aHost.log_.Write(Line("notice")
                       .Text("kind", core::NameOf(kNoticeKinds, notice.kind_))
                       .Text("name", notice.name_)
                       .Number("version", notice.version_)
                       .Age("until_ms", notice.pause_)
                       .Age("age_ms", Now() - aSentSince));
  }
}

void
BroadcastNotices(Host& aHost, const std::vector<Notice>& aNotices)
{
  ApplyNotices(aHost, aNotices, Now());
  PublishNotices(aHost, aNotices);
  const http::Call call{ "POST",
                         std::string(kNoticesPath),
                         { { "Content-Type", "application/json" } },
                         WriteNotices(aNotices),
                         kMaxShortAnswerBytes };
  for (const auto& dataCentre : relays::DataCentres(aHost.hosts_)) {
    for (const auto& name : relays::RelaysOf(aHost.hosts_, dataCentre)) {
      if (name == aHost.settings_.name_) {
        continue;
      }
      Fetch(aHost.callPool_,
            aHost.loop_,
            aHost.hosts_.at(name).entry_.peerAddress_,
            call,
            kPeerTimeout,
            [&aHost, name](const http::Answer& aAnswer) {
              if (aAnswer.status_ != 200) {
                aHost.log_.Write(Line("notice_lost")
                                   .Text("peer", name)
                                   .Number("status", aAnswer.status_));
              }
            });
    }
  }
}

void
BroadcastHostLeaving(Host& aHost)
{
  const auto& name = aHost.settings_.name_;
  BroadcastNotices(
    aHost,
    { { Notice::Kind::HostLeaving, name, {}, HostRevision(aHost, name) } });
}

void
BroadcastTargetLeaving(Host& aHost,
                       const std::string& aTarget,
                       std::int64_t aStartedAtMs)
{
  const auto timer = std::make_shared<Timer>(aHost.loop_);
  timer->Set(Jitter(aHost, kEntryPropagationTime),
             [&aHost, timer, aTarget, aStartedAtMs] {
               if (!availability::NeedsBroadcast(
                     aHost.availability_, aTarget, aStartedAtMs)) {
                 return;
               }
               BroadcastNotices(aHost,
                                { { Notice::Kind::TargetLeaving,
                                    aTarget,
                                    {},
                                    0,
                                    absl::ZeroDuration(),
                                    aStartedAtMs } });
             });
}

absl::Duration
NoticePropagationTime(const Host& aHost)
{
  if (!relays::IsLargeDeployment(aHost.hosts_)) {
    return kNoticeTransitTime;
  }
  const auto dataCentres = relays::DataCentres(aHost.hosts_);
  const bool isForwarded = std::any_of(
    dataCentres.begin(), dataCentres.end(), [&aHost](const auto& aName) {
      return !relays::ForwardersOf(aHost.hosts_, aName).empty();
    });
  const double hops = isForwarded ? 2.0 : 1.0;
  return kNoticeTransitTime +
         hops * (kNoticeTransitTime + relays::kBatchTime * 2);
}

} // namespace lycheeplank::gateway
