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

// The exchange with the steward on the same host: finished runs go there,
// what it has exported or freed comes back.
class StewardLink
{
public:
  // aUrl is empty without a steward; aSecret is shared with it.
  StewardLink(net::Client& aClient, std::string aUrl, std::string aSecret);
  ~StewardLink();
  StewardLink(const StewardLink&) = delete;
  StewardLink& operator=(const StewardLink&) = delete;

  void Start();
  // Queues a finished run; runs go out in batches.
  void Perform(const reducer::ReportRun& aRun);
  // Answers a request of the steward; false for a path that is not its.
  bool Serve(Control& aControl,
             const std::shared_ptr<net::Exchange>& aExchange);

private:
  void Run();
  void Send(const std::vector<reducer::ReportRun>& aRuns);

  net::Client& client_;
  const std::string url_;
  const std::string secret_;
  absl::Mutex mutex_;
  std::vector<reducer::ReportRun> runs_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace lycheeplank::entry

#endif
