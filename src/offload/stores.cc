#include <algorithm>
#include <tuple>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "offload/handlers.h"

namespace lycheeplank::offload {

namespace {

constexpr absl::Duration kMinPollPeriod = absl::Seconds(1);
constexpr absl::Duration kMaxPollPeriod = absl::Seconds(10);
constexpr absl::Duration kPollPeriodPerHost = absl::Milliseconds(20);
// An eviction plan older than this is dropped.
constexpr absl::Duration kMaxPlanAge = absl::Minutes(1);
constexpr absl::Duration kFreedValuePeriod = absl::Minutes(1);
// A block's value depends on the returns expected within this time.
constexpr absl::Duration kReturnHorizon = absl::Hours(24 * 14);
// Idle time assumed for the oldest block in the store if its prompt is unknown
// to this host.
constexpr absl::Duration kMaxUnknownIdleTime = absl::Hours(24 * 7);

using detail::StepContext;

double
ConfiguredShare(const config::Config& aConfig, const std::string& aWorkspace)
{
  const auto found = aConfig.workspaces_.find(aWorkspace);
  return found == aConfig.workspaces_.end() ? 1.0 : found->second.share_;
}

void
EndEviction(StepContext& aStep, const std::string& aName, StoreState& aStore)
{
  auto& eviction = aStore.eviction_;
  if (!eviction.freed_.empty()) {
    aStep.effects_.emplace_back(
      ReportSightings{ aName, false, std::move(eviction.freed_) });
  }
  const auto after = eviction.after_;
  const auto underWay = eviction.pendingFrees_;
  eviction = Eviction();
  eviction.after_ = after;
  eviction.pendingFrees_ = underWay;
}

void
FetchNextPage(StepContext& aStep, const std::string& aName, StoreState& aStore)
{
  aStep.effects_.emplace_back(
    FetchInventory{ aName,
                    aStep.state_.config_->stores_.at(aName).url_,
                    aStore.eviction_.after_ });
}

void
BeginEviction(StepContext& aStep, const std::string& aName, StoreState& aStore)
{
  const auto capacity =
    detail::CapacityOf(aStep.state_.config_->stores_.at(aName));
  const auto bytes = retention::BytesToFree(aStore.usedBytes_, capacity);
  auto& eviction = aStore.eviction_;
  if (bytes == 0 || eviction.stage_ != EvictionStage::Idle ||
      eviction.pendingFrees_ > 0 || !OwnsStore(aStep.state_, aName)) {
    return;
  }
  eviction.stage_ = EvictionStage::Reading;
  eviction.bytesToFree_ = bytes;
  eviction.startedAt_ = aStep.now_;
  eviction.readFromStart_ = !eviction.after_;
  FetchNextPage(aStep, aName, aStore);
}

// Blocks of a store's inventory with the workspace usage from which their value
// is calculated.
struct Inventory
{
  std::vector<retention::EvictionCandidate> blocks_;
  std::vector<retention::WorkspaceUsage> usages_;
  // Names of the workspaces; empty for unknown prompts.
  std::vector<std::string> workspaceNames_;
  absl::flat_hash_map<std::string, std::uint32_t> indexes_;
};

// What the value of a prompt's blocks depends on. The workspace is empty if the
// prompt is unknown.
struct PromptView
{
  std::string workspace_;
  std::string model_;
  absl::Duration idle_ = absl::ZeroDuration();
};

// Generations of the oldest and the newest block.
struct GenerationRange
{
  std::uint64_t oldest_ = 0;
  std::uint64_t newest_ = 0;
};

GenerationRange
GenerationRangeOf(const std::vector<StoredBlock>& aBlocks)
{
  const auto [oldest, newest] = std::minmax_element(
    aBlocks.begin(),
    aBlocks.end(),
    [](const StoredBlock& aLeft, const StoredBlock& aRight) {
      return aLeft.generation_ < aRight.generation_;
    });
  return { oldest->generation_, newest->generation_ };
}

// Estimates the idle time of an unknown prompt from the age of its newest
// block, which is derived from the block's generation.
absl::Duration
EstimateIdleTime(const StoredBlock& aBlock, const GenerationRange& aRange)
{
  const auto range =
    std::max<std::uint64_t>(1, aRange.newest_ - aRange.oldest_);
  return kMaxUnknownIdleTime *
         (static_cast<double>(aRange.newest_ - aBlock.generation_) /
          static_cast<double>(range));
}

retention::WorkspaceUsage
MakeUsage(const State& aState,
          const std::string& aStore,
          const std::string& aWorkspace,
          const std::string& aModel)
{
  const auto& config = *aState.config_;
  retention::WorkspaceUsage usage;
  if (const auto histogram = aState.returns_.find(aWorkspace);
      histogram != aState.returns_.end()) {
    usage.returns_ = histogram->second;
  }
  auto candidate = detail::ExportCandidateFor(config, aModel);
  for (const auto& [name, target] : config.targets_) {
    if (target.serves_ == aModel) {
      candidate.prefillTokensPerSecond_ = target.prefillTokensPerSecond_;
      break;
    }
  }
  usage.savingPerByte_ = retention::SavingPerByte(
    candidate, config.stores_.at(aStore).linkBytesPerSecond_);
  return usage;
}

std::string
AnyModel(const config::Config& aConfig)
{
  return aConfig.models_.empty() ? "" : aConfig.models_.begin()->first;
}

// Sets the share of the store of each workspace in an inventory.
void
SetShares(const State& aState, std::uint64_t aCapacity, Inventory& aInventory)
{
  std::vector<double> shares;
  for (const auto& name : aInventory.workspaceNames_) {
    shares.push_back(ConfiguredShare(*aState.config_, name));
  }
  const auto bytes = retention::DivideByShares(aCapacity, shares);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    aInventory.usages_[i].shareBytes_ = bytes[i];
  }
}

// Sorts blocks by prompt and then by generation: blocks are written in the
// order of the prompt.
void
SortByPrompt(std::vector<StoredBlock>& aBlocks)
{
  std::sort(aBlocks.begin(),
            aBlocks.end(),
            [](const StoredBlock& aLeft, const StoredBlock& aRight) {
              return std::tie(aLeft.root_, aLeft.generation_) <
                     std::tie(aRight.root_, aRight.generation_);
            });
}

// Returns the index of a workspace in an inventory; adds it if it is new.
std::uint32_t
WorkspaceIndexOf(const State& aState,
                 const std::string& aStore,
                 const PromptView& aPrompt,
                 Inventory& aInventory)
{
  const auto [index, added] = aInventory.indexes_.try_emplace(
    aPrompt.workspace_, static_cast<std::uint32_t>(aInventory.usages_.size()));
  if (added) {
    aInventory.workspaceNames_.push_back(aPrompt.workspace_);
    aInventory.usages_.push_back(
      MakeUsage(aState, aStore, aPrompt.workspace_, aPrompt.model_));
  }
  return index->second;
}

// Returns the known properties of a prompt; aNewest is the prompt's newest
// block in the store.
PromptView
ViewPrompt(const StepContext& aStep,
           const StoredBlock& aNewest,
           const GenerationRange& aRange)
{
  const auto& state = aStep.state_;
  const auto found = state.promptByRoot_.find(aNewest.root_);
  if (found == state.promptByRoot_.end()) {
    return { "", AnyModel(*state.config_), EstimateIdleTime(aNewest, aRange) };
  }
  const auto& prompt = *found->second;
  return { prompt.workspace_, prompt.model_, aStep.now_ - prompt.lastRun_ };
}

// Makes an inventory of blocks that are sorted by SortByPrompt.
Inventory
MakeInventory(const StepContext& aStep,
              const std::string& aStore,
              const std::vector<StoredBlock>& aBlocks)
{
  const auto range = GenerationRangeOf(aBlocks);
  Inventory inventory;
  for (auto first = aBlocks.begin(); first != aBlocks.end();) {
    const auto end =
      std::find_if(first, aBlocks.end(), [&](const StoredBlock& aBlock) {
        return aBlock.root_ != first->root_;
      });
    const auto prompt = ViewPrompt(aStep, *std::prev(end), range);
    const auto index =
      WorkspaceIndexOf(aStep.state_, aStore, prompt, inventory);
    for (std::uint32_t position = 0; first != end; ++first, ++position) {
      inventory.usages_[index].usedBytes_ += first->bytes_;
      inventory.blocks_.push_back(
        { index, position, first->bytes_, prompt.idle_, false });
    }
  }
  return inventory;
}

// Replaces the recorded usage of workspaces by that in a complete inventory.
void
ReplaceWorkspaceUsage(StoreState& aStore, const Inventory& aInventory)
{
  aStore.workspaceBytes_.clear();
  for (std::size_t i = 0; i < aInventory.workspaceNames_.size(); ++i) {
    if (!aInventory.workspaceNames_[i].empty()) {
      aStore.workspaceBytes_[aInventory.workspaceNames_[i]] =
        aInventory.usages_[i].usedBytes_;
    }
  }
}

void
PlanFreeing(StepContext& aStep,
            const std::string& aName,
            StoreState& aStore,
            bool aComplete)
{
  auto& eviction = aStore.eviction_;
  if (eviction.blocks_.empty()) {
    EndEviction(aStep, aName, aStore);
    return;
  }
  SortByPrompt(eviction.blocks_);
  auto inventory = MakeInventory(aStep, aName, eviction.blocks_);
  SetShares(aStep.state_,
            detail::CapacityOf(aStep.state_.config_->stores_.at(aName)),
            inventory);
  if (aComplete) {
    ReplaceWorkspaceUsage(aStore, inventory);
  }
  const auto plan = retention::PlanEvictions(inventory.blocks_,
                                             inventory.usages_,
                                             eviction.bytesToFree_,
                                             kReturnHorizon);
  for (auto index = plan.blocks_.rbegin(); index != plan.blocks_.rend();
       ++index) {
    eviction.queue_.push_back(eviction.blocks_[*index]);
  }
  eviction.blocks_.clear();
  eviction.stage_ = EvictionStage::Freeing;
}

void
FreeNextBlocks(StepContext& aStep, const std::string& aName, StoreState& aStore)
{
  auto& eviction = aStore.eviction_;
  const auto& url = aStep.state_.config_->stores_.at(aName).url_;
  while (!eviction.queue_.empty() &&
         eviction.pendingFrees_ < kMaxFreesPerStore) {
    aStep.effects_.emplace_back(
      FreeBlock{ aName, url, eviction.queue_.back(), FreeReason::Eviction });
    eviction.queue_.pop_back();
    ++eviction.pendingFrees_;
  }
  if (eviction.queue_.empty() && eviction.pendingFrees_ == 0) {
    EndEviction(aStep, aName, aStore);
  }
}

// Removes a freed block from the records of a store.
void
RecordFreedBlock(State& aState, StoreState& aStore, const StoredBlock& aBlock)
{
  aStore.usedBytes_ -= std::min(aStore.usedBytes_, aBlock.bytes_);
  aState.held_.erase(aBlock.key_);
  const auto prompt = aState.promptByRoot_.find(aBlock.root_);
  if (prompt == aState.promptByRoot_.end()) {
    return;
  }
  if (const auto used = aStore.workspaceBytes_.find(prompt->second->workspace_);
      used != aStore.workspaceBytes_.end()) {
    used->second -= std::min(used->second, aBlock.bytes_);
  }
}

// Scales the recorded usage of workspaces down to the total that the store
// reports. Other hosts free blocks without informing this one.
void
ScaleDownUsage(StoreState& aStore)
{
  std::uint64_t total = 0;
  for (const auto& [name, bytes] : aStore.workspaceBytes_) {
    total += bytes;
  }
  if (total <= aStore.usedBytes_) {
    return;
  }
  const double part =
    static_cast<double>(aStore.usedBytes_) / static_cast<double>(total);
  for (auto& [name, bytes] : aStore.workspaceBytes_) {
    bytes = static_cast<std::uint64_t>(static_cast<double>(bytes) * part);
  }
}

// Returns the blocks that this host has exported to a store.
std::vector<StoredBlock>
HeldBlocksIn(const State& aState, const std::string& aStore)
{
  std::vector<StoredBlock> blocks;
  for (const auto& [key, held] : aState.held_) {
    if (held.store_ == aStore) {
      blocks.push_back(held.block_);
    }
  }
  return blocks;
}

std::uint64_t
TotalBytes(const std::vector<StoredBlock>& aBlocks)
{
  std::uint64_t bytes = 0;
  for (const auto& block : aBlocks) {
    bytes += block.bytes_;
  }
  return bytes;
}

// Recalculates the value per byte that new blocks have to exceed. The blocks
// that this host has exported serve as a sample of all blocks in the store, and
// the least valuable ones among them as a sample of those that are freed next.
void
UpdateFreedValue(StepContext& aStep,
                 const std::string& aName,
                 StoreState& aStore)
{
  if (aStep.now_ - aStore.freedValueAt_ < kFreedValuePeriod) {
    return;
  }
  aStore.freedValueAt_ = aStep.now_;
  aStore.freedValuePerByte_ = 0.0;
  const auto capacity = static_cast<double>(
    detail::CapacityOf(aStep.state_.config_->stores_.at(aName)));
  if (static_cast<double>(aStore.usedBytes_) <
      retention::kLowWaterMark * capacity) {
    return;
  }
  auto blocks = HeldBlocksIn(aStep.state_, aName);
  if (blocks.empty()) {
    return;
  }
  SortByPrompt(blocks);
  auto inventory = MakeInventory(aStep, aName, blocks);
  const auto bytes = TotalBytes(blocks);
  SetShares(aStep.state_, bytes, inventory);
  const auto freed = static_cast<std::uint64_t>(
    (retention::kHighWaterMark - retention::kLowWaterMark) *
    static_cast<double>(bytes));
  aStore.freedValuePerByte_ =
    retention::PlanEvictions(
      inventory.blocks_, inventory.usages_, freed, kReturnHorizon)
      .valuePerByte_;
}

bool
HasExports(const State& aState, const std::string& aStore)
{
  return std::any_of(
    aState.exports_.begin(), aState.exports_.end(), [&](const auto& aItem) {
      return aItem.second.store_ == aStore;
    });
}

} // namespace

bool
OwnsStore(const State& aState, absl::string_view aStore)
{
  const auto owners = core::RendezvousPick(aStore, aState.hosts_, 1);
  return !owners.empty() && owners[0] == aState.self_;
}

std::uint64_t
WorkspaceShareBytes(const State& aState,
                    const std::string& aStore,
                    const std::string& aWorkspace)
{
  const auto& config = *aState.config_;
  const double own = ConfiguredShare(config, aWorkspace);
  double total = own;
  for (const auto& [name, bytes] : aState.stores_.at(aStore).workspaceBytes_) {
    if (bytes > 0 && name != aWorkspace) {
      total += ConfiguredShare(config, name);
    }
  }
  const auto capacity =
    static_cast<double>(detail::CapacityOf(config.stores_.at(aStore)));
  return total > 0.0 ? static_cast<std::uint64_t>(capacity * own / total) : 0;
}

namespace detail {

std::uint64_t
CapacityOf(const config::Store& aStore)
{
  return aStore.memoryBytes_ + aStore.diskBytes_;
}

absl::Duration
StorePollPeriod(const State& aState)
{
  const auto period =
    kPollPeriodPerHost * static_cast<std::int64_t>(aState.hosts_.size());
  return std::clamp(period, kMinPollPeriod, kMaxPollPeriod);
}

bool
IsFresh(const State& aState, const StoreState& aStore, absl::Time aNow)
{
  return aStore.reached_ &&
         aNow - aStore.reportedAt_ <= 2 * StorePollPeriod(aState);
}

bool
IsDown(const StoreState& aStore)
{
  return !aStore.reached_ && aStore.reportedAt_ != absl::InfinitePast();
}

void
PollStores(StepContext& aStep)
{
  auto& state = aStep.state_;
  for (auto& [name, store] : state.stores_) {
    // A store that is down has to be polled although no export is planned for
    // it: otherwise this host would never detect that it is up again.
    const bool isNeeded =
      HasExports(state, name) || OwnsStore(state, name) || IsDown(store);
    if (aStep.now_ < store.nextPollAt_ || !isNeeded) {
      continue;
    }
    store.nextPollAt_ = aStep.now_ + StorePollPeriod(state);
    aStep.effects_.emplace_back(
      PollStore{ name, state.config_->stores_.at(name).url_ });
  }
}

void
Handle(StepContext& aStep, const StoreReported& aEvent)
{
  const auto found = aStep.state_.stores_.find(aEvent.store_);
  if (found == aStep.state_.stores_.end()) {
    return;
  }
  auto& store = found->second;
  store.reached_ = aEvent.reached_;
  store.reportedAt_ = aStep.now_;
  if (!aEvent.reached_) {
    return;
  }
  store.usedBytes_ = aEvent.usedBytes_;
  store.linkBacklogBytes_ = aEvent.linkBacklogBytes_;
  ScaleDownUsage(store);
  UpdateFreedValue(aStep, found->first, store);
  BeginEviction(aStep, found->first, store);
}

void
Handle(StepContext& aStep, const InventoryRead& aEvent)
{
  const auto found = aStep.state_.stores_.find(aEvent.store_);
  if (found == aStep.state_.stores_.end() ||
      found->second.eviction_.stage_ != EvictionStage::Reading) {
    return;
  }
  auto& store = found->second;
  auto& eviction = store.eviction_;
  if (!aEvent.reached_) {
    EndEviction(aStep, found->first, store);
    return;
  }
  const auto room = kMaxInventoryBlocks - eviction.blocks_.size();
  const auto taken = std::min(room, aEvent.blocks_.size());
  eviction.blocks_.insert(eviction.blocks_.end(),
                          aEvent.blocks_.begin(),
                          aEvent.blocks_.begin() +
                            static_cast<std::ptrdiff_t>(taken));
  const bool isLastPage = !aEvent.more_ || aEvent.blocks_.empty();
  eviction.after_ = isLastPage ? absl::optional<core::BlockKey>()
                               : eviction.blocks_.back().key_;
  if (!isLastPage && eviction.blocks_.size() < kMaxInventoryBlocks) {
    FetchNextPage(aStep, found->first, store);
    return;
  }
  PlanFreeing(
    aStep, found->first, store, isLastPage && eviction.readFromStart_);
}

void
Handle(StepContext& aStep, const FreeEnded& aEvent)
{
  aStep.effects_.emplace_back(
    Count{ Counter::Evictions,
           std::string(core::NameOf(kFreeResults, aEvent.result_)),
           1 });
  const auto found = aStep.state_.stores_.find(aEvent.store_);
  if (found == aStep.state_.stores_.end()) {
    return;
  }
  auto& store = found->second;
  auto& eviction = store.eviction_;
  if (aEvent.reason_ == FreeReason::Eviction) {
    eviction.pendingFrees_ -= std::min<std::size_t>(eviction.pendingFrees_, 1);
  }
  if (aEvent.result_ == FreeResult::Freed) {
    RecordFreedBlock(aStep.state_, store, aEvent.block_);
    eviction.freed_.push_back(aEvent.block_);
  }
  if (eviction.stage_ == EvictionStage::Freeing) {
    FreeNextBlocks(aStep, found->first, store);
  }
}

void
AdvanceEvictions(StepContext& aStep)
{
  for (auto& [name, store] : aStep.state_.stores_) {
    auto& eviction = store.eviction_;
    if (!eviction.freed_.empty()) {
      aStep.effects_.emplace_back(
        ReportSightings{ name, false, std::move(eviction.freed_) });
      eviction.freed_.clear();
    }
    if (eviction.stage_ == EvictionStage::Idle) {
      continue;
    }
    if (aStep.now_ - eviction.startedAt_ > kMaxPlanAge ||
        !OwnsStore(aStep.state_, name)) {
      EndEviction(aStep, name, store);
    } else if (eviction.stage_ == EvictionStage::Freeing) {
      FreeNextBlocks(aStep, name, store);
    }
  }
}

} // namespace detail

} // namespace lycheeplank::offload
