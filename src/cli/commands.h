#ifndef LYCHEEPLANK_SRC_CLI_COMMANDS_H
#define LYCHEEPLANK_SRC_CLI_COMMANDS_H

#include <string>

#include <absl/time/time.h>

#include "cli/api_client.h"

// One function for each command; those that can end in more ways than success
// or failure return the exit code.
namespace lycheeplank::cli {

// Checks a document without an entry host.
core::Result<ExitCode>
CheckFile(const Console& aConsole,
          OutputFormat aOutputFormat,
          const std::string& aFile);

// Prints the digest of the caller key on the standard input.
core::Result<ExitCode>
DigestKey(const Console& aConsole);

core::Result<ExitCode>
ShowConfig(const Context& aContext, const std::string& aSection);

core::Result<ExitCode>
DiffConfig(const Context& aContext, const std::string& aFile);

struct ApplyOptions
{
  std::string file_;
  std::string author_;
  // How long to wait until the change is in force everywhere.
  absl::Duration wait_;
  // Take the current revision as the base, whatever the file says.
  bool force_ = false;
};

core::Result<ExitCode>
ApplyConfig(const Context& aContext, const ApplyOptions& aOptions);

core::Result<ExitCode>
ShowHistory(const Context& aContext);
core::Result<ExitCode>
ShowConfigStatus(const Context& aContext);
core::Result<ExitCode>
ShowHosts(const Context& aContext);
core::Result<ExitCode>
ShowTargets(const Context& aContext);
core::Result<ExitCode>
ShowStores(const Context& aContext);
core::Result<ExitCode>
StartRollout(const Context& aContext,
             const std::string& aModel,
             const std::string& aVersion);
core::Result<ExitCode>
ShowRollouts(const Context& aContext);
core::Result<ExitCode>
StopRollout(const Context& aContext, const std::string& aModel);

// Prints what a request is and how it ended.
core::Result<ExitCode>
ShowRequest(const Context& aContext, const std::string& aId);
// Prints each decision on a request in order.
core::Result<ExitCode>
ExplainRequest(const Context& aContext, const std::string& aId);

} // namespace lycheeplank::cli

#endif
