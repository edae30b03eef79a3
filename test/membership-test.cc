#include "lycheeplank/membership.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "membership/wire.h"

namespace core = lycheeplank::core;
namespace membership = lycheeplank::membership;
namespace peer = lycheeplank::peer;
namespace platform = lycheeplank::platform;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1700000000);
constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
constexpr absl::Duration kListLag = absl::Seconds(1);

std::uint64_t
Seed(std::uint64_t aDefault)
{
  const char* text = std::getenv("LYCHEEPLANK_SEED");
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

struct SimHost
{
  std::string name_;
  membership::State state_;
  bool up_ = true;
  bool frozen_ = false;
  bool platformReachable_ = true;
  // Hosts of different groups can't reach each other.
  int group_ = 0;
  bool fetching_ = false;
  std::uint64_t bytes_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t listReads_ = 0;
  std::vector<std::string> changedTargets_;
};

// Simulates hosts on a network with delays, losses and partitions.
class Network
{
public:
  Network(std::size_t aHosts,
          std::uint64_t aSeed,
          membership::Settings aSettings = {})
    : random_(aSeed)
    , settings_(aSettings)
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      const std::string name = "host" + std::to_string(i);
      list_[name] = MakeEntry(name);
      AddHost(name);
    }
  }

  // Adds a host to the network and to the list. aSeeds are the names of its
  // seeds.
  void AddHost(const std::string& aName,
               const std::vector<std::string>& aSeeds = {})
  {
    std::vector<std::string> seeds;
    seeds.reserve(aSeeds.size());
    for (const auto& seed : aSeeds) {
      seeds.push_back(MakeEntry(seed).peerAddress_);
    }
    const platform::Host entry = MakeEntry(aName);
    SetEntry(entry);
    auto host = std::make_unique<SimHost>();
    host->name_ = aName;
    host->state_ = membership::MakeInitialState(
      { aName, entry.peerAddress_, entry.httpAddress_, entry.dataCentre_ },
      settings_,
      now_,
      seeds);
    auto* raw = host.get();
    byAddress_[entry.peerAddress_] = raw;
    hosts_.push_back(std::move(host));
    At(now_ + kTickPeriod * Uniform(), [this, raw] { TickPeriodically(*raw); });
  }

  void SetEntry(const platform::Host& aEntry)
  {
    At(now_ + kListLag, [this, aEntry] {
      list_[aEntry.name_] = aEntry;
      ++listRevision_;
    });
  }

  void RemoveEntry(const std::string& aName)
  {
    At(now_ + kListLag, [this, aName] {
      list_.erase(aName);
      ++listRevision_;
    });
  }

  void Run(absl::Duration aTime)
  {
    RunUntil(now_ + aTime, [] { return false; });
  }

  // Runs until a condition holds, which is checked once per tick period, or
  // until aTime has passed. Returns the time taken.
  absl::Duration RunUntilTrue(absl::Duration aTime,
                              const std::function<bool()>& aCondition)
  {
    const absl::Time from = now_;
    RunUntil(now_ + aTime, aCondition);
    return now_ - from;
  }

  void Handle(SimHost& aHost, decltype(membership::Event::body_) aBody)
  {
    if (!aHost.up_ || aHost.frozen_) {
      return;
    }
    auto effects = membership::Step(aHost.state_, { now_, std::move(aBody) });
    for (auto& effect : effects) {
      absl::visit([&](auto& aEffect) { Perform(aHost, aEffect); }, effect);
    }
  }

  SimHost& At(std::size_t aIndex) { return *hosts_[aIndex]; }
  std::size_t Size() const { return hosts_.size(); }
  absl::Time Now() const { return now_; }

  // Counts the running hosts that meet a condition.
  std::size_t Count(const std::function<bool(const SimHost&)>& aCondition)
  {
    return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& aHost) {
        return aHost->up_ && aCondition(*aHost);
      }));
  }

  double loss_ = 0.0;
  bool platformUp_ = true;
  absl::Duration fetchTime_ = absl::Milliseconds(100);

private:
  static platform::Host MakeEntry(const std::string& aName)
  {
    platform::Host entry;
    entry.name_ = aName;
    entry.role_ = "entry";
    entry.peerAddress_ = Address(aName, 7001);
    entry.httpAddress_ = Address(aName, 8001);
    entry.dataCentre_ = "lagos-west-" + std::to_string(aName.back() % 4);
    return entry;
  }

  struct Scheduled
  {
    absl::Time at_;
    std::uint64_t order_;
    std::function<void()> action_;
    bool operator<(const Scheduled& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  struct Caller
  {
    SimHost* host_ = nullptr;
    std::uint64_t id_ = 0;
  };

  static std::string Address(const std::string& aName, int aPort)
  {
    const int number = std::stoi(aName.substr(4));
    return "10.41." + std::to_string(number / 250) + "." +
           std::to_string(number % 250) + ":" + std::to_string(aPort);
  }

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }

  void At(absl::Time aTime, std::function<void()> aAction)
  {
    queue_.push({ aTime, order_++, std::move(aAction) });
  }

  void RunUntil(absl::Time aEnd, const std::function<bool()>& aCondition)
  {
    absl::Time nextCheck = now_;
    while (!queue_.empty() && queue_.top().at_ <= aEnd) {
      if (queue_.top().at_ >= nextCheck) {
        nextCheck = queue_.top().at_ + kTickPeriod;
        if (aCondition()) {
          return;
        }
      }
      const Scheduled next = queue_.top();
      queue_.pop();
      now_ = next.at_;
      next.action_();
    }
    now_ = aEnd;
  }

  void TickPeriodically(SimHost& aHost)
  {
    Handle(aHost, membership::Tick{});
    At(now_ + kTickPeriod, [this, &aHost] { TickPeriodically(aHost); });
  }

  bool Arrives(const SimHost& aFrom, const SimHost& aTo)
  {
    const bool lost = Uniform() < loss_;
    return !lost && aTo.up_ && aFrom.group_ == aTo.group_;
  }

  absl::Duration Latency() { return absl::Milliseconds(1.0 + 2.0 * Uniform()); }

  void CountBytes(SimHost& aFrom, SimHost* aTo, std::size_t aBytes)
  {
    aFrom.bytes_ += aBytes;
    ++aFrom.messages_;
    if (aTo != nullptr) {
      aTo->bytes_ += aBytes;
      ++aTo->messages_;
    }
  }

  SimHost* Find(const std::string& aAddress)
  {
    const auto found = byAddress_.find(aAddress);
    return found == byAddress_.end() ? nullptr : found->second;
  }

  void Perform(SimHost& aHost, membership::SendProbe& aProbe)
  {
    const auto request = membership::ToProbeRequest(aProbe.message_);
    auto* to = Find(aProbe.address_);
    CountBytes(aHost, to, request.ByteSizeLong());
    const std::uint64_t id = aProbe.id_;
    At(now_ + aProbe.timeout_,
       [this, &aHost, id] { Handle(aHost, membership::ProbeFailed{ id }); });
    if (to == nullptr || !Arrives(aHost, *to)) {
      return;
    }
    const std::uint64_t token = nextToken_++;
    callers_[token] = { &aHost, id };
    At(now_ + Latency(), [this, to, token, request] {
      Handle(*to,
             membership::ProbeReceived{
               token, membership::FromProbeRequest(request) });
    });
  }

  void Perform(SimHost& aHost, membership::AnswerProbe& aAnswer)
  {
    const Caller caller = callers_.at(aAnswer.id_);
    callers_.erase(aAnswer.id_);
    const auto reply = membership::ToProbeReply(aAnswer.message_);
    CountBytes(aHost, caller.host_, reply.ByteSizeLong());
    if (!Arrives(aHost, *caller.host_)) {
      return;
    }
    At(now_ + Latency(), [this, caller, reply] {
      Handle(*caller.host_,
             membership::ProbeAnswered{ caller.id_,
                                        membership::FromProbeReply(reply) });
    });
  }

  void Perform(SimHost& aHost, membership::RequestIndirectProbe& aAsk)
  {
    peer::ProbeIndirectRequest request;
    request.set_suspect(aAsk.suspect_);
    request.set_suspect_address(aAsk.suspectAddress_);
    request.set_timeout_ms(absl::ToInt64Milliseconds(aAsk.timeout_));
    auto* via = Find(aAsk.viaAddress_);
    CountBytes(aHost, via, request.ByteSizeLong());
    const std::uint64_t id = aAsk.id_;
    if (via == nullptr || !Arrives(aHost, *via)) {
      At(now_ + aAsk.timeout_, [this, &aHost, id] {
        Handle(aHost, membership::IndirectProbeAnswered{ id, false });
      });
      return;
    }
    const std::uint64_t token = nextToken_++;
    callers_[token] = { &aHost, id };
    const membership::IndirectProbeRequested asked{ token,
                                                    aAsk.suspect_,
                                                    aAsk.suspectAddress_ };
    At(now_ + Latency(), [this, via, asked] { Handle(*via, asked); });
  }

  void Perform(SimHost& aHost, membership::AnswerIndirectProbe& aAnswer)
  {
    const Caller caller = callers_.at(aAnswer.id_);
    callers_.erase(aAnswer.id_);
    constexpr std::size_t kReplyBytes = 2;
    CountBytes(aHost, caller.host_, kReplyBytes);
    const bool reached = aAnswer.reached_ && Arrives(aHost, *caller.host_);
    At(now_ + Latency(), [this, caller, reached] {
      Handle(*caller.host_,
             membership::IndirectProbeAnswered{ caller.id_, reached });
    });
  }

  void Perform(SimHost& aHost, membership::ReadHostList&)
  {
    ++aHost.listReads_;
    membership::HostListRead read;
    read.ok_ = platformUp_ && aHost.platformReachable_;
    if (read.ok_) {
      read.revision_ = listRevision_;
      for (const auto& [name, entry] : list_) {
        read.hosts_.push_back(entry);
      }
    }
    At(now_ + absl::Milliseconds(5),
       [this, &aHost, read] { Handle(aHost, read); });
  }

  void Perform(SimHost& aHost, membership::NewerConfigFound& aHeard)
  {
    if (aHost.fetching_) {
      return;
    }
    aHost.fetching_ = true;
    const std::uint64_t revision = aHeard.revision_;
    At(now_ + fetchTime_, [this, &aHost, revision] {
      aHost.fetching_ = false;
      Handle(aHost,
             membership::OwnStateChanged{ revision,
                                          aHost.state_.self_.loadPermille_ });
    });
  }

  void Perform(SimHost&, membership::DrainRequired&) {}
  void Perform(SimHost& aHost, membership::TargetChanged& aChange)
  {
    aHost.changedTargets_.push_back(aChange.name_);
  }
  void Perform(SimHost&, membership::Log&) {}

  std::mt19937_64 random_;
  membership::Settings settings_;
  absl::Time now_ = kStart;
  std::vector<std::unique_ptr<SimHost>> hosts_;
  std::map<std::string, SimHost*> byAddress_;
  std::map<std::string, platform::Host> list_;
  std::uint64_t listRevision_ = 1;
  std::priority_queue<Scheduled> queue_;
  std::uint64_t order_ = 0;
  std::uint64_t nextToken_ = 1;
  std::map<std::uint64_t, Caller> callers_;
};

constexpr absl::Duration kSettle = absl::Seconds(30);

bool
SeesAlive(const SimHost& aHost, const std::string& aName)
{
  if (aHost.name_ == aName) {
    return aHost.state_.self_.status_ == membership::Status::Alive;
  }
  const auto found = aHost.state_.members_.find(aName);
  return found != aHost.state_.members_.end() &&
         found->second.state_.status_ == membership::Status::Alive;
}

std::size_t
CountLive(const SimHost& aHost)
{
  const auto& members = aHost.state_.members_;
  const auto others =
    std::count_if(members.begin(), members.end(), [](const auto& aEntry) {
      return aEntry.second.state_.status_ == membership::Status::Alive;
    });
  return static_cast<std::size_t>(others) + 1;
}

bool
AllSeeAllAlive(Network& aNetwork)
{
  const std::size_t live = aNetwork.Count([](const SimHost&) { return true; });
  return aNetwork.Count(
           [&](const SimHost& aHost) { return CountLive(aHost) != live; }) == 0;
}

double
Seconds(absl::Duration aTime)
{
  return absl::ToDoubleSeconds(aTime);
}

std::uint64_t
Deaths(Network& aNetwork)
{
  std::uint64_t deaths = 0;
  for (std::size_t i = 0; i < aNetwork.Size(); ++i) {
    deaths += aNetwork.At(i).state_.counters_.deaths_;
  }
  return deaths;
}

std::uint64_t
Suspicions(Network& aNetwork)
{
  std::uint64_t suspicions = 0;
  for (std::size_t i = 0; i < aNetwork.Size(); ++i) {
    suspicions += aNetwork.At(i).state_.counters_.suspicions_;
  }
  return suspicions;
}

} // namespace

TEST_CASE(
  "hosts find each other and their traffic doesn't grow with their number")
{
  for (const std::size_t size : { 8U, 350U }) {
    Network network(size, Seed(1));
    const auto joined =
      network.RunUntilTrue(kSettle, [&] { return AllSeeAllAlive(network); });
    network.Run(kSettle);
    CHECK(AllSeeAllAlive(network));
    std::uint64_t before = 0;
    std::uint64_t readsBefore = 0;
    std::uint64_t messagesBefore = 0;
    for (std::size_t i = 0; i < size; ++i) {
      before += network.At(i).bytes_;
      readsBefore += network.At(i).listReads_;
      messagesBefore += network.At(i).messages_;
    }
    constexpr double kWindow = 60.0;
    network.Run(absl::Seconds(kWindow));
    std::uint64_t after = 0;
    std::uint64_t reads = 0;
    std::uint64_t messages = 0;
    for (std::size_t i = 0; i < size; ++i) {
      after += network.At(i).bytes_;
      reads += network.At(i).listReads_;
      messages += network.At(i).messages_;
    }
    const double bytes = double(after - before) / kWindow / double(size);
    const double listReads = double(reads - readsBefore) / kWindow;
    std::printf("steady: hosts=%zu joined_s=%.1f bytes_per_s_per_host=%.0f "
                "messages_per_s_per_host=%.1f list_reads_per_s=%.1f\n",
                size,
                Seconds(joined),
                bytes,
                double(messages - messagesBefore) / kWindow / double(size),
                listReads);
    CHECK(bytes < 2000.0);
    CHECK(listReads < 3.5);
  }
}

TEST_CASE("a crashed host is removed from all views within seconds")
{
  for (const std::size_t size : { 8U, 350U }) {
    Network network(size, Seed(2));
    network.Run(kSettle);
    REQUIRE(AllSeeAllAlive(network));
    double worst = 0.0;
    double worstFirst = 0.0;
    for (std::size_t i = 0; i < 4; ++i) {
      const std::string name = network.At(i).name_;
      network.At(i).up_ = false;
      const auto first = network.RunUntilTrue(absl::Minutes(1), [&] {
        return network.Count([&](const SimHost& aHost) {
          return !SeesAlive(aHost, name);
        }) > 0;
      });
      const auto rest = network.RunUntilTrue(absl::Minutes(1), [&] {
        return network.Count([&](const SimHost& aHost) {
          return SeesAlive(aHost, name);
        }) == 0;
      });
      worstFirst = std::max(worstFirst, Seconds(first));
      worst = std::max(worst, Seconds(first + rest));
      network.Run(absl::Seconds(15));
    }
    std::printf("crash: hosts=%zu worst_first_s=%.1f worst_all_s=%.1f\n",
                size,
                worstFirst,
                worst);
    CHECK(worst < 12.0);
    CHECK(Deaths(network) > 0);
  }
}

TEST_CASE("a loss of 5 % of the messages declares no live host dead")
{
  for (const std::size_t size : { 8U, 350U }) {
    Network network(size, Seed(3));
    network.Run(kSettle);
    network.loss_ = 0.05;
    constexpr double kMinutes = 5.0;
    const std::uint64_t before = Suspicions(network);
    double missing = 0.0;
    constexpr int kSamples = 60;
    for (int i = 0; i < kSamples; ++i) {
      network.Run(absl::Minutes(kMinutes) / kSamples);
      for (std::size_t j = 0; j < size; ++j) {
        missing += double(size - CountLive(network.At(j)));
      }
    }
    std::uint64_t refuted = 0;
    for (std::size_t j = 0; j < size; ++j) {
      refuted += network.At(j).state_.counters_.refutations_;
    }
    const double share = missing / kSamples / double(size) / double(size);
    std::printf("loss 5%%: hosts=%zu minutes=%.0f refutations=%llu "
                "suspicions_heard=%llu missing_share=%.5f deaths=%llu\n",
                size,
                kMinutes,
                static_cast<unsigned long long>(refuted),
                static_cast<unsigned long long>(Suspicions(network) - before),
                share,
                static_cast<unsigned long long>(Deaths(network)));
    CHECK(Deaths(network) == 0);
    CHECK(share < 0.01);
  }
}

TEST_CASE("a configuration revision reaches all hosts within seconds")
{
  for (const std::size_t size : { 8U, 350U }) {
    for (const double loss : { 0.0, 0.05 }) {
      Network network(size, Seed(4));
      network.Run(kSettle);
      network.loss_ = loss;
      network.Handle(network.At(0), membership::OwnStateChanged{ 17, 0 });
      const auto spread = network.RunUntilTrue(absl::Minutes(1), [&] {
        return network.Count([](const SimHost& aHost) {
          return aHost.state_.self_.configRevision_ != 17;
        }) == 0;
      });
      std::printf("revision: hosts=%zu loss=%.2f spread_s=%.1f\n",
                  size,
                  loss,
                  Seconds(spread));
      CHECK(spread < absl::Seconds(5));
    }
  }
}

TEST_CASE("a leaving host is out of all views before its last answers expire")
{
  for (const std::size_t size : { 8U, 350U }) {
    for (const double loss : { 0.0, 0.05 }) {
      Network network(size, Seed(5));
      network.Run(kSettle);
      network.loss_ = loss;
      auto& leaver = network.At(3);
      network.Handle(leaver, membership::DrainStarted{});
      const auto spread = network.RunUntilTrue(absl::Minutes(1), [&] {
        return network.Count([&](const SimHost& aHost) {
          return SeesAlive(aHost, leaver.name_);
        }) == 0;
      });
      std::printf("leave: hosts=%zu loss=%.2f spread_s=%.1f\n",
                  size,
                  loss,
                  Seconds(spread));
      const auto settings = leaver.state_.settings_;
      CHECK(spread < settings.leaveSpreadTime_);
      CHECK(membership::DrainedAfter(leaver.state_) >=
            network.Now() + settings.entriesTtl_);
    }
  }
}

TEST_CASE(
  "a target marked as leaving in the list is known to all hosts within seconds")
{
  Network network(350, Seed(6));
  network.Run(kSettle);
  platform::Host target;
  target.name_ = "target1";
  target.role_ = "target";
  network.SetEntry(target);
  network.Run(absl::Seconds(5));
  target.leaving_ = true;
  network.SetEntry(target);
  network.Run(kListLag);
  const auto spread = network.RunUntilTrue(absl::Minutes(1), [&] {
    return network.Count([](const SimHost& aHost) {
      return !membership::IsTargetLeaving(aHost.state_, "target1");
    }) == 0;
  });
  std::printf("target leaves: spread_after_list_s=%.1f\n", Seconds(spread));
  CHECK(spread < absl::Seconds(3));
  target.leaving_ = false;
  network.SetEntry(target);
  network.Run(absl::Seconds(10));
  CHECK(network.Count([](const SimHost& aHost) {
    return membership::IsTargetLeaving(aHost.state_, "target1");
  }) == 0);
}

TEST_CASE("a host removed from the list is leaving and drains")
{
  Network network(8, Seed(7));
  network.Run(kSettle);
  network.RemoveEntry("host2");
  network.Run(absl::Seconds(8));
  CHECK(network.At(2).state_.self_.status_ == membership::Status::Leaving);
  CHECK(network.Count(
          [](const SimHost& aHost) { return SeesAlive(aHost, "host2"); }) == 0);
}

TEST_CASE("hosts keep serving and detecting failures during a platform outage")
{
  for (const std::size_t size : { 8U, 350U }) {
    Network network(size, Seed(8));
    network.Run(kSettle);
    network.platformUp_ = false;
    network.Run(absl::Minutes(3));
    CHECK(network.Count([&](const SimHost& aHost) {
      return membership::MayServe(aHost.state_, network.Now());
    }) == size);
    network.At(1).up_ = false;
    network.Run(absl::Seconds(15));
    CHECK(network.Count([](const SimHost& aHost) {
      return SeesAlive(aHost, "host1");
    }) == 0);
  }
}

TEST_CASE("a host cut off from platform and peers stops serving until it is "
          "reconnected")
{
  Network network(8, Seed(9));
  network.Run(kSettle);
  auto& cut = network.At(4);
  cut.group_ = 1;
  cut.platformReachable_ = false;
  const auto refused = network.RunUntilTrue(absl::Minutes(1), [&] {
    return !membership::MayServe(cut.state_, network.Now());
  });
  CHECK(refused < absl::Seconds(15));
  network.Run(absl::Minutes(2));
  cut.group_ = 0;
  cut.platformReachable_ = true;
  const auto back = network.RunUntilTrue(absl::Minutes(1), [&] {
    return AllSeeAllAlive(network) &&
           membership::MayServe(cut.state_, network.Now());
  });
  std::printf(
    "cut off: refused_s=%.1f back_s=%.1f\n", Seconds(refused), Seconds(back));
  CHECK(back < absl::Seconds(15));
}

TEST_CASE("a partitioned minority stops serving, the rest serves on, and the "
          "views recover")
{
  for (const std::size_t size : { 8U, 350U }) {
    Network network(size, Seed(10));
    network.Run(kSettle);
    const auto isCut = [&](std::size_t aIndex) { return aIndex % 4 == 1; };
    std::size_t cutHosts = 0;
    for (std::size_t i = 0; i < size; ++i) {
      if (isCut(i)) {
        ++cutHosts;
        network.At(i).group_ = 1;
        network.At(i).platformReachable_ = false;
      }
    }
    const auto serving = [&](int aGroup) {
      return network.Count([&](const SimHost& aHost) {
        return aHost.group_ == aGroup &&
               membership::MayServe(aHost.state_, network.Now());
      });
    };
    const auto refused =
      network.RunUntilTrue(absl::Minutes(2), [&] { return serving(1) == 0; });
    network.Run(absl::Minutes(4) - refused);
    CHECK(serving(0) == size - cutHosts);
    for (std::size_t i = 0; i < size; ++i) {
      network.At(i).group_ = 0;
      network.At(i).platformReachable_ = true;
    }
    const auto healed = network.RunUntilTrue(
      absl::Minutes(3), [&] { return AllSeeAllAlive(network); });
    std::printf("partition: hosts=%zu cut=%zu refused_s=%.1f healed_s=%.1f\n",
                size,
                cutHosts,
                Seconds(refused),
                Seconds(healed));
    CHECK(refused < absl::Seconds(25));
    CHECK(healed < absl::Seconds(60));
  }
}

TEST_CASE("a partitioned minority doesn't serve after the others have long "
          "been dead to it")
{
  Network network(8, Seed(15));
  network.Run(kSettle);
  for (const std::size_t cut : { 1U, 5U }) {
    network.At(cut).group_ = 1;
    network.At(cut).platformReachable_ = false;
  }
  network.Run(absl::Seconds(30));
  for (int i = 0; i < 100; ++i) {
    network.Run(absl::Seconds(12));
    CHECK(!membership::MayServe(network.At(1).state_, network.Now()));
    CHECK(!membership::MayServe(network.At(5).state_, network.Now()));
  }
}

TEST_CASE("neither half of a partition serves without the platform")
{
  Network network(8, Seed(16));
  network.Run(kSettle);
  network.platformUp_ = false;
  for (std::size_t i = 0; i < 4; ++i) {
    network.At(i).group_ = 1;
  }
  network.Run(absl::Seconds(40));
  CHECK(network.Count([&](const SimHost& aHost) {
    return membership::MayServe(aHost.state_, network.Now());
  }) == 0);
  network.platformUp_ = true;
  network.Run(absl::Seconds(10));
  CHECK(network.Count([&](const SimHost& aHost) {
    return membership::MayServe(aHost.state_, network.Now());
  }) == 8);
}

TEST_CASE("a host that starts during an outage gets all hosts from a peer")
{
  Network network(8, Seed(17));
  network.Run(kSettle);
  network.platformUp_ = false;
  network.At(3).up_ = false;
  network.Run(absl::Minutes(1));
  network.AddHost("host8");
  // One seed is down, one is the host itself, one is up.
  network.AddHost("host9", { "host3", "host9", "host5" });
  const auto& alone = network.At(8);
  const auto& seeded = network.At(9);
  const auto serves = network.RunUntilTrue(absl::Minutes(1), [&] {
    return membership::MayServe(seeded.state_, network.Now());
  });
  CHECK(serves < absl::Seconds(10));
  network.Run(absl::Minutes(1));
  CHECK(membership::MayServe(seeded.state_, network.Now()));
  CHECK(CountLive(seeded) == 8);
  CHECK(seeded.state_.members_.count("host3") == 1);
  CHECK(SeesAlive(network.At(0), "host9"));
  CHECK(!membership::MayServe(alone.state_, network.Now()));
}

TEST_CASE("a host that starts in a partitioned minority doesn't serve")
{
  Network network(8, Seed(18));
  network.Run(kSettle);
  network.platformUp_ = false;
  for (std::size_t i = 0; i < 3; ++i) {
    network.At(i).group_ = 1;
  }
  network.Run(absl::Seconds(40));
  network.AddHost("host8", { "host0", "host1" });
  network.At(8).group_ = 1;
  for (int i = 0; i < 100; ++i) {
    network.Run(absl::Seconds(12));
    CHECK(!membership::MayServe(network.At(8).state_, network.Now()));
  }
  CHECK(network.At(8).state_.members_.size() == 8);
  for (std::size_t i = 0; i < network.Size(); ++i) {
    network.At(i).group_ = 0;
  }
  network.Run(absl::Seconds(30));
  CHECK(membership::MayServe(network.At(8).state_, network.Now()));
}

TEST_CASE("hosts that all start during an outage don't serve")
{
  Network network(0, Seed(19));
  network.platformUp_ = false;
  for (const auto* name : { "host0", "host1", "host2" }) {
    network.AddHost(name, { "host0", "host1", "host2" });
  }
  for (int i = 0; i < 60; ++i) {
    network.Run(absl::Seconds(1));
    CHECK(network.Count([&](const SimHost& aHost) {
      return membership::MayServe(aHost.state_, network.Now());
    }) == 0);
  }
  network.platformUp_ = true;
  network.Run(absl::Seconds(15));
  CHECK(network.Count([&](const SimHost& aHost) {
    return membership::MayServe(aHost.state_, network.Now());
  }) == 3);
}

TEST_CASE(
  "a host doesn't serve during an outage after a probe from only one peer")
{
  const membership::HostState self{ "host0", "10.41.0.0:7001" };
  membership::State state = membership::MakeInitialState(self, {}, kStart);
  membership::Message message;
  message.sender_ = { "host1", "10.41.0.1:7001" };
  membership::Step(state, { kStart, membership::ProbeReceived{ 1, message } });
  CHECK(!membership::MayServe(state, kStart));
}

TEST_CASE("a paused host declares no other host dead and returns")
{
  Network network(8, Seed(11));
  network.Run(kSettle);
  auto& paused = network.At(5);
  paused.frozen_ = true;
  network.Run(absl::Seconds(30));
  const std::uint64_t before = Deaths(network);
  paused.frozen_ = false;
  CHECK(!membership::MayServe(paused.state_, network.Now()));
  const auto back = network.RunUntilTrue(
    absl::Minutes(1), [&] { return AllSeeAllAlive(network); });
  CHECK(back < absl::Seconds(15));
  CHECK(Deaths(network) == before);
}

TEST_CASE("a restarted host of the same name is alive again in all views")
{
  Network network(8, Seed(12));
  network.Run(kSettle);
  auto& host = network.At(6);
  host.up_ = false;
  network.Run(absl::Seconds(20));
  host.state_ = membership::MakeInitialState({ host.name_,
                                               host.state_.self_.peerAddress_,
                                               host.state_.self_.httpAddress_,
                                               host.state_.self_.dataCentre_ },
                                             host.state_.settings_,
                                             network.Now());
  host.up_ = true;
  const auto back = network.RunUntilTrue(
    absl::Minutes(1), [&] { return AllSeeAllAlive(network); });
  CHECK(back < absl::Seconds(15));
}

TEST_CASE("all hosts rank the entries of a workspace alike")
{
  Network network(8, Seed(13));
  network.Run(kSettle);
  std::map<std::string, int> firsts;
  for (int i = 0; i < 400; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    const auto own = membership::EntriesFor(network.At(0).state_, workspace, 3);
    const auto other =
      membership::EntriesFor(network.At(7).state_, workspace, 3);
    REQUIRE(own.hosts_.size() == 3);
    for (std::size_t j = 0; j < 3; ++j) {
      CHECK(own.hosts_[j].name_ == other.hosts_[j].name_);
    }
    ++firsts[own.hosts_[0].name_];
  }
  for (const auto& [name, count] : firsts) {
    CHECK(count > 25);
    CHECK(count < 85);
  }
}

TEST_CASE("an overloaded host is ranked last until it is relieved")
{
  Network network(8, Seed(14));
  network.Run(kSettle);
  std::string workspace;
  for (int i = 0; workspace.empty(); ++i) {
    const std::string name = "w" + std::to_string(i);
    const auto entries = membership::EntriesFor(network.At(0).state_, name, 1);
    workspace = entries.hosts_[0].name_ == "host3" ? name : "";
  }
  const auto listing = [&] {
    return network.Count([&](const SimHost& aHost) {
      return membership::EntriesFor(aHost.state_, workspace, 3)
               .hosts_[0]
               .name_ == "host3";
    });
  };
  CHECK(listing() == 8);
  network.Handle(network.At(3), membership::OwnStateChanged{ 0, 950 });
  network.Run(absl::Seconds(10));
  CHECK(listing() == 0);
  network.Handle(network.At(3), membership::OwnStateChanged{ 0, 800 });
  network.Run(absl::Seconds(10));
  CHECK(listing() == 0);
  network.Handle(network.At(3), membership::OwnStateChanged{ 0, 500 });
  network.Run(absl::Seconds(10));
  CHECK(listing() == 8);
}
