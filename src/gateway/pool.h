#ifndef LYCHEEPLANK_SRC_GATEWAY_POOL_H
#define LYCHEEPLANK_SRC_GATEWAY_POOL_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "gateway/client-connection.h"
#include "http/message.h"

namespace lycheeplank::gateway {

using ConnectionPtr = std::shared_ptr<ClientConnection>;

// Connections to targets, stores and peers that are kept for the next call,
// by a name that the owner gives to each peer.
class Pool
{
public:
  explicit Pool(Loop& aLoop)
    : loop_(aLoop)
  {
  }

  // Returns a kept connection that has been idle for less than aLongestIdle,
  // or null.
  ConnectionPtr Take(const std::string& aPeer, absl::Duration aLongestIdle);
  // Makes a new connection; hands over null if that fails within the time. It
  // takes the place of one that is kept, so that there are never more than are
  // used at once.
  void Connect(const std::string& aPeer,
               const std::string& aAddress,
               absl::Duration aTimeout,
               std::function<void(ConnectionPtr)> aOnDone);
  // Keeps a connection after its call, if it can be used again.
  void Give(const std::string& aPeer, const ConnectionPtr& aConnection);
  // Closes what is kept for a peer.
  void Drop(const std::string& aPeer);
  // Closes connections whose idle time is over.
  void Sweep(absl::Time aNow);
  std::uint64_t Opened() const { return opened_; }
  // Counts an answer that was given up since it had no end.
  void CountEndless() { ++endless_; }
  std::uint64_t Endless() const { return endless_; }

private:
  Loop& loop_;
  absl::flat_hash_map<std::string, std::vector<ConnectionPtr>> idle_;
  std::uint64_t opened_ = 0;
  std::uint64_t endless_ = 0;
};

// Makes a whole call on a kept or a new connection and hands over the answer;
// its status is 0 if none came within the time. Calls are never sent twice.
void
Fetch(Pool& aPool,
      Loop& aLoop,
      const std::string& aAddress,
      const http::Call& aCall,
      absl::Duration aTimeout,
      std::function<void(http::Answer)> aOnAnswer);

} // namespace lycheeplank::gateway

#endif
