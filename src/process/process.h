#ifndef LYCHEEPLANK_PROCESS_PROCESS_H
#define LYCHEEPLANK_PROCESS_PROCESS_H

#include <csignal>
#include <string>

// What all daemons do at their start.
namespace lycheeplank::process {

// Blocks the signals that end the process, so that main can wait for them,
// and ignores broken pipes; call it before any thread is started.
sigset_t
BlockSignals();

// Starts the log, in a folder or on standard error if that is empty.
void
StartLogging(const char* aProgram, const std::string& aFolder);

// Switches the search for locks that are taken in contradicting orders. The
// packaged library has it on, and each lock of any thread then takes one global
// lock; call it before any thread is started.
void
SetLockOrderCheck(bool aEnabled);

} // namespace lycheeplank::process

#endif
