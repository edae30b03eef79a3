#ifndef LYCHEEPLANK_ENTRY_ROLLOUTS_H
#define LYCHEEPLANK_ENTRY_ROLLOUTS_H

#include <memory>

#include "adapters/platform.h"
#include "lycheeplank/config.h"
#include "lycheeplank/net.h"

namespace lycheeplank::entry {

// Answers an operator's request below /v1/admin/rollouts; the configuration
// tells which models there are and may be absent.
void
ServeRollouts(const std::shared_ptr<net::Exchange>& aExchange,
              adapters::PlatformClient& aPlatform,
              const config::ConfigPtr& aConfig);

} // namespace lycheeplank::entry

#endif
