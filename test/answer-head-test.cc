#include "gateway/answer-head.h"

#include <catch2/catch.hpp>

namespace catalog = lycheeplank::catalog;
namespace gateway = lycheeplank::gateway;
namespace http = lycheeplank::http;
using gateway::HeadFault;

namespace {

// Returns the fault of an answer to request "r1" on a route of the policy.
HeadFault
FaultOn(catalog::RepeatPolicy aPolicy,
        const http::ResponseHead& aHead,
        const gateway::TargetAnswer& aAnswer)
{
  catalog::Route route;
  route.repeatPolicy_ = aPolicy;
  return gateway::FaultOf(aHead, aAnswer, "r1", route);
}

gateway::TargetAnswer
SoundAnswer()
{
  gateway::TargetAnswer answer;
  answer.requestId_ = "r1";
  answer.isStamped_ = true;
  return answer;
}

http::ResponseHead
HeadOf(int aStatus, http::Fields aFields)
{
  http::ResponseHead head;
  head.status_ = aStatus;
  head.fields_ = std::move(aFields);
  return head;
}

const http::Field kEvents{ "Content-Type", "text/event-stream" };

} // namespace

TEST_CASE("a success names its request, bears a stamp and has run")
{
  const auto head = HeadOf(201, { { "Content-Type", "text/plain" } });
  const auto fault = [&](const auto& aChange) {
    auto answer = SoundAnswer();
    aChange(answer);
    return FaultOn(catalog::RepeatPolicy::Once, head, answer);
  };
  CHECK(fault([](auto&) {}) == HeadFault::None);
  CHECK(fault([](auto& aAnswer) { aAnswer.requestId_ = ""; }) ==
        HeadFault::RequestId);
  CHECK(fault([](auto& aAnswer) { aAnswer.isAmbiguous_ = true; }) ==
        HeadFault::RequestId);
  CHECK(fault([](auto& aAnswer) { aAnswer.isStamped_ = false; }) ==
        HeadFault::Stamp);
  CHECK(fault([](auto& aAnswer) { aAnswer.notRun_ = true; }) ==
        HeadFault::NotRun);
}

TEST_CASE("what a success has to be doesn't hold for refusals and errors")
{
  for (const int status : { 404, 421, 500, 503 }) {
    CHECK(FaultOn(catalog::RepeatPolicy::Stream, HeadOf(status, {}), {}) ==
          HeadFault::None);
  }
}

TEST_CASE("a success on a route of streams is an event stream")
{
  const auto fault = [](int aStatus, http::Fields aFields) {
    return FaultOn(catalog::RepeatPolicy::Stream,
                   HeadOf(aStatus, std::move(aFields)),
                   SoundAnswer());
  };
  CHECK(fault(200, { kEvents }) == HeadFault::None);
  CHECK(fault(204, { kEvents }) == HeadFault::Status);
  CHECK(fault(200, { kEvents, { "Content-Encoding", "gzip" } }) ==
        HeadFault::Coding);
  CHECK(fault(200, {}) == HeadFault::Type);
  CHECK(fault(200, { kEvents, kEvents }) == HeadFault::Type);
  for (const char* type : { "TEXT/Event-Stream",
                            "text/event-stream; charset=utf-8",
                            "text/event-stream;a=b ; Charset = \"UTF-8\"" }) {
    CAPTURE(type);
    CHECK(fault(200, { { "content-type", type } }) == HeadFault::None);
  }
  for (const char* type : { "",
                            "text/event-streams",
                            "text/event-stream, text/plain",
                            "text/event-stream; charset=utf-16",
                            "text/event-stream; charset" }) {
    CAPTURE(type);
    CHECK(fault(200, { { "Content-Type", type } }) == HeadFault::Type);
  }
}

TEST_CASE("a coding of the body is forwarded whatever Connection names")
{
  const auto fields = gateway::ForwardedFields(
    HeadOf(200,
           { { "Connection", "content-encoding, x-mine" },
             { "Content-Encoding", "gzip" },
             { "X-Mine", "1" },
             { "Content-Length", "2" },
             { "X-Other", "3" } }));
  CHECK(http::FindField(fields, "content-encoding") != nullptr);
  CHECK(http::FindField(fields, "x-other") != nullptr);
  CHECK(fields.size() == 2);
}
