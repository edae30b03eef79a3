#include "claims/events.h"

#include <algorithm>

#include "lycheeplank/core.h"

namespace lycheeplank::claims {

namespace {

// Below the platform's limit for a value.
constexpr std::size_t kMaxAnswerBytes = 1000000;

Shard&
ShardFor(const Context& aContext,
         absl::string_view aWorkspace,
         absl::string_view aKey)
{
  auto& state = aContext.state_;
  const std::uint32_t number = ShardOf(aWorkspace, aKey, state.shards_);
  auto& shard = state.loaded_[number];
  if (shard == nullptr) {
    shard = std::make_shared<Shard>();
    shard->number_ = number;
  }
  shard->used_ = aContext.now_;
  return *shard;
}

bool
IsExpiredKey(const Context& aContext, const ClaimRequest& aAsk)
{
  const auto time = KeyTime(aAsk.key_);
  return time &&
         *time + aContext.state_.settings_.retention_ < aContext.wallClock_;
}

Waiting
ToWaiting(const Context& aContext, const ClaimRequest& aAsk)
{
  Waiting waiting;
  waiting.ticket_ = aAsk.ticket_;
  waiting.key_ = KeyFingerprint(aAsk.workspace_, aAsk.key_);
  waiting.attempt_ = FingerprintOf(aAsk.attempt_);
  waiting.request_ = core::StableHash(aAsk.requestDigest_);
  waiting.holder_ = aAsk.holder_;
  waiting.since_ = aContext.now_;
  waiting.event_ = aContext.state_.lastEvent_;
  return waiting;
}

// Refuses an ask unless it is part of a write or its answer is being read.
void
RefuseUnsent(const Context& aContext, Shard& aShard, std::uint64_t aTicket)
{
  auto& asks = aShard.asks_;
  const auto found =
    std::find_if(asks.begin(), asks.end(), [&](const auto& aAsk) {
      return aAsk.ticket_ == aTicket && !aAsk.sent_ && !aAsk.fetching_;
    });
  if (found != asks.end()) {
    const Waiting ask = *found;
    asks.erase(found);
    Refuse(aContext, aShard, ask);
  }
}

RecordKind
KindOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Done:
      return RecordKind::Done;
    case AttemptOutcome::Withdrawn:
      return RecordKind::Withdrawn;
    case AttemptOutcome::Unknown:
      break;
  }
  return RecordKind::Unknown;
}

Recording
ToRecording(const Context& aContext, const OutcomeReport& aReport)
{
  Recording recording;
  recording.id_ = ++aContext.state_.lastReport_;
  recording.ticket_ = aReport.ticket_;
  recording.since_ = aContext.now_;
  recording.event_ = aContext.state_.lastEvent_;
  auto& record = recording.record_;
  record.kind_ = KindOf(aReport.outcome_);
  record.key_ = KeyFingerprint(aReport.workspace_, aReport.key_);
  record.attempt_ = FingerprintOf(aReport.attempt_);
  record.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  if (aReport.answer_.body_.size() > kMaxAnswerBytes) {
    Raise(aContext, Counter::AnswerTooLarge);
    record.kind_ = RecordKind::Unknown;
  } else if (record.kind_ == RecordKind::Done) {
    record.answer_ = aReport.answer_;
  }
  recording.ready_ =
    record.answer_.body_.size() <= aContext.state_.settings_.inlineAnswerBytes_;
  return recording;
}

// Gives the ticket of a repeated report to the one under way.
bool
JoinReport(const Context& aContext, Shard& aShard, const Recording& aReport)
{
  for (auto& earlier : aShard.reports_) {
    if (earlier.record_.attempt_ != aReport.record_.attempt_ ||
        earlier.record_.kind_ != aReport.record_.kind_) {
      continue;
    }
    if (earlier.ticket_ != 0) {
      aContext.effects_.emplace_back(ReportResponse{ earlier.ticket_, false });
    }
    earlier.ticket_ = aReport.ticket_;
    earlier.ticketSince_ = aReport.since_;
    return true;
  }
  return false;
}

} // namespace

void
AnswerUnsent(const Context& aContext,
             const ClaimRequest& aAsk,
             Verdict aVerdict,
             Counter aCounter)
{
  const absl::Duration retryAfter = aVerdict == Verdict::Unavailable
                                      ? aContext.state_.settings_.maxBackoff_
                                      : absl::ZeroDuration();
  Raise(aContext, aCounter);
  aContext.effects_.emplace_back(
    ClaimResponse{ aAsk.ticket_, aVerdict, StoredAnswer(), retryAfter });
}

void
OnAsk(const Context& aContext, const ClaimRequest& aAsk)
{
  auto& state = aContext.state_;
  if (IsExpiredKey(aContext, aAsk)) {
    return AnswerUnsent(aContext, aAsk, Verdict::Expired, Counter::Expired);
  }
  if (state.shards_ == 0) {
    if (state.early_.size() >= state.settings_.maxWaiting_) {
      return AnswerUnsent(
        aContext, aAsk, Verdict::Unavailable, Counter::Unavailable);
    }
    state.early_.push_back({ aAsk, aContext.now_ });
    return ReadLayout(aContext);
  }
  auto& shard = ShardFor(aContext, aAsk.workspace_, aAsk.key_);
  const auto waiting = ToWaiting(aContext, aAsk);
  if (shard.asks_.size() >= state.settings_.maxWaiting_) {
    return Refuse(aContext, shard, waiting);
  }
  shard.asks_.push_back(waiting);
  Pump(aContext, shard);
  if (IsFailing(aContext, shard)) {
    RefuseUnsent(aContext, shard, waiting.ticket_);
  }
}

void
OnReport(const Context& aContext, const OutcomeReport& aReport)
{
  auto& state = aContext.state_;
  if (state.shards_ == 0) {
    state.early_.push_back({ aReport, aContext.now_ });
    return ReadLayout(aContext);
  }
  auto& shard = ShardFor(aContext, aReport.workspace_, aReport.key_);
  auto recording = ToRecording(aContext, aReport);
  recording.ticketSince_ = recording.since_;
  if (!JoinReport(aContext, shard, recording)) {
    shard.reports_.push_back(std::move(recording));
  }
  Pump(aContext, shard);
}

void
OnRunning(const Context& aContext, const Heartbeat& aRunning)
{
  auto& state = aContext.state_;
  if (state.shards_ == 0) {
    return;
  }
  const auto found = state.loaded_.find(
    ShardOf(aRunning.workspace_, aRunning.key_, state.shards_));
  if (found == state.loaded_.end()) {
    return;
  }
  auto& shard = *found->second;
  const auto key = KeyFingerprint(aRunning.workspace_, aRunning.key_);
  const auto attempt = FingerprintOf(aRunning.attempt_);
  const auto* const claim = Find(shard.index_, key);
  if (claim != nullptr && claim->state_ == ClaimState::Open &&
      claim->attempt_ == attempt) {
    shard.running_.insert_or_assign(key, Run{ attempt, aContext.now_, true });
  }
  Pump(aContext, shard);
}

} // namespace lycheeplank::claims
