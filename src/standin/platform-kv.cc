#include "standin/platform.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1UL << 20U;
constexpr std::uint64_t kDefaultListLimit = 1000;
constexpr std::uint64_t kMaxWatchMilliseconds = 60000;

std::uint64_t
VersionOf(const Platform& aPlatform, const std::string& aKey)
{
  const auto found = aPlatform.entries_.find(aKey);
  return found == aPlatform.entries_.end() ? 0 : found->second.version_;
}

std::vector<net::Field>
VersionHeader(std::uint64_t aVersion)
{
  return { { "X-Version", absl::StrCat(aVersion) },
           { "Content-Type", "application/octet-stream" } };
}

// Replies with the value of a key and the status aFound, or with aAbsent if the
// key does not exist.
void
ReplyValue(const Platform& aPlatform,
           const ExchangePtr& aExchange,
           const std::string& aKey,
           int aFound,
           int aAbsent)
{
  const auto found = aPlatform.entries_.find(aKey);
  if (found == aPlatform.entries_.end()) {
    aExchange->Reply(aAbsent, VersionHeader(0), "");
    return;
  }
  const KvEntry& entry = found->second;
  aExchange->Reply(aFound, VersionHeader(entry.version_), entry.value_);
}

// Replies to all watches of a key.
void
NotifyWatchers(Platform& aPlatform, const std::string& aKey)
{
  const auto found = aPlatform.watchers_.find(aKey);
  if (found == aPlatform.watchers_.end()) {
    return;
  }
  const std::vector<Watcher> watchers = std::move(found->second);
  aPlatform.watchers_.erase(found);
  for (const Watcher& watcher : watchers) {
    ReplyValue(aPlatform, watcher.exchange_, aKey, 200, 404);
  }
}

void
DetachFromLease(Platform& aPlatform, const std::string& aKey)
{
  const auto entry = aPlatform.entries_.find(aKey);
  if (entry == aPlatform.entries_.end()) {
    return;
  }
  if (const auto lease = aPlatform.leases_.find(entry->second.lease_);
      lease != aPlatform.leases_.end()) {
    lease->second.keys_.erase(aKey);
  }
}

// Returns whether the key has the version that the write's parameter `expect`
// requires, if it is given.
bool
MatchesExpectedVersion(const Platform& aPlatform,
                       const net::Request& aRequest,
                       const std::string& aKey)
{
  return !net::HasField(aRequest.query_, "expect") ||
         QueryNumber(aRequest, "expect", ~0ULL) == VersionOf(aPlatform, aKey);
}

void
PutKey(Platform& aPlatform,
       const ExchangePtr& aExchange,
       const std::string& aKey)
{
  const net::Request& request = aExchange->request_;
  if (request.tooLarge_ || request.body_.size() > kMaxValueBytes) {
    aExchange->Reply(413, VersionHeader(VersionOf(aPlatform, aKey)), "");
    return;
  }
  if (!MatchesExpectedVersion(aPlatform, request, aKey)) {
    ReplyValue(aPlatform, aExchange, aKey, 409, 409);
    return;
  }
  const std::string leaseId = QueryText(request, "lease");
  const auto lease = aPlatform.leases_.find(leaseId);
  if (!leaseId.empty() && lease == aPlatform.leases_.end()) {
    aExchange->Reply(404, VersionHeader(VersionOf(aPlatform, aKey)), "");
    return;
  }
  DetachFromLease(aPlatform, aKey);
  if (!leaseId.empty()) {
    lease->second.keys_.insert(aKey);
  }
  const std::uint64_t version = ++aPlatform.lastVersion_;
  aPlatform.entries_[aKey] = { request.body_, version, leaseId };
  aExchange->Reply(200, VersionHeader(version), "");
  NotifyWatchers(aPlatform, aKey);
}

void
ExpireWatcher(Platform& aPlatform, const std::string& aKey, std::uint64_t aId)
{
  const auto found = aPlatform.watchers_.find(aKey);
  if (found == aPlatform.watchers_.end()) {
    return;
  }
  auto& watchers = found->second;
  const auto watcher =
    std::find_if(watchers.begin(), watchers.end(), [&](const Watcher& aEach) {
      return aEach.id_ == aId;
    });
  if (watcher == watchers.end()) {
    return;
  }
  const ExchangePtr exchange = watcher->exchange_;
  watchers.erase(watcher);
  if (watchers.empty()) {
    aPlatform.watchers_.erase(found);
  }
  exchange->Reply(304, VersionHeader(VersionOf(aPlatform, aKey)), "");
}

} // namespace

void
DeleteKey(Platform& aPlatform, const std::string& aKey)
{
  DetachFromLease(aPlatform, aKey);
  if (aPlatform.entries_.erase(aKey) > 0) {
    NotifyWatchers(aPlatform, aKey);
  }
}

void
HandleKv(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  const std::string key = QueryText(request, "key");
  if (request.method_ == "GET") {
    ReplyValue(aPlatform, aExchange, key, 200, 404);
  } else if (request.method_ == "PUT") {
    PutKey(aPlatform, aExchange, key);
  } else if (!MatchesExpectedVersion(aPlatform, request, key)) {
    ReplyValue(aPlatform, aExchange, key, 409, 409);
  } else {
    DeleteKey(aPlatform, key);
    aExchange->Reply(200, VersionHeader(0), "");
  }
}

void
HandleList(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  const std::string prefix = QueryText(request, "prefix");
  const std::string after = QueryText(request, "after");
  const std::uint64_t limit = QueryNumber(request, "limit", kDefaultListLimit);
  auto entry = after < prefix ? aPlatform.entries_.lower_bound(prefix)
                              : aPlatform.entries_.upper_bound(after);
  Json entries = Json::array();
  const auto inRange = [&] {
    return entry != aPlatform.entries_.end() &&
           absl::StartsWith(entry->first, prefix);
  };
  for (; inRange() && entries.size() < limit; ++entry) {
    entries.push_back({ { "key", entry->first },
                        { "version", entry->second.version_ },
                        { "size", entry->second.value_.size() } });
  }
  const bool more = inRange();
  ReplyJson(
    aExchange, 200, { { "entries", std::move(entries) }, { "more", more } });
}

void
HandleWatch(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  const std::string key = QueryText(request, "key");
  if (QueryNumber(request, "version", 0) != VersionOf(aPlatform, key)) {
    ReplyValue(aPlatform, aExchange, key, 200, 404);
    return;
  }
  const std::uint64_t wait =
    std::min(QueryNumber(request, "wait", 0), kMaxWatchMilliseconds);
  const std::uint64_t id = ++aPlatform.lastWatcherId_;
  aPlatform.watchers_[key].push_back({ id, aExchange });
  aPlatform.context_.loop_.After(
    absl::Milliseconds(wait),
    [&aPlatform, key, id] { ExpireWatcher(aPlatform, key, id); });
}

} // namespace lycheeplank::standin
