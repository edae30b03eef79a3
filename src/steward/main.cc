#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <glog/logging.h>

#include "lycheeplank/version.h"
#include "process/process.h"
#include "steward/exports.h"
#include "steward/metrics.h"
#include "steward/tasks.h"

namespace {

namespace net = lycheeplank::net;
namespace rollout = lycheeplank::rollout;
namespace steward = lycheeplank::steward;

// Longest wait for pending orders and for the release of the lease at the end.
constexpr absl::Duration kReleaseTimeout = absl::Seconds(10);
constexpr unsigned kClientThreads = 1;
constexpr unsigned kServerThreads = 1;

net::ServerOptions
ServerOptionsOf(const steward::Settings& aSettings)
{
  net::ServerOptions options;
  options.address_ = aSettings.address_;
  options.port_ = aSettings.port_;
  options.threads_ = kServerThreads;
  return options;
}

// Waits for a signal, releases the lease and the partitions, and ends the
// process.
[[noreturn]] void
WaitForSignalAndExit(steward::ControlThread& aControl, const sigset_t& aSignals)
{
  int signalNumber = 0;
  sigwait(&aSignals, &signalNumber);
  LOG(INFO) << "event=signal number=" << signalNumber;
  const bool released = aControl.ReleaseOwnership(kReleaseTimeout);
  LOG(INFO) << "event=stopped gave_up_leases=" << released;
  google::FlushLogFiles(google::INFO);
  // Exits without destructors, since pending calls may still refer to objects
  // of the control thread.
  std::_Exit(released ? EXIT_SUCCESS : lycheeplank::kExitFailed);
}

// Runs all tasks until a signal requests the end of the process.
[[noreturn]] void
RunSteward(const steward::Settings& aSettings, const sigset_t& aSignals)
{
  std::unique_ptr<steward::ControlThread> control;
  net::Client client(kClientThreads);
  lycheeplank::adapters::PlatformClient platform(
    client, aSettings.platformUrl_, "steward-" + aSettings.name_);
  lycheeplank::metrics::Registry metrics;
  steward::ExportService exports(aSettings, client, metrics);
  const steward::TaskContext context{ aSettings,
                                      client,
                                      platform,
                                      [&](const steward::EventBody& aBody) {
                                        exports.HandleRolloutEvent(aBody);
                                        control->Post(aBody);
                                      } };
  steward::ConfigFollower follower(context);
  control = std::make_unique<steward::ControlThread>(
    rollout::InitialState(aSettings.name_, {}),
    steward::ControlHooks{ [&context](const rollout::Effect& aEffect) {
                            steward::PerformRollout(context, aEffect);
                          },
                           [&follower, &metrics](const rollout::State& aState) {
                             follower.FetchIfDue();
                             steward::UpdateRolloutMetrics(aState, metrics);
                           } });
  const net::Server server(
    ServerOptionsOf(aSettings),
    [&exports](const std::shared_ptr<net::Exchange>& aExchange) {
      exports.HandleRequest(aExchange);
    });
  control->Start();
  exports.Start();
  std::printf("listening port=%d\n", server.Port());
  std::fflush(stdout);
  LOG(INFO) << "event=started name=" << aSettings.name_
            << " port=" << server.Port();
  WaitForSignalAndExit(*control, aSignals);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  steward::Settings settings;
  if (const auto result = steward::ReadSettings(aCount, aArguments, settings);
      !result.run_) {
    return result.exitCode_;
  }
  lycheeplank::process::SetLockOrderCheck(settings.checkLockOrder_);
  lycheeplank::process::StartLogging(aArguments[0], settings.logDir_);
  const sigset_t signals = lycheeplank::process::BlockSignals();
  try {
    RunSteward(settings, signals);
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "lycheeplank-steward: %s\n", error.what());
    return lycheeplank::kExitFailed;
  }
}
