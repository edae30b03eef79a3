#include "reducer/internal.h"

#include <algorithm>
#include <cmath>

#include <glog/logging.h>

namespace lycheeplank::reducer::detail {

namespace {

// Runs that may wait at a target, as a part of the runs that it can execute at
// a time, so that the target doesn't idle between two reports.
constexpr double kMaxWaitingShare = 0.25;
// Consecutive failed polls of a store after which its blocks are dropped from
// the directory.
constexpr std::uint32_t kMissedReportsUntilLost = 3;

RequestKind
RequestKindOf(const config::Target& aTarget)
{
  return aTarget.kind_ == config::TargetKind::Engine ? RequestKind::Completion
                                                     : RequestKind::ServiceCall;
}

// Returns how many more runs a target can take, including runs that may wait.
double
FreeRuns(const TargetState& aTarget,
         const config::Target& aSettings,
         absl::Time aNow)
{
  const auto unseen = OwnWorkOf(aTarget, aNow);
  const double limit = aSettings.maxRuns_ * (1.0 + kMaxWaitingShare);
  const double busy = aTarget.running_ + aTarget.waiting_ + unseen.runs_;
  return std::max(0.0, limit - busy);
}

// Returns whether a target accepts new work.
bool
TakesWork(const TargetState& aTarget, absl::Time aNow)
{
  return HasCurrentReport(aTarget, aNow) && !aTarget.leaving_ &&
         !aTarget.listedAsLeaving_;
}

// Makes one pool for each model and service and updates the targets of all
// pools.
void
RebuildPools(Context& aContext)
{
  State& state = aContext.state_;
  const config::Config& config = *state.config_;
  for (auto& [key, pool] : state.pools_) {
    pool.targets_.clear();
  }
  for (const auto& [name, model] : config.models_) {
    state.pools_[{ RequestKind::Completion, name }].policy_ = model.policy_;
  }
  for (const auto& [name, service] : config.services_) {
    state.pools_[{ RequestKind::ServiceCall, name }];
  }
  for (const auto& [name, target] : config.targets_) {
    state.pools_[{ RequestKindOf(target), target.serves_ }].targets_.push_back(
      name);
    state.targets_[name];
  }
  for (auto& [key, pool] : state.pools_) {
    pool.health_.seed_ = state.seed_;
    admission::SetTargets(pool.health_, pool.targets_);
  }
}

// Passes the configured limits for claims to the claims module.
void
ConfigureClaims(Context& aContext)
{
  claims::Settings settings = aContext.state_.claims_.settings_;
  const config::Limits& limits = aContext.state_.config_->limits_;
  settings.shards_ = limits.claimShards_;
  settings.maxOpenBytes_ =
    static_cast<std::uint32_t>(limits.claimRegisterBytes_);
  settings.retention_ = limits.claimRetention_;
  StepClaims(aContext, claims::SettingsChanged{ std::move(settings) });
}

// Removes targets and stores that are no longer configured, and adds the state
// of configured stores.
void
RemoveUnconfigured(State& aState)
{
  const config::Config& config = *aState.config_;
  for (auto it = aState.targets_.begin(); it != aState.targets_.end();) {
    if (config.targets_.count(it->first) > 0) {
      ++it;
      continue;
    }
    directory::DropHolder(aState.directory_, it->first);
    it = aState.targets_.erase(it);
  }
  for (auto it = aState.stores_.begin(); it != aState.stores_.end();) {
    if (config.stores_.count(it->first) > 0) {
      ++it;
      continue;
    }
    directory::DropHolder(aState.directory_, it->first);
    it = aState.stores_.erase(it);
  }
  for (const auto& [name, store] : config.stores_) {
    aState.stores_[name];
  }
}

} // namespace

void
RankFollowers(Context& aContext)
{
  State& state = aContext.state_;
  if (!state.config_) {
    return;
  }
  const auto hosts = placement::IncludeSelf(state.liveHosts_, state.self_);
  const std::size_t count =
    placement::FollowerCount(hosts.size(), state.targets_.size());
  for (auto& [name, target] : state.targets_) {
    const auto settings = state.config_->targets_.find(name);
    if (settings == state.config_->targets_.end()) {
      continue;
    }
    const auto followers =
      placement::Followers(name, settings->second.dataCentre_, hosts, count);
    const auto self =
      std::find(followers.begin(), followers.end(), state.self_.name_);
    target.followerRank_ = static_cast<std::uint32_t>(self - followers.begin());
    // A report that arrived before this host followed the target may be out of
    // date.
    target.reached_ = HasCurrentReport(target, aContext.now_);
    target.followed_ = hosts.empty() || self != followers.end();
  }
}

void
UpdateSlots(Context& aContext, Pool& aPool)
{
  const State& state = aContext.state_;
  double freeRuns = 0.0;
  bool any = false;
  for (const auto& name : aPool.targets_) {
    const TargetState& target = state.targets_.at(name);
    // A target that can be queried may have capacity when no other has.
    any = any || MayQueryLoad(target, aContext.now_);
    if (!TakesWork(target, aContext.now_)) {
      continue;
    }
    any = true;
    freeRuns +=
      FreeRuns(target, state.config_->targets_.at(name), aContext.now_);
  }
  // All hosts see the same free capacity, so each one takes an equal part.
  const double hosts =
    static_cast<double>(std::max<std::size_t>(1, state.liveHosts_.size()));
  const auto mine = static_cast<std::uint32_t>(std::ceil(freeRuns / hosts));
  const auto running =
    static_cast<std::uint32_t>(aPool.admission_.running_.size());
  aPool.admission_.slots_ = any ? std::max(1U, running + mine) : running;
}

void
OnTargetReported(Context& aContext, const TargetReported& aEvent)
{
  State& state = aContext.state_;
  const auto found = state.targets_.find(aEvent.target_);
  if (found == state.targets_.end()) {
    return;
  }
  TargetState& target = found->second;
  target.reached_ = aEvent.reached_;
  if (aEvent.reached_) {
    if (target.followed_ && target.reported_ &&
        target.weightVersion_ != aEvent.weightVersion_) {
      // New requests can't use blocks of the previous version. If this host
      // does not follow the target, the listed blocks may already belong to the
      // new version and are kept.
      directory::DropHolder(state.directory_, aEvent.target_);
      target.cursor_ = {};
    }
    target.reported_ = true;
    target.leaving_ = aEvent.leaving_;
    target.running_ = aEvent.running_;
    target.waiting_ = aEvent.waiting_;
    target.queuedPrefillTokens_ = aEvent.queuedPrefillTokens_;
    target.weightVersion_ = aEvent.weightVersion_;
    target.measuredAt_ = aContext.now_ - aEvent.age_;
  }
  const config::Target& settings = state.config_->targets_.at(aEvent.target_);
  Pool& pool = state.pools_.at({ RequestKindOf(settings), settings.serves_ });
  UpdateSlots(aContext, pool);
  aContext.poolsToStart_.push_back(&pool);
}

void
ReportBlocks(Context& aContext,
             const directory::HolderId& aHolder,
             const std::vector<directory::Sighting>& aSightings,
             bool aInventory)
{
  State& state = aContext.state_;
  for (auto& batch :
       directory::SplitByHome(aSightings, state.homeHosts_, aInventory)) {
    if (batch.host_ != state.self_.name_) {
      aContext.effects_.emplace_back(ReportBlocksToHome{
        batch.host_, aHolder, aInventory, std::move(batch.sightings_) });
      continue;
    }
    if (aInventory) {
      directory::ApplyInventory(state.directory_, aHolder, batch.sightings_);
      continue;
    }
    for (const auto& sighting : batch.sightings_) {
      directory::Apply(state.directory_, aHolder, sighting);
    }
  }
}

void
OnCacheReported(Context& aContext, const CacheReported& aEvent)
{
  const auto found = aContext.state_.targets_.find(aEvent.target_);
  if (found == aContext.state_.targets_.end()) {
    return;
  }
  directory::EventCursor& cursor = found->second.cursor_;
  if (aEvent.inventory_) {
    directory::AdvanceToInventory(cursor, aEvent.lastSequence_);
  } else if (directory::Advance(
               cursor, aEvent.sequences_, aEvent.lastSequence_) ==
             directory::SequenceResult::Gap) {
    AddCount(aContext, "cache_event_gaps_total", "", "");
    aContext.effects_.emplace_back(FetchInventory{ aEvent.target_ });
  }
  ReportBlocks(aContext,
               { aEvent.target_, directory::HolderKind::Engine },
               aEvent.sightings_,
               aEvent.inventory_);
}

void
OnStoreReported(Context& aContext, const StoreReported& aEvent)
{
  State& state = aContext.state_;
  const auto found = state.stores_.find(aEvent.store_);
  if (found == state.stores_.end()) {
    return;
  }
  StoreState& store = found->second;
  store.reached_ = aEvent.reached_;
  if (!aEvent.reached_) {
    if (++store.missedReports_ == kMissedReportsUntilLost) {
      directory::DropHolder(state.directory_, aEvent.store_);
    }
    return;
  }
  // The inventory replaces the store's whole content in the directory.
  const bool restarted =
    store.instance_ != 0 && store.instance_ != aEvent.instance_;
  if (restarted || store.missedReports_ >= kMissedReportsUntilLost) {
    aContext.effects_.emplace_back(FetchStoreInventory{ aEvent.store_ });
  }
  store.missedReports_ = 0;
  store.instance_ = aEvent.instance_;
  store.linkBacklogBytes_ = aEvent.linkBacklogBytes_;
  store.linkBytesPerSecond_ = aEvent.linkBytesPerSecond_;
  store.memoryUsed_ = aEvent.memoryUsed_;
  store.diskUsed_ = aEvent.diskUsed_;
  store.measuredAt_ = aContext.now_;
  placement::RecordLinkReport(store.linkQueue_, aEvent.linkBacklogBytes_);
}

void
OnStoreInventory(Context& aContext, const StoreInventory& aEvent)
{
  ReportBlocks(aContext,
               { aEvent.store_, directory::HolderKind::Store },
               aEvent.sightings_,
               true);
}

void
OnConfigInForce(Context& aContext, const ConfigInForce& aEvent)
{
  State& state = aContext.state_;
  CHECK(!state.config_ || aEvent.config_->revision_ >= state.config_->revision_)
    << "the configuration went back from revision " << state.config_->revision_;
  state.config_ = aEvent.config_;
  RemoveUnconfigured(state);
  RebuildPools(aContext);
  ConfigureClaims(aContext);
  RankFollowers(aContext);
  for (auto& [key, pool] : state.pools_) {
    UpdateSlots(aContext, pool);
  }
}

} // namespace lycheeplank::reducer::detail
