#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "offload/handlers.h"

namespace lycheeplank::offload {

namespace detail {

namespace {

// Removes stores, workspaces and targets that the configuration no longer
// contains.
void
RemoveUnconfigured(State& aState)
{
  const auto& config = *aState.config_;
  for (auto store = aState.stores_.begin(); store != aState.stores_.end();) {
    store = config.stores_.contains(store->first) ? std::next(store)
                                                  : aState.stores_.erase(store);
  }
  absl::erase_if(aState.returns_, [&](const auto& aItem) {
    return !config.workspaces_.contains(aItem.first);
  });
  absl::erase_if(aState.inflows_, [&](const auto& aItem) {
    return !config.targets_.contains(aItem.first);
  });
}

} // namespace

void
Handle(StepContext& aStep, const ConfigChanged& aEvent)
{
  auto& state = aStep.state_;
  const bool older = state.config_ != nullptr && aEvent.config_ != nullptr &&
                     aEvent.config_->revision_ < state.config_->revision_;
  if (aEvent.config_ == nullptr || older) {
    return;
  }
  state.config_ = aEvent.config_;
  RemoveUnconfigured(state);
  for (const auto& [name, store] : state.config_->stores_) {
    state.stores_[name];
  }
}

void
Handle(StepContext& aStep, const HostsChanged& aEvent)
{
  aStep.state_.hosts_ = aEvent.hosts_;
}

void
Handle(StepContext& aStep, const Tick&)
{
  if (aStep.state_.config_ == nullptr) {
    return;
  }
  PollStores(aStep);
  AdvanceExports(aStep);
  AdvanceEvictions(aStep);
}

} // namespace detail

State
Start(absl::string_view aSelf)
{
  State state;
  state.self_ = std::string(aSelf);
  return state;
}

Effects
Step(State& aState, const Event& aEvent)
{
  detail::StepContext step{ aState, aEvent.now_, {} };
  std::visit([&](const auto& aBody) { detail::Handle(step, aBody); },
             aEvent.body_);
  return std::move(step.effects_);
}

std::string
BrokenInvariant(const State& aState)
{
  if (aState.prompts_.size() > kMaxPrompts ||
      aState.prompts_.size() != aState.promptByRoot_.size()) {
    return absl::StrCat("too many prompts, or prompts without index: ",
                        aState.prompts_.size());
  }
  if (aState.exports_.size() > kMaxExports) {
    return absl::StrCat("too many exports: ", aState.exports_.size());
  }
  if (aState.held_.size() > kMaxHeldBlocks ||
      aState.heldOrder_.size() > kMaxHeldBlocks) {
    return absl::StrCat("too many held blocks: ", aState.held_.size());
  }
  absl::flat_hash_map<std::string, std::size_t> byEngine;
  absl::flat_hash_map<std::string, std::size_t> byStore;
  for (const auto& [id, item] : aState.exports_) {
    if (item.attempts_ > kMaxAttempts) {
      return absl::StrCat(
        "too many attempts of export ", id, ": ", item.attempts_);
    }
    if (item.stage_ != ExportStage::Waiting &&
        (++byEngine[item.target_] > kMaxExportsPerEngine ||
         ++byStore[item.store_] > kMaxExportsPerStore)) {
      return absl::StrCat("too many concurrent exports, including export ", id);
    }
  }
  for (const auto& [name, store] : aState.stores_) {
    if (store.eviction_.blocks_.size() > kMaxInventoryBlocks ||
        store.eviction_.pendingFrees_ > kMaxFreesPerStore) {
      return absl::StrCat(
        "too many blocks or pending frees in the eviction of store ", name);
    }
  }
  return "";
}

} // namespace lycheeplank::offload
