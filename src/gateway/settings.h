#ifndef LYCHEEPLANK_SRC_GATEWAY_SETTINGS_H
#define LYCHEEPLANK_SRC_GATEWAY_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "lycheeplank/mechanisms.h"

namespace lycheeplank::gateway {

// Settings of a host. Addresses have the form "IP:PORT".
struct Settings
{
  std::string name_;
  std::string dataCentre_;
  // Listening addresses: for callers' requests, for callers that request the
  // list of hosts, for the platform's readiness checks, and for other hosts.
  std::string callerAddress_;
  std::string entriesAddress_;
  std::string readyAddress_;
  std::string peerAddress_;
  // UDP port on which all hosts exchange loads by gossip; 0 disables it.
  std::uint16_t gossipPort_ = 0;
  // Mechanisms that an experiment disables.
  mechanisms::Switches switches_;
  // 0 disables the metrics endpoint.
  std::uint16_t metricsPort_ = 0;
  // Peer addresses of some hosts, which may be down.
  std::vector<std::string> seeds_;
  std::string storeAddress_;
  // Processor time that the process may use, in cores.
  double cores_ = 1.0;
  // Limits of the process's memory and descriptors; 0 if it has none.
  std::uint64_t memoryBytes_ = 0;
  std::uint64_t maxDescriptors_ = 0;
  absl::Duration leastLease_ = absl::Seconds(1);

  // Time between SIGTERM and SIGKILL.
  absl::Duration graceTime_ = absl::Seconds(8);
  // Lifetime of address lists at callers; some callers keep them longer.
  absl::Duration listLife_ = absl::Seconds(2);
  // Retry budget of all hosts together: ratio to requests, time window, and
  // number of retries beyond the ratio.
  double resendRatio_ = 0.2;
  absl::Duration resendWindow_ = absl::Seconds(10);
  double resendSlack_ = 0.0;
  // Time after the announcement of new weights from which targets must not run
  // old ones.
  absl::Duration weightsTime_ = absl::Seconds(8);
  // Waiting requests start by priority and fairly by workspace, and less urgent
  // ones leave memory at targets to more urgent ones.
  bool priorityScheduling_ = false;
};

} // namespace lycheeplank::gateway

#endif
