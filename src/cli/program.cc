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

using Command = std::function<core::Result<ExitCode>(const Context&)>;

// The command line as it is being read.
struct CommandLine
{
  CLI::App app_{ "Client for the operators of lycheeplank.", "lycheeplank" };
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
  // What to run; a local command needs no entry host.
  Command command_;
  bool isLocal_ = false;
};

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

std::string
CheckWait(const std::string& aText)
{
  absl::Duration wait;
  const bool valid = absl::ParseDuration(aText, &wait) &&
                     wait >= absl::ZeroDuration() && wait <= absl::Hours(1);
  return valid ? "" : "not a duration like 14s, at most 1h";
}

absl::Duration
ParseWait(const CommandLine& aCommandLine)
{
  absl::Duration wait;
  absl::ParseDuration(aCommandLine.wait_, &wait);
  return wait;
}

std::string
CheckOutput(const std::string& aText)
{
  return core::ValueOf(kOutputFormats, aText)
           ? ""
           : absl::StrCat("not one of ", core::AllNames(kOutputFormats));
}

void
AddGlobalFlags(CommandLine& aCommandLine)
{
  auto& app = aCommandLine.app_;
  app
    .add_option("--entries",
                aCommandLine.settings_.entries_,
                "Addresses of entry hosts, e.g. 10.0.0.1:8080,10.0.0.2:8080; "
                "the next one is tried when one fails")
    ->delimiter(',')
    ->allow_extra_args(false)
    ->envname("LYCHEEPLANK_ENTRIES");
  app
    .add_option("--operator-key",
                aCommandLine.settings_.operatorKey_,
                "The operators' key; better given by the environment, since "
                "other users can see flags")
    ->envname("LYCHEEPLANK_OPERATOR_KEY");
  app
    .add_option("--output",
                aCommandLine.output_,
                "How to print: table, json, or yaml (config show only)")
    ->check(CLI::Validator(CheckOutput, "table|json|yaml"));
  app.set_version_flag("--version", absl::StrCat("lycheeplank ", kVersion));
  app.footer(ExitCodeHelp());
  app.require_subcommand(1);
  app.fallthrough();
}

CLI::App*
AddGroup(CLI::App& aParent, const char* aName, const char* aHelp)
{
  auto* const group = aParent.add_subcommand(aName, aHelp);
  group->require_subcommand(1);
  group->fallthrough();
  return group;
}

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

void
AddFileArgument(CommandLine& aCommandLine, CLI::App& aCommand)
{
  aCommand
    .add_option(
      "FILE", aCommandLine.file_, "Document, or - for the standard input")
    ->required();
}

void
AddApplyCommand(CommandLine& aCommandLine, CLI::App& aGroup)
{
  auto* const apply =
    AddCommand(aCommandLine,
               aGroup,
               "apply",
               "Change the sections that a document has edited",
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
    ->add_option(
      "--author", aCommandLine.author_, "Name for the history of changes")
    ->envname("USER");
  apply->add_flag("--force",
                  aCommandLine.force_,
                  "Overwrite what others changed since the document was shown");
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
             "Print the document in force, as YAML unless --output says "
             "otherwise",
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
    aCommandLine.app_, "rollout", "Bring new weights to a model's targets");
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
  AddCommand(aCommandLine,
             group,
             "stop",
             "Stop a rollout; targets that have loaded stay as they are",
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
             "Print what a request is and how far it came",
             [&aCommandLine](const Context& aContext) {
               return ShowRequest(aContext, aCommandLine.requestId_);
             })
    ->add_option("ID", aCommandLine.requestId_, "Id of the request")
    ->required();
  AddCommand(aCommandLine,
             aCommandLine.app_,
             "explain",
             "Print where a request went and why, in order",
             [&aCommandLine](const Context& aContext) {
               return ExplainRequest(aContext, aCommandLine.requestId_);
             })
    ->add_option("ID", aCommandLine.requestId_, "Id of the request")
    ->required();
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
  AddLocalCommand(
    aCommandLine,
    *AddGroup(app, "key", "Work with caller keys"),
    "digest",
    "Read a caller key on the standard input and print its SHA-256 digest, "
    "as key_digests in the document takes it",
    [](const Context& aContext) { return DigestKey(aContext.console_); });
}

// Settles the output; only the document itself can be printed as YAML.
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
  if (aCommandLine.settings_.operatorKey_.empty()) {
    return FailWith({ ExitCode::Usage,
                      "no operator key is given",
                      "Set LYCHEEPLANK_OPERATOR_KEY." });
  }
  return {};
}

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
        absl::StrCat("the entry host's answer was not understood: ",
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
