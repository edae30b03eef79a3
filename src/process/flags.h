#ifndef LYCHEEPLANK_SRC_PROCESS_FLAGS_H
#define LYCHEEPLANK_SRC_PROCESS_FLAGS_H

#include <string>

#include <CLI/CLI.hpp>

// Command-line flags and environment variables common to all daemons.
namespace lycheeplank::process {

// Settings common to all daemons of a host.
struct HostSettings
{
  std::string name_;
  std::string dataCentre_;
  std::string address_ = "127.0.0.1";
  std::string platformUrl_;
  // Signs resume tokens and authenticates calls between the daemons; the same
  // on all hosts.
  std::string tokenSecret_;
  std::string logDir_;
  // Aborts the process if locks are taken in inconsistent orders. Slows down
  // every lock; for tests only.
  bool checkLockOrder_ = false;
};

// Adds the flags that set HostSettings.
void
AddHostFlags(CLI::App& aApp, HostSettings& aSettings);

// The result of reading the command line.
struct ParseResult
{
  // False if main has to return exitCode_ at once.
  bool run_ = false;
  int exitCode_ = 0;
};

// Reads and checks flags and environment variables. Prints the help, the
// version or an error message where one is due.
ParseResult
ParseCommandLine(CLI::App& aApp, int aCount, char** aArguments);

// Returns an error message if aUrl is not an HTTP URL, or an empty string.
std::string
CheckUrl(const std::string& aUrl);

} // namespace lycheeplank::process

#endif
