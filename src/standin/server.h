#ifndef LYCHEEPLANK_STANDIN_SERVER_H
#define LYCHEEPLANK_STANDIN_SERVER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "lycheeplank/net.h"
#include "standin/faults.h"
#include "standin/loop.h"

// The parts common to all stand-ins: the HTTP server, fault injection and the
// thread that owns the state.
namespace lycheeplank::standin {

using ExchangePtr = std::shared_ptr<net::Exchange>;

// Handles a request on the loop thread.
using Handler = std::function<void(const ExchangePtr&)>;

// Options of every stand-in.
struct CommonOptions
{
  // 0 selects any free port.
  std::uint16_t port_ = 0;
  std::string name_ = "standin";
};

// The services that the state of a stand-in refers to.
struct Context
{
  Faults faults_;
  // Exchanges that may still be open; the fault Down aborts them.
  std::vector<std::weak_ptr<net::Exchange>> exchanges_;
  // Declared last: it is destroyed first, so that no task uses a destroyed
  // member.
  Loop loop_;
};

// A stand-in that serves requests until it is destroyed.
class StandinServer
{
public:
  StandinServer(const CommonOptions& aOptions,
                std::shared_ptr<Context> aContext,
                Handler aHandler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  std::uint16_t Port() const;

private:
  std::shared_ptr<Context> context_;
  std::shared_ptr<Handler> handler_;
  std::unique_ptr<net::Server> server_;
};

// Replies with a JSON body.
void
ReplyJson(const ExchangePtr& aExchange,
          int aStatus,
          const nlohmann::json& aBody,
          std::vector<net::Field> aHeaders = {});

// Replies with the body {"error": aError}.
void
ReplyError(const ExchangePtr& aExchange, int aStatus, absl::string_view aError);

// Returns a query parameter as text; empty if it is absent.
std::string
QueryText(const net::Request& aRequest, absl::string_view aName);

// Returns a query parameter as a number, or aDefault if it is absent or
// malformed.
std::uint64_t
QueryNumber(const net::Request& aRequest,
            absl::string_view aName,
            std::uint64_t aDefault);

} // namespace lycheeplank::standin

#endif
