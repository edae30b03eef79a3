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

// Serves the operator API, see docs/operator-api.md.
class Admin
{
public:
  Admin(Control& aControl,
        RequestTraces& aRequestTraces,
        adapters::PlatformClient& aPlatform,
        SnapshotHolder& aSnapshots,
        std::string aKeyDigest);

  // Answers an operator's request. Returns false if the path isn't part of the
  // operator API.
  bool Serve(const std::shared_ptr<net::Exchange>& aExchange);
  // Answers the operator whose edit was accepted or rejected.
  void Perform(const config::AnswerEdit& aAnswer);

private:
  // Posts an edit to the control thread; Perform answers it later.
  void PostEdit(const std::shared_ptr<net::Exchange>& aExchange);
  // Each returns the JSON body of one GET request.
  std::string SectionsJson();
  std::string StatusJson();
  std::string HistoryJson();
  std::string HostsJson();
  std::string TargetsJson();
  std::string StoresJson();
  void ReplyRequestTrace(net::Exchange& aExchange, const std::string& aId);

  Control& control_;
  RequestTraces& requestTraces_;
  adapters::PlatformClient& platform_;
  SnapshotHolder& snapshots_;
  const std::string keyDigest_;
  absl::Mutex mutex_;
  // Exchanges of the operators whose edits are in progress, by edit id.
  absl::flat_hash_map<std::string, std::shared_ptr<net::Exchange>> pendingEdits_
    ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::entry

#endif
