#ifndef LYCHEEPLANK_TEST_TRACE_RUNNER_H
#define LYCHEEPLANK_TEST_TRACE_RUNNER_H

#include <limits>
#include <queue>
#include <string>
#include <vector>

#include "fakes.h"
#include "lycheeplank/directory.h"
#include "lycheeplank/placement.h"

// Plays a trace against the fakes with one set of rules.
namespace lycheeplank::trace {

enum class Keeping
{
  // No exports.
  Nothing,
  // Exports all, frees the least recently used.
  All,
  // keeping::PlanExport and keeping::PlanEvictions.
  Planned,
};

enum class Fault
{
  None,
  // The first store dies at the end of the warm-up.
  DeadStore,
  // The first store's link gets ten times slower at the end of the warm-up.
  SlowLink,
};

struct Rules
{
  config::Policy policy_ = config::Policy::Estimate;
  Keeping keeping_ = Keeping::Planned;
  placement::Tuning tuning_;
  Fault fault_ = Fault::None;
  std::uint32_t hosts_ = 8;
  // Time between two load reports of an engine to a host.
  double reportPeriod_ = 0.5;
  // Whether hosts count what they sent since a report.
  bool ownWork_ = true;
};

struct Outcome
{
  double p50_ = 0.0;
  double p95_ = 0.0;
  double mean_ = 0.0;
  // Tokens computed again, as a part of those that had been computed before.
  double recomputed_ = 0.0;
  double importedGigabytes_ = 0.0;
  double exportedGigabytes_ = 0.0;
  std::uint32_t missedDeadlines_ = 0;
  std::uint32_t runs_ = 0;
};

// What a host believes of one engine.
struct Belief
{
  placement::LoadReport report_;
  double reportedAt_ = 0.0;
  std::vector<placement::SentRun> sent_;
};

// What a host believes of one store.
struct StoreBelief
{
  std::uint64_t queuedBytes_ = 0;
  double linkRate_ = 0.0;
  bool alive_ = true;
};

struct Host
{
  std::vector<Belief> engines_;
  std::vector<StoreBelief> stores_;
  // This host's position among each engine's followers.
  std::vector<std::uint32_t> ranks_;
  std::uint64_t sentRuns_ = 0;
};

enum class EventKind
{
  Arrival,
  Report,
  ImportEnd,
  PrefillEnd,
  TransferEnd,
  Fault,
  Sweep,
};

struct Event
{
  double at_ = 0.0;
  std::uint64_t order_ = 0;
  EventKind kind_ = EventKind::Arrival;
  std::uint32_t index_ = 0;

  friend bool operator>(const Event& aLeft, const Event& aRight)
  {
    return aLeft.at_ != aRight.at_ ? aLeft.at_ > aRight.at_
                                   : aLeft.order_ > aRight.order_;
  }
};

// What is known of a prompt's past.
struct History
{
  bool ran_ = false;
  bool gone_ = false;
  double lastRun_ = 0.0;
};

struct Trace
{
  const Shape* shape_ = nullptr;
  Rules rules_;
  Random random_;
  double now_ = 0.0;
  std::uint64_t nextOrder_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Engine> engines_;
  std::vector<Store> stores_;
  std::vector<placement::LinkView> links_;
  std::vector<std::string> engineNames_;
  std::vector<std::string> storeNames_;
  std::vector<Host> hosts_;
  std::vector<Run> runs_;
  std::vector<std::uint32_t> prefilling_;
  std::vector<History> history_;
  std::vector<keeping::GapCounts> gaps_;
  std::vector<std::uint32_t> heldBatch_;
  directory::State directory_;
  std::vector<double> ttfts_;
  std::uint64_t repeatedTokens_ = 0;
  std::uint64_t recomputedTokens_ = 0;
  Outcome outcome_;
};

// Time within which an unused block is expected to have returned; also the
// time after which a prompt counts as gone.
inline constexpr double kHorizonSeconds = 4500.0;
// One way between a host and an engine.
inline constexpr double kDistanceSeconds = 0.0015;
// Time after which an import from a dead store is given up.
inline constexpr double kImportTimeoutSeconds = 1.0;
// Time after which all hosts know that a store is dead.
inline constexpr double kDetectSeconds = 3.0;
inline constexpr double kSweepSeconds = 60.0;
inline constexpr double kBytesPerGigabyte = 1e9;

// Returns the number in a name such as "e12".
inline std::uint32_t
IndexOf(const std::string& aName)
{
  return static_cast<std::uint32_t>(std::stoul(aName.substr(1)));
}

inline absl::Time
AsTime(double aSeconds)
{
  return absl::UnixEpoch() + absl::Seconds(aSeconds);
}

inline void
Schedule(Trace& aTrace, double aAt, EventKind aKind, std::uint32_t aIndex)
{
  aTrace.events_.push({ aAt, aTrace.nextOrder_++, aKind, aIndex });
}

inline core::BlockKey
KeyOf(BlockId aBlock)
{
  return { PromptOf(aBlock), aBlock };
}

inline std::vector<core::BlockKey>
ChainOf(std::uint32_t aPrompt, std::uint32_t aBlocks)
{
  std::vector<core::BlockKey> chain;
  for (std::uint32_t i = 0; i < aBlocks; ++i) {
    chain.push_back(KeyOf(IdOf(aPrompt, i)));
  }
  return chain;
}

inline directory::HolderId
EngineId(const Trace& aTrace, std::uint32_t aEngine)
{
  return { aTrace.engineNames_[aEngine], directory::HolderKind::Engine };
}

inline directory::HolderId
StoreId(const Trace& aTrace, std::uint32_t aStore)
{
  return { aTrace.storeNames_[aStore], directory::HolderKind::Store };
}

inline directory::Sighting
SightingOf(BlockId aBlock, bool aPresent, std::uint64_t aGeneration = 0)
{
  directory::Sighting sighting;
  sighting.block_ = KeyOf(aBlock);
  sighting.root_ = KeyOf(IdOf(PromptOf(aBlock), 0));
  sighting.present_ = aPresent;
  sighting.generation_ = aGeneration;
  sighting.bytes_ = kBlockBytes;
  return sighting;
}

inline bool
Counts(const Trace& aTrace)
{
  return aTrace.now_ >= aTrace.shape_->warmUp_;
}

inline double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto rank =
    static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(rank),
                   aValues.end());
  return aValues[rank];
}

// Stores.

inline void
RemoveStored(Trace& aTrace, std::uint32_t aStore, BlockId aBlock)
{
  Store& store = aTrace.stores_[aStore];
  if (store.blocks_.erase(aBlock) == 0) {
    return;
  }
  const auto& prompt = aTrace.shape_->prompts_[PromptOf(aBlock)];
  store.bytesByWorkspace_[prompt.workspace_] -= kBlockBytes;
  directory::Apply(
    aTrace.directory_, StoreId(aTrace, aStore), SightingOf(aBlock, false));
}

inline std::uint64_t
UsedBytes(const Store& aStore)
{
  return aStore.blocks_.size() * kBlockBytes;
}

// What an import of a byte of this prompt saves, by the objective.
inline keeping::ExportQuestion
ExportQuestionFor(const Trace& aTrace, std::uint32_t aPrompt)
{
  const auto& prompt = aTrace.shape_->prompts_[aPrompt];
  keeping::ExportQuestion question;
  question.blocks_ = prompt.blocks_;
  question.blockTokens_ = kBlockTokens;
  question.kvBytesPerToken_ = kKvBytesPerToken;
  question.objective_ = aTrace.shape_->objective_;
  question.prefillTokensPerSecond_ = aTrace.shape_->prefillRate_;
  question.gaps_ = aTrace.gaps_[prompt.workspace_];
  question.promptHash_ = core::StableHash(std::to_string(aPrompt));
  return question;
}

inline std::vector<keeping::WorkspaceUse>
WorkspaceUses(const Trace& aTrace, const Store& aStore)
{
  const auto& shape = *aTrace.shape_;
  const auto shares = keeping::ShareBytes(
    shape.storeBytes_, std::vector<double>(shape.workspaces_, 1.0));
  const auto question = ExportQuestionFor(aTrace, 0);
  std::vector<keeping::WorkspaceUse> uses(shape.workspaces_);
  for (std::uint32_t i = 0; i < shape.workspaces_; ++i) {
    uses[i].gaps_ = aTrace.gaps_[i];
    uses[i].usedBytes_ = aStore.bytesByWorkspace_[i];
    uses[i].shareBytes_ = shares[i];
    uses[i].savingPerByte_ = keeping::SavingPerByte(question, aStore.rate_);
  }
  return uses;
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

inline keeping::EvictionPlan
PlanFreeing(const Trace& aTrace,
            const Store& aStore,
            const std::vector<BlockId>& aIds,
            std::uint64_t aBytes)
{
  std::vector<keeping::KeptBlock> kept;
  for (const auto id : aIds) {
    const double idle = aTrace.now_ - aStore.blocks_.at(id).usedAt_;
    kept.push_back({ aTrace.shape_->prompts_[PromptOf(id)].workspace_,
                     PositionOf(id),
                     kBlockBytes,
                     absl::Seconds(idle) });
  }
  return keeping::PlanEvictions(kept,
                                WorkspaceUses(aTrace, aStore),
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

// Works out anew which value new blocks have to exceed.
inline void
UpdateFreedValue(Trace& aTrace, Store& aStore)
{
  constexpr double kPart = keeping::kHighWater - keeping::kLowWater;
  const auto capacity = static_cast<double>(aTrace.shape_->storeBytes_);
  const auto used = static_cast<double>(UsedBytes(aStore));
  aStore.freedValue_ = 0.0;
  if (used >= keeping::kLowWater * capacity) {
    const auto bytes = static_cast<std::uint64_t>(kPart * capacity);
    aStore.freedValue_ =
      PlanFreeing(aTrace, aStore, StoredIds(aStore), bytes).valuePerByte_;
  }
}

inline void
FreeOldest(Trace& aTrace, std::uint32_t aStore, std::uint64_t aBytes)
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
    keeping::BytesToFree(UsedBytes(store), aTrace.shape_->storeBytes_);
  if (bytes > 0 && aTrace.rules_.keeping_ == Keeping::Planned) {
    FreePlanned(aTrace, aStore, bytes);
  } else if (bytes > 0) {
    FreeOldest(aTrace, aStore, bytes);
  }
  const auto& prompt = aTrace.shape_->prompts_[PromptOf(aBlock)];
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
QueuedBytesOf(Store& aStore, keeping::TransferKind aKind)
{
  return aKind == keeping::TransferKind::Export ? aStore.queuedExportBytes_
                                                : aStore.queuedImportBytes_;
}

// Drops waiting exports whose blocks the engine has evicted.
inline void
DropLateExports(Trace& aTrace, Store& aStore)
{
  for (std::size_t i = aStore.waiting_.size(); i-- > 0;) {
    const auto offset = static_cast<std::ptrdiff_t>(i);
    const Job& job = aStore.jobs_[i];
    if (aStore.waiting_[i].kind_ != keeping::TransferKind::Export ||
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
    *keeping::NextTransfer(store.waiting_, store.use_, AsTime(aTrace.now_));
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
            const keeping::Transfer& aTransfer,
            Job aJob)
{
  Store& store = aTrace.stores_[aStore];
  QueuedBytesOf(store, aTransfer.kind_) += aTransfer.bytes_;
  store.waiting_.push_back(aTransfer);
  store.jobs_.push_back(std::move(aJob));
  StartTransfer(aTrace, aStore);
}

// Engines.

inline void
StartPrefill(Trace& aTrace, std::uint32_t aEngine);

inline void
Enqueue(Trace& aTrace, std::uint32_t aRun)
{
  const Run& run = aTrace.runs_[aRun];
  Engine& engine = aTrace.engines_[run.engine_];
  const bool interactive = aTrace.shape_->arrivals_[run.arrival_].interactive_;
  (interactive ? engine.interactive_ : engine.batch_).push_back(aRun);
  StartPrefill(aTrace, run.engine_);
}

// Tokens that an engine has to compute for a run that begins now.
inline std::uint64_t
TokensToCompute(const Trace& aTrace, const Run& aRun)
{
  const auto& arrival = aTrace.shape_->arrivals_[aRun.arrival_];
  const auto& prompt = aTrace.shape_->prompts_[arrival.prompt_];
  auto present =
    LeadingIn(aTrace.engines_[aRun.engine_], arrival.prompt_, prompt.blocks_);
  if (present >= aRun.firstImport_) {
    present = std::max(present, aRun.firstImport_ + aRun.imported_);
  }
  return std::uint64_t{ prompt.blocks_ - present } * kBlockTokens +
         prompt.tailTokens_;
}

inline void
CountTokens(Trace& aTrace, const Run& aRun, std::uint64_t aTokens)
{
  const auto& arrival = aTrace.shape_->arrivals_[aRun.arrival_];
  const auto& prompt = aTrace.shape_->prompts_[arrival.prompt_];
  auto& history = aTrace.history_[arrival.prompt_];
  if (history.ran_ && Counts(aTrace)) {
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
    aTrace.now_ + static_cast<double>(tokens) / aTrace.shape_->prefillRate_;
  aTrace.prefilling_[aEngine] = index;
  Schedule(aTrace, engine.busyUntil_, EventKind::PrefillEnd, aEngine);
}

// Puts the blocks of a run into its engine's cache.
inline void
CacheBlocks(Trace& aTrace, const Run& aRun)
{
  Engine& engine = aTrace.engines_[aRun.engine_];
  const auto prompt = aTrace.shape_->arrivals_[aRun.arrival_].prompt_;
  const auto id = EngineId(aTrace, aRun.engine_);
  // Last block first, so that the start of a prompt is evicted last.
  for (auto i = aTrace.shape_->prompts_[prompt].blocks_; i-- > 0;) {
    Touch(engine, IdOf(prompt, i), aTrace.now_);
    directory::Apply(aTrace.directory_, id, SightingOf(IdOf(prompt, i), true));
  }
  while (engine.recent_.size() > aTrace.shape_->cacheBlocks_) {
    const auto evicted = EvictOldest(engine, aTrace.now_);
    directory::Apply(aTrace.directory_, id, SightingOf(evicted, false));
  }
}

inline std::uint32_t
LeadingInStore(const Trace& aTrace, std::uint32_t aStore, std::uint32_t aPrompt)
{
  const auto& blocks = aTrace.stores_[aStore].blocks_;
  std::uint32_t leading = 0;
  while (leading < aTrace.shape_->prompts_[aPrompt].blocks_ &&
         blocks.contains(IdOf(aPrompt, leading))) {
    ++leading;
  }
  return leading;
}

inline std::vector<keeping::StoreView>
StoreViews(const Trace& aTrace, std::uint32_t aPrompt)
{
  const auto workspace = aTrace.shape_->prompts_[aPrompt].workspace_;
  std::vector<keeping::StoreView> views;
  for (std::uint32_t i = 0; i < aTrace.stores_.size(); ++i) {
    const Store& store = aTrace.stores_[i];
    if (!aTrace.hosts_[0].stores_[i].alive_) {
      continue;
    }
    keeping::StoreView view;
    view.name_ = aTrace.storeNames_[i];
    view.heldBlocks_ = LeadingInStore(aTrace, i, aPrompt);
    view.capacityBytes_ = aTrace.shape_->storeBytes_;
    view.usedBytes_ = UsedBytes(store);
    view.workspaceBytes_ = store.bytesByWorkspace_[workspace];
    view.workspaceShareBytes_ =
      view.capacityBytes_ / aTrace.shape_->workspaces_;
    view.hold_ = absl::Seconds(kHorizonSeconds);
    view.linkBytesPerSecond_ = aTrace.links_[i].bytesPerSecond_;
    view.queuedBytes_ = store.queuedImportBytes_ + store.queuedExportBytes_;
    view.freedValuePerByte_ = store.freedValue_;
    views.push_back(view);
  }
  return views;
}

// The baseline exports all, to the store that has most of the prompt or that
// its hash names.
inline absl::optional<keeping::Export>
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
  const auto blocks = aTrace.shape_->prompts_[aPrompt].blocks_;
  if (best == views.end() || best->heldBlocks_ >= blocks) {
    return absl::nullopt;
  }
  keeping::Export plan;
  plan.store_ = std::string(best->name_);
  plan.firstBlock_ = best->heldBlocks_;
  plan.blocks_ = blocks - best->heldBlocks_;
  plan.bytes_ = plan.blocks_ * kBlockBytes;
  return plan;
}

inline absl::optional<keeping::Export>
ExportsAfter(const Trace& aTrace, const Run& aRun)
{
  const auto prompt = aTrace.shape_->arrivals_[aRun.arrival_].prompt_;
  switch (aTrace.rules_.keeping_) {
    case Keeping::Nothing:
      return absl::nullopt;
    case Keeping::All:
      return ExportAll(aTrace, prompt);
    case Keeping::Planned:
      break;
  }
  auto question = ExportQuestionFor(aTrace, prompt);
  question.engineHold_ =
    absl::Seconds(aTrace.engines_[aRun.engine_].holdSeconds_);
  return keeping::PlanExport(question, StoreViews(aTrace, prompt));
}

inline void
ExportBlocks(Trace& aTrace, const Run& aRun)
{
  const auto prompt = aTrace.shape_->arrivals_[aRun.arrival_].prompt_;
  const auto plan = ExportsAfter(aTrace, aRun);
  if (!plan) {
    return;
  }
  Job job;
  job.engine_ = aRun.engine_;
  for (std::uint32_t i = 0; i < plan->blocks_; ++i) {
    job.blocks_.push_back(IdOf(prompt, plan->firstBlock_ + i));
  }
  keeping::Transfer transfer;
  transfer.kind_ = keeping::TransferKind::Export;
  transfer.bytes_ = plan->bytes_;
  transfer.queuedAt_ = AsTime(aTrace.now_);
  transfer.latestStart_ = transfer.queuedAt_ + plan->startWithin_;
  if (aTrace.rules_.keeping_ == Keeping::Planned) {
    transfer.valuePerByte_ = plan->valuePerByte_;
  }
  AddTransfer(aTrace, IndexOf(plan->store_), transfer, std::move(job));
}

// Notes that a prompt ran, for all its blocks in stores.
inline void
NoteUse(Trace& aTrace, std::uint32_t aPrompt)
{
  for (auto& store : aTrace.stores_) {
    for (std::uint32_t i = 0; i < aTrace.shape_->prompts_[aPrompt].blocks_;
         ++i) {
      if (const auto found = store.blocks_.find(IdOf(aPrompt, i));
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
  const auto& arrival = aTrace.shape_->arrivals_[run.arrival_];
  aTrace.engines_[aEngine].busy_ = false;
  if (Counts(aTrace) && arrival.at_ >= aTrace.shape_->warmUp_) {
    ++aTrace.outcome_.runs_;
    if (arrival.interactive_) {
      aTrace.ttfts_.push_back(aTrace.now_ + kDistanceSeconds - arrival.at_);
    } else if (aTrace.now_ > arrival.deadline_) {
      ++aTrace.outcome_.missedDeadlines_;
    }
  }
  auto& history = aTrace.history_[arrival.prompt_];
  history.ran_ = true;
  history.gone_ = false;
  history.lastRun_ = aTrace.now_;
  CacheBlocks(aTrace, run);
  NoteUse(aTrace, arrival.prompt_);
  ExportBlocks(aTrace, run);
  StartPrefill(aTrace, aEngine);
}

// Ends of transfers.

inline void
EndImport(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  Run& run = aTrace.runs_[store.currentJob_.run_];
  const auto prompt = aTrace.shape_->arrivals_[run.arrival_].prompt_;
  for (std::uint32_t i = 0; store.alive_ && i < run.wantedImports_; ++i) {
    const auto found = store.blocks_.find(IdOf(prompt, run.firstImport_ + i));
    if (found == store.blocks_.end()) {
      break;
    }
    ++run.imported_;
  }
  if (Counts(aTrace) && store.alive_) {
    aTrace.outcome_.importedGigabytes_ +=
      static_cast<double>(store.current_.bytes_) / kBytesPerGigabyte;
  }
  Enqueue(aTrace, store.currentJob_.run_);
}

inline void
EndExport(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  if (!store.alive_) {
    return;
  }
  if (Counts(aTrace)) {
    aTrace.outcome_.exportedGigabytes_ +=
      static_cast<double>(store.current_.bytes_) / kBytesPerGigabyte;
  }
  const auto blocks = store.currentJob_.blocks_;
  const auto engine = store.currentJob_.engine_;
  for (const auto block : blocks) {
    if (!aTrace.engines_[engine].cache_.contains(block)) {
      break;
    }
    AddStored(aTrace, aStore, block);
  }
}

inline void
OnTransferEnd(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  store.busy_ = false;
  QueuedBytesOf(store, store.current_.kind_) -= store.current_.bytes_;
  const double took = aTrace.now_ - store.currentStart_;
  if (store.alive_) {
    placement::NoteTransfer(
      aTrace.links_[aStore], store.current_.bytes_, absl::Seconds(took));
  } else {
    placement::NoteFailure(aTrace.links_[aStore], AsTime(aTrace.now_));
  }
  if (store.current_.kind_ == keeping::TransferKind::Export) {
    store.use_.exportBytes_ += store.current_.bytes_;
    EndExport(aTrace, aStore);
  } else {
    store.use_.importBytes_ += store.current_.bytes_;
    EndImport(aTrace, aStore);
  }
  StartTransfer(aTrace, aStore);
}

// Hosts.

inline std::vector<placement::Candidate>
CandidatesOf(const Trace& aTrace,
             const Host& aHost,
             const std::vector<directory::Holder>& aHolders)
{
  std::vector<placement::Candidate> candidates(aTrace.engines_.size());
  for (std::uint32_t i = 0; i < candidates.size(); ++i) {
    const Belief& belief = aHost.engines_[i];
    auto& candidate = candidates[i];
    candidate.name_ = aTrace.engineNames_[i];
    candidate.distance_ = absl::Seconds(kDistanceSeconds);
    candidate.load_ = belief.report_;
    candidate.load_.age_ = absl::Seconds(aTrace.now_ - belief.reportedAt_);
    if (aTrace.rules_.ownWork_) {
      candidate.own_ = placement::OwnWorkSince(
        belief.sent_, AsTime(belief.reportedAt_), AsTime(aTrace.now_));
    }
    candidate.maxRuns_ = 1U << 20U;
    candidate.followerRank_ = aHost.ranks_[i];
    candidate.prefillTokensPerSecond_ = aTrace.shape_->prefillRate_;
    for (const auto& holder : aHolders) {
      if (holder.id_.name_ == candidate.name_) {
        candidate.cachedBlocks_ = holder.leadingBlocks_;
      }
    }
  }
  return candidates;
}

inline std::vector<placement::Offer>
OffersOf(const Trace& aTrace,
         const Host& aHost,
         const std::vector<directory::Holder>& aHolders)
{
  std::vector<placement::Offer> offers;
  for (const auto& holder : aHolders) {
    for (std::uint32_t i = 0; i < aTrace.stores_.size(); ++i) {
      if (holder.id_.name_ != aTrace.storeNames_[i] ||
          !aHost.stores_[i].alive_ ||
          !placement::Usable(aTrace.links_[i], AsTime(aTrace.now_))) {
        continue;
      }
      placement::Offer offer;
      offer.store_ = aTrace.storeNames_[i];
      offer.leadingBlocks_ = holder.leadingBlocks_;
      offer.generations_ = holder.generations_;
      offer.linkBytesPerSecond_ = aHost.stores_[i].linkRate_;
      offer.queuedBytes_ = aHost.stores_[i].queuedBytes_;
      offers.push_back(offer);
    }
  }
  return offers;
}

inline placement::Question
QuestionFor(Trace& aTrace, const Host& aHost, const Arrival& aArrival)
{
  const auto& prompt = aTrace.shape_->prompts_[aArrival.prompt_];
  placement::Question question;
  question.promptTokens_ =
    std::uint64_t{ prompt.blocks_ } * kBlockTokens + prompt.tailTokens_;
  question.blocks_ = prompt.blocks_;
  question.blockTokens_ = kBlockTokens;
  question.kvBytesPerToken_ = kKvBytesPerToken;
  question.objective_ = aTrace.shape_->objective_;
  question.policy_ = aTrace.rules_.policy_;
  question.interactive_ = aArrival.interactive_;
  if (!aArrival.interactive_) {
    question.remaining_ = absl::Seconds(aArrival.deadline_ - aTrace.now_);
  }
  question.seed_ = aTrace.rules_.policy_ == config::Policy::RoundRobin
                     ? aHost.ranks_[0] + aHost.sentRuns_
                     : aTrace.random_.engine_();
  question.promptHash_ = core::StableHash(std::to_string(aArrival.prompt_));
  return question;
}

// Sends a run on its way, by way of a store's link if there is an import.
inline void
Send(Trace& aTrace,
     std::uint32_t aArrival,
     std::uint32_t aHost,
     const placement::Decision& aDecision)
{
  const auto& arrival = aTrace.shape_->arrivals_[aArrival];
  Run run;
  run.arrival_ = aArrival;
  run.host_ = aHost;
  run.engine_ = IndexOf(aDecision.target_);
  run.expectedTokens_ = aDecision.computedTokens_;
  const auto index = static_cast<std::uint32_t>(aTrace.runs_.size());
  Engine& engine = aTrace.engines_[run.engine_];
  engine.queuedTokens_ += run.expectedTokens_;
  ++engine.waiting_;
  ++aTrace.hosts_[aHost].sentRuns_;
  aTrace.hosts_[aHost].engines_[run.engine_].sent_.push_back(
    { AsTime(aTrace.now_), run.expectedTokens_ });
  if (!aDecision.import_) {
    aTrace.runs_.push_back(run);
    Schedule(
      aTrace, aTrace.now_ + kDistanceSeconds, EventKind::ImportEnd, index);
    return;
  }
  const auto& import = *aDecision.import_;
  run.store_ = IndexOf(import.store_);
  run.firstImport_ = import.firstBlock_;
  run.wantedImports_ = import.blocks_;
  aTrace.runs_.push_back(run);
  aTrace.hosts_[aHost].stores_[run.store_].queuedBytes_ += import.bytes_;
  keeping::Transfer transfer;
  transfer.kind_ = arrival.interactive_
                     ? keeping::TransferKind::InteractiveImport
                     : keeping::TransferKind::BatchImport;
  transfer.bytes_ = import.bytes_;
  transfer.queuedAt_ = AsTime(aTrace.now_);
  transfer.latestStart_ = keeping::LatestStart(
    AsTime(arrival.interactive_ ? aTrace.now_ : arrival.deadline_),
    absl::Seconds(aDecision.estimate_.ttftSeconds_));
  Job job;
  job.run_ = index;
  AddTransfer(aTrace, run.store_, transfer, std::move(job));
}

inline void
Place(Trace& aTrace, std::uint32_t aArrival)
{
  const auto& arrival = aTrace.shape_->arrivals_[aArrival];
  const auto& prompt = aTrace.shape_->prompts_[arrival.prompt_];
  const auto hostIndex =
    static_cast<std::uint32_t>(aTrace.random_.engine_() % aTrace.hosts_.size());
  const Host& host = aTrace.hosts_[hostIndex];
  const auto holders = directory::Locate(
    aTrace.directory_, ChainOf(arrival.prompt_, prompt.blocks_));
  const auto decision = placement::Choose(QuestionFor(aTrace, host, arrival),
                                          CandidatesOf(aTrace, host, holders),
                                          OffersOf(aTrace, host, holders),
                                          aTrace.rules_.tuning_);
  Send(aTrace, aArrival, hostIndex, *decision);
}

// Part of the engines that are busy now.
inline double
BusyShare(const Trace& aTrace)
{
  const auto busy =
    std::count_if(aTrace.engines_.begin(),
                  aTrace.engines_.end(),
                  [](const Engine& aEngine) { return aEngine.busy_; });
  return static_cast<double>(busy) /
         static_cast<double>(aTrace.engines_.size());
}

inline bool
MayStart(const Trace& aTrace, const Arrival& aArrival)
{
  constexpr double kEstimateSeconds = 30.0;
  return aArrival.interactive_ ||
         keeping::MayStartBatch(
           keeping::LatestStart(AsTime(aArrival.deadline_),
                                absl::Seconds(kEstimateSeconds)),
           BusyShare(aTrace),
           0,
           AsTime(aTrace.now_));
}

inline void
OnArrival(Trace& aTrace, std::uint32_t aArrival)
{
  const auto& arrival = aTrace.shape_->arrivals_[aArrival];
  const auto& history = aTrace.history_[arrival.prompt_];
  if (history.ran_ && !history.gone_) {
    const auto workspace = aTrace.shape_->prompts_[arrival.prompt_].workspace_;
    keeping::NoteReturn(aTrace.gaps_[workspace],
                        absl::Seconds(aTrace.now_ - history.lastRun_),
                        AsTime(aTrace.now_));
  }
  if (MayStart(aTrace, arrival)) {
    Place(aTrace, aArrival);
  } else {
    aTrace.heldBatch_.push_back(aArrival);
  }
}

inline void
StartHeldBatch(Trace& aTrace)
{
  std::vector<std::uint32_t> held;
  held.swap(aTrace.heldBatch_);
  for (const auto index : held) {
    if (MayStart(aTrace, aTrace.shape_->arrivals_[index])) {
      Place(aTrace, index);
    } else {
      aTrace.heldBatch_.push_back(index);
    }
  }
}

// Gives a host the load of all engines and stores.
inline void
OnReport(Trace& aTrace, std::uint32_t aHost)
{
  Host& host = aTrace.hosts_[aHost];
  for (std::uint32_t i = 0; i < aTrace.engines_.size(); ++i) {
    const Engine& engine = aTrace.engines_[i];
    Belief& belief = host.engines_[i];
    const double rest =
      engine.busy_ ? std::max(0.0, engine.busyUntil_ - aTrace.now_) : 0.0;
    belief.report_.running_ = engine.busy_ ? 1 : 0;
    belief.report_.waiting_ = engine.waiting_;
    belief.report_.queuedPrefillTokens_ =
      engine.queuedTokens_ +
      static_cast<std::uint64_t>(rest * aTrace.shape_->prefillRate_);
    belief.reportedAt_ = aTrace.now_;
    belief.sent_.clear();
  }
  for (std::uint32_t i = 0; i < aTrace.stores_.size(); ++i) {
    host.stores_[i].queuedBytes_ = aTrace.stores_[i].queuedImportBytes_;
    host.stores_[i].linkRate_ = aTrace.links_[i].bytesPerSecond_;
  }
  StartHeldBatch(aTrace);
  const double next = aTrace.now_ + aTrace.rules_.reportPeriod_;
  if (next < aTrace.shape_->end_) {
    Schedule(aTrace, next, EventKind::Report, aHost);
  }
}

// Counts prompts that have been idle for too long as gone.
inline void
OnSweep(Trace& aTrace)
{
  for (std::uint32_t i = 0; i < aTrace.history_.size(); ++i) {
    auto& history = aTrace.history_[i];
    if (history.ran_ && !history.gone_ &&
        aTrace.now_ - history.lastRun_ > kHorizonSeconds) {
      history.gone_ = true;
      keeping::NoteGone(aTrace.gaps_[aTrace.shape_->prompts_[i].workspace_],
                        AsTime(aTrace.now_));
    }
  }
  for (auto& store : aTrace.stores_) {
    UpdateFreedValue(aTrace, store);
  }
  if (aTrace.now_ + kSweepSeconds < aTrace.shape_->end_) {
    Schedule(aTrace, aTrace.now_ + kSweepSeconds, EventKind::Sweep, 0);
  }
}

// Index 0 is the fault itself, 1 its detection by membership.
inline void
OnFault(Trace& aTrace, std::uint32_t aIndex)
{
  Store& store = aTrace.stores_[0];
  if (aTrace.rules_.fault_ == Fault::SlowLink) {
    constexpr double kSlowdown = 10.0;
    store.rate_ /= kSlowdown;
    return;
  }
  if (aIndex == 0) {
    store.alive_ = false;
    Schedule(aTrace, aTrace.now_ + kDetectSeconds, EventKind::Fault, 1);
    return;
  }
  for (auto& host : aTrace.hosts_) {
    host.stores_[0].alive_ = false;
  }
  directory::DropHolder(aTrace.directory_, aTrace.storeNames_[0]);
}

inline void
Handle(Trace& aTrace, const Event& aEvent)
{
  switch (aEvent.kind_) {
    case EventKind::Arrival:
      return OnArrival(aTrace, aEvent.index_);
    case EventKind::Report:
      return OnReport(aTrace, aEvent.index_);
    case EventKind::ImportEnd:
      return Enqueue(aTrace, aEvent.index_);
    case EventKind::PrefillEnd:
      return OnPrefillEnd(aTrace, aEvent.index_);
    case EventKind::TransferEnd:
      return OnTransferEnd(aTrace, aEvent.index_);
    case EventKind::Fault:
      return OnFault(aTrace, aEvent.index_);
    case EventKind::Sweep:
      return OnSweep(aTrace);
  }
}

// Ranks the hosts as followers of each engine.
inline void
RankHosts(Trace& aTrace)
{
  std::vector<placement::Follower> followers;
  for (std::uint32_t i = 0; i < aTrace.hosts_.size(); ++i) {
    followers.push_back({ "h" + std::to_string(i), "" });
    aTrace.hosts_[i].ranks_.resize(aTrace.engineNames_.size());
  }
  for (std::uint32_t i = 0; i < aTrace.engineNames_.size(); ++i) {
    std::uint32_t rank = 0;
    for (const auto& name : placement::Followers(
           aTrace.engineNames_[i], "", followers, followers.size())) {
      aTrace.hosts_[IndexOf(name)].ranks_[i] = rank++;
    }
  }
}

inline void
SetUp(Trace& aTrace)
{
  const auto& shape = *aTrace.shape_;
  const auto& rules = aTrace.rules_;
  aTrace.engines_.resize(shape.engines_);
  aTrace.prefilling_.resize(shape.engines_);
  aTrace.stores_.resize(shape.stores_);
  aTrace.links_.resize(shape.stores_);
  aTrace.history_.resize(shape.prompts_.size());
  aTrace.gaps_.resize(shape.workspaces_);
  aTrace.hosts_.resize(rules.hosts_);
  for (std::uint32_t i = 0; i < shape.engines_; ++i) {
    aTrace.engineNames_.push_back("e" + std::to_string(i));
  }
  for (std::uint32_t i = 0; i < shape.stores_; ++i) {
    aTrace.storeNames_.push_back("s" + std::to_string(i));
    aTrace.stores_[i].rate_ = shape.linkRate_;
    aTrace.stores_[i].bytesByWorkspace_.resize(shape.workspaces_);
    aTrace.links_[i].bytesPerSecond_ = shape.linkRate_;
  }
  RankHosts(aTrace);
  for (std::uint32_t i = 0; i < rules.hosts_; ++i) {
    aTrace.hosts_[i].engines_.resize(shape.engines_);
    aTrace.hosts_[i].stores_.resize(shape.stores_);
    Schedule(
      aTrace, i * rules.reportPeriod_ / rules.hosts_, EventKind::Report, i);
  }
}

inline Outcome
Result(Trace& aTrace)
{
  auto& outcome = aTrace.outcome_;
  outcome.p50_ = Percentile(aTrace.ttfts_, 0.5);
  outcome.p95_ = Percentile(aTrace.ttfts_, 0.95);
  double sum = 0.0;
  for (const double ttft : aTrace.ttfts_) {
    sum += ttft;
  }
  outcome.mean_ =
    sum / std::max<double>(1.0, static_cast<double>(aTrace.ttfts_.size()));
  outcome.recomputed_ =
    static_cast<double>(aTrace.recomputedTokens_) /
    std::max<double>(1.0, static_cast<double>(aTrace.repeatedTokens_));
  return outcome;
}

// Plays a whole trace.
inline Outcome
Play(const Shape& aShape, const Rules& aRules, std::uint64_t aSeed)
{
  Trace trace;
  trace.shape_ = &aShape;
  trace.rules_ = aRules;
  trace.random_.engine_.seed(aSeed);
  SetUp(trace);
  for (std::uint32_t i = 0; i < aShape.arrivals_.size(); ++i) {
    Schedule(trace, aShape.arrivals_[i].at_, EventKind::Arrival, i);
  }
  Schedule(trace, 0.0, EventKind::Sweep, 0);
  if (aRules.fault_ != Fault::None) {
    Schedule(trace, aShape.warmUp_, EventKind::Fault, 0);
  }
  while (!trace.events_.empty()) {
    const Event event = trace.events_.top();
    trace.events_.pop();
    trace.now_ = event.at_;
    Handle(trace, event);
  }
  return Result(trace);
}

} // namespace lycheeplank::trace

#endif
