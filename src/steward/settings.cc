#include "steward/settings.h"

#include <CLI/CLI.hpp>
#include <absl/strings/match.h>

#include "lycheeplank/version.h"

namespace lycheeplank::steward {

namespace {

std::string
CheckUrl(const std::string& aUrl)
{
  return absl::StartsWith(aUrl, "http://")
           ? ""
           : "'" + aUrl + "' is not a URL; give one as http://10.0.0.1:8080";
}

void
AddIdentity(CLI::App& aApp, Settings& aSettings)
{
  aApp.add_option("--name", aSettings.name_, "name of this host")
    ->envname("LYCHEEPLANK_NAME")
    ->required();
  aApp
    .add_option("--data-centre",
                aSettings.dataCentre_,
                "data centre of this host, as in the configuration")
    ->envname("LYCHEEPLANK_DATA_CENTRE")
    ->required();
  aApp
    .add_option("--token-secret",
                aSettings.tokenSecret_,
                "secret of the entry hosts; better given by the environment")
    ->envname("LYCHEEPLANK_TOKEN_SECRET")
    ->required();
}

void
AddAddresses(CLI::App& aApp, Settings& aSettings)
{
  aApp
    .add_option("--platform",
                aSettings.platformUrl_,
                "URL of the platform's key-value service")
    ->envname("LYCHEEPLANK_PLATFORM")
    ->check(CheckUrl)
    ->required();
  aApp
    .add_option(
      "--entry", aSettings.entryUrl_, "URL of the entry host on this host")
    ->envname("LYCHEEPLANK_ENTRY")
    ->check(CheckUrl)
    ->required();
  aApp.add_option("--address", aSettings.address_, "IPv4 address to listen on")
    ->envname("LYCHEEPLANK_ADDRESS")
    ->check(CLI::ValidIPV4)
    ->capture_default_str();
  aApp
    .add_option("--port", aSettings.port_, "port to listen on, 0: any free one")
    ->envname("LYCHEEPLANK_STEWARD_PORT")
    ->capture_default_str();
  aApp
    .add_option("--log-dir",
                aSettings.logDir_,
                "folder for logs; standard error without it")
    ->envname("LYCHEEPLANK_LOG_DIR")
    ->check(CLI::ExistingDirectory);
  aApp
    .add_flag("--check-lock-order",
              aSettings.checkLockOrder_,
              "abort on locks taken in contradicting orders; for tests, slow")
    ->envname("LYCHEEPLANK_CHECK_LOCK_ORDER");
}

} // namespace

ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings)
{
  CLI::App app("Does the work that is not a request: orders to targets and "
               "rollouts of weight versions.",
               "lycheeplank-steward");
  app.set_version_flag("--version", kVersion);
  AddIdentity(app, aSettings);
  AddAddresses(app, aSettings);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return { false, app.exit(error) == 0 ? 0 : kExitUsage };
  }
  return { true, 0 };
}

} // namespace lycheeplank::steward
