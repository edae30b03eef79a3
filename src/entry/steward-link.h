#ifndef LYCHEEPLANK_ENTRY_STEWARD_LINK_H
#define LYCHEEPLANK_ENTRY_STEWARD_LINK_H

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "entry/control.h"
#include "lycheeplank/net.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// The connection to the steward on the same host. Reports completed runs to the
// steward, and receives the blocks that it has exported or freed.
class StewardLink
{
public:
  // aUrl is empty if there is no steward; aSecret is shared with the steward.
  StewardLink(net::Client& aClient, std::string aUrl, std::string aSecret);
  ~StewardLink();
  StewardLink(const StewardLink&) = delete;
  StewardLink& operator=(const StewardLink&) = delete;

  void Start();
  // Queues a completed run. Runs are sent in batches; those beyond the limit of
  // the queue are dropped.
  void Perform(const reducer::ReportRun& aRun);
  // Answers a request of the steward. Returns false if the path isn't internal.
  bool Serve(Control& aControl,
             const std::shared_ptr<net::Exchange>& aExchange);

private:
  void Run();
  void Send(const std::vector<reducer::ReportRun>& aRuns);

  net::Client& client_;
  const std::string url_;
  const std::string secret_;
  absl::Mutex mutex_;
  std::vector<reducer::ReportRun> queuedRuns_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace lycheeplank::entry

#endif
