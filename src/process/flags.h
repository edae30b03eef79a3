#ifndef LYCHEEPLANK_SRC_PROCESS_FLAGS_H
#define LYCHEEPLANK_SRC_PROCESS_FLAGS_H

#include <string>

#include <CLI/CLI.hpp>

// Flags and environment variables that all daemons have.
namespace lycheeplank::process {

// What each daemon on a host is told.
struct HostSettings
{
  std::string name_;
  std::string dataCentre_;
  std::string address_ = "127.0.0.1";
  std::string platformUrl_;
  // Signs resume tokens and lets the daemons of the hosts call each other; the
  // same on all hosts.
  std::string tokenSecret_;
  std::string logDir_;
  // Costs time at each lock; for tests.
  bool checkLockOrder_ = false;
};

// Adds the flags of HostSettings.
void
AddHostFlags(CLI::App& aApp, HostSettings& aSettings);

// What main has to do after the command line was read.
struct ParseResult
{
  bool run_ = false;
  int exitCode_ = 0;
};

// Reads and checks flags and environment variables; prints help, version or
// what is wrong.
ParseResult
ParseCommandLine(CLI::App& aApp, int aCount, char** aArguments);

// Returns what is wrong with a URL, or an empty string.
std::string
CheckUrl(const std::string& aUrl);

} // namespace lycheeplank::process

#endif
