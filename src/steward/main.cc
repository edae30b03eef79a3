#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <glog/logging.h>

#include "lycheeplank/version.h"
#include "steward/duties.h"

namespace {

namespace net = lycheeplank::net;
namespace rollout = lycheeplank::rollout;
namespace steward = lycheeplank::steward;

// Longest wait for orders under way and for the lease to be given up.
constexpr absl::Duration kGiveUpTimeout = absl::Seconds(10);
constexpr unsigned kClientThreads = 1;
constexpr unsigned kServerThreads = 1;

// Blocks the signals that end the process, so that main can wait for them.
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void
StartLog(const char* aProgram, const std::string& aFolder)
{
  FLAGS_logtostderr = aFolder.empty();
  FLAGS_log_dir = aFolder;
  google::InitGoogleLogging(aProgram);
}

void
Serve(const std::shared_ptr<net::Exchange>& aExchange)
{
  const bool found = aExchange->request_.path_ == "/healthz";
  aExchange->Reply(found ? 200 : 404,
                   { { "Content-Type", "text/plain" } },
                   found ? "ok\n" : "not found\n");
}

net::ServerOptions
ServerOptionsOf(const steward::Settings& aSettings)
{
  net::ServerOptions options;
  options.address_ = aSettings.address_;
  options.port_ = aSettings.port_;
  options.threads_ = kServerThreads;
  return options;
}

// Runs all duties until a signal asks to end; returns the exit code.
int
Run(const steward::Settings& aSettings, const sigset_t& aSignals)
{
  std::unique_ptr<steward::Control> control;
  net::Client client(kClientThreads);
  lycheeplank::adapters::PlatformClient platform(
    client, aSettings.platformUrl_, "steward-" + aSettings.name_);
  const steward::DutyContext context{
    aSettings,
    client,
    platform,
    [&control](const steward::EventBody& aBody) { control->Post(aBody); }
  };
  steward::ConfigFollower follower(context);
  control = std::make_unique<steward::Control>(
    rollout::Start(aSettings.name_, {}),
    steward::ControlHooks{
      [&context](const rollout::Effect& aEffect) {
        steward::PerformRollout(context, aEffect);
      },
      [&follower](const rollout::State&) { follower.AskIfDue(); } });
  const net::Server server(ServerOptionsOf(aSettings), Serve);
  control->Start();
  std::printf("listening port=%d\n", server.Port());
  std::fflush(stdout);
  LOG(INFO) << "event=started name=" << aSettings.name_
            << " port=" << server.Port();
  int received = 0;
  sigwait(&aSignals, &received);
  LOG(INFO) << "event=signal number=" << received;
  const bool gaveUp = control->GiveUp(kGiveUpTimeout);
  LOG(INFO) << "event=stopped gave_up_leases=" << gaveUp;
  google::FlushLogFiles(google::INFO);
  // Calls under way may still refer to the objects above.
  std::_Exit(gaveUp ? EXIT_SUCCESS : lycheeplank::kExitFailed);
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
  StartLog(aArguments[0], settings.logDir_);
  const sigset_t signals = BlockSignals();
  try {
    return Run(settings, signals);
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "lycheeplank-steward: %s\n", error.what());
    return lycheeplank::kExitFailed;
  }
}
