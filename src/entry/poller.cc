#include "entry/poller.h"

#include <algorithm>
#include <atomic>
#include <pthread.h>

#include "adapters/engine.h"
#include "adapters/store.h"

namespace lycheeplank::entry {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
// Time between two load reports of a target.
constexpr absl::Duration kBusyLoadInterval = absl::Milliseconds(250);
constexpr absl::Duration kIdleLoadInterval = absl::Seconds(1);
// Time between two questions for cache events.
constexpr absl::Duration kBusyEventsInterval = absl::Seconds(1);
constexpr absl::Duration kIdleEventsInterval = absl::Seconds(3);
constexpr absl::Duration kStoreLoadInterval = absl::Seconds(1);
constexpr absl::Duration kInventoryInterval = absl::Seconds(30);
// Hosts that read the cache events of one target, so that the loss of one
// loses no news.
constexpr std::ptrdiff_t kFeeders = 2;

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
               SnapshotBox& aSnapshots,
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
      if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), kStep)) {
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
  fed_.clear();
  const std::size_t followers =
    placement::FollowerCount(hosts.size(), aConfig->targets_.size());
  for (const auto& [name, target] : aConfig->targets_) {
    Follow(name, target.dataCentre_, followers, hosts);
  }
  for (const auto& [name, store] : aConfig->stores_) {
    Follow(name, store.dataCentre_, followers, hosts);
  }
}

void
Poller::Follow(const std::string& aName,
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
  if (aHosts.empty() ||
      (self != ranked.end() && self - ranked.begin() < kFeeders)) {
    fed_.insert(aName);
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
      Due& due = due_[name];
      load = !due.loadPending_ && due.load_ <= aNow;
      events = target.kind_ == config::TargetKind::Engine &&
               !due.eventsPending_ && due.events_ <= aNow;
      after = due.sequence_;
      if (load) {
        due.loadPending_ = true;
        due.load_ = aNow + loadInterval;
      }
      if (events) {
        due.events_ = aNow + (busy ? kBusyEventsInterval : kIdleEventsInterval);
      }
    }
    if (load) {
      AskLoad(name, target.url_);
    }
    if (events && fed_.count(name) > 0) {
      AskEvents(name, target.url_, after);
    }
  }
}

void
Poller::AskLoad(const std::string& aName, const std::string& aUrl)
{
  client_.Fetch(adapters::QueryLoad(aUrl),
                [this, aName](net::Answer&& aAnswer) {
                  {
                    const absl::MutexLock lock(&mutex_);
                    due_[aName].loadPending_ = false;
                  }
                  post_(ToReport(aName, aAnswer));
                });
}

void
Poller::AskLoads(const reducer::QueryLoads& aAsk)
{
  const SnapshotPtr snapshot = snapshots_.Get();
  const reducer::LoadsCollected heard{ aAsk.id_, aAsk.attempt_ };
  // The last answer tells that all are there; one is counted for this function,
  // so that no answer comes before all questions are asked.
  auto waiting = std::make_shared<std::atomic<std::size_t>>(1);
  const auto finish = [this, heard, waiting] {
    if (--*waiting == 0) {
      post_(heard);
    }
  };
  for (const auto& name : aAsk.targets_) {
    const auto found = snapshot->config_->targets_.find(name);
    if (found == snapshot->config_->targets_.end()) {
      continue;
    }
    ++*waiting;
    net::Call call = adapters::QueryLoad(found->second.url_);
    call.timeout_ = aAsk.timeout_;
    client_.Fetch(std::move(call), [this, name, finish](net::Answer&& aAnswer) {
      // Silence within so short a time tells nothing of a target.
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
Poller::AskEvents(const std::string& aName,
                  const std::string& aUrl,
                  std::uint64_t aAfter)
{
  {
    const absl::MutexLock lock(&mutex_);
    due_[aName].eventsPending_ = true;
  }
  client_.Fetch(adapters::QueryCacheEvents(aUrl, aAfter),
                [this, aName](net::Answer&& aAnswer) {
                  const auto events = adapters::ReadCacheEvents(aAnswer.body_);
                  {
                    const absl::MutexLock lock(&mutex_);
                    Due& due = due_[aName];
                    due.eventsPending_ = false;
                    if (!aAnswer.Ok() || !events) {
                      return;
                    }
                    // An engine that was started again counts from the
                    // beginning.
                    due.sequence_ = events->lastSequence_;
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
                    due_[aTarget].sequence_ = blocks->lastSequence_;
                  }
                  post_(ToReport(aTarget, *blocks, true));
                });
}

void
Poller::FetchStoreInventory(const std::string& aStore)
{
  // The next step of the poller asks for it.
  const absl::MutexLock lock(&mutex_);
  due_[aStore].events_ = absl::InfinitePast();
}

void
Poller::PollStores(const config::Config& aConfig, absl::Time aNow)
{
  for (const auto& [name, store] : aConfig.stores_) {
    bool load = false;
    bool inventory = false;
    {
      const absl::MutexLock lock(&mutex_);
      Due& due = due_[name];
      load = !due.loadPending_ && due.load_ <= aNow;
      inventory = !due.eventsPending_ && due.events_ <= aNow;
      if (load) {
        due.loadPending_ = true;
        due.load_ = aNow + kStoreLoadInterval;
      }
      if (inventory) {
        due.events_ = aNow + kInventoryInterval;
      }
    }
    if (load) {
      AskStore(name, store.url_);
    }
    if (inventory && fed_.count(name) > 0) {
      {
        const absl::MutexLock lock(&mutex_);
        due_[name].eventsPending_ = true;
      }
      auto list = std::make_shared<reducer::StoreInventory>();
      list->store_ = name;
      AskPage(name, store.url_, "", std::move(list));
    }
  }
}

void
Poller::AskStore(const std::string& aName, const std::string& aUrl)
{
  client_.Fetch(adapters::QueryStoreLoad(aUrl),
                [this, aName](net::Answer&& aAnswer) {
                  {
                    const absl::MutexLock lock(&mutex_);
                    due_[aName].loadPending_ = false;
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
Poller::AskPage(const std::string& aName,
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
          AskPage(
            aName, aUrl, core::ToHex(page->blocks_.back().key_), inventory);
          return;
        }
        post_(std::move(*inventory));
      }
      const absl::MutexLock lock(&mutex_);
      due_[aName].eventsPending_ = false;
    });
}

} // namespace lycheeplank::entry
