#ifndef LYCHEEPLANK_ENTRY_ROLLOUTS_H
#define LYCHEEPLANK_ENTRY_ROLLOUTS_H

#include <memory>
#include <string>

#include "adapters/platform.h"
#include "entry/snapshot.h"
#include "lycheeplank/net.h"

namespace lycheeplank::entry {

// Starts, lists and stops rollouts by their records in the platform; the
// stewards carry them out.
class Rollouts
{
public:
  Rollouts(adapters::PlatformClient& aPlatform, SnapshotBox& aSnapshots);

  // Answers an operator's request below /v1/admin/rollouts.
  void Serve(const std::shared_ptr<net::Exchange>& aExchange);

private:
  void Begin(const std::shared_ptr<net::Exchange>& aExchange);
  void List(const std::shared_ptr<net::Exchange>& aExchange);
  void Stop(const std::shared_ptr<net::Exchange>& aExchange,
            const std::string& aModel);

  adapters::PlatformClient& platform_;
  SnapshotBox& snapshots_;
};

} // namespace lycheeplank::entry

#endif
