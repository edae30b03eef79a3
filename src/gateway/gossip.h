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

// What one host tells another in a datagram.
struct LoadMessage
{
  std::string host_;
  // What is under way at targets now.
  std::vector<fleet::PeerLoad> loads_;
  // Reads from cache stores since the message before.
  cache_index::ReadCounts reads_;
  // Targets that couldn't be reached since then.
  fleet::DownReports down_;
};

// What one host tells others once only.
struct Experience
{
  cache_index::ReadCounts reads_;
  fleet::DownReports down_;
};

// Returns a message as bytes: rows of numbers behind the name, since bytes
// between data centres are dear. Reads it; an empty name if it is none.
std::string
WriteMessage(const LoadMessage& aMessage);
LoadMessage
ReadMessage(absl::string_view aText);

// Tells the other hosts what this one has under way at targets, so that they
// don't send large prompts to the same ones, how its reads from cache stores
// went, and which targets it couldn't reach. Lost messages do little harm: the
// next one tells all loads again.
class Gossip
{
public:
  // Listens on a UDP address; throws boost::system::system_error if it can't.
  Gossip(Host& aHost, const std::string& aAddress);

  // Something has changed; it is told shortly.
  void Changed();

private:
  void Receive();
  void Take(const LoadMessage& aMessage);
  // Moves what this host has counted since to the sums that are told.
  void Gather();
  void Add(Experience& aSum,
           const cache_index::ReadCounts& aReads,
           const fleet::DownReports& aDown);
  void SendNear();
  void SendFar();
  void Send(const std::string& aHost,
            std::vector<fleet::PeerLoad> aLoads,
            const Experience& aExperience);
  // The other hosts of the data centre, and the collectors of the others.
  std::vector<std::string> Mates() const;
  std::vector<std::string> Collectors() const;
  // Collects the loads of a large data centre.
  bool IsCollector() const;

  Host& host_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 16U << 10U> buffer_{};
  Timer nearTimer_;
  Timer farTimer_;
  // What the hosts of the data centre, and the others, are to be told.
  Experience near_;
  Experience far_;
  bool nearPending_ = false;
  bool farPending_ = false;
};

} // namespace lycheeplank::gateway

#endif
