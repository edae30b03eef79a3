#ifndef LYCHEEPLANK_VERSION_H
#define LYCHEEPLANK_VERSION_H

namespace lycheeplank {

inline constexpr const char* kVersion = "0.1.0";

// Exit codes of all programs other than 0.
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

} // namespace lycheeplank

#endif
