#ifndef LYCHEEPLANK_SRC_GATEWAY_PEER_FOLLOWER_H
#define LYCHEEPLANK_SRC_GATEWAY_PEER_FOLLOWER_H

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "gateway/host.h"
#include "gateway/long-poll.h"
#include "gateway/peer-updates.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Chooses from where this host gets changes, and polls peers for them. A host
// polls its forwarder in a large data centre, the relays of its data centre,
// then relays of other data centres. It
// follows the key-value service and the cache stores itself if it is a relay or
// if no relay answers. A relay polls any peer while the key-value service
// doesn't answer it.
class PeerFollower : public std::enable_shared_from_this<PeerFollower>
{
public:
  explicit PeerFollower(Host& aHost);
  void Start();

private:
  struct Peer
  {
    std::string name_;
    std::string address_;
  };

  // Next row of a peer's feed. All rows before were added before completeAt_ or
  // have been received.
  struct FeedPosition
  {
    std::uint64_t feed_ = 0;
    std::uint64_t next_ = 0;
    std::uint64_t urgent_ = 0;
    absl::Time completeAt_ = absl::InfinitePast();
  };

  void ScheduleStep(absl::Duration aPause);
  // Polls the present source, or another one after failures.
  void Step();
  // Returns whether the host knows enough to choose a source; false only while
  // it starts.
  bool CanChooseSource();
  bool IsRelay() const;
  Peer PeerOf(const std::string& aName) const;
  // Returns the forwarder that serves this host; empty if a relay does or if
  // the forwarder has refused a poll.
  std::string Forwarder() const;
  // Returns the hosts that this host may poll, best first.
  std::vector<Peer> Sources() const;
  void StepAsRelay();
  // Returns a random known host or, if none is known, a random seed from the
  // settings; a peer without a name if there is none.
  Peer PickRandomPeer();
  void PollPeer(const Peer& aPeer);
  void OnUpdate(const Peer& aPeer,
                const http::Answer& aAnswer,
                absl::Time aAskedAt);
  // Polls a forwarder that doesn't forward later, and a relay until then.
  void OnForwarderRefusal();
  // Dates the rows of an update that was asked for at aAskedAt, from aPosition
  // on.
  PollTimes DateUpdate(const FeedPosition& aPosition,
                       const PeerUpdate& aUpdate,
                       absl::Time aAskedAt) const;
  // aChangedSince: see PollTimes.
  void ApplyUpdate(const PeerUpdate& aUpdate,
                   absl::Time aAskedAt,
                   absl::Time aChangedSince);
  void OnFailure(const Peer& aPeer,
                 absl::string_view aReason,
                 const http::Answer& aAnswer);

  Host& host_;
  Timer timer_;
  // The peer that is polled, and the positions in the feeds of all peers polled
  // so far, so that switching back to one doesn't transfer a snapshot again.
  Peer peer_;
  absl::flat_hash_map<std::string, FeedPosition> positions_;
  // Consecutive failures of sources, and when the best source was last tried.
  std::size_t failures_ = 0;
  absl::Time bestTriedAt_ = absl::InfinitePast();
  bool following_ = false;
  absl::Time forwarderRefusedUntil_ = absl::InfinitePast();
  absl::Time startedAt_ = absl::InfinitePast();
  // Since when the starting host could serve requests, and since when it has
  // been on its own list of hosts.
  absl::Time servesSince_ = absl::InfiniteFuture();
  absl::Time listedSince_ = absl::InfiniteFuture();
};

} // namespace lycheeplank::gateway

#endif
