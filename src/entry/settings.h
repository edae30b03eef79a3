#ifndef LYCHEEPLANK_ENTRY_SETTINGS_H
#define LYCHEEPLANK_ENTRY_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "entry/stop-point.h"
#include "process/flags.h"

namespace lycheeplank::entry {

// Settings of the entry process from flags and environment variables.
struct Settings : process::HostSettings
{
  std::uint16_t httpPort_ = 8080;
  std::uint16_t peerPort_ = 8081;
  // Peer addresses from which this host learns all hosts while the platform is
  // unreachable.
  std::vector<std::string> peers_;
  // URL of the steward on the same host; empty if there is none.
  std::string stewardUrl_;
  // SHA-256 digest of the operators' key, in hexadecimal digits.
  std::string operatorKeyDigest_;
  unsigned httpThreads_ = 2;
  unsigned clientThreads_ = 2;
  // For failure tests only: this process stops itself when it reaches the point
  // stopAt_ for the stopAtCount_-th time.
  StopPoint stopAt_ = StopPoint::None;
  std::uint32_t stopAtCount_ = 1;
};

// Reads and checks flags and environment variables. Prints the help, the
// version or an error message where one is due.
process::ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings);

} // namespace lycheeplank::entry

#endif
