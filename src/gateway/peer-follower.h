#ifndef LYCHEEPLANK_SRC_GATEWAY_PEER_FOLLOWER_H
#define LYCHEEPLANK_SRC_GATEWAY_PEER_FOLLOWER_H

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gateway/host.h"
#include "gateway/news.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Decides how this host hears of changes: from the relays of its data centre,
// or, if it is one or none of them answers, by asking for itself. A host that
// asks for itself asks any peer while the key-value service doesn't answer it.
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

  void StepLater(absl::Duration aPause);
  void Step();
  bool IsSettled() const;
  bool IsRelay() const;
  std::vector<Peer> Relays() const;
  Peer PickAny();
  void Ask(const Peer& aPeer);
  void OnNews(const Peer& aPeer, const http::Answer& aAnswer);
  void Take(const News& aNews);
  void Fail(const Peer& aPeer, absl::string_view aReason);

  Host& host_;
  Timer timer_;
  // The peer that is asked, and where its feed goes on.
  Peer peer_;
  std::uint64_t feed_ = 0;
  std::uint64_t next_ = 0;
  // Relays in a row that were of no use.
  std::size_t failures_ = 0;
  bool following_ = false;
  absl::Time startedAt_ = absl::InfinitePast();
};

} // namespace lycheeplank::gateway

#endif
