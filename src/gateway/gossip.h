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

// Returns a host's loads as one datagram: rows of numbers behind its name,
// since bytes between data centres are dear. Reads it; an empty name if it is
// none.
std::string
WriteLoads(absl::string_view aHost, const std::vector<fleet::PeerLoad>& aLoads);
std::string
ReadLoads(absl::string_view aText, std::vector<fleet::PeerLoad>& aLoads);

// Tells the other hosts what this one has under way at targets, so that they
// don't send large prompts to the same ones. Lost messages do no harm: the next
// one tells all again.
class Gossip
{
public:
  // Listens on a UDP address; throws boost::system::system_error if it can't.
  Gossip(Host& aHost, const std::string& aAddress);

  // Something has changed; it is told shortly.
  void Changed();

private:
  void Receive();
  void SendNear();
  void SendFar();
  void Send(const std::string& aHost,
            const std::vector<fleet::PeerLoad>& aLoads);
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
  bool nearPending_ = false;
  bool farPending_ = false;
};

} // namespace lycheeplank::gateway

#endif
