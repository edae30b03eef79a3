#include "claims/events.h"

#include <algorithm>

#include "lycheeplank/core.h"

namespace lycheeplank::claims {

namespace {

// Below the platform's limit for the size of a value.
constexpr std::size_t kMaxAnswerBytes = 1000000;

Shard&
ShardFor(const Context& aContext,
         absl::string_view aWorkspace,
         absl::string_view aKey)
{
  auto& state = aContext.state_;
  const std::uint32_t number = ShardOf(aWorkspace, aKey, state.shards_);
  auto& shard = state.loadedShards_[number];
  if (shard == nullptr) {
    shard = std::make_shared<Shard>();
    shard->number_ = number;
  }
  shard->lastUsed_ = aContext.now_;
  return *shard;
}

bool
IsExpiredKey(const Context& aContext, const ClaimRequest& aRequest)
{
  const auto time = KeyTime(aRequest.key_);
  return time &&
         *time + aContext.state_.settings_.retention_ < aContext.wallClock_;
}

PendingRequest
ToPendingRequest(const Context& aContext, const ClaimRequest& aRequest)
{
  PendingRequest pendingRequest;
  pendingRequest.ticket_ = aRequest.ticket_;
  pendingRequest.key_ = KeyFingerprint(aRequest.workspace_, aRequest.key_);
  pendingRequest.attempt_ = FingerprintOf(aRequest.attempt_);
  pendingRequest.requestHash_ = core::StableHash(aRequest.requestDigest_);
  pendingRequest.holder_ = aRequest.holder_;
  pendingRequest.since_ = aContext.now_;
  pendingRequest.eventNumber_ = aContext.state_.lastEventNumber_;
  return pendingRequest;
}

// Refuses a claim request unless a write contains its claim or its answer is
// being read.
void
RefuseUnsent(const Context& aContext, Shard& aShard, std::uint64_t aTicket)
{
  auto& requests = aShard.requests_;
  const auto found =
    std::find_if(requests.begin(), requests.end(), [&](const auto& aRequest) {
      return aRequest.ticket_ == aTicket && !aRequest.claimSent_ &&
             !aRequest.fetchingAnswer_;
    });
  if (found != requests.end()) {
    const PendingRequest request = *found;
    requests.erase(found);
    Refuse(aContext, aShard, request);
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

PendingReport
ToPendingReport(const Context& aContext, const OutcomeReport& aReport)
{
  PendingReport pendingReport;
  pendingReport.id_ = ++aContext.state_.lastReportId_;
  pendingReport.ticket_ = aReport.ticket_;
  pendingReport.since_ = aContext.now_;
  pendingReport.eventNumber_ = aContext.state_.lastEventNumber_;
  auto& record = pendingReport.record_;
  record.kind_ = KindOf(aReport.outcome_);
  record.key_ = KeyFingerprint(aReport.workspace_, aReport.key_);
  record.attempt_ = FingerprintOf(aReport.attempt_);
  record.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  if (aReport.answer_.body_.size() > kMaxAnswerBytes) {
    IncrementCounter(aContext, Counter::AnswerTooLarge);
    record.kind_ = RecordKind::Unknown;
  } else if (record.kind_ == RecordKind::Done) {
    record.answer_ = aReport.answer_;
  }
  pendingReport.answerStored_ = record.answer_.body_.size() <=
                                aContext.state_.settings_.maxInlineAnswerBytes_;
  return pendingReport;
}

// Merges a repeated report into the pending report of the same attempt and
// outcome. Returns whether there is one.
bool
MergeDuplicateReport(const Context& aContext,
                     Shard& aShard,
                     const PendingReport& aReport)
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
AnswerBeforeWrite(const Context& aContext,
                  const ClaimRequest& aRequest,
                  Verdict aVerdict,
                  Counter aCounter)
{
  const absl::Duration retryAfter = aVerdict == Verdict::Unavailable
                                      ? aContext.state_.settings_.maxBackoff_
                                      : absl::ZeroDuration();
  IncrementCounter(aContext, aCounter);
  aContext.effects_.emplace_back(
    ClaimResponse{ aRequest.ticket_, aVerdict, StoredAnswer(), retryAfter });
}

void
OnClaimRequest(const Context& aContext, const ClaimRequest& aRequest)
{
  auto& state = aContext.state_;
  if (IsExpiredKey(aContext, aRequest)) {
    return AnswerBeforeWrite(
      aContext, aRequest, Verdict::Expired, Counter::Expired);
  }
  if (state.shards_ == 0) {
    if (state.deferred_.size() >= state.settings_.maxPendingRequests_) {
      return AnswerBeforeWrite(
        aContext, aRequest, Verdict::Unavailable, Counter::Unavailable);
    }
    state.deferred_.push_back({ aRequest, aContext.now_ });
    return ReadLayout(aContext);
  }
  auto& shard = ShardFor(aContext, aRequest.workspace_, aRequest.key_);
  const auto pendingRequest = ToPendingRequest(aContext, aRequest);
  if (shard.requests_.size() >= state.settings_.maxPendingRequests_) {
    return Refuse(aContext, shard, pendingRequest);
  }
  shard.requests_.push_back(pendingRequest);
  Advance(aContext, shard);
  if (IsFailing(aContext, shard)) {
    RefuseUnsent(aContext, shard, pendingRequest.ticket_);
  }
}

void
OnOutcomeReport(const Context& aContext, const OutcomeReport& aReport)
{
  auto& state = aContext.state_;
  if (state.shards_ == 0) {
    state.deferred_.push_back({ aReport, aContext.now_ });
    return ReadLayout(aContext);
  }
  auto& shard = ShardFor(aContext, aReport.workspace_, aReport.key_);
  auto pendingReport = ToPendingReport(aContext, aReport);
  pendingReport.ticketSince_ = pendingReport.since_;
  if (!MergeDuplicateReport(aContext, shard, pendingReport)) {
    shard.reports_.push_back(std::move(pendingReport));
  }
  Advance(aContext, shard);
}

void
OnHeartbeat(const Context& aContext, const Heartbeat& aHeartbeat)
{
  auto& state = aContext.state_;
  if (state.shards_ == 0) {
    return;
  }
  const auto found = state.loadedShards_.find(
    ShardOf(aHeartbeat.workspace_, aHeartbeat.key_, state.shards_));
  if (found == state.loadedShards_.end()) {
    return;
  }
  auto& shard = *found->second;
  const auto key = KeyFingerprint(aHeartbeat.workspace_, aHeartbeat.key_);
  const auto attempt = FingerprintOf(aHeartbeat.attempt_);
  const auto* const claim = FindClaim(shard.index_, key);
  if (claim != nullptr && claim->state_ == ClaimState::Open &&
      claim->attempt_ == attempt) {
    shard.runningAttempts_.insert_or_assign(
      key, RunningAttempt{ attempt, aContext.now_, true });
  }
  Advance(aContext, shard);
}

} // namespace lycheeplank::claims
