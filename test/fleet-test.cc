#include "lycheeplank/fleet.h"

#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace fleet = lycheeplank::fleet;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
const fleet::EngineSpeed kSpeed;

void
AddTarget(fleet::Members& aMembers,
          const std::string& aId,
          const std::string& aDataCentre = "a",
          std::uint64_t aWeights = 1)
{
  fleet::Target target;
  target.id_ = aId;
  target.service_ = "s";
  target.dataCentre_ = aDataCentre;
  target.slots_ = 64;
  target.weights_["m"] = aWeights;
  fleet::UpdateTarget(aMembers, target, { 0, 1 }, kNow);
}

fleet::Members
MakeMembers(int aCount)
{
  fleet::Members members;
  for (int i = 0; i < aCount; ++i) {
    AddTarget(members, "t" + std::to_string(i));
  }
  return members;
}

fleet::RequestSpec
MakeQuestion()
{
  fleet::RequestSpec question;
  question.service_ = "s";
  question.dataCentre_ = "a";
  question.model_ = "m";
  question.costs_ = { { 1, absl::ZeroDuration(), 3000, 9000 },
                      { 2, absl::ZeroDuration(), 12000, 0 } };
  question.heldTokens_ = 12000;
  question.memoryTokens_ = 94000;
  return question;
}

fleet::CallSize
MakeSize()
{
  return { 3000, 12000, false };
}

} // namespace

TEST_CASE("without targets nothing is chosen")
{
  fleet::Members members;
  CHECK(fleet::ChooseTarget(members, MakeQuestion(), kSpeed, kNow).id_.empty());
}

TEST_CASE("a leaving target gets no requests")
{
  auto members = MakeMembers(2);
  auto leaving = members.at("t0").target_;
  leaving.state_ = fleet::TargetState::Leaving;
  fleet::UpdateTarget(members, leaving, { 0, 2 }, kNow);
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    auto question = MakeQuestion();
    question.seed_ = seed;
    CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "t1");
  }
}

TEST_CASE("old news of a target doesn't undo newer ones")
{
  auto members = MakeMembers(1);
  auto target = members.at("t0").target_;
  target.state_ = fleet::TargetState::Leaving;
  fleet::UpdateTarget(members, target, { 0, 5 }, kNow);
  target.state_ = fleet::TargetState::Ready;
  fleet::UpdateTarget(members, target, { 0, 4 }, kNow);
  CHECK(members.at("t0").target_.state_ == fleet::TargetState::Leaving);
}

TEST_CASE("a new start under an old name loses what was known of it")
{
  auto members = MakeMembers(1);
  members.at("t0").failureShare_ = 0.9;
  auto target = members.at("t0").target_;
  target.bornMs_ = 77;
  fleet::UpdateTarget(members, target, { 0, 2 }, kNow);
  CHECK(members.at("t0").failureShare_ == 0.0);
}

TEST_CASE("a vanished entry is believed until its time")
{
  auto members = MakeMembers(2);
  CHECK(fleet::ExpireTarget(members, "t0", kNow + absl::Seconds(2)));
  CHECK(fleet::RemoveExpired(members, kNow).empty());
  CHECK(fleet::ChooseTarget(members, MakeQuestion(), kSpeed, kNow).id_ == "t1");
  AddTarget(members, "t0");
  CHECK(members.at("t0").expiresAt_ == absl::InfiniteFuture());
  fleet::ExpireTarget(members, "t0", kNow);
  CHECK(fleet::RemoveExpired(members, kNow).size() == 1);
}

TEST_CASE("a target that fails in a row is put aside and probed by one call")
{
  auto members = MakeMembers(2);
  auto& bad = members.at("t0");
  bool aside = false;
  for (std::uint32_t i = 0; i < fleet::kQuarantineFailures; ++i) {
    fleet::RecordCallStart(bad, MakeSize(), kNow);
    aside =
      fleet::RecordCallEnd(bad, MakeSize(), fleet::CallResult::Failed, kNow);
  }
  CHECK(aside);
  CHECK(fleet::ChooseTarget(members, MakeQuestion(), kSpeed, kNow).id_ == "t1");
  const auto later = kNow + 2 * fleet::kMinQuarantine;
  auto question = MakeQuestion();
  const std::vector<std::string> tried{ "t1" };
  question.tried_ = &tried;
  CHECK(fleet::ChooseTarget(members, question, kSpeed, later).id_ == "t0");
  fleet::RecordCallStart(bad, MakeSize(), later);
  CHECK(bad.probing_);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, later).lastResort_);
  fleet::RecordCallEnd(bad, MakeSize(), fleet::CallResult::Answered, later);
  CHECK_FALSE(
    fleet::ChooseTarget(members, question, kSpeed, later).lastResort_);
}

// The pattern: a third of the targets crash and start again under other names
// at the same addresses, while their old entries stay for some heartbeats.
TEST_CASE("a target that was replaced or can't be reached is left at once")
{
  for (const auto result :
       { fleet::CallResult::Replaced, fleet::CallResult::Unreachable }) {
    auto members = MakeMembers(2);
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
    CHECK(fleet::RecordCallEnd(members.at("t0"), MakeSize(), result, kNow));
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      auto question = MakeQuestion();
      question.seed_ = seed;
      CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "t1");
    }
  }
  auto members = MakeMembers(1);
  auto& member = members.at("t0");
  fleet::RecordCallStart(member, MakeSize(), kNow);
  fleet::RecordCallEnd(member, MakeSize(), fleet::CallResult::Replaced, kNow);
  const auto later = kNow + 2 * fleet::kMaxQuarantine - absl::Seconds(1);
  CHECK(
    fleet::ChooseTarget(members, MakeQuestion(), kSpeed, later).lastResort_);
}

TEST_CASE("old weights are avoided, then left out")
{
  fleet::Members members;
  AddTarget(members, "old", "a", 1);
  AddTarget(members, "new", "a", 2);
  auto question = MakeQuestion();
  auto& outdatedFor = question.costs_[0].outdatedFor_;
  question.oldWeightsLimit_ = absl::Seconds(6);
  // At first the old one still has the prompt.
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "old");
  outdatedFor = absl::Seconds(2);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "new");
  const std::vector<std::string> tried{ "new" };
  question.tried_ = &tried;
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "old");
  outdatedFor = absl::Seconds(7);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_.empty());
}

TEST_CASE("a target with old weights gets no request that would begin too late")
{
  fleet::Members members;
  AddTarget(members, "old", "a", 1);
  auto question = MakeQuestion();
  question.costs_[0].outdatedFor_ = absl::Milliseconds(5500);
  question.oldWeightsLimit_ = absl::Seconds(6);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "old");
  // About a second of prompts waits there.
  fleet::RecordCallStart(members.at("old"), { 60000, 60000, false }, kNow);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_.empty());
  question.costs_[0].outdatedFor_ = absl::Seconds(1);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "old");
}

TEST_CASE("a target nearby wins unless it makes the request wait longer")
{
  fleet::Members members;
  AddTarget(members, "near", "a");
  AddTarget(members, "far", "b");
  auto question = MakeQuestion();
  question.bytes_ = 20000;
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "near");
  for (int i = 0; i < 6; ++i) {
    fleet::RecordCallStart(members.at("near"), MakeSize(), kNow);
  }
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "far");
}

TEST_CASE("a target elsewhere that has memory goes before a full one nearby")
{
  fleet::Members members;
  AddTarget(members, "near", "a");
  AddTarget(members, "far", "b");
  members.at("near").heldTokens_ = 85000;
  auto question = MakeQuestion();
  question.bytes_ = 30000;
  const auto choice = fleet::ChooseTarget(members, question, kSpeed, kNow);
  CHECK(choice.id_ == "far");
  CHECK_FALSE(choice.memoryFull_);
}

TEST_CASE("what other hosts have under way counts, until it is old")
{
  auto members = MakeMembers(2);
  const fleet::PeerLoad load{ fleet::IdHash("t0"), 5, 0, 30000, 90000 };
  fleet::SetPeerLoads(members, "h", { load }, kNow);
  auto question = MakeQuestion();
  const std::vector<std::string> tried{ "t1" };
  question.tried_ = &tried;
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).memoryFull_);
  const auto later = kNow + 2 * fleet::kMaxPeerLoadAge;
  CHECK_FALSE(
    fleet::ChooseTarget(members, question, kSpeed, later).memoryFull_);
  fleet::SetPeerLoads(members, "h", {}, kNow);
  CHECK_FALSE(fleet::ChooseTarget(members, question, kSpeed, kNow).memoryFull_);
}

TEST_CASE("urgent requests don't wait for memory or behind others")
{
  auto members = MakeMembers(1);
  for (int i = 0; i < 8; ++i) {
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
  }
  auto question = MakeQuestion();
  const auto other = fleet::ChooseTarget(members, question, kSpeed, kNow);
  question.isUrgent_ = true;
  const auto urgent = fleet::ChooseTarget(members, question, kSpeed, kNow);
  CHECK(other.memoryFull_);
  CHECK_FALSE(urgent.memoryFull_);
  CHECK(urgent.waitSeconds_ < other.waitSeconds_);
}

// The pattern: hosts of one data centre place long prompts on the same targets
// at the same time. Told of each other, they spread them.
TEST_CASE("hosts that tell each other their loads don't fill one target")
{
  constexpr int kTargets = 5;
  constexpr int kHosts = 3;
  for (const bool told : { false, true }) {
    double worst = 0.0;
    constexpr int kSeeds = 50;
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      std::vector<fleet::Members> hosts(kHosts, MakeMembers(kTargets));
      std::map<std::string, std::uint64_t> held;
      for (int i = 0; i < 30; ++i) {
        const auto host = random() % kHosts;
        auto question = MakeQuestion();
        question.seed_ = random();
        const auto choice =
          fleet::ChooseTarget(hosts[host], question, kSpeed, kNow);
        fleet::RecordCallStart(hosts[host].at(choice.id_), MakeSize(), kNow);
        held[choice.id_] += MakeSize().heldTokens_;
        for (int other = 0; told && other < kHosts; ++other) {
          std::vector<fleet::PeerLoad> loads;
          for (const auto& [id, member] : hosts[host]) {
            loads.push_back({ member.idHash_,
                              member.inFlight_,
                              member.urgentTokens_,
                              member.otherTokens_,
                              member.heldTokens_ });
          }
          if (static_cast<std::size_t>(other) != host) {
            fleet::SetPeerLoads(
              hosts[other], std::to_string(host), loads, kNow);
          }
        }
      }
      std::uint64_t most = 0;
      for (const auto& [id, tokens] : held) {
        most = std::max(most, tokens);
      }
      worst += static_cast<double>(most) / kSeeds;
    }
    INFO("told " << told << ": fullest target holds " << worst);
    // 30 prompts of 12,000 tokens on five targets are 72,000 each.
    CHECK((worst < 78000) == told);
  }
}

TEST_CASE("the account of sent calls returns to nothing")
{
  auto members = MakeMembers(1);
  auto& member = members.at("t0");
  fleet::RecordCallStart(member, MakeSize(), kNow);
  fleet::RecordFirstByte(member, MakeSize(), absl::Seconds(1), 0.1);
  CHECK(member.otherTokens_ == 0);
  CHECK(member.slowness_ > 1.0);
  fleet::RecordCallEnd(member, MakeSize(), fleet::CallResult::Answered, kNow);
  CHECK(member.heldTokens_ == 0);
  CHECK(member.inFlight_ == 0);
}

// The pattern: a burst of calls at few targets, each of which refuses more
// connections than it allows.
TEST_CASE("a host keeps to its share of a target's connections")
{
  auto members = MakeMembers(2);
  auto question = MakeQuestion();
  question.maxCalls_ = 3;
  for (int i = 0; i < 6; ++i) {
    const auto choice = fleet::ChooseTarget(members, question, kSpeed, kNow);
    REQUIRE_FALSE(choice.id_.empty());
    fleet::RecordCallStart(members.at(choice.id_), MakeSize(), kNow);
  }
  CHECK(members.at("t0").inFlight_ == 3);
  CHECK(members.at("t1").inFlight_ == 3);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_.empty());
  fleet::RecordCallEnd(
    members.at("t1"), MakeSize(), fleet::CallResult::Answered, kNow);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).id_ == "t1");
}

// The pattern: one host of a data centre sums up what the others have told it.
TEST_CASE("sums of loads hold own calls and those of named hosts")
{
  auto members = MakeMembers(3);
  const auto name = members.at("t1").idHash_;
  fleet::RecordCallStart(members.at("t1"), MakeSize(), kNow);
  fleet::SetPeerLoads(members, "h1", { { name, 2, 10, 20, 30 } }, kNow);
  fleet::SetPeerLoads(members, "h2", { { name, 1, 1, 1, 1 } }, kNow);
  const auto loads = fleet::SumLoads(members, { "h1" }, kNow);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].inFlight_ == 3);
  CHECK(loads[0].urgentTokens_ == 10);
  CHECK(loads[0].otherTokens_ == 3020);
  CHECK(loads[0].heldTokens_ == 12030);
  const auto later = kNow + fleet::kMaxPeerLoadAge;
  CHECK(fleet::SumLoads(members, { "h1" }, later)[0].inFlight_ == 1);
}

TEST_CASE("hosts with the same old news don't send to the same target")
{
  // Each of 50 hosts sends six requests before it hears of the others'.
  for (const bool samples : { false, true }) {
    std::map<std::string, int> counts;
    std::mt19937_64 random(7);
    auto members = MakeMembers(27);
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
    for (auto& [id, member] : members) {
      member.slowness_ = id == "t3" ? 0.8 : 1.0;
    }
    for (int request = 0; request < 300; ++request) {
      auto question = MakeQuestion();
      question.useSampling_ = samples;
      question.seed_ = random();
      ++counts[fleet::ChooseTarget(members, question, kSpeed, kNow).id_];
    }
    int most = 0;
    for (const auto& [id, count] : counts) {
      most = std::max(most, count);
    }
    // Evenly spread it would be 11; a few times that is short for a queue.
    CHECK((most <= 4 * 300 / 27) == samples);
  }
}

TEST_CASE("requests for a part that is being computed meet at one target")
{
  const auto members = MakeMembers(27);
  std::map<std::string, int> counts;
  std::mt19937_64 random(8);
  for (int request = 0; request < 100; ++request) {
    auto question = MakeQuestion();
    question.useSampling_ = true;
    question.seed_ = random();
    question.affinity_ = "p";
    question.costs_.resize(1);
    question.costs_[0].readTokens_ = 0;
    question.costs_[0].uncachedTokens_ = 8000;
    ++counts[fleet::ChooseTarget(members, question, kSpeed, kNow).id_];
  }
  CHECK(counts.size() == 1);
}

TEST_CASE(
  "a target that two hosts can't reach is left by all, and tried by few")
{
  auto members = MakeMembers(3);
  const auto name = members.at("t1").idHash_;
  CHECK(fleet::ApplyDownReports(members, { { name, 1 } }, 1, kNow).empty());
  // A late second one isn't about the same moment.
  const auto late = kNow + fleet::kDownReportWindow + absl::Milliseconds(1);
  CHECK(fleet::ApplyDownReports(members, { { name, 1 } }, 1, late).empty());
  const auto aside = fleet::ApplyDownReports(members, { { name, 1 } }, 1, late);
  CHECK(aside == std::vector<std::string>{ "t1" });
  CHECK(fleet::IsQuarantined(members.at("t1"), late));

  // 300 hosts hear of it: within the time in which one finds out and tells the
  // others, few have it back.
  int back = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    auto others = MakeMembers(3);
    fleet::ApplyDownReports(others, { { name, 2 } }, seed * 7919, kNow);
    const auto& member = others.at("t1");
    CHECK(fleet::IsQuarantined(member, kNow + fleet::kDownQuarantine));
    const auto soon = kNow + fleet::kDownQuarantine + absl::Milliseconds(450);
    back += fleet::IsQuarantined(member, soon) ? 0 : 1;
  }
  CHECK(back > 0);
  CHECK(back < 60);
}

TEST_CASE("a target that answers this host isn't down because others say so")
{
  auto members = MakeMembers(1);
  auto& member = members.at("t0");
  fleet::RecordCallStart(member, MakeSize(), kNow);
  fleet::RecordCallEnd(member, MakeSize(), fleet::CallResult::Answered, kNow);
  CHECK(fleet::ApplyDownReports(
          members, { { member.idHash_, 5 } }, 1, kNow + absl::Milliseconds(9))
          .empty());
}

namespace {

// What is known of one target after an entry of the first era and one of the
// second.
fleet::Target
AfterReturn(const fleet::Target& aBefore, const fleet::Target& aCopy)
{
  fleet::Members members;
  fleet::UpdateTarget(members, aBefore, { 1, 90 }, kNow);
  fleet::UpdateTarget(members, aCopy, { 2, 10 }, kNow);
  return members.at(aBefore.id_).target_;
}

fleet::Target
MakeStart(std::int64_t aBornMs,
          fleet::TargetState aState,
          std::uint64_t aWeights)
{
  fleet::Target target;
  target.id_ = "t";
  target.bornMs_ = aBornMs;
  target.state_ = aState;
  target.weights_["m"] = aWeights;
  return target;
}

} // namespace

TEST_CASE("a copy of the service doesn't bring a leaving target back")
{
  using State = fleet::TargetState;
  const auto known = MakeStart(5, State::Leaving, 3);
  auto after = AfterReturn(known, MakeStart(5, State::Ready, 2));
  CHECK(after.state_ == State::Leaving);
  CHECK(after.weights_.at("m") == 3);
  // An earlier start is gone, a later one is news.
  after = AfterReturn(known, MakeStart(4, State::Ready, 2));
  CHECK(after.bornMs_ == 5);
  CHECK(after.state_ == State::Leaving);
  after = AfterReturn(known, MakeStart(6, State::Ready, 2));
  CHECK(after.state_ == State::Ready);
  CHECK(after.weights_.at("m") == 2);
}

TEST_CASE("within an era the later entry of a target holds")
{
  fleet::Members members;
  fleet::UpdateTarget(
    members, MakeStart(5, fleet::TargetState::Leaving, 3), { 2, 10 }, kNow);
  fleet::UpdateTarget(
    members, MakeStart(5, fleet::TargetState::Ready, 3), { 2, 11 }, kNow);
  CHECK(members.at("t").target_.state_ == fleet::TargetState::Ready);
}

namespace {

// Nine hosts have a queue each when an empty target comes back; what one of
// them sends is known to the others after a tenth of a second. Returns the most
// tokens that lie at the target, as a share of its memory.
double
FillOfReturningTarget(unsigned aSeed, bool aExpectsOthers)
{
  constexpr std::size_t kHosts = 9;
  constexpr absl::Duration kLook = absl::Milliseconds(25);
  constexpr absl::Duration kTold = absl::Milliseconds(100);
  std::mt19937 random(aSeed);
  std::uniform_int_distribution<std::uint64_t> size(4000, 20000);
  auto question = MakeQuestion();
  question.hostsWaiting_ = aExpectsOthers ? kHosts : 0;
  std::vector<fleet::Members> hosts(kHosts, MakeMembers(1));
  std::vector<std::pair<absl::Time, std::uint64_t>> sent;
  std::uint64_t held = 0;
  for (auto now = kNow; now < kNow + absl::Seconds(1); now += kLook) {
    for (auto& host : hosts) {
      auto& target = host.at("t0");
      std::uint64_t known = 0;
      for (const auto& [at, tokens] : sent) {
        known += now - at > kTold ? tokens : 0;
      }
      target.peers_["others"] = { 1, 0, 0, known, now };
      for (;;) {
        question.heldTokens_ = size(random);
        const auto choice = fleet::ChooseTarget(host, question, kSpeed, now);
        if (choice.memoryFull_) {
          break;
        }
        fleet::RecordCallStart(
          target, { 3000, question.heldTokens_, false }, now);
        held += question.heldTokens_;
        sent.emplace_back(now, question.heldTokens_);
      }
    }
  }
  return static_cast<double>(held) /
         static_cast<double>(question.memoryTokens_);
}

} // namespace

TEST_CASE("hosts whose requests wait don't all fill a target that comes back")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CHECK(FillOfReturningTarget(seed, false) > 3.0);
    CHECK(FillOfReturningTarget(seed, true) < 2.0);
  }
}

TEST_CASE("what was sent a while ago tells nothing of unheard calls")
{
  auto members = MakeMembers(1);
  auto question = MakeQuestion();
  question.hostsWaiting_ = 9;
  fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
  CHECK(fleet::ChooseTarget(members, question, kSpeed, kNow).memoryFull_);
  const auto later = kNow + fleet::kPeerReportDelay + absl::Milliseconds(1);
  CHECK_FALSE(
    fleet::ChooseTarget(members, question, kSpeed, later).memoryFull_);
  question.hostsWaiting_ = 0;
  CHECK_FALSE(fleet::ChooseTarget(members, question, kSpeed, kNow).memoryFull_);
}

namespace {

// Many hosts send prompts to as many targets for some seconds and hear of each
// other's loads with a delay. Returns the share of calls that were sent to a
// target beyond its memory, which pushes runs out.
double
OverfullShare(unsigned aSeed, absl::Duration aDelay, bool aLeavesRoom)
{
  constexpr std::size_t kHosts = 60;
  constexpr std::size_t kTargets = 20;
  constexpr absl::Duration kRun = absl::Milliseconds(1500);
  constexpr double kCallsPerSecond = 90.0;
  std::mt19937 random(aSeed);
  std::exponential_distribution<> gap(kCallsPerSecond);
  std::uniform_int_distribution<std::uint64_t> size(4000, 20000);
  struct Sent
  {
    absl::Time at_;
    std::size_t target_ = 0;
    std::uint64_t tokens_ = 0;
  };
  std::vector<Sent> sent;
  std::vector<fleet::SendRate> outflows(kHosts);
  const auto heldAt = [&](std::size_t aTarget, absl::Time aNow, auto aKnows) {
    std::uint64_t held = 0;
    for (const auto& call : sent) {
      held += call.target_ == aTarget && aNow - call.at_ < kRun && aKnows(call)
                ? call.tokens_
                : 0;
    }
    return held;
  };
  int calls = 0;
  int over = 0;
  auto members = MakeMembers(kTargets);
  auto question = MakeQuestion();
  // As in large fleets.
  question.useSampling_ = true;
  auto now = kNow;
  for (; now < kNow + absl::Seconds(8); now += absl::Seconds(gap(random))) {
    const auto host = random() % kHosts;
    question.heldTokens_ = size(random);
    question.seed_ = random();
    question.unreportedTokens_ =
      aLeavesRoom ? fleet::EstimateUnreportedTokens(
                      outflows[host], kHosts, kTargets, aDelay, now)
                  : 0.0;
    std::size_t index = 0;
    for (auto& [id, member] : members) {
      member.heldTokens_ = heldAt(index++, now, [&](const Sent& aCall) {
        return now - aCall.at_ > aDelay;
      });
    }
    const auto choice = fleet::ChooseTarget(members, question, kSpeed, now);
    if (choice.memoryFull_) {
      continue;
    }
    const auto target = static_cast<std::size_t>(
      std::distance(members.begin(), members.find(choice.id_)));
    fleet::RecordSend(outflows[host], question.heldTokens_, now);
    ++calls;
    over += heldAt(target, now, [](const Sent&) { return true; }) +
                  question.heldTokens_ >
                question.memoryTokens_
              ? 1
              : 0;
    sent.push_back({ now, target, question.heldTokens_ });
  }
  return static_cast<double>(over) / calls;
}

} // namespace

TEST_CASE("room is left for what other hosts have sent and not told yet")
{
  // What lies above the mean by more than a standard deviation.
  constexpr double kAboveDeviation = 0.16;
  constexpr unsigned kSeeds = 5;
  double trusting = 0.0;
  double careful = 0.0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto delay = absl::Milliseconds(300);
    trusting += OverfullShare(seed, delay, false) / kSeeds;
    careful += OverfullShare(seed, delay, true) / kSeeds;
  }
  INFO("trusting " << trusting << ", careful " << careful);
  CHECK(trusting > kAboveDeviation);
  CHECK(careful < kAboveDeviation);
}

TEST_CASE("a host alone, or one that sends nothing, leaves no room")
{
  fleet::SendRate outflow;
  const auto delay = absl::Milliseconds(300);
  CHECK(fleet::EstimateUnreportedTokens(outflow, 9, 9, delay, kNow) == 0.0);
  for (int i = 0; i < 20; ++i) {
    fleet::RecordSend(outflow, 12000, kNow + i * absl::Milliseconds(100));
  }
  const auto now = kNow + absl::Seconds(2);
  const double nine =
    fleet::EstimateUnreportedTokens(outflow, 9, 9, delay, now);
  CHECK(nine > 0.0);
  CHECK(fleet::EstimateUnreportedTokens(outflow, 1, 9, delay, now) == 0.0);
  CHECK(fleet::EstimateUnreportedTokens(outflow, 9, 9, delay / 3, now) < nine);
  CHECK(fleet::EstimateUnreportedTokens(
          outflow, 9, 9, delay, now + absl::Seconds(20)) < 0.05 * nine);
}
