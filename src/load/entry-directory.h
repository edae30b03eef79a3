#ifndef LYCHEEPLANK_LOAD_ENTRY_DIRECTORY_H
#define LYCHEEPLANK_LOAD_ENTRY_DIRECTORY_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "load/cluster.h"
#include "lycheeplank/net.h"

namespace lycheeplank::load {

// Fetches the list of entry hosts for each workspace from the entry hosts and
// caches it for its time to live.
class EntryDirectory
{
public:
  using Urls = std::vector<std::string>;
  using Callback = std::function<void(const Urls&)>;

  EntryDirectory(net::Client& aClient, const Cluster& aCluster);

  // Passes the base URLs to the callback, best first. If no host answers, the
  // list holds all entry hosts of the cluster.
  void Get(std::uint32_t aWorkspace, const Callback& aCallback);

  // Moves a host that didn't answer to the end of the list until the list is
  // fetched again.
  void Demote(std::uint32_t aWorkspace, const std::string& aUrl);

private:
  struct CachedList
  {
    Urls urls_;
    absl::Time expiresAt_ = absl::InfinitePast();
    // Callbacks that wait for the query under way.
    std::vector<Callback> waiting_;
  };

  // Queries the host at index aNext, and the following ones until one answers.
  void QueryHost(std::uint32_t aWorkspace,
                 const Urls& aHosts,
                 std::size_t aNext);
  // Caches the list and calls the waiting callbacks.
  void Update(std::uint32_t aWorkspace, const Urls& aUrls, absl::Duration aTtl);

  net::Client& client_;
  const Cluster& cluster_;
  absl::Mutex mutex_;
  std::vector<CachedList> lists_ ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::load

#endif
