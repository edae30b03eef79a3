#include "claims/shard.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "lycheeplank/core.h"

namespace lycheeplank::claims {

namespace {

// The register stays well below the platform's limit of a megabyte.
constexpr std::size_t kMaxOpenBytes = 512U << 10U;
constexpr std::uint32_t kMaxBackoffDoublings = 10;

void
ApplyRecord(Shard& aShard, const Record& aRecord)
{
  Apply(aShard.index_, aRecord, aShard.applied_);
  ++aShard.applied_;
  if (aRecord.kind_ == RecordKind::Claim) {
    return;
  }
  const auto run = aShard.running_.find(aRecord.key_);
  if (run != aShard.running_.end() &&
      run->second.attempt_ == aRecord.attempt_) {
    aShard.running_.erase(run);
  }
}

void
ApplyOpenRecords(Shard& aShard)
{
  const auto& tail = aShard.tail_;
  while (aShard.applied_ >= tail.openFirst_ && aShard.applied_ < EndOf(tail)) {
    ApplyRecord(aShard, tail.open_[aShard.applied_ - tail.openFirst_]);
  }
}

void
ForgetDropped(Shard& aShard)
{
  const std::uint64_t first = FirstOf(aShard.tail_);
  Prune(aShard.index_, first);
  absl::erase_if(aShard.running_, [&](const auto& aEntry) {
    return Find(aShard.index_, aEntry.first) == nullptr;
  });
  aShard.applied_ = std::max(aShard.applied_, first);
}

// Makes a register that was written after the known one the known one.
void
Adopt(Shard& aShard, std::uint64_t aVersion, Tail aTail)
{
  CHECK(!aShard.known_ || aVersion > aShard.version_)
    << "version of claims shard " << aShard.number_ << " went back from "
    << aShard.version_ << " to " << aVersion;
  const bool dropped = FirstOf(aTail) > FirstOf(aShard.tail_);
  aShard.known_ = true;
  aShard.version_ = aVersion;
  aShard.tail_ = std::move(aTail);
  if (dropped) {
    ForgetDropped(aShard);
  }
  ApplyOpenRecords(aShard);
}

// Takes a part off the delay, so that not all hosts come back at once.
absl::Duration
Jitter(const State& aState, absl::Duration aDelay)
{
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t draw =
    core::StableHash(aState.settings_.instance_, aState.lastCommand_) % kSteps;
  return aDelay / 2 + aDelay / 2 * draw / kSteps;
}

// Notes a failed command and when to try again.
void
NoteFailure(const Context& aContext, Shard& aShard, Backoff& aBackoff)
{
  Raise(aContext, Counter::PlatformFailure);
  const auto& settings = aContext.state_.settings_;
  const auto doublings = std::min(aBackoff.failures_, kMaxBackoffDoublings);
  const absl::Duration delay =
    std::min(settings.firstBackoff_ * (1U << doublings), settings.maxBackoff_);
  ++aBackoff.failures_;
  aBackoff.since_ = std::min(aBackoff.since_, aContext.now_);
  aBackoff.retryAt_ = aContext.now_ + Jitter(aContext.state_, delay);
  // A lost write is settled by reading the register.
  aShard.refresh_ = true;
}

// Refuses to go on with a damaged register; it is read again later.
void
NoteCorrupt(const Context& aContext, Shard& aShard)
{
  Raise(aContext, Counter::Corrupt);
  NoteFailure(aContext, aShard, aShard.reads_);
  aShard.reads_.since_ = absl::InfinitePast();
  const auto asks = std::move(aShard.asks_);
  aShard.asks_.clear();
  for (const auto& ask : asks) {
    Refuse(aContext, aShard, ask);
  }
}

// Takes in a register that this host did not just write.
void
AdoptForeign(const Context& aContext,
             Shard& aShard,
             const Flight& aFlight,
             const platform::Reply& aReply)
{
  if (aShard.known_ && aReply.version_ == aShard.version_) {
    aShard.viewEvent_ = std::max(aShard.viewEvent_, aFlight.event_);
    aShard.refresh_ = false;
    aShard.reads_ = Backoff();
    return;
  }
  auto tail = aReply.outcome_ == platform::Outcome::Absent
                ? absl::optional<Tail>(Tail())
                : ValueOrNothing(DecodeTail, aReply.value_);
  // A register that lost records was restored from an old copy.
  if (!tail || EndOf(*tail) < aShard.applied_ ||
      (aShard.known_ && aReply.version_ < aShard.version_)) {
    return NoteCorrupt(aContext, aShard);
  }
  aShard.replacement_ = Replacement();
  Adopt(aShard, aReply.version_, std::move(*tail));
  aShard.viewEvent_ = std::max(aShard.viewEvent_, aFlight.event_);
  aShard.refresh_ = false;
  aShard.reads_ = Backoff();
}

void
SendRead(const Context& aContext, Shard& aShard)
{
  aShard.busy_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = TailKey(aShard);
  Send(aContext, { Purpose::ReadTail, aShard.number_ }, std::move(command));
}

void
SendLoad(const Context& aContext, Shard& aShard)
{
  const auto* const segment = FindSegment(aShard.tail_, aShard.applied_);
  CHECK(segment != nullptr)
    << "claims shard " << aShard.number_ << " has no segment for position "
    << aShard.applied_;
  aShard.busy_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = ObjectKey(aShard, segment->name_);
  Send(aContext, { Purpose::LoadSegment, aShard.number_ }, std::move(command));
}

bool
CanRecord(const Shard& aShard, const Recording& aReport)
{
  if (!aReport.ready_) {
    return false;
  }
  if (aReport.record_.kind_ == RecordKind::Withdrawn) {
    return true;
  }
  const auto* const claim = Find(aShard.index_, aReport.record_.key_);
  return claim != nullptr && claim->attempt_ == aReport.record_.attempt_;
}

// Whether an ask needs a claim of its own; Resolve has answered the others.
bool
NeedsClaim(const Shard& aShard, const Waiting& aAsk)
{
  return Find(aShard.index_, aAsk.key_) == nullptr &&
         !IsWithdrawn(aShard.index_, aAsk.attempt_);
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
      aContext.now_ < aShard.writes_.retryAt_) {
    return false;
  }
  const bool claims =
    std::any_of(aShard.asks_.begin(),
                aShard.asks_.end(),
                [&](const auto& aAsk) { return NeedsClaim(aShard, aAsk); });
  return claims || IsReportDue(aContext, aShard) ||
         aShard.replacement_.stage_ == ReplacementStage::Ready ||
         !aShard.sweep_.garbage_.empty() || HasExpiredSegment(aContext, aShard);
}

Record
ClaimRecord(const Context& aContext, const Waiting& aAsk)
{
  Record record;
  record.kind_ = RecordKind::Claim;
  record.key_ = aAsk.key_;
  record.attempt_ = aAsk.attempt_;
  record.request_ = aAsk.request_;
  record.holder_ = aAsk.holder_;
  record.unixMs_ = absl::ToUnixMillis(aContext.wallClock_);
  return record;
}

// Puts all that waits into one write; a key takes part once a write.
void
AddRecords(const Context& aContext, Shard& aShard, Tail& aTail)
{
  std::size_t bytes = EncodedSize(aTail.open_);
  absl::flat_hash_set<Fingerprint> touched;
  for (const auto& report : aShard.reports_) {
    if (bytes < kMaxOpenBytes && CanRecord(aShard, report) &&
        touched.insert(report.record_.key_).second) {
      bytes += EncodedSize(report.record_);
      aTail.open_.push_back(report.record_);
    }
  }
  for (auto& ask : aShard.asks_) {
    if (bytes < kMaxOpenBytes && NeedsClaim(aShard, ask) &&
        touched.insert(ask.key_).second) {
      ask.sent_ = true;
      aTail.open_.push_back(ClaimRecord(aContext, ask));
      bytes += EncodedSize(aTail.open_.back());
    }
  }
}

void
SendWrite(const Context& aContext, Shard& aShard)
{
  aShard.proposal_ = aShard.tail_;
  DropExpired(aContext, aShard.proposal_);
  ApplyReplacement(aShard, aShard.proposal_);
  AddRecords(aContext, aShard, aShard.proposal_);
  aShard.busy_ = true;
  aShard.nextWriteAt_ =
    aContext.now_ + aContext.state_.settings_.writeInterval_;
  aShard.sweep_.writeSent_ = !aShard.sweep_.garbage_.empty();
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = TailKey(aShard);
  command.value_ = Encode(aShard.proposal_);
  command.expect_ = aShard.version_;
  Send(aContext, { Purpose::WriteTail, aShard.number_ }, std::move(command));
}

void
AdoptOwn(const Context& aContext,
         Shard& aShard,
         const Flight& aFlight,
         const platform::Reply& aReply)
{
  const Tail before = aShard.tail_;
  Adopt(aShard, aReply.version_, std::move(aShard.proposal_));
  aShard.proposal_ = Tail();
  aShard.viewEvent_ = std::max(aShard.viewEvent_, aFlight.event_);
  DeleteReplaced(aContext, aShard, before);
}

void
CountLoad(const Context& aContext, Shard& aShard)
{
  if (!aShard.loadCounted_) {
    aShard.loadCounted_ = true;
    Raise(aContext, Counter::ShardLoaded);
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
  return aShard.known_ && aShard.applied_ == EndOf(aShard.tail_);
}

bool
IsFailing(const Context& aContext, const Shard& aShard)
{
  const absl::Time since =
    std::min(aShard.reads_.since_, aShard.writes_.since_);
  return aContext.now_ - since >= aContext.state_.settings_.askTimeout_;
}

void
Pump(const Context& aContext, Shard& aShard)
{
  if (IsLoaded(aShard)) {
    CountLoad(aContext, aShard);
    Resolve(aContext, aShard);
  }
  if (aShard.busy_ || aContext.now_ < aShard.reads_.retryAt_) {
    return;
  }
  if (!aShard.known_ || aShard.refresh_) {
    return SendRead(aContext, aShard);
  }
  if (!IsLoaded(aShard)) {
    return SendLoad(aContext, aShard);
  }
  StoreAnswers(aContext, aShard);
  if (IsWriteDue(aContext, aShard)) {
    SendWrite(aContext, aShard);
  }
}

void
OnTailRead(const Context& aContext,
           Shard& aShard,
           const Flight& aFlight,
           const platform::Reply& aReply)
{
  aShard.busy_ = false;
  if (aReply.outcome_ == platform::Outcome::Ok ||
      aReply.outcome_ == platform::Outcome::Absent) {
    AdoptForeign(aContext, aShard, aFlight, aReply);
  } else {
    NoteFailure(aContext, aShard, aShard.reads_);
  }
  Pump(aContext, aShard);
}

void
OnTailWritten(const Context& aContext,
              Shard& aShard,
              const Flight& aFlight,
              const platform::Reply& aReply)
{
  aShard.busy_ = false;
  if (aReply.outcome_ == platform::Outcome::Ok) {
    aShard.writes_ = Backoff();
    AdoptOwn(aContext, aShard, aFlight, aReply);
  } else if (aReply.outcome_ == platform::Outcome::Conflict) {
    Raise(aContext, Counter::Conflict);
    aShard.writes_ = Backoff();
    // The loser of a race goes next; the winner waits for its interval.
    aShard.nextWriteAt_ = absl::InfinitePast();
    AdoptForeign(aContext, aShard, aFlight, aReply);
  } else {
    NoteFailure(aContext, aShard, aShard.writes_);
  }
  Maintain(aContext, aShard);
  Pump(aContext, aShard);
}

void
OnSegmentLoaded(const Context& aContext,
                Shard& aShard,
                const platform::Reply& aReply)
{
  aShard.busy_ = false;
  if (aReply.outcome_ == platform::Outcome::Absent) {
    // Another host may have merged it meanwhile; otherwise it is lost.
    aShard.refresh_ = true;
    if (aShard.missingAt_ == aShard.version_) {
      NoteCorrupt(aContext, aShard);
    }
    aShard.missingAt_ = aShard.version_;
    return Pump(aContext, aShard);
  }
  if (aReply.outcome_ != platform::Outcome::Ok) {
    NoteFailure(aContext, aShard, aShard.reads_);
    return;
  }
  const auto segment = ValueOrNothing(DecodeSegment, aReply.value_);
  if (!segment || segment->first_ > aShard.applied_ ||
      segment->first_ + segment->records_.size() <= aShard.applied_) {
    return NoteCorrupt(aContext, aShard);
  }
  aShard.reads_ = Backoff();
  for (auto i = aShard.applied_ - segment->first_; i < segment->records_.size();
       ++i) {
    ApplyRecord(aShard, segment->records_[i]);
  }
  ApplyOpenRecords(aShard);
  Pump(aContext, aShard);
}

} // namespace lycheeplank::claims
