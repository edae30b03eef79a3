#include "gateway/stores.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "gateway-world.h"

namespace catalog = lycheeplank::catalog;
namespace gateway = lycheeplank::gateway;
namespace cache_index = lycheeplank::cache_index;
namespace test = lycheeplank::test;

namespace {

// A host that follows one cache store. The store reports its changes, except
// for change number omitted_, which it omits.
struct FollowedStore
{
  FollowedStore()
    : store_(loop_,
             [this](test::FakeTarget& aSelf, const auto& aSocket) {
               const auto call = std::exchange(aSelf.received_, {});
               const bool isList = call.find("/-/kv-list") != std::string::npos;
               lists_ += isList ? 1 : 0;
               const auto body = isList ? List() : Changes();
               aSocket->Send(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                                          body.size(),
                                          "\r\n\r\n",
                                          body));
             })
    , adapter_(lycheeplank::platform::MakeAdapter())
    , host_(loop_, gateway::Settings(), adapter_, open("/dev/null", O_WRONLY))
    , follower_(std::make_shared<gateway::StoreFollower>(host_, "c1"))
  {
    catalog::CacheStore store;
    store.name_ = "c1";
    store.address_ = store_.Address();
    cache_index::SetStores(host_.cacheIndex_, { store });
    follower_->Start();
  }

  // Returns an answer with the next pendingChanges_ changes, without number
  // omitted_.
  std::string Changes()
  {
    const auto from = next_;
    next_ += pendingChanges_;
    const auto row = [](std::uint64_t aNumber) {
      return absl::StrCat(
        "[", aNumber, R"(,"+","shared.m.1","p)", aNumber, R"(",512,"m"])");
    };
    std::string rows;
    for (auto number = from; number < next_; ++number) {
      if (number != omitted_) {
        absl::StrAppend(&rows, rows.empty() ? "" : ",", row(number));
      }
    }
    pendingChanges_ = 0;
    return absl::StrCat("{\"boot-epoch\":7,\"next\":",
                        next_,
                        ",\"lost\":false,\"events\":[",
                        rows,
                        "]}");
  }

  std::string List() const
  {
    std::string rows;
    for (std::uint64_t number = 1; number < next_; ++number) {
      absl::StrAppend(&rows,
                      rows.empty() ? "" : ",",
                      R"(["shared.m.1","p)",
                      number,
                      R"(",512,"m"])");
    }
    return absl::StrCat(
      "{\"boot-epoch\":7,\"next\":", next_, ",\"held\":[", rows, "]}");
  }

  std::size_t KnownParts() const
  {
    return host_.cacheIndex_.stores_.at("c1").parts_.size();
  }

  bool RunUntil(const std::function<bool()>& aHolds)
  {
    const auto end = gateway::Now() + absl::Seconds(5);
    while (!aHolds() && gateway::Now() < end) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(5));
    }
    return aHolds();
  }

  gateway::Loop loop_{ 1 };
  std::uint64_t next_ = 1;
  std::uint64_t pendingChanges_ = 0;
  std::uint64_t omitted_ = 0;
  int lists_ = 0;
  test::FakeTarget store_;
  gateway::Adapter adapter_;
  gateway::Host host_;
  std::shared_ptr<gateway::StoreFollower> follower_;
};

} // namespace

TEST_CASE("a missing change of a cache store is detected by its number")
{
  FollowedStore followed;
  followed.pendingChanges_ = 2;
  REQUIRE(followed.RunUntil([&] { return followed.KnownParts() == 2; }));
  CHECK(followed.lists_ == 0);
  // The store omits the third of four changes.
  followed.omitted_ = 3;
  followed.pendingChanges_ = 2;
  REQUIRE(followed.RunUntil([&] { return followed.KnownParts() == 4; }));
  CHECK(followed.lists_ == 1);
  // The list for the next missing change is delayed, since lists slow the store
  // down.
  followed.omitted_ = 5;
  followed.pendingChanges_ = 2;
  REQUIRE(followed.RunUntil([&] { return followed.KnownParts() == 5; }));
  CHECK(followed.lists_ == 1);
  CHECK(followed.RunUntil([&] { return followed.KnownParts() == 6; }));
  CHECK(followed.lists_ == 2);
}
