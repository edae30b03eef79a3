#ifndef LYCHEEPLANK_SRC_GATEWAY_ROUTE_H
#define LYCHEEPLANK_SRC_GATEWAY_ROUTE_H

#include <array>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "gateway/host.h"

// Explains where a request would go now, without sending it.
namespace lycheeplank::gateway {

inline constexpr absl::string_view kRoutePath = "/peer/route";

// A request to be explained.
struct RouteQuestion
{
  // Host name, model, tokens and parts; it has no key.
  CallerRequest request_;
  std::string path_;
  // Name of the key's workspace; empty for a request without a key.
  std::string workspace_;
};

// What happens to a request that arrives now.
enum class RouteOutcome
{
  Send,
  // It waits until a target has memory.
  WaitForMemory,
  // It asks the issuer of a target's permits first.
  AskPermit,
  Reject,
};

inline constexpr std::array<core::Named<RouteOutcome>, 4> kRouteOutcomes{ {
  { RouteOutcome::Send, "send" },
  { RouteOutcome::WaitForMemory, "wait_for_memory" },
  { RouteOutcome::AskPermit, "ask_permit" },
  { RouteOutcome::Reject, "reject" },
} };

// What a host does with a request, and why.
struct RouteDecision
{
  RouteOutcome outcome_ = RouteOutcome::Reject;
  // Reject: the status, the reason as in the log, and the mean Retry-After;
  // zero if there is none.
  int status_ = 0;
  std::string reason_;
  absl::Duration retryAfter_ = absl::ZeroDuration();
  // The target to which it is sent or whose permit is asked for.
  std::string target_;
};

// Returns what follows from a choice. aTimeLeft: time until the request's
// deadline; aNeedsPermit: requests to the chosen target need a permit.
RouteDecision
DecideRoute(const fleet::Choice& aChoice,
            absl::Duration aTimeLeft,
            bool aWaitsForMemory,
            bool aNeedsPermit,
            absl::Time aNow);

// Reads a question from the query of a request line: host, path, model, prompt,
// output (tokens), parts (ID:TOKENS, separated by commas) and workspace.
// Returns nothing if the host name, the path or a number is missing or invalid.
absl::optional<RouteQuestion>
ReadRouteQuestion(absl::string_view aTarget);

// Returns the explanation as JSON. Changes nothing in the host: it asks for no
// permit and takes no random draws. So it is that of a request which isn't part
// of the surplus that goes to other data centres, and it leaves out what
// waiting requests need that go before it.
std::string
ExplainRoute(const Host& aHost,
             const RouteQuestion& aQuestion,
             absl::Time aNow);

} // namespace lycheeplank::gateway

#endif
