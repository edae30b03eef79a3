#include "standin/standin.h"

#include <absl/strings/strip.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "standin/load-report.h"

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kCallPath = "/v1/calls/";

// A call that was executed.
struct Execution
{
  std::string call_;
  std::string key_;
  std::string attempt_;
  std::string bodyDigest_;
  absl::Time time_;
};

struct Service
{
  ServiceOptions options_;
  Context& context_;
  std::vector<Execution> executions_;
  std::uint32_t running_ = 0;
};

Json
LoadOf(const Service& aService)
{
  return { { "running", aService.running_ },
           { "waiting", 0 },
           { "leaving", aService.context_.faults_.leaving_ } };
}

void
FinishCall(Service& aService,
           const ExchangePtr& aExchange,
           const std::string& aCall,
           std::uint64_t aSerial)
{
  --aService.running_;
  ReplyJson(aExchange,
            200,
            { { "serial", aSerial },
              { "call", aCall },
              { "echo", aExchange->request_.body_ } });
}

void
StartCall(Service& aService,
          const ExchangePtr& aExchange,
          const std::string& aCall)
{
  const net::Request& request = aExchange->request_;
  aService.executions_.push_back(
    { aCall,
      std::string(net::FindField(request.headers_, "Idempotency-Key")),
      std::string(net::FindField(request.headers_, "X-Attempt")),
      core::Sha256Hex(request.body_),
      absl::Now() });
  const std::uint64_t serial = aService.executions_.size();
  ++aService.running_;
  aService.context_.loop_.After(
    aService.options_.callTime_ * aService.context_.faults_.slowdown_,
    [&aService, aExchange, aCall, serial] {
      FinishCall(aService, aExchange, aCall, serial);
    });
}

void
ReplyExecutions(const Service& aService, const ExchangePtr& aExchange)
{
  Json calls = Json::array();
  for (const Execution& execution : aService.executions_) {
    calls.push_back({ { "call", execution.call_ },
                      { "key", execution.key_ },
                      { "attempt", execution.attempt_ },
                      { "body_digest", execution.bodyDigest_ },
                      { "unix_ms", absl::ToUnixMillis(execution.time_) } });
  }
  ReplyJson(aExchange, 200, { { "calls", std::move(calls) } });
}

void
Handle(Service& aService, LaggingReport& aReport, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  absl::string_view call = request.path_;
  if (request.method_ == "POST" && absl::ConsumePrefix(&call, kCallPath)) {
    StartCall(aService, aExchange, std::string(call));
  } else if (request.path_ == "/v1/load") {
    aReport.Reply(aExchange);
  } else if (request.path_ == "/executions") {
    ReplyExecutions(aService, aExchange);
  } else {
    ReplyError(aExchange, 404, "unknown path");
  }
}

} // namespace

std::unique_ptr<StandinServer>
StartService(const ServiceOptions& aOptions)
{
  auto context = std::make_shared<Context>();
  auto service = std::make_shared<Service>(Service{ aOptions, *context, {} });
  auto report = std::make_shared<LaggingReport>(
    context->loop_, aOptions.reportLag_, [&state = *service] {
      return LoadOf(state);
    });
  return std::make_unique<StandinServer>(
    aOptions.common_, context, [service, report](const ExchangePtr& aExchange) {
      Handle(*service, *report, aExchange);
    });
}

} // namespace lycheeplank::standin
