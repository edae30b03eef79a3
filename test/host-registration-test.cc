#include "gateway/host-registration.h"

#include <catch2/catch.hpp>

#include "gateway-world.h"

namespace gateway = lycheeplank::gateway;
namespace test = lycheeplank::test;

namespace {

// A host that registers with a fake key-value service.
struct RegisteredHost
{
  RegisteredHost()
    : store_(loop_,
             [this](test::FakeTarget& aSelf, const auto& aSocket) {
               const auto call = std::exchange(aSelf.received_, {});
               if (silent_) {
                 return;
               }
               grants_ += Contains(call, "/-/kv-lease ") ? 1 : 0;
               writes_ += Contains(call, "/-/kv-txn ") ? 1 : 0;
               // The service renews any lease, as the number of an expired one
               // may now be another host's.
               renewals_ += Contains(call, "/-/kv-keep/") ? 1 : 0;
               const std::string body = R"({"lease":5,"revision":9})";
               aSocket->Send(
                 "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era_) +
                 "\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
             })
    , adapter_(lycheeplank::platform::MakeAdapter())
    , host_(loop_, gateway::Settings(), adapter_, open("/dev/null", O_WRONLY))
    , registration_(std::make_shared<gateway::HostRegistration>(host_))
  {
    host_.settings_.storeAddress_ = store_.Address();
    host_.onNewEra_ = [this] { registration_->Reregister(); };
    registration_->Start();
  }

  static bool Contains(const std::string& aText, const std::string& aPart)
  {
    return aText.find(aPart) != std::string::npos;
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = gateway::Now() + absl::Seconds(6);
    while (!aCondition() && gateway::Now() < end) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(5));
    }
    return aCondition();
  }

  gateway::Loop loop_{ 1 };
  std::uint64_t era_ = 1;
  bool silent_ = false;
  int grants_ = 0;
  int writes_ = 0;
  int renewals_ = 0;
  test::FakeTarget store_;
  gateway::Adapter adapter_;
  gateway::Host host_;
  std::shared_ptr<gateway::HostRegistration> registration_;
};

} // namespace

TEST_CASE("a host writes its entry under a lease and renews the lease")
{
  RegisteredHost registered;
  REQUIRE(registered.RunUntil([&] { return registered.renewals_ == 2; }));
  CHECK(registered.grants_ == 1);
  CHECK(registered.writes_ == 1);
}

TEST_CASE("a host registers again after the service was restored from a backup")
{
  RegisteredHost registered;
  REQUIRE(registered.RunUntil([&] { return registered.writes_ == 1; }));
  registered.era_ = 2;
  // The renewal succeeds, but the lease belongs to another era.
  REQUIRE(registered.RunUntil([&] { return registered.renewals_ == 1; }));
  REQUIRE(registered.RunUntil([&] { return registered.writes_ == 2; }));
  CHECK(registered.grants_ == 2);
  CHECK(registered.renewals_ == 1);
}

TEST_CASE("a relay soon detects that the service doesn't answer")
{
  RegisteredHost registered;
  registered.host_.role_ = gateway::Role::Direct;
  REQUIRE(registered.RunUntil([&] { return registered.renewals_ == 1; }));
  bool feedChanged = false;
  registered.host_.onFeed_ = [&feedChanged] { feedChanged = true; };
  registered.silent_ = true;
  const auto silentAt = gateway::Now();
  REQUIRE(
    registered.RunUntil([&] { return !registered.host_.store_.reachable_; }));
  // A configuration that the service accepts meanwhile has to take effect
  // within two seconds, in which the hosts that poll the relay have to find
  // another.
  CHECK(gateway::Now() - silentAt < absl::Milliseconds(1500));
  CHECK(feedChanged);
}
