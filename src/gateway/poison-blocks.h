#ifndef LYCHEEPLANK_SRC_GATEWAY_POISON_BLOCKS_H
#define LYCHEEPLANK_SRC_GATEWAY_POISON_BLOCKS_H

#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "gateway/host.h"

// Collects the evidence about requests that crash targets and exchanges it with
// the other hosts, see poison.
namespace lycheeplank::gateway {

// A request at a target, as evidence.
struct SentRequest
{
  std::string target_;
  std::int64_t targetBornMs_ = 0;
  absl::string_view id_;
  const poison::Traits& traits_;
  absl::Time sentAt_;
  // Requests of one service and route are comparable.
  const std::string& service_;
  const std::string& route_;
};

// Returns what a request may have in common with others: the parts of its
// prompt that other requests may share, and its fingerprint. Ids of parts are
// valid for one model.
poison::Traits
TraitsOf(const CallerRequest& aRequest, absl::string_view aFingerprint);

// Returns a hash of all that a target gets to know of a request except its id
// and its time limit, so that all attempts at it have the same one. aCaller:
// the workspace, or the key if there are no workspaces.
std::string
FingerprintOf(const CallerRequest& aRequest,
              const http::RequestHead& aHead,
              absl::string_view aBody,
              absl::string_view aCaller);

// Record that a request's connection was lost before its answer began, that its
// answer has begun, and that the target has sent bytes.
void
NoteLoss(Host& aHost, const SentRequest& aRequest);
void
NoteBegin(Host& aHost, const SentRequest& aRequest);
void
NoteBytes(Host& aHost, const SentRequest& aRequest);

// Returns the block that a request with these traits falls under, or nullptr.
const poison::Block*
FindBlock(const Host& aHost, const poison::Traits& aTraits);

// Returns how long a request with these traits must not be sent. aIsResend: it
// has been sent before.
poison::Delay
SendDelay(const Host& aHost, const poison::Traits& aTraits, bool aIsResend);

// Records that a request with these traits is sent.
void
NoteSend(Host& aHost, const poison::Traits& aTraits);

// Tells the other hosts of new losses, so that they don't send the same request
// in the next moment.
void
TellLosses(Host& aHost);

// Handles a datagram of another host.
void
ReceiveBlockMessage(Host& aHost, absl::string_view aText);

// Evaluates the evidence and sends what is new. Call it every
// poison::kTickPeriod.
void
TickBlocks(Host& aHost);

} // namespace lycheeplank::gateway

#endif
