#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <glog/logging.h>

#include "entry/app.h"
#include "lycheeplank/version.h"
#include "process/process.h"

int
main(int aCount, char** aArguments)
{
  namespace entry = lycheeplank::entry;
  entry::Settings settings;
  if (const auto result = entry::ReadSettings(aCount, aArguments, settings);
      !result.run_) {
    return result.exitCode_;
  }
  lycheeplank::process::SetLockOrderCheck(settings.checkLockOrder_);
  lycheeplank::process::StartLogging(aArguments[0], settings.logDir_);
  const sigset_t signals = lycheeplank::process::BlockSignals();
  try {
    entry::App app(settings);
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << "event=signal number=" << received;
    app.Drain();
    google::FlushLogFiles(google::INFO);
    // Exits without destructors, since library threads may still hold idle
    // connections of callers.
    std::_Exit(EXIT_SUCCESS);
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "lycheeplank-entry: %s\n", error.what());
    return lycheeplank::kExitFailed;
  }
}
