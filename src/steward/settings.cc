#include "steward/settings.h"

#include <CLI/CLI.hpp>

namespace lycheeplank::steward {

namespace {

void
AddFlags(CLI::App& aApp, Settings& aSettings)
{
  process::AddHostFlags(aApp, aSettings);
  aApp
    .add_option(
      "--entry", aSettings.entryUrl_, "URL of the entry host on this host")
    ->envname("LYCHEEPLANK_ENTRY")
    ->check(process::CheckUrl)
    ->required();
  aApp
    .add_option("--port", aSettings.port_, "port to listen on, 0: any free one")
    ->envname("LYCHEEPLANK_STEWARD_PORT")
    ->capture_default_str();
}

} // namespace

process::ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings)
{
  CLI::App app("Does the background work that no request starts: orders to "
               "targets and rollouts of weight versions.",
               "lycheeplank-steward");
  AddFlags(app, aSettings);
  return process::ParseCommandLine(app, aCount, aArguments);
}

} // namespace lycheeplank::steward
