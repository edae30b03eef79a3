#ifndef LYCHEEPLANK_ENTRY_SETTINGS_H
#define LYCHEEPLANK_ENTRY_SETTINGS_H

#include <cstdint>
#include <string>

namespace lycheeplank::entry {

// What an entry host is told by flags and environment variables.
struct Settings
{
  std::string name_;
  std::string dataCentre_;
  std::string address_ = "127.0.0.1";
  std::uint16_t httpPort_ = 8080;
  std::uint16_t peerPort_ = 8081;
  std::string platformUrl_;
  // URL of the steward on the same host; empty without one.
  std::string stewardUrl_;
  std::string operatorKeyDigest_;
  // Signs resume tokens; the same on all entry hosts.
  std::string tokenSecret_;
  unsigned httpThreads_ = 2;
  unsigned clientThreads_ = 2;
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

} // namespace lycheeplank::entry

#endif
