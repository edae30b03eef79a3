#include "adapters/orders.h"

#include "adapters/json.h"
#include "core/json.h"

namespace lycheeplank::adapters {

namespace {

using nlohmann::json;

// Limits how late an order can arrive; rollout::Settings::fencedMargin_ must be
// longer.
constexpr absl::Duration kOrderTimeout = absl::Seconds(2);
constexpr absl::Duration kQueryTimeout = absl::Seconds(2);
constexpr int kConflict = 409;

std::string
OrderBody(const LoadWeightsOrder& aOrder)
{
  return json{
    { "fence", aOrder.fence_ },
    { "order", "load_weights" },
    { "version", aOrder.version_ }
  }.dump();
}

} // namespace

net::Call
SendLoadWeightsOrder(const std::string& aUrl,
                     const LoadWeightsOrder& aOrder,
                     std::function<bool()> aMaySend)
{
  net::Call call;
  call.method_ = "POST";
  call.url_ = aUrl + "/v1/orders";
  call.headers_.push_back({ "Content-Type", "application/json" });
  call.timeout_ = kOrderTimeout;
  call.freshConnection_ = true;
  call.bodySource_ = [aOrder, maySend = std::move(aMaySend)] {
    return maySend() ? OrderBody(aOrder) : std::string();
  };
  return call;
}

bool
IsStaleFence(const net::Answer& aAnswer)
{
  if (aAnswer.end_.status_ != kConflict) {
    return false;
  }
  const auto body = lycheeplank::json::ParseJson(aAnswer.body_);
  return lycheeplank::json::TextOf(body, "error") == "stale_fence";
}

net::Call
QueryWeightStatus(const std::string& aUrl)
{
  net::Call call;
  call.url_ = aUrl + "/v1/orders";
  call.timeout_ = kQueryTimeout;
  return call;
}

absl::optional<WeightStatus>
ReadWeightStatus(const std::string& aBody)
{
  return detail::ReadBody<WeightStatus>(aBody, [](const json& aJson) {
    WeightStatus report;
    report.weightVersion_ = aJson.at("weight_version").get<std::string>();
    report.loading_ = !aJson.at("loading").get<std::string>().empty();
    return report;
  });
}

} // namespace lycheeplank::adapters
