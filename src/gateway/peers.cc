#include "gateway/peers.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>

#include "gateway/clock.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

namespace {

constexpr absl::string_view kNoticesPath = "/peer/notices";
// Changes that come within this time are told together.
constexpr absl::Duration kGatherTime = absl::Milliseconds(30);
// Hosts that start within this time get the same snapshot: building it takes
// some ten milliseconds at a relay, and what came since follows as rows.
constexpr absl::Duration kSnapshotLife = absl::Milliseconds(400);
// Time in which the key-value service and the relays tell all hosts of an
// entry that has changed.
constexpr absl::Duration kEntryTime = absl::Milliseconds(300);
// Time of a notice on its way between two hosts, which is a few milliseconds.
constexpr absl::Duration kTravelTime = absl::Milliseconds(30);

void
TakeNotice(Host& aHost, const Notice& aNotice, absl::Time aNow)
{
  if (aNotice.kind_ == Notice::Kind::HostLeaves) {
    const auto host = aHost.hosts_.find(aNotice.name_);
    if (host != aHost.hosts_.end()) {
      host->second.entry_.leaving_ = true;
    }
    return;
  }
  if (aNotice.kind_ == Notice::Kind::TargetLeaves) {
    statements::NoteLeaving(
      aHost.statements_, aHost.members_, aNotice.name_, aNotice.bornMs_, aNow);
    statements::MarkCommon(aHost.statements_, aNotice.name_);
    aHost.targets_.Drop(aNotice.name_);
    return;
  }
  const auto found = aHost.members_.find(aNotice.name_);
  if (found == aHost.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (aNotice.kind_ == Notice::Kind::Ordered) {
    member.weightLoadUntil_ = aNow + aNotice.until_;
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
NumberIn(absl::string_view aTarget, absl::string_view aName)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(http::QueryParameter(aTarget, aName), &number)
           ? number
           : 0;
}

// Returns all that a host knows as rows.
std::string
AllRows(const Host& aHost)
{
  std::vector<std::string> rows;
  for (const auto& item : replica::ChangesAfter(aHost.replica_, {}, Now())) {
    rows.push_back(WriteRow(item));
  }
  for (const auto& [name, state] : aHost.kept_.stores_) {
    if (state.syncState_ == cache_index::SyncState::Synced) {
      rows.push_back(WriteRow(
        { name, false, true, state.epoch_, state.next_, ContentsOf(state) }));
    }
  }
  return absl::StrJoin(rows, ",");
}

Source
SourceOf(const Host& aHost)
{
  const auto now = Now();
  Source source;
  source.direct_ = aHost.role_ == Role::Direct && CanServe(aHost);
  source.reachable_ = aHost.store_.reachable_;
  source.era_ = aHost.store_.era_.value_or(0);
  source.clockMs_ = cache_index::StoreClockMs(aHost.kept_, now);
  for (const auto& [name, state] : aHost.kept_.stores_) {
    if (state.syncState_ == cache_index::SyncState::Synced) {
      source.heard_[name] = now - state.lastAnswerAt_;
    }
  }
  return source;
}

void
ReplyJson(const ServerConnectionPtr& aCaller, const std::string& aBody)
{
  aCaller->Reply(200, { { "Content-Type", "application/json" } }, aBody);
}

} // namespace

PeerServer::PeerServer(Host& aHost)
  : host_(aHost)
  , gatherTimer_(aHost.loop_)
  , waitTimer_(aHost.loop_)
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
  if (head.target_ == kNoticesPath) {
    const auto notices = ReadNotices(aCaller->Body());
    TakeNotices(host_, notices);
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
  const auto feed = NumberIn(target, "feed");
  const auto from = NumberIn(target, "from");
  const bool waits = feed == host_.feed_.id_ &&
                     from == relays::NextRow(host_.feed_) && !host_.stopping_ &&
                     host_.role_ == Role::Direct;
  if (!waits) {
    ReplyJson(aCaller, NewsFor(feed, from));
    return;
  }
  const auto poll =
    polls_.insert(polls_.end(), { aCaller, feed, from, Now() + kPollTime });
  aCaller->OnGone([this, poll] { polls_.erase(poll); });
  WatchTimes();
}

std::string
PeerServer::NewsFor(std::uint64_t aFeed, std::uint64_t aFrom)
{
  const auto source = SourceOf(host_);
  if (const auto rows = relays::RowsFrom(host_.feed_, aFeed, aFrom)) {
    return WriteNews(
      host_.feed_.id_, relays::NextRow(host_.feed_), source, *rows);
  }
  RefreshSnapshot();
  return WriteNews(snapshot_.feed_, snapshot_.next_, source, snapshot_.rows_);
}

void
PeerServer::RefreshSnapshot()
{
  const auto now = Now();
  if (now - snapshot_.builtAt_ < kSnapshotLife &&
      relays::RowsFrom(host_.feed_, snapshot_.feed_, snapshot_.next_)) {
    return;
  }
  snapshot_ = {
    host_.feed_.id_, relays::NextRow(host_.feed_), AllRows(host_), now
  };
}

void
PeerServer::Changed()
{
  if (!polls_.empty() && !std::exchange(gathering_, true)) {
    gatherTimer_.Set(kGatherTime, [this] {
      gathering_ = false;
      TellWaiting(absl::InfiniteFuture());
    });
  }
}

void
PeerServer::TellWaiting(absl::Time aAskedBefore)
{
  while (!polls_.empty() && polls_.front().until_ <= aAskedBefore) {
    const auto poll = std::move(polls_.front());
    polls_.pop_front();
    // The caller may ask again within the reply, which adds a poll at the end.
    poll.caller_->OnGone(nullptr);
    ReplyJson(poll.caller_, NewsFor(poll.feed_, poll.from_));
  }
}

void
PeerServer::WatchTimes()
{
  if (polls_.empty() || std::exchange(watching_, true)) {
    return;
  }
  waitTimer_.Set(polls_.front().until_ - Now(), [this] {
    watching_ = false;
    TellWaiting(Now());
    WatchTimes();
  });
}

void
TakeNotices(Host& aHost, const std::vector<Notice>& aNotices)
{
  const auto now = Now();
  for (const auto& notice : aNotices) {
    TakeNotice(aHost, notice, now);
    aHost.log_.Write(Line("notice")
                       .Text("kind", core::NameOf(kNoticeKinds, notice.kind_))
                       .Text("name", notice.name_)
                       .Number("version", notice.version_)
                       .Age("until_ms", notice.until_));
  }
}

void
TellPeers(Host& aHost, const std::vector<Notice>& aNotices)
{
  TakeNotices(aHost, aNotices);
  PublishNotices(aHost, aNotices);
  const http::Call call{ "POST",
                         std::string(kNoticesPath),
                         { { "Content-Type", "application/json" } },
                         WriteNotices(aNotices) };
  for (const auto& dataCentre : relays::DataCentres(aHost.hosts_)) {
    for (const auto& name : relays::RelaysOf(aHost.hosts_, dataCentre)) {
      if (name == aHost.settings_.name_) {
        continue;
      }
      Fetch(aHost.calls_,
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
TellTargetLeaves(Host& aHost, const std::string& aTarget, std::int64_t aBornMs)
{
  const auto timer = std::make_shared<Timer>(aHost.loop_);
  timer->Set(Jitter(aHost, kEntryTime), [&aHost, timer, aTarget, aBornMs] {
    if (!statements::IsToBeTold(aHost.statements_, aTarget, aBornMs)) {
      return;
    }
    TellPeers(aHost,
              { { Notice::Kind::TargetLeaves,
                  aTarget,
                  {},
                  0,
                  absl::ZeroDuration(),
                  aBornMs } });
  });
}

absl::Duration
NoticeTime(const Host& aHost)
{
  return relays::IsLarge(aHost.hosts_) ? kTravelTime * 2 + kGatherTime
                                       : kTravelTime;
}

} // namespace lycheeplank::gateway
