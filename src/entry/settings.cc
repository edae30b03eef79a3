#include "entry/settings.h"

#include <limits>
#include <map>

#include <CLI/CLI.hpp>
#include <absl/strings/numbers.h>

namespace lycheeplank::entry {

namespace {

constexpr std::size_t kDigestDigits = 64;

std::string
CheckPeer(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  std::uint32_t number = 0;
  const bool good = colon != std::string::npos && colon > 0 &&
                    absl::SimpleAtoi(aAddress.substr(colon + 1), &number) &&
                    number > 0 &&
                    number <= std::numeric_limits<std::uint16_t>::max();
  return good
           ? ""
           : "'" + aAddress + "' is not a peer address, such as 10.0.0.1:8081";
}

std::string
CheckDigest(const std::string& aDigest)
{
  return aDigest.size() == kDigestDigits
           ? ""
           : "a digest has 64 hexadecimal digits; generate one with "
             "'lycheeplank key digest'";
}

// Adds the flags that only failure tests use.
void
AddTestFlags(CLI::App& aApp, Settings& aSettings)
{
  std::map<std::string, StopPoint> points;
  for (const auto& point : kStopPoints) {
    points.emplace(point.name_, point.value_);
  }
  aApp
    .add_option("--stop-at",
                aSettings.stopAt_,
                "failure tests only: point in a call with an idempotency key "
                "at which this process stops itself: " +
                  core::AllNames(kStopPoints))
    ->envname("LYCHEEPLANK_STOP_AT")
    ->transform(CLI::CheckedTransformer(points))
    ->type_name("POINT");
  aApp
    .add_option("--stop-at-count",
                aSettings.stopAtCount_,
                "failure tests only: number of times that the point of "
                "--stop-at is reached before the process stops")
    ->envname("LYCHEEPLANK_STOP_AT_COUNT")
    ->check(CLI::Range(1, 1000000))
    ->capture_default_str();
}

void
AddFlags(CLI::App& aApp, Settings& aSettings)
{
  process::AddHostFlags(aApp, aSettings);
  aApp
    .add_option("--http-port",
                aSettings.httpPort_,
                "port for callers and operators; 0 selects a free port")
    ->envname("LYCHEEPLANK_HTTP_PORT")
    ->capture_default_str();
  aApp
    .add_option("--peer-port",
                aSettings.peerPort_,
                "port for other entry hosts; 0 selects a free port")
    ->envname("LYCHEEPLANK_PEER_PORT")
    ->capture_default_str();
  aApp
    .add_option("--peers",
                aSettings.peers_,
                "peer addresses of other entry hosts, separated by commas; "
                "they supply the list of hosts while the platform is down")
    ->envname("LYCHEEPLANK_PEERS")
    ->delimiter(',')
    ->check(CheckPeer);
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
  AddTestFlags(app, aSettings);
  return process::ParseCommandLine(app, aCount, aArguments);
}

} // namespace lycheeplank::entry
