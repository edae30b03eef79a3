#include "process/flags.h"

#include <absl/strings/match.h>

#include "lycheeplank/version.h"

namespace lycheeplank::process {

namespace {

constexpr std::size_t kMinSecretBytes = 16;

std::string
CheckSecret(const std::string& aSecret)
{
  return aSecret.size() >= kMinSecretBytes
           ? ""
           : "the secret needs at least 16 bytes; generate one with "
             "'openssl rand -hex 16'";
}

} // namespace

std::string
CheckUrl(const std::string& aUrl)
{
  return absl::StartsWith(aUrl, "http://")
           ? ""
           : "'" + aUrl + "' is not an HTTP URL, such as http://10.0.0.1:8080";
}

void
AddHostFlags(CLI::App& aApp, HostSettings& aSettings)
{
  aApp.add_option("--name", aSettings.name_, "name of this host")
    ->envname("LYCHEEPLANK_NAME")
    ->required();
  aApp
    .add_option("--data-centre",
                aSettings.dataCentre_,
                "data centre of this host, as named in the configuration")
    ->envname("LYCHEEPLANK_DATA_CENTRE")
    ->required();
  aApp.add_option("--address", aSettings.address_, "IPv4 address to listen on")
    ->envname("LYCHEEPLANK_ADDRESS")
    ->check(CLI::ValidIPV4)
    ->capture_default_str();
  aApp
    .add_option("--platform",
                aSettings.platformUrl_,
                "URL of the platform's key-value service")
    ->envname("LYCHEEPLANK_PLATFORM")
    ->check(CheckUrl)
    ->required();
  aApp
    .add_option("--token-secret",
                aSettings.tokenSecret_,
                "secret that signs resume tokens, the same on all hosts; "
                "prefer the environment variable to the flag")
    ->envname("LYCHEEPLANK_TOKEN_SECRET")
    ->check(CheckSecret)
    ->required();
  aApp
    .add_option("--log-dir",
                aSettings.logDir_,
                "folder for log files; without it, logs go to standard error")
    ->envname("LYCHEEPLANK_LOG_DIR")
    ->check(CLI::ExistingDirectory);
  aApp
    .add_flag("--check-lock-order",
              aSettings.checkLockOrder_,
              "abort if locks are taken in inconsistent orders; slow, for "
              "tests only")
    ->envname("LYCHEEPLANK_CHECK_LOCK_ORDER");
}

ParseResult
ParseCommandLine(CLI::App& aApp, int aCount, char** aArguments)
{
  aApp.set_version_flag("--version", kVersion);
  try {
    aApp.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return { false, aApp.exit(error) == 0 ? 0 : kExitUsage };
  }
  return { true, 0 };
}

} // namespace lycheeplank::process
