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

// How long changes are collected before they are sent within the data centre
// and to the others.
struct BatchTimes
{
  absl::Duration local_;
  absl::Duration remote_;
};

// aPeers: other hosts in the data centre; aHosts: hosts in all of them.
BatchTimes
BatchTimesOf(bool aIsLarge,
             bool aCollects,
             std::size_t aPeers,
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
  void SendReports(const std::vector<std::string>& aHosts,
                   fleet::ReportedLoadQuery aQuery,
                   std::vector<spillover::DemandRow> aDemands,
                   ReportTimes& aTimes);
  // Returns this host's part of the demand.
  std::vector<spillover::DemandRow> OwnDemand() const;
  // Returns the total demands of all data centres, or of this one only.
  std::vector<spillover::DemandRow> TotalDemands(bool aIsOwnOnly) const;
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
  void Send(const std::string& aHost,
            std::vector<fleet::PeerLoad> aLoads,
            const Observations& aObservations);
  // Returns the other hosts of this data centre.
  std::vector<std::string> LocalPeers() const;
  // Returns the collectors of all data centres except this host.
  std::vector<std::string> OtherCollectors() const;
  // Returns whether this host collects the loads of its data centre. Only large
  // deployments have collectors.
  bool IsCollector() const;

  Host& host_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  // Holds the largest datagram; the loads of 3,000 targets take 33 kB.
  std::array<char, 64U << 10U> buffer_{};
  Timer localTimer_;
  Timer remoteTimer_;
  Timer limitsTimer_;
  Timer blocksTimer_;
  Timer demandTimer_;
  Timer lossesTimer_;
  bool areLossesDue_ = false;
  // Observations that wait to be sent to this data centre and to the others.
  Observations localObservations_;
  Observations remoteObservations_;
  ReportTimes localReports_;
  ReportTimes remoteReports_;
  // Rebuilt from time to time.
  fleet::TargetIds targetIds_;
  absl::Time targetIdsAt_ = absl::InfinitePast();
  bool localSendPending_ = false;
  bool remoteSendPending_ = false;
};

} // namespace lycheeplank::gateway

#endif
