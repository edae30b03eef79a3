#ifndef LYCHEEPLANK_SRC_CLI_PROGRAM_H
#define LYCHEEPLANK_SRC_CLI_PROGRAM_H

#include <array>
#include <iosfwd>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"

// The operators' command-line client.
namespace lycheeplank::cli {

// The exit status of the program.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  InvalidDocument = 3,
  Conflict = 4,
  Unreachable = 5,
  NotInForce = 6,
};

// The meaning of each exit code, which --help prints.
inline constexpr std::array<core::Named<ExitCode>, 7> kExitCodes{ {
  { ExitCode::Ok, "done" },
  { ExitCode::Failed, "failed; the message names the remedy" },
  { ExitCode::Usage, "wrong flags or arguments" },
  { ExitCode::InvalidDocument, "the document is not valid" },
  { ExitCode::Conflict, "a section was changed meanwhile" },
  { ExitCode::Unreachable, "no entry host could be reached" },
  { ExitCode::NotInForce, "accepted, but not in force everywhere in time" },
} };

// The format in which a command prints its output.
enum class OutputFormat
{
  Table,
  Json,
  Yaml,
};

// The values of flag --output.
inline constexpr std::array<core::Named<OutputFormat>, 3> kOutputFormats{ {
  { OutputFormat::Table, "table" },
  { OutputFormat::Json, "json" },
  { OutputFormat::Yaml, "yaml" },
} };

// The flags that all commands share, read from the command line and the
// environment.
struct Settings
{
  // Addresses of the entry hosts, in the order in which they are tried.
  std::vector<std::string> entries_;
  // Bearer token of the calls to the entry hosts.
  std::string operatorKey_;
  OutputFormat output_ = OutputFormat::Table;
};

// The input and output streams of a command.
struct Console
{
  std::istream& in_;
  std::ostream& out_;
  // Progress and errors; they are kept out of out_, which scripts parse.
  std::ostream& err_;
};

// The error of a command that did not succeed.
struct Failure
{
  ExitCode code_ = ExitCode::Failed;
  std::string message_;
  // What the operator can do about it; may be empty.
  std::string remedy_;
  // Problems of an invalid document, with line numbers of the given file.
  std::vector<config::Problem> problems_;
};

// Runs the command of a command line and returns the exit status.
int
Run(int aCount, const char* const* aArguments, const Console& aConsole);

} // namespace lycheeplank::cli

#endif
