#ifndef LYCHEEPLANK_LOAD_ENTRY_BOOK_H
#define LYCHEEPLANK_LOAD_ENTRY_BOOK_H

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

// Asks the system which entry hosts a workspace should use, and keeps each
// answer for its time to live.
class EntryBook
{
public:
  using Urls = std::vector<std::string>;
  using Callback = std::function<void(const Urls&)>;

  EntryBook(net::Client& aClient, const Cluster& aCluster);

  // Hands over the base URLs, best first. If no host answers, these are
  // all of the cluster.
  void Get(std::uint32_t aWorkspace, const Callback& aCallback);

  // Puts a host that gave no answer behind the others, until the list is asked
  // for anew.
  void Demote(std::uint32_t aWorkspace, const std::string& aUrl);

private:
  struct Page
  {
    Urls urls_;
    absl::Time expiresAt_ = absl::InfinitePast();
    std::vector<Callback> waiting_;
  };

  void Ask(std::uint32_t aWorkspace, const Urls& aHosts, std::size_t aNext);
  void Store(std::uint32_t aWorkspace, const Urls& aUrls, absl::Duration aTtl);

  net::Client& client_;
  const Cluster& cluster_;
  absl::Mutex mutex_;
  std::vector<Page> pages_ ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::load

#endif
