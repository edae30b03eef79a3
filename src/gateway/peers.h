#ifndef LYCHEEPLANK_SRC_GATEWAY_PEERS_H
#define LYCHEEPLANK_SRC_GATEWAY_PEERS_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include "gateway/host.h"
#include "gateway/peer-updates.h"
#include "gateway/server-connection.h"
#include "gateway/timer.h"
#include "lycheeplank/relay_polls.h"

namespace lycheeplank::gateway {

inline constexpr absl::string_view kChangesPath = "/peer/changes";
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
  using Text = std::shared_ptr<const std::string>;

  // The host's complete state as an answer that hosts share for some time.
  struct Snapshot
  {
    // Position in the feed after the snapshot.
    relays::Position position_;
    absl::Time builtAt_ = absl::InfinitePast();
    Text answer_;
  };

  void AnswerChanges(const ServerConnectionPtr& aCaller);
  // Answers the polls that are due and sets the timer to the next ones.
  void AnswerPolls();
  void SetTimer();
  // Returns an answer with the rows after a position, or with a snapshot if the
  // host no longer has these rows; null if slow readers hold too many answers.
  Text AnswerFor(const relays::Position& aPosition);
  // Returns the snapshot's answer; builds another one if it is old or the feed
  // no longer has the row after it.
  Text SnapshotFor(const relays::Position& aPosition);
  // Writes an answer, compressed unless its readers are of an earlier release.
  Text Pack(const relays::Position& aPosition,
            const SenderStatus& aStatus,
            const std::string& aRows);

  Host& host_;
  Timer timer_;
  relays::Polls polls_;
  // Callers of the waiting polls, by number.
  absl::flat_hash_map<std::uint64_t, ServerConnectionPtr> callers_;
  bool isAnswering_ = false;
  relays::HeldAnswers held_;
  // For hosts that read compressed answers, and for those that don't.
  Snapshot packed_;
  Snapshot plain_;
  // What was last reported of the key-value service.
  bool storeReachable_ = false;
};

// Applies notices of this host or a peer to this host's state. aSentSince:
// earliest time at which they may have been sent, see EarliestSendTime.
void
ApplyNotices(Host& aHost,
             const std::vector<Notice>& aNotices,
             absl::Time aSentSince);

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

// Returns the time after which all hosts have received a notice. A host whose
// poll arrives just after a batch waits for the next one.
absl::Duration
NoticePropagationTime(const Host& aHost);

} // namespace lycheeplank::gateway

#endif
