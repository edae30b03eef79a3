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

// The newest loads that targets have reported in their answers, and the demands
// of data centres. They have a message of their own, which hosts of earlier
// releases ignore.
struct ReportMessage
{
  std::string host_;
  std::vector<spillover::DemandRow> demands_;
  std::vector<fleet::ReportedLoad> loads_;
};

std::string
WriteReports(const ReportMessage& aMessage);

// Decodes a message; no value if the text is of another kind or damaged.
absl::optional<ReportMessage>
ReadReports(absl::string_view aText);

// Returns the batch time of messages to local peers, of which the last one had
// aBytes.
absl::Duration
LocalBatchTime(std::size_t aPeers, std::size_t aBytes);

// How long changes are collected before they are sent to local peers, and to
// other data centres or, by a forwarder, to its collector. A host that only
// sends to its collector does so in the local time.
struct BatchTimes
{
  absl::Duration local_;
  absl::Duration remote_;
};

// A host's part in the exchange of loads.
enum class GossipRole
{
  // It sends to all others; there are no collectors.
  Equal,
  // It sends to the host that collects its loads.
  Sender,
  Forwarder,
  Collector,
};

// aPeers: the local peers to which the host sends; aBytes: of the last messages
// to one of them; aHosts: hosts in all data centres.
BatchTimes
BatchTimesOf(GossipRole aRole,
             std::size_t aPeers,
             std::size_t aBytes,
             std::size_t aHosts);

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
  // When reported loads and demands were last sent to some hosts.
  struct ReportTimes
  {
    absl::Time loadsAt_ = absl::InfinitePast();
    absl::Time demandsAt_ = absl::InfinitePast();
  };
  // Sends the reported loads that are new to the receivers, and demands.
  // Returns the size of the message, 0 if there is none.
  std::size_t SendReports(const std::vector<std::string>& aHosts,
                          fleet::ReportedLoadQuery aQuery,
                          std::vector<spillover::DemandRow> aDemands,
                          ReportTimes& aTimes);
  // Returns this host's part of the demand.
  std::vector<spillover::DemandRow> OwnDemand() const;
  // Returns the total demands of all data centres, or of this one only.
  std::vector<spillover::DemandRow> TotalDemands(bool aIsOwnOnly) const;
  // Returns the demand of this host and of those whose loads it collects.
  std::vector<spillover::DemandRow> CollectedDemands() const;
  void ApplyReports(const ReportMessage& aMessage);
  void SendText(const std::string& aHost, const std::string& aText);
  void ScheduleTick();
  void ScheduleBlockTick();
  void ScheduleDemandTick();
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
  GossipRole Role() const;

  Host& host_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  // Holds the largest datagram; a message with the loads of 3,000 targets has
  // 33 kB.
  std::array<char, 64U << 10U> buffer_{};
  Timer localTimer_;
  Timer remoteTimer_;
  Timer limitsTimer_;
  Timer blocksTimer_;
  Timer demandTimer_;
  Timer lossesTimer_;
  bool areLossesDue_ = false;
  // Observations that wait to be sent to the local peers and to the others: the
  // other data centres or, from a forwarder, the collector.
  Observations localObservations_;
  Observations remoteObservations_;
  ReportTimes localReports_;
  ReportTimes remoteReports_;
  // Rebuilt from time to time.
  fleet::TargetIds targetIds_;
  absl::Time targetIdsAt_ = absl::InfinitePast();
  // Host that collected this one's loads when they were last sent.
  std::string collector_;
  // Size of the last messages to a local peer.
  std::size_t localBytes_ = 0;
  bool localSendPending_ = false;
  bool remoteSendPending_ = false;
};

} // namespace lycheeplank::gateway

#endif
