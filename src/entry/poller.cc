#include "entry/poller.h"

#include <algorithm>
#include <atomic>
#include <pthread.h>

#include "adapters/engine.h"
#include "adapters/store.h"

namespace lycheeplank::entry {

namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(100);
// Time between two load requests to a target, while this host has open requests
// and while it has none.
constexpr absl::Duration kBusyLoadInterval = absl::Milliseconds(250);
constexpr absl::Duration kIdleLoadInterval = absl::Seconds(1);
// Time between two requests for a target's cache events, while this host has
// open requests and while it has none.
constexpr absl::Duration kBusyEventsInterval = absl::Seconds(1);
constexpr absl::Duration kIdleEventsInterval = absl::Seconds(3);
constexpr absl::Duration kStoreLoadInterval = absl::Seconds(1);
constexpr absl::Duration kInventoryInterval = absl::Seconds(30);
// Number of hosts that read the cache events of one target. With two, no event
// is lost if one of the hosts fails.
constexpr std::ptrdiff_t kEventReadersPerTarget = 2;

directory::Sighting
ToSighting(const adapters::CacheEvent& aEvent)
{
  directory::Sighting sighting;
  sighting.block_ = aEvent.block_;
  sighting.root_ = aEvent.root_;
  sighting.present_ = aEvent.stored_;
  return sighting;
}

reducer::CacheReported
ToReport(const std::string& aTarget,
         const adapters::CacheEvents& aEvents,
         bool aInventory)
{
  reducer::CacheReported report;
  report.target_ = aTarget;
  report.inventory_ = aInventory;
  report.lastSequence_ = aEvents.lastSequence_;
  for (const auto& event : aEvents.events_) {
    if (!aInventory) {
      report.sequences_.push_back(event.sequence_);
    }
    report.sightings_.push_back(ToSighting(event));
  }
  return report;
}

reducer::TargetReported
ToReport(const std::string& aTarget, const net::Answer& aAnswer)
{
  reducer::TargetReported report;
  report.target_ = aTarget;
  const auto load = adapters::ReadLoad(aAnswer.body_);
  report.reached_ = aAnswer.Ok() && load;
  if (report.reached_) {
    report.running_ = load->running_;
    report.waiting_ = load->waiting_;
    report.queuedPrefillTokens_ = load->queuedPrefillTokens_;
    report.weightVersion_ = load->weightVersion_;
    report.leaving_ = load->leaving_;
    report.age_ = load->age_;
  }
  return report;
}

} // namespace

Poller::Poller(net::Client& aClient,
               SnapshotHolder& aSnapshots,
               placement::Follower aSelf,
               std::function<void(reducer::Event)> aPost,
               std::function<bool()> aIsBusy)
  : client_(aClient)
  , snapshots_(aSnapshots)
  , self_(std::move(aSelf))
  , post_(std::move(aPost))
  , isBusy_(std::move(aIsBusy))
{
}

Poller::~Poller()
{
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
Poller::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void
Poller::SetHosts(std::vector<placement::Follower> aHosts)
{
  const absl::MutexLock lock(&mutex_);
  hosts_ = placement::IncludeSelf(std::move(aHosts), self_);
  hostsChanged_ = true;
}

void
Poller::Run()
{
  pthread_setname_np(pthread_self(), "poller");
  while (true) {
    {
      const absl::MutexLock lock(&mutex_);
      if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), kPollInterval)) {
        return;
      }
    }
    const SnapshotPtr snapshot = snapshots_.Get();
    if (snapshot->config_) {
      UpdateFollowed(snapshot->config_);
      PollTargets(*snapshot->config_, absl::Now());
      PollStores(*snapshot->config_, absl::Now());
    }
  }
}

void
Poller::UpdateFollowed(const config::ConfigPtr& aConfig)
{
  std::vector<placement::Follower> hosts;
  {
    const absl::MutexLock lock(&mutex_);
    if (!hostsChanged_ && aConfig == followedConfig_) {
      return;
    }
    hostsChanged_ = false;
    hosts = hosts_;
  }
  followedConfig_ = aConfig;
  followed_.clear();
  eventsFollowed_.clear();
  const std::size_t followers =
    placement::FollowerCount(hosts.size(), aConfig->targets_.size());
  for (const auto& [name, target] : aConfig->targets_) {
    AddIfFollowed(name, target.dataCentre_, followers, hosts);
  }
  for (const auto& [name, store] : aConfig->stores_) {
    AddIfFollowed(name, store.dataCentre_, followers, hosts);
  }
}

void
Poller::AddIfFollowed(const std::string& aName,
                      const std::string& aDataCentre,
                      std::size_t aFollowers,
                      const std::vector<placement::Follower>& aHosts)
{
  const auto ranked =
    placement::Followers(aName, aDataCentre, aHosts, aFollowers);
  const auto self = std::find(ranked.begin(), ranked.end(), self_.name_);
  if (aHosts.empty() || self != ranked.end()) {
    followed_.insert(aName);
  }
  if (aHosts.empty() || (self != ranked.end() &&
                         self - ranked.begin() < kEventReadersPerTarget)) {
    eventsFollowed_.insert(aName);
  }
}

void
Poller::PollTargets(const config::Config& aConfig, absl::Time aNow)
{
  const bool busy = isBusy_();
  const absl::Duration loadInterval = std::max(
    busy ? kBusyLoadInterval : kIdleLoadInterval,
    absl::Seconds(
      static_cast<double>(followed_.size()) /
      placement::FollowedLoadRequestsPerSecond(
        followed_.size(), aConfig.targets_.size() + aConfig.stores_.size())));
  for (const auto& [name, target] : aConfig.targets_) {
    if (followed_.count(name) == 0) {
      continue;
    }
    bool load = false;
    bool events = false;
    std::uint64_t after = 0;
    {
      const absl::MutexLock lock(&mutex_);
      PollState& state = pollStates_[name];
      load = !state.loadPending_ && state.nextLoadAt_ <= aNow;
      events = target.kind_ == config::TargetKind::Engine &&
               !state.eventsPending_ && state.nextEventsAt_ <= aNow;
      after = state.sequence_;
      if (load) {
        state.loadPending_ = true;
        state.nextLoadAt_ = aNow + loadInterval;
      }
      if (events) {
        state.nextEventsAt_ =
          aNow + (busy ? kBusyEventsInterval : kIdleEventsInterval);
      }
    }
    if (load) {
      FetchLoad(name, target.url_);
    }
    if (events && eventsFollowed_.count(name) > 0) {
      FetchCacheEvents(name, target.url_, after);
    }
  }
}

void
Poller::FetchLoad(const std::string& aName, const std::string& aUrl)
{
  client_.Fetch(adapters::QueryLoad(aUrl),
                [this, aName](net::Answer&& aAnswer) {
                  {
                    const absl::MutexLock lock(&mutex_);
                    pollStates_[aName].loadPending_ = false;
                  }
                  post_(ToReport(aName, aAnswer));
                });
}

void
Poller::FetchLoads(const reducer::QueryLoads& aQuery)
{
  const SnapshotPtr snapshot = snapshots_.Get();
  const reducer::LoadsCollected collected{ aQuery.id_, aQuery.attempt_ };
  // Number of outstanding queries. The last answer posts LoadsCollected. The
  // initial 1 stands for this function, so that the count can't reach 0 before
  // all queries are sent.
  auto waiting = std::make_shared<std::atomic<std::size_t>>(1);
  const auto finish = [this, collected, waiting] {
    if (--*waiting == 0) {
      post_(collected);
    }
  };
  for (const auto& name : aQuery.targets_) {
    const auto found = snapshot->config_->targets_.find(name);
    if (found == snapshot->config_->targets_.end()) {
      continue;
    }
    ++*waiting;
    net::Call call = adapters::QueryLoad(found->second.url_);
    call.timeout_ = aQuery.timeout_;
    client_.Fetch(std::move(call), [this, name, finish](net::Answer&& aAnswer) {
      // The timeout is so short that a missing answer doesn't mean that the
      // target is unreachable.
      auto report = ToReport(name, aAnswer);
      if (report.reached_) {
        post_(std::move(report));
      }
      finish();
    });
  }
  finish();
}

void
Poller::FetchCacheEvents(const std::string& aName,
                         const std::string& aUrl,
                         std::uint64_t aAfter)
{
  {
    const absl::MutexLock lock(&mutex_);
    pollStates_[aName].eventsPending_ = true;
  }
  client_.Fetch(adapters::QueryCacheEvents(aUrl, aAfter),
                [this, aName](net::Answer&& aAnswer) {
                  const auto events = adapters::ReadCacheEvents(aAnswer.body_);
                  {
                    const absl::MutexLock lock(&mutex_);
                    PollState& state = pollStates_[aName];
                    state.eventsPending_ = false;
                    if (!aAnswer.Ok() || !events) {
                      return;
                    }
                    // A restarted engine numbers its events from the
                    // beginning, so the number may decrease.
                    state.sequence_ = events->lastSequence_;
                  }
                  post_(ToReport(aName, *events, false));
                });
}

void
Poller::FetchInventory(const std::string& aTarget)
{
  const SnapshotPtr snapshot = snapshots_.Get();
  const auto found = snapshot->config_->targets_.find(aTarget);
  if (found == snapshot->config_->targets_.end()) {
    return;
  }
  client_.Fetch(adapters::QueryCachedBlocks(found->second.url_),
                [this, aTarget](net::Answer&& aAnswer) {
                  const auto blocks = adapters::ReadCachedBlocks(aAnswer.body_);
                  if (!aAnswer.Ok() || !blocks) {
                    return;
                  }
                  {
                    const absl::MutexLock lock(&mutex_);
                    pollStates_[aTarget].sequence_ = blocks->lastSequence_;
                  }
                  post_(ToReport(aTarget, *blocks, true));
                });
}

void
Poller::FetchStoreInventory(const std::string& aStore)
{
  // The poller's thread fetches it in its next round.
  const absl::MutexLock lock(&mutex_);
  pollStates_[aStore].nextEventsAt_ = absl::InfinitePast();
}

void
Poller::PollStores(const config::Config& aConfig, absl::Time aNow)
{
  for (const auto& [name, store] : aConfig.stores_) {
    bool load = false;
    bool inventory = false;
    {
      const absl::MutexLock lock(&mutex_);
      PollState& state = pollStates_[name];
      load = !state.loadPending_ && state.nextLoadAt_ <= aNow;
      inventory = !state.eventsPending_ && state.nextEventsAt_ <= aNow;
      if (load) {
        state.loadPending_ = true;
        state.nextLoadAt_ = aNow + kStoreLoadInterval;
      }
      if (inventory) {
        state.nextEventsAt_ = aNow + kInventoryInterval;
      }
    }
    if (load) {
      FetchStoreLoad(name, store.url_);
    }
    if (inventory && eventsFollowed_.count(name) > 0) {
      {
        const absl::MutexLock lock(&mutex_);
        pollStates_[name].eventsPending_ = true;
      }
      auto list = std::make_shared<reducer::StoreInventory>();
      list->store_ = name;
      FetchStorePage(name, store.url_, "", std::move(list));
    }
  }
}

void
Poller::FetchStoreLoad(const std::string& aName, const std::string& aUrl)
{
  client_.Fetch(adapters::QueryStoreLoad(aUrl),
                [this, aName](net::Answer&& aAnswer) {
                  {
                    const absl::MutexLock lock(&mutex_);
                    pollStates_[aName].loadPending_ = false;
                  }
                  reducer::StoreReported report;
                  report.store_ = aName;
                  const auto load = adapters::ReadStoreLoad(aAnswer.body_);
                  report.reached_ = aAnswer.Ok() && load;
                  if (report.reached_) {
                    report.memoryUsed_ = load->memoryUsed_;
                    report.diskUsed_ = load->diskUsed_;
                    report.linkBacklogBytes_ = load->linkBacklogBytes_;
                    report.linkBytesPerSecond_ = load->linkBytesPerSecond_;
                    report.instance_ = load->instance_;
                  }
                  post_(std::move(report));
                });
}

void
Poller::FetchStorePage(const std::string& aName,
                       const std::string& aUrl,
                       const std::string& aAfter,
                       std::shared_ptr<reducer::StoreInventory> aInventory)
{
  client_.Fetch(
    adapters::QueryStorePage(aUrl, aAfter),
    [this, aName, aUrl, inventory = std::move(aInventory)](
      net::Answer&& aAnswer) {
      const auto page = adapters::ReadStorePage(aAnswer.body_);
      const bool ok = aAnswer.Ok() && page;
      if (ok) {
        for (const auto& block : page->blocks_) {
          inventory->sightings_.push_back(
            { block.key_,
              block.root_,
              true,
              block.onDisk_ ? directory::Tier::Disk : directory::Tier::Memory,
              block.generation_,
              block.bytes_ });
        }
        if (page->more_ && !page->blocks_.empty()) {
          FetchStorePage(
            aName, aUrl, core::ToHex(page->blocks_.back().key_), inventory);
          return;
        }
        post_(std::move(*inventory));
      }
      const absl::MutexLock lock(&mutex_);
      pollStates_[aName].eventsPending_ = false;
    });
}

} // namespace lycheeplank::entry
