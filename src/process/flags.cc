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
           : "the secret needs 16 bytes or more; make one with "
             "'openssl rand -hex 16'";
}

} // namespace

std::string
CheckUrl(const std::string& aUrl)
{
  return absl::StartsWith(aUrl, "http://")
           ? ""
           : "'" + aUrl + "' is not a URL; give one as http://10.0.0.1:8080";
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
                "data centre of this host, as in the configuration")
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
                "better given by the environment")
    ->envname("LYCHEEPLANK_TOKEN_SECRET")
    ->check(CheckSecret)
    ->required();
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
