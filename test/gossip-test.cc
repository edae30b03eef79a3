#include "gateway/gossip.h"

#include <array>
#include <cmath>
#include <random>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include "gateway/demand.h"
#include "host-group.h"
#include "lycheeplank/poison.h"
#include "lycheeplank/target_limits.h"

namespace fleet = lycheeplank::fleet;
namespace gateway = lycheeplank::gateway;
namespace relays = lycheeplank::relays;
namespace test = lycheeplank::test;

namespace {

gateway::LoadMessage
MakeMessage()
{
  gateway::LoadMessage message;
  message.host_ = "h1";
  message.loads_ = { { 7, 3, 640, 1280, 64000 }, { 9, 1, 0, 64, 128 } };
  message.reads_[11] = { 40, 12 };
  message.down_[7] = 2;
  return message;
}

} // namespace

TEST_CASE("a message is read back as it was written")
{
  const auto read = gateway::ReadMessage(gateway::WriteMessage(MakeMessage()));
  CHECK(read.host_ == "h1");
  REQUIRE(read.loads_.size() == 2);
  CHECK(read.loads_[0].target_ == 7);
  CHECK(read.loads_[0].inFlight_ == 3);
  CHECK(read.loads_[0].urgentTokens_ == 640);
  CHECK(read.loads_[0].otherTokens_ == 1280);
  CHECK(read.loads_[0].heldTokens_ == 64000);
  REQUIRE(read.reads_.contains(11));
  CHECK(read.reads_.at(11).reads_ == 40);
  CHECK(read.reads_.at(11).late_ == 12);
  CHECK(read.down_.at(7) == 2);
}

TEST_CASE("damaged messages do no harm")
{
  const auto text = gateway::WriteMessage(MakeMessage());
  for (std::size_t size = 0; size < text.size(); ++size) {
    const auto cut = gateway::ReadMessage(text.substr(0, size));
    CHECK(cut.loads_.size() <= 2);
  }
  std::mt19937_64 random(3);
  for (int i = 0; i < 5000; ++i) {
    auto damaged = text;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    const auto read = gateway::ReadMessage(damaged);
    CHECK(read.loads_.size() < 100);
  }
}

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
// Headers of IP and UDP.
constexpr std::size_t kPacketBytes = 28;

fleet::Members
MakeMembers(std::size_t aTargets, std::size_t aDataCentres)
{
  fleet::Members members;
  for (std::size_t i = 0; i < aTargets; ++i) {
    fleet::Target target;
    target.id_ = absl::StrCat("target-", i);
    target.service_ = "s";
    target.dataCentre_ = absl::StrCat("dc", i % aDataCentres);
    fleet::UpdateTarget(members, target, { 0, 1 }, absl::InfinitePast());
  }
  return members;
}

} // namespace

TEST_CASE("reported loads are read back as they were written")
{
  const gateway::ReportMessage message{
    "h1",
    { { 11, 12, true, { 700.0, 64e6 } }, { 13, 12, false, { 0.0, 0.0 } } },
    { { 7, { 3, 2, 0, 2.5 }, absl::Milliseconds(41) },
      { 9, { 900, 0, 0, 0.97 }, absl::ZeroDuration() } }
  };
  const auto text = gateway::WriteReports(message);
  const auto read = gateway::ReadReports(text);
  REQUIRE(read);
  CHECK(read->host_ == "h1");
  REQUIRE(read->demands_.size() == 2);
  CHECK(read->demands_[0].dataCentre_ == 11);
  CHECK(read->demands_[0].service_ == 12);
  CHECK(read->demands_[0].isTotal_);
  CHECK(read->demands_[0].demand_.calls_ == 700.0);
  CHECK(read->demands_[0].demand_.tokens_ == 64e6);
  CHECK_FALSE(read->demands_[1].isTotal_);
  REQUIRE(read->loads_.size() == 2);
  CHECK(read->loads_[0].target_ == 7);
  CHECK(read->loads_[0].load_.running_ == 3);
  CHECK(read->loads_[0].load_.waiting_ == 2);
  CHECK(read->loads_[0].load_.slowness_ == 2.5);
  CHECK(read->loads_[0].age_ == absl::Milliseconds(44));
  CHECK(read->loads_[1].load_.running_ == 255);
  CHECK(read->loads_[1].load_.slowness_ == 0.97);
  for (std::size_t size = 0; size < text.size(); ++size) {
    const auto cut = gateway::ReadReports(text.substr(0, size));
    CHECK((!cut || cut->loads_.size() < 2));
  }
}

// Guards against hosts of an earlier release that take reported loads for
// another kind of message while releases are mixed, and the other way round.
TEST_CASE("other messages and reported loads aren't taken for each other")
{
  gateway::ReportMessage message{ "h1", {}, {} };
  for (std::uint32_t i = 0; i < fleet::kMaxReportedLoads; ++i) {
    message.loads_.push_back({ i, { i, 0, 0, 1.0 }, absl::ZeroDuration() });
  }
  const auto text = gateway::WriteReports(message);
  CHECK(gateway::ReadMessage(text).host_.empty());
  CHECK_FALSE(lycheeplank::poison::IsMessage(text));
  CHECK_FALSE(lycheeplank::target_limits::ReadMessage(text));
  CHECK_FALSE(gateway::ReadReports(gateway::WriteMessage(MakeMessage())));
  CHECK_FALSE(
    gateway::ReadReports(lycheeplank::target_limits::WriteMessage({})));
}

// Guards against estimates from a stale load, or from one of an earlier start
// of the target, and against hosts that send each other the same loads forever.
TEST_CASE("only newer reported loads are applied and passed on")
{
  auto sender = MakeMembers(4, 2);
  auto receiver = sender;
  fleet::RecordLoad(sender.at("target-0"), { 5, 1, 8, 3.0 }, kNow);
  fleet::RecordLoad(sender.at("target-1"), { 4, 0, 8, 1.0 }, kNow);
  // Three figures aren't shared.
  fleet::RecordLoad(sender.at("target-2"), { 6, 0, 8 }, kNow);
  const auto later = kNow + absl::Milliseconds(20);
  fleet::ReportedLoadQuery query;
  query.isOwnOnly_ = true;
  query.dataCentre_ = "dc1";
  auto loads = fleet::NewestReportedLoads(sender, query, later);
  REQUIRE(loads.size() == 2);
  CHECK(loads[0].target_ == fleet::IdHash("target-1"));
  CHECK(loads[0].age_ == absl::Milliseconds(20));
  query.isNearOnly_ = true;
  CHECK(fleet::NewestReportedLoads(sender, query, later).size() == 1);
  query.since_ = later;
  CHECK(fleet::NewestReportedLoads(sender, query, later).empty());

  fleet::RecordLoad(
    receiver.at("target-1"), { 2, 0, 8, 1.5 }, kNow + absl::Milliseconds(5));
  fleet::ApplyReportedLoads(
    receiver, fleet::IdsByHash(receiver), loads, later, later);
  CHECK(receiver.at("target-0").load_.slowness_ == 3.0);
  CHECK(receiver.at("target-0").loadReportedAt_ == kNow);
  CHECK(receiver.at("target-1").load_.running_ == 2);
  // A forwarder tells its collector what its hosts have received, and not what
  // came from the collector.
  auto forwarder = MakeMembers(4, 2);
  const auto ids = fleet::IdsByHash(forwarder);
  fleet::ApplyReportedLoads(forwarder, ids, { loads[0] }, later, later, true);
  fleet::ApplyReportedLoads(forwarder, ids, { loads[1] }, later, later, false);
  const auto collected = fleet::NewestReportedLoads(
    forwarder, { absl::InfinitePast(), true, "dc1", false, true }, later);
  REQUIRE(collected.size() == 1);
  CHECK(collected[0].target_ == loads[0].target_);
  // Loads of other hosts aren't sent as this host's own.
  loads = fleet::NewestReportedLoads(
    receiver, { absl::InfinitePast(), true, "dc1", false }, later);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].target_ == fleet::IdHash("target-1"));
  CHECK(fleet::NewestReportedLoads(receiver, {}, later).size() == 2);

  receiver.at("target-3").firstListedAt_ = later;
  fleet::ApplyReportedLoads(
    receiver,
    fleet::IdsByHash(receiver),
    { { fleet::IdHash("target-3"), { 9, 9, 0, 9.0 }, absl::Milliseconds(1) } },
    later,
    later);
  CHECK_FALSE(receiver.at("target-3").load_.slowness_);
}

// Guards against reported loads that take the link of a small host (10 Mbit/s)
// in a large deployment. Load: answers spread evenly over targets, all targets
// busy, one collector for each data centre.
TEST_CASE("reported loads take few bytes at 8, 78 and 300 hosts")
{
  struct Deployment
  {
    std::size_t hosts_;
    std::size_t dataCentres_;
    std::size_t targets_;
    double answersPerSecond_;
  };
  constexpr double kSeconds = 10.0;
  constexpr double kSmallLink = 10e6 / 8.0;
  for (const auto& deployment :
       std::vector<Deployment>{ { 8, 3, 60, 617.0 },
                                { 78, 3, 75, 1305.0 },
                                { 300, 4, 3000, 5000.0 } }) {
    auto members = MakeMembers(deployment.targets_, deployment.dataCentres_);
    for (auto& [id, member] : members) {
      member.inFlight_ = 1;
    }
    const auto peers = deployment.hosts_ / deployment.dataCentres_ - 1;
    const auto loads =
      gateway::WriteMessage(
        { "host-000", fleet::SumLoads(members, {}, kNow), {}, {} })
        .size() +
      kPacketBytes;
    const auto times = gateway::BatchTimesOf(
      gateway::GossipRole::Collector, peers, loads, deployment.hosts_);
    const std::vector<lycheeplank::spillover::DemandRow> demands(
      3 * deployment.dataCentres_);
    std::mt19937_64 random(5);
    const double gap = static_cast<double>(deployment.dataCentres_) /
                       deployment.answersPerSecond_;
    double answerAt = 0.0;
    std::size_t toPeer = 0;
    std::size_t largest = 0;
    int batches = 0;
    auto sentAt = kNow;
    for (auto now = kNow; now < kNow + absl::Seconds(kSeconds);
         now += times.local_, ++batches) {
      // The collector receives the loads of the answers to its data centre's
      // hosts, which come from its targets.
      for (; kNow + absl::Seconds(answerAt) < now; answerAt += gap) {
        const auto target =
          deployment.dataCentres_ *
          (random() % (deployment.targets_ / deployment.dataCentres_));
        fleet::RecordLoad(members.at(absl::StrCat("target-", target)),
                          { 9, 0, 8, 1.4 },
                          kNow + absl::Seconds(answerAt));
      }
      const auto bytes = gateway::WriteReports(
                           { "host-000",
                             demands,
                             fleet::NewestReportedLoads(
                               members, { sentAt, false, "dc0", false }, now) })
                           .size();
      sentAt = now;
      largest = std::max(largest, bytes);
      toPeer += bytes + kPacketBytes;
    }
    const double received = static_cast<double>(toPeer) / kSeconds;
    // Other collectors get at most one full message each quarter of a second.
    const double sent = received * static_cast<double>(peers) +
                        static_cast<double>((deployment.dataCentres_ - 1) *
                                            (largest + kPacketBytes)) /
                          absl::ToDoubleSeconds(times.remote_);
    const double loadBytes =
      static_cast<double>(loads * peers) * batches / kSeconds;
    // Another host sends its own answers' loads to the collector only, and
    // five times a second its demand for three services.
    const double own = deployment.answersPerSecond_ /
                         static_cast<double>(deployment.hosts_) * 9.0 +
                       (12.0 + kPacketBytes) / 0.05 + 5.0 * 3.0 * 16.0;
    INFO(deployment.hosts_ << " hosts: collector sends " << sent
                           << " bytes/s beside " << loadBytes
                           << " of loads; another host receives " << received
                           << " and sends " << own);
    // One packet.
    CHECK(largest < 1400);
    CHECK(sent < 0.25 * kSmallLink);
    CHECK(sent < 0.5 * loadBytes);
    CHECK(received < 0.02 * kSmallLink);
    CHECK(own < 0.01 * kSmallLink);
  }
}

// Guards against reported loads that take the link of a forwarder beside the
// loads, or that delay these so much that they count as unknown.
TEST_CASE("a forwarder's reported loads take few bytes")
{
  constexpr double kSmallLink = 10e6 / 8.0;
  constexpr std::size_t kPeers = 10;
  gateway::ReportMessage message{ "host-000", {}, {} };
  message.demands_.resize(12);
  message.loads_.resize(fleet::kMaxReportedLoads);
  const auto reports = gateway::WriteReports(message).size() + kPacketBytes;
  for (const std::size_t targets : { 75, 300, 3000 }) {
    const auto loads = targets * 11;
    const auto times = gateway::BatchTimesOf(
      gateway::GossipRole::Forwarder, kPeers, loads + reports, 300);
    const auto toPeers = absl::ToDoubleSeconds(times.local_);
    const double sent = kPeers * reports / toPeers +
                        reports / absl::ToDoubleSeconds(times.remote_);
    INFO(targets << " targets: " << sent << " bytes/s beside "
                 << kPeers * loads / toPeers);
    CHECK(sent < 0.25 * kSmallLink);
    CHECK(sent + kPeers * loads / toPeers < kSmallLink);
    CHECK(2 * times.local_ + 2 * times.remote_ < fleet::kMaxPeerLoadAge);
  }
}

// Guards against hosts that know nothing of the momentary slowness of targets
// to which they sent no request lately.
TEST_CASE("a load in an answer to one host reaches the others")
{
  // Data centres of 40 hosts have forwarders.
  lycheeplank::test::HostGroup group(
    GENERATE(std::size_t{ 9 }, std::size_t{ 120 }));
  group.AddTarget([](auto&, const auto& aSocket) {
    aSocket->Send(lycheeplank::test::WholeAnswer(
      "x", "200 OK", "X-Server-Load: 3,1,8,250\r\n"));
  });
  group.Call(3);
  const auto knows = [&group] {
    for (std::size_t i = 0; i < group.Size(); ++i) {
      if (group.HostAt(i).members_.at("t1").load_.slowness_ != 2.5) {
        return false;
      }
    }
    return true;
  };
  for (int i = 0; i < 60 && !knows(); ++i) {
    group.RunFor(std::chrono::milliseconds(50));
  }
  CHECK(knows());
  CHECK(group.HostAt(3).members_.at("t1").isOwnLoad_);
  CHECK_FALSE(group.HostAt(4).members_.at("t1").isOwnLoad_);
  CHECK(group.HostAt(4).members_.at("t1").load_.waiting_ == 1);
}

// Guards against hosts that know no loads of others in a large deployment: the
// loads of 3,000 busy targets take 33 kB.
TEST_CASE("a message with the loads of 3,000 targets is received whole")
{
  lycheeplank::test::HostGroup group(9);
  group.AddTarget([](auto&, const auto& aSocket) {
    aSocket->Send(lycheeplank::test::WholeAnswer("x", "200 OK", ""));
  });
  auto others = MakeMembers(3000, 3);
  for (std::size_t i = 0; i < group.Size(); ++i) {
    auto& members = group.HostAt(i).members_;
    members.insert(others.begin(), others.end());
  }
  for (auto& [id, member] : group.HostAt(3).members_) {
    member.inFlight_ = 1;
  }
  group.Call(3);
  const auto& far = group.HostAt(4).members_.at("target-2999");
  for (int i = 0; i < 60 && far.peers_.empty(); ++i) {
    group.RunFor(std::chrono::milliseconds(50));
  }
  CHECK_FALSE(far.peers_.empty());
}

// Guards against hosts that decide differently from the same demand, and
// against hosts without callers whose room nobody knows.
TEST_CASE("hosts compute the same share of requests that leave")
{
  // Six hosts are without collectors; data centres of 40 have forwarders.
  const auto hosts =
    GENERATE(std::size_t{ 6 }, std::size_t{ 9 }, std::size_t{ 120 });
  lycheeplank::test::HostGroup group(hosts);
  // Targets that don't answer.
  group.AddTarget([](auto&, const auto&) {});
  group.AddTarget([](auto&, const auto&) {});
  const auto now = gateway::Now();
  for (std::size_t i = 0; i < group.Size(); ++i) {
    auto& members = group.HostAt(i).members_;
    members.at("t2").target_.dataCentre_ = "dc1";
    fleet::RecordLoad(members.at("t1"), { 0, 0, 1, 1.0 }, now);
  }
  for (std::size_t i = 0; i < 6; ++i) {
    group.Call(3 * i % hosts);
  }
  const auto shareAt = [&group](std::size_t aHost) {
    const auto& states = group.HostAt(aHost).spillover_;
    const auto found = states.find("s");
    return found == states.end() ? -1.0 : found->second.share_;
  };
  // Six calls take six targets; one of two is elsewhere.
  const auto agree = [&] {
    for (std::size_t i = 3; i < hosts; i += 3) {
      if (std::abs(shareAt(0) - shareAt(i)) > 0.02) {
        return false;
      }
    }
    return shareAt(0) > 0.1;
  };
  for (int i = 0; i < 50 && !agree(); ++i) {
    group.RunFor(std::chrono::milliseconds(50));
  }
  INFO(shareAt(0) << " " << shareAt(3));
  CHECK(agree());
  CHECK(shareAt(0) < 0.2);
  CHECK(shareAt(1) == 0.0);
  CHECK(shareAt(2) == 0.0);
  CHECK(gateway::PreferredDataCentre(group.HostAt(0), "s", 0.01) == "dc1");
  CHECK(gateway::PreferredDataCentre(group.HostAt(0), "s", 0.9) == "dc0");
}

// Guards against a changed behaviour of deployments whose targets report three
// figures: no demands, no shares, and no shared loads.
TEST_CASE("hosts share nothing new if targets report three figures")
{
  lycheeplank::test::HostGroup group(9);
  for (int i = 0; i < 2; ++i) {
    group.AddTarget([](auto&, const auto& aSocket) {
      aSocket->Send(lycheeplank::test::WholeAnswer(
        "x", "200 OK", "X-Server-Load: 9,9,1\r\n"));
    });
  }
  for (std::size_t i = 0; i < group.Size(); ++i) {
    group.HostAt(i).members_.at("t2").target_.dataCentre_ = "dc1";
  }
  group.Call(3);
  group.RunFor(std::chrono::milliseconds(1200));
  REQUIRE(group.answers_.size() == 1);
  for (std::size_t i = 0; i < group.Size(); ++i) {
    const auto& host = group.HostAt(i);
    CHECK(host.spillover_.empty());
    CHECK(host.demands_.size() == 1);
    if (i != 3) {
      CHECK(host.members_.at("t1").load_.running_ == 0);
    }
  }
}

// Guards against a data centre without room that keeps its callers although the
// settings ask for scheduling by priority, whatever figures targets report.
TEST_CASE("the settings enable the decision which requests leave")
{
  lycheeplank::test::HostGroup group(6);
  for (int i = 0; i < 2; ++i) {
    group.AddTarget([](auto&, const auto& aSocket) {
      aSocket->Send(lycheeplank::test::WholeAnswer(
        "x", "200 OK", "X-Server-Load: 9,9,1\r\n"));
    });
  }
  for (std::size_t i = 0; i < group.Size(); ++i) {
    auto& host = group.HostAt(i);
    host.members_.at("t2").target_.dataCentre_ = "dc1";
    host.settings_.priorityScheduling_ = true;
  }
  auto& host = group.HostAt(0);
  for (int i = 0; i < 100 && host.spillover_.empty(); ++i) {
    group.RunFor(std::chrono::milliseconds(50));
  }
  REQUIRE(host.spillover_.contains("s"));
  gateway::CountRefusedDemand(host, "s", 0.0);
  REQUIRE(host.refusedDemands_.contains("s"));
  CHECK(host.refusedDemands_.at("s").demand_.calls_ == 1.0);
}

// Guards against a share that is decided but not applied to requests.
TEST_CASE("requests of the share go to targets of the other data centre")
{
  lycheeplank::test::HostGroup group(6);
  std::array<int, 2> arrived{};
  for (std::size_t i = 0; i < 2; ++i) {
    group.AddTarget([&arrived, i](auto&, const auto& aSocket) {
      ++arrived.at(i);
      aSocket->Send(lycheeplank::test::WholeAnswer(
        "x", "200 OK", "X-Server-Load: 0,0,1,100\r\n"));
    });
  }
  for (std::size_t i = 0; i < group.Size(); ++i) {
    group.HostAt(i).members_.at("t2").target_.dataCentre_ = "dc1";
  }
  auto& host = group.HostAt(0);
  const auto send = [&](double aShare) {
    // The periodic update ends the share; it may come between.
    auto& state = host.spillover_["s"];
    state.reason_ = lycheeplank::spillover::Reason::Surplus;
    state.share_ = aShare;
    state.rooms_ = { { "dc1", 1.0 } };
    const auto answers = group.answers_.size();
    group.Call(0);
    for (int i = 0; i < 1000 && group.answers_.size() == answers; ++i) {
      group.RunFor(std::chrono::milliseconds(2));
    }
  };
  for (int i = 0; i < 8; ++i) {
    send(0.0);
  }
  CHECK(arrived.at(0) == 8);
  for (int i = 0; i < 100 && arrived.at(1) < 5; ++i) {
    send(1.0);
  }
  CHECK(arrived.at(1) == 5);
  CHECK(host.metrics_.CounterValue("requests_sent_away_total", "surplus") ==
        5.0);
}

// Guards against a collector that sends its data centre more than a link of 10
// Mbit/s carries: 100 messages of 33 KB twice a second. Loads pass two hosts,
// and count as unknown after a second.
TEST_CASE("a host's messages to many peers keep to a rate and an age")
{
  constexpr std::size_t kLoads = 3002;
  constexpr std::size_t kBytes = kLoads * 11;
  const auto large = gateway::LocalBatchTime(10, kBytes);
  CHECK(10 * kBytes / absl::ToDoubleSeconds(large) < 1.0e6);
  CHECK(2 * large + absl::Milliseconds(100) < fleet::kMaxPeerLoadAge);
  // Smaller deployments send as often as before.
  constexpr std::size_t kSmallBytes = 902;
  CHECK(gateway::LocalBatchTime(25, kSmallBytes) == absl::Milliseconds(125));
  CHECK(gateway::LocalBatchTime(2, kSmallBytes) == absl::Milliseconds(10));
}

// Guards against loads that are lost or counted twice on their way through
// collectors and forwarders.
TEST_CASE("each host learns the sum of all loads in a large deployment")
{
  // 40 hosts in each of three data centres.
  test::HostGroup group(120);
  group.AddTarget([](auto&, const auto&) {});
  const auto& list = group.HostAt(0).hosts_;
  REQUIRE_FALSE(relays::ForwardersOf(list, "dc0").empty());
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < group.Size(); ++i) {
    // Some hosts have no load.
    const auto calls = static_cast<std::uint32_t>(i % 3);
    group.HostAt(i).members_.at("t1").inFlight_ = calls;
    sum += calls;
  }
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = 0; i < group.Size(); ++i) {
      group.HostAt(i).onLoad_();
    }
    group.RunFor(std::chrono::milliseconds(100));
  }
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < group.Size(); ++i) {
    const auto& member = group.HostAt(i).members_.at("t1");
    auto known = member.inFlight_;
    for (const auto& [peer, usage] : member.peers_) {
      known += usage.inFlight_;
    }
    wrong += known == sum ? 0 : 1;
  }
  CHECK(wrong == 0);
}
