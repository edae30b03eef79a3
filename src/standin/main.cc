#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <glog/logging.h>

#include "standin/standin.h"

namespace {

using namespace lycheeplank::standin;

constexpr int kUsageError = 2;

// Adds a flag that can also be set by an environment variable.
template<typename Value>
void
AddFlag(CLI::App& aApp,
        const std::string& aName,
        Value& aValue,
        const std::string& aHelp)
{
  const std::string name = absl::StrReplaceAll(aName, { { "-", "_" } });
  aApp.add_option("--" + aName, aValue, aHelp)
    ->envname("LYCHEEPLANK_STANDIN_" + absl::AsciiStrToUpper(name))
    ->capture_default_str();
}

// Adds a duration flag, in milliseconds, that can also be set by an environment
// variable.
void
AddMilliseconds(CLI::App& aApp,
                const std::string& aName,
                absl::Duration& aTime,
                const std::string& aHelp)
{
  const std::string name = absl::StrReplaceAll(aName, { { "-", "_" } });
  aApp
    .add_option_function<double>(
      "--" + aName,
      [&aTime](double aValue) { aTime = absl::Milliseconds(aValue); },
      aHelp)
    ->envname("LYCHEEPLANK_STANDIN_" + absl::AsciiStrToUpper(name))
    ->default_str(absl::StrCat(absl::ToDoubleMilliseconds(aTime)));
}

void
AddCommon(CLI::App& aApp, CommonOptions& aOptions)
{
  AddFlag(aApp, "port", aOptions.port_, "port to listen on, 0: any free one");
  AddFlag(aApp, "name", aOptions.name_, "name in logs and calls");
}

void
AddPlatform(CLI::App& aApp, PlatformOptions& aOptions)
{
  AddCommon(aApp, aOptions.common_);
  AddFlag(aApp, "rate-writes", aOptions.writesPerSecond_, "writes a second");
  AddFlag(aApp, "rate-reads", aOptions.readsPerSecond_, "reads a second");
  AddMilliseconds(
    aApp, "list-lag", aOptions.hostListLag_, "age of the host list, ms");
  AddMilliseconds(
    aApp, "weights-ms", aOptions.weightFetchTime_, "fetch of weights, ms");
  AddFlag(aApp,
          "weights-parallel",
          aOptions.parallelWeightFetches_,
          "fetches that don't slow each other down");
}

void
AddEngine(CLI::App& aApp, EngineOptions& aOptions)
{
  AddCommon(aApp, aOptions.common_);
  AddFlag(aApp, "model", aOptions.model_, "model served");
  AddFlag(aApp, "weight-version", aOptions.weightVersion_, "first version");
  AddFlag(aApp, "block-tokens", aOptions.blockTokens_, "tokens of a block");
  AddFlag(aApp, "cache-blocks", aOptions.cacheBlocks_, "blocks in the cache");
  AddFlag(aApp,
          "prefill-rate",
          aOptions.prefillTokensPerSecond_,
          "prompt tokens computed a second");
  AddMilliseconds(
    aApp, "token-ms", aOptions.tokenTime_, "time from token to token");
  AddFlag(aApp, "max-runs", aOptions.maxRuns_, "runs at the same time");
  AddMilliseconds(
    aApp, "report-lag", aOptions.reportLag_, "age of load reports, ms");
  AddMilliseconds(
    aApp, "event-lag", aOptions.eventLag_, "age of cache events, ms");
  AddFlag(aApp,
          "kv-bytes-per-token",
          aOptions.kvBytesPerToken_,
          "bytes moved for a token of an exported block");
  AddFlag(aApp, "platform", aOptions.platformUrl_, "URL to fetch weights from");
  aApp
    .add_flag("--ignore-fencing",
              aOptions.ignoreFencing_,
              "takes orders with old fencing numbers")
    ->envname("LYCHEEPLANK_STANDIN_IGNORE_FENCING");
}

void
AddService(CLI::App& aApp, ServiceOptions& aOptions)
{
  AddCommon(aApp, aOptions.common_);
  AddMilliseconds(aApp, "call-ms", aOptions.callTime_, "time of a call, ms");
  AddMilliseconds(
    aApp, "report-lag", aOptions.reportLag_, "age of load reports, ms");
}

void
AddStore(CLI::App& aApp, StoreOptions& aOptions)
{
  AddCommon(aApp, aOptions.common_);
  AddFlag(aApp, "memory-bytes", aOptions.memoryBytes_, "size of the memory");
  AddFlag(aApp, "disk-bytes", aOptions.diskBytes_, "size of the disk");
  AddFlag(
    aApp, "link-rate", aOptions.linkBytesPerSecond_, "bytes/s on the link");
  AddFlag(
    aApp, "disk-rate", aOptions.diskBytesPerSecond_, "bytes/s from the disk");
  AddFlag(aApp,
          "contents",
          aOptions.contentsFile_,
          "file with what GET /contents gave, to begin with");
}

// Serves until SIGTERM or SIGINT.
int
Serve(const std::unique_ptr<StandinServer>& aServer, const sigset_t& aSignals)
{
  std::printf("listening port=%u\n", static_cast<unsigned>(aServer->Port()));
  std::fflush(stdout);
  int signal = 0;
  sigwait(&aSignals, &signal);
  LOG(INFO) << "event=stopping signal=" << signal;
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  google::InitGoogleLogging(aArguments[0]);
  FLAGS_logtostderr = true;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before any thread starts: all threads inherit the mask, and only
  // sigwait in Serve receives the signals.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  CLI::App app("Plays one outside system in tests and demos.");
  app.require_subcommand(1);
  PlatformOptions platform;
  EngineOptions engine;
  ServiceOptions service;
  StoreOptions store;
  CLI::App* platformApp = app.add_subcommand("platform", "key-value service");
  CLI::App* engineApp = app.add_subcommand("engine", "model engine");
  CLI::App* serviceApp = app.add_subcommand("service", "plain service");
  CLI::App* storeApp = app.add_subcommand("store", "host of cache blocks");
  AddPlatform(*platformApp, platform);
  AddEngine(*engineApp, engine);
  AddService(*serviceApp, service);
  AddStore(*storeApp, store);
  CLI11_PARSE(app, aCount, aArguments);
  if (platformApp->parsed()) {
    return Serve(StartPlatform(platform), signals);
  }
  if (engineApp->parsed()) {
    return Serve(StartEngine(engine), signals);
  }
  if (serviceApp->parsed()) {
    return Serve(StartService(service), signals);
  }
  return storeApp->parsed() ? Serve(StartStore(store), signals) : kUsageError;
}
