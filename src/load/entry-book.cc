#include "load/entry-book.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kAskLimit = absl::Seconds(2);
// How long hosts are used that could not be asked.
constexpr absl::Duration kFallbackTtl = absl::Milliseconds(500);

// What a host answered; no URL if it could not be read.
struct List
{
  EntryBook::Urls urls_;
  absl::Duration ttl_;
};

List
ParseList(const net::Answer& aAnswer)
{
  List list;
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

EntryBook::EntryBook(net::Client& aClient, const Cluster& aCluster)
  : client_(aClient)
  , cluster_(aCluster)
  , pages_(aCluster.workspaces_.size())
{
}

void
EntryBook::Get(std::uint32_t aWorkspace, const Callback& aCallback)
{
  Urls urls;
  bool fresh = false;
  {
    const absl::MutexLock lock(&mutex_);
    Page& page = pages_[aWorkspace];
    fresh = page.expiresAt_ > absl::Now();
    if (fresh) {
      urls = page.urls_;
    } else {
      page.waiting_.push_back(aCallback);
      if (page.waiting_.size() > 1) {
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
  Ask(aWorkspace, urls, 0);
}

void
EntryBook::Demote(std::uint32_t aWorkspace, const std::string& aUrl)
{
  const absl::MutexLock lock(&mutex_);
  Urls& urls = pages_[aWorkspace].urls_;
  if (const auto found = std::find(urls.begin(), urls.end(), aUrl);
      found != urls.end()) {
    std::rotate(found, found + 1, urls.end());
  }
}

void
EntryBook::Ask(std::uint32_t aWorkspace, const Urls& aHosts, std::size_t aNext)
{
  if (aNext == aHosts.size()) {
    Store(aWorkspace, aHosts, kFallbackTtl);
    return;
  }
  net::Call call;
  call.url_ = absl::StrCat(aHosts[aNext], "/v1/entries");
  call.headers_ = { { "Authorization",
                      absl::StrCat("Bearer ",
                                   cluster_.workspaces_[aWorkspace].key_) } };
  call.timeout_ = kAskLimit;
  client_.Fetch(call, [this, aWorkspace, aHosts, aNext](net::Answer&& aAnswer) {
    const List list = ParseList(aAnswer);
    if (list.urls_.empty()) {
      Ask(aWorkspace, aHosts, aNext + 1);
    } else {
      Store(aWorkspace, list.urls_, list.ttl_);
    }
  });
}

void
EntryBook::Store(std::uint32_t aWorkspace,
                 const Urls& aUrls,
                 absl::Duration aTtl)
{
  std::vector<Callback> waiting;
  {
    const absl::MutexLock lock(&mutex_);
    Page& page = pages_[aWorkspace];
    page.urls_ = aUrls;
    page.expiresAt_ = absl::Now() + aTtl;
    waiting.swap(page.waiting_);
  }
  for (const Callback& callback : waiting) {
    callback(aUrls);
  }
}

} // namespace lycheeplank::load
