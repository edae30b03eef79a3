#include "gateway/gossip.h"

#include <random>

#include <catch2/catch.hpp>

#include "host-group.h"

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
