#ifndef LYCHEEPLANK_SRC_GATEWAY_APP_H
#define LYCHEEPLANK_SRC_GATEWAY_APP_H

#include <functional>

#include "gateway/adapter.h"
#include "gateway/settings.h"

namespace lycheeplank::gateway {

// Reads the settings again; nothing if they can't be read.
using Reload = std::function<absl::optional<Settings>()>;

// Runs the host until a signal ends it; returns the exit status.
int
Run(const Settings& aSettings, const Adapter& aAdapter, const Reload& aReload);

} // namespace lycheeplank::gateway

#endif
