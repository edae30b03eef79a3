#include "gateway/peer-updates.h"

#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace gateway = lycheeplank::gateway;
namespace cache_index = lycheeplank::cache_index;
namespace replica = lycheeplank::replica;

namespace {

gateway::SenderStatus
MakeSender()
{
  gateway::SenderStatus sender;
  sender.isDirect_ = true;
  sender.era_ = 4;
  sender.itemsAge_ = absl::Milliseconds(700);
  sender.knownTime_ = absl::Seconds(30);
  sender.clockMs_ = 1700000000123;
  sender.cacheStoreAges_["s1"] = absl::Milliseconds(250);
  return sender;
}

std::string
MakeUpdate()
{
  replica::Item item{ "a/b", "{\"x\":1}", 17, 3, false };
  item.era_ = 4;
  const gateway::StoreUpdate store{
    "s1", false, true, 9, 41, { { true, "shared.m.1", "p1", 512 } }
  };
  const gateway::Notice notice{
    gateway::Notice::Kind::LoadOrdered, "t1", "m", 2, absl::Seconds(3)
  };
  return gateway::WritePeerUpdate(5,
                                  12,
                                  MakeSender(),
                                  gateway::WriteRow(item) + "," +
                                    gateway::WriteRow(store) + "," +
                                    gateway::WriteRow(notice));
}

} // namespace

TEST_CASE("an update is read as it was written")
{
  const auto update = gateway::ReadPeerUpdate(MakeUpdate());
  REQUIRE(update);
  CHECK(update->feed_ == 5);
  CHECK(update->next_ == 12);
  CHECK(update->sender_.isDirect_);
  CHECK_FALSE(update->sender_.storeReachable_);
  CHECK(update->sender_.itemsAge_ == absl::Milliseconds(700));
  CHECK(update->sender_.knownTime_ == absl::Seconds(30));
  CHECK(update->sender_.clockMs_ == 1700000000123);
  CHECK(update->sender_.cacheStoreAges_.at("s1") == absl::Milliseconds(250));
  REQUIRE(update->items_.size() == 1);
  CHECK(update->items_[0].key_ == "a/b");
  CHECK(update->items_[0].value_ == "{\"x\":1}");
  CHECK(update->items_[0].revision_ == 17);
  CHECK(update->items_[0].era_ == 4);
  CHECK(update->sender_.era_ == 4);
  REQUIRE(update->stores_.size() == 1);
  CHECK(update->stores_[0].isSnapshot_);
  CHECK(update->stores_[0].epoch_ == 9);
  REQUIRE(update->stores_[0].changes_.size() == 1);
  CHECK(update->stores_[0].changes_[0].scope_ == "shared.m.1");
  CHECK(update->stores_[0].changes_[0].tokens_ == 512);
  REQUIRE(update->notices_.size() == 1);
  CHECK(update->notices_[0].pause_ == absl::Seconds(3));
}

TEST_CASE("notices are read as they were written")
{
  const gateway::Notice notice{
    gateway::Notice::Kind::WeightsLoaded, "t1", "m", 2, absl::ZeroDuration()
  };
  const auto read =
    gateway::ReadNotices(gateway::WriteNotices({ notice, notice }));
  REQUIRE(read.size() == 2);
  CHECK(read[1].kind_ == gateway::Notice::Kind::WeightsLoaded);
  CHECK(read[1].name_ == "t1");
  CHECK(read[1].version_ == 2);
}

TEST_CASE("rows that can't be parsed are skipped")
{
  const auto update = gateway::ReadPeerUpdate(
    R"({"feed":5,"rows":[7,[],{"key":"a"},{"notice":"dance"},)"
    R"({"store":"s","changes":[[1],[true,"a","b",-4],[true,"a","b",4]]}]})");
  REQUIRE(update);
  CHECK(update->items_.empty());
  CHECK(update->notices_.empty());
  REQUIRE(update->stores_.size() == 1);
  CHECK(update->stores_[0].changes_.size() == 1);
  CHECK_FALSE(gateway::ReadPeerUpdate("{}"));
  CHECK_FALSE(gateway::ReadPeerUpdate("nonsense"));
  CHECK(gateway::ReadNotices("[]").empty());
}

// A host must parse or reject any bytes from a peer without further effects.
TEST_CASE("damaged updates do no harm")
{
  constexpr int kRounds = 5000;
  std::mt19937 random(11);
  const auto whole = MakeUpdate();
  for (int i = 0; i < kRounds; ++i) {
    auto text = whole;
    const auto changes = 1 + random() % 4;
    for (std::size_t j = 0; j < changes; ++j) {
      const auto at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, 1 + random() % 8);
          break;
        default:
          text.insert(at, 1, "[]{}\",:0-"[random() % 9]);
      }
    }
    const auto update = gateway::ReadPeerUpdate(text);
    if (update) {
      for (const auto& item : update->items_) {
        CHECK(item.revision_ != 0);
      }
    }
  }
}

TEST_CASE("a snapshot of a store is written by scope and read back")
{
  gateway::StoreUpdate store{ "c1", false, true, 4, 9, {} };
  store.changes_ = { { true, "shared.m.1", "p1", 512 },
                     { true, "w.x.m.1", "p1", 300 },
                     { true, "shared.m.1", "p2", 8000 } };
  const auto row = gateway::WriteRow(store);
  // Each scope is written once, whatever the number of its parts.
  CHECK(row.find("shared.m.1") == row.rfind("shared.m.1"));
  const auto update =
    gateway::ReadPeerUpdate(gateway::WritePeerUpdate(7, 1, {}, row));
  REQUIRE(update);
  REQUIRE(update->stores_.size() == 1);
  std::map<std::string, std::uint32_t> held;
  for (const auto& part : update->stores_[0].changes_) {
    CHECK(part.added_);
    held[part.scope_ + "|" + part.part_] = part.tokens_;
  }
  const std::map<std::string, std::uint32_t> expected{
    { "shared.m.1|p1", 512 }, { "shared.m.1|p2", 8000 }, { "w.x.m.1|p1", 300 }
  };
  CHECK(held == expected);
}

// Guards against relays whose links are too slow for the configuration: they
// send it to all hosts of their data centre.
TEST_CASE("a large value is compressed")
{
  replica::Item item{ "a/b", {}, 17, 3, false };
  for (int i = 0; i < 1400; ++i) {
    item.value_ += R"({"name":"r-)" + std::to_string(i * 7919) +
                   R"(","host":"h.example","prefix":"/x/","attempts":2})";
  }
  const auto row = gateway::WriteRow(item);
  CHECK(row.size() < item.value_.size() / 4);
  const auto update =
    gateway::ReadPeerUpdate(gateway::WritePeerUpdate(5, 12, MakeSender(), row));
  REQUIRE(update);
  REQUIRE(update->items_.size() == 1);
  CHECK(update->items_[0].value_ == item.value_);
}

TEST_CASE("a row whose value can't be decompressed is skipped")
{
  for (const auto* value : { "7", R"("%")", R"("eJwL")" }) {
    const auto update = gateway::ReadPeerUpdate(gateway::WritePeerUpdate(
      5,
      12,
      MakeSender(),
      std::string(R"({"key":"a","revision":4,"value_deflate":)") + value +
        "}"));
    REQUIRE(update);
    CHECK(update->items_.empty());
  }
}
