#include "gateway/route.h"

#include <map>
#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "gateway-world.h"
#include "gateway/exchange.h"

namespace catalog = lycheeplank::catalog;
namespace fleet = lycheeplank::fleet;
namespace gateway = lycheeplank::gateway;
using Json = nlohmann::json;

namespace {

constexpr absl::string_view kQuery =
  "/peer/route?host=h&path=/chat/x&prompt=3000&output=100&workspace=w";

// A host with one route to service "s" and three targets.
struct ExplainingHost
{
  ExplainingHost()
    : adapter_(lycheeplank::platform::MakeAdapter())
    , host_(loop_, {}, adapter_, open("/dev/null", O_WRONLY))
  {
    host_.settings_.dataCentre_ = "dc0";
    catalog::Catalog catalog;
    catalog::Route route;
    route.name_ = "r";
    route.host_ = "h";
    route.prefix_ = "/chat/";
    route.priority_ = 2;
    route.goal_ = absl::Milliseconds(500);
    route.timeout_ = absl::Seconds(3);
    route.shares_ = { { "s", 1.0 } };
    catalog.routes_["h"].push_back(route);
    catalog::Workspace workspace;
    workspace.name_ = "w";
    workspace.keys_ = { "secret-key" };
    catalog.workspaces_.push_back(workspace);
    catalog::BuildIndexes(catalog);
    host_.catalog_ = std::make_shared<const catalog::Catalog>(catalog);
    for (int i = 0; i < 3; ++i) {
      fleet::Target target;
      target.id_ = absl::StrCat("t", i);
      target.service_ = "s";
      target.dataCentre_ = absl::StrCat("dc", i % 2);
      target.slots_ = 8;
      fleet::UpdateTarget(host_.members_, target, { 0, 1 }, now_);
    }
  }

  Json Explain(absl::string_view aQuery = kQuery)
  {
    const auto question = gateway::ReadRouteQuestion(aQuery);
    REQUIRE(question);
    return Json::parse(gateway::ExplainRoute(host_, *question, now_));
  }

  const absl::Time now_ = absl::FromUnixSeconds(5000);
  gateway::Loop loop_{ 1 };
  gateway::Adapter adapter_;
  gateway::Host host_;
};

} // namespace

TEST_CASE("an explanation names the target and why others are left out")
{
  ExplainingHost world;
  auto& members = world.host_.members_;
  members.at("t0").closedUntil_ = world.now_ + absl::Seconds(1);
  members.at("t1").inFlight_ = 3;
  const auto json = world.Explain();
  CHECK(json.at("route") == "r");
  CHECK(json.at("service") == "s");
  CHECK(json.at("priority") == 2);
  CHECK(json.at("decision").at("outcome") == "send");
  CHECK(json.at("decision").at("target") == "t2");
  std::map<std::string, std::string> excluded;
  for (const auto& candidate : json.at("candidates")) {
    excluded[candidate.at("target")] = candidate.at("excluded");
  }
  CHECK(excluded == std::map<std::string, std::string>{
                      { "t0", "closed" }, { "t1", "" }, { "t2", "" } });
  CHECK(json.at("candidates")[0].at("target") == "t2");
  CHECK(json.at("candidates")[0].at("near") == true);
}

// Guards against explanations that differ from what a request meets.
TEST_CASE("an explanation names rejections with their Retry-After")
{
  ExplainingHost world;
  for (auto& [id, member] : world.host_.members_) {
    member.closedUntil_ = world.now_ + absl::Seconds(4);
  }
  const auto closed = world.Explain().at("decision");
  CHECK(closed.at("outcome") == "reject");
  CHECK(closed.at("reason") == "targets_closed");
  CHECK(closed.at("status") == 503);
  CHECK(closed.at("retry_after_ms") == 4000);
  const auto decision = [&](const std::string& aQuery) {
    return world.Explain(aQuery).at("decision");
  };
  CHECK(decision("/peer/route?host=h&path=/none").at("status") == 404);
  CHECK(decision("/peer/route?host=h&path=/chat/x").at("status") == 401);
  world.host_.catalog_ = nullptr;
  CHECK(world.Explain().at("decision").at("reason") == "not_ready");
}

// Guards against an explanation that names a target of an evacuated data
// centre, to which no request goes.
TEST_CASE("an explanation leaves out evacuated data centres")
{
  ExplainingHost world;
  auto& evacuations = world.host_.evacuations_;
  evacuations["dc0"] = absl::InfiniteFuture();
  const auto json = world.Explain();
  CHECK(json.at("decision").at("target") == "t1");
  CHECK(json.at("candidates")[1].at("excluded") == "evacuated");
  CHECK(json.at("candidates")[2].at("excluded") == "evacuated");
  evacuations["dc1"] = absl::InfiniteFuture();
  const auto decision = world.Explain().at("decision");
  CHECK(decision.at("reason") == "targets_evacuated");
  CHECK(decision.at("retry_after_ms") == 2000);
}

// Guards against an explanation that ignores priority scheduling: the target's
// memory is held by requests as urgent.
TEST_CASE("an explanation waits for memory by priority")
{
  ExplainingHost world;
  auto catalog = *world.host_.catalog_;
  catalog.services_["s"].memoryTokens_ = 94000;
  catalog.routes_["h"][0].priority_ = 0;
  catalog::BuildIndexes(catalog);
  world.host_.catalog_ = std::make_shared<const catalog::Catalog>(catalog);
  for (auto& [id, member] : world.host_.members_) {
    member.heldTokens_ = 93000;
  }
  // The weights of a model are needed for the estimate of memory.
  const std::string query = absl::StrCat(kQuery, "&model=m");
  for (auto& [id, member] : world.host_.members_) {
    member.target_.weights_["m"] = 1;
  }
  const auto outcome = [&] {
    return world.Explain(query).at("decision").at("outcome");
  };
  CHECK(outcome() == "send");
  world.host_.settings_.priorityScheduling_ = true;
  CHECK(outcome() == "wait_for_memory");
}

TEST_CASE("a decision follows from a choice as for a request")
{
  const auto now = absl::FromUnixSeconds(5000);
  const auto outcome = [&](const fleet::Choice& aChoice, bool aNeedsPermit) {
    return gateway::DecideRoute(
      aChoice, absl::Seconds(1), true, aNeedsPermit, now);
  };
  fleet::Choice choice;
  CHECK(outcome(choice, false).reason_ == "no_target");
  CHECK(outcome(choice, false).retryAfter_ == gateway::kRetryAfterNoTarget);
  choice.nextPermitTarget_ = "t1";
  CHECK(outcome(choice, false).outcome_ == gateway::RouteOutcome::AskPermit);
  CHECK(outcome(choice, false).target_ == "t1");
  choice.id_ = "t2";
  CHECK(outcome(choice, false).outcome_ == gateway::RouteOutcome::Send);
  CHECK(outcome(choice, true).outcome_ == gateway::RouteOutcome::AskPermit);
  choice.memoryFull_ = true;
  CHECK(outcome(choice, true).outcome_ == gateway::RouteOutcome::WaitForMemory);
  choice.waitSeconds_ = 2.0;
  CHECK(outcome(choice, false).reason_ == "deadline_unreachable");
}

// Guards against a question that changes what later requests get, and against
// one that shows callers' keys.
TEST_CASE("an explanation changes nothing and shows no key")
{
  ExplainingHost world;
  auto& host = world.host_;
  host.members_.at("t0").requestsPerSecond_ = 5.0;
  const auto random = [&host] {
    std::ostringstream text;
    text << host.random_;
    return text.str();
  };
  const auto before = random();
  const auto first = world.Explain(std::string(kQuery) + "&model=m");
  CHECK(world.Explain(std::string(kQuery) + "&model=m") == first);
  CHECK(random() == before);
  CHECK(host.weights_.empty());
  CHECK(host.permitAsks_.empty());
  CHECK(host.members_.at("t0").inFlight_ == 0);
  CHECK(first.dump().find("secret-key") == std::string::npos);
}

TEST_CASE("a question without a host name, a path or valid numbers is refused")
{
  for (const auto* query : { "/peer/route",
                             "/peer/route?host=h",
                             "/peer/route?host=h&path=x",
                             "/peer/route?host=h&path=/x&prompt=many",
                             "/peer/route?host=h&path=/x&parts=p1",
                             "/peer/route?host=h&path=/x&parts=p1:y" }) {
    INFO(query);
    CHECK_FALSE(gateway::ReadRouteQuestion(query));
  }
  const auto question = gateway::ReadRouteQuestion(
    "/peer/route?host=h&path=/x&parts=p%3A1:512,p2:8");
  REQUIRE(question);
  REQUIRE(question->request_.parts_.size() == 2);
  CHECK(question->request_.parts_[0].id_ == "p:1");
  CHECK(question->request_.parts_[0].tokens_ == 512);
}
