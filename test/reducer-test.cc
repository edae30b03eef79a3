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

// A key-value service in memory, with faults.
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

// One entry host without sockets: commands to the platform are answered, all
// other effects are kept for the test.
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
    state_.membership_ = membership::Start(self, {}, now_);
    Apply();
    Run(absl::Seconds(1));
    for (const auto* name : { "e1", "e2", "s1", "s2" }) {
      Report(name);
    }
    effects_.clear();
  }

  void Send(const reducer::Event& aEvent)
  {
    for (auto& effect : reducer::Step(state_, { now_, random_() }, aEvent)) {
      if (const auto* command = absl::get_if<reducer::SendCommand>(&effect)) {
        waiting_.push_back(*command);
        continue;
      }
      effects_.push_back(std::move(effect));
    }
  }

  // Answers the commands that wait.
  void AnswerPlatform()
  {
    while (!waiting_.empty()) {
      const reducer::SendCommand command = waiting_.front();
      waiting_.pop_front();
      Send(reducer::PlatformReplied{ command.module_,
                                     platform_.Run(command.command_) });
    }
  }

  // Lets time pass in short steps.
  void Run(absl::Duration aTime)
  {
    constexpr absl::Duration kStep = absl::Milliseconds(10);
    for (const absl::Time end = now_ + aTime; now_ < end; now_ += kStep) {
      AnswerPlatform();
      Send(reducer::Tick{});
    }
    AnswerPlatform();
  }

  void Report(const std::string& aTarget, bool aLeaving = false)
  {
    reducer::TargetReported report;
    report.target_ = aTarget;
    report.reached_ = true;
    report.leaving_ = aLeaving;
    report.weightVersion_ = aTarget[0] == 'e' ? "v1" : "";
    Send(report);
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

  // Takes out the effects of a kind.
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

  void End(const reducer::Dispatch& aDispatch, reducer::AttemptResult aResult)
  {
    reducer::AttemptEnded ended;
    ended.id_ = aDispatch.id_;
    ended.attempt_ = aDispatch.attempt_;
    ended.result_ = aResult;
    ended.tokens_ = 10;
    Send(ended);
  }

  void AnswerOnce(const reducer::Dispatch& aDispatch,
                  bool aWhole,
                  bool aNeverSent = false)
  {
    reducer::ClaimedCallEnded answer;
    answer.id_ = aDispatch.id_;
    answer.attempt_ = aDispatch.attempt_;
    answer.complete_ = aWhole;
    answer.neverSent_ = aNeverSent;
    answer.answer_ = { 200, "application/json", "{}" };
    Send(answer);
  }

  FakePlatform platform_;
  reducer::State state_;
  absl::Time now_ = kStart;
  std::mt19937_64 random_{ 1 };

private:
  void Apply()
  {
    const auto document = config::Split(kDocument);
    auto checked = config::Check(document.sections_);
    REQUIRE(checked.problems_.empty());
    checked.config_.revision_ = 1;
    Send(reducer::ConfigInForce{
      std::make_shared<const config::Config>(std::move(checked.config_)) });
  }

  std::vector<reducer::Effect> effects_;
  std::deque<reducer::SendCommand> waiting_;
  reducer::RequestId lastId_ = 0;
};

} // namespace

TEST_CASE("a request goes to a target that was reached")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].weightVersion_ == "v1");
  CHECK_FALSE(sent[0].sendOnce_);
  world.End(sent[0], reducer::AttemptResult::Completed);
  CHECK(world.state_.requests_.empty());
  CHECK(world.Take<reducer::ReportRun>().size() == 1);
}

TEST_CASE("a store that is lost is forgotten and read again when it is back")
{
  World world;
  const auto report = [&](bool aReached, std::uint64_t aInstance) {
    reducer::StoreReported report;
    report.store_ = "m1";
    report.reached_ = aReached;
    report.instance_ = aInstance;
    world.Send(report);
    return world.Take<reducer::FetchStoreInventory>().size();
  };
  CHECK(report(true, 7) == 0);
  world.Send(reducer::StoreBlocksChanged{
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
  // Started anew between two questions.
  CHECK(report(true, 8) == 1);
}

TEST_CASE("blocks that a store didn't give are taken out of the directory")
{
  World world;
  reducer::StoreReported report;
  report.store_ = "m1";
  report.reached_ = true;
  world.Send(report);
  const auto request = world.MakeCompletion();
  const auto chain =
    core::ChainBlocks({ "nursing", "wording", "v1", "" }, request.blockHashes_);
  for (const auto& block : chain) {
    world.Send(reducer::StoreBlocksChanged{
      "m1", { { block, chain[0], true, {}, 5, 100'000 } } });
  }
  world.Send(reducer::RequestArrived{ request });
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].importKeys_.size() == 2);
  reducer::AttemptStarted started;
  started.id_ = request.id_;
  started.attempt_ = 1;
  started.weightVersion_ = "v1";
  started.importedBlocks_ = 1;
  world.Send(started);
  CHECK(lycheeplank::directory::CountBlocks(world.state_.directory_, "m1") ==
        1);
  world.End(sent[0], reducer::AttemptResult::Completed);
  const auto told = world.Take<reducer::ReportRun>();
  REQUIRE(told.size() == 1);
  // What the store holds isn't known any more.
  CHECK_FALSE(told[0].holdings_);
}

TEST_CASE("a run is reported with what stores held when it was placed")
{
  World world;
  const auto request = world.MakeCompletion();
  const auto chain =
    core::ChainBlocks({ "nursing", "wording", "v1", "" }, request.blockHashes_);
  world.Send(reducer::StoreBlocksChanged{
    "m1", { { chain[0], chain[0], true, {}, 5, 100'000 } } });
  world.Send(reducer::RequestArrived{ request });
  world.now_ += absl::Seconds(3);
  world.End(world.Take<reducer::Dispatch>().at(0),
            reducer::AttemptResult::Completed);
  const auto told = world.Take<reducer::ReportRun>();
  REQUIRE(told.size() == 1);
  REQUIRE(told[0].holdings_);
  REQUIRE(told[0].holdings_->size() == 1);
  CHECK(told[0].holdings_->at(0).store_ == "m1");
  CHECK(told[0].holdings_->at(0).blocks_ == 1);
  CHECK(told[0].age_ == absl::Seconds(3));
}

TEST_CASE("an import leaves the queue of its store's link as it is carried")
{
  constexpr double kLinkRate = 1e9;
  World world;
  reducer::StoreReported report;
  report.store_ = "m1";
  report.reached_ = true;
  report.linkBytesPerSecond_ = kLinkRate;
  world.Send(report);
  const reducer::NewRequest request = world.MakeCompletion();
  const auto chain =
    core::ChainBlocks({ "nursing", "wording", "v1", "" }, request.blockHashes_);
  reducer::StoreInventory inventory{ "m1", {} };
  for (const core::BlockKey& key : chain) {
    directory::Sighting sighting{ key, chain[0] };
    sighting.generation_ = 1;
    inventory.sightings_.push_back(sighting);
  }
  world.Send(inventory);
  world.Send(reducer::RequestArrived{ request });
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
    world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  }
  for (const auto& sent : world.Take<reducer::Dispatch>()) {
    CHECK(sent.target_ == "e2");
  }
}

TEST_CASE("without a usable target the answer comes at once and is true")
{
  World world;
  world.Report("e1", true);
  world.Report("e2", true);
  world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  world.Run(absl::Seconds(31));
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::No);
  CHECK(refused[0].error_.retryAfter_ > absl::ZeroDuration());
  CHECK(world.Take<reducer::Dispatch>().empty());
}

namespace {

// Makes another host the only follower of all targets, and the home of all
// prompts.
void
FollowNothing(World& aWorld)
{
  for (auto& [name, target] : aWorld.state_.targets_) {
    target.followed_ = false;
  }
  aWorld.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2" });
}

// Lets a request arrive whose prompt is held by e1, and returns the question
// for the load of e1.
reducer::QueryLoads
ArriveWithHolder(World& aWorld)
{
  aWorld.Send(reducer::RequestArrived{ aWorld.MakeCompletion() });
  const auto asked = aWorld.Take<reducer::QueryHomes>();
  REQUIRE(asked.size() == 1);
  aWorld.Send(reducer::HoldersLocated{
    asked[0].id_,
    asked[0].attempt_,
    { { { "e1", lycheeplank::directory::HolderKind::Engine }, 2 } } });
  const auto loads = aWorld.Take<reducer::QueryLoads>();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].targets_ == std::vector<std::string>{ "e1" });
  return loads[0];
}

} // namespace

TEST_CASE("a target that is no longer followed gets no work by an old report")
{
  World world;
  world.Report("e1");
  world.Report("e2");
  FollowNothing(world);
  world.state_.targets_.at("e2").followed_ = true;
  world.state_.homeHosts_ = {};
  world.now_ += absl::Milliseconds(2500);
  for (int i = 0; i < 20; ++i) {
    world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  }
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE_FALSE(sent.empty());
  for (const auto& dispatch : sent) {
    CHECK(dispatch.target_ == "e2");
  }
}

TEST_CASE("a holder that isn't followed is asked for its load")
{
  World world;
  FollowNothing(world);
  world.state_.targets_.at("e2").followed_ = true;
  world.Report("e2");
  world.now_ += absl::Seconds(3);
  const auto asked = ArriveWithHolder(world);
  CHECK(world.Take<reducer::Dispatch>().empty());
  SECTION("and gets the run")
  {
    world.Report("e1");
    world.Send(reducer::LoadsCollected{ asked.id_, asked.attempt_ });
    const auto sent = world.Take<reducer::Dispatch>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].target_ == "e1");
    // The same news again places nothing.
    world.Send(reducer::LoadsCollected{ asked.id_, asked.attempt_ });
    CHECK(world.Take<reducer::Dispatch>().empty());
  }
  SECTION("and gets none if it leaves")
  {
    world.Report("e1", true);
    world.Send(reducer::LoadsCollected{ asked.id_, asked.attempt_ });
    const auto sent = world.Take<reducer::Dispatch>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].target_ == "e2");
  }
  SECTION("and is not asked again at once if it is silent")
  {
    world.Send(reducer::LoadsCollected{ asked.id_, asked.attempt_ });
    CHECK(world.Take<reducer::Dispatch>().at(0).target_ == "e2");
    world.Send(reducer::RequestArrived{ world.MakeCompletion() });
    const auto located = world.Take<reducer::QueryHomes>();
    world.Send(reducer::HoldersLocated{
      located.at(0).id_,
      located[0].attempt_,
      { { { "e1", lycheeplank::directory::HolderKind::Engine }, 2 } } });
    CHECK(world.Take<reducer::QueryLoads>().empty());
    CHECK(world.Take<reducer::Dispatch>().at(0).target_ == "e2");
  }
  SECTION("and the deadline holds while it is asked")
  {
    world.now_ += absl::Seconds(31);
    world.Send(reducer::Tick{});
    const auto refused = world.Take<reducer::Refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error_.run_ == core::RunState::No);
    world.Report("e1");
    world.Send(reducer::LoadsCollected{ asked.id_, asked.attempt_ });
    CHECK(world.Take<reducer::Dispatch>().empty());
  }
}

namespace {

// Starts a run that finds so many blocks cached.
void
Start(World& aWorld, const reducer::Dispatch& aDispatch, std::uint32_t aCached)
{
  aWorld.Send(reducer::AttemptStarted{
    aDispatch.id_, aDispatch.attempt_, "v1", aCached });
}

// Lets a request arrive whose home says that e1 holds so many of its two
// blocks; it goes there.
reducer::Dispatch
ArriveAtHolder(World& aWorld, std::uint32_t aBlocks)
{
  aWorld.Send(reducer::RequestArrived{ aWorld.MakeCompletion() });
  const auto asked = aWorld.Take<reducer::QueryHomes>();
  REQUIRE(asked.size() == 1);
  aWorld.Send(reducer::HoldersLocated{
    asked[0].id_,
    asked[0].attempt_,
    { { { "e1", lycheeplank::directory::HolderKind::Engine }, aBlocks } } });
  const auto sent = aWorld.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].target_ == "e1");
  return sent[0];
}

} // namespace

TEST_CASE("a run tells the homes of its prompt only what is new to them")
{
  World world;
  world.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2", "h3" });
  Start(world, ArriveAtHolder(world, 2), 2);
  CHECK(world.Take<reducer::ReportBlocksToHome>().empty());
  Start(world, ArriveAtHolder(world, 1), 1);
  auto told = world.Take<reducer::ReportBlocksToHome>();
  REQUIRE(told.size() == 2);
  CHECK(told[0].host_ != told[1].host_);
  CHECK(told[0].sightings_.size() == 1);
  CHECK(told[0].sightings_[0].block_ != told[0].sightings_[0].root_);
  // What the other home may have missed is told now and then.
  std::size_t whole = 0;
  for (int i = 0; i < 32; ++i) {
    Start(world, ArriveAtHolder(world, 2), 2);
    for (const auto& report : world.Take<reducer::ReportBlocksToHome>()) {
      CHECK(report.sightings_.size() == 2);
      ++whole;
    }
  }
  CHECK(whole == 4);
  // This host is no home, so its own directory stays empty.
  CHECK(world.state_.directory_.blocks_.empty());
}

TEST_CASE("an import that fails is told to the homes of its prompt")
{
  World world;
  world.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2", "h3" });
  auto dispatch = ArriveAtHolder(world, 1);
  auto& request = world.state_.requests_.at(dispatch.id_);
  request.import_.emplace();
  request.import_->store_ = "store-1";
  request.import_->firstBlock_ = 1;
  request.import_->blocks_ = 1;
  request.import_->generations_ = { 5 };
  Start(world, dispatch, 1);
  std::size_t told = 0;
  for (const auto& report : world.Take<reducer::ReportBlocksToHome>()) {
    if (report.holder_.name_ == "store-1") {
      ++told;
      REQUIRE(report.sightings_.size() == 1);
      CHECK_FALSE(report.sightings_[0].present_);
      CHECK(report.sightings_[0].generation_ == 5);
    }
  }
  CHECK(told == 2);
}

TEST_CASE("a call for which no target is followed asks some before its claim")
{
  World world;
  FollowNothing(world);
  world.now_ += absl::Seconds(3);
  auto call = world.MakeCall("k");
  call.deadline_ = world.now_ + absl::Seconds(5);
  world.Send(reducer::RequestArrived{ call });
  const auto asked = world.Take<reducer::QueryLoads>();
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].targets_.size() == 2);
  const bool late = GENERATE(false, true);
  if (late) {
    // The host was stopped meanwhile.
    world.now_ += absl::Seconds(6);
  }
  world.Report("s1");
  world.Report("s2", true);
  world.Send(reducer::LoadsCollected{ asked[0].id_, asked[0].attempt_ });
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

TEST_CASE("a model that goes while its prompt is looked for is refused")
{
  World world;
  world.state_.homeHosts_ = lycheeplank::directory::MakeHostSet({ "h2" });
  world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  const auto asked = world.Take<reducer::QueryHomes>();
  REQUIRE(asked.size() == 1);
  auto without = std::make_shared<config::Config>(*world.state_.config_);
  ++without->revision_;
  without->models_.erase("wording");
  without->targets_.erase("e1");
  without->targets_.erase("e2");
  world.Send(reducer::ConfigInForce{ without });
  world.Send(reducer::HoldersLocated{ asked[0].id_, asked[0].attempt_, {} });
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::UnknownModel);
}

TEST_CASE("an attempt that showed no token is tried on another target")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  const auto first = world.Take<reducer::Dispatch>();
  world.End(first[0], reducer::AttemptResult::Broken);
  const auto second = world.Take<reducer::Dispatch>();
  REQUIRE(second.size() == 1);
  CHECK(second[0].target_ != first[0].target_);
  CHECK(second[0].attempt_ == first[0].attempt_ + 1);
  world.End(first[0], reducer::AttemptResult::Completed);
  CHECK(world.state_.requests_.size() == 1);
}

TEST_CASE("an answer that broke midway is not started again")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCompletion() });
  const auto first = world.Take<reducer::Dispatch>();
  world.End(first[0], reducer::AttemptResult::BrokenMidway);
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::Unknown);
}

TEST_CASE("a call that must not run twice is sent only under its claim")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  CHECK(world.Take<reducer::Dispatch>().empty());
  world.Run(absl::Milliseconds(200));
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].sendOnce_);
  world.AnswerOnce(sent[0], true);
  CHECK(world.Take<reducer::AnswerCall>().empty());
  world.Run(absl::Milliseconds(500));
  CHECK(world.Take<reducer::AnswerCall>().size() == 1);

  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Milliseconds(200));
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto again = world.Take<reducer::AnswerCall>();
  REQUIRE(again.size() == 1);
  CHECK(again[0].answer_.body_ == "{}");
}

TEST_CASE("a sent call without an answer is unknown and never sent again")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Milliseconds(200));
  const auto sent = world.Take<reducer::Dispatch>();
  REQUIRE(sent.size() == 1);
  world.AnswerOnce(sent[0], false);
  world.Run(absl::Seconds(1));
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::OutcomeUnknown);
  CHECK(refused[0].error_.run_ == core::RunState::Unknown);
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Seconds(1));
  CHECK(world.Take<reducer::Dispatch>().empty());
}

TEST_CASE("a call that was never sent may go elsewhere under the same claim")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Milliseconds(200));
  const auto first = world.Take<reducer::Dispatch>();
  world.AnswerOnce(first[0], false, true);
  const auto second = world.Take<reducer::Dispatch>();
  REQUIRE(second.size() == 1);
  CHECK(second[0].target_ != first[0].target_);
}

TEST_CASE("a host that was paused past the deadline sends nothing")
{
  World world;
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  // The claim's write has been sent; the process stops before its reply.
  world.now_ += absl::Seconds(60);
  world.AnswerPlatform();
  world.Run(absl::Seconds(2));
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.run_ == core::RunState::No);
}

TEST_CASE("a call's home hears that it was withdrawn and that it runs")
{
  World world;
  // Every claim has another host as its home.
  world.state_.liveHosts_ = { { "h2", "d1" } };
  world.Send(reducer::RequestArrived{ world.MakeCall("late") });
  const auto late = world.Take<reducer::RequestClaim>();
  REQUIRE(late.size() == 1);
  world.now_ += absl::Seconds(60);
  world.Send(reducer::Tick{});
  REQUIRE(world.Take<reducer::Refuse>().size() == 1);
  const auto withdrawn = world.Take<reducer::ReportOutcome>();
  REQUIRE(withdrawn.size() == 1);
  CHECK(withdrawn[0].host_ == "h2");
  CHECK(withdrawn[0].report_.attempt_ == late[0].claim_.attempt_);
  CHECK(withdrawn[0].report_.outcome_ == claims::AttemptOutcome::Withdrawn);
  // The home could not record it in time; this host tries too.
  world.Send(reducer::OutcomeReportAnswered{
    withdrawn[0].id_, withdrawn[0].report_, true, false });
  CHECK(claims::UsageOf(world.state_.claims_).unrecorded_ == 1);
}

TEST_CASE("a call that runs is told to the home of now as well")
{
  World world;
  auto call = world.MakeCall("k");
  call.deadline_ = world.now_ + absl::Minutes(1);
  world.Send(reducer::RequestArrived{ call });
  world.Run(absl::Milliseconds(200));
  REQUIRE(world.Take<reducer::Dispatch>().size() == 1);
  // Since the claim was granted its home has moved to this host.
  world.state_.requests_.at(call.id_).claimHome_ = "h0";
  world.Run(absl::Seconds(6));
  const auto said = world.Take<reducer::SendClaimHeartbeat>();
  REQUIRE_FALSE(said.empty());
  CHECK(said[0].host_ == "h0");
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Seconds(1));
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::InProgress);
}

TEST_CASE("without the platform a call is refused soon and did not run")
{
  World world;
  world.platform_.down_ = true;
  world.Send(reducer::RequestArrived{ world.MakeCall("k") });
  world.Run(absl::Seconds(3));
  CHECK(world.Take<reducer::Dispatch>().empty());
  const auto refused = world.Take<reducer::Refuse>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].error_.kind_ == core::ErrorKind::PlatformUnavailable);
  CHECK(refused[0].error_.run_ == core::RunState::No);
}

namespace {

// Random events; every request has to get exactly one final answer, and a
// call that must not run twice at most one sending that may have arrived.
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
      Act();
      world_.Run(absl::Milliseconds(10));
      Collect();
    }
    world_.platform_.down_ = false;
    for (const auto* name : { "e1", "e2", "s1", "s2" }) {
      world_.Report(name);
    }
    world_.Run(absl::Seconds(40));
    Collect();
    for (const auto& [id, finals] : finals_) {
      INFO("request " << id);
      REQUIRE(finals == 1);
    }
    REQUIRE(world_.state_.requests_.empty());
  }

private:
  std::uint64_t Pick(std::uint64_t aCount) { return random_() % aCount; }

  void Act()
  {
    switch (Pick(12)) {
      case 10:
        Unfollow();
        return;
      case 11:
        AnswerAsked();
        return;
      case 0:
      case 1:
        Arrive(world_.MakeCompletion());
        return;
      case 2:
      case 3:
        Arrive(world_.MakeCall(absl::StrCat("k", Pick(20))));
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
        EndSome();
        return;
    }
  }

  // Hosts that come and go change what this host follows.
  void Unfollow()
  {
    for (auto& [name, target] : world_.state_.targets_) {
      target.followed_ = Pick(3) != 0;
    }
  }

  // Some questions for load are never answered.
  void AnswerAsked()
  {
    for (const auto& asked : asked_) {
      for (const auto& target : asked.targets_) {
        if (Pick(2) == 0) {
          world_.Report(target, Pick(4) == 0);
        }
      }
      if (Pick(4) != 0) {
        world_.Send(reducer::LoadsCollected{ asked.id_, asked.attempt_ });
      }
    }
    asked_.clear();
  }

  void Arrive(const reducer::NewRequest& aRequest)
  {
    finals_[aRequest.id_] = 0;
    keys_[aRequest.id_] = aRequest.idempotencyKey_;
    world_.Send(reducer::RequestArrived{ aRequest });
  }

  void EndSome()
  {
    if (open_.empty()) {
      return;
    }
    const auto at = static_cast<std::ptrdiff_t>(Pick(open_.size()));
    const reducer::Dispatch dispatch = open_[static_cast<std::size_t>(at)];
    open_.erase(open_.begin() + at);
    if (dispatch.sendOnce_) {
      const bool neverSent = Pick(4) == 0;
      if (neverSent) {
        --sendings_[keys_[dispatch.id_]];
      }
      world_.AnswerOnce(dispatch, !neverSent && Pick(3) != 0, neverSent);
      return;
    }
    const auto result =
      reducer::kAttemptResults[Pick(reducer::kAttemptResults.size())].value_;
    const bool current =
      world_.state_.requests_.count(dispatch.id_) > 0 &&
      world_.state_.requests_.at(dispatch.id_).attempt_ == dispatch.attempt_;
    world_.End(dispatch, result);
    if (current && result == reducer::AttemptResult::Completed) {
      ++finals_[dispatch.id_];
    }
  }

  void Collect()
  {
    for (const auto& dispatch : world_.Take<reducer::Dispatch>()) {
      open_.push_back(dispatch);
      if (dispatch.sendOnce_) {
        REQUIRE(++sendings_[keys_[dispatch.id_]] <= 1);
      }
    }
    for (auto& asked : world_.Take<reducer::QueryLoads>()) {
      asked_.push_back(std::move(asked));
    }
    for (const auto& refused : world_.Take<reducer::Refuse>()) {
      ++finals_[refused.id_];
    }
    for (const auto& answer : world_.Take<reducer::AnswerCall>()) {
      ++finals_[answer.id_];
    }
  }

  World world_;
  std::mt19937_64 random_;
  std::vector<reducer::Dispatch> open_;
  std::vector<reducer::QueryLoads> asked_;
  std::map<reducer::RequestId, int> finals_;
  std::map<reducer::RequestId, std::string> keys_;
  // Sendings that may have arrived, by idempotency key.
  std::map<std::string, int> sendings_;
};

} // namespace

TEST_CASE("random events leave no request without its one answer")
{
  const char* chosen = std::getenv("LYCHEEPLANK_SEED");
  const std::uint64_t first =
    chosen == nullptr ? 1 : std::strtoull(chosen, nullptr, 10);
  for (std::uint64_t seed = first; seed < first + 20; ++seed) {
    INFO("repeat with LYCHEEPLANK_SEED=" << seed << " reducer-test");
    RandomRun(seed).Run(450);
  }
}
