#ifndef LYCHEEPLANK_STEWARD_SETTINGS_H
#define LYCHEEPLANK_STEWARD_SETTINGS_H

#include <cstdint>
#include <string>

#include "process/flags.h"

namespace lycheeplank::steward {

// Settings of a steward from flags and environment variables.
struct Settings : process::HostSettings
{
  // URL of the entry host on the same host, which provides the configuration.
  std::string entryUrl_;
  // Port to listen on; 0 selects a free one.
  std::uint16_t port_ = 8082;
};

// Reads and checks flags and environment variables. Prints the help, the
// version or an error.
process::ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings);

} // namespace lycheeplank::steward

#endif
