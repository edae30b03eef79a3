#ifndef LYCHEEPLANK_SRC_GATEWAY_SETTINGS_H
#define LYCHEEPLANK_SRC_GATEWAY_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "lycheeplank/mechanisms.h"

namespace lycheeplank::gateway {

// What a host is told about itself and its surroundings. Addresses are
// "IP:PORT".
struct Settings
{
  std::string name_;
  std::string dataCentre_;
  // Where callers connect, where they ask for addresses, where the platform
  // asks whether this host takes requests, and where other hosts connect.
  std::string callerAddress_;
  std::string entriesAddress_;
  std::string readyAddress_;
  std::string peerAddress_;
  // UDP port at which all hosts tell each other their loads; 0 for none.
  std::uint16_t gossipPort_ = 0;
  // Mechanisms that an experiment switches off.
  mechanisms::Switches switches_;
  // 0 for none.
  std::uint16_t metricsPort_ = 0;
  // Peer addresses of some hosts, which may be down.
  std::vector<std::string> seeds_;
  std::string storeAddress_;
  // Share of a processor that the process may use, in cores.
  double cores_ = 1.0;
  absl::Duration leastLease_ = absl::Seconds(1);

  // Time between SIGTERM and SIGKILL.
  absl::Duration graceTime_ = absl::Seconds(8);
  // Longest that callers may keep a list of addresses; some keep it longer.
  absl::Duration listLife_ = absl::Seconds(2);
  // Second sends: share of the requests, window and slack of all hosts.
  double resendRatio_ = 0.2;
  absl::Duration resendWindow_ = absl::Seconds(10);
  double resendSlack_ = 0.0;
  // Targets may run no old weights for so long after new ones were named.
  absl::Duration weightsTime_ = absl::Seconds(8);
};

} // namespace lycheeplank::gateway

#endif
