#ifndef LYCHEEPLANK_TEST_TRACE_ENGINES_H
#define LYCHEEPLANK_TEST_TRACE_ENGINES_H

#include "stores.h"

// Simulates runs on engines and the exports that follow them.
namespace lycheeplank::trace {

inline void
StartPrefill(Trace& aTrace, std::uint32_t aEngine);

inline void
Enqueue(Trace& aTrace, std::uint32_t aRun)
{
  const Run& run = aTrace.runs_[aRun];
  Engine& engine = aTrace.engines_[run.engine_];
  const bool interactive =
    aTrace.workload_->arrivals_[run.arrival_].interactive_;
  (interactive ? engine.interactive_ : engine.batch_).push_back(aRun);
  StartPrefill(aTrace, run.engine_);
}

// Returns the tokens that an engine has to compute for a run that starts now.
inline std::uint64_t
TokensToCompute(const Trace& aTrace, const Run& aRun)
{
  const auto& arrival = aTrace.workload_->arrivals_[aRun.arrival_];
  const auto& prompt = aTrace.workload_->prompts_[arrival.prompt_];
  auto present = LeadingBlocksInEngine(
    aTrace.engines_[aRun.engine_], arrival.prompt_, prompt.blocks_);
  if (present >= aRun.firstImport_) {
    present = std::max(present, aRun.firstImport_ + aRun.imported_);
  }
  return std::uint64_t{ prompt.blocks_ - present } * kBlockTokens +
         prompt.tailTokens_;
}

inline void
CountTokens(Trace& aTrace, const Run& aRun, std::uint64_t aTokens)
{
  const auto& arrival = aTrace.workload_->arrivals_[aRun.arrival_];
  const auto& prompt = aTrace.workload_->prompts_[arrival.prompt_];
  auto& history = aTrace.history_[arrival.prompt_];
  if (history.ran_ && IsMeasured(aTrace)) {
    aTrace.repeatedTokens_ += std::uint64_t{ prompt.blocks_ } * kBlockTokens;
    aTrace.recomputedTokens_ += aTokens - prompt.tailTokens_;
  }
}

inline void
StartPrefill(Trace& aTrace, std::uint32_t aEngine)
{
  Engine& engine = aTrace.engines_[aEngine];
  auto& queue =
    engine.interactive_.empty() ? engine.batch_ : engine.interactive_;
  if (engine.busy_ || queue.empty()) {
    return;
  }
  const std::uint32_t index = queue.front();
  queue.pop_front();
  const Run& run = aTrace.runs_[index];
  engine.queuedTokens_ -= run.expectedTokens_;
  --engine.waiting_;
  const auto tokens = TokensToCompute(aTrace, run);
  CountTokens(aTrace, run, tokens);
  engine.busy_ = true;
  engine.busyUntil_ =
    aTrace.now_ + static_cast<double>(tokens) / aTrace.workload_->prefillRate_;
  aTrace.prefilling_[aEngine] = index;
  Schedule(aTrace, engine.busyUntil_, EventKind::PrefillEnd, aEngine);
}

// Adds the blocks of a run to its engine's cache.
inline void
CacheBlocks(Trace& aTrace, const Run& aRun)
{
  Engine& engine = aTrace.engines_[aRun.engine_];
  const auto prompt = aTrace.workload_->arrivals_[aRun.arrival_].prompt_;
  const auto id = EngineId(aTrace, aRun.engine_);
  // The last block is added first, so that the first one is evicted last.
  for (auto i = aTrace.workload_->prompts_[prompt].blocks_; i-- > 0;) {
    Touch(engine, MakeBlockId(prompt, i), aTrace.now_);
    directory::Apply(
      aTrace.directory_, id, SightingOf(MakeBlockId(prompt, i), true));
  }
  while (engine.recent_.size() > aTrace.workload_->cacheBlocks_) {
    const auto evicted = EvictLeastRecentlyUsed(engine, aTrace.now_);
    directory::Apply(aTrace.directory_, id, SightingOf(evicted, false));
  }
}

inline std::uint32_t
LeadingBlocksInStore(const Trace& aTrace,
                     std::uint32_t aStore,
                     std::uint32_t aPrompt)
{
  const auto& blocks = aTrace.stores_[aStore].blocks_;
  std::uint32_t leading = 0;
  while (leading < aTrace.workload_->prompts_[aPrompt].blocks_ &&
         blocks.contains(MakeBlockId(aPrompt, leading))) {
    ++leading;
  }
  return leading;
}

inline std::vector<retention::StoreView>
StoreViews(const Trace& aTrace, std::uint32_t aPrompt)
{
  const auto workspace = aTrace.workload_->prompts_[aPrompt].workspace_;
  std::vector<retention::StoreView> views;
  for (std::uint32_t i = 0; i < aTrace.stores_.size(); ++i) {
    const Store& store = aTrace.stores_[i];
    if (!aTrace.hosts_[0].stores_[i].alive_) {
      continue;
    }
    retention::StoreView view;
    view.name_ = aTrace.storeNames_[i];
    view.heldBlocks_ = LeadingBlocksInStore(aTrace, i, aPrompt);
    view.capacityBytes_ = aTrace.workload_->storeBytes_;
    view.usedBytes_ = UsedBytes(store);
    view.workspaceBytes_ = store.bytesByWorkspace_[workspace];
    view.workspaceShareBytes_ =
      view.capacityBytes_ / aTrace.workload_->workspaces_;
    view.timeToFree_ = absl::Seconds(kHorizonSeconds);
    view.linkBytesPerSecond_ = aTrace.linkRates_[i];
    view.queuedBytes_ = store.queuedImportBytes_ + store.queuedExportBytes_;
    view.freedValuePerByte_ = store.freedValue_;
    views.push_back(view);
  }
  return views;
}

// Plans the export of all blocks, as the baseline does: to the store that holds
// most of the prompt, or else to the one chosen by the prompt's hash.
inline absl::optional<retention::ExportPlan>
ExportAll(const Trace& aTrace, std::uint32_t aPrompt)
{
  const auto views = StoreViews(aTrace, aPrompt);
  const auto hash = core::StableHash(std::to_string(aPrompt));
  const auto best = std::max_element(
    views.begin(), views.end(), [&](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.heldBlocks_, core::StableHash(aLeft.name_, hash)) <
             std::pair(aRight.heldBlocks_,
                       core::StableHash(aRight.name_, hash));
    });
  const auto blocks = aTrace.workload_->prompts_[aPrompt].blocks_;
  if (best == views.end() || best->heldBlocks_ >= blocks) {
    return absl::nullopt;
  }
  retention::ExportPlan plan;
  plan.store_ = std::string(best->name_);
  plan.firstBlock_ = best->heldBlocks_;
  plan.blocks_ = blocks - best->heldBlocks_;
  plan.bytes_ = plan.blocks_ * kBlockBytes;
  return plan;
}

inline absl::optional<retention::ExportPlan>
ExportsAfter(const Trace& aTrace, const Run& aRun)
{
  const auto prompt = aTrace.workload_->arrivals_[aRun.arrival_].prompt_;
  switch (aTrace.settings_.exportPolicy_) {
    case ExportPolicy::Nothing:
      return absl::nullopt;
    case ExportPolicy::All:
      return ExportAll(aTrace, prompt);
    case ExportPolicy::Planned:
      break;
  }
  auto candidate = ExportCandidateFor(aTrace, prompt);
  candidate.timeToEviction_ =
    absl::Seconds(aTrace.engines_[aRun.engine_].evictionAgeSeconds_);
  return retention::PlanExport(candidate, StoreViews(aTrace, prompt));
}

inline void
ExportBlocks(Trace& aTrace, const Run& aRun)
{
  const auto prompt = aTrace.workload_->arrivals_[aRun.arrival_].prompt_;
  const auto plan = ExportsAfter(aTrace, aRun);
  if (!plan) {
    return;
  }
  TransferJob job;
  job.engine_ = aRun.engine_;
  for (std::uint32_t i = 0; i < plan->blocks_; ++i) {
    job.blocks_.push_back(MakeBlockId(prompt, plan->firstBlock_ + i));
  }
  retention::Transfer transfer;
  transfer.kind_ = retention::TransferKind::Export;
  transfer.bytes_ = plan->bytes_;
  transfer.queuedAt_ = AsTime(aTrace.now_);
  transfer.latestStart_ = transfer.queuedAt_ + plan->startWithin_;
  if (aTrace.settings_.exportPolicy_ == ExportPolicy::Planned) {
    transfer.valuePerByte_ = plan->valuePerByte_;
  }
  AddTransfer(aTrace, IndexOf(plan->store_), transfer, std::move(job));
}

// Updates the time of last use of a prompt's blocks in all stores.
inline void
RecordUse(Trace& aTrace, std::uint32_t aPrompt)
{
  for (auto& store : aTrace.stores_) {
    for (std::uint32_t i = 0; i < aTrace.workload_->prompts_[aPrompt].blocks_;
         ++i) {
      if (const auto found = store.blocks_.find(MakeBlockId(aPrompt, i));
          found != store.blocks_.end()) {
        found->second.usedAt_ = aTrace.now_;
      }
    }
  }
}

inline void
OnPrefillEnd(Trace& aTrace, std::uint32_t aEngine)
{
  const Run run = aTrace.runs_[aTrace.prefilling_[aEngine]];
  const auto& arrival = aTrace.workload_->arrivals_[run.arrival_];
  aTrace.engines_[aEngine].busy_ = false;
  if (IsMeasured(aTrace) && arrival.at_ >= aTrace.workload_->warmUp_) {
    ++aTrace.outcome_.runs_;
    if (arrival.interactive_) {
      aTrace.ttfts_.push_back(aTrace.now_ + kOneWaySeconds - arrival.at_);
    } else if (aTrace.now_ > arrival.deadline_) {
      ++aTrace.outcome_.missedDeadlines_;
    }
  }
  auto& history = aTrace.history_[arrival.prompt_];
  history.ran_ = true;
  history.abandoned_ = false;
  history.lastRun_ = aTrace.now_;
  CacheBlocks(aTrace, run);
  RecordUse(aTrace, arrival.prompt_);
  ExportBlocks(aTrace, run);
  StartPrefill(aTrace, aEngine);
}

} // namespace lycheeplank::trace

#endif
