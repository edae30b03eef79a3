#ifndef LYCHEEPLANK_STEWARD_SETTINGS_H
#define LYCHEEPLANK_STEWARD_SETTINGS_H

#include <cstdint>
#include <string>

namespace lycheeplank::steward {

// What a steward is told by flags and environment variables.
struct Settings
{
  std::string name_;
  std::string dataCentre_;
  std::string platformUrl_;
  // The entry host on the same host, which tells the configuration.
  std::string entryUrl_;
  // Shared with the entry hosts.
  std::string tokenSecret_;
  std::string address_ = "127.0.0.1";
  std::uint16_t port_ = 8082;
  std::string logDir_;
  // Costs time at each lock; for tests.
  bool checkLockOrder_ = false;
};

// What main has to do after the command line was read.
struct ParseResult
{
  bool run_ = false;
  int exitCode_ = 0;
};

// Reads and checks flags and environment variables; prints help, version or
// what is wrong.
ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings);

} // namespace lycheeplank::steward

#endif
