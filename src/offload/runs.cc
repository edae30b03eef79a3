#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>

#include "lycheeplank/placement.h"
#include "offload/handlers.h"

namespace lycheeplank::offload {

namespace {

// A prompt that has not returned for so long counts as gone.
constexpr absl::Duration kForgetAfter = absl::Hours(24 * 30);
// A prompt that is forgotten for lack of room counts as gone from here on.
constexpr absl::Duration kGoneAfter = absl::Hours(24 * 7);
constexpr absl::Duration kInflowTime = absl::Minutes(1);
constexpr absl::Duration kMaxHold = absl::Hours(1);
// Part of the estimated time that is relied on.
constexpr double kHoldMargin = 0.5;
// A held block that a run had to compute after this is looked on as freed.
constexpr absl::Duration kHeldTrust = absl::Minutes(10);
// Time in which all homes hear that a block is in a store.
constexpr absl::Duration kTellTime = absl::Seconds(5);

using detail::StepContext;

double
DecayedBlocks(const Inflow& aInflow, absl::Time aNow)
{
  const double ages =
    absl::FDivDuration(aNow - aInflow.decayedAt_, kInflowTime);
  return aInflow.blocks_ * std::exp(-std::max(0.0, ages));
}

void
NoteInflow(StepContext& aStep, const FinishedRun& aRun)
{
  auto& inflow = aStep.state_.inflows_[aRun.target_];
  const auto computed =
    aRun.chain_.size() -
    std::min<std::size_t>(aRun.chain_.size(), aRun.reusedBlocks_);
  inflow.blocks_ =
    DecayedBlocks(inflow, aStep.now_) + static_cast<double>(computed);
  inflow.decayedAt_ = aStep.now_;
}

// Forgets the prompts at the end of the list that are too old or too many.
void
ForgetPrompts(StepContext& aStep)
{
  auto& state = aStep.state_;
  while (!state.prompts_.empty()) {
    const auto& last = state.prompts_.back();
    const auto idle = aStep.now_ - last.lastRun_;
    if (idle < kForgetAfter && state.prompts_.size() <= kMaxPrompts) {
      return;
    }
    if (const auto gaps = state.returns_.find(last.workspace_);
        gaps != state.returns_.end() && idle >= kGoneAfter) {
      retention::RecordAbandonment(gaps->second, aStep.now_);
    }
    state.promptByRoot_.erase(last.root_);
    state.prompts_.pop_back();
  }
}

void
NotePrompt(StepContext& aStep, const FinishedRun& aRun)
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
  ForgetPrompts(aStep);
}

// Returns how many leading blocks of the run's prompt a store holds by the
// directory.
std::uint32_t
StoredPrefixBlocks(const FinishedRun& aRun, const std::string& aStore)
{
  if (!aRun.storedPrefixes_) {
    return 0;
  }
  const auto found = std::find_if(
    aRun.storedPrefixes_->begin(),
    aRun.storedPrefixes_->end(),
    [&](const StoredPrefix& aEach) { return aEach.store_ == aStore; });
  return found == aRun.storedPrefixes_->end() ? 0 : found->blocks_;
}

// Blocks that were announced well before the run was placed and that the
// directory didn't know then are no longer held: they were freed, or their
// store has lost them.
void
DropUnlisted(StepContext& aStep, const FinishedRun& aRun)
{
  auto& held = aStep.state_.held_;
  const auto heard = aStep.now_ - aRun.age_ - kTellTime;
  for (std::size_t i = 0; aRun.storedPrefixes_ && i < aRun.chain_.size(); ++i) {
    const auto found = held.find(aRun.chain_[i]);
    if (found != held.end() && found->second.since_ < heard &&
        i >= StoredPrefixBlocks(aRun, found->second.store_)) {
      held.erase(found);
    }
  }
}

// Blocks that the run computed although a store was thought to hold them were
// probably freed there by its owner.
void
DoubtHeld(StepContext& aStep, const FinishedRun& aRun)
{
  auto& held = aStep.state_.held_;
  for (std::size_t i = aRun.reusedBlocks_; i < aRun.chain_.size(); ++i) {
    const auto found = held.find(aRun.chain_[i]);
    if (found != held.end() && aStep.now_ - found->second.since_ > kHeldTrust) {
      held.erase(found);
    }
  }
}

// Blocks of waiting and running exports of a prompt, with their store.
using PlannedBlocks = absl::flat_hash_map<core::BlockKey, std::string>;

// A run with what this host already does about its prompt.
struct PlannedRun
{
  const FinishedRun& run_;
  PlannedBlocks planned_;
};

PlannedBlocks
PlannedOf(const State& aState, const core::BlockKey& aRoot)
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

// Whether a store holds a block of the run's chain or will soon.
bool
IsHeld(const State& aState,
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

// Returns how many leading blocks of the run's prompt a store holds or will
// soon.
std::uint32_t
LeadingHeld(const State& aState,
            const PlannedRun& aRun,
            const std::string& aStore)
{
  std::uint32_t count = 0;
  while (count < aRun.run_.chain_.size() &&
         IsHeld(aState, aRun, count, aStore)) {
    ++count;
  }
  return count;
}

// Bytes of exports that wait for a store.
std::uint64_t
WaitingBytes(const State& aState, const std::string& aStore)
{
  std::uint64_t bytes = 0;
  for (const auto& [id, item] : aState.exports_) {
    bytes += item.store_ == aStore ? item.bytes_ : 0;
  }
  return bytes;
}

retention::StoreView
ViewOf(const State& aState, const std::string& aName, const PlannedRun& aRun)
{
  const auto& store = aState.stores_.at(aName);
  const auto& settings = aState.config_->stores_.at(aName);
  const auto& workspace = aRun.run_.workspace_;
  retention::StoreView view;
  view.name_ = aName;
  view.heldBlocks_ = LeadingHeld(aState, aRun, aName);
  view.capacityBytes_ = detail::CapacityOf(settings);
  view.usedBytes_ = store.usedBytes_;
  const auto used = store.workspaceBytes_.find(workspace);
  view.workspaceBytes_ = used == store.workspaceBytes_.end() ? 0 : used->second;
  view.workspaceShareBytes_ = WorkspaceShareBytes(aState, aName, workspace);
  view.linkBytesPerSecond_ = settings.linkBytesPerSecond_;
  view.queuedBytes_ = store.linkBacklogBytes_ + WaitingBytes(aState, aName);
  view.freedValuePerByte_ = store.freedValuePerByte_;
  return view;
}

// Stores that are not known to be down.
std::vector<retention::StoreView>
ViewsOf(const StepContext& aStep, const PlannedRun& aRun)
{
  const auto& state = aStep.state_;
  std::vector<retention::StoreView> views;
  for (const auto& [name, store] : state.stores_) {
    if (!detail::IsDown(store) && store.pausedUntil_ <= aStep.now_) {
      views.push_back(ViewOf(state, name, aRun));
    }
  }
  return views;
}

// Makes room for an export of the given value by dropping the least valuable
// one that still waits; false if none is worth less.
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
  detail::CountExport(aStep, worst->second, ExportResult::Displaced);
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
    if (!IsHeld(aStep.state_, aRun, i, aPlan.store_)) {
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
  auto question = detail::ExportCandidateFor(*state.config_, aRun.model_);
  const auto& target = state.config_->targets_.at(aRun.target_);
  question.blocks_ = static_cast<std::uint32_t>(aRun.chain_.size());
  question.prefillTokensPerSecond_ = target.prefillTokensPerSecond_;
  question.returns_ = state.returns_[aRun.workspace_];
  question.timeToEviction_ =
    ExpectedTimeToEviction(state, aRun.target_, question.blocks_);
  question.promptHash_ = aRun.chain_.front().low_;
  const PlannedRun planned{ aRun, PlannedOf(state, aRun.chain_.front()) };
  const auto plan = retention::PlanExport(question, ViewsOf(aStep, planned));
  if (!plan) {
    return;
  }
  if (!MakeRoom(aStep, plan->valuePerByte_)) {
    detail::CountDropped(aStep, ExportResult::Displaced);
    return;
  }
  state.exports_[++state.lastExportId_] = MakeExport(aStep, planned, *plan);
  detail::DriveExports(aStep);
}

// Whether the configuration names all that the run refers to.
bool
IsKnown(const State& aState, const FinishedRun& aRun)
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
    return kMaxHold;
  }
  // Other hosts that use the target send it about as much.
  const auto senders = std::max<std::size_t>(
    1,
    placement::FollowerCount(aState.hosts_.size(),
                             aState.config_->targets_.size()));
  const double blocksPerSecond = inflow->second.blocks_ *
                                 static_cast<double>(senders) /
                                 absl::ToDoubleSeconds(kInflowTime);
  const double room = target->second.cacheBlocks_ - aBlocks;
  const double limit = absl::ToDoubleSeconds(kMaxHold);
  const double seconds =
    blocksPerSecond > 0.0 ? kHoldMargin * room / blocksPerSecond : limit;
  return absl::Seconds(std::min(seconds, limit));
}

namespace detail {

void
Handle(StepContext& aStep, const RunFinished& aEvent)
{
  if (!IsKnown(aStep.state_, aEvent.run_)) {
    return;
  }
  auto run = aEvent.run_;
  run.chain_.resize(std::min(run.chain_.size(), kMaxChainBlocks));
  NoteInflow(aStep, run);
  NotePrompt(aStep, run);
  DoubtHeld(aStep, run);
  DropUnlisted(aStep, run);
  PlanExport(aStep, run);
}

retention::ExportCandidate
ExportCandidateFor(const config::Config& aConfig, const std::string& aModel)
{
  retention::ExportCandidate question;
  if (const auto model = aConfig.models_.find(aModel);
      model != aConfig.models_.end()) {
    question.blockTokens_ = model->second.blockTokens_;
    question.kvBytesPerToken_ = model->second.kvBytesPerToken_;
    question.objective_ = model->second.objective_;
  }
  return question;
}

void
NoteHeld(State& aState,
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
