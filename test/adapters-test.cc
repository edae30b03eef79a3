#include "adapters/engine.h"
#include "adapters/json-text.h"
#include "adapters/orders.h"
#include "adapters/platform.h"
#include "adapters/store.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace adapters = lycheeplank::adapters;
namespace net = lycheeplank::net;
namespace platform = lycheeplank::platform;

namespace {

// Returns the outcome of a command to a service that answers with status
// aStatus and body aBody.
platform::Outcome
OutcomeOf(platform::Operation aOperation, int aStatus, const std::string& aBody)
{
  net::Server server({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    aExchange->Reply(aStatus, { { "X-Version", "7" } }, aBody);
  });
  net::Client client;
  adapters::PlatformClient service(
    client, absl::StrCat("http://127.0.0.1:", server.Port()), "test");
  platform::Command command;
  command.operation_ = aOperation;
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

platform::Outcome
OutcomeOfWrite(int aStatus)
{
  return OutcomeOf(platform::Operation::Write, aStatus, "value");
}

// Returns arrays within each other.
std::string
NestedArrays()
{
  constexpr std::size_t kDepth = 200'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

} // namespace

TEST_CASE("a write is Refused only if the service did not execute it")
{
  CHECK(OutcomeOfWrite(200) == platform::Outcome::Ok);
  CHECK(OutcomeOfWrite(409) == platform::Outcome::Conflict);
  CHECK(OutcomeOfWrite(404) == platform::Outcome::Absent);
  CHECK(OutcomeOfWrite(413) == platform::Outcome::Refused);
  CHECK(OutcomeOfWrite(429) == platform::Outcome::Refused);
  CHECK(OutcomeOfWrite(500) == platform::Outcome::Lost);
  CHECK(OutcomeOfWrite(502) == platform::Outcome::Lost);
  CHECK(OutcomeOfWrite(504) == platform::Outcome::Lost);
}

TEST_CASE("malformed answers of engines and stores are rejected")
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

TEST_CASE("a run event has exactly one member set")
{
  const auto token = adapters::ReadRunEvent(R"({"index":2,"text":" a"})");
  REQUIRE(token);
  CHECK(token->token_->index_ == 2);
  CHECK_FALSE(token->start_);
  CHECK_FALSE(token->finish_);
}

TEST_CASE("token events in the usual and in any other form are parsed alike")
{
  const std::vector<std::pair<std::string, std::string>> pairs{
    { R"({"index":0,"text":"a"})", R"({ "index": 0, "text": "a" })" },
    { R"({"index":12,"text":" a b"})", R"({"text":" a b","index":12})" },
    { R"({"index":7,"text":""})", R"({"index":7, "text":""})" },
    { R"({"index":7,"text":"\"\\\n"})", R"({"index":7, "text":"\"\\\n"})" },
    { R"({"index":7,"text":"é"})", R"({"index":7,"text":"\u00e9"})" },
    { R"({"index":18446744073709551615,"text":"a"})",
      R"({"index":18446744073709551615, "text":"a"})" },
    { R"({"index":7,"text":"x","text":"y"})",
      R"({"index":7, "text":"x", "text":"y"})" },
  };
  for (const auto& [usual, other] : pairs) {
    CAPTURE(usual);
    const auto left = adapters::ReadRunEvent(usual);
    const auto right = adapters::ReadRunEvent(other);
    REQUIRE(left);
    REQUIRE(right);
    CHECK(left->token_->index_ == right->token_->index_);
    CHECK(left->token_->text_ == right->token_->text_);
  }
}

TEST_CASE("a malformed token event is rejected")
{
  const std::vector<std::string> broken{
    R"({"index":1,"text":"a")",        R"({"index":1,"text":"a"}x)",
    R"({"index":01,"text":"a"})",      R"({"index":+1,"text":"a"})",
    R"({"index":,"text":"a"})",        R"({"index":1 2,"text":"a"})",
    R"({"index":1,"text":"a"b"})",     R"({"index":1,"text":"a\"})",
    R"({"index":1,"text":"a\x"})",     "{\"index\":1,\"text\":\"a\x01\"}",
    "{\"index\":1,\"text\":\"\xff\"}", R"({"index":"1","text":"a"})",
    R"({"index":1,"text":5})",         R"({"index":1,"text"})",
  };
  for (const std::string& data : broken) {
    CAPTURE(data);
    CHECK_FALSE(adapters::ReadRunEvent(data));
  }
}

TEST_CASE(
  "a run event that lacks what its place in the run depends on is rejected")
{
  const std::vector<std::string> broken{
    R"({"text":"a"})",
    R"({"index":-1,"text":"a"})",
    R"({"index":1.5,"text":"a"})",
    R"({"index":true,"text":"a"})",
    R"({"event":"end"})",
    R"({"event":"end","finish_reason":"length"})",
    R"({"event":"end","finish_reason":"length","tokens":-1})",
    R"({"event":"end","finish_reason":"length","tokens":2.9})",
    R"({"event":"end","tokens":2})",
    R"({"event":"start","prompt_tokens":3})",
  };
  for (const std::string& data : broken) {
    CAPTURE(data);
    CHECK_FALSE(adapters::ReadRunEvent(data));
  }
}

TEST_CASE("answers that are deeply nested are rejected")
{
  const std::string nested = NestedArrays();
  CHECK_FALSE(adapters::ReadRunEvent(absl::StrCat(
    R"({"event":"end","finish_reason":"stop","tokens":0,"blocks":)",
    nested,
    "}")));
  CHECK_FALSE(
    adapters::ReadCacheEvents(absl::StrCat(R"({"events":)", nested, "}")));
  CHECK_FALSE(
    adapters::ReadStorePage(absl::StrCat(R"({"blocks":)", nested, "}")));
  CHECK(OutcomeOf(platform::Operation::List,
                  200,
                  absl::StrCat(R"({"entries":)", nested, "}")) ==
        platform::Outcome::Lost);
}

// Guards against an empty list in place of one that is missing.
TEST_CASE("a list of the platform without its items is lost")
{
  using platform::Operation;
  using platform::Outcome;
  const auto outcome = [](Operation aOperation, const std::string& aBody) {
    return OutcomeOf(aOperation, 200, aBody);
  };
  CHECK(outcome(Operation::ListHosts, R"({"revision":9,"hosts":[]})") ==
        Outcome::Ok);
  CHECK(outcome(Operation::List, R"({"entries":[],"more":false})") ==
        Outcome::Ok);
  for (const char* body : { "{}",
                            R"({"revision":9})",
                            R"({"revision":9,"hosts":{}})",
                            R"({"revision":9,"hosts":null})",
                            R"({"hosts":[]})" }) {
    CAPTURE(body);
    CHECK(outcome(Operation::ListHosts, body) == Outcome::Lost);
  }
  for (const char* body : { "{}",
                            R"({"more":false})",
                            R"({"entries":[]})",
                            R"({"entries":{},"more":false})" }) {
    CAPTURE(body);
    CHECK(outcome(Operation::List, body) == Outcome::Lost);
  }
}

TEST_CASE("a refused order with an unreadable reason isn't a stale fence")
{
  net::Answer answer;
  answer.end_.completed_ = true;
  answer.end_.status_ = 409;
  for (const char* body :
       { R"({"error":{"code":1}})", R"({"error":7})", "{" }) {
    CAPTURE(body);
    answer.body_ = body;
    CHECK_FALSE(adapters::IsStaleFence(answer));
  }
  answer.body_ = R"({"error":"stale_fence"})";
  CHECK(adapters::IsStaleFence(answer));
}

TEST_CASE("a quoted text is parsed back unchanged")
{
  for (const std::string text : { "", " plain", "\"", "\\", "\n\t\x01", "é" }) {
    CHECK(nlohmann::json::parse(adapters::QuoteJson(text)) == text);
  }
  CHECK(adapters::QuoteJson(" plain") == "\" plain\"");
  CHECK(adapters::QuoteJson("\xff") == "\"\xEF\xBF\xBD\"");
}
