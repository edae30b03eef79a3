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

// What one host has under way at one target.
struct OwnLoad
{
  std::string target_;
  std::uint32_t inFlight_ = 0;
  std::uint64_t promptTokens_ = 0;
};

// Returns a host's loads as one datagram, and reads it; an empty name if the
// text is none.
std::string
WriteLoads(absl::string_view aHost, const std::vector<OwnLoad>& aLoads);
std::string
ReadLoads(absl::string_view aText, std::vector<OwnLoad>& aLoads);

// Tells the hosts of the same data centre what this one has under way at
// targets, so that they don't send large prompts to the same one. Lost messages
// do no harm: the next one tells all again.
class Gossip
{
public:
  // Listens on a UDP address; throws boost::system::system_error if it can't.
  Gossip(Host& aHost, const std::string& aAddress);

  // Something has changed; it is told shortly.
  void Changed();

private:
  void Receive();
  void Send();
  std::vector<OwnLoad> Loads() const;

  Host& host_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 16U << 10U> buffer_{};
  Timer timer_;
  bool pending_ = false;
};

} // namespace lycheeplank::gateway

#endif
