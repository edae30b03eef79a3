#ifndef LYCHEEPLANK_ENTRY_API_H
#define LYCHEEPLANK_ENTRY_API_H

#include <functional>
#include <memory>
#include <string>

#include "entry/open-requests.h"
#include "entry/runner.h"
#include "entry/snapshot.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// The parts of the entry process that the caller API uses.
struct ApiContext
{
  SnapshotHolder& snapshots_;
  OpenRequests& openRequests_;
  Runner& runner_;
  metrics::Registry& metrics_;
  // Posts an event to the control thread.
  std::function<void(reducer::Event)> post_;
  // Verifies resume tokens.
  std::string secret_;
  // Returns the JSON body of GET /v1/entries for a workspace.
  std::function<std::string(const std::string& aWorkspace)> entriesJson_;
};

// Answers a caller's request, or starts the work that answers it later. Returns
// false if the method and path aren't part of the caller API.
bool
ServeCaller(const ApiContext& aContext,
            const std::shared_ptr<net::Exchange>& aExchange);

} // namespace lycheeplank::entry

#endif
