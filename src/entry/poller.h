#ifndef LYCHEEPLANK_ENTRY_POLLER_H
#define LYCHEEPLANK_ENTRY_POLLER_H

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/synchronization/mutex.h>

#include "entry/snapshot.h"
#include "lycheeplank/net.h"
#include "lycheeplank/placement.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// Polls targets and stores for their load and cached blocks, and posts the
// reports to the control thread. A host polls the load of every store, but of
// targets only of those that it follows. It reads the cached blocks of the
// targets and stores of which it is among the first followers.
class Poller
{
public:
  Poller(net::Client& aClient,
         SnapshotHolder& aSnapshots,
         placement::Follower aSelf,
         std::function<void(reducer::Event)> aPost,
         std::function<bool()> aIsBusy);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Start();
  // Sets the entry hosts among which the targets and stores are divided.
  void SetHosts(std::vector<placement::Follower> aHosts);
  // Fetches the load of targets for a waiting request. Posts LoadsCollected
  // once every target has reported or timed out.
  void FetchLoads(const reducer::QueryLoads& aQuery);
  // Fetches the list of all blocks that an engine caches.
  void FetchInventory(const std::string& aTarget);
  // Schedules a fetch of the list of all blocks that a store holds.
  void FetchStoreInventory(const std::string& aStore);

private:
  // The next poll times of one target or store, and whether polls are in
  // progress. For a store, "events" means its list of blocks.
  struct PollState
  {
    absl::Time nextLoadAt_ = absl::InfinitePast();
    absl::Time nextEventsAt_ = absl::InfinitePast();
    bool loadPending_ = false;
    bool eventsPending_ = false;
    // Sequence number of the last cache event read.
    std::uint64_t sequence_ = 0;
  };

  void Run();
  void PollTargets(const config::Config& aConfig, absl::Time aNow);
  void PollStores(const config::Config& aConfig, absl::Time aNow);
  void FetchLoad(const std::string& aName, const std::string& aUrl);
  void FetchCacheEvents(const std::string& aName,
                        const std::string& aUrl,
                        std::uint64_t aAfter);
  void FetchStoreLoad(const std::string& aName, const std::string& aUrl);
  void FetchStorePage(const std::string& aName,
                      const std::string& aUrl,
                      const std::string& aAfter,
                      std::shared_ptr<reducer::StoreInventory> aInventory);
  // Recomputes which targets and stores this host follows if the hosts or the
  // configuration have changed.
  void UpdateFollowed(const config::ConfigPtr& aConfig);
  // Adds one target or store to followed_ and eventsFollowed_ if this host is
  // among its followers.
  void AddIfFollowed(const std::string& aName,
                     const std::string& aDataCentre,
                     std::size_t aFollowers,
                     const std::vector<placement::Follower>& aHosts);

  net::Client& client_;
  SnapshotHolder& snapshots_;
  const placement::Follower self_;
  const std::function<void(reducer::Event)> post_;
  const std::function<bool()> isBusy_;
  // Targets and stores that this host follows, and those among them whose
  // cached blocks it reads. Used only by the poller's thread.
  absl::btree_set<std::string> followed_;
  absl::btree_set<std::string> eventsFollowed_;
  config::ConfigPtr followedConfig_;
  absl::Mutex mutex_;
  std::vector<placement::Follower> hosts_ ABSL_GUARDED_BY(mutex_);
  bool hostsChanged_ ABSL_GUARDED_BY(mutex_) = false;
  absl::btree_map<std::string, PollState> pollStates_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace lycheeplank::entry

#endif
