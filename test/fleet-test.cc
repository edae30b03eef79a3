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
MakeRequest()
{
  fleet::RequestSpec request;
  request.service_ = "s";
  request.dataCentre_ = "a";
  request.model_ = "m";
  request.costs_ = { { 1, absl::ZeroDuration(), 3000, 9000 },
                     { 2, absl::ZeroDuration(), 12000, 0 } };
  request.heldTokens_ = 12000;
  request.memoryTokens_ = 94000;
  return request;
}

fleet::CallSize
MakeSize()
{
  return { 3000, 12000, false };
}

} // namespace

TEST_CASE("no target is chosen from an empty fleet")
{
  fleet::Members members;
  CHECK(fleet::ChooseTarget(members, MakeRequest(), kSpeed, kNow).id_.empty());
}

TEST_CASE("a leaving target gets no requests")
{
  auto members = MakeMembers(2);
  auto leaving = members.at("t0").target_;
  leaving.state_ = fleet::TargetState::Leaving;
  fleet::UpdateTarget(members, leaving, { 0, 2 }, kNow);
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    auto request = MakeRequest();
    request.seed_ = seed;
    CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "t1");
  }
}

TEST_CASE("an older entry of a target does not replace a newer one")
{
  auto members = MakeMembers(1);
  auto target = members.at("t0").target_;
  target.state_ = fleet::TargetState::Leaving;
  fleet::UpdateTarget(members, target, { 0, 5 }, kNow);
  target.state_ = fleet::TargetState::Ready;
  fleet::UpdateTarget(members, target, { 0, 4 }, kNow);
  CHECK(members.at("t0").target_.state_ == fleet::TargetState::Leaving);
}

TEST_CASE("a new start under the same id resets the state of a target")
{
  auto members = MakeMembers(1);
  members.at("t0").failureShare_ = 0.9;
  auto target = members.at("t0").target_;
  target.bornMs_ = 77;
  fleet::UpdateTarget(members, target, { 0, 2 }, kNow);
  CHECK(members.at("t0").failureShare_ == 0.0);
}

TEST_CASE("a target whose entry disappears is used until it expires")
{
  auto members = MakeMembers(2);
  CHECK(fleet::ExpireTarget(members, "t0", kNow + absl::Seconds(2)));
  CHECK(fleet::RemoveExpired(members, kNow).empty());
  CHECK(fleet::ChooseTarget(members, MakeRequest(), kSpeed, kNow).id_ == "t1");
  AddTarget(members, "t0");
  CHECK(members.at("t0").expiresAt_ == absl::InfiniteFuture());
  fleet::ExpireTarget(members, "t0", kNow);
  CHECK(fleet::RemoveExpired(members, kNow).size() == 1);
}

// Guards against requests to an evacuated data centre when nothing else is
// left: as a last resort, by a permit, or because it is the nearest.
TEST_CASE("targets of an evacuated data centre get no requests")
{
  fleet::Members members;
  AddTarget(members, "near", "a");
  AddTarget(members, "far", "b");
  fleet::Evacuations evacuations{ { "a", absl::InfiniteFuture() } };
  auto request = MakeRequest();
  request.evacuations_ = &evacuations;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    request.seed_ = seed;
    CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "far");
  }
  request.onlyTarget_ = "near";
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_.empty());
  CHECK_FALSE(
    fleet::ChooseTarget(members, request, kSpeed, kNow).allEvacuated_);
  request.onlyTarget_ = "";
  members.at("far").closedUntil_ = absl::InfiniteFuture();
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_.empty());
  members.at("near").quarantinedUntil_ = absl::InfiniteFuture();
  evacuations["b"] = absl::InfiniteFuture();
  const auto choice = fleet::ChooseTarget(members, request, kSpeed, kNow);
  CHECK(choice.id_.empty());
  CHECK(choice.allEvacuated_);
}

// Guards against an evacuation that ends before it is removed, so that its end
// is not noticed.
TEST_CASE("an evacuation holds until it is removed after its end")
{
  auto members = MakeMembers(1);
  fleet::Evacuations evacuations{ { "a", kNow + absl::Seconds(2) } };
  CHECK(fleet::RemoveEndedEvacuations(evacuations, kNow).empty());
  CHECK(fleet::IsEvacuated(evacuations, members.at("t0")));
  const auto ended =
    fleet::RemoveEndedEvacuations(evacuations, kNow + absl::Seconds(2));
  CHECK(ended == std::vector<std::string>{ "a" });
  CHECK_FALSE(fleet::IsEvacuated(evacuations, members.at("t0")));
}

// Guards against requests to a removed target in the time until the next
// removal of expired ones.
TEST_CASE("an expired target isn't chosen before it is removed")
{
  auto members = MakeMembers(1);
  fleet::ExpireTarget(members, "t0", kNow + absl::Seconds(2));
  CHECK(fleet::ChooseTarget(
          members, MakeRequest(), kSpeed, kNow + absl::Milliseconds(1999))
          .id_ == "t0");
  CHECK(
    fleet::ChooseTarget(members, MakeRequest(), kSpeed, kNow + absl::Seconds(2))
      .id_.empty());
}

TEST_CASE("consecutive failures quarantine a target, then one call probes it")
{
  auto members = MakeMembers(2);
  auto& failing = members.at("t0");
  bool quarantined = false;
  for (std::uint32_t i = 0; i < fleet::kQuarantineFailures; ++i) {
    fleet::RecordCallStart(failing, MakeSize(), kNow);
    quarantined = fleet::RecordCallEnd(
      failing, MakeSize(), fleet::CallResult::Failed, kNow);
  }
  CHECK(quarantined);
  CHECK(fleet::ChooseTarget(members, MakeRequest(), kSpeed, kNow).id_ == "t1");
  const auto later = kNow + 2 * fleet::kMinQuarantine;
  auto request = MakeRequest();
  const std::vector<std::string> tried{ "t1" };
  request.tried_ = &tried;
  CHECK(fleet::ChooseTarget(members, request, kSpeed, later).id_ == "t0");
  fleet::RecordCallStart(failing, MakeSize(), later);
  CHECK(failing.probing_);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, later).lastResort_);
  fleet::RecordCallEnd(failing, MakeSize(), fleet::CallResult::Answered, later);
  CHECK_FALSE(fleet::ChooseTarget(members, request, kSpeed, later).lastResort_);
}

// Guards against sends to crashed targets: a third of the targets crash and
// start again under other ids at the same addresses, while the old entries stay
// for some heartbeats.
TEST_CASE("a replaced or unreachable target is quarantined at once")
{
  for (const auto result :
       { fleet::CallResult::Replaced, fleet::CallResult::Unreachable }) {
    auto members = MakeMembers(2);
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
    CHECK(fleet::RecordCallEnd(members.at("t0"), MakeSize(), result, kNow));
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      auto request = MakeRequest();
      request.seed_ = seed;
      CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "t1");
    }
  }
  auto members = MakeMembers(1);
  auto& member = members.at("t0");
  fleet::RecordCallStart(member, MakeSize(), kNow);
  fleet::RecordCallEnd(member, MakeSize(), fleet::CallResult::Replaced, kNow);
  const auto later = kNow + 2 * fleet::kMaxQuarantine - absl::Seconds(1);
  CHECK(fleet::ChooseTarget(members, MakeRequest(), kSpeed, later).lastResort_);
}

TEST_CASE("targets with old weights are avoided, then excluded")
{
  fleet::Members members;
  AddTarget(members, "old", "a", 1);
  AddTarget(members, "new", "a", 2);
  auto request = MakeRequest();
  auto& outdatedFor = request.costs_[0].outdatedFor_;
  request.oldWeightsLimit_ = absl::Seconds(6);
  // The target with old weights still has the prompt cached.
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "old");
  outdatedFor = absl::Seconds(2);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "new");
  const std::vector<std::string> tried{ "new" };
  request.tried_ = &tried;
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "old");
  outdatedFor = absl::Seconds(7);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_.empty());
}

TEST_CASE("a target with old weights gets no request that would begin too late")
{
  fleet::Members members;
  AddTarget(members, "old", "a", 1);
  auto request = MakeRequest();
  request.costs_[0].outdatedFor_ = absl::Milliseconds(5500);
  request.oldWeightsLimit_ = absl::Seconds(6);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "old");
  // About a second of prompts waits at the target.
  fleet::RecordCallStart(members.at("old"), { 60000, 60000, false }, kNow);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_.empty());
  request.costs_[0].outdatedFor_ = absl::Seconds(1);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "old");
}

TEST_CASE("a near target is preferred unless the request waits longer there")
{
  fleet::Members members;
  AddTarget(members, "near", "a");
  AddTarget(members, "far", "b");
  auto request = MakeRequest();
  request.bytes_ = 20000;
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "near");
  for (int i = 0; i < 6; ++i) {
    fleet::RecordCallStart(members.at("near"), MakeSize(), kNow);
  }
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "far");
}

TEST_CASE("a far target with free memory is preferred to a full near one")
{
  fleet::Members members;
  AddTarget(members, "near", "a");
  AddTarget(members, "far", "b");
  members.at("near").heldTokens_ = 85000;
  auto request = MakeRequest();
  request.bytes_ = 30000;
  const auto choice = fleet::ChooseTarget(members, request, kSpeed, kNow);
  CHECK(choice.id_ == "far");
  CHECK_FALSE(choice.memoryFull_);
}

TEST_CASE("loads reported by other hosts count until they are too old")
{
  auto members = MakeMembers(2);
  const fleet::PeerLoad load{ fleet::IdHash("t0"), 5, 0, 30000, 90000 };
  fleet::SetPeerLoads(members, "h", { load }, kNow);
  auto request = MakeRequest();
  const std::vector<std::string> tried{ "t1" };
  request.tried_ = &tried;
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).memoryFull_);
  const auto later = kNow + 2 * fleet::kMaxPeerLoadAge;
  CHECK_FALSE(fleet::ChooseTarget(members, request, kSpeed, later).memoryFull_);
  fleet::SetPeerLoads(members, "h", {}, kNow);
  CHECK_FALSE(fleet::ChooseTarget(members, request, kSpeed, kNow).memoryFull_);
}

TEST_CASE("urgent requests don't wait for memory or behind others")
{
  auto members = MakeMembers(1);
  for (int i = 0; i < 8; ++i) {
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
  }
  auto request = MakeRequest();
  const auto other = fleet::ChooseTarget(members, request, kSpeed, kNow);
  request.isUrgent_ = true;
  const auto urgent = fleet::ChooseTarget(members, request, kSpeed, kNow);
  CHECK(other.memoryFull_);
  CHECK_FALSE(urgent.memoryFull_);
  CHECK(urgent.waitSeconds_ < other.waitSeconds_);
}

// Guards against overfilled targets: hosts of one data centre send long prompts
// to the same targets at the same time unless they share their loads.
TEST_CASE("hosts that share their loads do not overfill one target")
{
  constexpr int kTargets = 5;
  constexpr int kHosts = 3;
  for (const bool isShared : { false, true }) {
    double worst = 0.0;
    constexpr int kSeeds = 50;
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      std::vector<fleet::Members> hosts(kHosts, MakeMembers(kTargets));
      std::map<std::string, std::uint64_t> held;
      for (int i = 0; i < 30; ++i) {
        const auto host = random() % kHosts;
        auto request = MakeRequest();
        request.seed_ = random();
        const auto choice =
          fleet::ChooseTarget(hosts[host], request, kSpeed, kNow);
        fleet::RecordCallStart(hosts[host].at(choice.id_), MakeSize(), kNow);
        held[choice.id_] += MakeSize().heldTokens_;
        for (int other = 0; isShared && other < kHosts; ++other) {
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
    INFO("shared " << isShared << ": fullest target holds " << worst);
    // 30 prompts of 12,000 tokens on five targets are 72,000 each.
    CHECK((worst < 78000) == isShared);
  }
}

TEST_CASE("the counts of calls and tokens return to zero")
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

// Guards against estimates that ignore that a target is slow at this moment, or
// that believe an old figure.
TEST_CASE("a reported slowness counts the less the older it is")
{
  auto members = MakeMembers(1);
  auto& member = members.at("t0");
  member.slowness_ = 1.2;
  CHECK(fleet::ExpectedSlowness(member, kNow) == 1.2);
  // Targets that report three figures are estimated by the average alone.
  CHECK(fleet::RecordLoad(member, { 3, 0, 64 }, kNow));
  CHECK(fleet::ExpectedSlowness(member, kNow) == 1.2);
  for (int i = 0; i < 100; ++i) {
    const double slowness = i % 2 == 0 ? 1.0 : 2.0;
    fleet::RecordLoad(member, { 3, 0, 64, slowness }, kNow);
  }
  CHECK(member.usualSlowness_ == Approx(1.5).margin(0.05));
  fleet::RecordLoad(member, { 3, 0, 64, 3.0 }, kNow);
  const auto usual = 1.2 * member.usualSlowness_;
  double before = fleet::ExpectedSlowness(member, kNow);
  CHECK(before == Approx(1.2 * 3.0));
  for (int ms = 50; ms <= 2000; ms += 50) {
    const auto now =
      fleet::ExpectedSlowness(member, kNow + absl::Milliseconds(ms));
    CHECK(now < before);
    CHECK(now > usual);
    before = now;
  }
  CHECK(before == Approx(usual).epsilon(0.01));
  // An older figure doesn't replace a newer one.
  CHECK_FALSE(
    fleet::RecordLoad(member, { 9, 0, 64, 1.0 }, kNow - absl::Milliseconds(1)));
  CHECK(member.load_.running_ == 3);
  const auto waitAt = [&](absl::Time aAt) {
    return fleet::EstimateWait(member, MakeRequest(), kSpeed, aAt).waitSeconds_;
  };
  CHECK(waitAt(kNow) > 1.5 * waitAt(kNow + absl::Seconds(2)));
}

// Guards against a slowness that is counted twice: reported by the target, and
// measured because of it.
TEST_CASE("a reported slowness doesn't change the measured average")
{
  auto members = MakeMembers(1);
  auto& member = members.at("t0");
  for (int i = 0; i < 50; ++i) {
    const double slowness = i % 2 == 0 ? 1.0 : 4.0;
    fleet::RecordLoad(member, { 3, 0, 64, slowness }, kNow);
    fleet::RecordFirstByte(
      member, MakeSize(), absl::Seconds(0.1 * slowness), 0.1, slowness);
  }
  CHECK(member.slowness_ == Approx(1.0));
  CHECK(member.usualSlowness_ == Approx(2.5).margin(0.2));
}

// Guards against refused connections: a burst of calls to few targets, each of
// which refuses connections over its limit.
TEST_CASE("a host does not exceed its share of a target's connections")
{
  auto members = MakeMembers(2);
  auto request = MakeRequest();
  request.maxCalls_ = 3;
  for (int i = 0; i < 6; ++i) {
    const auto choice = fleet::ChooseTarget(members, request, kSpeed, kNow);
    REQUIRE_FALSE(choice.id_.empty());
    fleet::RecordCallStart(members.at(choice.id_), MakeSize(), kNow);
  }
  CHECK(members.at("t0").inFlight_ == 3);
  CHECK(members.at("t1").inFlight_ == 3);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_.empty());
  fleet::RecordCallEnd(
    members.at("t1"), MakeSize(), fleet::CallResult::Answered, kNow);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).id_ == "t1");
}

// Guards the relaying of loads: one host of a data centre sums up the reports
// of the others.
TEST_CASE("summed loads include own calls and those of the given hosts")
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

TEST_CASE("hosts with the same outdated state do not choose the same target")
{
  // Each of 50 hosts sends six requests before it receives the loads of the
  // others.
  for (const bool samples : { false, true }) {
    std::map<std::string, int> counts;
    std::mt19937_64 random(7);
    auto members = MakeMembers(27);
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
    for (auto& [id, member] : members) {
      member.slowness_ = id == "t3" ? 0.8 : 1.0;
    }
    for (int call = 0; call < 300; ++call) {
      auto request = MakeRequest();
      request.useSampling_ = samples;
      request.seed_ = random();
      ++counts[fleet::ChooseTarget(members, request, kSpeed, kNow).id_];
    }
    int most = 0;
    for (const auto& [id, count] : counts) {
      most = std::max(most, count);
    }
    // An even spread gives 11 each; a few times that is a short queue.
    CHECK((most <= 4 * 300 / 27) == samples);
  }
}

TEST_CASE("requests for a part that is being computed go to one target")
{
  const auto members = MakeMembers(27);
  std::map<std::string, int> counts;
  std::mt19937_64 random(8);
  for (int call = 0; call < 100; ++call) {
    auto request = MakeRequest();
    request.useSampling_ = true;
    request.seed_ = random();
    request.affinity_ = "p";
    request.costs_.resize(1);
    request.costs_[0].readTokens_ = 0;
    request.costs_[0].uncachedTokens_ = 8000;
    ++counts[fleet::ChooseTarget(members, request, kSpeed, kNow).id_];
  }
  CHECK(counts.size() == 1);
}

TEST_CASE(
  "two reports quarantine a target at all hosts, and few hosts probe it")
{
  auto members = MakeMembers(3);
  const auto name = members.at("t1").idHash_;
  CHECK(fleet::ApplyDownReports(members, { { name, 1 } }, 1, kNow).empty());
  // A second report after the window does not count with the first.
  const auto late = kNow + fleet::kDownReportWindow + absl::Milliseconds(1);
  CHECK(fleet::ApplyDownReports(members, { { name, 1 } }, 1, late).empty());
  const auto quarantined =
    fleet::ApplyDownReports(members, { { name, 1 } }, 1, late);
  CHECK(quarantined == std::vector<std::string>{ "t1" });
  CHECK(fleet::IsQuarantined(members.at("t1"), late));

  // 300 hosts receive the reports. Few of them use the target again within the
  // time in which one probes it and reports the result.
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

TEST_CASE("reports do not quarantine a target that just answered this host")
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

// Returns the state of a target after an entry of the first era and one of the
// second.
fleet::Target
TargetAfterRestore(const fleet::Target& aBefore, const fleet::Target& aCopy)
{
  fleet::Members members;
  fleet::UpdateTarget(members, aBefore, { 1, 90 }, kNow);
  fleet::UpdateTarget(members, aCopy, { 2, 10 }, kNow);
  return members.at(aBefore.id_).target_;
}

fleet::Target
MakeStart(std::int64_t aStartedMs,
          fleet::TargetState aState,
          std::uint64_t aWeights)
{
  fleet::Target target;
  target.id_ = "t";
  target.bornMs_ = aStartedMs;
  target.state_ = aState;
  target.weights_["m"] = aWeights;
  return target;
}

} // namespace

TEST_CASE("a restored service does not make a leaving target ready again")
{
  using State = fleet::TargetState;
  const auto known = MakeStart(5, State::Leaving, 3);
  auto after = TargetAfterRestore(known, MakeStart(5, State::Ready, 2));
  CHECK(after.state_ == State::Leaving);
  CHECK(after.weights_.at("m") == 3);
  // An earlier start is ignored, a later one is applied.
  after = TargetAfterRestore(known, MakeStart(4, State::Ready, 2));
  CHECK(after.bornMs_ == 5);
  CHECK(after.state_ == State::Leaving);
  after = TargetAfterRestore(known, MakeStart(6, State::Ready, 2));
  CHECK(after.state_ == State::Ready);
  CHECK(after.weights_.at("m") == 2);
}

TEST_CASE("within an era the latest entry of a target applies")
{
  fleet::Members members;
  fleet::UpdateTarget(
    members, MakeStart(5, fleet::TargetState::Leaving, 3), { 2, 10 }, kNow);
  fleet::UpdateTarget(
    members, MakeStart(5, fleet::TargetState::Ready, 3), { 2, 11 }, kNow);
  CHECK(members.at("t").target_.state_ == fleet::TargetState::Ready);
}

namespace {

// Nine hosts have a queue each when an empty target returns; each host's sends
// are known to the others after a tenth of a second. Returns the maximum of the
// tokens at the target as a share of its memory.
double
ReturningTargetUsage(unsigned aSeed, bool aExpectsOthers)
{
  constexpr std::size_t kHosts = 9;
  constexpr absl::Duration kInterval = absl::Milliseconds(25);
  constexpr absl::Duration kReportDelay = absl::Milliseconds(100);
  std::mt19937 random(aSeed);
  std::uniform_int_distribution<std::uint64_t> size(4000, 20000);
  auto request = MakeRequest();
  request.hostsWaiting_ = aExpectsOthers ? kHosts : 0;
  std::vector<fleet::Members> hosts(kHosts, MakeMembers(1));
  std::vector<std::pair<absl::Time, std::uint64_t>> sent;
  std::uint64_t held = 0;
  for (auto now = kNow; now < kNow + absl::Seconds(1); now += kInterval) {
    for (auto& host : hosts) {
      auto& target = host.at("t0");
      std::uint64_t known = 0;
      for (const auto& [at, tokens] : sent) {
        known += now - at > kReportDelay ? tokens : 0;
      }
      target.peers_["others"] = { 1, 0, 0, known, now };
      for (;;) {
        request.heldTokens_ = size(random);
        const auto choice = fleet::ChooseTarget(host, request, kSpeed, now);
        if (choice.memoryFull_) {
          break;
        }
        fleet::RecordCallStart(
          target, { 3000, request.heldTokens_, false }, now);
        held += request.heldTokens_;
        sent.emplace_back(now, request.heldTokens_);
      }
    }
  }
  return static_cast<double>(held) / static_cast<double>(request.memoryTokens_);
}

} // namespace

TEST_CASE("hosts with waiting requests do not overfill a returning target")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CHECK(ReturningTargetUsage(seed, false) > 3.0);
    CHECK(ReturningTargetUsage(seed, true) < 2.0);
  }
}

TEST_CASE("earlier sends do not count towards the estimate of similar sends")
{
  auto members = MakeMembers(1);
  auto request = MakeRequest();
  request.hostsWaiting_ = 9;
  fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
  CHECK(fleet::ChooseTarget(members, request, kSpeed, kNow).memoryFull_);
  const auto later = kNow + fleet::kPeerReportDelay + absl::Milliseconds(1);
  CHECK_FALSE(fleet::ChooseTarget(members, request, kSpeed, later).memoryFull_);
  request.hostsWaiting_ = 0;
  CHECK_FALSE(fleet::ChooseTarget(members, request, kSpeed, kNow).memoryFull_);
}

namespace {

// Sixty hosts send prompts to twenty targets for some seconds and receive each
// other's loads with a delay. Returns the share of calls that exceed the memory
// of their target, which evicts runs.
double
OverfullShare(unsigned aSeed, absl::Duration aDelay, bool aReservesMemory)
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
  const auto heldAt = [&](std::size_t aTarget, absl::Time aNow, auto aIsKnown) {
    std::uint64_t held = 0;
    for (const auto& call : sent) {
      held +=
        call.target_ == aTarget && aNow - call.at_ < kRun && aIsKnown(call)
          ? call.tokens_
          : 0;
    }
    return held;
  };
  int calls = 0;
  int over = 0;
  auto members = MakeMembers(kTargets);
  auto request = MakeRequest();
  // Large fleets use sampling.
  request.useSampling_ = true;
  auto now = kNow;
  for (; now < kNow + absl::Seconds(8); now += absl::Seconds(gap(random))) {
    const auto host = random() % kHosts;
    request.heldTokens_ = size(random);
    request.seed_ = random();
    request.unreportedTokens_ =
      aReservesMemory ? fleet::EstimateUnreportedTokens(
                          outflows[host], kHosts, kTargets, aDelay, now)
                      : 0.0;
    std::size_t index = 0;
    for (auto& [id, member] : members) {
      member.heldTokens_ = heldAt(index++, now, [&](const Sent& aCall) {
        return now - aCall.at_ > aDelay;
      });
    }
    const auto choice = fleet::ChooseTarget(members, request, kSpeed, now);
    if (choice.memoryFull_) {
      continue;
    }
    const auto target = static_cast<std::size_t>(
      std::distance(members.begin(), members.find(choice.id_)));
    fleet::RecordSend(outflows[host], request.heldTokens_, now);
    ++calls;
    over += heldAt(target, now, [](const Sent&) { return true; }) +
                  request.heldTokens_ >
                request.memoryTokens_
              ? 1
              : 0;
    sent.push_back({ now, target, request.heldTokens_ });
  }
  return static_cast<double>(over) / calls;
}

} // namespace

TEST_CASE("memory is reserved for unreported calls of other hosts")
{
  // Probability of a value more than one standard deviation above the mean.
  constexpr double kAboveDeviation = 0.16;
  constexpr unsigned kSeeds = 5;
  double withoutReserve = 0.0;
  double withReserve = 0.0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto delay = absl::Milliseconds(300);
    withoutReserve += OverfullShare(seed, delay, false) / kSeeds;
    withReserve += OverfullShare(seed, delay, true) / kSeeds;
  }
  INFO("without reserve " << withoutReserve << ", with reserve "
                          << withReserve);
  CHECK(withoutReserve > kAboveDeviation);
  CHECK(withReserve < kAboveDeviation);
}

TEST_CASE("a single host, or one that sends nothing, reserves no memory")
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

// Guards against urgent requests that are sent to a full target and evict each
// other.
TEST_CASE("with priorities, a request waits for memory of requests as urgent")
{
  auto members = MakeMembers(1);
  auto request = MakeRequest();
  request.isUrgent_ = true;
  request.waitsByPriority_ = true;
  const auto isFull = [&] {
    return fleet::ChooseTarget(members, request, kSpeed, kNow).memoryFull_;
  };
  request.heldTokens_ = 2 * request.memoryTokens_;
  CHECK_FALSE(isFull());
  request.heldTokens_ = 12000;
  for (int i = 0; i < 7; ++i) {
    CHECK_FALSE(isFull());
    fleet::RecordCallStart(members.at("t0"), MakeSize(), kNow);
  }
  CHECK(isFull());
  request.yieldingShare_ = 0.3;
  request.heldShare_ = 1.4;
  CHECK_FALSE(isFull());
  request.reservedTokens_ = 30000;
  CHECK(isFull());
  // Other targets have less urgent requests to evict.
  request.heldShare_ = 0.8;
  CHECK_FALSE(isFull());
  request.isUrgent_ = false;
  CHECK(isFull());
  CHECK(fleet::HeldShare(members, "s", 94000, kNow) ==
        Approx(7 * 12000.0 / 94000));
  CHECK(fleet::HeldShare(members, "other", 94000, kNow) == 0.0);
}

// Guards against less urgent requests that take the memory which more urgent
// ones need until room returns, and against a reserve that starves them.
TEST_CASE("less urgent requests leave at most half of the memory")
{
  for (const std::size_t hosts : { 8, 78, 300 }) {
    const auto targets = hosts;
    fleet::PriorityLoads loads;
    // Each host receives a quarter of a target's memory in a second.
    auto now = kNow;
    for (int i = 0; i < 40; ++i) {
      now += absl::Milliseconds(100);
      fleet::RecordArrival(loads, 0, 2350, now);
    }
    const double reserve =
      fleet::EstimateReserve(loads, 1, hosts, targets, now);
    INFO(hosts << " hosts, reserve " << reserve);
    CHECK(reserve > 2350 * 3);
    CHECK(reserve < 2350 * 6);
    CHECK(fleet::EstimateReserve(loads, 0, hosts, targets, now) == 0.0);
    auto members = MakeMembers(1);
    auto request = MakeRequest();
    request.waitsByPriority_ = true;
    request.reservedTokens_ = 100.0 * reserve;
    for (int i = 0; i < 3; ++i) {
      const auto choice = fleet::ChooseTarget(members, request, kSpeed, now);
      CHECK_FALSE(choice.memoryFull_);
      fleet::RecordCallStart(members.at("t0"), MakeSize(), now);
    }
    CHECK(fleet::ChooseTarget(members, request, kSpeed, now).memoryFull_);
  }
}

// Guards against a rate that grows without bound when a slow request is
// recorded with an earlier time than others.
TEST_CASE(
  "arrivals out of order don't raise the rate by more than their tokens")
{
  fleet::PriorityLoads loads;
  fleet::RecordArrival(loads, 0, 1000, kNow);
  fleet::RecordArrival(loads, 0, 1000, kNow - absl::Seconds(10));
  CHECK(fleet::MoreUrgentPerSecond(loads, 1, kNow - absl::Seconds(10)) <=
        1000.0);
}

// Guards against a wrong share of the tokens that a target evicts first.
TEST_CASE("the share of less urgent requests follows the recent sends")
{
  fleet::PriorityLoads loads;
  CHECK(fleet::YieldingShare(loads, 0) == 0.0);
  for (int i = 0; i < 200; ++i) {
    fleet::RecordPrioritySend(loads, 0, 12000);
    for (int j = 0; j < 5; ++j) {
      fleet::RecordPrioritySend(loads, 2, 2400);
    }
  }
  CHECK(fleet::YieldingShare(loads, 0) == Approx(0.5).margin(0.1));
  CHECK(fleet::YieldingShare(loads, 2) == 0.0);
  for (int i = 0; i < 200; ++i) {
    fleet::RecordPrioritySend(loads, 0, 12000);
  }
  CHECK(fleet::YieldingShare(loads, 0) < 0.01);
}

// Guards against an explanation that names another target, or another reason,
// than the decision for a request.
TEST_CASE("an explanation lists all targets with the reasons of the choice")
{
  auto members = MakeMembers(6);
  AddTarget(members, "far", "b");
  fleet::Target other;
  other.id_ = "other";
  other.service_ = "x";
  fleet::UpdateTarget(members, other, { 0, 1 }, kNow);
  auto leaving = members.at("t0").target_;
  leaving.state_ = fleet::TargetState::Leaving;
  fleet::UpdateTarget(members, leaving, { 0, 2 }, kNow);
  members.at("t1").closedUntil_ = kNow + absl::Seconds(1);
  members.at("t2").noPermitUntil_ = kNow + absl::Seconds(1);
  members.at("t3").quarantinedUntil_ = kNow + absl::Seconds(1);
  members.at("t4").weightLoadUntil_ = kNow + absl::Seconds(1);
  members.at("far").inFlight_ = 9;
  AddTarget(members, "evacuated", "c");
  const fleet::Evacuations evacuations{ { "c", absl::InfiniteFuture() } };
  auto request = MakeRequest();
  request.maxCalls_ = 9;
  request.evacuations_ = &evacuations;
  const auto explanation = fleet::ExplainChoice(members, request, kSpeed, kNow);
  std::map<std::string, std::string> reasons;
  for (const auto& candidate : explanation.candidates_) {
    reasons[candidate.id_] = std::string(
      lycheeplank::core::NameOf(fleet::kExclusions, candidate.exclusion_));
  }
  const std::map<std::string, std::string> expected{
    { "evacuated", "evacuated" }, { "far", "connections" },
    { "t0", "not_in_use" },       { "t1", "closed" },
    { "t2", "no_permit" },        { "t3", "quarantined" },
    { "t4", "loading_weights" },  { "t5", "" }
  };
  CHECK(reasons == expected);
  CHECK(explanation.choice_.id_ == "t5");
  CHECK(explanation.candidates_.front().id_ == "t5");
  CHECK(explanation.choice_.backoffEndsAt_ == kNow + absl::Seconds(1));
  CHECK(explanation.choice_.nextPermitTarget_ == "t2");
}

// Guards against candidates whose order contradicts the choice.
TEST_CASE("the first candidate of an explanation is the chosen target")
{
  std::mt19937_64 random(11);
  for (int round = 0; round < 200; ++round) {
    auto members = MakeMembers(8);
    AddTarget(members, "far", "b");
    for (auto& [id, member] : members) {
      member.otherTokens_ = random() % 60000;
      member.heldTokens_ = random() % 90000;
      member.slowness_ = 1.0 + static_cast<double>(random() % 100) / 50.0;
      if (random() % 4 == 0) {
        member.quarantinedUntil_ = kNow + absl::Seconds(1);
      }
    }
    auto request = MakeRequest();
    request.seed_ = random();
    const auto chosen = fleet::ChooseTarget(members, request, kSpeed, kNow);
    const auto explanation =
      fleet::ExplainChoice(members, request, kSpeed, kNow);
    CHECK(explanation.choice_.id_ == chosen.id_);
    if (!chosen.lastResort_) {
      CHECK(explanation.candidates_.front().id_ == chosen.id_);
    }
    CHECK(explanation.candidates_.size() == members.size());
  }
}

// Guards against a target that is set aside right after it started again
// because hosts couldn't reach its earlier process.
TEST_CASE(
  "what hosts say of an earlier process isn't taken for the present one")
{
  auto members = MakeMembers(2);
  const auto earlier = members.at("t0").idHash_;
  auto restarted = members.at("t0").target_;
  restarted.bornMs_ = 1700000000000;
  fleet::UpdateTarget(members, restarted, { 0, 2 }, kNow);
  const auto present = members.at("t0").idHash_;
  const fleet::PeerLoad load{ earlier, 5, 0, 30000, 90000 };
  fleet::SetPeerLoads(members, "h1", { load }, kNow);
  CHECK(fleet::SumLoads(members, { "h1" }, kNow).empty());
  CHECK(fleet::ApplyDownReports(members, { { earlier, 5 } }, 1, kNow).empty());
  CHECK(fleet::ApplyDownReports(members, { { present, 5 } }, 1, kNow) ==
        std::vector<std::string>{ "t0" });
}
