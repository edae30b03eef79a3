#include <algorithm>
#include <tuple>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include "offload/handlers.h"

namespace lycheeplank::offload {

namespace {

constexpr absl::Duration kMinAskPeriod = absl::Seconds(1);
constexpr absl::Duration kMaxAskPeriod = absl::Seconds(10);
constexpr absl::Duration kAskPeriodPerHost = absl::Milliseconds(20);
// A plan to free blocks that is older is dropped.
constexpr absl::Duration kMaxPlanAge = absl::Minutes(1);
constexpr absl::Duration kValuePeriod = absl::Minutes(1);
// Returns within this time count for a block's value.
constexpr absl::Duration kHorizon = absl::Hours(24 * 14);
// Idle time of the oldest block whose prompt this host doesn't know.
constexpr absl::Duration kUnknownIdle = absl::Hours(24 * 7);

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
FetchNext(StepContext& aStep, const std::string& aName, StoreState& aStore)
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
  eviction.fromStart_ = !eviction.after_;
  FetchNext(aStep, aName, aStore);
}

// Blocks of a store's inventory with what their value depends on.
struct Inventory
{
  std::vector<retention::EvictionCandidate> blocks_;
  std::vector<retention::WorkspaceUsage> uses_;
  // Names of the workspaces; empty where the prompt isn't known.
  std::vector<std::string> names_;
  absl::flat_hash_map<std::string, std::uint32_t> indexes_;
};

// What the value of a prompt's blocks depends on; the workspace is empty if
// the prompt isn't known.
struct PromptView
{
  std::string workspace_;
  std::string model_;
  absl::Duration idle_ = absl::ZeroDuration();
};

// Generations of the oldest and the newest block.
struct Generations
{
  std::uint64_t oldest_ = 0;
  std::uint64_t newest_ = 0;
};

Generations
GenerationsOf(const std::vector<StoredBlock>& aBlocks)
{
  const auto [oldest, newest] = std::minmax_element(
    aBlocks.begin(),
    aBlocks.end(),
    [](const StoredBlock& aLeft, const StoredBlock& aRight) {
      return aLeft.generation_ < aRight.generation_;
    });
  return { oldest->generation_, newest->generation_ };
}

// Unknown prompts are judged by the age of their newest block, which its
// generation shows.
absl::Duration
UnknownIdle(const StoredBlock& aBlock, const Generations& aSpan)
{
  const auto span = std::max<std::uint64_t>(1, aSpan.newest_ - aSpan.oldest_);
  return kUnknownIdle *
         (static_cast<double>(aSpan.newest_ - aBlock.generation_) /
          static_cast<double>(span));
}

retention::WorkspaceUsage
MakeUse(const State& aState,
        const std::string& aStore,
        const std::string& aWorkspace,
        const std::string& aModel)
{
  const auto& config = *aState.config_;
  retention::WorkspaceUsage use;
  if (const auto gaps = aState.returns_.find(aWorkspace);
      gaps != aState.returns_.end()) {
    use.returns_ = gaps->second;
  }
  auto question = detail::ExportCandidateFor(config, aModel);
  for (const auto& [name, target] : config.targets_) {
    if (target.serves_ == aModel) {
      question.prefillTokensPerSecond_ = target.prefillTokensPerSecond_;
      break;
    }
  }
  use.savingPerByte_ = retention::SavingPerByte(
    question, config.stores_.at(aStore).linkBytesPerSecond_);
  return use;
}

std::string
AnyModel(const config::Config& aConfig)
{
  return aConfig.models_.empty() ? "" : aConfig.models_.begin()->first;
}

// Gives each workspace in an inventory its part of the store.
void
SetShares(const State& aState, std::uint64_t aCapacity, Inventory& aInventory)
{
  std::vector<double> shares;
  for (const auto& name : aInventory.names_) {
    shares.push_back(ConfiguredShare(*aState.config_, name));
  }
  const auto bytes = retention::DivideByShares(aCapacity, shares);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    aInventory.uses_[i].shareBytes_ = bytes[i];
  }
}

// Puts the blocks of each prompt into the order in which they were written,
// which is that of the prompt.
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

// Returns the position of a workspace in an inventory; adds it if it is new.
std::uint32_t
IndexOf(const State& aState,
        const std::string& aStore,
        const PromptView& aPrompt,
        Inventory& aInventory)
{
  const auto [index, added] = aInventory.indexes_.try_emplace(
    aPrompt.workspace_, static_cast<std::uint32_t>(aInventory.uses_.size()));
  if (added) {
    aInventory.names_.push_back(aPrompt.workspace_);
    aInventory.uses_.push_back(
      MakeUse(aState, aStore, aPrompt.workspace_, aPrompt.model_));
  }
  return index->second;
}

// Returns what is known of the prompt that a block belongs to; aNewest is the
// prompt's newest block in the store.
PromptView
ViewPrompt(const StepContext& aStep,
           const StoredBlock& aNewest,
           const Generations& aSpan)
{
  const auto& state = aStep.state_;
  const auto found = state.promptByRoot_.find(aNewest.root_);
  if (found == state.promptByRoot_.end()) {
    return { "", AnyModel(*state.config_), UnknownIdle(aNewest, aSpan) };
  }
  const auto& prompt = *found->second;
  return { prompt.workspace_, prompt.model_, aStep.now_ - prompt.lastRun_ };
}

// Takes the blocks in the order of SortByPrompt.
Inventory
MakeInventory(const StepContext& aStep,
              const std::string& aStore,
              const std::vector<StoredBlock>& aBlocks)
{
  const auto span = GenerationsOf(aBlocks);
  Inventory inventory;
  for (auto first = aBlocks.begin(); first != aBlocks.end();) {
    const auto end =
      std::find_if(first, aBlocks.end(), [&](const StoredBlock& aBlock) {
        return aBlock.root_ != first->root_;
      });
    const auto prompt = ViewPrompt(aStep, *std::prev(end), span);
    const auto index = IndexOf(aStep.state_, aStore, prompt, inventory);
    for (std::uint32_t position = 0; first != end; ++first, ++position) {
      inventory.uses_[index].usedBytes_ += first->bytes_;
      inventory.blocks_.push_back(
        { index, position, first->bytes_, prompt.idle_, false });
    }
  }
  return inventory;
}

// Takes over what workspaces use, as a whole inventory shows it.
void
TakeUse(StoreState& aStore, const Inventory& aInventory)
{
  aStore.workspaceBytes_.clear();
  for (std::size_t i = 0; i < aInventory.names_.size(); ++i) {
    if (!aInventory.names_[i].empty()) {
      aStore.workspaceBytes_[aInventory.names_[i]] =
        aInventory.uses_[i].usedBytes_;
    }
  }
}

void
PlanFrees(StepContext& aStep,
          const std::string& aName,
          StoreState& aStore,
          bool aWhole)
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
  if (aWhole) {
    TakeUse(aStore, inventory);
  }
  const auto plan = retention::PlanEvictions(
    inventory.blocks_, inventory.uses_, eviction.bytesToFree_, kHorizon);
  for (auto index = plan.blocks_.rbegin(); index != plan.blocks_.rend();
       ++index) {
    eviction.queue_.push_back(eviction.blocks_[*index]);
  }
  eviction.blocks_.clear();
  eviction.stage_ = EvictionStage::Freeing;
}

void
FreeNext(StepContext& aStep, const std::string& aName, StoreState& aStore)
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

// Takes a freed block out of all that is known of a store.
void
NoteFreed(State& aState, StoreState& aStore, const StoredBlock& aBlock)
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

// Other hosts free blocks unseen: what workspaces are thought to use is at
// most what the store reports.
void
LimitUse(StoreState& aStore)
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

// Returns the blocks that this host has put into a store.
std::vector<StoredBlock>
HeldIn(const State& aState, const std::string& aStore)
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
BytesOf(const std::vector<StoredBlock>& aBlocks)
{
  std::uint64_t bytes = 0;
  for (const auto& block : aBlocks) {
    bytes += block.bytes_;
  }
  return bytes;
}

// Works out anew which value blocks have to exceed. The blocks that this host
// has exported stand for all in the store; their least valuable ones for those
// that are freed next.
void
ValueStore(StepContext& aStep, const std::string& aName, StoreState& aStore)
{
  if (aStep.now_ - aStore.freedValueAt_ < kValuePeriod) {
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
  auto blocks = HeldIn(aStep.state_, aName);
  if (blocks.empty()) {
    return;
  }
  SortByPrompt(blocks);
  auto inventory = MakeInventory(aStep, aName, blocks);
  const auto bytes = BytesOf(blocks);
  SetShares(aStep.state_, bytes, inventory);
  const auto freed = static_cast<std::uint64_t>(
    (retention::kHighWaterMark - retention::kLowWaterMark) *
    static_cast<double>(bytes));
  aStore.freedValuePerByte_ =
    retention::PlanEvictions(
      inventory.blocks_, inventory.uses_, freed, kHorizon)
      .valuePerByte_;
}

bool
IsUsed(const State& aState, const std::string& aStore)
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
    kAskPeriodPerHost * static_cast<std::int64_t>(aState.hosts_.size());
  return std::clamp(period, kMinAskPeriod, kMaxAskPeriod);
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
    // Nothing is planned for a store that is down, so it has to be asked, or
    // this host would never hear that it is back.
    const bool wanted =
      IsUsed(state, name) || OwnsStore(state, name) || IsDown(store);
    if (aStep.now_ < store.nextPollAt_ || !wanted) {
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
  LimitUse(store);
  ValueStore(aStep, found->first, store);
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
  const bool atEnd = !aEvent.more_ || aEvent.blocks_.empty();
  eviction.after_ =
    atEnd ? absl::optional<core::BlockKey>() : eviction.blocks_.back().key_;
  if (!atEnd && eviction.blocks_.size() < kMaxInventoryBlocks) {
    FetchNext(aStep, found->first, store);
    return;
  }
  PlanFrees(aStep, found->first, store, atEnd && eviction.fromStart_);
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
    NoteFreed(aStep.state_, store, aEvent.block_);
    eviction.freed_.push_back(aEvent.block_);
  }
  if (eviction.stage_ == EvictionStage::Freeing) {
    FreeNext(aStep, found->first, store);
  }
}

void
DriveEvictions(StepContext& aStep)
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
      FreeNext(aStep, name, store);
    }
  }
}

} // namespace detail

} // namespace lycheeplank::offload
