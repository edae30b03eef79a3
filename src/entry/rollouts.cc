#include "entry/rollouts.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "entry/problem.h"
#include "rollout/operators.h"

namespace lycheeplank::entry {

namespace {

using core::ErrorKind;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<net::Exchange>;

constexpr absl::string_view kRolloutsPath = "/v1/admin/rollouts";

std::string
Dump(const json& aBody)
{
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string
ListBody(const rollout::RolloutList& aListing)
{
  json body{ { "rollouts", json::array() } };
  for (const auto& record : aListing.records_) {
    body["rollouts"].push_back(json::parse(rollout::FormatRecord(record)));
  }
  return Dump(body);
}

void
ReplyErrorOrJson(net::Exchange& aExchange,
                 const absl::optional<core::Error>& aError,
                 const std::string& aBody)
{
  if (aError) {
    ReplyProblem(aExchange, *aError, "");
  } else {
    ReplyJson(aExchange, 200, aBody);
  }
}

// Returns a string field of the body, or an empty string.
std::string
TextField(const json& aBody, const char* aField)
{
  const auto found = aBody.find(aField);
  return found != aBody.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

bool
HasVersion(const config::Model& aModel, const std::string& aVersion)
{
  return std::any_of(
    aModel.versions_.begin(),
    aModel.versions_.end(),
    [&](const config::WeightVersion& aOne) { return aOne.name_ == aVersion; });
}

// Checks a request to start a rollout, and starts it.
void
ServeStart(const ExchangePtr& aExchange,
           const rollout::CommandExecutor& aExecute,
           const config::ConfigPtr& aConfig)
{
  const auto body = json::parse(aExchange->request_.body_, nullptr, false);
  const std::string model = body.is_object() ? TextField(body, "model") : "";
  const std::string version =
    body.is_object() ? TextField(body, "version") : "";
  if (model.empty() || version.empty()) {
    ReplyProblem(
      *aExchange,
      { ErrorKind::MalformedRequest, "the body needs 'model' and 'version'" },
      "");
    return;
  }
  if (!aConfig || aConfig->models_.count(model) == 0) {
    ReplyProblem(*aExchange, { ErrorKind::UnknownModel, model }, "");
    return;
  }
  if (!HasVersion(aConfig->models_.at(model), version)) {
    ReplyProblem(
      *aExchange,
      { ErrorKind::NotFound,
        absl::StrCat(
          "model '", model, "' has no weight version '", version, "'"),
        "Add the version to the section 'models' first." },
      "");
    return;
  }
  rollout::StartRollout(
    aExecute,
    model,
    version,
    [aExchange, model](const absl::optional<core::Error>& aError) {
      ReplyErrorOrJson(*aExchange, aError, Dump({ { "rollout", model } }));
    });
}

} // namespace

void
ServeRollouts(const ExchangePtr& aExchange,
              adapters::PlatformClient& aPlatform,
              const config::ConfigPtr& aConfig)
{
  const auto execute =
    [&aPlatform](const platform::Command& aCommand,
                 std::function<void(platform::Reply)> aOnReply) {
      aPlatform.Execute(aCommand, std::move(aOnReply));
    };
  const auto& request = aExchange->request_;
  absl::string_view rest = request.path_;
  absl::ConsumePrefix(&rest, kRolloutsPath);
  const bool hasName = absl::ConsumePrefix(&rest, "/") && !rest.empty();
  if (!hasName && request.method_ == "GET") {
    rollout::ListRollouts(
      execute, [aExchange](const rollout::RolloutList& aList) {
        ReplyErrorOrJson(*aExchange, aList.error_, ListBody(aList));
      });
  } else if (!hasName && request.method_ == "POST") {
    ServeStart(aExchange, execute, aConfig);
  } else if (hasName && request.method_ == "DELETE") {
    rollout::StopRollout(
      execute,
      std::string(rest),
      [aExchange](const absl::optional<core::Error>& aError) {
        ReplyErrorOrJson(*aExchange, aError, "{}");
      });
  } else {
    ReplyProblem(*aExchange, { ErrorKind::UnknownPath, request.path_ }, "");
  }
}

} // namespace lycheeplank::entry
