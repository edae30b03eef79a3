#ifndef LYCHEEPLANK_TEST_TRACE_HOSTS_H
#define LYCHEEPLANK_TEST_TRACE_HOSTS_H

#include "transfers.h"

// Simulates the decisions of hosts, based on the reports that they received.
namespace lycheeplank::trace {

inline std::vector<placement::Candidate>
CandidatesOf(const Trace& aTrace,
             const Host& aHost,
             const std::vector<directory::Holder>& aHolders)
{
  std::vector<placement::Candidate> candidates(aTrace.engines_.size());
  for (std::uint32_t i = 0; i < candidates.size(); ++i) {
    const KnownEngine& known = aHost.engines_[i];
    auto& candidate = candidates[i];
    candidate.name_ = aTrace.engineNames_[i];
    candidate.oneWayDelay_ = absl::Seconds(kOneWaySeconds);
    candidate.load_ = known.report_;
    candidate.load_.age_ = absl::Seconds(aTrace.now_ - known.reportedAt_);
    if (aTrace.settings_.countUnreported_) {
      candidate.unreported_ = placement::UnreportedWorkSince(
        known.sent_, AsTime(known.reportedAt_), AsTime(aTrace.now_));
    }
    candidate.maxRuns_ = 1U << 20U;
    candidate.followerRank_ = aHost.ranks_[i];
    candidate.prefillTokensPerSecond_ = aTrace.workload_->prefillRate_;
    for (const auto& holder : aHolders) {
      if (holder.id_.name_ == candidate.name_) {
        candidate.cachedBlocks_ = holder.leadingBlocks_;
      }
    }
  }
  return candidates;
}

inline std::vector<placement::ImportSource>
ImportSourcesOf(const Trace& aTrace,
                const Host& aHost,
                const std::vector<directory::Holder>& aHolders)
{
  std::vector<placement::ImportSource> sources;
  for (const auto& holder : aHolders) {
    for (std::uint32_t i = 0; i < aTrace.stores_.size(); ++i) {
      if (holder.id_.name_ != aTrace.storeNames_[i] ||
          !aHost.stores_[i].alive_) {
        continue;
      }
      placement::ImportSource source;
      source.store_ = aTrace.storeNames_[i];
      source.leadingBlocks_ = holder.leadingBlocks_;
      source.generations_ = holder.generations_;
      source.linkBytesPerSecond_ = aHost.stores_[i].linkRate_;
      source.queuedBytes_ = placement::QueuedBytes(aHost.stores_[i].queue_,
                                                   source.linkBytesPerSecond_,
                                                   AsTime(aTrace.now_));
      sources.push_back(source);
    }
  }
  return sources;
}

inline placement::PlacementRequest
RequestFor(Trace& aTrace, const Host& aHost, const Arrival& aArrival)
{
  const auto& prompt = aTrace.workload_->prompts_[aArrival.prompt_];
  placement::PlacementRequest request;
  request.promptTokens_ =
    std::uint64_t{ prompt.blocks_ } * kBlockTokens + prompt.tailTokens_;
  request.blocks_ = prompt.blocks_;
  request.blockTokens_ = kBlockTokens;
  request.kvBytesPerToken_ = kKvBytesPerToken;
  request.objective_ = aTrace.workload_->objective_;
  request.policy_ = aTrace.settings_.policy_;
  request.interactive_ = aArrival.interactive_;
  if (!aArrival.interactive_) {
    request.remaining_ = absl::Seconds(aArrival.deadline_ - aTrace.now_);
  }
  request.seed_ = aTrace.settings_.policy_ == config::Policy::RoundRobin
                    ? aHost.ranks_[0] + aHost.sentRuns_
                    : aTrace.random_.engine_();
  request.promptHash_ = core::StableHash(std::to_string(aArrival.prompt_));
  return request;
}

// Sends a run to its engine, after the import if the decision includes one.
inline void
SendRun(Trace& aTrace,
        std::uint32_t aArrival,
        std::uint32_t aHost,
        const placement::Decision& aDecision)
{
  const auto& arrival = aTrace.workload_->arrivals_[aArrival];
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
    Schedule(aTrace, aTrace.now_ + kOneWaySeconds, EventKind::ImportEnd, index);
    return;
  }
  const auto& import = *aDecision.import_;
  run.store_ = IndexOf(import.store_);
  run.firstImport_ = import.firstBlock_;
  run.requestedImports_ = import.blocks_;
  aTrace.runs_.push_back(run);
  KnownStore& known = aTrace.hosts_[aHost].stores_[run.store_];
  placement::RecordImport(
    known.queue_, import.bytes_, known.linkRate_, AsTime(aTrace.now_));
  retention::Transfer transfer;
  transfer.kind_ = arrival.interactive_
                     ? retention::TransferKind::InteractiveImport
                     : retention::TransferKind::BatchImport;
  transfer.bytes_ = import.bytes_;
  transfer.queuedAt_ = AsTime(aTrace.now_);
  transfer.latestStart_ = retention::LatestStart(
    AsTime(arrival.interactive_ ? aTrace.now_ : arrival.deadline_),
    absl::Seconds(aDecision.estimate_.ttftSeconds_));
  TransferJob job;
  job.run_ = index;
  AddTransfer(aTrace, run.store_, transfer, std::move(job));
}

inline void
PlaceRun(Trace& aTrace, std::uint32_t aArrival)
{
  const auto& arrival = aTrace.workload_->arrivals_[aArrival];
  const auto& prompt = aTrace.workload_->prompts_[arrival.prompt_];
  const auto hostIndex =
    static_cast<std::uint32_t>(aTrace.random_.engine_() % aTrace.hosts_.size());
  const Host& host = aTrace.hosts_[hostIndex];
  const auto holders = directory::LocateHolders(
    aTrace.directory_, ChainOf(arrival.prompt_, prompt.blocks_));
  const auto decision =
    placement::ChooseTarget(RequestFor(aTrace, host, arrival),
                            CandidatesOf(aTrace, host, holders),
                            ImportSourcesOf(aTrace, host, holders),
                            aTrace.settings_.tuning_);
  SendRun(aTrace, aArrival, hostIndex, *decision);
}

// Returns the part of the engines that are busy.
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
         retention::MayStartBatch(
           retention::LatestStart(AsTime(aArrival.deadline_),
                                  absl::Seconds(kEstimateSeconds)),
           BusyShare(aTrace),
           0,
           AsTime(aTrace.now_));
}

inline void
OnArrival(Trace& aTrace, std::uint32_t aArrival)
{
  const auto& arrival = aTrace.workload_->arrivals_[aArrival];
  const auto& history = aTrace.history_[arrival.prompt_];
  if (history.ran_ && !history.abandoned_) {
    const auto workspace =
      aTrace.workload_->prompts_[arrival.prompt_].workspace_;
    retention::RecordReturn(aTrace.returns_[workspace],
                            absl::Seconds(aTrace.now_ - history.lastRun_),
                            AsTime(aTrace.now_));
  }
  if (MayStart(aTrace, arrival)) {
    PlaceRun(aTrace, aArrival);
  } else {
    aTrace.deferredBatch_.push_back(aArrival);
  }
}

inline void
StartDeferredBatch(Trace& aTrace)
{
  std::vector<std::uint32_t> deferred;
  deferred.swap(aTrace.deferredBatch_);
  for (const auto index : deferred) {
    if (MayStart(aTrace, aTrace.workload_->arrivals_[index])) {
      PlaceRun(aTrace, index);
    } else {
      aTrace.deferredBatch_.push_back(index);
    }
  }
}

} // namespace lycheeplank::trace

#endif
