#include "claims/shard.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "lycheeplank/core.h"

namespace lycheeplank::claims {

namespace {

// Keeps the register well below the platform's limit of one megabyte.
constexpr std::size_t kOpenBytesHardLimit = 512U << 10U;
constexpr std::uint32_t kMaxBackoffDoublings = 10;

void
ApplyRecord(Shard& aShard, const Record& aRecord)
{
  Apply(aShard.index_, aRecord, aShard.appliedEnd_);
  ++aShard.appliedEnd_;
  if (aRecord.kind_ == RecordKind::Claim) {
    return;
  }
  const auto run = aShard.runningAttempts_.find(aRecord.key_);
  if (run != aShard.runningAttempts_.end() &&
      run->second.attempt_ == aRecord.attempt_) {
    aShard.runningAttempts_.erase(run);
  }
}

void
ApplyOpenRecords(Shard& aShard)
{
  const auto& tail = aShard.tail_;
  while (aShard.appliedEnd_ >= tail.openFirst_ &&
         aShard.appliedEnd_ < EndPosition(tail)) {
    ApplyRecord(aShard, tail.open_[aShard.appliedEnd_ - tail.openFirst_]);
  }
}

void
PruneDropped(Shard& aShard)
{
  const std::uint64_t first = FirstPosition(aShard.tail_);
  PruneBefore(aShard.index_, first);
  absl::erase_if(aShard.runningAttempts_, [&](const auto& aEntry) {
    return FindClaim(aShard.index_, aEntry.first) == nullptr;
  });
  aShard.appliedEnd_ = std::max(aShard.appliedEnd_, first);
}

// Adopts a newer version of the register and applies its open records.
void
AdoptTail(Shard& aShard, std::uint64_t aVersion, Tail aTail)
{
  CHECK(!aShard.tailKnown_ || aVersion > aShard.version_)
    << "version of claims shard " << aShard.number_ << " went back from "
    << aShard.version_ << " to " << aVersion;
  const bool dropped = FirstPosition(aTail) > FirstPosition(aShard.tail_);
  aShard.tailKnown_ = true;
  aShard.version_ = aVersion;
  aShard.tail_ = std::move(aTail);
  if (dropped) {
    PruneDropped(aShard);
  }
  ApplyOpenRecords(aShard);
}

// Returns a random delay between half and all of aDelay, so that hosts do not
// retry at the same time.
absl::Duration
Jitter(const State& aState, absl::Duration aDelay)
{
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t draw =
    core::StableHash(aState.settings_.instance_, aState.lastCommandId_) %
    kSteps;
  return aDelay / 2 + aDelay / 2 * draw / kSteps;
}

// Records a failed command and sets the time of the next try.
void
RecordFailure(const Context& aContext, Shard& aShard, Backoff& aBackoff)
{
  IncrementCounter(aContext, Counter::PlatformFailure);
  const auto& settings = aContext.state_.settings_;
  const auto doublings = std::min(aBackoff.failures_, kMaxBackoffDoublings);
  const absl::Duration delay =
    std::min(settings.firstBackoff_ * (1U << doublings), settings.maxBackoff_);
  ++aBackoff.failures_;
  aBackoff.failingSince_ = std::min(aBackoff.failingSince_, aContext.now_);
  aBackoff.retryAt_ = aContext.now_ + Jitter(aContext.state_, delay);
  // Reading the register shows whether a lost write took effect.
  aShard.needsRefresh_ = true;
}

// Refuses all pending claim requests, because the register or a segment is
// damaged. The register is read again after the backoff.
void
HandleCorruption(const Context& aContext, Shard& aShard)
{
  IncrementCounter(aContext, Counter::Corrupt);
  RecordFailure(aContext, aShard, aShard.readBackoff_);
  aShard.readBackoff_.failingSince_ = absl::InfinitePast();
  const auto requests = std::move(aShard.requests_);
  aShard.requests_.clear();
  for (const auto& request : requests) {
    Refuse(aContext, aShard, request);
  }
}

// Adopts the register from the reply to a read or to a write that lost a
// compare-and-swap.
void
AdoptReadTail(const Context& aContext,
              Shard& aShard,
              const PendingCommand& aPending,
              const platform::Reply& aReply)
{
  if (aShard.tailKnown_ && aReply.version_ == aShard.version_) {
    aShard.freshAsOfEvent_ =
      std::max(aShard.freshAsOfEvent_, aPending.eventNumber_);
    aShard.needsRefresh_ = false;
    aShard.readBackoff_ = Backoff();
    return;
  }
  auto tail = aReply.outcome_ == platform::Outcome::Absent
                ? absl::optional<Tail>(Tail())
                : DecodeOrNullopt(DecodeTail, aReply.value_);
  // The end of the log or the version goes back if the register was restored
  // from an old copy.
  if (!tail || EndPosition(*tail) < aShard.appliedEnd_ ||
      (aShard.tailKnown_ && aReply.version_ < aShard.version_)) {
    return HandleCorruption(aContext, aShard);
  }
  aShard.replacement_ = Replacement();
  AdoptTail(aShard, aReply.version_, std::move(*tail));
  aShard.freshAsOfEvent_ =
    std::max(aShard.freshAsOfEvent_, aPending.eventNumber_);
  aShard.needsRefresh_ = false;
  aShard.readBackoff_ = Backoff();
}

void
SendTailRead(const Context& aContext, Shard& aShard)
{
  aShard.busy_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = TailKey(aShard);
  Send(
    aContext, { CommandPurpose::ReadTail, aShard.number_ }, std::move(command));
}

void
SendSegmentLoad(const Context& aContext, Shard& aShard)
{
  const auto* const segment = FindSegment(aShard.tail_, aShard.appliedEnd_);
  CHECK(segment != nullptr)
    << "claims shard " << aShard.number_ << " has no segment for position "
    << aShard.appliedEnd_;
  aShard.busy_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = ObjectKey(aShard, segment->name_);
  Send(aContext,
       { CommandPurpose::LoadSegment, aShard.number_ },
       std::move(command));
}

bool
CanRecord(const Shard& aShard, const PendingReport& aReport)
{
  if (!aReport.answerStored_) {
    return false;
  }
  if (aReport.record_.kind_ == RecordKind::Withdrawn) {
    return true;
  }
  const auto* const claim = FindClaim(aShard.index_, aReport.record_.key_);
  return claim != nullptr && claim->attempt_ == aReport.record_.attempt_;
}

// Returns whether a request still needs a claim record. ResolvePending has
// answered all requests whose key has a claim, apart from those that wait for a
// report or a read.
bool
NeedsClaim(const Shard& aShard, const PendingRequest& aRequest)
{
  return FindClaim(aShard.index_, aRequest.key_) == nullptr &&
         !IsWithdrawn(aShard.index_, aRequest.attempt_);
}

bool
IsReportDue(const Context& aContext, const Shard& aShard)
{
  const absl::Duration delay = aShard.reportsUrgent_
                                 ? absl::ZeroDuration()
                                 : aContext.state_.settings_.outcomeDelay_;
  return std::any_of(
    aShard.reports_.begin(), aShard.reports_.end(), [&](const auto& aReport) {
      return CanRecord(aShard, aReport) &&
             aContext.now_ - aReport.since_ >= delay;
    });
}

bool
IsWriteDue(const Context& aContext, const Shard& aShard)
{
  if (aContext.now_ < aShard.nextWriteAt_ ||
      aContext.now_ < aShard.writeBackoff_.retryAt_) {
    return false;
  }
  const bool hasUnwrittenClaim = std::any_of(
    aShard.requests_.begin(),
    aShard.requests_.end(),
    [&](const auto& aRequest) { return NeedsClaim(aShard, aRequest); });
  return hasUnwrittenClaim || IsReportDue(aContext, aShard) ||
         aShard.replacement_.stage_ == ReplacementStage::Ready ||
         !aShard.sweep_.garbage_.empty() || HasExpiredSegment(aContext, aShard);
}

Record
ClaimRecord(const Context& aContext, const PendingRequest& aRequest)
{
  Record record;
  record.kind_ = RecordKind::Claim;
  record.key_ = aRequest.key_;
  record.attempt_ = aRequest.attempt_;
  record.requestHash_ = aRequest.requestHash_;
  record.holder_ = aRequest.holder_;
  record.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  return record;
}

// Appends the records of pending reports and claim requests, at most one for
// each key and write.
void
AddRecords(const Context& aContext, Shard& aShard, Tail& aTail)
{
  std::size_t bytes = EncodedSize(aTail.open_);
  absl::flat_hash_set<Fingerprint> writtenKeys;
  for (const auto& report : aShard.reports_) {
    if (bytes < kOpenBytesHardLimit && CanRecord(aShard, report) &&
        writtenKeys.insert(report.record_.key_).second) {
      bytes += EncodedSize(report.record_);
      aTail.open_.push_back(report.record_);
    }
  }
  for (auto& request : aShard.requests_) {
    if (bytes < kOpenBytesHardLimit && NeedsClaim(aShard, request) &&
        writtenKeys.insert(request.key_).second) {
      request.claimSent_ = true;
      aTail.open_.push_back(ClaimRecord(aContext, request));
      bytes += EncodedSize(aTail.open_.back());
    }
  }
}

void
SendTailWrite(const Context& aContext, Shard& aShard)
{
  aShard.proposedTail_ = aShard.tail_;
  DropExpired(aContext, aShard.proposedTail_);
  ApplyReplacement(aShard, aShard.proposedTail_);
  AddRecords(aContext, aShard, aShard.proposedTail_);
  aShard.busy_ = true;
  aShard.nextWriteAt_ =
    aContext.now_ + aContext.state_.settings_.writeInterval_;
  aShard.sweep_.writeSent_ = !aShard.sweep_.garbage_.empty();
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = TailKey(aShard);
  command.value_ = Encode(aShard.proposedTail_);
  command.expect_ = aShard.version_;
  Send(aContext,
       { CommandPurpose::WriteTail, aShard.number_ },
       std::move(command));
}

void
AdoptWrittenTail(const Context& aContext,
                 Shard& aShard,
                 const PendingCommand& aPending,
                 const platform::Reply& aReply)
{
  const Tail before = aShard.tail_;
  AdoptTail(aShard, aReply.version_, std::move(aShard.proposedTail_));
  aShard.proposedTail_ = Tail();
  aShard.freshAsOfEvent_ =
    std::max(aShard.freshAsOfEvent_, aPending.eventNumber_);
  DeleteReplacedSegments(aContext, aShard, before);
}

void
CountLoad(const Context& aContext, Shard& aShard)
{
  if (!aShard.loadCounted_) {
    aShard.loadCounted_ = true;
    IncrementCounter(aContext, Counter::ShardLoaded);
  }
}

} // namespace

std::string
TailKey(const Shard& aShard)
{
  return absl::StrCat("claims/", aShard.number_, "/tail");
}

std::string
ObjectPrefix(const Shard& aShard)
{
  return absl::StrCat("claims/", aShard.number_, "/objects/");
}

std::string
ObjectKey(const Shard& aShard, absl::string_view aName)
{
  return absl::StrCat(ObjectPrefix(aShard), aName);
}

bool
IsLoaded(const Shard& aShard)
{
  return aShard.tailKnown_ && aShard.appliedEnd_ == EndPosition(aShard.tail_);
}

bool
IsFailing(const Context& aContext, const Shard& aShard)
{
  const absl::Time since = std::min(aShard.readBackoff_.failingSince_,
                                    aShard.writeBackoff_.failingSince_);
  return aContext.now_ - since >= aContext.state_.settings_.requestTimeout_;
}

void
Advance(const Context& aContext, Shard& aShard)
{
  if (IsLoaded(aShard)) {
    CountLoad(aContext, aShard);
    ResolvePending(aContext, aShard);
  }
  if (aShard.busy_ || aContext.now_ < aShard.readBackoff_.retryAt_) {
    return;
  }
  if (!aShard.tailKnown_ || aShard.needsRefresh_) {
    return SendTailRead(aContext, aShard);
  }
  if (!IsLoaded(aShard)) {
    return SendSegmentLoad(aContext, aShard);
  }
  StoreAnswers(aContext, aShard);
  if (IsWriteDue(aContext, aShard)) {
    SendTailWrite(aContext, aShard);
  }
}

void
OnTailRead(const Context& aContext,
           Shard& aShard,
           const PendingCommand& aPending,
           const platform::Reply& aReply)
{
  aShard.busy_ = false;
  if (aReply.outcome_ == platform::Outcome::Ok ||
      aReply.outcome_ == platform::Outcome::Absent) {
    AdoptReadTail(aContext, aShard, aPending, aReply);
  } else {
    RecordFailure(aContext, aShard, aShard.readBackoff_);
  }
  Advance(aContext, aShard);
}

void
OnTailWritten(const Context& aContext,
              Shard& aShard,
              const PendingCommand& aPending,
              const platform::Reply& aReply)
{
  aShard.busy_ = false;
  if (aReply.outcome_ == platform::Outcome::Ok) {
    aShard.writeBackoff_ = Backoff();
    AdoptWrittenTail(aContext, aShard, aPending, aReply);
  } else if (aReply.outcome_ == platform::Outcome::Conflict) {
    IncrementCounter(aContext, Counter::Conflict);
    aShard.writeBackoff_ = Backoff();
    // The host that lost the race may write at once, while the winner waits for
    // its write interval.
    aShard.nextWriteAt_ = absl::InfinitePast();
    AdoptReadTail(aContext, aShard, aPending, aReply);
  } else {
    RecordFailure(aContext, aShard, aShard.writeBackoff_);
  }
  Maintain(aContext, aShard);
  Advance(aContext, aShard);
}

void
OnSegmentLoaded(const Context& aContext,
                Shard& aShard,
                const platform::Reply& aReply)
{
  aShard.busy_ = false;
  if (aReply.outcome_ == platform::Outcome::Absent) {
    // Another host may have merged the segment. If the same version of the
    // register still references it, the segment is lost.
    aShard.needsRefresh_ = true;
    if (aShard.missingSegmentVersion_ == aShard.version_) {
      HandleCorruption(aContext, aShard);
    }
    aShard.missingSegmentVersion_ = aShard.version_;
    return Advance(aContext, aShard);
  }
  if (aReply.outcome_ != platform::Outcome::Ok) {
    RecordFailure(aContext, aShard, aShard.readBackoff_);
    return;
  }
  const auto segment = DecodeOrNullopt(DecodeSegment, aReply.value_);
  if (!segment || segment->first_ > aShard.appliedEnd_ ||
      segment->first_ + segment->records_.size() <= aShard.appliedEnd_) {
    return HandleCorruption(aContext, aShard);
  }
  aShard.readBackoff_ = Backoff();
  for (auto i = aShard.appliedEnd_ - segment->first_;
       i < segment->records_.size();
       ++i) {
    ApplyRecord(aShard, segment->records_[i]);
  }
  ApplyOpenRecords(aShard);
  Advance(aContext, aShard);
}

} // namespace lycheeplank::claims
