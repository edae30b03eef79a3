#include "claims/shard.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <glog/logging.h>

namespace lycheeplank::claims {

namespace {

constexpr absl::Duration kInProgressRetryAfter = absl::Seconds(1);

enum class ReportState
{
  Pending,
  Durable,
  // The report contradicts the log.
  Contradicted,
};

ReportState
StateOfWithdrawal(const Index& aIndex, const Record& aRecord)
{
  if (IsWithdrawn(aIndex, aRecord.attempt_)) {
    return ReportState::Durable;
  }
  const auto* const claim = FindClaim(aIndex, aRecord.key_);
  const bool hasOutcome = claim != nullptr &&
                          claim->attempt_ == aRecord.attempt_ &&
                          claim->state_ != ClaimState::Open;
  return hasOutcome ? ReportState::Contradicted : ReportState::Pending;
}

ReportState
StateOfReport(Shard& aShard, const PendingReport& aReport)
{
  const auto& record = aReport.record_;
  if (record.kind_ == RecordKind::Withdrawn) {
    return StateOfWithdrawal(aShard.index_, record);
  }
  const auto* const claim = FindClaim(aShard.index_, record.key_);
  if (claim == nullptr || claim->attempt_ != record.attempt_) {
    // Another host may have written the claim after the adopted version of the
    // register.
    if (IsFresh(aShard, aReport.eventNumber_)) {
      return ReportState::Contradicted;
    }
    aShard.needsRefresh_ = true;
    return ReportState::Pending;
  }
  const bool recorded = claim->state_ == ClaimState::Done ||
                        (claim->state_ == ClaimState::Unknown &&
                         record.kind_ == RecordKind::Unknown);
  return recorded ? ReportState::Durable : ReportState::Pending;
}

void
SettleReports(const Context& aContext, Shard& aShard)
{
  auto& reports = aShard.reports_;
  const auto settled = [&](const PendingReport& aReport) {
    const auto state = StateOfReport(aShard, aReport);
    if (state == ReportState::Pending) {
      return false;
    }
    if (state == ReportState::Contradicted) {
      IncrementCounter(aContext, Counter::Contradiction);
    }
    if (aReport.ticket_ != 0) {
      aContext.effects_.emplace_back(
        ReportResponse{ aReport.ticket_, state == ReportState::Durable });
    }
    return true;
  };
  reports.erase(std::remove_if(reports.begin(), reports.end(), settled),
                reports.end());
}

void
Answer(const Context& aContext,
       Shard& aShard,
       const PendingRequest& aRequest,
       Verdict aVerdict,
       Counter aCounter,
       absl::Duration aRetryAfter = absl::ZeroDuration())
{
  if (aVerdict != Verdict::Granted) {
    // A duplicate of the claim request must not claim the key for an attempt
    // that its holder will not run.
    aShard.refusedAttempts_.insert_or_assign(aRequest.attempt_, aContext.now_);
  }
  IncrementCounter(aContext, aCounter);
  aContext.effects_.emplace_back(
    ClaimResponse{ aRequest.ticket_, aVerdict, StoredAnswer(), aRetryAfter });
}

void
Grant(const Context& aContext, Shard& aShard, const PendingRequest& aRequest)
{
  CHECK(!aShard.refusedAttempts_.contains(aRequest.attempt_))
    << "a refused attempt must not be granted, claims shard " << aShard.number_;
  const RunningAttempt granted{ aRequest.attempt_, aContext.now_, true };
  const auto [run, isNew] =
    aShard.runningAttempts_.try_emplace(aRequest.key_, granted);
  CHECK(isNew || run->second.attempt_ == aRequest.attempt_)
    << "two attempts of one key must not be granted, claims shard "
    << aShard.number_;
  run->second = granted;
  Answer(aContext, aShard, aRequest, Verdict::Granted, Counter::Granted);
}

// Returns the running attempt of a key if it is aAttempt and its last activity
// is within the heartbeat timeout, otherwise null. The shard owns it.
const RunningAttempt*
FindRecentlyActive(const Context& aContext,
                   const Shard& aShard,
                   const Fingerprint& aKey,
                   const Fingerprint& aAttempt)
{
  const auto found = aShard.runningAttempts_.find(aKey);
  if (found == aShard.runningAttempts_.end() ||
      found->second.attempt_ != aAttempt) {
    return nullptr;
  }
  const bool fresh = aContext.now_ - found->second.lastActivity_ <
                     aContext.state_.settings_.heartbeatTimeout_;
  return fresh ? &found->second : nullptr;
}

// Starts to wait for a heartbeat of an open attempt, which another host may
// have granted. Returns false if this host already tracks the attempt.
bool
StartHeartbeatWait(const Context& aContext,
                   Shard& aShard,
                   const Fingerprint& aKey,
                   const Fingerprint& aAttempt)
{
  auto& run = aShard.runningAttempts_[aKey];
  if (run.attempt_ == aAttempt) {
    return false;
  }
  run = { aAttempt, aContext.now_, false };
  return true;
}

void
AnswerInProgress(const Context& aContext,
                 Shard& aShard,
                 const PendingRequest& aRequest)
{
  Answer(aContext,
         aShard,
         aRequest,
         Verdict::InProgress,
         Counter::InProgress,
         kInProgressRetryAfter);
}

// Answers a claim request whose key is claimed by another attempt without a
// recorded answer. Returns false if the register must be read first.
bool
AnswerUnfinished(const Context& aContext,
                 Shard& aShard,
                 const PendingRequest& aRequest,
                 const Claim& aClaim)
{
  const bool open = aClaim.state_ == ClaimState::Open;
  const auto* const run =
    open ? FindRecentlyActive(aContext, aShard, aRequest.key_, aClaim.attempt_)
         : nullptr;
  if (run != nullptr && run->holderConfirmed_) {
    AnswerInProgress(aContext, aShard, aRequest);
    return true;
  }
  if (!IsFresh(aShard, aRequest.eventNumber_)) {
    aShard.needsRefresh_ = true;
    return false;
  }
  if (run != nullptr ||
      (open &&
       StartHeartbeatWait(aContext, aShard, aRequest.key_, aClaim.attempt_))) {
    AnswerInProgress(aContext, aShard, aRequest);
    return true;
  }
  Answer(aContext, aShard, aRequest, Verdict::Unknown, Counter::Unknown);
  return true;
}

// Answers a claim request if the adopted register determines the verdict.
// Returns false if the request must wait.
bool
TryAnswer(const Context& aContext,
          Shard& aShard,
          const absl::flat_hash_set<Fingerprint>& aReported,
          PendingRequest& aRequest)
{
  if (aShard.refusedAttempts_.contains(aRequest.attempt_) ||
      IsWithdrawn(aShard.index_, aRequest.attempt_)) {
    Refuse(aContext, aShard, aRequest);
    return true;
  }
  const auto* const claim = FindClaim(aShard.index_, aRequest.key_);
  if (claim == nullptr) {
    return false;
  }
  if (aReported.contains(claim->attempt_) &&
      claim->state_ == ClaimState::Open) {
    aShard.reportsUrgent_ = true;
    return false;
  }
  if (claim->requestHash_ != aRequest.requestHash_) {
    const bool fresh = IsFresh(aShard, aRequest.eventNumber_);
    aShard.needsRefresh_ = aShard.needsRefresh_ || !fresh;
    if (fresh) {
      Answer(aContext, aShard, aRequest, Verdict::Mismatch, Counter::Mismatch);
    }
    return fresh;
  }
  if (claim->state_ == ClaimState::Done) {
    return TrySendStoredAnswer(aContext, aShard, aRequest);
  }
  if (claim->state_ == ClaimState::Open &&
      claim->attempt_ == aRequest.attempt_) {
    Grant(aContext, aShard, aRequest);
    return true;
  }
  return AnswerUnfinished(aContext, aShard, aRequest, *claim);
}

} // namespace

bool
IsFresh(const Shard& aShard, std::uint64_t aEventNumber)
{
  return aShard.freshAsOfEvent_ >= aEventNumber;
}

void
Refuse(const Context& aContext, Shard& aShard, const PendingRequest& aRequest)
{
  Answer(aContext,
         aShard,
         aRequest,
         Verdict::Unavailable,
         Counter::Unavailable,
         aContext.state_.settings_.maxBackoff_);
  if (!aRequest.claimSent_ || IsWithdrawn(aShard.index_, aRequest.attempt_)) {
    return;
  }
  // The claim may have been written; the withdrawal frees the key for later
  // attempts.
  IncrementCounter(aContext, Counter::BackgroundWithdrawal);
  PendingReport report;
  report.id_ = ++aContext.state_.lastReportId_;
  report.since_ = aContext.now_;
  report.eventNumber_ = aContext.state_.lastEventNumber_;
  report.record_.kind_ = RecordKind::Withdrawn;
  report.record_.key_ = aRequest.key_;
  report.record_.attempt_ = aRequest.attempt_;
  report.record_.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  report.record_.holder_ = aRequest.holder_;
  aShard.reports_.push_back(std::move(report));
}

void
ExpirePending(const Context& aContext, Shard& aShard)
{
  const absl::Time limit =
    aContext.now_ - aContext.state_.settings_.requestTimeout_;
  auto& requests = aShard.requests_;
  const auto firstLate = std::stable_partition(
    requests.begin(), requests.end(), [&](const auto& aRequest) {
      return aRequest.since_ > limit;
    });
  const std::vector<PendingRequest> late(firstLate, requests.end());
  requests.erase(firstLate, requests.end());
  for (const auto& request : late) {
    Refuse(aContext, aShard, request);
  }
  for (auto& report : aShard.reports_) {
    if (report.ticket_ != 0 && report.ticketSince_ <= limit) {
      aContext.effects_.emplace_back(ReportResponse{ report.ticket_, false });
      report.ticket_ = 0;
    }
  }
}

void
ResolvePending(const Context& aContext, Shard& aShard)
{
  SettleReports(aContext, aShard);
  aShard.reportsUrgent_ = false;
  absl::flat_hash_set<Fingerprint> reported;
  for (const auto& report : aShard.reports_) {
    reported.insert(report.record_.attempt_);
  }
  auto& requests = aShard.requests_;
  requests.erase(std::remove_if(requests.begin(),
                                requests.end(),
                                [&](PendingRequest& aRequest) {
                                  return TryAnswer(
                                    aContext, aShard, reported, aRequest);
                                }),
                 requests.end());
}

} // namespace lycheeplank::claims
