#include "cli/program.h"

#include <cstdlib>
#include <functional>
#include <istream>
#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>

#include "cli/commands.h"
#include "cli/table.h"
#include "lycheeplank/version.h"

namespace lycheeplank::cli {

namespace {

// Runs a command after the command line has been parsed.
using Command = std::function<core::Result<ExitCode>(const Context&)>;

// The parser of the command line and the values that it fills in.
struct CommandLine
{
  CLI::App app_{ "Command-line client for the operators of lycheeplank.",
                 "lycheeplank" };
  Settings settings_;
  std::string output_;
  std::string file_;
  std::string section_;
  std::string model_;
  std::string weightVersion_;
  std::string requestId_;
  std::string wait_ = "14s";
  std::string author_;
  bool force_ = false;
  // The selected command.
  Command command_;
  RouteOptions route_;
  CLI::App* routeCommand_ = nullptr;
  // The command calls no entry host.
  bool isLocal_ = false;
};

// Returns the section of the help text that lists the exit codes.
std::string
ExitCodeHelp()
{
  std::string text = "Exit codes:";
  for (const auto& row : kExitCodes) {
    absl::StrAppend(
      &text, "\n  ", static_cast<int>(row.value_), "  ", row.name_);
  }
  return text;
}

// Validates the value of --wait; returns an error message or an empty string.
std::string
CheckWait(const std::string& aText)
{
  absl::Duration wait;
  const bool valid = absl::ParseDuration(aText, &wait) &&
                     wait >= absl::ZeroDuration() && wait <= absl::Hours(1);
  return valid ? "" : "must be a duration like 14s, at most 1h";
}

// Returns the value of --wait, which CheckWait has validated.
absl::Duration
ParseWait(const CommandLine& aCommandLine)
{
  absl::Duration wait;
  absl::ParseDuration(aCommandLine.wait_, &wait);
  return wait;
}

// Validates the value of --output; returns an error message or an empty string.
std::string
CheckOutput(const std::string& aText)
{
  return core::ValueOf(kOutputFormats, aText)
           ? ""
           : absl::StrCat("must be one of ", core::AllNames(kOutputFormats));
}

// Adds the flags that all commands share.
void
AddGlobalFlags(CommandLine& aCommandLine)
{
  auto& app = aCommandLine.app_;
  app
    .add_option("--entries",
                aCommandLine.settings_.entries_,
                "Addresses of entry hosts, e.g. 10.0.0.1:8080,10.0.0.2:8080; "
                "if one fails, the next is tried")
    ->delimiter(',')
    ->allow_extra_args(false)
    ->envname("LYCHEEPLANK_ENTRIES");
  app
    .add_option(
      "--operator-key",
      aCommandLine.settings_.operatorKey_,
      "The operators' key; prefer the environment variable, since other "
      "users of the machine can read flags")
    ->envname("LYCHEEPLANK_OPERATOR_KEY");
  app
    .add_option("--output",
                aCommandLine.output_,
                "Output format: table, json, or yaml (config show only)")
    ->check(CLI::Validator(CheckOutput, "table|json|yaml"));
  app.set_version_flag("--version", absl::StrCat("lycheeplank ", kVersion));
  app.footer(ExitCodeHelp());
  app.require_subcommand(1);
  app.fallthrough();
}

// Adds a command that has subcommands.
CLI::App*
AddGroup(CLI::App& aParent, const char* aName, const char* aHelp)
{
  auto* const group = aParent.add_subcommand(aName, aHelp);
  group->require_subcommand(1);
  group->fallthrough();
  return group;
}

// Adds a command that calls entry hosts.
CLI::App*
AddCommand(CommandLine& aCommandLine,
           CLI::App& aParent,
           const char* aName,
           const char* aHelp,
           Command aCommand)
{
  auto* const added = aParent.add_subcommand(aName, aHelp);
  added->fallthrough();
  added->callback([&aCommandLine, command = std::move(aCommand)] {
    aCommandLine.command_ = command;
  });
  return added;
}

// Adds a command that calls no entry host.
CLI::App*
AddLocalCommand(CommandLine& aCommandLine,
                CLI::App& aParent,
                const char* aName,
                const char* aHelp,
                Command aCommand)
{
  auto* const added = aParent.add_subcommand(aName, aHelp);
  added->fallthrough();
  added->callback([&aCommandLine, command = std::move(aCommand)] {
    aCommandLine.command_ = command;
    aCommandLine.isLocal_ = true;
  });
  return added;
}

// Adds the argument that names a document.
void
AddFileArgument(CommandLine& aCommandLine, CLI::App& aCommand)
{
  aCommand
    .add_option("FILE",
                aCommandLine.file_,
                "Path of the document, or - for the standard input")
    ->required();
}

void
AddApplyCommand(CommandLine& aCommandLine, CLI::App& aGroup)
{
  auto* const apply = AddCommand(aCommandLine,
                                 aGroup,
                                 "apply",
                                 "Apply the edited sections of a document",
                                 [&aCommandLine](const Context& aContext) {
                                   return ApplyConfig(aContext,
                                                      { aCommandLine.file_,
                                                        aCommandLine.author_,
                                                        ParseWait(aCommandLine),
                                                        aCommandLine.force_ });
                                 });
  AddFileArgument(aCommandLine, *apply);
  apply
    ->add_option("--wait",
                 aCommandLine.wait_,
                 "How long to wait until the change is in force on every live "
                 "host; 0s does not wait")
    ->check(CLI::Validator(CheckWait, "DURATION"))
    ->capture_default_str();
  apply
    ->add_option("--author",
                 aCommandLine.author_,
                 "Author to record in the history of changes")
    ->envname("USER");
  apply->add_flag(
    "--force",
    aCommandLine.force_,
    "Overwrite changes that others made since the document was shown");
}

void
AddConfigCommands(CommandLine& aCommandLine)
{
  auto& group =
    *AddGroup(aCommandLine.app_, "config", "Read and change the configuration");
  AddFileArgument(aCommandLine,
                  *AddLocalCommand(aCommandLine,
                                   group,
                                   "check",
                                   "Check a document without an entry host",
                                   [&aCommandLine](const Context& aContext) {
                                     return CheckFile(
                                       aContext.console_,
                                       aContext.settings_.output_,
                                       aCommandLine.file_);
                                   }));
  AddCommand(aCommandLine,
             group,
             "show",
             "Print the document in force, as YAML unless --output is given",
             [&aCommandLine](const Context& aContext) {
               return ShowConfig(aContext, aCommandLine.section_);
             })
    ->add_option("--section", aCommandLine.section_, "Print this section only");
  AddFileArgument(aCommandLine,
                  *AddCommand(aCommandLine,
                              group,
                              "diff",
                              "Compare the document in force with a file",
                              [&aCommandLine](const Context& aContext) {
                                return DiffConfig(aContext, aCommandLine.file_);
                              }));
  AddApplyCommand(aCommandLine, group);
  AddCommand(aCommandLine,
             group,
             "history",
             "List the last accepted changes",
             ShowHistory);
  AddCommand(aCommandLine,
             group,
             "status",
             "List the revision in force on each host",
             ShowConfigStatus);
}

void
AddRolloutCommands(CommandLine& aCommandLine)
{
  auto& group = *AddGroup(
    aCommandLine.app_, "rollout", "Load new weights on a model's targets");
  auto* const start =
    AddCommand(aCommandLine,
               group,
               "start",
               "Start a rollout",
               [&aCommandLine](const Context& aContext) {
                 return StartRollout(
                   aContext, aCommandLine.model_, aCommandLine.weightVersion_);
               });
  start->add_option("MODEL", aCommandLine.model_, "Name of the model")
    ->required();
  start
    ->add_option(
      "VERSION", aCommandLine.weightVersion_, "Weight version to load")
    ->required();
  AddCommand(aCommandLine, group, "status", "List the rollouts", ShowRollouts);
  AddCommand(
    aCommandLine,
    group,
    "stop",
    "Stop a rollout; targets that have loaded the new weights keep them",
    [&aCommandLine](const Context& aContext) {
      return StopRollout(aContext, aCommandLine.model_);
    })
    ->add_option("MODEL", aCommandLine.model_, "Name of the model")
    ->required();
}

void
AddRequestCommands(CommandLine& aCommandLine)
{
  AddCommand(aCommandLine,
             aCommandLine.app_,
             "request",
             "Print a request's workspace, kind and last event",
             [&aCommandLine](const Context& aContext) {
               return ShowRequest(aContext, aCommandLine.requestId_);
             })
    ->add_option("ID", aCommandLine.requestId_, "Id of the request")
    ->required();
  AddCommand(aCommandLine,
             aCommandLine.app_,
             "explain",
             "Print the events and decisions of a request in order",
             [&aCommandLine](const Context& aContext) {
               return ExplainRequest(aContext, aCommandLine.requestId_);
             })
    ->add_option("ID", aCommandLine.requestId_, "Id of the request")
    ->required();
}

void
AddRouteCommand(CommandLine& aCommandLine)
{
  auto& route = aCommandLine.route_;
  auto* const command = AddCommand(
    aCommandLine,
    aCommandLine.app_,
    "route",
    "Explain where a gateway host would send a request now, without sending "
    "it; --entries names peer addresses of hosts",
    [&aCommandLine](const Context& aContext) {
      return ShowRoute(aContext, aCommandLine.route_);
    });
  aCommandLine.routeCommand_ = command;
  command->add_option("HOST", route.host_, "Host name of the request")
    ->required();
  command->add_option("PATH", route.path_, "Path of the request")->required();
  command->add_option("--model", route.model_, "Name of the model");
  command->add_option(
    "--workspace", route.workspace_, "Workspace of the caller's key");
  command->add_option(
    "--parts",
    route.parts_,
    "Parts of the prompt in order, ID:TOKENS, separated by commas");
  command->add_option(
    "--prompt-tokens", route.promptTokens_, "Tokens of the prompt");
  command->add_option(
    "--output-tokens", route.outputTokens_, "Maximum tokens of the answer");
}

void
AddCommands(CommandLine& aCommandLine)
{
  AddConfigCommands(aCommandLine);
  auto& app = aCommandLine.app_;
  AddCommand(aCommandLine, app, "hosts", "List the entry hosts", ShowHosts);
  AddCommand(aCommandLine, app, "targets", "List the targets", ShowTargets);
  AddCommand(aCommandLine, app, "stores", "List the cache stores", ShowStores);
  AddRolloutCommands(aCommandLine);
  AddRequestCommands(aCommandLine);
  AddRouteCommand(aCommandLine);
  AddLocalCommand(
    aCommandLine,
    *AddGroup(app, "key", "Work with caller keys"),
    "digest",
    "Read a caller key from the standard input and print its SHA-256 digest, "
    "in the form of key_digests in the document",
    [](const Context& aContext) { return DigestKey(aContext.console_); });
}

// Sets the output format from --output or the command's default. Only "config
// show" can print YAML.
core::Result<void>
ResolveOutputFormat(CommandLine& aCommandLine)
{
  const bool show =
    aCommandLine.app_.get_subcommand("config")->got_subcommand("show");
  if (aCommandLine.output_.empty()) {
    aCommandLine.settings_.output_ =
      show ? OutputFormat::Yaml : OutputFormat::Table;
    return {};
  }
  aCommandLine.settings_.output_ =
    *core::ValueOf(kOutputFormats, aCommandLine.output_);
  if (aCommandLine.settings_.output_ == OutputFormat::Yaml && !show) {
    return FailWith({ ExitCode::Usage,
                      "only config show can print YAML",
                      "Use --output table or --output json." });
  }
  return {};
}

// Fails if the command calls entry hosts and their addresses or the operators'
// key are missing.
core::Result<void>
RequireConnectionSettings(const CommandLine& aCommandLine)
{
  if (aCommandLine.isLocal_) {
    return {};
  }
  if (aCommandLine.settings_.entries_.empty()) {
    return FailWith({ ExitCode::Usage,
                      "no entry hosts are given",
                      "Set LYCHEEPLANK_ENTRIES or --entries." });
  }
  // Gateway hosts take no operators' key on their peer addresses.
  if (aCommandLine.settings_.operatorKey_.empty() &&
      !aCommandLine.routeCommand_->parsed()) {
    return FailWith({ ExitCode::Usage,
                      "no operator key is given",
                      "Set LYCHEEPLANK_OPERATOR_KEY." });
  }
  return {};
}

// Prints a failure on the error output and returns its exit code.
ExitCode
PrintFailure(const Console& aConsole,
             const std::string& aFile,
             const Failure& aFailure)
{
  for (const auto& problem : aFailure.problems_) {
    aConsole.err_ << aFile << ":" << problem.line_ << ": "
                  << MakePrintable(problem.section_)
                  << (problem.field_.empty() ? "" : ".")
                  << MakePrintable(problem.field_) << ": "
                  << MakePrintable(problem.message_) << "\n";
  }
  aConsole.err_ << "lycheeplank: " << MakePrintable(aFailure.message_) << "\n";
  if (!aFailure.remedy_.empty()) {
    aConsole.err_ << MakePrintable(aFailure.remedy_) << "\n";
  }
  return aFailure.code_;
}

// Completes the settings and runs the selected command.
core::Result<ExitCode>
RunCommand(CommandLine& aCommandLine, const Console& aConsole)
{
  BOOST_LEAF_CHECK(ResolveOutputFormat(aCommandLine));
  BOOST_LEAF_CHECK(RequireConnectionSettings(aCommandLine));
  net::Client client;
  try {
    return aCommandLine.command_({ aCommandLine.settings_, aConsole, client });
  } catch (const Json::exception& problem) {
    return FailWith(
      { ExitCode::Failed,
        absl::StrCat("the entry host's answer has an unexpected form: ",
                     problem.what()),
        "Use a client of the same version as the entry hosts." });
  }
}

} // namespace

int
Run(int aCount, const char* const* aArguments, const Console& aConsole)
{
  CommandLine commandLine;
  AddGlobalFlags(commandLine);
  AddCommands(commandLine);
  try {
    commandLine.app_.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const int code =
      commandLine.app_.exit(problem, aConsole.out_, aConsole.err_);
    return static_cast<int>(code == 0 ? ExitCode::Ok : ExitCode::Usage);
  }
  const ExitCode code = boost::leaf::try_handle_all(
    [&] { return RunCommand(commandLine, aConsole); },
    [&](const Failure& aFailure) {
      return PrintFailure(aConsole, commandLine.file_, aFailure);
    },
    [&] {
      return PrintFailure(
        aConsole, commandLine.file_, { ExitCode::Failed, "an unknown error" });
    });
  return static_cast<int>(code);
}

} // namespace lycheeplank::cli
