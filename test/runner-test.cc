#include "entry/runner.h"

#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

namespace entry = lycheeplank::entry;
namespace net = lycheeplank::net;
namespace reducer = lycheeplank::reducer;

namespace {

// An exchange that records its status and what is written to its stream.
class RecordedExchange final : public net::Exchange
{
public:
  void Reply(int aStatus, std::vector<net::Field>, std::string) override
  {
    status_ = aStatus;
  }
  void BeginStream(int, std::vector<net::Field>) override {}
  bool Write(absl::string_view aData) override
  {
    written_ += std::string(aData);
    return true;
  }
  void End() override {}
  void Abort() override {}
  void OnClosed(std::function<void()>) override {}
  std::size_t Backlog() override { return 0; }

  // 0 without an answer.
  int status_ = 0;
  std::string written_;
};

// What came of an attempt.
struct Outcome
{
  std::vector<reducer::AttemptStarted> started_;
  reducer::AttemptEnded ended_;
  // What the caller got.
  std::string written_;
};

// Runs a completion for weight version "v1" on an engine that gives one answer
// to all requests.
Outcome
RunOnEngine(int aStatus, const std::string& aBody)
{
  net::Server engine({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    aExchange->Reply(aStatus, {}, aBody);
  });
  lycheeplank::metrics::Registry metrics;
  entry::OpenRequests openRequests;
  Outcome outcome;
  absl::Notification done;
  net::Client client;
  entry::Runner runner(
    client, openRequests, metrics, "secret", [&](reducer::Event aEvent) {
      if (const auto* started = absl::get_if<reducer::AttemptStarted>(&aEvent);
          started != nullptr) {
        outcome.started_.push_back(*started);
      }
      if (const auto* ended = absl::get_if<reducer::AttemptEnded>(&aEvent);
          ended != nullptr) {
        outcome.ended_ = *ended;
        done.Notify();
      }
    });
  const auto exchange = std::make_shared<RecordedExchange>();
  auto openRequest = std::make_shared<entry::OpenRequest>();
  openRequest->publicId_ = "request";
  openRequest->workspace_ = "ws";
  openRequest->modelOrService_ = "wording";
  openRequest->prompt_ = std::make_shared<const std::string>("prompt");
  openRequest->stream_ = true;
  openRequest->exchange_ = exchange;
  openRequests.Add(openRequest);
  reducer::Dispatch dispatch;
  dispatch.id_ = openRequest->id_;
  dispatch.attempt_ = 1;
  dispatch.target_ = "engine-1";
  dispatch.url_ = absl::StrCat("http://127.0.0.1:", engine.Port());
  dispatch.weightVersion_ = "v1";
  runner.Perform(dispatch);
  done.WaitForNotification();
  outcome.written_ = exchange->written_;
  return outcome;
}

// Sends a repeatable call to a service that gives one answer to all calls.
// Returns the result of the attempt and the status that the caller got.
std::pair<reducer::AttemptResult, int>
CallService(int aStatus)
{
  net::Server service({}, [&](const std::shared_ptr<net::Exchange>& aExchange) {
    aExchange->Reply(aStatus, {}, "{}");
  });
  lycheeplank::metrics::Registry metrics;
  entry::OpenRequests openRequests;
  reducer::AttemptEnded ended;
  absl::Notification done;
  net::Client client;
  entry::Runner runner(
    client, openRequests, metrics, "secret", [&](reducer::Event aEvent) {
      ended = absl::get<reducer::AttemptEnded>(aEvent);
      done.Notify();
    });
  const auto exchange = std::make_shared<RecordedExchange>();
  auto openRequest = std::make_shared<entry::OpenRequest>();
  openRequest->publicId_ = "request";
  openRequest->modelOrService_ = "registry";
  openRequest->callName_ = "check";
  openRequest->exchange_ = exchange;
  openRequests.Add(openRequest);
  reducer::Dispatch dispatch;
  dispatch.id_ = openRequest->id_;
  dispatch.attempt_ = 1;
  dispatch.url_ = absl::StrCat("http://127.0.0.1:", service.Port());
  dispatch.deadline_ = absl::Now() + absl::Seconds(30);
  runner.Perform(dispatch);
  done.WaitForNotification();
  return { ended.result_, exchange->status_ };
}

std::string
StartEvent(const std::string& aWeightVersion)
{
  return net::FormatSse("",
                        absl::StrCat(R"({"event":"start","weight_version":")",
                                     aWeightVersion,
                                     R"("})"));
}

// Two tokens and the end of a run.
std::string
RestOfRun()
{
  return net::FormatSse("", R"({"index":0,"text":"a"})") +
         net::FormatSse("", R"({"index":1,"text":"b"})") +
         net::FormatSse(
           "", R"({"event":"end","finish_reason":"length","tokens":2})");
}

} // namespace

TEST_CASE("a run under the ordered weight version is relayed")
{
  const auto outcome = RunOnEngine(200, StartEvent("v1") + RestOfRun());
  CHECK(outcome.ended_.result_ == reducer::AttemptResult::Completed);
  REQUIRE(outcome.started_.size() == 1);
  CHECK(outcome.started_[0].weightVersion_ == "v1");
  CHECK(outcome.written_.find("[DONE]") != std::string::npos);
}

// A host would take the report of such a start for a fault of its own and end.
TEST_CASE("a run under another weight version breaks the attempt")
{
  const std::string start =
    GENERATE(StartEvent("v2"), StartEvent(""), std::string());
  CAPTURE(start);
  const auto outcome = RunOnEngine(200, start + RestOfRun());
  CHECK(outcome.ended_.result_ == reducer::AttemptResult::Broken);
  CHECK(outcome.started_.empty());
  CHECK(outcome.written_.empty());
}

TEST_CASE("a second start under another weight version breaks the attempt")
{
  const auto outcome =
    RunOnEngine(200, StartEvent("v1") + StartEvent("v2") + RestOfRun());
  CHECK(outcome.ended_.result_ == reducer::AttemptResult::Broken);
  CHECK(outcome.written_.empty());
}

TEST_CASE("an engine's refusal with an unreadable reason is a refusal")
{
  for (const char* body : { R"({"error":{"code":1}})",
                            R"({"error":"weight_version","serving":2})",
                            R"({"error":7})",
                            "{" }) {
    CAPTURE(body);
    const auto outcome = RunOnEngine(409, body);
    CHECK(outcome.ended_.result_ == reducer::AttemptResult::Refused);
  }
}

// Guards against "not run" for runs of engines that fail after their start.
TEST_CASE("only an engine that leaves refuses a run with a server error")
{
  const std::string leaving = R"({"error":"leaving"})";
  CHECK(RunOnEngine(503, leaving).ended_.result_ ==
        reducer::AttemptResult::Refused);
  for (const int status : { 408, 421, 429, 500, 502, 504 }) {
    CAPTURE(status);
    CHECK(RunOnEngine(status, leaving).ended_.result_ ==
          reducer::AttemptResult::Broken);
  }
  CHECK(RunOnEngine(503, "{}").ended_.result_ ==
        reducer::AttemptResult::Broken);
}

// Guards against callers that take the status of a target which has run their
// call for a refusal of the host.
TEST_CASE("a service's refusal isn't passed on to the caller")
{
  for (const int status : { 408, 421, 429, 503 }) {
    CAPTURE(status);
    const auto [result, answered] = CallService(status);
    CHECK(result == reducer::AttemptResult::Broken);
    CHECK(answered == 0);
  }
  for (const int status : { 200, 404, 409, 425 }) {
    CAPTURE(status);
    const auto [result, answered] = CallService(status);
    CHECK(result == reducer::AttemptResult::Completed);
    CHECK(answered == status);
  }
}
