#ifndef LYCHEEPLANK_SRC_GATEWAY_APP_H
#define LYCHEEPLANK_SRC_GATEWAY_APP_H

#include <functional>

#include "gateway/adapter.h"
#include "gateway/settings.h"

namespace lycheeplank::gateway {

// Reads the settings again; returns no value if they can't be read.
using Reload = std::function<absl::optional<Settings>()>;

// Runs the host until SIGTERM or SIGINT ends it. Exits the process with status
// 0 and doesn't return.
int
Run(const Settings& aSettings, const Adapter& aAdapter, const Reload& aReload);

} // namespace lycheeplank::gateway

#endif
