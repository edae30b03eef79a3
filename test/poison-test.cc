#include "lycheeplank/poison.h"

#include <catch2/catch.hpp>

#include "poison-sim.h"

using lycheeplank::test::PoisonSim;
using lycheeplank::test::ScheduleCrashes;
using lycheeplank::test::SeedCount;
using lycheeplank::test::SizeOf;
namespace poison = lycheeplank::poison;

namespace {

// The platform's rule: crashes after which it applies, time that hosts have
// from then on, and sends that it allows.
constexpr std::size_t kFreeCrashes = 5;
constexpr std::size_t kFreeCrashesOfRequest = 3;
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr std::size_t kAllowedSends = 3;
// Time before parts begin to crash targets.
constexpr absl::Duration kQuietTime = absl::Seconds(5);

// Returns the sends of a part, or of a request, that the rule counts.
std::size_t
CountedSends(PoisonSim& aSim,
             std::size_t aPart,
             std::size_t aFreeCrashes = kFreeCrashes)
{
  const auto& crashes = aSim.CrashesOf(aPart);
  if (crashes.size() < aFreeCrashes) {
    return 0;
  }
  const auto from = crashes[aFreeCrashes - 1] + kContact;
  const auto& sends = aSim.BadSends();
  return static_cast<std::size_t>(
    std::count_if(sends.begin(), sends.end(), [&](const auto& aSend) {
      return aSend.part_ == aPart && aSend.at_ > from &&
             !aSim.IsDisturbed(aSend.host_, aSend.at_, kContact);
    }));
}

} // namespace

// Guards against hosts that each see few crashes and together send a part that
// crashes targets without end.
TEST_CASE("all hosts together stop sending a part that crashes targets")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto lost = GENERATE(0.0, 0.2);
  auto options = SizeOf(hosts, hosts);
  options.lostShare_ = lost;
  PoisonSim sim(options);
  sim.SetPoisonShare(0.0);
  sim.RunFor(kQuietTime);
  sim.SetPoisonShare(options.poisonShare_);
  sim.RunFor(absl::Seconds(15));
  INFO(hosts << " hosts, " << lost << " of messages lost, "
             << sim.CrashesOf(0).size() << " crashes");
  REQUIRE(sim.CrashesOf(0).size() >= 2);
  CHECK(CountedSends(sim, 0) <= kAllowedSends);
  CHECK(sim.Wronged() == 0);
  CHECK(sim.BlocksAt(0) == 1);
}

// Guards against hosts that each see few crashes of a request and send its
// caller's new attempts without end.
TEST_CASE("all hosts together stop sending a request that crashes targets")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto lost = GENERATE(0.0, 0.2);
  auto options = SizeOf(hosts, hosts);
  options.poisonShare_ = 0.0;
  options.callerRetries_ = 2;
  options.lostShare_ = lost;
  PoisonSim sim(options);
  sim.RunFor(kQuietTime);
  sim.SetDeadlyShare(0.02);
  sim.RunFor(absl::Seconds(20));
  const auto& crashes = sim.CrashesOf(options.poisonParts_);
  INFO(hosts << " hosts, " << lost << " of messages lost, " << crashes.size()
             << " crashes");
  REQUIRE(crashes.size() >= kFreeCrashesOfRequest);
  CHECK(CountedSends(sim, options.poisonParts_, kFreeCrashesOfRequest) <=
        kAllowedSends);
  CHECK(sim.Wronged() == 0);
  CHECK(sim.Postponed() == 0);
}

namespace {

// Plays three parts that crash targets beside crashes of other causes, frozen,
// restarted and cut-off hosts and a silent target, and checks that all parts
// are found and no other part is blocked.
void
CheckBesideFaults(const PoisonSim::Options& aOptions)
{
  const auto hosts = aOptions.hosts_;
  PoisonSim sim(aOptions);
  sim.SetPoisonShare(0.0);
  sim.SetDeadlyShare(0.0);
  sim.RunFor(kQuietTime);
  sim.SetPoisonShare(aOptions.poisonShare_);
  sim.SetDeadlyShare(aOptions.deadlyShare_);
  ScheduleCrashes(sim,
                  aOptions.targets_,
                  absl::Milliseconds(300),
                  sim.Now() + absl::Seconds(20));
  for (std::size_t i = 0; i < hosts; i += 3) {
    sim.At(sim.Now() + absl::Milliseconds(500 + 40 * (i % 300)), [&sim, i] {
      if (i % 2 == 0) {
        sim.Freeze(i, absl::Milliseconds(1500));
      } else {
        sim.Restart(i);
      }
    });
  }
  sim.At(sim.Now() + absl::Seconds(2),
         [&sim] { sim.CutFromTargets(1, absl::Seconds(2)); });
  sim.At(sim.Now() + absl::Seconds(3),
         [&sim] { sim.Silence(2, absl::Seconds(1)); });
  sim.RunFor(absl::Seconds(20));
  INFO(hosts << " hosts, seed " << aOptions.seed_);
  for (std::size_t part = 0; part < aOptions.poisonParts_; ++part) {
    INFO("part " << part << ", " << sim.CrashesOf(part).size() << " crashes");
    CHECK(CountedSends(sim, part) <= kAllowedSends);
  }
  const auto requests =
    aOptions.deadlyShare_ > 0.0 ? aOptions.deadlyRequests_ : 0;
  for (std::size_t i = 0; i < requests; ++i) {
    const auto request = aOptions.poisonParts_ + i;
    INFO("request " << i << ", " << sim.CrashesOf(request).size()
                    << " crashes");
    CHECK(CountedSends(sim, request, kFreeCrashesOfRequest) <= kAllowedSends);
  }
  CHECK(sim.Wronged() == 0);
}

PoisonSim::Options
ThreePartsAt(std::size_t aHosts, int aSeed)
{
  auto options = SizeOf(aHosts, static_cast<std::uint64_t>(aSeed));
  options.poisonParts_ = 3;
  options.poisonShare_ = 0.08;
  options.lostShare_ = 0.1;
  return options;
}

} // namespace

// Guards against the faults that broke the rule beside a single part: more such
// parts, crashes of other causes, frozen, restarted and cut-off hosts.
TEST_CASE("several parts are found beside other faults")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  for (int seed = 1; seed <= SeedCount(hosts); ++seed) {
    CheckBesideFaults(ThreePartsAt(hosts, seed));
  }
}

// Guards against hosts that recognize one request, but not several beside parts
// that crash targets and other faults, and against blame of sound requests with
// the same parts.
TEST_CASE("several requests are found beside parts and other faults")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 77, 300);
  const auto parts = GENERATE(0.0, 0.04);
  for (int seed = 1; seed <= SeedCount(hosts); ++seed) {
    auto options = ThreePartsAt(hosts, seed);
    options.poisonShare_ = parts;
    options.deadlyShare_ = 0.03;
    options.deadlyRequests_ = 3;
    options.callerRetries_ = 2;
    CheckBesideFaults(options);
  }
}

// Guards against a sound part that is taken for the cause, because it comes
// with several parts that crash targets and hardly ever without them.
TEST_CASE("several parts are found in the company of a rare sound part")
{
  constexpr int kRareRank = 150;
  constexpr int kSeeds = 20;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    auto options = ThreePartsAt(8, seed);
    options.companion_ = kRareRank;
    CheckBesideFaults(options);
  }
}

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

// Records many answers without the parts of these tests.
void
BeginMany(poison::State& aState)
{
  for (int i = 0; i < 500; ++i) {
    poison::RecordBegin(aState, { "other" }, kStart);
  }
}

// A host of two, long after its start, that has lost three requests of both
// hosts with the parts.
poison::State
WithCrashes(const poison::Traits& aParts)
{
  poison::State state;
  state.self_ = "a";
  state.hosts_ = 2;
  state.ticks_ = poison::kAskingTicks;
  BeginMany(state);
  for (std::uint64_t i = 0; i < poison::kMinMoments; ++i) {
    poison::Message message;
    message.sender_ = "b";
    message.losses_.push_back({ { absl::StrCat("t", i), 7 },
                                i,
                                i == 0 ? "a" : "b",
                                aParts,
                                kStart + absl::Seconds(1.0 * i) });
    poison::Receive(state, message, message.losses_.front().at_);
  }
  return state;
}

constexpr absl::Duration kEvaluated = absl::Seconds(3);

} // namespace

TEST_CASE("a block needs all parts that the lost requests have in common")
{
  auto state = WithCrashes({ "x", "y" });
  const auto step = poison::Tick(state, kStart + kEvaluated);
  REQUIRE(step.changes_.size() == 1);
  CHECK(step.changes_.front().block_.traits_ == poison::Traits{ "x", "y" });
  CHECK(poison::FindBlock(state, { "x", "y", "z" }, kStart + kEvaluated));
  CHECK_FALSE(poison::FindBlock(state, { "x", "z" }, kStart + kEvaluated));
}

namespace {

// Records one more crash under a request with these parts, which this host or
// another one has sent, and evaluates it.
void
CrashOnceMore(poison::State& aState,
              const poison::Traits& aParts,
              std::uint64_t aNumber)
{
  const auto at = kStart + kEvaluated + absl::Seconds(1.0 * aNumber);
  poison::Message message;
  message.sender_ = "b";
  message.losses_.push_back({ { absl::StrCat("more", aNumber), 7 },
                              100 + aNumber,
                              aNumber % 2 == 0 ? "a" : "b",
                              aParts,
                              at });
  poison::Receive(aState, message, at);
  poison::Tick(aState, at + poison::kSettleTime);
}

std::vector<poison::Traits>
BlockedParts(const poison::State& aState)
{
  std::vector<poison::Traits> parts;
  for (const auto& block : aState.blocks_) {
    parts.push_back(block.traits_);
  }
  std::sort(parts.begin(), parts.end());
  return parts;
}

} // namespace

TEST_CASE("crashes without one of the parts narrow a block")
{
  auto state = WithCrashes({ "x", "y" });
  poison::RecordBegin(state, { "z" }, kStart - absl::Seconds(5));
  poison::Tick(state, kStart + kEvaluated);
  CrashOnceMore(state, { "x", "z" }, 1);
  CrashOnceMore(state, { "x", "z" }, 2);
  CHECK(BlockedParts(state) == std::vector<poison::Traits>{ { "x" } });
}

TEST_CASE("a part is blocked alone if too many others would be the causes")
{
  auto state = WithCrashes({ "x", "y" });
  poison::Tick(state, kStart + kEvaluated);
  CrashOnceMore(state, { "u", "x" }, 1);
  CrashOnceMore(state, { "v", "x" }, 2);
  CHECK(BlockedParts(state) == std::vector<poison::Traits>{ { "x", "y" } });
  CrashOnceMore(state, { "w", "x" }, 3);
  CHECK(BlockedParts(state) == std::vector<poison::Traits>{ { "x" } });
}

// Guards against a sound part that is blocked because several parts that crash
// targets come with it, and that no answer can clear then.
TEST_CASE("a part isn't blocked alone while few others may be the causes")
{
  auto state = WithCrashes({ "x", "y" });
  poison::Tick(state, kStart + kEvaluated);
  for (std::uint64_t i = 1; i <= poison::kMinMoments; ++i) {
    CrashOnceMore(state, { "x", "z" }, i);
  }
  const std::vector<poison::Traits> both{ { "x", "y" }, { "x", "z" } };
  REQUIRE(BlockedParts(state) == both);
  const auto now = kStart + absl::Seconds(10);
  CHECK_FALSE(poison::FindBlock(state, { "x" }, now));
  poison::RecordBegin(state, { "x" }, now);
  poison::Tick(state, now);
  const std::vector<poison::Traits> causes{ { "y" }, { "z" } };
  CHECK(BlockedParts(state) == causes);
}

namespace {

// Tells a host of the loss of a request of another host.
void
LoseAt(poison::State& aState, absl::Time aAt, const poison::Traits& aTraits)
{
  const auto second = absl::ToUnixSeconds(aAt);
  poison::Message message;
  message.sender_ = "b";
  message.losses_.push_back({ { absl::StrCat("t", second), 7 },
                              static_cast<std::uint64_t>(second),
                              "b",
                              aTraits,
                              aAt });
  poison::Receive(aState, message, aAt);
}

} // namespace

// Guards against attempts at a lost request that crash more targets while the
// evidence spreads, against several hosts that try it at once, and against
// delays of a request that an answer has cleared.
TEST_CASE("attempts at a lost request wait, and are tried at longer intervals")
{
  const poison::Traits traits{ poison::RequestTrait("x") };
  poison::State state;
  state.self_ = "a";
  state.hosts_ = 2;
  LoseAt(state, kStart, traits);
  auto delay = poison::SendDelay(state, traits, false, kStart);
  CHECK(delay.time_ >= poison::kEvaluationTime);
  CHECK_FALSE(delay.isBackoff_);
  CHECK(poison::SendDelay(state, traits, true, kStart).time_ ==
        absl::ZeroDuration());
  CHECK(poison::SendDelay(state, { poison::RequestTrait("y") }, false, kStart)
          .time_ == absl::ZeroDuration());
  auto last = absl::ZeroDuration();
  for (int i = 1; i < 8; ++i) {
    const auto at = kStart + absl::Seconds(i);
    LoseAt(state, at, traits);
    delay = poison::SendDelay(state, traits, true, at);
    CHECK(delay.isBackoff_ == (i >= 2));
    CHECK(delay.time_ >= last);
    CHECK(delay.time_ <= 2 * poison::kMaxBackoff);
    last = delay.time_;
  }
  const auto tried = kStart + absl::Minutes(2);
  REQUIRE(poison::SendDelay(state, traits, false, tried).time_ <=
          absl::ZeroDuration());
  poison::State other = state;
  const auto message = poison::RecordSend(other, traits, tried);
  REQUIRE(message);
  poison::Receive(state, *message, tried);
  CHECK(poison::SendDelay(state, traits, false, tried).time_ == last);
  poison::RecordBegin(state, traits, tried);
  CHECK(poison::SendDelay(state, traits, false, tried).time_ ==
        absl::ZeroDuration());
}

// Guards against equal requests that are refused for up to a minute after an
// outage of a second, because copies that were sent before the first loss are
// lost one after the other.
TEST_CASE("losses of copies that were under way don't prolong the wait")
{
  const poison::Traits traits{ poison::RequestTrait("x") };
  poison::State state;
  state.self_ = "a";
  state.hosts_ = 2;
  absl::Time at;
  for (int i = 0; i < 8; ++i) {
    at = kStart + i * absl::Milliseconds(150);
    poison::RecordLoss(state, { absl::StrCat("t", i), 7 }, i, traits, at);
  }
  const auto first = poison::SendDelay(state, traits, false, at);
  CHECK(first.isBackoff_);
  CHECK(first.time_ >= poison::kMinBackoff);
  CHECK(first.time_ <= 2 * poison::kMinBackoff);
  // Each loss of an attempt after the wait doubles it.
  auto wait = first.time_;
  for (int i = 8; i < 11; ++i) {
    at += wait;
    poison::RecordSend(state, traits, at);
    poison::RecordLoss(state, { absl::StrCat("t", i), 7 }, i, traits, at);
    const auto next = poison::SendDelay(state, traits, false, at);
    CHECK(absl::FDivDuration(next.time_, wait) == Approx(2.0));
    wait = next.time_;
  }
}

TEST_CASE("crashes prove nothing while many sound requests are lost")
{
  const auto lost = GENERATE(0, 500);
  auto state = WithCrashes({ "x" });
  for (int i = 0; i < lost; ++i) {
    poison::RecordLoss(state, { "busy", i }, 1000 + i, { "other" }, kStart);
  }
  poison::Tick(state, kStart + kEvaluated);
  CHECK(state.blocks_.size() == (lost == 0 ? 1 : 0));
}

// Guards against a frequent part that is taken for one with which no answer has
// ever begun, because the host that judges hasn't seen the answers before.
TEST_CASE("hosts are told of answers with a suspected part before its crashes")
{
  poison::State state;
  state.self_ = "a";
  state.hosts_ = 2;
  poison::RecordBegin(state, { "x" }, kStart);
  for (int i = 1; i <= 2; ++i) {
    poison::Message message;
    message.sender_ = "b";
    message.losses_.push_back(
      { { "t", i }, 7, "b", { "x" }, kStart + i * kEvaluated });
    poison::Receive(state, message, message.losses_.front().at_);
  }
  const auto step = poison::Tick(state, kStart + 3 * kEvaluated);
  REQUIRE(step.toAll_);
  REQUIRE(step.toAll_->begins_.size() == 1);
  CHECK(step.toAll_->begins_.front().trait_ == "x");
}

// Guards against blocks that end at hosts which know better and are told again
// and again by a host which doesn't.
TEST_CASE("a host that tells a refuted block is told of the answer")
{
  auto state = WithCrashes({ "x" });
  poison::Tick(state, kStart + kEvaluated);
  poison::State other;
  other.self_ = "b";
  other.hosts_ = 2;
  poison::RecordBegin(other, { "x" }, kStart + absl::Seconds(2.5));
  poison::Message message;
  message.sender_ = "a";
  message.blocks_ = state.blocks_;
  const auto now = kStart + kEvaluated + absl::Seconds(1);
  const auto step = poison::Receive(other, message, now);
  CHECK(step.changes_.empty());
  CHECK(other.blocks_.empty());
  REQUIRE(step.reply_);
  poison::Receive(state, *step.reply_, now);
  CHECK(state.blocks_.empty());
}

TEST_CASE("crashes at one moment, of one request or at one host don't block")
{
  const auto kind = GENERATE(0, 1, 2);
  poison::State state;
  state.self_ = "a";
  state.hosts_ = 2;
  state.ticks_ = poison::kAskingTicks;
  for (std::uint64_t i = 0; i < 10; ++i) {
    poison::Message message;
    message.sender_ = "b";
    message.losses_.push_back(
      { { absl::StrCat("t", i), 7 },
        kind == 1 ? 1 : i,
        kind == 2 || i % 2 == 0 ? "a" : "b",
        { "x" },
        kStart + (kind == 0 ? 5.0 : 300.0) * i * absl::Milliseconds(1) });
    poison::Receive(state, message, message.losses_.front().at_);
  }
  poison::Tick(state, kStart + absl::Seconds(10));
  CHECK(state.blocks_.empty());
}

TEST_CASE("a target that still answers hasn't crashed")
{
  auto state = WithCrashes({ "x" });
  poison::RecordBytes(state, "t1", 7, kStart + absl::Milliseconds(1100));
  poison::Tick(state, kStart + kEvaluated);
  CHECK(state.blocks_.empty());
}

TEST_CASE("a block ends some time after the last crash")
{
  auto state = WithCrashes({ "x" });
  poison::Tick(state, kStart + kEvaluated);
  REQUIRE(state.blocks_.size() == 1);
  const auto last = state.blocks_.front().lastCrashAt_;
  poison::Tick(state, last + poison::kBlockTime);
  CHECK(poison::FindBlock(state, { "x" }, last + poison::kBlockTime));
  const auto step =
    poison::Tick(state, last + poison::kBlockTime + absl::Seconds(1));
  CHECK(state.blocks_.empty());
  REQUIRE(step.changes_.size() == 1);
  CHECK(step.changes_.front().change_ == poison::Change::Ended);
}

TEST_CASE("memory for evidence is bounded")
{
  poison::State state;
  state.self_ = "a";
  for (std::uint64_t i = 0; i < 20000; ++i) {
    const poison::Traits parts{ absl::StrCat("p", i) };
    poison::RecordLoss(
      state, { absl::StrCat("t", i % 500), 7 }, i, parts, kStart);
    poison::RecordBegin(state, parts, kStart - absl::Seconds(1));
  }
  CHECK(state.crashes_.size() <= poison::kMaxCrashes);
  CHECK(state.newLosses_.size() <=
        poison::kMaxCrashes * poison::kMaxLossesPerCrash);
  for (const auto& [kind, begins] : state.begins_) {
    CHECK(begins.newer_.size() + begins.older_.size() <=
          2 * poison::kMaxSoundTraits + 2);
  }
  CHECK(state.suspects_.size() <= poison::kMaxSuspects);
}

TEST_CASE("messages survive encoding, and other texts are no messages")
{
  poison::Message message;
  message.sender_ = "a";
  message.asksForBlocks_ = true;
  message.losses_.push_back({ { "t", 7 }, 5, "a", { "x", "y" }, kStart });
  message.begins_.push_back({ "x", kStart });
  message.sightings_.push_back({ { "t", 7 }, kStart });
  message.blocks_.push_back({ { "x" }, 3, kStart, kStart });
  message.trials_.push_back({ "x", kStart });
  const auto now = kStart + absl::Seconds(2);
  const auto text = poison::WriteMessage(message, now);
  const auto read = poison::ReadMessage(text, now + absl::Milliseconds(5));
  REQUIRE(read);
  CHECK(read->asksForBlocks_);
  REQUIRE(read->losses_.size() == 1);
  CHECK(read->losses_.front().start_ == poison::Start{ "t", 7 });
  CHECK(read->losses_.front().host_ == "a");
  CHECK(read->losses_.front().at_ == kStart + absl::Milliseconds(5));
  CHECK(read->begins_.front().trait_ == "x");
  CHECK(read->sightings_.front().start_.target_ == "t");
  CHECK(read->blocks_.front().crashes_ == 3);
  REQUIRE(read->trials_.size() == 1);
  CHECK(read->trials_.front().trait_ == "x");
  for (std::size_t i = 0; i < text.size(); ++i) {
    CHECK_FALSE(poison::ReadMessage(text.substr(0, i), now));
  }
}
