#include "entry/settings.h"

#include <CLI/CLI.hpp>

namespace lycheeplank::entry {

namespace {

constexpr std::size_t kDigestDigits = 64;

std::string
CheckDigest(const std::string& aDigest)
{
  return aDigest.size() == kDigestDigits
           ? ""
           : "a digest has 64 hexadecimal digits; make one with "
             "'lycheeplank key digest'";
}

void
AddFlags(CLI::App& aApp, Settings& aSettings)
{
  process::AddHostFlags(aApp, aSettings);
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
    .add_option("--steward",
                aSettings.stewardUrl_,
                "URL of the steward on this host, for exports")
    ->envname("LYCHEEPLANK_STEWARD")
    ->check(process::CheckUrl);
  aApp
    .add_option("--operator-key-digest",
                aSettings.operatorKeyDigest_,
                "SHA-256 digest of the operators' key")
    ->envname("LYCHEEPLANK_OPERATOR_KEY_DIGEST")
    ->check(CheckDigest)
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
}

} // namespace

process::ParseResult
ReadSettings(int aCount, char** aArguments, Settings& aSettings)
{
  CLI::App app("Answers callers: decides which target serves a request and "
               "streams the answer.",
               "lycheeplank-entry");
  AddFlags(app, aSettings);
  return process::Parse(app, aCount, aArguments);
}

} // namespace lycheeplank::entry
