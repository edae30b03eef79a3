#ifndef LYCHEEPLANK_TEST_TRACE_RUNNER_H
#define LYCHEEPLANK_TEST_TRACE_RUNNER_H

#include "hosts.h"

// Plays a trace against the fakes with one set of rules.
namespace lycheeplank::trace {

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
    placement::RecordLinkReport(host.stores_[i].queue_,
                                aTrace.stores_[i].queuedImportBytes_);
    host.stores_[i].linkRate_ = aTrace.linkRates_[i];
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
    if (history.ran_ && !history.abandoned_ &&
        aTrace.now_ - history.lastRun_ > kHorizonSeconds) {
      history.abandoned_ = true;
      retention::RecordAbandonment(
        aTrace.returns_[aTrace.shape_->prompts_[i].workspace_],
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
  aTrace.linkRates_.resize(shape.stores_);
  aTrace.history_.resize(shape.prompts_.size());
  aTrace.returns_.resize(shape.workspaces_);
  aTrace.hosts_.resize(rules.hosts_);
  for (std::uint32_t i = 0; i < shape.engines_; ++i) {
    aTrace.engineNames_.push_back("e" + std::to_string(i));
  }
  for (std::uint32_t i = 0; i < shape.stores_; ++i) {
    aTrace.storeNames_.push_back("s" + std::to_string(i));
    aTrace.stores_[i].rate_ = shape.linkRate_;
    aTrace.stores_[i].bytesByWorkspace_.resize(shape.workspaces_);
    aTrace.linkRates_[i] = shape.linkRate_;
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
