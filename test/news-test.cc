#include "gateway/news.h"

#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace gateway = lycheeplank::gateway;
namespace cache_index = lycheeplank::cache_index;
namespace replica = lycheeplank::replica;

namespace {

gateway::Source
MakeSource()
{
  gateway::Source source;
  source.direct_ = true;
  source.era_ = 4;
  source.clockMs_ = 1700000000123;
  source.heard_["s1"] = absl::Milliseconds(250);
  return source;
}

std::string
MakeNews()
{
  replica::Item item{ "a/b", "{\"x\":1}", 17, 3, false };
  item.era_ = 4;
  const gateway::StoreNews store{ "s1", false,
                                  true, 9,
                                  41,   { { true, "shared.m.1", "p1", 512 } } };
  const gateway::Notice notice{
    gateway::Notice::Kind::Ordered, "t1", "m", 2, absl::Seconds(3)
  };
  return gateway::WriteNews(5,
                            12,
                            MakeSource(),
                            gateway::WriteRow(item) + "," +
                              gateway::WriteRow(store) + "," +
                              gateway::WriteRow(notice));
}

} // namespace

TEST_CASE("news arrive as they were written")
{
  const auto news = gateway::ReadNews(MakeNews());
  REQUIRE(news);
  CHECK(news->feed_ == 5);
  CHECK(news->next_ == 12);
  CHECK(news->source_.direct_);
  CHECK_FALSE(news->source_.reachable_);
  CHECK(news->source_.clockMs_ == 1700000000123);
  CHECK(news->source_.heard_.at("s1") == absl::Milliseconds(250));
  REQUIRE(news->items_.size() == 1);
  CHECK(news->items_[0].key_ == "a/b");
  CHECK(news->items_[0].value_ == "{\"x\":1}");
  CHECK(news->items_[0].revision_ == 17);
  CHECK(news->items_[0].era_ == 4);
  CHECK(news->source_.era_ == 4);
  REQUIRE(news->stores_.size() == 1);
  CHECK(news->stores_[0].whole_);
  CHECK(news->stores_[0].epoch_ == 9);
  REQUIRE(news->stores_[0].changes_.size() == 1);
  CHECK(news->stores_[0].changes_[0].scope_ == "shared.m.1");
  CHECK(news->stores_[0].changes_[0].tokens_ == 512);
  REQUIRE(news->notices_.size() == 1);
  CHECK(news->notices_[0].until_ == absl::Seconds(3));
}

TEST_CASE("notices arrive as they were written")
{
  const gateway::Notice notice{
    gateway::Notice::Kind::Loaded, "t1", "m", 2, absl::ZeroDuration()
  };
  const auto read =
    gateway::ReadNotices(gateway::WriteNotices({ notice, notice }));
  REQUIRE(read.size() == 2);
  CHECK(read[1].kind_ == gateway::Notice::Kind::Loaded);
  CHECK(read[1].name_ == "t1");
  CHECK(read[1].version_ == 2);
}

TEST_CASE("rows that can't be read are left out")
{
  const auto news = gateway::ReadNews(
    R"({"feed":5,"rows":[7,[],{"key":"a"},{"notice":"dance"},)"
    R"({"store":"s","changes":[[1],[true,"a","b",-4],[true,"a","b",4]]}]})");
  REQUIRE(news);
  CHECK(news->items_.empty());
  CHECK(news->notices_.empty());
  REQUIRE(news->stores_.size() == 1);
  CHECK(news->stores_[0].changes_.size() == 1);
  CHECK_FALSE(gateway::ReadNews("{}"));
  CHECK_FALSE(gateway::ReadNews("nonsense"));
  CHECK(gateway::ReadNotices("[]").empty());
}

// Any bytes from another host are read or refused, never more.
TEST_CASE("damaged news do no harm")
{
  constexpr int kRounds = 5000;
  std::mt19937 random(11);
  const auto whole = MakeNews();
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
    const auto news = gateway::ReadNews(text);
    if (news) {
      for (const auto& item : news->items_) {
        CHECK(item.revision_ != 0);
      }
    }
  }
}

TEST_CASE("all that a store holds is told by scope, and read back")
{
  gateway::StoreNews store{ "c1", false, true, 4, 9, {} };
  store.changes_ = { { true, "shared.m.1", "p1", 512 },
                     { true, "w.x.m.1", "p1", 300 },
                     { true, "shared.m.1", "p2", 8000 } };
  const auto row = gateway::WriteRow(store);
  // A scope is written once, whatever the number of its parts.
  CHECK(row.find("shared.m.1") == row.rfind("shared.m.1"));
  const auto news = gateway::ReadNews(gateway::WriteNews(7, 1, {}, row));
  REQUIRE(news);
  REQUIRE(news->stores_.size() == 1);
  std::map<std::string, std::uint32_t> held;
  for (const auto& part : news->stores_[0].changes_) {
    CHECK(part.added_);
    held[part.scope_ + "|" + part.part_] = part.tokens_;
  }
  const std::map<std::string, std::uint32_t> expected{
    { "shared.m.1|p1", 512 }, { "shared.m.1|p2", 8000 }, { "w.x.m.1|p1", 300 }
  };
  CHECK(held == expected);
}
