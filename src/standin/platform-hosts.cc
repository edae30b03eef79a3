#include "standin/platform.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kHostPath = "/v1/hosts/";

// Returns the host list version that callers see after the lag; null if there
// is none. Removes the versions older than it.
const HostListVersion*
VisibleHostList(Platform& aPlatform)
{
  auto& lists = aPlatform.hostLists_;
  const absl::Time asOf = absl::Now() - aPlatform.options_.hostListLag_;
  while (lists.size() > 1 && lists[1].since_ <= asOf) {
    lists.pop_front();
  }
  return lists.empty() || lists.front().since_ > asOf ? nullptr
                                                      : &lists.front();
}

void
ReplyHosts(Platform& aPlatform, const ExchangePtr& aExchange)
{
  Json answer{ { "revision", 0 }, { "hosts", Json::array() } };
  if (const HostListVersion* list = VisibleHostList(aPlatform);
      list != nullptr) {
    answer["revision"] = list->revision_;
    answer["hosts"] = Json::parse(list->hosts_);
  }
  ReplyJson(aExchange, 200, answer);
}

void
RecordHostList(Platform& aPlatform)
{
  Json hosts = Json::array();
  for (const auto& [name, host] : aPlatform.hosts_) {
    hosts.push_back(Json::parse(host));
  }
  auto& lists = aPlatform.hostLists_;
  const std::uint64_t revision = lists.empty() ? 1 : lists.back().revision_ + 1;
  lists.push_back({ absl::Now(), revision, hosts.dump() });
}

} // namespace

void
HandleHosts(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  if (request.method_ == "GET") {
    ReplyHosts(aPlatform, aExchange);
    return;
  }
  const std::string name(absl::StripPrefix(request.path_, kHostPath));
  if (request.method_ == "DELETE") {
    aPlatform.hosts_.erase(name);
  } else {
    Json host = Json::parse(request.body_);
    host["name"] = name;
    aPlatform.hosts_[name] = host.dump();
  }
  RecordHostList(aPlatform);
  ReplyJson(aExchange, 200, Json::object());
}

} // namespace lycheeplank::standin
