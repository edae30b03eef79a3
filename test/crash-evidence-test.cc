#include "lycheeplank/crash_evidence.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace crash = lycheeplank::crash_evidence;
namespace fleet = lycheeplank::fleet;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

fleet::Target
MakeTarget(const std::string& aId, const std::string& aDataCentre = "a")
{
  fleet::Target target;
  target.id_ = aId;
  target.dataCentre_ = aDataCentre;
  target.bornMs_ = 7;
  return target;
}

absl::Time
After(int aMilliseconds)
{
  return kNow + absl::Milliseconds(aMilliseconds);
}

// Hosts with running streams at 60 targets in three data centres, in virtual
// time. Each stream sends bytes every 20 ms on average.
class CrashSim
{
public:
  CrashSim(std::size_t aHosts, std::uint64_t aSeed)
    : random_(aSeed)
    , hosts_(aHosts)
  {
    for (auto& host : hosts_) {
      for (std::size_t i = 0; i < kTargets; ++i) {
        const auto target = MakeTarget(IdOf(i), "dc" + std::to_string(i % 3));
        fleet::UpdateTarget(host.members_, target, { 0, 1 }, kNow);
      }
    }
    // 20 streams at each target.
    for (std::size_t i = 0; i < kTargets; ++i) {
      for (int stream = 0; stream < 20; ++stream) {
        auto& host = hosts_[random_() % hosts_.size()];
        host.streams_.push_back(i);
      }
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      for (const auto target : hosts_[host].streams_) {
        SendBytes(host, target);
      }
      SendRequests(host);
    }
  }

  static std::string IdOf(std::size_t aTarget)
  {
    return "t" + std::to_string(aTarget);
  }

  // Resets the calls at a target and refuses connections there.
  void Crash(std::size_t aTarget)
  {
    crashed_.insert(aTarget);
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      for (const auto target : hosts_[host].streams_) {
        if (target == aTarget) {
          Lose(host, target);
        }
      }
    }
  }

  // Cuts a host off from the targets of which aIsCut is true: its calls there
  // are lost, and its connections are refused by a middlebox.
  void CutOff(std::size_t aHost, const std::function<bool(std::size_t)>& aIsCut)
  {
    hosts_[aHost].isCut_ = aIsCut;
    for (const auto target : hosts_[aHost].streams_) {
      if (aIsCut(target)) {
        Lose(aHost, target);
      }
    }
  }

  void RunUntil(absl::Time aEnd)
  {
    while (!events_.empty() && events_.begin()->first <= aEnd) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = aEnd;
  }

  // Returns the number of hosts that have set a target aside.
  std::size_t CountAside(std::size_t aTarget) const
  {
    return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& aHost) {
        return fleet::IsQuarantined(aHost.members_.at(IdOf(aTarget)), now_);
      }));
  }

  std::size_t notices_ = 0;
  static constexpr std::size_t kTargets = 60;

private:
  struct SimHost
  {
    crash::State state_;
    fleet::Members members_;
    std::vector<std::size_t> streams_;
    std::function<bool(std::size_t)> isCut_ = [](std::size_t) { return false; };
  };

  void At(absl::Time aTime, std::function<void()> aAction)
  {
    events_.emplace(aTime, std::move(aAction));
  }

  absl::Duration Delay(double aMost)
  {
    return absl::Milliseconds(
      std::uniform_real_distribution<>(0.5, aMost)(random_));
  }

  bool Reaches(std::size_t aHost, std::size_t aTarget) const
  {
    return crashed_.count(aTarget) == 0 && !hosts_[aHost].isCut_(aTarget);
  }

  // A host reads bytes up to 5 ms after they were sent, so also just after the
  // target has crashed or the host was cut off.
  void SendBytes(std::size_t aHost, std::size_t aTarget)
  {
    const auto pause =
      absl::Milliseconds(std::exponential_distribution<>(1.0 / 20)(random_));
    At(now_ + pause, [this, aHost, aTarget] {
      if (Reaches(aHost, aTarget)) {
        At(now_ + Delay(5.0), [this, aHost, aTarget] { Read(aHost, aTarget); });
        SendBytes(aHost, aTarget);
      }
    });
  }

  // A host sends a request to a random target 15 times a second.
  void SendRequests(std::size_t aHost)
  {
    const auto pause =
      absl::Seconds(std::exponential_distribution<>(15.0)(random_));
    At(now_ + pause, [this, aHost] {
      const std::size_t target = random_() % kTargets;
      if (!Reaches(aHost, target)) {
        Lose(aHost, target);
      }
      SendRequests(aHost);
    });
  }

  void Lose(std::size_t aHost, std::size_t aTarget)
  {
    At(now_ + Delay(5.0), [this, aHost, aTarget] {
      auto& host = hosts_[aHost];
      const auto& target = host.members_.at(IdOf(aTarget)).target_;
      if (crash::RecordLoss(host.state_, target, now_) &&
          !Reaches(aHost, aTarget)) {
        At(now_ + Delay(5.0), [this, aHost, aTarget] {
          auto& checked = hosts_[aHost];
          crash::RecordRefusal(
            checked.state_, checked.members_.at(IdOf(aTarget)).target_, now_);
        });
      }
    });
  }

  void Read(std::size_t aHost, std::size_t aTarget)
  {
    auto& host = hosts_[aHost];
    auto& from = host.members_.at(IdOf(aTarget));
    crash::NoteAlive(from, now_);
    for (const auto& id : crash::RecordBytes(host.state_, from.target_, now_)) {
      if (now_ < host.members_.at(id).noticeUntil_) {
        continue;
      }
      crash::SetAside(host.members_.at(id), random_(), now_);
      ++notices_;
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != aHost) {
          At(now_ + Delay(5.0), [this, to, id] {
            auto& other = hosts_[to];
            crash::ApplyNotice(
              other.state_, other.members_.at(id), random_(), now_);
          });
        }
      }
    }
  }

  std::mt19937_64 random_;
  absl::Time now_ = kNow;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<SimHost> hosts_;
  std::set<std::size_t> crashed_;
};

} // namespace

TEST_CASE("a refused connection counts once the host has heard another target")
{
  crash::State state;
  const auto target = MakeTarget("t");
  CHECK(crash::RecordLoss(state, target, kNow));
  CHECK_FALSE(crash::RecordLoss(state, target, After(200)));
  // One lost call, or two at different moments, prove nothing.
  CHECK(crash::RecordBytes(state, MakeTarget("u"), After(300)).empty());
  crash::RecordRefusal(state, target, After(300));
  CHECK(crash::RecordBytes(state, MakeTarget("u"), After(305)).empty());
  CHECK(crash::RecordBytes(state, MakeTarget("v", "b"), After(320)).empty());
  CHECK(crash::RecordBytes(state, MakeTarget("u"), After(320)) ==
        std::vector<std::string>{ "t" });
  CHECK(crash::RecordBytes(state, MakeTarget("u"), After(330)).empty());
}

TEST_CASE("calls lost at the same moment count, unless the target goes on")
{
  crash::State state;
  crash::RecordLoss(state, MakeTarget("t"), kNow);
  crash::RecordLoss(state, MakeTarget("t"), After(5));
  crash::RecordLoss(state, MakeTarget("s"), After(5));
  crash::RecordLoss(state, MakeTarget("s"), After(6));
  crash::RecordBytes(state, MakeTarget("s"), After(10));
  CHECK(crash::RecordBytes(state, MakeTarget("u"), After(40)) ==
        std::vector<std::string>{ "t" });
}

// Guards against a quarantine of a sound target by a wrong notice.
TEST_CASE("a target that sends to this host is not set aside by a notice")
{
  crash::State state;
  fleet::Member member;
  member.target_ = MakeTarget("t");
  crash::NoteAlive(member, kNow);
  CHECK_FALSE(crash::ApplyNotice(state, member, 1, After(200)));
  CHECK(crash::ApplyNotice(state, member, 1, After(400)));
  CHECK(fleet::IsQuarantined(member, After(500)));
  crash::NoteAlive(member, After(600));
  CHECK_FALSE(fleet::IsQuarantined(member, After(600)));
  // A quarantine for failures at this host stays.
  member.quarantinedUntil_ = After(9000);
  CHECK(crash::ApplyNotice(state, member, 1, After(1000)));
  crash::NoteAlive(member, After(1100));
  CHECK(fleet::IsQuarantined(member, After(1100)));
}

// Guards against a host that goes on with a target because of an answer from
// before the crash.
TEST_CASE("a lost call and another host's notice set a target aside")
{
  crash::State state;
  fleet::Member member;
  member.target_ = MakeTarget("t");
  crash::NoteAlive(member, kNow);
  crash::RecordLoss(state, member.target_, After(10));
  CHECK(crash::ApplyNotice(state, member, 1, After(20)));
  CHECK(fleet::IsQuarantined(member, After(30)));
}

// Guards against a notice that sets a sound target aside because its earlier
// process has lost a call.
TEST_CASE("a call lost by an earlier start doesn't support a notice")
{
  crash::State state;
  fleet::Member member;
  member.target_ = MakeTarget("t");
  crash::RecordLoss(state, member.target_, kNow);
  ++member.target_.bornMs_;
  crash::NoteAlive(member, After(10));
  CHECK_FALSE(crash::ApplyNotice(state, member, 1, After(20)));
  CHECK_FALSE(fleet::IsQuarantined(member, After(30)));
}

// Guards against hosts that find out one by one, each with requests of its own.
// The load: 60 targets with 20 streams each, and 15 requests a second of each
// host; 20 targets crash at once.
TEST_CASE("all hosts set crashed targets aside soon after the first finds out")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 78, 300);
  CrashSim sim(hosts, hosts);
  sim.RunUntil(After(500));
  for (std::size_t i = 0; i < 20; ++i) {
    sim.Crash(i);
  }
  sim.RunUntil(After(600));
  INFO(hosts << " hosts");
  // Few hosts tell of a target before they hear it from another.
  CHECK(sim.notices_ <= 240);
  for (std::size_t i = 0; i < CrashSim::kTargets; ++i) {
    INFO("target " << i);
    CHECK(sim.CountAside(i) >= (i < 20 ? hosts * 9 / 10 : 0));
    CHECK(sim.CountAside(i) <= (i < 20 ? hosts : 0));
  }
}

// Guards against a host that takes sound targets out of use at all others.
TEST_CASE("a host that is cut off sets no targets aside at the others")
{
  const auto hosts = GENERATE(std::size_t{ 8 }, 78, 300);
  const bool isCutFromAll = GENERATE(true, false);
  CrashSim sim(hosts, hosts);
  sim.RunUntil(After(500));
  sim.CutOff(3, [isCutFromAll](std::size_t aTarget) {
    return isCutFromAll || aTarget % 3 == 0;
  });
  sim.RunUntil(After(3000));
  CHECK(sim.notices_ == 0);
  for (std::size_t i = 0; i < CrashSim::kTargets; ++i) {
    CHECK(sim.CountAside(i) == 0);
  }
}
