#include "entry/settings.h"

#include <CLI/CLI.hpp>
#include <absl/strings/match.h>

#include "lycheeplank/version.h"

namespace lycheeplank::entry {

namespace {

constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kMinSecretBytes = 16;

std::string
CheckUrl(const std::string& aUrl)
{
  return absl::StartsWith(aUrl, "http://")
           ? ""
           : "'" + aUrl + "' is not a URL; give one as http://10.0.0.1:2379";
}

std::string
CheckDigest(const std::string& aDigest)
{
  return aDigest.size() == kDigestDigits
           ? ""
           : "a digest has 64 hexadecimal digits; make one with "
             "'lycheeplank key digest'";
}

std::string
CheckSecret(const std::string& aSecret)
{
  return aSecret.size() >= kMinSecretBytes
           ? ""
           : "the secret needs 16 bytes or more; make one with "
             "'openssl rand -hex 16'";
}

void
AddFlags(CLI::App& aApp, Settings& aSettings)
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
    .add_option("--http-port",
                aSettings.httpPort_,
                "port for callers and operators, 0: any free one")
    ->envname("LYCHEEPLANK_HTTP_PORT")
    ->capture_default_str();
  aApp
    .add_option("--peer-port",
                aSettings.peerPort_,
                "port for other entry hosts, 0: any free one")
    ->envname("LYCHEEPLANK_PEER_PORT")
    ->capture_default_str();
  aApp
    .add_option("--platform",
                aSettings.platformUrl_,
                "URL of the platform's key-value service")
    ->envname("LYCHEEPLANK_PLATFORM")
    ->check(CheckUrl)
    ->required();
  aApp
    .add_option("--steward",
                aSettings.stewardUrl_,
                "URL of the steward on this host, for exports")
    ->envname("LYCHEEPLANK_STEWARD")
    ->check(CheckUrl);
  aApp
    .add_option("--operator-key-digest",
                aSettings.operatorKeyDigest_,
                "SHA-256 digest of the operators' key")
    ->envname("LYCHEEPLANK_OPERATOR_KEY_DIGEST")
    ->check(CheckDigest)
    ->required();
  aApp
    .add_option("--token-secret",
                aSettings.tokenSecret_,
                "secret that signs resume tokens, the same on all entry "
                "hosts; better given by the environment")
    ->envname("LYCHEEPLANK_TOKEN_SECRET")
    ->check(CheckSecret)
    ->required();
  aApp
    .add_option(
      "--http-threads", aSettings.httpThreads_, "threads that serve callers")
    ->envname("LYCHEEPLANK_HTTP_THREADS")
    ->check(CLI::Range(1, 64))
    ->capture_default_str();
  aApp
    .add_option("--client-threads",
                aSettings.clientThreads_,
                "threads that read from targets")
    ->envname("LYCHEEPLANK_CLIENT_THREADS")
    ->check(CLI::Range(1, 64))
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
  CLI::App app("Answers callers: decides which target serves a request and "
               "streams the answer.",
               "lycheeplank-entry");
  app.set_version_flag("--version", kVersion);
  AddFlags(app, aSettings);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return { false, app.exit(error) == 0 ? 0 : kExitUsage };
  }
  return { true, 0 };
}

} // namespace lycheeplank::entry
