#include "gateway/presence.h"

#include <catch2/catch.hpp>

#include "gateway-world.h"

namespace gateway = lycheeplank::gateway;
namespace test = lycheeplank::test;

namespace {

// A host that keeps its entry in a key-value service.
struct PresentHost
{
  PresentHost()
    : store_(loop_,
             [this](test::FakeTarget& aSelf, const auto& aSocket) {
               const auto call = std::exchange(aSelf.received_, {});
               if (silent_) {
                 return;
               }
               grants_ += Has(call, "/-/kv-lease ") ? 1 : 0;
               writes_ += Has(call, "/-/kv-txn ") ? 1 : 0;
               // Any lease can be renewed: its number may be another host's.
               keeps_ += Has(call, "/-/kv-keep/") ? 1 : 0;
               const std::string body = R"({"lease":5,"revision":9})";
               aSocket->Send(
                 "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era_) +
                 "\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
             })
    , adapter_(lycheeplank::platform::MakeAdapter())
    , host_(loop_, gateway::Settings(), adapter_, open("/dev/null", O_WRONLY))
    , presence_(std::make_shared<gateway::Presence>(host_))
  {
    host_.settings_.storeAddress_ = store_.Address();
    host_.onNewEra_ = [this] { presence_->Renew(); };
    presence_->Start();
  }

  static bool Has(const std::string& aText, const std::string& aPart)
  {
    return aText.find(aPart) != std::string::npos;
  }

  bool RunUntil(const std::function<bool()>& aHolds)
  {
    const auto end = gateway::Now() + absl::Seconds(6);
    while (!aHolds() && gateway::Now() < end) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(5));
    }
    return aHolds();
  }

  gateway::Loop loop_{ 1 };
  std::uint64_t era_ = 1;
  bool silent_ = false;
  int grants_ = 0;
  int writes_ = 0;
  int keeps_ = 0;
  test::FakeTarget store_;
  gateway::Adapter adapter_;
  gateway::Host host_;
  std::shared_ptr<gateway::Presence> presence_;
};

} // namespace

TEST_CASE("a host writes its entry under a lease and renews that")
{
  PresentHost present;
  REQUIRE(present.RunUntil([&] { return present.keeps_ == 2; }));
  CHECK(present.grants_ == 1);
  CHECK(present.writes_ == 1);
}

TEST_CASE(
  "after a return of the service from a copy the entry is written again")
{
  PresentHost present;
  REQUIRE(present.RunUntil([&] { return present.writes_ == 1; }));
  present.era_ = 2;
  // The renewal succeeds, but of a lease of another era.
  REQUIRE(present.RunUntil([&] { return present.keeps_ == 1; }));
  REQUIRE(present.RunUntil([&] { return present.writes_ == 2; }));
  CHECK(present.grants_ == 2);
  CHECK(present.keeps_ == 1);
}

TEST_CASE("a relay finds out in time that the service has fallen silent")
{
  PresentHost present;
  present.host_.role_ = gateway::Role::Direct;
  REQUIRE(present.RunUntil([&] { return present.keeps_ == 1; }));
  bool told = false;
  present.host_.onFeed_ = [&told] { told = true; };
  present.silent_ = true;
  const auto silentAt = gateway::Now();
  REQUIRE(present.RunUntil([&] { return !present.host_.store_.reachable_; }));
  // What is accepted meanwhile has to be in force within two seconds, and the
  // hosts that the relay tells have to find another one.
  CHECK(gateway::Now() - silentAt < absl::Milliseconds(1500));
  CHECK(told);
}
