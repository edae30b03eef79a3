#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <glog/logging.h>

#include "entry/app.h"
#include "lycheeplank/version.h"

namespace {

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

} // namespace

int
main(int aCount, char** aArguments)
{
  namespace entry = lycheeplank::entry;
  entry::Settings settings;
  if (const auto result = entry::ReadSettings(aCount, aArguments, settings);
      !result.run_) {
    return result.exitCode_;
  }
  StartLog(aArguments[0], settings.logDir_);
  const sigset_t signals = BlockSignals();
  try {
    entry::App app(settings);
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << "event=signal number=" << received;
    app.Drain();
    google::FlushLogFiles(google::INFO);
    // Threads of libraries may still hold idle connections of callers.
    std::_Exit(EXIT_SUCCESS);
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "lycheeplank-entry: %s\n", error.what());
    return lycheeplank::kExitFailed;
  }
}
