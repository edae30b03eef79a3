#ifndef LYCHEEPLANK_SRC_CLI_VERSION_H
#define LYCHEEPLANK_SRC_CLI_VERSION_H

#include <absl/strings/string_view.h>

namespace lycheeplank::cli {

// The version that the client prints; the same as in CMakeLists.txt.
inline constexpr absl::string_view kVersion = "0.1.0";

} // namespace lycheeplank::cli

#endif
