#include "gateway/follower.h"

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
    follower_->Start();
  }

  void Answer(test::FakeTarget& aSelf,
              const std::shared_ptr<gateway::Socket>& aSocket)
  {
    const auto call = std::exchange(aSelf.received_, {});
    if (call.find("/-/kv-range") != std::string::npos) {
      ++lists_;
      Send(aSocket, "200 OK", R"({"items":[],"has-more":false,"as-of":5})");
    } else if (call.find("/-/kv-watch") != std::string::npos) {
      // Never answered.
      ++watches_;
    } else {
      Send(aSocket, fails_ ? "503 Unavailable" : "200 OK", "{}");
    }
  }

  static void Send(const std::shared_ptr<gateway::Socket>& aSocket,
                   const std::string& aStatus,
                   const std::string& aBody)
  {
    aSocket->Send("HTTP/1.1 " + aStatus + "\r\nContent-Length: " +
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
  int lists_ = 0;
  int watches_ = 0;
  bool fails_ = false;
  test::FakeTarget store_;
  gateway::Adapter adapter_;
  gateway::Host host_;
  std::shared_ptr<gateway::Follower> follower_;
};

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
