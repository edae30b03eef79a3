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

// Asks targets and stores for their reports and hands them to the control
// thread. A host asks only those that it follows.
class Poller
{
public:
  Poller(net::Client& aClient,
         SnapshotBox& aSnapshots,
         placement::Follower aSelf,
         std::function<void(reducer::Event)> aPost,
         std::function<bool()> aIsBusy);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Start();
  // Sets the entry hosts that share the work.
  void SetHosts(std::vector<placement::Follower> aHosts);
  // Asks targets for their load while a request waits.
  void AskLoads(const reducer::QueryLoads& aAsk);
  // Fetches all blocks that an engine caches.
  void FetchInventory(const std::string& aTarget);
  // Fetches all blocks that a store holds.
  void FetchStoreInventory(const std::string& aStore);

private:
  // When each kind of question to one target or store is due.
  struct Due
  {
    absl::Time load_ = absl::InfinitePast();
    absl::Time events_ = absl::InfinitePast();
    bool loadPending_ = false;
    bool eventsPending_ = false;
    std::uint64_t sequence_ = 0;
  };

  void Run();
  void PollTargets(const config::Config& aConfig, absl::Time aNow);
  void PollStores(const config::Config& aConfig, absl::Time aNow);
  void AskLoad(const std::string& aName, const std::string& aUrl);
  void AskEvents(const std::string& aName,
                 const std::string& aUrl,
                 std::uint64_t aAfter);
  void AskStore(const std::string& aName, const std::string& aUrl);
  void AskPage(const std::string& aName,
               const std::string& aUrl,
               const std::string& aAfter,
               std::shared_ptr<reducer::StoreInventory> aInventory);
  // Works out which targets and stores this host follows, if the hosts or the
  // configuration have changed.
  void UpdateFollowed(const config::ConfigPtr& aConfig);
  // The same, for one of them.
  void Follow(const std::string& aName,
              const std::string& aDataCentre,
              std::size_t aFollowers,
              const std::vector<placement::Follower>& aHosts);

  net::Client& client_;
  SnapshotBox& snapshots_;
  const placement::Follower self_;
  const std::function<void(reducer::Event)> post_;
  const std::function<bool()> isBusy_;
  // Targets whose load this host reads, and targets and stores whose cached
  // blocks it reads. Used by the poller's own thread only.
  absl::btree_set<std::string> followed_;
  absl::btree_set<std::string> fed_;
  config::ConfigPtr followedConfig_;
  absl::Mutex mutex_;
  std::vector<placement::Follower> hosts_ ABSL_GUARDED_BY(mutex_);
  bool hostsChanged_ ABSL_GUARDED_BY(mutex_) = false;
  absl::btree_map<std::string, Due> due_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace lycheeplank::entry

#endif
