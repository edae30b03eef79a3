#ifndef LYCHEEPLANK_SRC_GATEWAY_POISON_BLOCKS_H
#define LYCHEEPLANK_SRC_GATEWAY_POISON_BLOCKS_H

#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "gateway/host.h"

// Collects the evidence about parts of prompts that crash targets and exchanges
// it with the other hosts, see poison.
namespace lycheeplank::gateway {

// A request at a target, as evidence.
struct SentRequest
{
  std::string target_;
  std::int64_t targetBornMs_ = 0;
  absl::string_view id_;
  const poison::Traits& traits_;
  absl::Time sentAt_;
  // Requests of one route are comparable.
  const std::string& route_;
};

// Returns a hash of all that a target gets to know of a request except its id
// and its time limit: requests with the same hash are attempts of one request.
// aCaller: the workspace, or the key if there are no workspaces.
std::string
FingerprintOf(const CallerRequest& aRequest,
              const http::RequestHead& aHead,
              absl::string_view aBody,
              absl::string_view aCaller);

// Returns the parts of a prompt that other requests may share. Ids of parts are
// valid for one model.
poison::Traits
SharedParts(const CallerRequest& aRequest);

// Record that a request's connection was lost before its answer began, that its
// answer has begun, and that the target has sent bytes.
void
NoteLoss(Host& aHost, const SentRequest& aRequest);
void
NoteBegin(Host& aHost, const SentRequest& aRequest);
void
NoteBytes(Host& aHost, const SentRequest& aRequest);

// Returns whether requests with these parts are blocked.
bool
IsBlocked(const Host& aHost, const poison::Traits& aTraits);

// Returns how long a lost request with these parts should wait before it is
// sent again.
absl::Duration
ResendDelay(const Host& aHost, const poison::Traits& aTraits);

// Handles a datagram of another host.
void
ReceiveBlockMessage(Host& aHost, absl::string_view aText);

// Evaluates the evidence and sends what is new. Call it every
// poison::kTickPeriod.
void
TickBlocks(Host& aHost);

} // namespace lycheeplank::gateway

#endif
