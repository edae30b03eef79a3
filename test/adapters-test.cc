#include "adapters/engine.h"
#include "adapters/platform.h"
#include "adapters/store.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

namespace adapters = lycheeplank::adapters;
namespace net = lycheeplank::net;
namespace platform = lycheeplank::platform;

namespace {

// Runs one write against a service that answers with a status.
platform::Outcome
WriteAgainst(int aStatus)
{
  net::Server server(
    {}, [aStatus](const std::shared_ptr<net::Exchange>& aExchange) {
      aExchange->Reply(aStatus, { { "X-Version", "7" } }, "value");
    });
  net::Client client;
  adapters::PlatformClient service(
    client, absl::StrCat("http://127.0.0.1:", server.Port()), "test");
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = "k";
  command.expect_ = 1;
  platform::Reply reply;
  absl::Notification done;
  service.Execute(command, [&](platform::Reply aReply) {
    reply = std::move(aReply);
    done.Notify();
  });
  done.WaitForNotification();
  return reply.outcome_;
}

} // namespace

TEST_CASE("only an answer given before the effect counts as a refusal")
{
  CHECK(WriteAgainst(200) == platform::Outcome::Ok);
  CHECK(WriteAgainst(409) == platform::Outcome::Conflict);
  CHECK(WriteAgainst(404) == platform::Outcome::Absent);
  CHECK(WriteAgainst(413) == platform::Outcome::Refused);
  CHECK(WriteAgainst(429) == platform::Outcome::Refused);
  CHECK(WriteAgainst(500) == platform::Outcome::Lost);
  CHECK(WriteAgainst(502) == platform::Outcome::Lost);
  CHECK(WriteAgainst(504) == platform::Outcome::Lost);
}

TEST_CASE("broken answers of engines and stores are told from good ones")
{
  CHECK_FALSE(adapters::ReadLoad("{"));
  CHECK_FALSE(adapters::ReadLoad(R"({"running":"many"})"));
  CHECK_FALSE(adapters::ReadStorePage("[]"));
  CHECK_FALSE(adapters::ReadRunEvent("[DONE]"));
  const auto load = adapters::ReadLoad(R"({"running":3,"leaving":true})");
  REQUIRE(load);
  CHECK(load->running_ == 3);
  CHECK(load->leaving_);
}

TEST_CASE("a run's event has exactly one part")
{
  const auto token = adapters::ReadRunEvent(R"({"index":2,"text":" a"})");
  REQUIRE(token);
  CHECK(token->token_->index_ == 2);
  CHECK_FALSE(token->start_);
  CHECK_FALSE(token->finish_);
}
