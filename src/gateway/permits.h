#ifndef LYCHEEPLANK_SRC_GATEWAY_PERMITS_H
#define LYCHEEPLANK_SRC_GATEWAY_PERMITS_H

#include <functional>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "gateway/host.h"

// Exchanges the messages about limits of targets with the other hosts, see
// target_limits.
namespace lycheeplank::gateway {

using OnPermit = std::function<void(const target_limits::Permit&)>;

// Returns whether a request to the target needs a permit.
bool
NeedsPermit(const Host& aHost, const std::string& aTarget);

// Asks for a permit for one request to a target and passes on the decision,
// which may come before this function returns.
void
AskPermit(Host& aHost,
          const std::string& aTarget,
          bool aIsLastChoice,
          const OnPermit& aOnPermit);

// Records that an answer of a target names a limit, or none. aSentAt: when the
// request was sent. aRequest: its id, for the log.
void
NoteTargetLimit(Host& aHost,
                const std::string& aTarget,
                absl::optional<double> aPerSecond,
                absl::Time aSentAt,
                absl::string_view aRequest);

// Handles a datagram of another host; ignores text that isn't a message.
void
ReceiveLimitMessage(Host& aHost, absl::string_view aText);

// Tells the other hosts that targets, which must be members, have crashed.
void
SendCrashNotice(Host& aHost, const std::vector<std::string>& aTargets);

// Starts or stops issuing permits and announces it. Call it every
// target_limits::kTickPeriod.
void
TickLimits(Host& aHost);

} // namespace lycheeplank::gateway

#endif
