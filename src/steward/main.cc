#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <glog/logging.h>

#include "lycheeplank/version.h"
#include "process/process.h"
#include "steward/duties.h"
#include "steward/exports.h"
#include "steward/metrics.h"

namespace {

namespace net = lycheeplank::net;
namespace rollout = lycheeplank::rollout;
namespace steward = lycheeplank::steward;

// Longest wait for orders under way and for the lease to be given up.
constexpr absl::Duration kGiveUpTimeout = absl::Seconds(10);
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

// Waits for a signal, gives up what is owned and ends the process.
[[noreturn]] void
WaitAndEnd(steward::Control& aControl, const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
  LOG(INFO) << "event=signal number=" << received;
  const bool gaveUp = aControl.GiveUp(kGiveUpTimeout);
  LOG(INFO) << "event=stopped gave_up_leases=" << gaveUp;
  google::FlushLogFiles(google::INFO);
  // Calls under way may still refer to objects of the control thread.
  std::_Exit(gaveUp ? EXIT_SUCCESS : lycheeplank::kExitFailed);
}

// Runs all duties until a signal asks to end.
[[noreturn]] void
Run(const steward::Settings& aSettings, const sigset_t& aSignals)
{
  std::unique_ptr<steward::Control> control;
  net::Client client(kClientThreads);
  lycheeplank::adapters::PlatformClient platform(
    client, aSettings.platformUrl_, "steward-" + aSettings.name_);
  lycheeplank::metrics::Registry metrics;
  steward::Exports exports(aSettings, client, metrics);
  const steward::DutyContext context{ aSettings,
                                      client,
                                      platform,
                                      [&](const steward::EventBody& aBody) {
                                        exports.Follow(aBody);
                                        control->Post(aBody);
                                      } };
  steward::ConfigFollower follower(context);
  control = std::make_unique<steward::Control>(
    rollout::InitialState(aSettings.name_, {}),
    steward::ControlHooks{ [&context](const rollout::Effect& aEffect) {
                            steward::PerformRollout(context, aEffect);
                          },
                           [&follower, &metrics](const rollout::State& aState) {
                             follower.AskIfDue();
                             steward::ReportRollouts(aState, metrics);
                           } });
  const net::Server server(
    ServerOptionsOf(aSettings),
    [&exports](const std::shared_ptr<net::Exchange>& aExchange) {
      exports.Serve(aExchange);
    });
  control->Start();
  exports.Start();
  std::printf("listening port=%d\n", server.Port());
  std::fflush(stdout);
  LOG(INFO) << "event=started name=" << aSettings.name_
            << " port=" << server.Port();
  WaitAndEnd(*control, aSignals);
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
    Run(settings, signals);
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "lycheeplank-steward: %s\n", error.what());
    return lycheeplank::kExitFailed;
  }
}
