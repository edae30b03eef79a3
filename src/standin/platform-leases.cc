#include "standin/platform.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kLeasePath = "/v1/leases";
constexpr absl::string_view kKeepaliveSuffix = "/keepalive";
constexpr std::uint64_t kDefaultTtlMilliseconds = 10000;

void
EndLease(Platform& aPlatform, const std::string& aLease)
{
  const auto found = aPlatform.leases_.find(aLease);
  if (found == aPlatform.leases_.end()) {
    return;
  }
  const auto keys = std::move(found->second.keys_);
  aPlatform.leases_.erase(found);
  for (const std::string& key : keys) {
    DeleteKey(aPlatform, key);
  }
}

// Ends a lease that has expired; otherwise schedules the next check for its
// expiry.
void
ExpireLease(Platform& aPlatform, const std::string& aLease)
{
  const auto found = aPlatform.leases_.find(aLease);
  if (found == aPlatform.leases_.end()) {
    return;
  }
  if (found->second.expiresAt_ <= absl::Now()) {
    EndLease(aPlatform, aLease);
    return;
  }
  aPlatform.context_.loop_.At(found->second.expiresAt_, [&aPlatform, aLease] {
    ExpireLease(aPlatform, aLease);
  });
}

void
CreateLease(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const absl::Duration ttl = absl::Milliseconds(
    QueryNumber(aExchange->request_, "ttl", kDefaultTtlMilliseconds));
  const std::string lease = core::RandomId();
  aPlatform.leases_[lease] = { ttl, absl::Now() + ttl, {} };
  ExpireLease(aPlatform, lease);
  ReplyJson(aExchange, 200, { { "lease", lease } });
}

void
RenewLease(Platform& aPlatform,
           const std::string& aLease,
           const ExchangePtr& aExchange)
{
  const auto found = aPlatform.leases_.find(aLease);
  if (found == aPlatform.leases_.end()) {
    ReplyError(aExchange, 404, "the lease has lapsed; create a new one");
    return;
  }
  found->second.expiresAt_ = absl::Now() + found->second.ttl_;
  ReplyJson(aExchange, 200, Json::object());
}

} // namespace

void
HandleLease(Platform& aPlatform, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  absl::string_view lease = absl::StripPrefix(request.path_, kLeasePath);
  if (lease.empty()) {
    CreateLease(aPlatform, aExchange);
    return;
  }
  lease = absl::StripPrefix(lease, "/");
  if (request.method_ == "DELETE") {
    EndLease(aPlatform, std::string(lease));
    ReplyJson(aExchange, 200, Json::object());
  } else if (absl::ConsumeSuffix(&lease, kKeepaliveSuffix)) {
    RenewLease(aPlatform, std::string(lease), aExchange);
  } else {
    ReplyError(aExchange, 404, "unknown path");
  }
}

} // namespace lycheeplank::standin
