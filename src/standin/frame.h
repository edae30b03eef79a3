#ifndef LYCHEEPLANK_STANDIN_FRAME_H
#define LYCHEEPLANK_STANDIN_FRAME_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "lycheeplank/net.h"
#include "standin/faults.h"
#include "standin/loop.h"

// What all kinds of stand-in share: the server, the faults and the thread
// that owns their state.
namespace lycheeplank::standin {

using ExchangePtr = std::shared_ptr<net::Exchange>;

// Answers a request on the loop's thread.
using Handler = std::function<void(const ExchangePtr&)>;

struct CommonOptions
{
  // 0 takes any free port.
  std::uint16_t port_ = 0;
  std::string name_ = "standin";
};

// What the state of a stand-in refers to.
struct Context
{
  Faults faults_;
  // Exchanges that may still be open.
  std::vector<std::weak_ptr<net::Exchange>> exchanges_;
  // Last, so that no task outlives what it uses.
  Loop loop_;
};

// A stand-in that serves until it is destroyed.
class Running
{
public:
  Running(const CommonOptions& aOptions,
          std::shared_ptr<Context> aContext,
          Handler aHandler);
  ~Running();
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

  std::uint16_t Port() const;

private:
  std::shared_ptr<Context> context_;
  std::shared_ptr<Handler> handler_;
  std::unique_ptr<net::Server> server_;
};

// Answers with a JSON body.
void
ReplyJson(const ExchangePtr& aExchange,
          int aStatus,
          const nlohmann::json& aBody,
          std::vector<net::Field> aHeaders = {});

// Answers with {"error": aError}.
void
ReplyError(const ExchangePtr& aExchange, int aStatus, absl::string_view aError);

// Returns a query parameter as a text; empty if absent.
std::string
QueryText(const net::Request& aRequest, absl::string_view aName);

// Returns a query parameter as a number, or the value given for an absent or
// malformed one.
std::uint64_t
QueryNumber(const net::Request& aRequest,
            absl::string_view aName,
            std::uint64_t aDefault);

} // namespace lycheeplank::standin

#endif
