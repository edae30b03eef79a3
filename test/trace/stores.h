#ifndef LYCHEEPLANK_TEST_TRACE_STORES_H
#define LYCHEEPLANK_TEST_TRACE_STORES_H

#include "state.h"

// Simulates which blocks stores hold and in which order their links transfer.
namespace lycheeplank::trace {

inline void
RemoveStored(Trace& aTrace, std::uint32_t aStore, BlockId aBlock)
{
  Store& store = aTrace.stores_[aStore];
  if (store.blocks_.erase(aBlock) == 0) {
    return;
  }
  const auto& prompt = aTrace.workload_->prompts_[PromptOf(aBlock)];
  store.bytesByWorkspace_[prompt.workspace_] -= kBlockBytes;
  directory::Apply(
    aTrace.directory_, StoreId(aTrace, aStore), SightingOf(aBlock, false));
}

inline std::uint64_t
UsedBytes(const Store& aStore)
{
  return aStore.blocks_.size() * kBlockBytes;
}

// Returns the parameters from which the value of a prompt's blocks is
// calculated.
inline retention::ExportCandidate
ExportCandidateFor(const Trace& aTrace, std::uint32_t aPrompt)
{
  const auto& prompt = aTrace.workload_->prompts_[aPrompt];
  retention::ExportCandidate candidate;
  candidate.blocks_ = prompt.blocks_;
  candidate.blockTokens_ = kBlockTokens;
  candidate.kvBytesPerToken_ = kKvBytesPerToken;
  candidate.objective_ = aTrace.workload_->objective_;
  candidate.prefillTokensPerSecond_ = aTrace.workload_->prefillRate_;
  candidate.returns_ = aTrace.returns_[prompt.workspace_];
  candidate.promptHash_ = core::StableHash(std::to_string(aPrompt));
  return candidate;
}

inline std::vector<retention::WorkspaceUsage>
WorkspaceUsages(const Trace& aTrace, const Store& aStore)
{
  const auto& workload = *aTrace.workload_;
  const auto shares = retention::DivideByShares(
    workload.storeBytes_, std::vector<double>(workload.workspaces_, 1.0));
  const auto candidate = ExportCandidateFor(aTrace, 0);
  std::vector<retention::WorkspaceUsage> usages(workload.workspaces_);
  for (std::uint32_t i = 0; i < workload.workspaces_; ++i) {
    usages[i].returns_ = aTrace.returns_[i];
    usages[i].usedBytes_ = aStore.bytesByWorkspace_[i];
    usages[i].shareBytes_ = shares[i];
    usages[i].savingPerByte_ =
      retention::SavingPerByte(candidate, aStore.rate_);
  }
  return usages;
}

inline std::vector<BlockId>
StoredIds(const Store& aStore)
{
  std::vector<BlockId> ids;
  for (const auto& [id, block] : aStore.blocks_) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

inline retention::EvictionPlan
PlanFreeing(const Trace& aTrace,
            const Store& aStore,
            const std::vector<BlockId>& aIds,
            std::uint64_t aBytes)
{
  std::vector<retention::EvictionCandidate> candidates;
  for (const auto id : aIds) {
    const double idle = aTrace.now_ - aStore.blocks_.at(id).usedAt_;
    candidates.push_back({ aTrace.workload_->prompts_[PromptOf(id)].workspace_,
                           PositionOf(id),
                           kBlockBytes,
                           absl::Seconds(idle) });
  }
  return retention::PlanEvictions(candidates,
                                  WorkspaceUsages(aTrace, aStore),
                                  aBytes,
                                  absl::Seconds(kHorizonSeconds));
}

inline void
FreePlanned(Trace& aTrace, std::uint32_t aStore, std::uint64_t aBytes)
{
  const auto ids = StoredIds(aTrace.stores_[aStore]);
  const auto plan = PlanFreeing(aTrace, aTrace.stores_[aStore], ids, aBytes);
  for (const auto index : plan.blocks_) {
    RemoveStored(aTrace, aStore, ids[index]);
  }
}

// Recalculates the value per byte that new blocks have to exceed.
inline void
UpdateFreedValue(Trace& aTrace, Store& aStore)
{
  constexpr double kPart = retention::kHighWaterMark - retention::kLowWaterMark;
  const auto capacity = static_cast<double>(aTrace.workload_->storeBytes_);
  const auto used = static_cast<double>(UsedBytes(aStore));
  aStore.freedValue_ = 0.0;
  if (used >= retention::kLowWaterMark * capacity) {
    const auto bytes = static_cast<std::uint64_t>(kPart * capacity);
    aStore.freedValue_ =
      PlanFreeing(aTrace, aStore, StoredIds(aStore), bytes).valuePerByte_;
  }
}

inline void
FreeLeastRecentlyUsed(Trace& aTrace, std::uint32_t aStore, std::uint64_t aBytes)
{
  Store& store = aTrace.stores_[aStore];
  std::vector<std::pair<double, BlockId>> byAge;
  for (const auto& [id, block] : store.blocks_) {
    byAge.emplace_back(block.usedAt_, id);
  }
  std::sort(byAge.begin(), byAge.end());
  const auto count =
    std::min<std::size_t>(byAge.size(), aBytes / kBlockBytes + 1);
  for (std::size_t i = 0; i < count; ++i) {
    RemoveStored(aTrace, aStore, byAge[i].second);
  }
}

inline void
AddStored(Trace& aTrace, std::uint32_t aStore, BlockId aBlock)
{
  Store& store = aTrace.stores_[aStore];
  const auto bytes =
    retention::BytesToFree(UsedBytes(store), aTrace.workload_->storeBytes_);
  if (bytes > 0 && aTrace.settings_.exportPolicy_ == ExportPolicy::Planned) {
    FreePlanned(aTrace, aStore, bytes);
  } else if (bytes > 0) {
    FreeLeastRecentlyUsed(aTrace, aStore, bytes);
  }
  const auto& prompt = aTrace.workload_->prompts_[PromptOf(aBlock)];
  const auto generation = store.nextGeneration_++;
  if (store.blocks_.emplace(aBlock, StoredBlock{ generation, aTrace.now_ })
        .second) {
    store.bytesByWorkspace_[prompt.workspace_] += kBlockBytes;
  }
  directory::Apply(aTrace.directory_,
                   StoreId(aTrace, aStore),
                   SightingOf(aBlock, true, generation));
}

inline std::uint64_t&
QueuedBytesOf(Store& aStore, retention::TransferKind aKind)
{
  return aKind == retention::TransferKind::Export ? aStore.queuedExportBytes_
                                                  : aStore.queuedImportBytes_;
}

// Drops waiting exports whose blocks the engine has evicted.
inline void
DropLateExports(Trace& aTrace, Store& aStore)
{
  for (std::size_t i = aStore.waiting_.size(); i-- > 0;) {
    const auto offset = static_cast<std::ptrdiff_t>(i);
    const TransferJob& job = aStore.jobs_[i];
    if (aStore.waiting_[i].kind_ != retention::TransferKind::Export ||
        aTrace.engines_[job.engine_].cache_.contains(job.blocks_.front())) {
      continue;
    }
    aStore.queuedExportBytes_ -= aStore.waiting_[i].bytes_;
    aStore.waiting_.erase(aStore.waiting_.begin() + offset);
    aStore.jobs_.erase(aStore.jobs_.begin() + offset);
  }
}

inline void
StartTransfer(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  if (store.busy_) {
    return;
  }
  DropLateExports(aTrace, store);
  if (store.waiting_.empty()) {
    return;
  }
  const auto next =
    *retention::NextTransfer(store.waiting_, store.use_, AsTime(aTrace.now_));
  const auto offset = static_cast<std::ptrdiff_t>(next);
  store.current_ = store.waiting_[next];
  store.currentJob_ = std::move(store.jobs_[next]);
  store.waiting_.erase(store.waiting_.begin() + offset);
  store.jobs_.erase(store.jobs_.begin() + offset);
  store.busy_ = true;
  store.currentStart_ = aTrace.now_;
  const double seconds =
    store.alive_ ? static_cast<double>(store.current_.bytes_) / store.rate_
                 : kImportTimeoutSeconds;
  Schedule(aTrace, aTrace.now_ + seconds, EventKind::TransferEnd, aStore);
}

inline void
AddTransfer(Trace& aTrace,
            std::uint32_t aStore,
            const retention::Transfer& aTransfer,
            TransferJob aJob)
{
  Store& store = aTrace.stores_[aStore];
  QueuedBytesOf(store, aTransfer.kind_) += aTransfer.bytes_;
  store.waiting_.push_back(aTransfer);
  store.jobs_.push_back(std::move(aJob));
  StartTransfer(aTrace, aStore);
}

} // namespace lycheeplank::trace

#endif
