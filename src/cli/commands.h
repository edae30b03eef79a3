#ifndef LYCHEEPLANK_SRC_CLI_COMMANDS_H
#define LYCHEEPLANK_SRC_CLI_COMMANDS_H

#include <cstdint>
#include <string>

#include <absl/time/time.h>

#include "cli/api_client.h"

// The commands of the client, one function each. A command prints its output
// and returns the exit code, or a Failure whose exit code the program returns.
namespace lycheeplank::cli {

// Checks the document in a file without calling an entry host. An invalid
// document is a Failure, but with JSON output the problems are printed and
// ExitCode::InvalidDocument is returned.
core::Result<ExitCode>
CheckFile(const Console& aConsole,
          OutputFormat aOutputFormat,
          const std::string& aFile);

// Reads a caller key from the standard input and prints its SHA-256 digest.
core::Result<ExitCode>
DigestKey(const Console& aConsole);

// Prints the configuration in force, or only section aSection if that is not
// empty.
core::Result<ExitCode>
ShowConfig(const Context& aContext, const std::string& aSection);

// Prints the lines in which the sections of a file differ from the
// configuration in force.
core::Result<ExitCode>
DiffConfig(const Context& aContext, const std::string& aFile);

// The arguments of ApplyConfig.
struct ApplyOptions
{
  // Path of the document, or "-" for the standard input.
  std::string file_;
  // Author recorded in the history; "unknown" is sent if it is empty.
  std::string author_;
  // How long to wait until the change is in force on all live hosts; zero does
  // not wait.
  absl::Duration wait_;
  // Uses the current revision as the base and ignores the one in the file.
  bool force_ = false;
};

// Sends the edited sections of a file to an entry host and waits until the
// change is in force.
core::Result<ExitCode>
ApplyConfig(const Context& aContext, const ApplyOptions& aOptions);

// Lists the last accepted changes of the configuration.
core::Result<ExitCode>
ShowHistory(const Context& aContext);
// Lists the configuration revision in force on each host.
core::Result<ExitCode>
ShowConfigStatus(const Context& aContext);
// Lists the entry hosts with their status and load.
core::Result<ExitCode>
ShowHosts(const Context& aContext);
// Lists the targets with their status and load.
core::Result<ExitCode>
ShowTargets(const Context& aContext);
// Lists the cache stores with their use of memory, disk and link.
core::Result<ExitCode>
ShowStores(const Context& aContext);
// Starts the rollout of weight version aVersion of a model.
core::Result<ExitCode>
StartRollout(const Context& aContext,
             const std::string& aModel,
             const std::string& aVersion);
// Lists the rollouts with their progress.
core::Result<ExitCode>
ShowRollouts(const Context& aContext);
// Stops the rollout of a model; targets that have loaded the new weights keep
// them.
core::Result<ExitCode>
StopRollout(const Context& aContext, const std::string& aModel);

// Prints a request's workspace, kind, number of events and last event.
core::Result<ExitCode>
ShowRequest(const Context& aContext, const std::string& aId);
// The arguments of ShowRoute.
struct RouteOptions
{
  // Host name and path of the request.
  std::string host_;
  std::string path_;
  std::string model_;
  std::string workspace_;
  // Parts of the prompt, ID:TOKENS each, separated by commas.
  std::string parts_;
  std::uint32_t promptTokens_ = 0;
  std::uint32_t outputTokens_ = 0;
};

// Prints where a gateway host would send a request now, and why, without
// sending it. The addresses of the entries are peer addresses of hosts.
core::Result<ExitCode>
ShowRoute(const Context& aContext, const RouteOptions& aOptions);

// Prints the recorded events and decisions of a request in order.
core::Result<ExitCode>
ExplainRequest(const Context& aContext, const std::string& aId);

} // namespace lycheeplank::cli

#endif
