#include "process/process.h"

#include <csignal>
#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>

namespace process = lycheeplank::process;

namespace {

// Takes two locks in both orders.
void
LockBothWays()
{
  absl::Mutex first;
  absl::Mutex second;
  {
    const absl::MutexLock outer(&first);
    const absl::MutexLock inner(&second);
  }
  const absl::MutexLock outer(&second);
  const absl::MutexLock inner(&first);
}

// Locks both ways in a process of its own; returns how that ended.
int
StatusOfLockingBothWays(bool aCheck)
{
  const pid_t child = fork();
  if (child == 0) {
    std::signal(SIGABRT, SIG_DFL);
    process::SetLockOrderCheck(aCheck);
    LockBothWays();
    std::_Exit(EXIT_SUCCESS);
  }
  int status = 0;
  waitpid(child, &status, 0);
  return status;
}

} // namespace

TEST_CASE("contradicting orders of locks are found only if they are searched")
{
  const int checked = StatusOfLockingBothWays(true);
  CHECK(WIFSIGNALED(checked));
  const int unchecked = StatusOfLockingBothWays(false);
  CHECK(WIFEXITED(unchecked));
  CHECK(WEXITSTATUS(unchecked) == EXIT_SUCCESS);
}
