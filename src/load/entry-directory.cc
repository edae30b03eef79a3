#include "load/entry-directory.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kQueryTimeout = absl::Seconds(2);
// Time to live of the fallback list, which is used when no host answers.
constexpr absl::Duration kFallbackTtl = absl::Milliseconds(500);

// The list that a host returned; without URLs if the answer is invalid.
struct FetchedList
{
  EntryDirectory::Urls urls_;
  absl::Duration ttl_;
};

FetchedList
ParseList(const net::Answer& aAnswer)
{
  FetchedList list;
  const Json body = Json::parse(aAnswer.body_, nullptr, false);
  if (!aAnswer.Ok() || !body.is_object() || !body.contains("entries")) {
    return list;
  }
  for (const Json& entry : body["entries"]) {
    list.urls_.push_back(entry.value("http", std::string()));
  }
  list.ttl_ = absl::Milliseconds(body.value("ttl_ms", 0));
  return list;
}

} // namespace

EntryDirectory::EntryDirectory(net::Client& aClient, const Cluster& aCluster)
  : client_(aClient)
  , cluster_(aCluster)
  , lists_(aCluster.workspaces_.size())
{
}

void
EntryDirectory::Get(std::uint32_t aWorkspace, const Callback& aCallback)
{
  Urls urls;
  bool fresh = false;
  {
    const absl::MutexLock lock(&mutex_);
    CachedList& cached = lists_[aWorkspace];
    fresh = cached.expiresAt_ > absl::Now();
    if (fresh) {
      urls = cached.urls_;
    } else {
      cached.waiting_.push_back(aCallback);
      if (cached.waiting_.size() > 1) {
        return;
      }
    }
  }
  if (fresh) {
    aCallback(urls);
    return;
  }
  for (std::size_t at = 0; at < cluster_.entries_.size(); ++at) {
    const std::size_t place = (at + aWorkspace) % cluster_.entries_.size();
    urls.push_back(cluster_.entries_[place].http_);
  }
  QueryHost(aWorkspace, urls, 0);
}

void
EntryDirectory::Demote(std::uint32_t aWorkspace, const std::string& aUrl)
{
  const absl::MutexLock lock(&mutex_);
  Urls& urls = lists_[aWorkspace].urls_;
  if (const auto found = std::find(urls.begin(), urls.end(), aUrl);
      found != urls.end()) {
    std::rotate(found, found + 1, urls.end());
  }
}

void
EntryDirectory::QueryHost(std::uint32_t aWorkspace,
                          const Urls& aHosts,
                          std::size_t aNext)
{
  if (aNext == aHosts.size()) {
    Update(aWorkspace, aHosts, kFallbackTtl);
    return;
  }
  net::Call call;
  call.url_ = absl::StrCat(aHosts[aNext], "/v1/entries");
  call.headers_ = { { "Authorization",
                      absl::StrCat("Bearer ",
                                   cluster_.workspaces_[aWorkspace].key_) } };
  call.timeout_ = kQueryTimeout;
  client_.Fetch(call, [this, aWorkspace, aHosts, aNext](net::Answer&& aAnswer) {
    const FetchedList list = ParseList(aAnswer);
    if (list.urls_.empty()) {
      QueryHost(aWorkspace, aHosts, aNext + 1);
    } else {
      Update(aWorkspace, list.urls_, list.ttl_);
    }
  });
}

void
EntryDirectory::Update(std::uint32_t aWorkspace,
                       const Urls& aUrls,
                       absl::Duration aTtl)
{
  std::vector<Callback> waiting;
  {
    const absl::MutexLock lock(&mutex_);
    CachedList& cached = lists_[aWorkspace];
    cached.urls_ = aUrls;
    cached.expiresAt_ = absl::Now() + aTtl;
    waiting.swap(cached.waiting_);
  }
  for (const Callback& callback : waiting) {
    callback(aUrls);
  }
}

} // namespace lycheeplank::load
