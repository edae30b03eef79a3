#include "gateway/follower.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "gateway-world.h"

namespace gateway = lycheeplank::gateway;
namespace test = lycheeplank::test;

namespace {

// A host that follows a key-value service, which answers as the test says.
struct FollowingHost
{
  FollowingHost()
    : store_(loop_,
             [this](test::FakeTarget& aSelf, const auto& aSocket) {
               Answer(aSelf, aSocket);
             })
    , adapter_(lycheeplank::platform::MakeAdapter())
    , host_(loop_, gateway::Settings(), adapter_, open("/dev/null", O_WRONLY))
    , follower_(std::make_shared<gateway::Follower>(host_, ""))
  {
    host_.settings_.storeAddress_ = store_.Address();
    host_.onStoreBack_ = [this](absl::Time aBackAt) {
      follower_->Renew(aBackAt);
    };
    host_.onEra_ = [this] { follower_->Restart(); };
    follower_->Start();
  }

  void Answer(test::FakeTarget& aSelf,
              const std::shared_ptr<gateway::Socket>& aSocket)
  {
    const auto call = std::exchange(aSelf.received_, {});
    if (call.find("/-/kv-range") != std::string::npos) {
      ++lists_;
      Send(aSocket, "200 OK", list_);
    } else if (call.find("/-/kv-watch") != std::string::npos) {
      // Never answered.
      ++watches_;
    } else {
      Send(aSocket, fails_ ? "503 Unavailable" : "200 OK", "{}");
    }
  }

  void Send(const std::shared_ptr<gateway::Socket>& aSocket,
            const std::string& aStatus,
            const std::string& aBody) const
  {
    aSocket->Send("HTTP/1.1 " + aStatus + era_ + "\r\nContent-Length: " +
                  std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }

  // Makes another call to the service and waits for its answer.
  void MakeCall(bool aFails)
  {
    fails_ = aFails;
    gateway::StoreCommand command;
    command.operation_ = gateway::StoreOperation::KeepLease;
    command.lease_ = 7;
    bool done = false;
    gateway::CallStore(host_,
                       command,
                       absl::Seconds(1),
                       [&done](const gateway::StoreReply&) { done = true; });
    CHECK(RunUntil([&done] { return done; }));
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
  std::string list_ = R"({"items":[],"has-more":false,"as-of":5})";
  // Header line of the service's era, or nothing.
  std::string era_;
  int lists_ = 0;
  int watches_ = 0;
  bool fails_ = false;
  test::FakeTarget store_;
  gateway::Adapter adapter_;
  gateway::Host host_;
  std::shared_ptr<gateway::Follower> follower_;
};

std::string
ListOf(const std::string& aItems, int aAsOf)
{
  return absl::StrCat(
    "{\"items\":[", aItems, "],\"has-more\":false,\"as-of\":", aAsOf, "}");
}

std::string
ItemText(const std::string& aKey, const std::string& aValue, int aRevision)
{
  return absl::StrCat("{\"key\":\"",
                      aKey,
                      "\",\"value\":\"",
                      absl::Base64Escape(aValue),
                      "\",\"revision\":",
                      aRevision,
                      ",\"created\":1}");
}

std::string
TargetText(const std::string& aState)
{
  return absl::StrCat(R"({"service":"s","address":"1.2.3.4:5","state":")",
                      aState,
                      R"(","born":7})");
}

// A configuration whose one workspace has a key.
std::string
CatalogText(int aVersion, const std::string& aKey)
{
  return absl::StrCat("{\"version\":",
                      aVersion,
                      R"(,"routes":[],"services":[],"tenants":[{"name":"w",)",
                      R"("api-keys":[")",
                      aKey,
                      "\"]}]}");
}

} // namespace

TEST_CASE("a watch from before an outage is given up when others are answered")
{
  FollowingHost following;
  REQUIRE(following.RunUntil([&] { return following.watches_ == 1; }));
  following.MakeCall(true);
  CHECK(following.lists_ == 1);
  following.MakeCall(false);
  CHECK(following.RunUntil([&] { return following.watches_ == 2; }));
  CHECK(following.lists_ == 2);
  // Without another outage it goes on waiting.
  following.MakeCall(false);
  CHECK(following.lists_ == 2);
}

TEST_CASE("after a return from a copy all is read again, and nothing goes back")
{
  FollowingHost following;
  auto& host = following.host_;
  following.era_ = "\r\nStore-Era: 3";
  following.list_ =
    ListOf(ItemText("op/config", CatalogText(8, "new"), 80) + "," +
             ItemText("servers/t1", TargetText("draining"), 81) + "," +
             ItemText("servers/t2", TargetText("ready"), 82),
           90);
  REQUIRE(following.RunUntil([&] { return following.watches_ == 1; }));
  REQUIRE(host.catalog_->version_ == 8);
  REQUIRE(host.members_.size() == 2);

  // The copy is from before the key was revoked, t1 left and t2 came.
  following.era_ = "\r\nStore-Era: 4";
  following.list_ =
    ListOf(ItemText("op/config", CatalogText(7, "old"), 40) + "," +
             ItemText("servers/t1", TargetText("ready"), 41),
           50);
  following.MakeCall(false);
  REQUIRE(following.RunUntil([&] { return following.watches_ == 2; }));
  CHECK(following.lists_ == 2);
  CHECK(host.catalog_->version_ == 8);
  CHECK(lycheeplank::catalog::FindWorkspace(*host.catalog_, "old") == nullptr);
  CHECK(host.members_.at("t1").target_.state_ ==
        lycheeplank::fleet::TargetState::Leaving);
  // t2 has its time to write its entry again.
  REQUIRE(host.members_.count("t2") == 1);
  const auto believed = host.members_.at("t2").expiresAt_ - gateway::Now();
  CHECK(believed > absl::Seconds(1));
  CHECK(believed < absl::Seconds(2));

  // What is written anew counts, though its revision is lower than before.
  gateway::Learn(host,
                 { [] {
                   lycheeplank::replica::Item item{ "op/config",
                                                    CatalogText(9, "newer"),
                                                    51 };
                   item.era_ = 4;
                   return item;
                 }() },
                 "watch",
                 gateway::Now());
  CHECK(host.catalog_->version_ == 9);
}

TEST_CASE("a reply of an era that is over says nothing")
{
  FollowingHost following;
  auto& host = following.host_;
  following.era_ = "\r\nStore-Era: 3";
  REQUIRE(following.RunUntil([&] { return following.watches_ == 1; }));
  // Another host tells of the return before the service does.
  gateway::NoteEra(host, 4, "peer");
  following.list_ = ListOf(ItemText("servers/t1", TargetText("ready"), 99), 99);
  following.RunUntil([&] { return following.lists_ > 2; });
  CHECK(host.members_.empty());
  following.era_ = "\r\nStore-Era: 4";
  CHECK(following.RunUntil([&] { return host.members_.size() == 1; }));
}

TEST_CASE("the first era that a host hears of changes nothing")
{
  FollowingHost following;
  following.era_ = "\r\nStore-Era: 0";
  REQUIRE(following.RunUntil([&] { return following.watches_ == 1; }));
  CHECK(following.lists_ == 1);
  // The next one does, though it is the first above zero.
  following.era_ = "\r\nStore-Era: 1";
  following.MakeCall(false);
  CHECK(following.RunUntil([&] { return following.lists_ == 2; }));
}
