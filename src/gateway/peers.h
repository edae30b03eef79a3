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
// Longest that a host lets another wait for changes; it also bounds how old the
// word of a cache store gets on its way.
inline constexpr absl::Duration kPollTime = absl::Milliseconds(400);
// Hosts answer within milliseconds; a longer silence is a cut.
inline constexpr absl::Duration kPeerTimeout = absl::Milliseconds(400);

// Answers the calls of other hosts.
class PeerServer
{
public:
  explicit PeerServer(Host& aHost);

  void Answer(const ServerConnectionPtr& aCaller);
  // The host's feed has new rows; who waits is told shortly.
  void OnNewRows();

private:
  struct Poll
  {
    ServerConnectionPtr caller_;
    std::uint64_t feed_ = 0;
    std::uint64_t from_ = 0;
    absl::Time deadline_;
  };

  void AnswerChanges(const ServerConnectionPtr& aCaller);
  void AnswerPolls(absl::Time aDeadline);
  void SetPollTimer();
  std::string UpdateFor(std::uint64_t aFeed, std::uint64_t aFrom);
  // Builds the snapshot anew unless it is recent and its feed goes on from it.
  void RefreshSnapshot();

  Host& host_;
  Timer batchTimer_;
  Timer pollTimer_;
  bool batchPending_ = false;
  bool pollTimerSet_ = false;
  std::list<Poll> polls_;
  // All that the host knew when the feed had come to a row, as rows.
  struct Snapshot
  {
    std::uint64_t feed_ = 0;
    std::uint64_t next_ = 0;
    std::string rows_;
    absl::Time builtAt_ = absl::InfinitePast();
  };
  Snapshot snapshot_;
};

// Takes in notices of this host or another one.
void
ApplyNotices(Host& aHost, const std::vector<Notice>& aNotices);

// Tells notices to this host and to the relays, which tell all others.
void
BroadcastNotices(Host& aHost, const std::vector<Notice>& aNotices);

// Tells the other hosts that a target leaves, unless the key-value service has
// told this host by then: mostly it tells all of them at the same time.
void
BroadcastTargetLeaving(Host& aHost,
                       const std::string& aTarget,
                       std::int64_t aStartedAtMs);

// Time after which all hosts have heard of a notice.
absl::Duration
NoticePropagationTime(const Host& aHost);

} // namespace lycheeplank::gateway

#endif
