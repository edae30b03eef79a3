#ifndef LYCHEEPLANK_ENTRY_ADMIN_H
#define LYCHEEPLANK_ENTRY_ADMIN_H

#include <memory>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "adapters/platform.h"
#include "entry/control.h"
#include "entry/snapshot.h"
#include "entry/trace.h"
#include "lycheeplank/net.h"

namespace lycheeplank::entry {

// The operators' interface, see docs/operator-api.md.
class Admin
{
public:
  Admin(Control& aControl,
        Trace& aTrace,
        adapters::PlatformClient& aPlatform,
        SnapshotBox& aSnapshots,
        std::string aKeyDigest);

  // Answers an operator's request; false for a path that is not theirs.
  bool Serve(const std::shared_ptr<net::Exchange>& aExchange);
  // Answers the operator whose edit was settled.
  void Perform(const config::AnswerEdit& aAnswer);

private:
  void PostEdit(const std::shared_ptr<net::Exchange>& aExchange);
  std::string Sections();
  std::string Status();
  std::string History();
  std::string Hosts();
  std::string Targets();
  std::string Stores();
  void ServeRequest(net::Exchange& aExchange, const std::string& aId);

  Control& control_;
  Trace& trace_;
  adapters::PlatformClient& platform_;
  SnapshotBox& snapshots_;
  const std::string keyDigest_;
  absl::Mutex mutex_;
  // Operators whose edits are under way, by the edit's id.
  absl::flat_hash_map<std::string, std::shared_ptr<net::Exchange>> edits_
    ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::entry

#endif
