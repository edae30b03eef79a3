#include "gateway/exchange.h"

#include "gateway/clock.h"
#include "gateway/stream-end.h"

// The part of Exchange that ends streams.
namespace lycheeplank::gateway {

namespace {

// A target that takes longer to accept a connection isn't known to have died.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(100);

} // namespace

StreamFault
Exchange::FaultOfStream() const
{
  if (!EndsWithConnection(head_) && !events_.IsNumbered()) {
    return StreamFault::None;
  }
  // A stream that the caller continues may have no more events. One that was
  // cut here ends with an event of its run: an empty rest can't be told from an
  // answer without its events.
  const bool isContinued =
    !request_.lastEventId_.empty() && request_.lastEventId_ != "0";
  const bool mayBeEmpty = events_.IsNumbered() && !answerBegun_ &&
                          (isContinued || caller_->Head().method_ == "HEAD");
  if (events_.TargetCount() == 0 && !mayBeEmpty) {
    return StreamFault::NoEvents;
  }
  if (events_.IsWithinEvent()) {
    return StreamFault::PartialEvent;
  }
  if (events_.LacksEvents()) {
    return StreamFault::MissingEvent;
  }
  return events_.EndsBeforeLast() ? StreamFault::EarlyEnd : StreamFault::None;
}

void
Exchange::FinishStream(CallEnd aEnd)
{
  if (aEnd != CallEnd::Complete) {
    EndBroken(core::NameOf(kCallEnds, aEnd));
    return;
  }
  if (const auto fault = FaultOfStream(); fault != StreamFault::None) {
    if (EndsWithConnection(head_)) {
      host_.targetPool_.RecordLoss(targetId_, Now());
    }
    EndBroken(core::NameOf(kStreamFaults, fault));
    return;
  }
  if (events_.IsNumbered() && EndsWithConnection(head_) &&
      caller_->Head().method_ != "HEAD") {
    CheckStreamEnd();
    return;
  }
  EndStream();
}

void
Exchange::CheckStreamEnd()
{
  isEndChecked_ = true;
  weightsTimer_.Cancel();
  endTimer_.Set(
    kSettleTime,
    [self = shared_from_this(), attempt = attemptNumber_, endedAt = Now()] {
      self->JudgeStreamEnd(attempt, endedAt, absl::nullopt);
    });
}

void
Exchange::JudgeStreamEnd(std::uint64_t aAttempt,
                         absl::Time aEndedAt,
                         absl::optional<ConnectEnd> aConnect)
{
  if (ended_ || attemptNumber_ != aAttempt) {
    return;
  }
  const auto& pool = host_.targetPool_;
  const auto found = host_.members_.find(targetId_);
  const bool isListed =
    found != host_.members_.end() &&
    found->second.target_.state_ == fleet::TargetState::Ready &&
    found->second.expiresAt_ == absl::InfiniteFuture();
  EndEvidence evidence;
  // Connections to another process under the same id prove nothing.
  const bool hasRestarted = HasTargetRestarted();
  evidence.isConnected_ = !hasRestarted && pool.IsConnected(targetId_);
  // A host that has been frozen can't tell when calls were lost.
  evidence.hasLostCall_ =
    hasRestarted || (pool.LastLoss(targetId_) >= aEndedAt - kSettleTime &&
                     !IsCatchingUp(host_.stallDetector_, Now()));
  evidence.isListed_ = isListed;
  evidence.connect_ = aConnect;
  const auto verdict = JudgeEnd(evidence);
  switch (verdict) {
    case EndVerdict::Whole:
      EndStream();
      break;
    case EndVerdict::Broken:
      EndBroken(core::NameOf(kStreamFaults, StreamFault::TargetDied));
      break;
    case EndVerdict::NeedsConnection:
      host_.targetPool_.OpenSpare(
        targetId_,
        found->second.target_.address_,
        kConnectTimeout,
        [self = shared_from_this(), aAttempt, aEndedAt](ConnectEnd aEnd) {
          self->JudgeStreamEnd(aAttempt, aEndedAt, aEnd);
        });
      return;
  }
  host_.metrics_.Count(
    "stream_ends_total", "verdict", core::NameOf(kEndVerdicts, verdict));
}

void
Exchange::EndStream()
{
  if (const auto held = events_.ReleaseHeld(); !held.empty()) {
    WriteEvents(held, true);
  }
  RecordEventIds();
  ReleaseTarget(fleet::CallResult::Answered);
  if (!answerBegun_) {
    BeginAnswer();
  }
  if (!events_.IsNumbered()) {
    caller_->Write(events_.Rest());
  }
  caller_->End();
  Close("served", head_.status_, "whole");
}

void
Exchange::RecordEventIds()
{
  if (!isEvents_ || !events_.IsNumbered()) {
    return;
  }
  auto& ids = host_.eventIds_[service_];
  const auto seen = events_.SeenPattern();
  if (const auto before = ids.pattern_; RecordIds(ids, seen)) {
    host_.log_.Write(
      Line("event_ids")
        .Text("service", service_)
        .Text("id", request_.id_)
        .Text("target", targetId_)
        .Text("seen", core::NameOf(kIdPatterns, seen))
        .Text("before", core::NameOf(kIdPatterns, before))
        .Text("pattern", core::NameOf(kIdPatterns, ids.pattern_)));
  }
}

} // namespace lycheeplank::gateway
