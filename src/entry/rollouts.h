#ifndef LYCHEEPLANK_ENTRY_ROLLOUTS_H
#define LYCHEEPLANK_ENTRY_ROLLOUTS_H

#include <memory>

#include "adapters/platform.h"
#include "lycheeplank/config.h"
#include "lycheeplank/net.h"

namespace lycheeplank::entry {

// Answers an operator's request under /v1/admin/rollouts. aConfig lists the
// models and their weight versions; it may be null.
void
ServeRollouts(const std::shared_ptr<net::Exchange>& aExchange,
              adapters::PlatformClient& aPlatform,
              const config::ConfigPtr& aConfig);

} // namespace lycheeplank::entry

#endif
