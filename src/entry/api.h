#ifndef LYCHEEPLANK_ENTRY_API_H
#define LYCHEEPLANK_ENTRY_API_H

#include <functional>
#include <memory>
#include <string>

#include "entry/runner.h"
#include "entry/snapshot.h"
#include "entry/ticket.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// What the callers' interface needs of the process around it.
struct ApiContext
{
  SnapshotBox& snapshots_;
  Tickets& tickets_;
  Runner& runner_;
  metrics::Registry& metrics_;
  std::function<void(reducer::Event)> post_;
  std::string secret_;
  // Answers GET /v1/entries for a workspace.
  std::function<std::string(const std::string& aWorkspace)> entries_;
};

// Answers a caller's request, or starts the work that will answer it. Returns
// false for a path that is not the callers'.
bool
ServeCaller(const ApiContext& aContext,
            const std::shared_ptr<net::Exchange>& aExchange);

} // namespace lycheeplank::entry

#endif
