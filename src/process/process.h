#ifndef LYCHEEPLANK_PROCESS_PROCESS_H
#define LYCHEEPLANK_PROCESS_PROCESS_H

#include <csignal>
#include <string>

// Set-up steps that all daemons run at start.
namespace lycheeplank::process {

// Blocks SIGTERM and SIGINT, so that main can wait for them, and ignores
// SIGPIPE. Returns the blocked signals. Must be called before any thread
// starts.
sigset_t
BlockSignals();

// Starts logging to files in aFolder, or to standard error if it is empty.
void
StartLogging(const char* aProgram, const std::string& aFolder);

// Enables or disables the detection of locks taken in inconsistent orders. The
// packaged Abseil enables it by default, and every lock operation of any thread
// then takes one global lock. Must be called before any thread starts.
void
SetLockOrderCheck(bool aEnabled);

} // namespace lycheeplank::process

#endif
