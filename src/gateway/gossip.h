#ifndef LYCHEEPLANK_SRC_GATEWAY_GOSSIP_H
#define LYCHEEPLANK_SRC_GATEWAY_GOSSIP_H

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// One host's loads and observations, sent to another host as a datagram.
struct LoadMessage
{
  std::string host_;
  // The sender's present load at each target.
  std::vector<fleet::PeerLoad> loads_;
  // Reads from cache stores since the previous message.
  cache_index::ReadCounts reads_;
  // Targets that couldn't be reached since the previous message.
  fleet::DownReports down_;
};

// Observations that are sent only once, unlike loads.
struct Observations
{
  cache_index::ReadCounts reads_;
  fleet::DownReports down_;
};

// Encodes a message as the host's name followed by binary rows; the format is
// compact because traffic between data centres is expensive.
std::string
WriteMessage(const LoadMessage& aMessage);

// Decodes a message. The host's name is empty if the text isn't a message.
LoadMessage
ReadMessage(absl::string_view aText);

// Returns the batch time of messages to local peers, of which the last one had
// aBytes.
absl::Duration
LocalBatchTime(std::size_t aPeers, std::size_t aBytes);

// Exchanges loads and observations with the other hosts over UDP: this host's
// load at each target, so that hosts don't send large prompts to the same ones,
// the results of its reads from cache stores, and the targets that it couldn't
// reach. A lost message does little harm, as the next one has all loads again.
// Carries the messages about limits of targets and about parts that crash
// targets as well, see permits and poison-blocks.
class Gossip
{
public:
  // Binds to a UDP address; throws boost::system::system_error on failure.
  Gossip(Host& aHost, const std::string& aAddress);

  // Schedules messages to the other hosts after a load or observation has
  // changed.
  void ScheduleSend();

private:
  void Receive();
  void OnDatagram(absl::string_view aText);
  void OnMessage(const LoadMessage& aMessage);
  void SendText(const std::string& aHost, const std::string& aText);
  void ScheduleTick();
  void ScheduleBlockTick();
  // Tells the other hosts soon that requests were lost.
  void ScheduleLosses();
  // Adds this host's new observations to those that wait to be sent.
  void CollectObservations();
  void Add(Observations& aSum,
           const cache_index::ReadCounts& aReads,
           const fleet::DownReports& aDown);
  void SendLocal();
  void SendRemote();
  // Returns the size of the message.
  std::size_t Send(const std::string& aHost,
                   std::vector<fleet::PeerLoad> aLoads,
                   const Observations& aObservations);
  // Returns the hosts of this data centre to which this one sends loads: all
  // others or, in a large deployment, those whose loads it collects.
  std::vector<std::string> LocalPeers() const;
  // Returns the collectors of all data centres except this host.
  std::vector<std::string> OtherCollectors() const;
  // Returns whether this host collects the loads of its data centre. Only large
  // deployments have collectors.
  bool IsCollector() const;
  // Returns whether this host collects loads of some hosts for the collector.
  bool IsForwarder() const;

  Host& host_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  // A message with the loads of 3,000 targets has 33 KB.
  std::array<char, 64U << 10U> buffer_{};
  Timer localTimer_;
  Timer remoteTimer_;
  Timer limitsTimer_;
  Timer blocksTimer_;
  Timer lossesTimer_;
  bool areLossesDue_ = false;
  // Observations that wait to be sent to the local peers and to the others: the
  // other data centres or, from a forwarder, the collector.
  Observations localObservations_;
  Observations remoteObservations_;
  // Size of the last message to a local peer.
  std::size_t localBytes_ = 0;
  bool localSendPending_ = false;
  bool remoteSendPending_ = false;
};

} // namespace lycheeplank::gateway

#endif
