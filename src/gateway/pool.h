#ifndef LYCHEEPLANK_SRC_GATEWAY_POOL_H
#define LYCHEEPLANK_SRC_GATEWAY_POOL_H

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "gateway/client-connection.h"
#include "http/message.h"

namespace lycheeplank::gateway {

using ConnectionPtr = std::shared_ptr<ClientConnection>;

// How long Pool::LastLoss remembers a loss.
inline constexpr absl::Duration kLossMemory = absl::Seconds(1);

// A pool of idle connections to targets, stores and peers. The owner chooses
// the name of each peer.
class Pool
{
public:
  explicit Pool(Loop& aLoop)
    : loop_(aLoop)
  {
  }

  // Removes and returns a pooled connection that has been idle for less than
  // aLongestIdle; null if there is none.
  ConnectionPtr Take(const std::string& aPeer, absl::Duration aMaxIdle);
  // Opens a new connection; passes null to aOnDone if that fails or times out.
  // Closes the oldest pooled connection to the peer, so that a peer never has
  // more connections than are used at the same time.
  void Connect(const std::string& aPeer,
               const std::string& aAddress,
               absl::Duration aTimeout,
               std::function<void(ConnectionPtr)> aOnDone);
  // Returns a connection to the pool after its call; closes it if it can't be
  // reused.
  void Return(const std::string& aPeer, const ConnectionPtr& aConnection);
  // Closes all pooled connections to a peer.
  void Drop(const std::string& aPeer);
  // Opens a connection for the next call to a peer and tells how that ended.
  void OpenSpare(const std::string& aPeer,
                 const std::string& aAddress,
                 absl::Duration aTimeout,
                 std::function<void(ConnectEnd)> aOnDone);
  // Records that a peer has closed a connection within a call.
  void RecordLoss(const std::string& aPeer, absl::Time aNow);
  // Returns when a peer last closed a connection within a call.
  absl::Time LastLoss(const std::string& aPeer) const;
  // Returns whether a connection to a peer, pooled or in a call, is open.
  bool IsConnected(const std::string& aPeer) const;
  // Closes connections that have exceeded their idle limit.
  void Sweep(absl::Time aNow);
  std::uint64_t Opened() const { return opened_; }
  // Counts an answer that was abandoned because it exceeded the size limit.
  void CountOversized() { ++oversized_; }
  std::uint64_t Oversized() const { return oversized_; }

private:
  void Open(const std::string& aPeer,
            const std::string& aAddress,
            absl::Duration aTimeout,
            std::function<void(ConnectionPtr, ConnectEnd)> aOnDone);
  ConnectionPtr Adopt(const std::string& aPeer,
                      std::shared_ptr<Socket> aSocket);

  Loop& loop_;
  absl::flat_hash_map<std::string, std::vector<ConnectionPtr>> idle_;
  // All connections, pooled or in a call, by peer.
  absl::flat_hash_map<std::string, std::vector<std::weak_ptr<ClientConnection>>>
    all_;
  absl::flat_hash_map<std::string, absl::Time> losses_;
  std::uint64_t opened_ = 0;
  std::uint64_t oversized_ = 0;
};

// Limit of an answer's body for calls to targets and of short answers. Targets
// are many, and all of them may fail at the same time.
inline constexpr std::size_t kMaxShortAnswerBytes = 256U << 10U;

struct FetchState;

// A call that Fetch has started.
class PendingFetch
{
public:
  PendingFetch() = default;
  explicit PendingFetch(std::weak_ptr<FetchState> aState)
    : state_(std::move(aState))
  {
  }

  // Returns whether a part of the answer's body has arrived, but not all.
  bool IsReceiving() const;
  // Closes the call's connection; its answer isn't passed on.
  void Cancel();

private:
  std::weak_ptr<FetchState> state_;
};

// Makes a call on a pooled or a new connection and passes on the answer; its
// status is 0 if none begins within aTimeout, or if its transfer stalls. Calls
// are never sent twice.
PendingFetch
Fetch(Pool& aPool,
      Loop& aLoop,
      const std::string& aAddress,
      const http::Call& aCall,
      absl::Duration aTimeout,
      std::function<void(http::Answer)> aOnAnswer);

} // namespace lycheeplank::gateway

#endif
