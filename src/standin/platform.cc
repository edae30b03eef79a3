#include "standin/platform.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kLeasePath = "/v1/leases";
constexpr absl::string_view kHostPath = "/v1/hosts/";

// The kinds of calls that are counted and rate-limited.
enum class CallKind
{
  Get,
  Put,
  Delete,
  List,
  Watch,
  Lease,
  Hosts,
  Weights,
  Unknown,
};

inline constexpr std::array<core::Named<CallKind>, 9> kCallKinds{ {
  { CallKind::Get, "get" },
  { CallKind::Put, "put" },
  { CallKind::Delete, "delete" },
  { CallKind::List, "list" },
  { CallKind::Watch, "watch" },
  { CallKind::Lease, "lease" },
  { CallKind::Hosts, "hosts" },
  { CallKind::Weights, "weights" },
  { CallKind::Unknown, "unknown" },
} };

CallKind
KeyCallKind(absl::string_view aMethod)
{
  if (aMethod == "PUT") {
    return CallKind::Put;
  }
  return aMethod == "DELETE" ? CallKind::Delete : CallKind::Get;
}

CallKind
KindOf(const net::Request& aRequest)
{
  const absl::string_view path = aRequest.path_;
  if (path == "/v1/kv") {
    return KeyCallKind(aRequest.method_);
  }
  if (path == "/v1/list") {
    return CallKind::List;
  }
  if (path == "/v1/watch") {
    return CallKind::Watch;
  }
  if (absl::StartsWith(path, kLeasePath)) {
    return CallKind::Lease;
  }
  if (path == "/v1/hosts") {
    return CallKind::Hosts;
  }
  return path == "/v1/weights" ? CallKind::Weights : CallKind::Unknown;
}

// Returns the rate limit that applies to a kind of call; null if there is none.
RateLimit*
RateLimitOf(Platform& aPlatform, CallKind aKind)
{
  switch (aKind) {
    case CallKind::Put:
    case CallKind::Delete:
    case CallKind::Lease:
      return &aPlatform.writes_;
    case CallKind::Get:
    case CallKind::List:
    case CallKind::Watch:
    case CallKind::Hosts:
      return &aPlatform.reads_;
    case CallKind::Weights:
    case CallKind::Unknown:
      break;
  }
  return nullptr;
}

// Returns the key or the listed prefix up to and including the first slash.
std::string
PrefixOf(const net::Request& aRequest)
{
  std::string key = QueryText(aRequest, "key");
  if (key.empty()) {
    key = QueryText(aRequest, "prefix");
  }
  return key.substr(
    0, key.find('/') == std::string::npos ? key.size() : key.find('/') + 1);
}

void
CountCall(CallCounters& aCalls, CallKind aKind, const net::Request& aRequest)
{
  ++aCalls.total_;
  ++aCalls.byKind_[std::string(core::NameOf(kCallKinds, aKind))];
  if (const std::string prefix = PrefixOf(aRequest); !prefix.empty()) {
    ++aCalls.byPrefix_[prefix];
  }
  ++aCalls
      .byCaller_[std::string(net::FindField(aRequest.headers_, "X-Caller"))];
}

void
ReplyCalls(const CallCounters& aCalls, const ExchangePtr& aExchange)
{
  const auto object = [](const auto& aCounters) {
    Json counters = Json::object();
    for (const auto& [name, count] : aCounters) {
      counters[name] = count;
    }
    return counters;
  };
  ReplyJson(aExchange,
            200,
            { { "total", aCalls.total_ },
              { "by_kind", object(aCalls.byKind_) },
              { "by_prefix", object(aCalls.byPrefix_) },
              { "by_caller", object(aCalls.byCaller_) } });
}

// Replies once the weights are fetched. Concurrent fetches beyond the limit
// slow each other down.
void
FetchWeights(Platform& aPlatform, const ExchangePtr& aExchange)
{
  ++aPlatform.weightFetches_;
  const double sharing =
    std::max(1.0,
             static_cast<double>(aPlatform.weightFetches_) /
               std::max(1U, aPlatform.options_.parallelWeightFetches_));
  aPlatform.context_.loop_.After(
    aPlatform.options_.weightFetchTime_ * sharing *
      aPlatform.context_.faults_.slowdown_,
    [&aPlatform, aExchange] {
      --aPlatform.weightFetches_;
      ReplyJson(aExchange,
                200,
                { { "version", QueryText(aExchange->request_, "version") } });
    });
}

void
Serve(Platform& aPlatform, CallKind aKind, const ExchangePtr& aExchange)
{
  switch (aKind) {
    case CallKind::Get:
    case CallKind::Put:
    case CallKind::Delete:
      HandleKv(aPlatform, aExchange);
      break;
    case CallKind::List:
      HandleList(aPlatform, aExchange);
      break;
    case CallKind::Watch:
      HandleWatch(aPlatform, aExchange);
      break;
    case CallKind::Lease:
      HandleLease(aPlatform, aExchange);
      break;
    case CallKind::Hosts:
      HandleHosts(aPlatform, aExchange);
      break;
    case CallKind::Weights:
      FetchWeights(aPlatform, aExchange);
      break;
    case CallKind::Unknown:
      ReplyError(aExchange, 404, "unknown path");
      break;
  }
}

void
Handle(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  if (request.path_ == "/calls") {
    ReplyCalls(aPlatform.calls_, aExchange);
    return;
  }
  if (request.path_ == "/executions") {
    ReplyJson(aExchange, 200, Json::object());
    return;
  }
  if (absl::StartsWith(request.path_, kHostPath)) {
    HandleHosts(aPlatform, aExchange);
    return;
  }
  const CallKind kind = KindOf(request);
  CountCall(aPlatform.calls_, kind, request);
  if (RateLimit* limit = RateLimitOf(aPlatform, kind);
      limit != nullptr && !Allow(*limit, absl::Now())) {
    ReplyJson(aExchange,
              429,
              { { "error", "rate limit" } },
              { { "Retry-After", "1" } });
    return;
  }
  Serve(aPlatform, kind, aExchange);
}

} // namespace

bool
Allow(RateLimit& aLimit, absl::Time aNow)
{
  const double seconds = std::max(
    0.0, std::min(1.0, absl::ToDoubleSeconds(aNow - aLimit.updatedAt_)));
  aLimit.allowance_ = std::min(aLimit.perSecond_,
                               aLimit.allowance_ + seconds * aLimit.perSecond_);
  aLimit.updatedAt_ = aNow;
  if (aLimit.allowance_ < 1.0) {
    return false;
  }
  aLimit.allowance_ -= 1.0;
  return true;
}

std::unique_ptr<StandinServer>
StartPlatform(const PlatformOptions& aOptions)
{
  auto context = std::make_shared<Context>();
  auto platform = std::make_shared<Platform>(Platform{ aOptions, *context });
  platform->writes_.perSecond_ = aOptions.writesPerSecond_;
  platform->reads_.perSecond_ = aOptions.readsPerSecond_;
  return std::make_unique<StandinServer>(
    aOptions.common_, context, [platform](const ExchangePtr& aExchange) {
      Handle(*platform, aExchange);
    });
}

} // namespace lycheeplank::standin
