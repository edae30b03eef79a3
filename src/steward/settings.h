#ifndef LYCHEEPLANK_STEWARD_SETTINGS_H
#define LYCHEEPLANK_STEWARD_SETTINGS_H

#include <cstdint>
#include <string>

#include "process/flags.h"

namespace lycheeplank::steward {

// What a steward is told by flags and environment variables.
struct Settings : process::HostSettings
{
  // The entry host on the same host, which tells the configuration.
  std::string entryUrl_;
  std::uint16_t port_ = 8082;
};

// Reads and checks flags and environment variables; prints help, version or
// what is wrong.
process::ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings);

} // namespace lycheeplank::steward

#endif
