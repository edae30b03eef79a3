#include "gateway/peers.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kChangesPath = "/peer/changes";
constexpr absl::string_view kNoticesPath = "/peer/notices";
// Hosts answer within milliseconds; a longer silence is a cut.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(400);
// Period at which a host that the key-value service doesn't answer asks its
// peers; keys and routes have to be in force within seconds.
constexpr absl::Duration kAskPeriod = absl::Milliseconds(300);

Json
WriteItem(const replica::Item& aItem)
{
  return { { "key", aItem.key_ },
           { "value", aItem.value_ },
           { "revision", aItem.revision_ },
           { "created", aItem.created_ },
           { "deleted", aItem.deleted_ } };
}

std::string
TextOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

std::uint64_t
CountOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<std::uint64_t>()
           : 0;
}

Json
ParseList(const std::string& aText, const char* aName)
{
  const auto json = Json::parse(aText, nullptr, false);
  const auto found = json.is_object() ? json.find(aName) : json.end();
  return json.is_object() && found != json.end() && found->is_array()
           ? *found
           : Json::array();
}

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
  const auto found = aHost.members_.find(aNotice.name_);
  if (found == aHost.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (aNotice.kind_ == Notice::Kind::Ordered) {
    member.orderedUntil_ = aNow + aNotice.until_;
    return;
  }
  auto& weights = member.target_.weights_[aNotice.model_];
  weights = std::max(weights, aNotice.version_);
  member.orderedUntil_ = absl::InfinitePast();
}

} // namespace

std::string
WriteNotices(const std::vector<Notice>& aNotices)
{
  Json list = Json::array();
  for (const auto& notice : aNotices) {
    const auto kind = core::NameOf(kNoticeKinds, notice.kind_);
    list.push_back(
      { { "kind", std::string(kind) },
        { "name", notice.name_ },
        { "model", notice.model_ },
        { "version", notice.version_ },
        { "until_ms", absl::ToInt64Milliseconds(notice.until_) } });
  }
  return Json{ { "notices", list } }.dump();
}

std::vector<Notice>
ReadNotices(const std::string& aText)
{
  std::vector<Notice> notices;
  for (const auto& json : ParseList(aText, "notices")) {
    if (!json.is_object()) {
      continue;
    }
    if (const auto kind = core::ValueOf(kNoticeKinds, TextOf(json, "kind"))) {
      notices.push_back({ *kind,
                          TextOf(json, "name"),
                          TextOf(json, "model"),
                          CountOf(json, "version"),
                          absl::Milliseconds(static_cast<std::int64_t>(
                            CountOf(json, "until_ms"))) });
    }
  }
  return notices;
}

std::string
WriteChanges(const std::vector<replica::Item>& aItems, std::uint64_t aNewest)
{
  Json list = Json::array();
  for (const auto& item : aItems) {
    list.push_back(WriteItem(item));
  }
  return Json{ { "items", list }, { "newest", aNewest } }.dump(
    -1, ' ', false, Json::error_handler_t::replace);
}

std::vector<replica::Item>
ReadChangesOfPeer(const std::string& aText)
{
  std::vector<replica::Item> items;
  for (const auto& json : ParseList(aText, "items")) {
    if (!json.is_object() || CountOf(json, "revision") == 0) {
      continue;
    }
    replica::Item item;
    item.key_ = TextOf(json, "key");
    item.value_ = TextOf(json, "value");
    item.revision_ = CountOf(json, "revision");
    item.created_ = CountOf(json, "created");
    const auto deleted = json.find("deleted");
    item.deleted_ =
      deleted != json.end() && deleted->is_boolean() && deleted->get<bool>();
    items.push_back(std::move(item));
  }
  return items;
}

void
AnswerPeer(Host& aHost, const ServerConnectionPtr& aCaller)
{
  const http::Fields json{ { "Content-Type", "application/json" } };
  const auto& head = aCaller->Head();
  if (absl::StartsWith(head.target_, kChangesPath)) {
    std::uint64_t after = 0;
    if (!absl::SimpleAtoi(http::QueryParameter(head.target_, "after"),
                          &after)) {
      after = 0;
    }
    aCaller->Reply(200,
                   json,
                   WriteChanges(replica::ChangesAfter(aHost.replica_, after),
                                aHost.replica_.newest_));
    return;
  }
  if (head.target_ == kNoticesPath) {
    TakeNotices(aHost, ReadNotices(aCaller->Body()));
    aCaller->Reply(200, json, "{}");
    return;
  }
  aCaller->Reply(404, {}, "");
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
  const http::Call call{ "POST",
                         std::string(kNoticesPath),
                         { { "Content-Type", "application/json" } },
                         WriteNotices(aNotices) };
  for (const auto& [name, host] : aHost.hosts_) {
    if (name == aHost.settings_.name_) {
      continue;
    }
    Fetch(aHost.calls_,
          aHost.loop_,
          host.entry_.peerAddress_,
          call,
          kPeerTimeout,
          [&aHost, name = name](const http::Answer& aAnswer) {
            if (aAnswer.status_ != 200) {
              aHost.log_.Write(Line("notice_lost")
                                 .Text("peer", name)
                                 .Number("status", aAnswer.status_));
            }
          });
  }
}

PeerFollower::PeerFollower(Host& aHost)
  : host_(aHost)
  , timer_(aHost.loop_)
{
}

void
PeerFollower::Start()
{
  timer_.Set(Jitter(host_, kAskPeriod), [self = shared_from_this()] {
    if (self->host_.store_.reachable_) {
      self->following_ = false;
      self->Start();
    } else {
      self->Ask();
    }
  });
}

std::string
PeerFollower::PickPeer()
{
  std::vector<std::string> peers;
  for (const auto& [name, host] : host_.hosts_) {
    if (name != host_.settings_.name_) {
      peers.push_back(host.entry_.peerAddress_);
    }
  }
  if (peers.empty()) {
    for (const auto& seed : host_.settings_.seeds_) {
      if (seed != host_.settings_.peerAddress_) {
        peers.push_back(seed);
      }
    }
  }
  return peers.empty() ? std::string() : peers[host_.random_() % peers.size()];
}

void
PeerFollower::Ask()
{
  const auto peer = PickPeer();
  if (peer.empty()) {
    Start();
    return;
  }
  Fetch(
    host_.calls_,
    host_.loop_,
    peer,
    { "GET",
      absl::StrCat(kChangesPath, "?after=", host_.replica_.newest_),
      {},
      {} },
    kPeerTimeout,
    [self = shared_from_this(), peer](const http::Answer& aAnswer) {
      if (aAnswer.status_ == 200) {
        Learn(self->host_, ReadChangesOfPeer(aAnswer.body_), "peer");
      }
      if (aAnswer.status_ == 200 && !std::exchange(self->following_, true)) {
        self->host_.log_.Write(
          Line("following_peer")
            .Text("peer", peer)
            .Age("store_silent_ms", Now() - self->host_.store_.answeredAt_));
      }
      self->Start();
    });
}

} // namespace lycheeplank::gateway
