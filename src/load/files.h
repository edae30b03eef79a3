#ifndef LYCHEEPLANK_LOAD_FILES_H
#define LYCHEEPLANK_LOAD_FILES_H

#include <string>

#include <absl/strings/string_view.h>

#include "lycheeplank/core.h"

namespace lycheeplank::load {

// Writes a file, replacing an existing one. Creates the folder if necessary.
core::Result<void>
WriteFile(const std::string& aDir,
          const std::string& aName,
          absl::string_view aContent);

} // namespace lycheeplank::load

#endif
