#include "standin/engine.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kLoadWeights = "load_weights";
constexpr absl::Duration kWeightFetchTimeout = absl::Seconds(60);

void
LoadVersion(Engine& aEngine, const std::string& aVersion);

// Switches to the loaded version, or keeps the old one if the load failed, and
// starts the pending load.
void
FinishLoading(Engine& aEngine, bool aOk)
{
  aEngine.loads_.back().endedAt_ = absl::Now();
  aEngine.loads_.back().ok_ = aOk;
  if (aOk) {
    aEngine.weightVersion_ = aEngine.loadingVersion_;
    Clear(aEngine.cache_);
  }
  LOG(INFO) << "event=weights_loaded version=" << aEngine.loadingVersion_
            << " ok=" << aOk;
  aEngine.loadingVersion_.clear();
  const std::string next = std::move(aEngine.pendingVersion_);
  aEngine.pendingVersion_.clear();
  if (!next.empty()) {
    LoadVersion(aEngine, next);
  }
}

void
LoadVersion(Engine& aEngine, const std::string& aVersion)
{
  if (aVersion == aEngine.weightVersion_) {
    return;
  }
  aEngine.loadingVersion_ = aVersion;
  aEngine.loads_.push_back({ aVersion, absl::Now() });
  if (aEngine.options_.platformUrl_.empty()) {
    FinishLoading(aEngine, true);
    return;
  }
  net::Call call;
  call.method_ = "POST";
  call.url_ = absl::StrCat(aEngine.options_.platformUrl_,
                           "/v1/weights?version=",
                           net::UrlEscape(aVersion));
  call.timeout_ = kWeightFetchTimeout;
  call.headers_ = { { "X-Caller", aEngine.options_.common_.name_ } };
  aEngine.client_.Fetch(call, [&aEngine](const net::Answer& aAnswer) {
    aEngine.context_.loop_.Post(
      [&aEngine, ok = aAnswer.Ok()] { FinishLoading(aEngine, ok); });
  });
}

void
ReceiveOrder(Engine& aEngine, const ExchangePtr& aExchange)
{
  const Json body = Json::parse(aExchange->request_.body_);
  const auto fence = body.at("fence").get<std::uint64_t>();
  if (body.at("order") != std::string(kLoadWeights)) {
    ReplyError(aExchange, 400, "unknown order; use load_weights");
    return;
  }
  const auto version = body.at("version").get<std::string>();
  const bool stale =
    fence < aEngine.highestFence_ && !aEngine.options_.ignoreFencing_;
  aEngine.orders_.push_back({ fence, version, !stale });
  if (stale) {
    ReplyJson(
      aExchange,
      409,
      { { "error", "stale_fence" }, { "highest", aEngine.highestFence_ } });
    return;
  }
  aEngine.highestFence_ = std::max(aEngine.highestFence_, fence);
  if (aEngine.loadingVersion_.empty()) {
    LoadVersion(aEngine, version);
  } else {
    aEngine.pendingVersion_ = version;
  }
  ReplyJson(aExchange, 202, Json::object());
}

} // namespace

void
HandleOrder(Engine& aEngine, const ExchangePtr& aExchange)
{
  if (aExchange->request_.method_ == "POST") {
    ReceiveOrder(aEngine, aExchange);
    return;
  }
  ReplyJson(aExchange,
            200,
            { { "weight_version", aEngine.weightVersion_ },
              { "loading", aEngine.loadingVersion_ },
              { "highest_fence", aEngine.highestFence_ } });
}

} // namespace lycheeplank::standin
