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
struct Line
{
  CLI::App app_{ "Client for the operators of lycheeplank.", "lycheeplank" };
  Settings settings_;
  std::string output_;
  std::string file_;
  std::string section_;
  std::string model_;
  std::string weightVersion_;
  std::string request_;
  std::string wait_ = "14s";
  std::string author_;
  bool force_ = false;
  // What to run; a local command needs no entry host.
  Command command_;
  bool local_ = false;
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
WaitOf(const Line& aLine)
{
  absl::Duration wait;
  absl::ParseDuration(aLine.wait_, &wait);
  return wait;
}

std::string
CheckOutput(const std::string& aText)
{
  return core::ValueOf(kOutputs, aText)
           ? ""
           : absl::StrCat("not one of ", core::AllNames(kOutputs));
}

void
AddGlobalFlags(Line& aLine)
{
  auto& app = aLine.app_;
  app
    .add_option("--entries",
                aLine.settings_.entries_,
                "Addresses of entry hosts, e.g. 10.0.0.1:8080,10.0.0.2:8080; "
                "the next one is tried when one fails")
    ->delimiter(',')
    ->allow_extra_args(false)
    ->envname("LYCHEEPLANK_ENTRIES");
  app
    .add_option("--operator-key",
                aLine.settings_.operatorKey_,
                "The operators' key; better given by the environment, since "
                "other users can see flags")
    ->envname("LYCHEEPLANK_OPERATOR_KEY");
  app
    .add_option("--output",
                aLine.output_,
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
AddCommand(Line& aLine,
           CLI::App& aParent,
           const char* aName,
           const char* aHelp,
           Command aCommand)
{
  auto* const added = aParent.add_subcommand(aName, aHelp);
  added->fallthrough();
  added->callback(
    [&aLine, command = std::move(aCommand)] { aLine.command_ = command; });
  return added;
}

CLI::App*
AddLocalCommand(Line& aLine,
                CLI::App& aParent,
                const char* aName,
                const char* aHelp,
                Command aCommand)
{
  auto* const added = aParent.add_subcommand(aName, aHelp);
  added->fallthrough();
  added->callback([&aLine, command = std::move(aCommand)] {
    aLine.command_ = command;
    aLine.local_ = true;
  });
  return added;
}

void
AddFile(Line& aLine, CLI::App& aCommand)
{
  aCommand
    .add_option("FILE", aLine.file_, "Document, or - for the standard input")
    ->required();
}

void
AddApply(Line& aLine, CLI::App& aGroup)
{
  auto* const apply = AddCommand(
    aLine,
    aGroup,
    "apply",
    "Change the sections that a document has edited",
    [&aLine](const Context& aContext) {
      return ApplyConfig(
        aContext, { aLine.file_, aLine.author_, WaitOf(aLine), aLine.force_ });
    });
  AddFile(aLine, *apply);
  apply
    ->add_option("--wait",
                 aLine.wait_,
                 "How long to wait until the change is in force on every live "
                 "host; 0s does not wait")
    ->check(CLI::Validator(CheckWait, "DURATION"))
    ->capture_default_str();
  apply
    ->add_option("--author", aLine.author_, "Name for the history of changes")
    ->envname("USER");
  apply->add_flag("--force",
                  aLine.force_,
                  "Overwrite what others changed since the document was shown");
}

void
AddConfigCommands(Line& aLine)
{
  auto& group =
    *AddGroup(aLine.app_, "config", "Read and change the configuration");
  AddFile(aLine,
          *AddLocalCommand(aLine,
                           group,
                           "check",
                           "Check a document without an entry host",
                           [&aLine](const Context& aContext) {
                             return CheckFile(aContext.console_,
                                              aContext.settings_.output_,
                                              aLine.file_);
                           }));
  AddCommand(aLine,
             group,
             "show",
             "Print the document in force, as YAML unless --output says "
             "otherwise",
             [&aLine](const Context& aContext) {
               return ShowConfig(aContext, aLine.section_);
             })
    ->add_option("--section", aLine.section_, "Print this section only");
  AddFile(aLine,
          *AddCommand(aLine,
                      group,
                      "diff",
                      "Compare the document in force with a file",
                      [&aLine](const Context& aContext) {
                        return DiffConfig(aContext, aLine.file_);
                      }));
  AddApply(aLine, group);
  AddCommand(
    aLine, group, "history", "List the last accepted changes", ShowHistory);
  AddCommand(aLine,
             group,
             "status",
             "List the revision in force on each host",
             ShowConfigStatus);
}

void
AddRolloutCommands(Line& aLine)
{
  auto& group =
    *AddGroup(aLine.app_, "rollout", "Bring new weights to a model's targets");
  auto* const start = AddCommand(
    aLine,
    group,
    "start",
    "Start a rollout",
    [&aLine](const Context& aContext) {
      return StartRollout(aContext, aLine.model_, aLine.weightVersion_);
    });
  start->add_option("MODEL", aLine.model_, "Name of the model")->required();
  start->add_option("VERSION", aLine.weightVersion_, "Weight version to load")
    ->required();
  AddCommand(aLine, group, "status", "List the rollouts", ShowRollouts);
  AddCommand(aLine,
             group,
             "stop",
             "Stop a rollout; targets that have loaded stay as they are",
             [&aLine](const Context& aContext) {
               return StopRollout(aContext, aLine.model_);
             })
    ->add_option("MODEL", aLine.model_, "Name of the model")
    ->required();
}

void
AddRequestCommands(Line& aLine)
{
  AddCommand(aLine,
             aLine.app_,
             "request",
             "Print what a request is and how far it came",
             [&aLine](const Context& aContext) {
               return ShowRequest(aContext, aLine.request_);
             })
    ->add_option("ID", aLine.request_, "Id of the request")
    ->required();
  AddCommand(aLine,
             aLine.app_,
             "explain",
             "Print where a request went and why, in order",
             [&aLine](const Context& aContext) {
               return ExplainRequest(aContext, aLine.request_);
             })
    ->add_option("ID", aLine.request_, "Id of the request")
    ->required();
}

void
AddCommands(Line& aLine)
{
  AddConfigCommands(aLine);
  auto& app = aLine.app_;
  AddCommand(aLine, app, "hosts", "List the entry hosts", ShowHosts);
  AddCommand(aLine, app, "targets", "List the targets", ShowTargets);
  AddCommand(aLine, app, "stores", "List the cache stores", ShowStores);
  AddRolloutCommands(aLine);
  AddRequestCommands(aLine);
  AddLocalCommand(
    aLine,
    *AddGroup(app, "key", "Work with caller keys"),
    "digest",
    "Read a caller key on the standard input and print its SHA-256 digest, "
    "as key_digests in the document takes it",
    [](const Context& aContext) { return DigestKey(aContext.console_); });
}

// Settles the output; only the document itself can be printed as YAML.
core::Result<void>
SettleOutput(Line& aLine)
{
  const bool show = aLine.app_.get_subcommand("config")->got_subcommand("show");
  if (aLine.output_.empty()) {
    aLine.settings_.output_ = show ? Output::Yaml : Output::Table;
    return {};
  }
  aLine.settings_.output_ = *core::ValueOf(kOutputs, aLine.output_);
  if (aLine.settings_.output_ == Output::Yaml && !show) {
    return FailWith({ ExitCode::Usage,
                      "only config show can print YAML",
                      "Use --output table or --output json." });
  }
  return {};
}

core::Result<void>
RequireEntries(const Line& aLine)
{
  if (aLine.local_) {
    return {};
  }
  if (aLine.settings_.entries_.empty()) {
    return FailWith({ ExitCode::Usage,
                      "no entry hosts are given",
                      "Set LYCHEEPLANK_ENTRIES or --entries." });
  }
  if (aLine.settings_.operatorKey_.empty()) {
    return FailWith({ ExitCode::Usage,
                      "no operator key is given",
                      "Set LYCHEEPLANK_OPERATOR_KEY." });
  }
  return {};
}

ExitCode
Report(const Console& aConsole,
       const std::string& aFile,
       const Failure& aFailure)
{
  for (const auto& problem : aFailure.problems_) {
    aConsole.err_ << aFile << ":" << problem.line_ << ": "
                  << Printable(problem.section_)
                  << (problem.field_.empty() ? "" : ".")
                  << Printable(problem.field_) << ": "
                  << Printable(problem.message_) << "\n";
  }
  aConsole.err_ << "lycheeplank: " << Printable(aFailure.message_) << "\n";
  if (!aFailure.remedy_.empty()) {
    aConsole.err_ << Printable(aFailure.remedy_) << "\n";
  }
  return aFailure.code_;
}

core::Result<ExitCode>
RunCommand(Line& aLine, const Console& aConsole)
{
  BOOST_LEAF_CHECK(SettleOutput(aLine));
  BOOST_LEAF_CHECK(RequireEntries(aLine));
  net::Client client;
  try {
    return aLine.command_({ aLine.settings_, aConsole, client });
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
  Line line;
  AddGlobalFlags(line);
  AddCommands(line);
  try {
    line.app_.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const int code = line.app_.exit(problem, aConsole.out_, aConsole.err_);
    return static_cast<int>(code == 0 ? ExitCode::Ok : ExitCode::Usage);
  }
  const ExitCode code = boost::leaf::try_handle_all(
    [&] { return RunCommand(line, aConsole); },
    [&](const Failure& aFailure) {
      return Report(aConsole, line.file_, aFailure);
    },
    [&] {
      return Report(
        aConsole, line.file_, { ExitCode::Failed, "an unknown error" });
    });
  return static_cast<int>(code);
}

} // namespace lycheeplank::cli
