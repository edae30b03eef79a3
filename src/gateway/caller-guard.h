#ifndef LYCHEEPLANK_SRC_GATEWAY_CALLER_GUARD_H
#define LYCHEEPLANK_SRC_GATEWAY_CALLER_GUARD_H

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "gateway/host.h"
#include "gateway/socket.h"
#include "lycheeplank/body_budget.h"

namespace lycheeplank::gateway {

class ServerConnection;

// Keeps the connections of all servers of a process within its memory and
// descriptors. The decisions are those of body_budget.
class CallerGuard
{
public:
  explicit CallerGuard(Host& aHost);

  // Registers a connection; returns its id. The connection removes itself
  // before it is destroyed.
  std::uint64_t Add(ServerConnection* aConnection, const std::string& aAddress);
  void Remove(std::uint64_t aId, const std::string& aAddress);
  // Registers a socket that sends the rest of its last answer and waits for its
  // peer to close.
  void AddFinishing(const std::shared_ptr<Socket>& aSocket);

  // Returns whether a server may take one more connection; may close another
  // one for it. aExtra: connections that the server may have beyond the limit.
  bool MayAccept(std::uint64_t aExtra, absl::Time aNow);

  body_budget::Budget& Budget() { return budget_; }
  // Returns a Retry-After in seconds for a request that found no memory.
  std::string RetryAfter();
  // Counts a refused request or closed connection; Report logs it.
  void Note(body_budget::Reason aReason, const std::string& aAddress);

  // Grants memory, ends requests and disconnects slow readers; call it every
  // some ten milliseconds.
  void Update(absl::Time aNow);
  // Logs what has been counted since the last line, at most one line a second
  // for each reason, and sets the gauges.
  void Report(absl::Time aNow);

private:
  void DisconnectSlowReaders(absl::Time aNow);
  // Closes the socket that has waited longest for its peer to close.
  void CloseOldestFinished();
  bool CloseLeastUseful(absl::Time aNow);

  Host& host_;
  body_budget::Budget budget_;
  std::uint64_t nextId_ = 1;
  absl::Time updatedAt_ = absl::InfinitePast();
  // When the event loop last went on after a pause.
  absl::Time readSince_ = absl::InfinitePast();
  absl::flat_hash_map<std::uint64_t, ServerConnection*> connections_;
  absl::flat_hash_map<std::string, std::uint64_t> ofAddress_;
  // In the order in which their answers ended.
  std::map<std::uint64_t, std::weak_ptr<Socket>> finishing_;
  struct Count
  {
    std::uint64_t count_ = 0;
    std::string address_;
    absl::Time loggedAt_ = absl::InfinitePast();
  };
  std::array<Count, body_budget::kReasons.size()> counts_;
};

} // namespace lycheeplank::gateway

#endif
