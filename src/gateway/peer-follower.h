#ifndef LYCHEEPLANK_SRC_GATEWAY_PEER_FOLLOWER_H
#define LYCHEEPLANK_SRC_GATEWAY_PEER_FOLLOWER_H

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "gateway/host.h"
#include "gateway/peer-updates.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Decides how this host hears of changes: from the relays of its data centre or
// of others, or, if it is one or none of them answers, by asking for itself. A
// host that asks for itself asks any peer while the key-value service doesn't
// answer it.
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

  void ScheduleStep(absl::Duration aPause);
  void Step();
  bool CanChooseSource();
  bool IsRelay() const;
  Peer PeerOf(const std::string& aName) const;
  std::vector<Peer> Sources() const;
  void StepAsRelay();
  Peer PickRandomPeer();
  void PollPeer(const Peer& aPeer);
  void OnUpdate(const Peer& aPeer,
                const http::Answer& aAnswer,
                absl::Time aAskedAt);
  void ApplyUpdate(const PeerUpdate& aUpdate, absl::Time aSentSince);
  void OnFailure(const Peer& aPeer, absl::string_view aReason);

  Host& host_;
  Timer timer_;
  // Where a peer's feed goes on.
  struct FeedPosition
  {
    std::uint64_t feed_ = 0;
    std::uint64_t next_ = 0;
  };
  // The peer that is asked, and the positions in the feeds of all that were, so
  // that going back to one doesn't transfer all that it knows again.
  Peer peer_;
  absl::flat_hash_map<std::string, FeedPosition> positions_;
  // Sources in a row that were of no use, and when the best one was last tried
  // while another one is followed.
  std::size_t failures_ = 0;
  absl::Time bestTriedAt_ = absl::InfinitePast();
  bool following_ = false;
  absl::Time startedAt_ = absl::InfinitePast();
  // Since when the starting host could serve, and is on the list of hosts.
  absl::Time servesSince_ = absl::InfiniteFuture();
  absl::Time listedSince_ = absl::InfiniteFuture();
};

} // namespace lycheeplank::gateway

#endif
