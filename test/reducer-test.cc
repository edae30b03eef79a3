#include "lycheeplank/reducer.h"

#include <cstdlib>
#include <deque>
#include <map>
#include <random>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace admission = lycheeplank::admission;
namespace claims = lycheeplank::claims;
namespace config = lycheeplank::config;
namespace core = lycheeplank::core;
namespace directory = lycheeplank::directory;
namespace membership = lycheeplank::membership;
namespace platform = lycheeplank::platform;
namespace reducer = lycheeplank::reducer;

namespace {

constexpr absl::string_view kDocument = R"(workspaces:
  owner: desk
  entries:
    nursing: {max_running: 100, max_waiting: 100, requests_per_second: 10000}
models:
  owner: models
  entries:
    wording: {versions: {v1: 1.0}, block_tokens: 100, policy: always-import}
services:
  owner: services
  entries:
    registry:
      calls:
        issue: {repeatable: false, timeout: 5s}
        check: {repeatable: true, timeout: 5s}
rules:
  owner: desk
  entries:
    all: {workspaces: ["*"], models: ["*"], services: ["*"]}
targets:
  owner: machines
  entries:
    e1: {kind: engine, url: "http://10.0.0.1:1", data_centre: d1, serves: wording}
    e2: {kind: engine, url: "http://10.0.0.2:1", data_centre: d1, serves: wording}
    s1: {kind: service, url: "http://10.0.0.3:1", data_centre: d1, serves: registry}
    s2: {kind: service, url: "http://10.0.0.4:1", data_centre: d1, serves: registry}
stores:
  owner: machines
  entries:
    m1: {url: "http://10.0.0.5:1", data_centre: d1, memory_bytes: 1000000000, disk_bytes: 1000000000, link_bytes_per_second: 1000000000, disk_bytes_per_second: 1000000000}
)";

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

// A key-value service in memory that can be taken down.
class FakePlatform
{
public:
  platform::Reply Run(const platform::Command& aCommand)
  {
    platform::Reply reply;
    reply.id_ = aCommand.id_;
    if (down_) {
      return reply;
    }
    auto& [version, value] = values_[aCommand.key_];
    reply.outcome_ =
      version == 0 ? platform::Outcome::Absent : platform::Outcome::Ok;
    if (aCommand.operation_ == platform::Operation::Write) {
      reply.outcome_ = platform::Outcome::Conflict;
      if (!aCommand.expect_ || *aCommand.expect_ == version) {
        version = ++lastVersion_;
        value = aCommand.value_;
        reply.outcome_ = platform::Outcome::Ok;
      }
    }
    reply.version_ = version;
    reply.value_ = value;
    return reply;
  }

  bool down_ = false;

private:
  std::map<std::string, std::pair<std::uint64_t, std::string>> values_;
  std::uint64_t lastVersion_ = 0;
};

// One entry host without sockets. A fake platform answers its commands; all
// other effects are collected for the test.
class World
{
public:
  World()
  {
    state_.self_ = { "h1", "d1" };
    state_.claims_.settings_.instance_ = "i1";
    state_.claims_.settings_.outcomeDelay_ = absl::Milliseconds(10);
    membership::HostState self;
    self.name_ = "h1";
    self.peerAddress_ = "10.0.0.9:1";
    self.dataCentre_ = "d1";
    state_.membership_ = membership::MakeInitialState(self, {}, now_);
    ApplyConfig();
    Run(absl::Seconds(1));
    for (const auto* name : { "e1", "e2", "s1", "s2" }) {
      Report(name);
    }
    effects_.clear();
  }

  void Handle(const reducer::Event& aEvent)
  {
    for (auto& effect : reducer::Step(state_, { now_, random_() }, aEvent)) {
      if (const auto* command = absl::get_if<reducer::SendCommand>(&effect)) {
        commands_.push_back(*command);
        continue;
      }
      effects_.push_back(std::move(effect));
    }
  }

  // Executes all pending commands at the fake platform.
  void AnswerCommands()
  {
    while (!commands_.empty()) {
      const reducer::SendCommand command = commands_.front();
      commands_.pop_front();
      Handle(reducer::PlatformReplied{ command.module_,
                                       platform_.Run(command.command_) });
    }
  }

  // Advances the time in short steps, with a tick and the platform's replies at
  // each.
  void Run(absl::Duration aTime)
  {
    constexpr absl::Duration kStep = absl::Milliseconds(10);
    for (const absl::Time end = now_ + aTime; now_ < end; now_ += kStep) {
      AnswerCommands();
      Handle(reducer::Tick{});
    }
    AnswerCommands();
  }

  void Report(const std::string& aTarget, bool aLeaving = false)
  {
    reducer::TargetReported report;
    report.target_ = aTarget;
    report.reached_ = true;
    report.leaving_ = aLeaving;
    report.weightVersion_ = aTarget[0] == 'e' ? "v1" : "";
    Handle(report);
  }

  reducer::NewRequest MakeCompletion()
  {
    reducer::NewRequest request;
    request.id_ = ++lastId_;
    request.publicId_ = absl::StrCat("r", request.id_);
    request.workspace_ = "nursing";
    request.modelOrService_ = "wording";
    request.promptTokens_ = 1000;
    request.maxTokens_ = 10;
    request.blockHashes_ = { { 1, request.id_ }, { 2, request.id_ } };
    request.deadline_ = now_ + absl::Seconds(30);
    return request;
  }

  reducer::NewRequest MakeCall(const std::string& aKey)
  {
    reducer::NewRequest request;
    request.id_ = ++lastId_;
    request.publicId_ = absl::StrCat("r", request.id_);
    request.kind_ = reducer::RequestKind::ServiceCall;
    request.workspace_ = "nursing";
    request.modelOrService_ = "registry";
    request.callName_ = "issue";
    request.repeatable_ = false;
    request.idempotencyKey_ = aKey;
    request.digest_ = "digest";
    request.deadline_ = now_ + absl::Seconds(5);
    return request;
  }

  // Removes and returns the collected effects of one kind.
  template<typename Kind>
  std::vector<Kind> Take()
  {
    std::vector<Kind> found;
    std::vector<reducer::Effect> others;
    for (auto& effect : effects_) {
      if (auto* kind = absl::get_if<Kind>(&effect)) {
        found.push_back(std::move(*kind));
      } else {
        others.push_back(std::move(effect));
      }
    }
    effects_ = std::move(others);
    return found;
  }

  void EndAttempt(const reducer::Dispatch& aDispatch,
                  reducer::AttemptResult aResult)
  {
    reducer::AttemptEnded ended;
    ended.id_ = aDispatch.id_;
    ended.attempt_ = aDispatch.attempt_;
    ended.result_ = aResult;
    ended.tokens_ = 10;
    Handle(ended);
  }

  void EndClaimedCall(const reducer::Dispatch& aDispatch,
                      bool aComplete,
                      bool aNeverSent = false,
                      std::uint32_t aStatus = 200)
  {
    reducer::ClaimedCallEnded answer;
    answer.id_ = aDispatch.id_;
    answer.attempt_ = aDispatch.attempt_;
    answer.complete_ = aComplete;
    answer.neverSent_ = aNeverSent;
    answer.answer_ = { aStatus, "application/json", "{}" };
    Handle(answer);
  }

  FakePlatform platform_;
  reducer::State state_;
  absl::Time now_ = kStart;
  std::mt19937_64 random_{ 1 };

private:
  void ApplyConfig()
  {
    const auto document = config::Split(kDocument);
    auto checked = config::Check(document.sections_);
    REQUIRE(checked.problems_.empty());
    checked.config_.revision_ = 1;
    Handle(reducer::ConfigInForce{
      std::make_shared<const config::Config>(std::move(checked.config_)) });
  }

  std::vector<reducer::Effect> effects_;
  std::deque<reducer::SendCommand> commands_;
  reducer::RequestId lastId_ = 0;
};

} // namespace

TEST_CASE("a request is sent to a reachable target")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].weightVersion_ == "v1");
  CHECK_FALSE(sent[0].sendOnce_);
  world.EndAttempt(sent[0], reducer::AttemptResult::Completed);
  CHECK(world.state_.requests_.empty());
  CHECK(world.Take<reducer::ReportRun>().size() == 1);
}

TEST_CASE(
  "an unreachable store is dropped and its inventory is fetched on its return")
{
  World world;
  const auto report = [&](bool aReached, std::uint64_t aInstance) {
    reducer::StoreReported report;
    report.store_ = "m1";
    report.reached_ = aReached;
    report.instance_ = aInstance;
    world.Handle(report);
    return world.Take<reducer::FetchStoreInventory>().size();
  };
  CHECK(report(true, 7) == 0);
  world.Handle(reducer::StoreBlocksChanged{
    "m1", { { { 1, 2 }, { 1, 2 }, true, {}, 5, 1000 } } });
  const auto known = [&] {
    return lycheeplank::directory::CountBlocks(world.state_.directory_, "m1");
  };
  REQUIRE(known() == 1);
  CHECK(report(false, 0) == 0);
  CHECK(report(false, 0) == 0);
  CHECK(known() == 1);
  CHECK(report(false, 0) == 0);
  CHECK(known() == 0);
  CHECK(report(false, 0) == 0);
  CHECK(report(true, 7) == 1);
  CHECK(report(true, 7) == 0);
  // The store restarted between two polls.
  CHECK(report(true, 8) == 1);
}

TEST_CASE("blocks that a store fails to deliver are removed from the directory")
{
  World world;
  reducer::StoreReported report;
  report.store_ = "m1";
  report.reached_ = true;
  world.Handle(report);
  const auto request = world.MakeCompletion();
  const auto chain =
    core::ChainBlocks({ "nursing", "wording", "v1", "" }, request.blockHashes_);
  for (const auto& block : chain) {
    world.Handle(reducer::StoreBlocksChanged{
      "m1", { { block, chain[0], true, {}, 5, 100'000 } } });
  }
  world.Handle(reducer::RequestArrived{ request });
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].importKeys_.size() == 2);
  reducer::AttemptStarted started;
  started.id_ = request.id_;
  started.attempt_ = 1;
  started.weightVersion_ = "v1";
  started.importedBlocks_ = 1;
  world.Handle(started);
  CHECK(lycheeplank::directory::CountBlocks(world.state_.directory_, "m1") ==
        1);
  world.EndAttempt(sent[0], reducer::AttemptResult::Completed);
  const auto reports = world.Take<reducer::ReportRun>();
  REQUIRE(reports.size() == 1);
  // The store's remaining blocks are unknown now.
  CHECK_FALSE(reports[0].holdings_);
}

TEST_CASE("a run is reported with the store holdings at its placement")
{
  World world;
  const auto request = world.MakeCompletion();
  const auto chain =
    core::ChainBlocks({ "nursing", "wording", "v1", "" }, request.blockHashes_);
  world.Handle(reducer::StoreBlocksChanged{
    "m1", { { chain[0], chain[0], true, {}, 5, 100'000 } } });
  world.Handle(reducer::RequestArrived{ request });
  world.now_ += absl::Seconds(3);
  world.EndAttempt(world.Take<reducer::Dispatch>().at(0),
                   reducer::AttemptResult::Completed);
  const auto reports = world.Take<reducer::ReportRun>();
  REQUIRE(reports.size() == 1);
  REQUIRE(reports[0].holdings_);
  REQUIRE(reports[0].holdings_->size() == 1);
  CHECK(reports[0].holdings_->at(0).store_ == "m1");
  CHECK(reports[0].holdings_->at(0).blocks_ == 1);
  CHECK(reports[0].age_ == absl::Seconds(3));
}

TEST_CASE("an import leaves the link queue of its store once it is transferred")
{
  constexpr double kLinkRate = 1e9;
  World world;
  reducer::StoreReported report;
  report.store_ = "m1";
  report.reached_ = true;
  report.linkBytesPerSecond_ = kLinkRate;
  world.Handle(report);
  const reducer::NewRequest request = world.MakeCompletion();
  const auto chain =
    core::ChainBlocks({ "nursing", "wording", "v1", "" }, request.blockHashes_);
  reducer::StoreInventory inventory{ "m1", {} };
  for (const core::BlockKey& key : chain) {
    directory::Sighting sighting{ key, chain[0] };
    sighting.generation_ = 1;
    inventory.sightings_.push_back(sighting);
  }
  world.Handle(inventory);
  world.Handle(reducer::RequestArrived{ request });
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].importKeys_ == chain);
  const auto queued = [&] {
    return lycheeplank::placement::QueuedBytes(
      world.state_.stores_.at("m1").linkQueue_, kLinkRate, world.now_);
  };
  CHECK(queued() > 0);
  world.Run(absl::Seconds(2));
  CHECK(queued() == 0);
}

TEST_CASE("a leaving target gets no new work")
{
  World world;
  world.Report("e1", true);
  for (int i = 0; i < 20; ++i) {
    world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  }
  for (const auto& sent : world.Take<reducer::Dispatch>()) {
    CHECK(sent.target_ == "e2");
  }
}

TEST_CASE("without a usable target a request is refused as not run")
{
  World world;
  world.Report("e1", true);
  world.Report("e2", true);
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  world.Run(absl::Seconds(31));
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::No);
  CHECK(refused[0].error_.retryAfter_ > absl::ZeroDuration());
  CHECK(world.Take<reducer::Dispatch>().empty());
}

namespace {

// Makes this host follow no target, and another host the home of all prompts.
void
UnfollowAllTargets(World& aWorld)
{
  for (auto& [name, target] : aWorld.state_.targets_) {
    target.followed_ = false;
  }
  aWorld.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2" });
}

// Sends a request whose prompt e1 holds, and returns the resulting load query
// to e1.
reducer::QueryLoads
QueryHolderLoad(World& aWorld)
{
  aWorld.Handle(reducer::RequestArrived{ aWorld.MakeCompletion() });
  const auto queries = aWorld.Take<reducer::QueryHomes>();
  REQUIRE(queries.size() == 1);
  aWorld.Handle(reducer::HoldersLocated{
    queries[0].id_,
    queries[0].attempt_,
    { { { "e1", lycheeplank::directory::HolderKind::Engine }, 2 } } });
  const auto loads = aWorld.Take<reducer::QueryLoads>();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].targets_ == std::vector<std::string>{ "e1" });
  return loads[0];
}

} // namespace

TEST_CASE("a target that is no longer followed gets no work from an old report")
{
  World world;
  world.Report("e1");
  world.Report("e2");
  UnfollowAllTargets(world);
  world.state_.targets_.at("e2").followed_ = true;
  world.state_.homeHosts_ = {};
  world.now_ += absl::Milliseconds(2500);
  for (int i = 0; i < 20; ++i) {
    world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  }
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE_FALSE(sent.empty());
  for (const auto& dispatch : sent) {
    CHECK(dispatch.target_ == "e2");
  }
}

TEST_CASE("a holder that isn't followed is queried for its load")
{
  World world;
  UnfollowAllTargets(world);
  world.state_.targets_.at("e2").followed_ = true;
  world.Report("e2");
  world.now_ += absl::Seconds(3);
  const auto query = QueryHolderLoad(world);
  CHECK(world.Take<reducer::Dispatch>().empty());
  SECTION("and gets the run")
  {
    world.Report("e1");
    world.Handle(reducer::LoadsCollected{ query.id_, query.attempt_ });
    const auto sent = world.Take<reducer::Dispatch>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].target_ == "e1");
    // A repeated event doesn't place the request again.
    world.Handle(reducer::LoadsCollected{ query.id_, query.attempt_ });
    CHECK(world.Take<reducer::Dispatch>().empty());
  }
  SECTION("and gets no run if it leaves")
  {
    world.Report("e1", true);
    world.Handle(reducer::LoadsCollected{ query.id_, query.attempt_ });
    const auto sent = world.Take<reducer::Dispatch>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].target_ == "e2");
  }
  SECTION("and is not queried again soon if it doesn't answer")
  {
    world.Handle(reducer::LoadsCollected{ query.id_, query.attempt_ });
    CHECK(world.Take<reducer::Dispatch>().at(0).target_ == "e2");
    world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
    const auto located = world.Take<reducer::QueryHomes>();
    world.Handle(reducer::HoldersLocated{
      located.at(0).id_,
      located[0].attempt_,
      { { { "e1", lycheeplank::directory::HolderKind::Engine }, 2 } } });
    CHECK(world.Take<reducer::QueryLoads>().empty());
    CHECK(world.Take<reducer::Dispatch>().at(0).target_ == "e2");
  }
  SECTION("and the deadline is enforced during the query")
  {
    world.now_ += absl::Seconds(31);
    world.Handle(reducer::Tick{});
    const auto refused = world.Take<reducer::Refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error_.run_ == core::RunState::No);
    world.Report("e1");
    world.Handle(reducer::LoadsCollected{ query.id_, query.attempt_ });
    CHECK(world.Take<reducer::Dispatch>().empty());
  }
}

namespace {

// Starts a run whose engine has aCached blocks cached.
void
Start(World& aWorld, const reducer::Dispatch& aDispatch, std::uint32_t aCached)
{
  aWorld.Handle(reducer::AttemptStarted{
    aDispatch.id_, aDispatch.attempt_, "v1", aCached });
}

// Sends a request whose home reports that e1 holds aBlocks of its two blocks.
// Returns the dispatch to e1.
reducer::Dispatch
DispatchToHolder(World& aWorld, std::uint32_t aBlocks)
{
  aWorld.Handle(reducer::RequestArrived{ aWorld.MakeCompletion() });
  const auto queries = aWorld.Take<reducer::QueryHomes>();
  REQUIRE(queries.size() == 1);
  aWorld.Handle(reducer::HoldersLocated{
    queries[0].id_,
    queries[0].attempt_,
    { { { "e1", lycheeplank::directory::HolderKind::Engine }, aBlocks } } });
  const auto sent = aWorld.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].target_ == "e1");
  return sent[0];
}

} // namespace

TEST_CASE(
  "a run reports to the homes of its prompt only blocks that are new to them")
{
  World world;
  world.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2", "h3" });
  Start(world, DispatchToHolder(world, 2), 2);
  CHECK(world.Take<reducer::ReportBlocksToHome>().empty());
  Start(world, DispatchToHolder(world, 1), 1);
  auto reports = world.Take<reducer::ReportBlocksToHome>();
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].host_ != reports[1].host_);
  CHECK(reports[0].sightings_.size() == 1);
  CHECK(reports[0].sightings_[0].block_ != reports[0].sightings_[0].root_);
  // One run in 16 reports all blocks, in case the other home missed some.
  std::size_t whole = 0;
  for (int i = 0; i < 32; ++i) {
    Start(world, DispatchToHolder(world, 2), 2);
    for (const auto& report : world.Take<reducer::ReportBlocksToHome>()) {
      CHECK(report.sightings_.size() == 2);
      ++whole;
    }
  }
  CHECK(whole == 4);
  // This host is not a home of the prompts, so its directory stays empty.
  CHECK(world.state_.directory_.blocks_.empty());
}

TEST_CASE("a failed import is reported to the homes of its prompt")
{
  World world;
  world.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2", "h3" });
  auto dispatch = DispatchToHolder(world, 1);
  auto& request = world.state_.requests_.at(dispatch.id_);
  request.import_.emplace();
  request.import_->store_ = "store-1";
  request.import_->firstBlock_ = 1;
  request.import_->blocks_ = 1;
  request.import_->generations_ = { 5 };
  Start(world, dispatch, 1);
  std::size_t reports = 0;
  for (const auto& report : world.Take<reducer::ReportBlocksToHome>()) {
    if (report.holder_.name_ == "store-1") {
      ++reports;
      REQUIRE(report.sightings_.size() == 1);
      CHECK_FALSE(report.sightings_[0].present_);
      CHECK(report.sightings_[0].generation_ == 5);
    }
  }
  CHECK(reports == 2);
}

TEST_CASE(
  "a call without followed targets queries some targets before its claim")
{
  World world;
  UnfollowAllTargets(world);
  world.now_ += absl::Seconds(3);
  auto call = world.MakeCall("k");
  call.deadline_ = world.now_ + absl::Seconds(5);
  world.Handle(reducer::RequestArrived{ call });
  const auto queries = world.Take<reducer::QueryLoads>();
  REQUIRE(queries.size() == 1);
  CHECK(queries[0].targets_.size() == 2);
  const bool late = GENERATE(false, true);
  if (late) {
    // The process was paused until after the deadline.
    world.now_ += absl::Seconds(6);
  }
  world.Report("s1");
  world.Report("s2", true);
  world.Handle(reducer::LoadsCollected{ queries[0].id_, queries[0].attempt_ });
  world.Run(absl::Milliseconds(200));
  const auto sent = world.Take<reducer::Dispatch>();
  const auto refused = world.Take<reducer::Refuse>();
  if (late) {
    CHECK(sent.empty());
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error_.run_ == core::RunState::No);
    CHECK(claims::UsageOf(world.state_.claims_).unrecorded_ == 0);
    return;
  }
  CHECK(refused.empty());
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].sendOnce_);
  CHECK(sent[0].target_ == "s1");
}

TEST_CASE(
  "a request is refused if its model is removed while its blocks are located")
{
  World world;
  world.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2" });
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  const auto queries = world.Take<reducer::QueryHomes>();
  REQUIRE(queries.size() == 1);
  auto without = std::make_shared<config::Config>(*world.state_.config_);
  ++without->revision_;
  without->models_.erase("wording");
  without->targets_.erase("e1");
  without->targets_.erase("e2");
  world.Handle(reducer::ConfigInForce{ without });
  world.Handle(
    reducer::HoldersLocated{ queries[0].id_, queries[0].attempt_, {} });
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::UnknownModel);
}

TEST_CASE(
  "an attempt that broke before its first token is retried at another target")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  const auto first = world.Take<reducer::Dispatch>();
  world.EndAttempt(first[0], reducer::AttemptResult::Broken);
  const auto second = world.Take<reducer::Dispatch>();
  REQUIRE(second.size() == 1);
  CHECK(second[0].target_ != first[0].target_);
  CHECK(second[0].attempt_ == first[0].attempt_ + 1);
  world.EndAttempt(first[0], reducer::AttemptResult::Completed);
  CHECK(world.state_.requests_.size() == 1);
}

// Guards against callers that take a request for one that wasn't started
// although its first attempt may have run.
TEST_CASE("a request that may have run isn't refused as not started")
{
  const auto result = GENERATE(reducer::AttemptResult::Broken,
                               reducer::AttemptResult::Refused,
                               reducer::AttemptResult::NeverSent);
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  const auto first = world.Take<reducer::Dispatch>();
  REQUIRE(first.size() == 1);
  world.Report("e1", true);
  world.Report("e2", true);
  world.EndAttempt(first[0], result);
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  const bool mayHaveRun = result == reducer::AttemptResult::Broken;
  const auto& error = refused[0].error_;
  CHECK(error.kind_ == (mayHaveRun ? core::ErrorKind::TargetFailed
                                   : core::ErrorKind::NoTarget));
  CHECK(error.run_ ==
        (mayHaveRun ? core::RunState::Unknown : core::RunState::No));
}

// Guards against "not run" for a request whose model is removed after an
// attempt that may have run.
TEST_CASE("the removal of a model doesn't undo an attempt that may have run")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  const auto first = world.Take<reducer::Dispatch>();
  REQUIRE(first.size() == 1);
  auto without = std::make_shared<config::Config>(*world.state_.config_);
  ++without->revision_;
  without->models_.erase("wording");
  world.Handle(reducer::ConfigInForce{ without });
  world.EndAttempt(first[0], reducer::AttemptResult::Broken);
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::Unknown);
}

TEST_CASE("an answer that broke midway is not retried")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCompletion() });
  const auto first = world.Take<reducer::Dispatch>();
  world.EndAttempt(first[0], reducer::AttemptResult::BrokenMidway);
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::Unknown);
}

TEST_CASE("a non-repeatable call is sent only under its claim")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  CHECK(world.Take<reducer::Dispatch>().empty());
  world.Run(absl::Milliseconds(200));
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].sendOnce_);
  world.EndClaimedCall(sent[0], true);
  CHECK(world.Take<reducer::AnswerCall>().empty());
  world.Run(absl::Milliseconds(500));
  CHECK(world.Take<reducer::AnswerCall>().size() == 1);

  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Milliseconds(200));
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto again = world.Take<reducer::AnswerCall>();
  REQUIRE(again.size() == 1);
  CHECK(again[0].answer_.body_ == "{}");
}

TEST_CASE("a sent call without an answer has an unknown outcome and is never "
          "sent again")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Milliseconds(200));
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  world.EndClaimedCall(sent[0], false);
  world.Run(absl::Seconds(1));
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::OutcomeUnknown);
  CHECK(refused[0].error_.run_ == core::RunState::Unknown);
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Seconds(1));
  CHECK(world.Take<reducer::Dispatch>().empty());
}

namespace {

// Sends a call under a claim and answers it with a status.
void
AnswerClaimedCall(World& aWorld, std::uint32_t aStatus)
{
  aWorld.Handle(reducer::RequestArrived{ aWorld.MakeCall("k") });
  aWorld.Run(absl::Milliseconds(200));
  const auto sent = aWorld.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  aWorld.EndClaimedCall(sent[0], true, false, aStatus);
  aWorld.Run(absl::Seconds(1));
}

} // namespace

// Guards against a caller, or a later one with the same key, that takes the
// answer of a target which has run the call for a refusal.
TEST_CASE("a target's refusal of a claimed call has an unknown outcome")
{
  const std::uint32_t status = GENERATE(408, 421, 429, 503);
  World world;
  AnswerClaimedCall(world, status);
  CHECK(world.Take<reducer::AnswerCall>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::OutcomeUnknown);
  CHECK(refused[0].error_.run_ == core::RunState::Unknown);
}

TEST_CASE("other answers of a target to a claimed call are recorded")
{
  const std::uint32_t status = GENERATE(200, 404, 409, 425);
  World world;
  AnswerClaimedCall(world, status);
  const auto answers = world.Take<reducer::AnswerCall>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer_.status_ == status);
}

TEST_CASE(
  "a call that was never sent may go to another target under the same claim")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Milliseconds(200));
  const auto first = world.Take<reducer::Dispatch>();
  world.EndClaimedCall(first[0], false, true);
  const auto second = world.Take<reducer::Dispatch>();
  REQUIRE(second.size() == 1);
  CHECK(second[0].target_ != first[0].target_);
}

TEST_CASE("a host that was paused past the deadline sends no call")
{
  World world;
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  // The write of the claim was sent; the process is paused before the reply.
  world.now_ += absl::Seconds(60);
  world.AnswerCommands();
  world.Run(absl::Seconds(2));
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::No);
}

TEST_CASE("an expired call is withdrawn at its home")
{
  World world;
  // Another host is the home of every claim.
  world.state_.liveHosts_ = { { "h2", "d1" } };
  world.Handle(reducer::RequestArrived{ world.MakeCall("late") });
  const auto late = world.Take<reducer::RequestClaim>();
  REQUIRE(late.size() == 1);
  world.now_ += absl::Seconds(60);
  world.Handle(reducer::Tick{});
  REQUIRE(world.Take<reducer::Refuse>().size() == 1);
  const auto withdrawn = world.Take<reducer::ReportOutcome>();
  REQUIRE(withdrawn.size() == 1);
  CHECK(withdrawn[0].host_ == "h2");
  CHECK(withdrawn[0].report_.attempt_ == late[0].claim_.attempt_);
  CHECK(withdrawn[0].report_.outcome_ == claims::AttemptOutcome::Withdrawn);
  // The home could not record the withdrawal in time, so this host records it
  // too.
  world.Handle(reducer::OutcomeReportAnswered{
    withdrawn[0].id_, withdrawn[0].report_, true, false });
  CHECK(claims::UsageOf(world.state_.claims_).unrecorded_ == 1);
}

TEST_CASE("claim heartbeats also go to the current home")
{
  World world;
  auto call = world.MakeCall("k");
  call.deadline_ = world.now_ + absl::Minutes(1);
  world.Handle(reducer::RequestArrived{ call });
  world.Run(absl::Milliseconds(200));
  REQUIRE(world.Take<reducer::Dispatch>().size() == 1);
  // As if h0 had granted the claim and its home had moved to this host since.
  world.state_.requests_.at(call.id_).claimHome_ = "h0";
  world.Run(absl::Seconds(6));
  const auto heartbeats = world.Take<reducer::SendClaimHeartbeat>();
  REQUIRE_FALSE(heartbeats.empty());
  CHECK(heartbeats[0].host_ == "h0");
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Seconds(1));
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::InProgress);
}

TEST_CASE("without the platform a call is refused soon as not run")
{
  World world;
  world.platform_.down_ = true;
  world.Handle(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Seconds(3));
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::PlatformUnavailable);
  CHECK(refused[0].error_.run_ == core::RunState::No);
}

namespace {

// Applies random events and checks that every request gets exactly one final
// answer and that every non-repeatable call is sent at most once, not counting
// sends that never left this host.
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  void Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      ApplyRandomEvent();
      world_.Run(absl::Milliseconds(10));
      Collect();
    }
    world_.platform_.down_ = false;
    for (const auto* name : { "e1", "e2", "s1", "s2" }) {
      world_.Report(name);
    }
    world_.Run(absl::Seconds(40));
    Collect();
    for (const auto& [id, count] : finalAnswers_) {
      INFO("request " << id);
      REQUIRE(count == 1);
    }
    REQUIRE(world_.state_.requests_.empty());
  }

private:
  std::uint64_t Pick(std::uint64_t aCount) { return random_() % aCount; }

  void ApplyRandomEvent()
  {
    switch (Pick(12)) {
      case 10:
        Unfollow();
        return;
      case 11:
        AnswerLoadQueries();
        return;
      case 0:
      case 1:
        SendRequest(world_.MakeCompletion());
        return;
      case 2:
      case 3:
        SendRequest(world_.MakeCall(absl::StrCat("k", Pick(20))));
        return;
      case 4:
        world_.platform_.down_ = Pick(4) == 0;
        return;
      case 5:
        world_.Report(Pick(2) == 0 ? "e1" : "s1", Pick(3) == 0);
        return;
      case 6:
        world_.now_ += absl::Milliseconds(static_cast<int>(Pick(300)));
        return;
      default:
        EndRandomAttempt();
        return;
    }
  }

  // Changes which targets this host follows, as a change of the live hosts
  // does.
  void Unfollow()
  {
    for (auto& [name, target] : world_.state_.targets_) {
      target.followed_ = Pick(3) != 0;
    }
  }

  // Answers the open load queries; leaves some without an answer.
  void AnswerLoadQueries()
  {
    for (const auto& query : queries_) {
      for (const auto& target : query.targets_) {
        if (Pick(2) == 0) {
          world_.Report(target, Pick(4) == 0);
        }
      }
      if (Pick(4) != 0) {
        world_.Handle(reducer::LoadsCollected{ query.id_, query.attempt_ });
      }
    }
    queries_.clear();
  }

  void SendRequest(const reducer::NewRequest& aRequest)
  {
    finalAnswers_[aRequest.id_] = 0;
    keys_[aRequest.id_] = aRequest.idempotencyKey_;
    world_.Handle(reducer::RequestArrived{ aRequest });
  }

  void EndRandomAttempt()
  {
    if (dispatched_.empty()) {
      return;
    }
    const auto at = static_cast<std::ptrdiff_t>(Pick(dispatched_.size()));
    const reducer::Dispatch dispatch =
      dispatched_[static_cast<std::size_t>(at)];
    dispatched_.erase(dispatched_.begin() + at);
    if (dispatch.sendOnce_) {
      const bool neverSent = Pick(4) == 0;
      if (neverSent) {
        --sends_[keys_[dispatch.id_]];
        --possibleRuns_[dispatch.id_];
      }
      world_.EndClaimedCall(dispatch, !neverSent && Pick(3) != 0, neverSent);
      return;
    }
    const auto result =
      reducer::kAttemptResults[Pick(reducer::kAttemptResults.size())].value_;
    if (result == reducer::AttemptResult::NeverSent ||
        result == reducer::AttemptResult::Refused ||
        result == reducer::AttemptResult::WrongVersion) {
      --possibleRuns_[dispatch.id_];
    }
    const bool current =
      world_.state_.requests_.count(dispatch.id_) > 0 &&
      world_.state_.requests_.at(dispatch.id_).attempt_ == dispatch.attempt_;
    world_.EndAttempt(dispatch, result);
    if (current && result == reducer::AttemptResult::Completed) {
      ++finalAnswers_[dispatch.id_];
    }
  }

  void Collect()
  {
    for (const auto& dispatch : world_.Take<reducer::Dispatch>()) {
      dispatched_.push_back(dispatch);
      ++possibleRuns_[dispatch.id_];
      if (dispatch.sendOnce_) {
        REQUIRE(++sends_[keys_[dispatch.id_]] <= 1);
      }
    }
    for (auto& query : world_.Take<reducer::QueryLoads>()) {
      queries_.push_back(std::move(query));
    }
    for (const auto& refused : world_.Take<reducer::Refuse>()) {
      ++finalAnswers_[refused.id_];
      CheckRefusal(refused);
    }
    for (const auto& answer : world_.Take<reducer::AnswerCall>()) {
      ++finalAnswers_[answer.id_];
    }
  }

  // A refusal that tells the caller that the request hasn't run is true.
  void CheckRefusal(const reducer::Refuse& aRefusal)
  {
    const auto& error = aRefusal.error_;
    const bool promises =
      error.run_ == core::RunState::No ||
      core::PromisesNotRun(core::TraitsOf(error.kind_).httpStatus_);
    if (promises) {
      INFO(core::Describe(error));
      REQUIRE(possibleRuns_[aRefusal.id_] == 0);
    }
  }

  World world_;
  std::mt19937_64 random_;
  std::vector<reducer::Dispatch> dispatched_;
  std::vector<reducer::QueryLoads> queries_;
  std::map<reducer::RequestId, int> finalAnswers_;
  std::map<reducer::RequestId, std::string> keys_;
  // Number of sends that may have arrived, by idempotency key.
  std::map<std::string, int> sends_;
  // Number of attempts that may have run.
  std::map<reducer::RequestId, int> possibleRuns_;
};

} // namespace

TEST_CASE("every request gets exactly one answer under random events")
{
  const char* chosen = std::getenv("LYCHEEPLANK_SEED");
  const std::uint64_t first =
    chosen == nullptr ? 1 : std::strtoull(chosen, nullptr, 10);
  for (std::uint64_t seed = first; seed < first + 20; ++seed) {
    INFO("repeat with LYCHEEPLANK_SEED=" << seed << " reducer-test");
    RandomRun(seed).Run(450);
  }
}
