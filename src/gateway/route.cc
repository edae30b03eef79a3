#include "gateway/route.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "core/json.h"
#include "gateway/exchange.h"
#include "gateway/permits.h"

namespace lycheeplank::gateway {

namespace {

using json::Json;
using mechanisms::Mechanism;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;

// Reads a number of the query, 0 if it is absent; returns false if it is
// invalid.
bool
ReadNumber(absl::string_view aTarget,
           absl::string_view aName,
           std::uint32_t& aNumber)
{
  const std::string text = http::QueryParameter(aTarget, aName);
  return text.empty() || absl::SimpleAtoi(text, &aNumber);
}

RouteDecision
Rejection(int aStatus,
          absl::string_view aReason,
          absl::Duration aRetryAfter = absl::ZeroDuration())
{
  return {
    RouteOutcome::Reject, aStatus, std::string(aReason), aRetryAfter, {}
  };
}

Json
ToJson(const RouteDecision& aDecision)
{
  Json json{ { "outcome",
               std::string(core::NameOf(kRouteOutcomes, aDecision.outcome_)) },
             { "target", aDecision.target_ },
             { "reason", aDecision.reason_ } };
  if (aDecision.outcome_ == RouteOutcome::Reject) {
    json["status"] = aDecision.status_;
    json["retry_after_ms"] = absl::ToInt64Milliseconds(aDecision.retryAfter_);
  }
  return json;
}

Json
ToJson(const fleet::Candidate& aCandidate, absl::string_view aDataCentre)
{
  const auto& estimate = aCandidate.estimate_;
  return {
    { "target", aCandidate.id_ },
    { "data_centre", aCandidate.dataCentre_ },
    { "near", aCandidate.dataCentre_ == aDataCentre },
    { "excluded",
      std::string(core::NameOf(fleet::kExclusions, aCandidate.exclusion_)) },
    { "wait_ms", static_cast<std::int64_t>(estimate.waitSeconds_ * 1e3) },
    { "backlog_tokens", estimate.backlogTokens_ },
    { "held_tokens", estimate.heldTokens_ },
    { "memory_full", estimate.memoryFull_ },
    { "running", estimate.running_ },
    { "slowness", aCandidate.slowness_ },
    { "cost", aCandidate.cost_ }
  };
}

const catalog::Workspace*
FindByName(const catalog::Catalog& aCatalog, absl::string_view aName)
{
  const auto found =
    std::find_if(aCatalog.workspaces_.begin(),
                 aCatalog.workspaces_.end(),
                 [aName](const auto& aOne) { return aOne.name_ == aName; });
  return found == aCatalog.workspaces_.end() ? nullptr : &*found;
}

// Returns the costs of a prompt whose parts are read from the stores that all
// requests may read from.
std::vector<fleet::PromptCost>
PromptCosts(const Host& aHost,
            const CallerRequest& aRequest,
            const std::string& aService,
            const catalog::Route& aRoute,
            const catalog::Workspace* aWorkspace,
            absl::Time aNow)
{
  static const weights::PublishedVersions kNone;
  const auto found = aHost.weights_.find(aRequest.model_);
  const auto& published = found == aHost.weights_.end() ? kNone : found->second;
  std::vector<fleet::PromptCost> costs;
  for (const auto version :
       fleet::WeightVersions(aHost.members_, aService, aRequest.model_)) {
    cache_index::Plan plan;
    if (aRequest.parts_.size() > 1 && Uses(aHost, Mechanism::CacheStores)) {
      const auto readEnd = std::min(
        aNow + ReadTimeOf(aRoute),
        part_use::LatestReadEnd(
          published, version, absl::InfinitePast(), aHost.itemsCompleteAt_));
      plan = cache_index::PlanParts(
        aHost.cacheIndex_,
        cache_index::ScopeOf(aWorkspace, aRequest.model_, version),
        { aRequest.parts_.begin(), aRequest.parts_.end() - 1 },
        aHost.settings_.dataCentre_,
        aNow < readEnd ? 0.0 : cache_index::kReadNone,
        aNow);
    }
    const std::uint64_t prompt = aRequest.promptTokens_;
    costs.push_back(
      { version,
        std::max(absl::ZeroDuration(),
                 aNow - weights::OutdatedSince(published, version)),
        prompt - std::min<std::uint64_t>(prompt, plan.readTokens_),
        plan.readTokens_,
        plan.computedTokens_ });
  }
  return costs;
}

} // namespace

RouteDecision
DecideRoute(const fleet::Choice& aChoice,
            absl::Duration aTimeLeft,
            bool aWaitsForMemory,
            bool aNeedsPermit,
            absl::Time aNow)
{
  if (aChoice.id_.empty() && !aChoice.nextPermitTarget_.empty()) {
    return { RouteOutcome::AskPermit,
             0,
             "no_other_target",
             absl::ZeroDuration(),
             aChoice.nextPermitTarget_ };
  }
  if (aChoice.allEvacuated_) {
    return Rejection(kUnavailable, "targets_evacuated", kRetryAfterEvacuated);
  }
  if (aChoice.id_.empty()) {
    const bool areClosed = aChoice.backoffEndsAt_ != absl::InfiniteFuture();
    return Rejection(
      kUnavailable,
      areClosed ? "targets_closed" : "no_target",
      areClosed ? std::max(kRetryAfterNoTarget, aChoice.backoffEndsAt_ - aNow)
                : kRetryAfterNoTarget);
  }
  if (absl::Seconds(aChoice.waitSeconds_) > aTimeLeft) {
    return Rejection(kUnavailable, "deadline_unreachable", kRetryAfterFull);
  }
  RouteDecision decision;
  decision.target_ = aChoice.id_;
  decision.reason_ = aChoice.lastResort_ ? "last_resort" : "lowest_cost";
  decision.outcome_ = aChoice.memoryFull_ && aWaitsForMemory
                        ? RouteOutcome::WaitForMemory
                      : aNeedsPermit ? RouteOutcome::AskPermit
                                     : RouteOutcome::Send;
  return decision;
}

absl::optional<RouteQuestion>
ReadRouteQuestion(absl::string_view aTarget)
{
  RouteQuestion question;
  auto& request = question.request_;
  request.host_ = http::QueryParameter(aTarget, "host");
  request.model_ = http::QueryParameter(aTarget, "model");
  question.path_ = http::QueryParameter(aTarget, "path");
  question.workspace_ = http::QueryParameter(aTarget, "workspace");
  if (request.host_.empty() || question.path_.empty() ||
      question.path_.front() != '/' ||
      !ReadNumber(aTarget, "prompt", request.promptTokens_) ||
      !ReadNumber(aTarget, "output", request.outputTokens_)) {
    return absl::nullopt;
  }
  const std::string parts = http::QueryParameter(aTarget, "parts");
  for (const absl::string_view part :
       absl::StrSplit(parts, ',', absl::SkipEmpty())) {
    const auto colon = part.rfind(':');
    cache_index::Part read;
    if (colon == absl::string_view::npos ||
        !absl::SimpleAtoi(part.substr(colon + 1), &read.tokens_)) {
      return absl::nullopt;
    }
    read.id_ = std::string(part.substr(0, colon));
    request.parts_.push_back(std::move(read));
  }
  return question;
}

std::string
ExplainRoute(const Host& aHost, const RouteQuestion& aQuestion, absl::Time aNow)
{
  Json json{ { "host", aHost.settings_.name_ },
             { "data_centre", aHost.settings_.dataCentre_ } };
  const auto reject = [&json](const RouteDecision& aDecision) {
    json["decision"] = ToJson(aDecision);
    json["candidates"] = Json::array();
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
  };
  if (!CanServe(aHost)) {
    return reject(Rejection(kUnavailable, "not_ready", kRetryAfterNoTarget));
  }
  const auto& catalog = *aHost.catalog_;
  const auto& request = aQuestion.request_;
  const auto* route =
    catalog::FindRoute(catalog, request.host_, aQuestion.path_);
  json["catalog"] = catalog.version_;
  if (route == nullptr) {
    return reject(Rejection(kNotFound, "no_route"));
  }
  json["route"] = route->name_;
  const auto* workspace = FindByName(catalog, aQuestion.workspace_);
  if (!catalog.workspaces_.empty() && workspace == nullptr &&
      !route->isPublic_) {
    return reject(Rejection(kUnauthorized, "unknown_workspace"));
  }
  if (route->shares_.empty()) {
    return reject(Rejection(kBadRequest, "no_service"));
  }
  const auto service = catalog::PickService(*route, request.id_);
  const auto priority = PriorityOf(aHost, catalog, *route, workspace, service);
  auto question = DescribePlacement(
    aHost, { catalog, service, request, 0, route->goal_, priority }, aNow);
  if (!request.model_.empty()) {
    question.costs_ =
      PromptCosts(aHost, request, service, *route, workspace, aNow);
  }
  const auto explanation =
    fleet::ExplainChoice(aHost.members_, question, fleet::EngineSpeed(), aNow);
  const auto& choice = explanation.choice_;
  json["service"] = service;
  json["priority"] = priority;
  json["sampled"] = question.useSampling_;
  json["decision"] = ToJson(DecideRoute(choice,
                                        route->timeout_,
                                        Uses(aHost, Mechanism::WaitForMemory),
                                        NeedsPermit(aHost, choice.id_),
                                        aNow));
  json["candidates"] = Json::array();
  for (const auto& candidate : explanation.candidates_) {
    json["candidates"].push_back(
      ToJson(candidate, aHost.settings_.dataCentre_));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lycheeplank::gateway
