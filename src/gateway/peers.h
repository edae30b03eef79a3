#ifndef LYCHEEPLANK_SRC_GATEWAY_PEERS_H
#define LYCHEEPLANK_SRC_GATEWAY_PEERS_H

#include <memory>
#include <string>
#include <vector>

#include "gateway/host.h"
#include "gateway/server-connection.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// What one host tells the others at once, since the key-value service would
// tell it later or not at all.
struct Notice
{
  enum class Kind
  {
    // A target starts no requests until about until_.
    Ordered,
    // A target has loaded weights.
    Loaded,
    // A host takes no more callers.
    HostLeaves,
  };
  Kind kind_ = Kind::Ordered;
  // Target or host.
  std::string name_;
  std::string model_;
  std::uint64_t version_ = 0;
  absl::Duration until_ = absl::ZeroDuration();
};

inline constexpr std::array<core::Named<Notice::Kind>, 3> kNoticeKinds{ {
  { Notice::Kind::Ordered, "ordered" },
  { Notice::Kind::Loaded, "loaded" },
  { Notice::Kind::HostLeaves, "host_leaves" },
} };

// Returns notices as JSON, and reads them; what can't be read is left out.
std::string
WriteNotices(const std::vector<Notice>& aNotices);
std::vector<Notice>
ReadNotices(const std::string& aText);

// Returns changes of items as JSON, and reads them.
std::string
WriteChanges(const std::vector<replica::Item>& aItems, std::uint64_t aNewest);
std::vector<replica::Item>
ReadChangesOfPeer(const std::string& aText);

// Answers a call of another host.
void
AnswerPeer(Host& aHost, const ServerConnectionPtr& aCaller);

// Takes in notices of this host or another one.
void
TakeNotices(Host& aHost, const std::vector<Notice>& aNotices);

// Tells notices to all other hosts, and to this one.
void
TellPeers(Host& aHost, const std::vector<Notice>& aNotices);

// Asks another host for changes while the key-value service doesn't answer
// this one.
class PeerFollower : public std::enable_shared_from_this<PeerFollower>
{
public:
  explicit PeerFollower(Host& aHost);
  void Start();

private:
  void Ask();
  std::string PickPeer();

  Host& host_;
  Timer timer_;
  // Peers have answered since the key-value service fell silent.
  bool following_ = false;
};

} // namespace lycheeplank::gateway

#endif
