#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>

#include "lycheeplank/placement.h"
#include "offload/handlers.h"

namespace lycheeplank::offload {

namespace {

// A prompt that has not returned for this time is dropped.
constexpr absl::Duration kPromptExpiry = absl::Hours(24 * 30);
// A dropped prompt counts as abandoned if it has been idle for this time. One
// that is dropped earlier for lack of room doesn't count.
constexpr absl::Duration kAbandonedAfter = absl::Hours(24 * 7);
constexpr absl::Duration kInflowDecayTime = absl::Minutes(1);
constexpr absl::Duration kMaxTimeToEviction = absl::Hours(1);
// Safety factor for the estimated time until eviction.
constexpr double kTimeToEvictionFactor = 0.5;
// A block that was exported longer ago than this and that a run had to compute
// again is assumed to have been freed in its store.
constexpr absl::Duration kRecomputedBlockGrace = absl::Minutes(10);
// Time within which all homes have received the report that a block is in a
// store.
constexpr absl::Duration kDirectoryDelay = absl::Seconds(5);

using detail::StepContext;

double
DecayedBlocks(const Inflow& aInflow, absl::Time aNow)
{
  const double elapsed =
    absl::FDivDuration(aNow - aInflow.decayedAt_, kInflowDecayTime);
  return aInflow.blocks_ * std::exp(-std::max(0.0, elapsed));
}

void
RecordInflow(StepContext& aStep, const FinishedRun& aRun)
{
  auto& inflow = aStep.state_.inflows_[aRun.target_];
  const auto computed =
    aRun.chain_.size() -
    std::min<std::size_t>(aRun.chain_.size(), aRun.reusedBlocks_);
  inflow.blocks_ =
    DecayedBlocks(inflow, aStep.now_) + static_cast<double>(computed);
  inflow.decayedAt_ = aStep.now_;
}

// Drops prompts from the end of the list that are too old or exceed the limit.
void
DropOldPrompts(StepContext& aStep)
{
  auto& state = aStep.state_;
  while (!state.prompts_.empty()) {
    const auto& last = state.prompts_.back();
    const auto idle = aStep.now_ - last.lastRun_;
    if (idle < kPromptExpiry && state.prompts_.size() <= kMaxPrompts) {
      return;
    }
    if (const auto histogram = state.returns_.find(last.workspace_);
        histogram != state.returns_.end() && idle >= kAbandonedAfter) {
      retention::RecordAbandonment(histogram->second, aStep.now_);
    }
    state.promptByRoot_.erase(last.root_);
    state.prompts_.pop_back();
  }
}

void
RecordPrompt(StepContext& aStep, const FinishedRun& aRun)
{
  auto& state = aStep.state_;
  const auto& root = aRun.chain_.front();
  if (const auto found = state.promptByRoot_.find(root);
      found != state.promptByRoot_.end()) {
    auto& prompt = *found->second;
    retention::RecordReturn(state.returns_[aRun.workspace_],
                            aStep.now_ - prompt.lastRun_,
                            aStep.now_);
    prompt.lastRun_ = aStep.now_;
    state.prompts_.splice(
      state.prompts_.begin(), state.prompts_, found->second);
  } else {
    state.prompts_.push_front(
      { root, aRun.workspace_, aRun.model_, aStep.now_ });
    state.promptByRoot_[root] = state.prompts_.begin();
  }
  DropOldPrompts(aStep);
}

// Returns how many leading blocks of the run's prompt the directory listed for
// a store.
std::uint32_t
StoredPrefixBlocks(const FinishedRun& aRun, const std::string& aStore)
{
  if (!aRun.storedPrefixes_) {
    return 0;
  }
  const auto found = std::find_if(
    aRun.storedPrefixes_->begin(),
    aRun.storedPrefixes_->end(),
    [&](const StoredPrefix& aPrefix) { return aPrefix.store_ == aStore; });
  return found == aRun.storedPrefixes_->end() ? 0 : found->blocks_;
}

// Drops held blocks that were reported well before the run was placed but that
// the directory didn't list then: they were freed, or their store has lost
// them.
void
DropUnlistedBlocks(StepContext& aStep, const FinishedRun& aRun)
{
  auto& held = aStep.state_.held_;
  const auto listedBefore = aStep.now_ - aRun.age_ - kDirectoryDelay;
  for (std::size_t i = 0; aRun.storedPrefixes_ && i < aRun.chain_.size(); ++i) {
    const auto found = held.find(aRun.chain_[i]);
    if (found != held.end() && found->second.since_ < listedBefore &&
        i >= StoredPrefixBlocks(aRun, found->second.store_)) {
      held.erase(found);
    }
  }
}

// Drops held blocks that the run had to compute: the store's owner has probably
// freed them.
void
DropRecomputedBlocks(StepContext& aStep, const FinishedRun& aRun)
{
  auto& held = aStep.state_.held_;
  for (std::size_t i = aRun.reusedBlocks_; i < aRun.chain_.size(); ++i) {
    const auto found = held.find(aRun.chain_[i]);
    if (found != held.end() &&
        aStep.now_ - found->second.since_ > kRecomputedBlockGrace) {
      held.erase(found);
    }
  }
}

// Maps blocks of a prompt's waiting and active exports to their store.
using PlannedBlocks = absl::flat_hash_map<core::BlockKey, std::string>;

// A run and the blocks of its prompt that this host is already exporting.
struct PlannedRun
{
  const FinishedRun& run_;
  PlannedBlocks planned_;
};

PlannedBlocks
PlannedBlocksOf(const State& aState, const core::BlockKey& aRoot)
{
  PlannedBlocks planned;
  for (const auto& [id, item] : aState.exports_) {
    if (item.root_ == aRoot) {
      for (const auto& block : item.blocks_) {
        planned[block] = item.store_;
      }
    }
  }
  return planned;
}

// Returns whether a store holds a block of the run's chain or an export of it
// is planned.
bool
IsHeldOrPlanned(const State& aState,
                const PlannedRun& aRun,
                std::size_t aIndex,
                const std::string& aStore)
{
  const auto& key = aRun.run_.chain_[aIndex];
  if (aIndex < StoredPrefixBlocks(aRun.run_, aStore)) {
    return true;
  }
  if (const auto held = aState.held_.find(key);
      held != aState.held_.end() && held->second.store_ == aStore) {
    return true;
  }
  const auto planned = aRun.planned_.find(key);
  return planned != aRun.planned_.end() && planned->second == aStore;
}

// Returns how many leading blocks of the run's prompt a store holds or is
// planned to hold.
std::uint32_t
LeadingHeldOrPlanned(const State& aState,
                     const PlannedRun& aRun,
                     const std::string& aStore)
{
  std::uint32_t count = 0;
  while (count < aRun.run_.chain_.size() &&
         IsHeldOrPlanned(aState, aRun, count, aStore)) {
    ++count;
  }
  return count;
}

// Returns the bytes of all waiting and active exports to a store.
std::uint64_t
QueuedExportBytes(const State& aState, const std::string& aStore)
{
  std::uint64_t bytes = 0;
  for (const auto& [id, item] : aState.exports_) {
    bytes += item.store_ == aStore ? item.bytes_ : 0;
  }
  return bytes;
}

retention::StoreView
StoreViewOf(const State& aState,
            const std::string& aName,
            const PlannedRun& aRun)
{
  const auto& store = aState.stores_.at(aName);
  const auto& settings = aState.config_->stores_.at(aName);
  const auto& workspace = aRun.run_.workspace_;
  retention::StoreView view;
  view.name_ = aName;
  view.heldBlocks_ = LeadingHeldOrPlanned(aState, aRun, aName);
  view.capacityBytes_ = detail::CapacityOf(settings);
  view.usedBytes_ = store.usedBytes_;
  const auto used = store.workspaceBytes_.find(workspace);
  view.workspaceBytes_ = used == store.workspaceBytes_.end() ? 0 : used->second;
  view.workspaceShareBytes_ = WorkspaceShareBytes(aState, aName, workspace);
  view.linkBytesPerSecond_ = settings.linkBytesPerSecond_;
  view.queuedBytes_ =
    store.linkBacklogBytes_ + QueuedExportBytes(aState, aName);
  view.freedValuePerByte_ = store.freedValuePerByte_;
  return view;
}

// Returns the stores that are neither known to be down nor paused.
std::vector<retention::StoreView>
UsableStoreViews(const StepContext& aStep, const PlannedRun& aRun)
{
  const auto& state = aStep.state_;
  std::vector<retention::StoreView> views;
  for (const auto& [name, store] : state.stores_) {
    if (!detail::IsDown(store) && store.pausedUntil_ <= aStep.now_) {
      views.push_back(StoreViewOf(state, name, aRun));
    }
  }
  return views;
}

// Makes room for an export of the given value by dropping the least valuable
// waiting export. Returns false if none is worth less.
bool
MakeRoom(StepContext& aStep, double aValuePerByte)
{
  auto& exports = aStep.state_.exports_;
  if (exports.size() < kMaxExports) {
    return true;
  }
  auto worst = exports.end();
  for (auto item = exports.begin(); item != exports.end(); ++item) {
    if (item->second.stage_ == ExportStage::Waiting &&
        (worst == exports.end() ||
         item->second.valuePerByte_ < worst->second.valuePerByte_)) {
      worst = item;
    }
  }
  if (worst == exports.end() || worst->second.valuePerByte_ >= aValuePerByte) {
    return false;
  }
  detail::RecordExportEnd(aStep, worst->second, ExportResult::Displaced);
  exports.erase(worst);
  return true;
}

Export
MakeExport(const StepContext& aStep,
           const PlannedRun& aRun,
           const retention::ExportPlan& aPlan)
{
  const auto& run = aRun.run_;
  Export item;
  item.workspace_ = run.workspace_;
  item.weightVersion_ = run.weightVersion_;
  item.target_ = run.target_;
  item.store_ = aPlan.store_;
  item.root_ = run.chain_.front();
  for (auto i = aPlan.firstBlock_; i < aPlan.firstBlock_ + aPlan.blocks_; ++i) {
    if (!IsHeldOrPlanned(aStep.state_, aRun, i, aPlan.store_)) {
      item.blocks_.push_back(run.chain_[i]);
    }
  }
  item.bytes_ = aPlan.bytes_ / aPlan.blocks_ * item.blocks_.size();
  item.valuePerByte_ = aPlan.valuePerByte_;
  item.latestStart_ = aStep.now_ + aPlan.startWithin_;
  return item;
}

void
PlanExport(StepContext& aStep, const FinishedRun& aRun)
{
  auto& state = aStep.state_;
  auto candidate = detail::ExportCandidateFor(*state.config_, aRun.model_);
  const auto& target = state.config_->targets_.at(aRun.target_);
  candidate.blocks_ = static_cast<std::uint32_t>(aRun.chain_.size());
  candidate.prefillTokensPerSecond_ = target.prefillTokensPerSecond_;
  candidate.returns_ = state.returns_[aRun.workspace_];
  candidate.timeToEviction_ =
    ExpectedTimeToEviction(state, aRun.target_, candidate.blocks_);
  candidate.promptHash_ = aRun.chain_.front().low_;
  const PlannedRun planned{ aRun, PlannedBlocksOf(state, aRun.chain_.front()) };
  const auto plan =
    retention::PlanExport(candidate, UsableStoreViews(aStep, planned));
  if (!plan) {
    return;
  }
  if (!MakeRoom(aStep, plan->valuePerByte_)) {
    detail::CountExportResult(aStep, ExportResult::Displaced);
    return;
  }
  state.exports_[++state.lastExportId_] = MakeExport(aStep, planned, *plan);
  detail::AdvanceExports(aStep);
}

// Returns whether the configuration contains everything that the run refers to.
bool
HasKnownReferences(const State& aState, const FinishedRun& aRun)
{
  const auto& config = aState.config_;
  if (config == nullptr || aRun.chain_.empty()) {
    return false;
  }
  const auto target = config->targets_.find(aRun.target_);
  return config->workspaces_.contains(aRun.workspace_) &&
         config->models_.contains(aRun.model_) &&
         target != config->targets_.end() &&
         target->second.kind_ == config::TargetKind::Engine &&
         (aState.returns_.contains(aRun.workspace_) ||
          aState.returns_.size() < kMaxWorkspaces);
}

} // namespace

absl::Duration
ExpectedTimeToEviction(const State& aState,
                       const std::string& aTarget,
                       std::uint32_t aBlocks)
{
  const auto target = aState.config_->targets_.find(aTarget);
  const auto inflow = aState.inflows_.find(aTarget);
  if (target == aState.config_->targets_.end() ||
      aBlocks > target->second.cacheBlocks_) {
    return absl::ZeroDuration();
  }
  if (inflow == aState.inflows_.end()) {
    return kMaxTimeToEviction;
  }
  // Other followers of the target are assumed to send it as much work.
  const auto senders = std::max<std::size_t>(
    1,
    placement::FollowerCount(aState.hosts_.size(),
                             aState.config_->targets_.size()));
  const double blocksPerSecond = inflow->second.blocks_ *
                                 static_cast<double>(senders) /
                                 absl::ToDoubleSeconds(kInflowDecayTime);
  const double room = target->second.cacheBlocks_ - aBlocks;
  const double limit = absl::ToDoubleSeconds(kMaxTimeToEviction);
  const double seconds = blocksPerSecond > 0.0
                           ? kTimeToEvictionFactor * room / blocksPerSecond
                           : limit;
  return absl::Seconds(std::min(seconds, limit));
}

namespace detail {

void
Handle(StepContext& aStep, const RunFinished& aEvent)
{
  if (!HasKnownReferences(aStep.state_, aEvent.run_)) {
    return;
  }
  auto run = aEvent.run_;
  run.chain_.resize(std::min(run.chain_.size(), kMaxChainBlocks));
  RecordInflow(aStep, run);
  RecordPrompt(aStep, run);
  DropRecomputedBlocks(aStep, run);
  DropUnlistedBlocks(aStep, run);
  PlanExport(aStep, run);
}

retention::ExportCandidate
ExportCandidateFor(const config::Config& aConfig, const std::string& aModel)
{
  retention::ExportCandidate candidate;
  if (const auto model = aConfig.models_.find(aModel);
      model != aConfig.models_.end()) {
    candidate.blockTokens_ = model->second.blockTokens_;
    candidate.kvBytesPerToken_ = model->second.kvBytesPerToken_;
    candidate.objective_ = model->second.objective_;
  }
  return candidate;
}

void
RecordHeldBlock(State& aState,
                const StoredBlock& aBlock,
                const std::string& aStore,
                absl::Time aNow)
{
  const auto [place, added] = aState.held_.insert_or_assign(
    aBlock.key_, HeldBlock{ aStore, aBlock, aNow });
  if (!added) {
    return;
  }
  aState.heldOrder_.push_back(aBlock.key_);
  while (aState.heldOrder_.size() > kMaxHeldBlocks) {
    aState.held_.erase(aState.heldOrder_.front());
    aState.heldOrder_.pop_front();
  }
}

} // namespace detail

} // namespace lycheeplank::offload
