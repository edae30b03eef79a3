#include "process/process.h"

#include <pthread.h>

#include <absl/synchronization/mutex.h>
#include <glog/logging.h>

namespace lycheeplank::process {

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
StartLogging(const char* aProgram, const std::string& aFolder)
{
  FLAGS_logtostderr = aFolder.empty();
  FLAGS_log_dir = aFolder;
  google::InitGoogleLogging(aProgram);
}

void
SetLockOrderCheck(bool aEnabled)
{
  absl::SetMutexDeadlockDetectionMode(
    aEnabled ? absl::OnDeadlockCycle::kAbort : absl::OnDeadlockCycle::kIgnore);
}

} // namespace lycheeplank::process
