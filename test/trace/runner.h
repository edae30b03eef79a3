#ifndef LYCHEEPLANK_TEST_TRACE_RUNNER_H
#define LYCHEEPLANK_TEST_TRACE_RUNNER_H

#include "hosts.h"

// Replays a workload on fake engines and stores with one set of settings.
namespace lycheeplank::trace {

// Delivers the load reports of all engines and stores to a host.
inline void
OnReport(Trace& aTrace, std::uint32_t aHost)
{
  Host& host = aTrace.hosts_[aHost];
  for (std::uint32_t i = 0; i < aTrace.engines_.size(); ++i) {
    const Engine& engine = aTrace.engines_[i];
    KnownEngine& known = host.engines_[i];
    const double rest =
      engine.busy_ ? std::max(0.0, engine.busyUntil_ - aTrace.now_) : 0.0;
    known.report_.running_ = engine.busy_ ? 1 : 0;
    known.report_.waiting_ = engine.waiting_;
    known.report_.queuedPrefillTokens_ =
      engine.queuedTokens_ +
      static_cast<std::uint64_t>(rest * aTrace.workload_->prefillRate_);
    known.reportedAt_ = aTrace.now_;
    known.sent_.clear();
  }
  for (std::uint32_t i = 0; i < aTrace.stores_.size(); ++i) {
    placement::RecordLinkReport(host.stores_[i].queue_,
                                aTrace.stores_[i].queuedImportBytes_);
    host.stores_[i].linkRate_ = aTrace.linkRates_[i];
  }
  StartDeferredBatch(aTrace);
  const double next = aTrace.now_ + aTrace.settings_.reportPeriod_;
  if (next < aTrace.workload_->end_) {
    Schedule(aTrace, next, EventKind::Report, aHost);
  }
}

// Counts prompts that have been idle for too long as abandoned.
inline void
OnSweep(Trace& aTrace)
{
  for (std::uint32_t i = 0; i < aTrace.history_.size(); ++i) {
    auto& history = aTrace.history_[i];
    if (history.ran_ && !history.abandoned_ &&
        aTrace.now_ - history.lastRun_ > kHorizonSeconds) {
      history.abandoned_ = true;
      retention::RecordAbandonment(
        aTrace.returns_[aTrace.workload_->prompts_[i].workspace_],
        AsTime(aTrace.now_));
    }
  }
  for (auto& store : aTrace.stores_) {
    UpdateFreedValue(aTrace, store);
  }
  if (aTrace.now_ + kSweepSeconds < aTrace.workload_->end_) {
    Schedule(aTrace, aTrace.now_ + kSweepSeconds, EventKind::Sweep, 0);
  }
}

// Handles the fault itself (index 0) or its detection by membership (index 1).
inline void
OnFault(Trace& aTrace, std::uint32_t aIndex)
{
  Store& store = aTrace.stores_[0];
  if (aTrace.settings_.fault_ == Fault::SlowLink) {
    constexpr double kSlowdown = 10.0;
    store.rate_ /= kSlowdown;
    return;
  }
  if (aIndex == 0) {
    store.alive_ = false;
    Schedule(aTrace, aTrace.now_ + kDetectionSeconds, EventKind::Fault, 1);
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

// Sets each host's rank among the followers of each engine.
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
  const auto& workload = *aTrace.workload_;
  const auto& settings = aTrace.settings_;
  aTrace.engines_.resize(workload.engines_);
  aTrace.prefilling_.resize(workload.engines_);
  aTrace.stores_.resize(workload.stores_);
  aTrace.linkRates_.resize(workload.stores_);
  aTrace.history_.resize(workload.prompts_.size());
  aTrace.returns_.resize(workload.workspaces_);
  aTrace.hosts_.resize(settings.hosts_);
  for (std::uint32_t i = 0; i < workload.engines_; ++i) {
    aTrace.engineNames_.push_back("e" + std::to_string(i));
  }
  for (std::uint32_t i = 0; i < workload.stores_; ++i) {
    aTrace.storeNames_.push_back("s" + std::to_string(i));
    aTrace.stores_[i].rate_ = workload.linkRate_;
    aTrace.stores_[i].bytesByWorkspace_.resize(workload.workspaces_);
    aTrace.linkRates_[i] = workload.linkRate_;
  }
  RankHosts(aTrace);
  for (std::uint32_t i = 0; i < settings.hosts_; ++i) {
    aTrace.hosts_[i].engines_.resize(workload.engines_);
    aTrace.hosts_[i].stores_.resize(workload.stores_);
    Schedule(aTrace,
             i * settings.reportPeriod_ / settings.hosts_,
             EventKind::Report,
             i);
  }
}

inline Outcome
ComputeOutcome(Trace& aTrace)
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

// Replays a whole workload and returns the measured outcome.
inline Outcome
Replay(const Workload& aWorkload,
       const TrialSettings& aSettings,
       std::uint64_t aSeed)
{
  Trace trace;
  trace.workload_ = &aWorkload;
  trace.settings_ = aSettings;
  trace.random_.engine_.seed(aSeed);
  SetUp(trace);
  for (std::uint32_t i = 0; i < aWorkload.arrivals_.size(); ++i) {
    Schedule(trace, aWorkload.arrivals_[i].at_, EventKind::Arrival, i);
  }
  Schedule(trace, 0.0, EventKind::Sweep, 0);
  if (aSettings.fault_ != Fault::None) {
    Schedule(trace, aWorkload.warmUp_, EventKind::Fault, 0);
  }
  while (!trace.events_.empty()) {
    const Event event = trace.events_.top();
    trace.events_.pop();
    trace.now_ = event.at_;
    Handle(trace, event);
  }
  return ComputeOutcome(trace);
}

} // namespace lycheeplank::trace

#endif
