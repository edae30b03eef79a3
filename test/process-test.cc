#include "process/process.h"

#include <csignal>
#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>

namespace process = lycheeplank::process;

namespace {

// Takes two locks, first in one order and then in the other.
void
LockInBothOrders()
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

// Runs LockInBothOrders in a child process and returns its wait status.
int
WaitStatusOfLockingInBothOrders(bool aCheck)
{
  const pid_t child = fork();
  if (child == 0) {
    std::signal(SIGABRT, SIG_DFL);
    process::SetLockOrderCheck(aCheck);
    LockInBothOrders();
    std::_Exit(EXIT_SUCCESS);
  }
  int status = 0;
  waitpid(child, &status, 0);
  return status;
}

} // namespace

TEST_CASE("inconsistent lock orders abort the process only if the check is on")
{
  const int checked = WaitStatusOfLockingInBothOrders(true);
  CHECK(WIFSIGNALED(checked));
  const int unchecked = WaitStatusOfLockingInBothOrders(false);
  CHECK(WIFEXITED(unchecked));
  CHECK(WEXITSTATUS(unchecked) == EXIT_SUCCESS);
}
