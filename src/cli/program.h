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

// What the program returns to the shell.
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

// Meaning of each exit code, as --help prints it.
inline constexpr std::array<core::Named<ExitCode>, 7> kExitCodes{ {
  { ExitCode::Ok, "done" },
  { ExitCode::Failed, "failed; the message names the remedy" },
  { ExitCode::Usage, "wrong flags or arguments" },
  { ExitCode::InvalidDocument, "the document is not valid" },
  { ExitCode::Conflict, "a section was changed meanwhile" },
  { ExitCode::Unreachable, "no entry host could be reached" },
  { ExitCode::NotInForce, "accepted, but not in force everywhere in time" },
} };

// Ways to print an answer.
enum class OutputFormat
{
  Table,
  Json,
  Yaml,
};

inline constexpr std::array<core::Named<OutputFormat>, 3> kOutputFormats{ {
  { OutputFormat::Table, "table" },
  { OutputFormat::Json, "json" },
  { OutputFormat::Yaml, "yaml" },
} };

// Flags of all commands, after the command line and the environment were read.
struct Settings
{
  std::vector<std::string> entries_;
  std::string operatorKey_;
  OutputFormat output_ = OutputFormat::Table;
};

// Where a command reads and writes.
struct Console
{
  std::istream& in_;
  std::ostream& out_;
  // Progress and errors, so that scripts can read the output alone.
  std::ostream& err_;
};

// Why a command ended without success.
struct Failure
{
  ExitCode code_ = ExitCode::Failed;
  std::string message_;
  std::string remedy_;
  // Of an invalid document, with lines of the file that was given.
  std::vector<config::Problem> problems_;
};

// Runs one command line and returns what the shell gets.
int
Run(int aCount, const char* const* aArguments, const Console& aConsole);

} // namespace lycheeplank::cli

#endif
