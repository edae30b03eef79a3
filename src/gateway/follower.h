#ifndef LYCHEEPLANK_SRC_GATEWAY_FOLLOWER_H
#define LYCHEEPLANK_SRC_GATEWAY_FOLLOWER_H

#include <memory>
#include <string>
#include <vector>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Follows one prefix of the key-value service: reads all of it, then waits for
// changes; reads all again where its history is gone. Rests while the host
// hears of changes from others.
class Follower : public std::enable_shared_from_this<Follower>
{
public:
  Follower(Host& aHost, std::string aPrefix);

  void Start() { List(); }
  // Goes on after the host has heard of changes from others.
  void Resume();
  // Reads all again: the service has come back from a copy of its data.
  void Restart();
  // Gives up a call that was made before the service was back: its answer may
  // never come, while other calls are answered.
  void RetryStaleCall(absl::Time aBackAt);

private:
  void List();
  void Watch();
  // Makes a call; only the answer to the last one counts.
  void Call(const StoreCommand& aCommand,
            absl::Duration aTimeout,
            void (Follower::*aOnReply)(const StoreReply&));
  void OnPage(const StoreReply& aReply);
  void OnEvents(const StoreReply& aReply);
  void RetryLater(void (Follower::*aStep)());

  Host& host_;
  const std::string prefix_;
  Timer timer_;
  std::vector<replica::Item> page_;
  std::string lastKey_;
  absl::optional<core::Position> listedFrom_;
  std::uint64_t revision_ = 0;
  absl::Time listedAt_ = absl::InfinitePast();
  // When the last call was made that told all that had changed.
  absl::Time knownUntil_ = absl::InfinitePast();
  unsigned failures_ = 0;
  // The call under way: its number, and when it was made; 0 without one.
  std::uint64_t call_ = 0;
  std::uint64_t lastCall_ = 0;
  absl::Time calledAt_ = absl::InfinitePast();
  // Others tell the host of changes.
  bool resting_ = false;
};

} // namespace lycheeplank::gateway

#endif
