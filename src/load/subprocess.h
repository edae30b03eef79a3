#ifndef LYCHEEPLANK_LOAD_SUBPROCESS_H
#define LYCHEEPLANK_LOAD_SUBPROCESS_H

#include <string>
#include <vector>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

// Runs a program, whose name is the first argument, and waits until it exits.
// Fails if the program can't be started or exits with an error.
core::Result<void>
RunProgram(const std::vector<std::string>& aArguments);

} // namespace lycheeplank::load

#endif
