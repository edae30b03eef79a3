#ifndef LYCHEEPLANK_SRC_GATEWAY_FOLLOWER_H
#define LYCHEEPLANK_SRC_GATEWAY_FOLLOWER_H

#include <memory>
#include <string>
#include <vector>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Follows one prefix of the key-value service: lists its items, then watches
// for changes. Lists again if the service no longer has the history that the
// watch needs. Pauses while the host gets changes from a relay.
class Follower : public std::enable_shared_from_this<Follower>
{
public:
  Follower(Host& aHost, std::string aPrefix);

  void Start() { List(); }
  // Continues after a pause; does nothing if the follower isn't paused.
  void Resume();
  // Lists all items again after the service was restored from a backup. Does
  // nothing while the follower is paused.
  void Restart();
  // Abandons a call that was made before aBackAt, the time at which the service
  // answered again, and lists all items, or goes on with the list. Such a call
  // may never be answered, although later calls are. A call whose answer has
  // begun to arrive goes on.
  void RetryStaleCall(absl::Time aBackAt);

private:
  void List();
  // Requests the next page of the current list.
  void ListPage();
  void Watch();
  // Makes a call and cancels the one in progress.
  void Call(const StoreCommand& aCommand,
            absl::Duration aTimeout,
            void (Follower::*aOnReply)(const StoreReply&));
  void OnPage(const StoreReply& aReply);
  void OnEvents(const StoreReply& aReply);
  void RetryLater(void (Follower::*aStep)());

  Host& host_;
  const std::string prefix_;
  Timer timer_;
  // Items of the pages that the current list has returned so far.
  std::vector<replica::Item> page_;
  std::string lastKey_;
  // Position of the current list's first page; nothing between lists.
  absl::optional<core::Position> listPosition_;
  // Revision after which the next watch starts.
  std::uint64_t revision_ = 0;
  Moment listedAt_;
  // The host knows all changes that were made before this time.
  Moment completeAsOf_;
  unsigned failures_ = 0;
  PendingFetch call_;
  // Number of the call in progress, 0 if there is none; number of the last call
  // made, and when it was made.
  std::uint64_t currentCall_ = 0;
  std::uint64_t lastCall_ = 0;
  Moment calledAt_;
  // A relay sends the host all changes.
  bool paused_ = false;
};

} // namespace lycheeplank::gateway

#endif
