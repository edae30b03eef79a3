#ifndef LYCHEEPLANK_LOAD_SUBPROCESS_H
#define LYCHEEPLANK_LOAD_SUBPROCESS_H

#include <string>
#include <vector>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

// Runs a program with arguments and waits for its end; an error if it can't be
// started or fails.
core::Result<void>
RunProgram(const std::vector<std::string>& aArguments);

} // namespace lycheeplank::load

#endif
