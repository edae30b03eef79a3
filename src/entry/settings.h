#ifndef LYCHEEPLANK_ENTRY_SETTINGS_H
#define LYCHEEPLANK_ENTRY_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "entry/stop-point.h"
#include "process/flags.h"

namespace lycheeplank::entry {

// What an entry host is told by flags and environment variables.
struct Settings : process::HostSettings
{
  std::uint16_t httpPort_ = 8080;
  std::uint16_t peerPort_ = 8081;
  // Peer addresses asked for all hosts while the platform can't be reached.
  std::vector<std::string> peers_;
  // URL of the steward on the same host; empty without one.
  std::string stewardUrl_;
  std::string operatorKeyDigest_;
  unsigned httpThreads_ = 2;
  unsigned clientThreads_ = 2;
  // For failure tests: where this process stops itself, and at which time that
  // it gets there.
  StopPoint stopAt_ = StopPoint::None;
  std::uint32_t stopAtCount_ = 1;
};

// Reads and checks flags and environment variables; prints help, version or
// what is wrong.
process::ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings);

} // namespace lycheeplank::entry

#endif
