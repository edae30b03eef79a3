#ifndef LYCHEEPLANK_SRC_GATEWAY_PEERS_H
#define LYCHEEPLANK_SRC_GATEWAY_PEERS_H

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>

#include "gateway/host.h"
#include "gateway/peer-updates.h"
#include "gateway/server-connection.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

inline constexpr absl::string_view kChangesPath = "/peer/changes";
// Longest time that a host holds a peer's poll for changes. It also bounds the
// delay after which a peer receives the time of a cache store's last answer.
inline constexpr absl::Duration kPollTime = absl::Milliseconds(400);
// Hosts answer within milliseconds, so a call that takes longer has failed.
inline constexpr absl::Duration kPeerTimeout = absl::Milliseconds(400);

// Serves the calls of other hosts: long polls for changes, and notices.
class PeerServer
{
public:
  explicit PeerServer(Host& aHost);

  void Answer(const ServerConnectionPtr& aCaller);
  // Schedules the answers to waiting polls after the host's feed got new rows
  // or the state of its sources has changed.
  void OnNewRows();

private:
  // A poll for changes that waits for an answer.
  struct Poll
  {
    ServerConnectionPtr caller_;
    // Feed and number of the row that the caller expects next.
    std::uint64_t feed_ = 0;
    std::uint64_t from_ = 0;
    absl::Time deadline_;
  };

  void AnswerChanges(const ServerConnectionPtr& aCaller);
  // Answers all polls whose deadline is not after aDeadline.
  void AnswerPolls(absl::Time aDeadline);
  // Sets the timer to the earliest deadline of a poll.
  void SetPollTimer();
  // Returns an update with the rows of a feed from a number on, or with a
  // snapshot if the host no longer has these rows.
  std::string UpdateFor(std::uint64_t aFeed, std::uint64_t aFrom);
  // Rebuilds the snapshot if it is old or the feed no longer has the row after
  // it.
  void RefreshSnapshot();

  Host& host_;
  Timer batchTimer_;
  Timer pollTimer_;
  bool batchPending_ = false;
  bool pollTimerSet_ = false;
  std::list<Poll> polls_;
  // The host's complete state as rows.
  struct Snapshot
  {
    std::uint64_t feed_ = 0;
    // Number of the feed's first row that the snapshot doesn't include.
    std::uint64_t next_ = 0;
    std::string rows_;
    absl::Time builtAt_ = absl::InfinitePast();
    // Host::itemsCompleteAt_ when it was built.
    absl::Time itemsCompleteAt_ = absl::InfinitePast();
  };
  Snapshot snapshot_;
};

// Applies notices of this host or a peer to this host's state.
void
ApplyNotices(Host& aHost, const std::vector<Notice>& aNotices);

// Applies notices to this host and sends them to all relays, which pass them on
// to the other hosts.
void
BroadcastNotices(Host& aHost, const std::vector<Notice>& aNotices);

// Sends a notice that this host leaves.
void
BroadcastHostLeaving(Host& aHost);

// Sends a notice that a target leaves, after a delay and only if this host
// hasn't learned it from the key-value service by then. The service usually
// informs all hosts at the same time, which makes the notice needless.
void
BroadcastTargetLeaving(Host& aHost,
                       const std::string& aTarget,
                       std::int64_t aStartedAtMs);

// Returns the time after which all hosts have received a notice.
absl::Duration
NoticePropagationTime(const Host& aHost);

} // namespace lycheeplank::gateway

#endif
