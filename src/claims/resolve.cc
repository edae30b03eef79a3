#include "claims/shard.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <glog/logging.h>

namespace lycheeplank::claims {

namespace {

constexpr absl::Duration kRepeatAfter = absl::Seconds(1);

enum class ReportState
{
  Pending,
  Durable,
  // What is recorded says otherwise.
  Contradicted,
};

ReportState
StateOfWithdrawal(const Index& aIndex, const Record& aRecord)
{
  if (IsWithdrawn(aIndex, aRecord.attempt_)) {
    return ReportState::Durable;
  }
  const auto* const claim = Find(aIndex, aRecord.key_);
  const bool sent = claim != nullptr && claim->attempt_ == aRecord.attempt_ &&
                    claim->state_ != ClaimState::Open;
  return sent ? ReportState::Contradicted : ReportState::Pending;
}

ReportState
StateOfReport(Shard& aShard, const Recording& aReport)
{
  const auto& record = aReport.record_;
  if (record.kind_ == RecordKind::Withdrawn) {
    return StateOfWithdrawal(aShard.index_, record);
  }
  const auto* const claim = Find(aShard.index_, record.key_);
  if (claim == nullptr || claim->attempt_ != record.attempt_) {
    // The claim may have been granted by another host a moment ago.
    if (IsFresh(aShard, aReport.event_)) {
      return ReportState::Contradicted;
    }
    aShard.refresh_ = true;
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
  const auto settled = [&](const Recording& aReport) {
    const auto state = StateOfReport(aShard, aReport);
    if (state == ReportState::Pending) {
      return false;
    }
    if (state == ReportState::Contradicted) {
      Raise(aContext, Counter::Contradiction);
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
       const Waiting& aAsk,
       Verdict aVerdict,
       Counter aCounter,
       absl::Duration aRetryAfter = absl::ZeroDuration())
{
  if (aVerdict != Verdict::Granted) {
    // A message that arrives twice must not claim what nobody would run.
    aShard.refused_.insert_or_assign(aAsk.attempt_, aContext.now_);
  }
  Raise(aContext, aCounter);
  aContext.effects_.emplace_back(
    ClaimResponse{ aAsk.ticket_, aVerdict, StoredAnswer(), aRetryAfter });
}

void
Grant(const Context& aContext, Shard& aShard, const Waiting& aAsk)
{
  CHECK(!aShard.refused_.contains(aAsk.attempt_))
    << "an attempt that was refused would be granted in claims shard "
    << aShard.number_;
  const Run granted{ aAsk.attempt_, aContext.now_, true };
  const auto [run, isNew] = aShard.running_.try_emplace(aAsk.key_, granted);
  CHECK(isNew || run->second.attempt_ == aAsk.attempt_)
    << "two attempts of one key would be granted in claims shard "
    << aShard.number_;
  run->second = granted;
  Answer(aContext, aShard, aAsk, Verdict::Granted, Counter::Granted);
}

// Returns what was last heard of the open attempt of a key, or nothing if that
// was too long ago to count.
const Run*
FindFreshRun(const Context& aContext,
             const Shard& aShard,
             const Fingerprint& aKey,
             const Fingerprint& aAttempt)
{
  const auto found = aShard.running_.find(aKey);
  if (found == aShard.running_.end() || found->second.attempt_ != aAttempt) {
    return nullptr;
  }
  const bool fresh = aContext.now_ - found->second.heard_ <
                     aContext.state_.settings_.runningFresh_;
  return fresh ? &found->second : nullptr;
}

// Begins to listen for the holder of an open attempt, which may have been
// granted by another host; whether that is new.
bool
BeginToListen(const Context& aContext,
              Shard& aShard,
              const Fingerprint& aKey,
              const Fingerprint& aAttempt)
{
  auto& run = aShard.running_[aKey];
  if (run.attempt_ == aAttempt) {
    return false;
  }
  run = { aAttempt, aContext.now_, false };
  return true;
}

void
AnswerInProgress(const Context& aContext, Shard& aShard, const Waiting& aAsk)
{
  Answer(aContext,
         aShard,
         aAsk,
         Verdict::InProgress,
         Counter::InProgress,
         kRepeatAfter);
}

// Answers an ask whose key another attempt has claimed and not finished.
bool
AnswerUnfinished(const Context& aContext,
                 Shard& aShard,
                 const Waiting& aAsk,
                 const Claim& aClaim)
{
  const bool open = aClaim.state_ == ClaimState::Open;
  const auto* const run =
    open ? FindFreshRun(aContext, aShard, aAsk.key_, aClaim.attempt_) : nullptr;
  if (run != nullptr && run->said_) {
    AnswerInProgress(aContext, aShard, aAsk);
    return true;
  }
  if (!IsFresh(aShard, aAsk.event_)) {
    aShard.refresh_ = true;
    return false;
  }
  if (run != nullptr ||
      (open && BeginToListen(aContext, aShard, aAsk.key_, aClaim.attempt_))) {
    AnswerInProgress(aContext, aShard, aAsk);
    return true;
  }
  Answer(aContext, aShard, aAsk, Verdict::Unknown, Counter::Unknown);
  return true;
}

// Answers an ask if the view tells how; otherwise it goes on waiting.
bool
TryAnswer(const Context& aContext,
          Shard& aShard,
          const absl::flat_hash_set<Fingerprint>& aReported,
          Waiting& aAsk)
{
  if (aShard.refused_.contains(aAsk.attempt_) ||
      IsWithdrawn(aShard.index_, aAsk.attempt_)) {
    Refuse(aContext, aShard, aAsk);
    return true;
  }
  const auto* const claim = Find(aShard.index_, aAsk.key_);
  if (claim == nullptr) {
    return false;
  }
  if (aReported.contains(claim->attempt_) &&
      claim->state_ == ClaimState::Open) {
    aShard.reportsUrgent_ = true;
    return false;
  }
  if (claim->request_ != aAsk.request_) {
    const bool fresh = IsFresh(aShard, aAsk.event_);
    aShard.refresh_ = aShard.refresh_ || !fresh;
    if (fresh) {
      Answer(aContext, aShard, aAsk, Verdict::Mismatch, Counter::Mismatch);
    }
    return fresh;
  }
  if (claim->state_ == ClaimState::Done) {
    return TryGiveAnswer(aContext, aShard, aAsk);
  }
  if (claim->state_ == ClaimState::Open && claim->attempt_ == aAsk.attempt_) {
    Grant(aContext, aShard, aAsk);
    return true;
  }
  return AnswerUnfinished(aContext, aShard, aAsk, *claim);
}

} // namespace

bool
IsFresh(const Shard& aShard, std::uint64_t aEvent)
{
  return aShard.viewEvent_ >= aEvent;
}

void
Refuse(const Context& aContext, Shard& aShard, const Waiting& aAsk)
{
  Answer(aContext,
         aShard,
         aAsk,
         Verdict::Unavailable,
         Counter::Unavailable,
         aContext.state_.settings_.maxBackoff_);
  if (!aAsk.sent_ || IsWithdrawn(aShard.index_, aAsk.attempt_)) {
    return;
  }
  // The claim may have been written; it must not block later attempts.
  Raise(aContext, Counter::BackgroundWithdrawal);
  Recording report;
  report.id_ = ++aContext.state_.lastReport_;
  report.since_ = aContext.now_;
  report.event_ = aContext.state_.lastEvent_;
  report.record_.kind_ = RecordKind::Withdrawn;
  report.record_.key_ = aAsk.key_;
  report.record_.attempt_ = aAsk.attempt_;
  report.record_.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  report.record_.holder_ = aAsk.holder_;
  aShard.reports_.push_back(std::move(report));
}

void
ExpireWaiting(const Context& aContext, Shard& aShard)
{
  const absl::Time limit =
    aContext.now_ - aContext.state_.settings_.askTimeout_;
  auto& asks = aShard.asks_;
  const auto firstLate =
    std::stable_partition(asks.begin(), asks.end(), [&](const auto& aAsk) {
      return aAsk.since_ > limit;
    });
  const std::vector<Waiting> late(firstLate, asks.end());
  asks.erase(firstLate, asks.end());
  for (const auto& ask : late) {
    Refuse(aContext, aShard, ask);
  }
  for (auto& report : aShard.reports_) {
    if (report.ticket_ != 0 && report.ticketSince_ <= limit) {
      aContext.effects_.emplace_back(ReportResponse{ report.ticket_, false });
      report.ticket_ = 0;
    }
  }
}

void
Resolve(const Context& aContext, Shard& aShard)
{
  SettleReports(aContext, aShard);
  aShard.reportsUrgent_ = false;
  absl::flat_hash_set<Fingerprint> reported;
  for (const auto& report : aShard.reports_) {
    reported.insert(report.record_.attempt_);
  }
  auto& asks = aShard.asks_;
  asks.erase(std::remove_if(asks.begin(),
                            asks.end(),
                            [&](Waiting& aAsk) {
                              return TryAnswer(
                                aContext, aShard, reported, aAsk);
                            }),
             asks.end());
}

} // namespace lycheeplank::claims
