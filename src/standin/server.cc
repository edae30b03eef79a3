#include "standin/server.h"

#include <algorithm>
#include <exception>

#include <absl/strings/numbers.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

// Aborts the connection instead of sending the response.
class LossyExchange final : public net::Exchange
{
public:
  explicit LossyExchange(ExchangePtr aInner)
    : inner_(std::move(aInner))
  {
    request_ = inner_->request_;
  }

  void Reply(int, std::vector<net::Field>, std::string) override
  {
    inner_->Abort();
  }
  void BeginStream(int, std::vector<net::Field>) override { inner_->Abort(); }
  bool Write(absl::string_view) override { return false; }
  void End() override {}
  void Abort() override { inner_->Abort(); }
  void OnClosed(std::function<void()> aCallback) override
  {
    inner_->OnClosed(std::move(aCallback));
  }
  std::size_t Backlog() override { return 0; }

private:
  ExchangePtr inner_;
};

// Forwards each part of the response after a delay.
class SlowExchange final : public net::Exchange
{
public:
  SlowExchange(ExchangePtr aInner, Loop& aLoop, absl::Duration aDelay)
    : inner_(std::move(aInner))
    , loop_(aLoop)
    , delay_(aDelay)
  {
    request_ = inner_->request_;
  }

  void Reply(int aStatus,
             std::vector<net::Field> aHeaders,
             std::string aBody) override
  {
    loop_.After(
      delay_,
      [inner = inner_,
       aStatus,
       headers = std::move(aHeaders),
       body = std::move(aBody)] { inner->Reply(aStatus, headers, body); });
  }
  void BeginStream(int aStatus, std::vector<net::Field> aHeaders) override
  {
    loop_.After(delay_,
                [inner = inner_, aStatus, headers = std::move(aHeaders)] {
                  inner->BeginStream(aStatus, headers);
                });
  }
  bool Write(absl::string_view aData) override
  {
    loop_.After(delay_, [inner = inner_, data = std::string(aData)] {
      inner->Write(data);
    });
    return true;
  }
  void End() override
  {
    loop_.After(delay_, [inner = inner_] { inner->End(); });
  }
  void Abort() override { inner_->Abort(); }
  void OnClosed(std::function<void()> aCallback) override
  {
    inner_->OnClosed(std::move(aCallback));
  }
  std::size_t Backlog() override { return inner_->Backlog(); }

private:
  ExchangePtr inner_;
  Loop& loop_;
  absl::Duration delay_;
};

// Returns whether tests inspect a stand-in by this path; faults do not apply to
// it.
bool
IsInspectionPath(absl::string_view aPath)
{
  return aPath == "/executions" || aPath == "/calls" || aPath == "/contents";
}

// Tracks an exchange. Removes the finished ones when the list would have to
// grow.
void
TrackExchange(Context& aContext, const ExchangePtr& aExchange)
{
  auto& exchanges = aContext.exchanges_;
  if (exchanges.size() == exchanges.capacity()) {
    exchanges.erase(
      std::remove_if(exchanges.begin(),
                     exchanges.end(),
                     [](const auto& aEach) { return aEach.expired(); }),
      exchanges.end());
  }
  exchanges.push_back(aExchange);
}

void
AbortAllExchanges(Context& aContext)
{
  for (const auto& each : aContext.exchanges_) {
    if (const ExchangePtr exchange = each.lock()) {
      exchange->Abort();
    }
  }
  aContext.exchanges_.clear();
}

void
HandleFault(Context& aContext, const ExchangePtr& aExchange)
{
  if (!ApplyFault(aContext.faults_, aExchange->request_.body_)) {
    ReplyError(aExchange, 400, "unknown fault; use " + core::AllNames(kFaults));
    return;
  }
  if (aContext.faults_.downUntil_ > absl::Now()) {
    AbortAllExchanges(aContext);
  }
  LOG(INFO) << "event=fault body=" << aExchange->request_.body_;
  ReplyJson(aExchange, 200, nlohmann::json::object());
}

// Wraps an exchange so that the active faults apply to its response.
ExchangePtr
WrapWithFaults(Context& aContext, const ExchangePtr& aExchange)
{
  Faults& faults = aContext.faults_;
  ExchangePtr exchange = aExchange;
  if (ConsumeFault(faults.loseReply_, aExchange->request_.path_)) {
    exchange = std::make_shared<LossyExchange>(exchange);
  }
  if (faults.answerDelay_ > absl::ZeroDuration()) {
    exchange = std::make_shared<SlowExchange>(
      exchange, aContext.loop_, faults.answerDelay_);
  }
  return exchange;
}

void
Dispatch(Context& aContext,
         const Handler& aHandler,
         const ExchangePtr& aExchange)
{
  const std::string& path = aExchange->request_.path_;
  Faults& faults = aContext.faults_;
  if (path == "/fault") {
    HandleFault(aContext, aExchange);
  } else if (IsInspectionPath(path)) {
    aHandler(aExchange);
  } else if (faults.downUntil_ > absl::Now()) {
    aExchange->Abort();
  } else if (path == "/healthz") {
    ReplyJson(aExchange, 200, { { "status", "ok" } });
  } else if (ConsumeFault(faults.refuse_, path)) {
    ReplyError(aExchange, faults.refuseStatus_, "refused");
  } else {
    TrackExchange(aContext, aExchange);
    aHandler(WrapWithFaults(aContext, aExchange));
  }
}

void
DispatchSafely(Context& aContext,
               const Handler& aHandler,
               const ExchangePtr& aExchange)
{
  try {
    Dispatch(aContext, aHandler, aExchange);
  } catch (const std::exception& error) {
    ReplyError(aExchange, 400, error.what());
  }
}

} // namespace

StandinServer::StandinServer(const CommonOptions& aOptions,
                             std::shared_ptr<Context> aContext,
                             Handler aHandler)
  : context_(std::move(aContext))
  , handler_(std::make_shared<Handler>(std::move(aHandler)))
{
  net::ServerOptions options;
  options.port_ = aOptions.port_;
  // The server may outlive this object while connections are open.
  server_ = std::make_unique<net::Server>(
    options,
    [context = context_, handler = handler_](const ExchangePtr& aExchange) {
      context->loop_.Post([context, handler, aExchange] {
        DispatchSafely(*context, *handler, aExchange);
      });
    });
}

StandinServer::~StandinServer()
{
  context_->loop_.Stop();
  server_.reset();
}

std::uint16_t
StandinServer::Port() const
{
  return server_->Port();
}

void
ReplyJson(const ExchangePtr& aExchange,
          int aStatus,
          const nlohmann::json& aBody,
          std::vector<net::Field> aHeaders)
{
  aHeaders.push_back({ "Content-Type", "application/json" });
  aExchange->Reply(aStatus, std::move(aHeaders), aBody.dump());
}

void
ReplyError(const ExchangePtr& aExchange, int aStatus, absl::string_view aError)
{
  ReplyJson(aExchange, aStatus, { { "error", std::string(aError) } });
}

std::string
QueryText(const net::Request& aRequest, absl::string_view aName)
{
  return std::string(net::FindField(aRequest.query_, aName));
}

std::uint64_t
QueryNumber(const net::Request& aRequest,
            absl::string_view aName,
            std::uint64_t aDefault)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(net::FindField(aRequest.query_, aName), &number)
           ? number
           : aDefault;
}

} // namespace lycheeplank::standin
