#include "gateway/gossip.h"

#include <random>

#include <catch2/catch.hpp>

namespace gateway = lycheeplank::gateway;

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
