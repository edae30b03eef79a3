#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/answer-head.h"
#include "gateway/clock.h"
#include "gateway/crash-notices.h"
#include "gateway/peers.h"
#include "gateway/permits.h"

// The part of Exchange that forwards a target's answer to the caller.
namespace lycheeplank::gateway {

namespace {

// An answer that isn't an event stream is buffered up to this size until it is
// complete, so that another target can replace an answer that is cut.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
// Limit for all buffered answers of a host together: a fifth of the memory of
// the smallest hosts.
constexpr std::size_t kMaxTotalBufferedBytes = 32U << 20U;
// Bytes that may wait for a slow caller before the host stops reading from the
// target.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;
// The same limit while half of the memory for such bytes is used.
constexpr std::size_t kMaxUnsentBytesWhenFull = 32U << 10U;

} // namespace

bool
Exchange::OnHead(const http::ResponseHead& aHead)
{
  // Only fields that reach the caller count.
  auto head = aHead;
  head.fields_ = ForwardedFields(aHead);
  auto answer = host_.adapter_.readAnswer_(head);
  if (!answer.requestId_.empty() && answer.requestId_ != request_.id_) {
    host_.metrics_.Count("foreign_answers_total");
    host_.log_.Write(Line("foreign_answer")
                       .Text("id", request_.id_)
                       .Text("answer_id", answer.requestId_)
                       .Text("target", targetId_));
    return false;
  }
  answer_ = std::move(answer);
  head_ = std::move(head);
  headAccepted_ = true;
  body_.clear();
  UpdateBufferedBytes();
  if (const auto fault = FaultOf(head_, answer_, request_.id_, *route_);
      fault != HeadFault::None) {
    NoteBytes(host_, Evidence());
    AbandonHead(fault);
    return true;
  }
  const auto now = Now();
  if (auto* member = CalledMember()) {
    if (answer_.load_) {
      fleet::RecordLoad(*member, *answer_.load_, now);
      host_.haveTargetsSlowness_ |= answer_.load_->slowness_.has_value();
    }
    if (answer_.weights_ && !request_.model_.empty() && IsFromTarget()) {
      auto& version = member->target_.weights_[request_.model_];
      if (version != *answer_.weights_) {
        host_.log_.Write(Line("target_weights")
                           .Text("target", targetId_)
                           .Text("instance", answer_.instance_)
                           .Text("model", request_.model_)
                           .Number("before", version)
                           .Number("version", *answer_.weights_)
                           .Text("id", request_.id_)
                           .Text("source", "answer"));
      }
      version = *answer_.weights_;
    }
  }
  NoteBytes(host_, Evidence());
  NoteTargetBytes(host_, targetId_, targetBornMs_);
  ApplyTargetState();
  ApplyTargetLimit();
  // A stream that continues at another target keeps the head that the caller
  // has received.
  isEvents_ = IsSuccess(head_.status_) && IsEventStream(head_);
  if (!isEvents_) {
    firstByteAt_ = now;
    // The head of an event stream doesn't count as progress; its first event
    // does.
    const auto length = std::min<std::uint64_t>(
      kMaxBufferedBytes, head_.length_.value_or(std::uint64_t{ 0 }));
    silenceTimer_.Cancel();
    if (const auto limit = retry::BodyTimeLimit(*route_, history_, length);
        limit != absl::InfiniteDuration() && !answerBegun_) {
      bytesSinceProgress_ = 0;
      StartSilenceTimer(limit);
    }
  }
  return true;
}

bool
Exchange::IsFromTarget() const
{
  return !answer_.isMisdirected_ || answer_.instance_ == targetId_;
}

double
Exchange::ReportedSlowness() const
{
  return answer_.load_ ? answer_.load_->slowness_.value_or(1.0) : 1.0;
}

void
Exchange::ApplyTargetState()
{
  const auto now = Now();
  if (answer_.closedFor_) {
    availability::NoteClosed(host_.availability_,
                             host_.members_,
                             targetId_,
                             targetBornMs_,
                             *answer_.closedFor_,
                             now);
    host_.log_.Write(Line("target_closed")
                       .Text("target", targetId_)
                       .Text("id", request_.id_)
                       .Age("for_ms", *answer_.closedFor_));
  }
  if (answer_.isLeaving_ && IsFromTarget() &&
      availability::NoteLeaving(
        host_.availability_, host_.members_, targetId_, targetBornMs_, now)) {
    host_.log_.Write(Line("target_leaving")
                       .Text("target", targetId_)
                       .Text("id", request_.id_)
                       .Text("source", "answer"));
    host_.targetPool_.Drop(targetId_);
    BroadcastTargetLeaving(host_, targetId_, targetBornMs_);
  }
}

void
Exchange::ApplyTargetLimit()
{
  // Without a stamp, a proxy may have answered, which doesn't know the limit.
  if (IsFromTarget() && CalledMember() != nullptr &&
      (answer_.requestsPerSecond_ || answer_.isStamped_)) {
    NoteTargetLimit(
      host_, targetId_, answer_.requestsPerSecond_, sentAt_, request_.id_);
  }
}

void
Exchange::OnBody(std::string& aBody)
{
  if (isEvents_) {
    ForwardEvents(aBody);
    return;
  }
  bytesSinceProgress_ += aBody.size();
  if (IsStreamBegun()) {
    // The target that should continue a stream answers with something else.
    aBody.clear();
    if (bytesSinceProgress_ > kMaxBufferedBytes) {
      AbandonOversized("refusal", bytesSinceProgress_);
    }
    return;
  }
  if (answerBegun_) {
    WriteToCaller(aBody);
    aBody.clear();
    return;
  }
  body_ += aBody;
  aBody.clear();
  UpdateBufferedBytes();
  if (body_.size() > kMaxBufferedBytes ||
      host_.bufferedBytes_ >
        std::min<std::uint64_t>(kMaxTotalBufferedBytes,
                                host_.memory_.answerBytes_)) {
    if (IsBufferedToEnd()) {
      AbandonOversized("error", body_.size());
      return;
    }
    if (IsSuccess(head_.status_)) {
      NoteBegin(host_, Evidence());
    }
    BeginAnswer();
    silenceTimer_.Cancel();
    WriteToCaller(body_);
    body_.clear();
    UpdateBufferedBytes();
  } else if (bytesSinceProgress_ >= retry::kProgressBytes) {
    bytesSinceProgress_ = 0;
    if (const auto limit = retry::BodyTimeLimit(*route_, history_, 0);
        limit != absl::InfiniteDuration()) {
      StartSilenceTimer(limit);
    }
  }
}

bool
Exchange::IsUnprovenRefusal() const
{
  return core::PromisesNotRun(head_.status_) && !answer_.notRun_;
}

bool
Exchange::IsBufferedToEnd() const
{
  return head_.status_ >= kServerError || answer_.notRun_ ||
         IsUnprovenRefusal();
}

void
Exchange::UpdateBufferedBytes()
{
  if (body_.empty()) {
    // Otherwise the string keeps its memory until the end of a long answer.
    std::string().swap(body_);
  }
  const auto held = body_.empty() ? 0 : body_.capacity();
  host_.bufferedBytes_ += held;
  host_.bufferedBytes_ -= std::exchange(bufferedBytes_, held);
}

void
Exchange::AbandonOversized(absl::string_view aPart, std::size_t aBytes)
{
  host_.metrics_.Count("endless_answers_total", "part", aPart);
  host_.log_.Write(Line("endless_answer")
                     .Text("id", request_.id_)
                     .Text("target", targetId_)
                     .Text("part", aPart)
                     .Number("status", head_.status_)
                     .Number("bytes", aBytes));
  // No part of this answer can be forwarded.
  body_.clear();
  UpdateBufferedBytes();
  EndAttempt(retry::AttemptEnd::Failed);
}

void
Exchange::AbandonHead(HeadFault aFault)
{
  const auto* type = http::FindField(head_.fields_, "content-type");
  host_.log_.Write(Line("invalid_head")
                     .Text("id", request_.id_)
                     .Text("target", targetId_)
                     .Text("fault", core::NameOf(kHeadFaults, aFault))
                     .Number("status", head_.status_)
                     .Text("type", type == nullptr ? "" : *type)
                     .Text("answer_id", answer_.requestId_)
                     .Flag("stamped", answer_.isStamped_));
  EndBroken("invalid_head");
}

void
Exchange::AbandonInvalid()
{
  host_.log_.Write(Line("invalid_event")
                     .Text("id", request_.id_)
                     .Text("target", targetId_)
                     .Text("last_event", events_.LastId())
                     .Number("bytes", events_.Rest().size()));
  EndBroken("invalid_event");
}

void
Exchange::EndBroken(absl::string_view aEnd)
{
  host_.metrics_.Count("broken_answers_total", "end", aEnd);
  brokenEnd_ = aEnd;
  EndAttempt(answerBegun_ ? retry::AttemptEnd::CutAnswer
                          : retry::AttemptEnd::Failed);
}

void
Exchange::WriteToCaller(absl::string_view aBytes)
{
  caller_->Write(aBytes);
  const bool isFull =
    TotalsOfSockets().unsentBytes_ > host_.memory_.unsentBytes_ / 2;
  const auto limit = isFull ? kMaxUnsentBytesWhenFull : kMaxUnsentBytes;
  if (caller_->Unsent() > limit && connection_ && !readingPaused_) {
    readingPaused_ = true;
    connection_->SetReading(false);
  }
}

void
Exchange::BeginAnswer()
{
  answerBegun_ = true;
  caller_->Begin(head_.status_,
                 head_.reason_,
                 head_.fields_,
                 isEvents_ ? absl::nullopt : head_.length_);
  caller_->OnDrained([self = shared_from_this()] {
    if (self->readingPaused_ && self->connection_) {
      self->readingPaused_ = false;
      self->connection_->SetReading(true);
    }
  });
}

void
Exchange::RecordCacheReads(absl::Duration aTook)
{
  const auto expected = absl::Seconds(choice_.waitSeconds_);
  const bool late = cache_index::IsLateRead(aTook, expected, ReadTime());
  std::vector<std::string> noted;
  for (const auto& part : attemptParts_) {
    const auto& store = part.readFrom_;
    if (!store.empty() &&
        std::find(noted.begin(), noted.end(), store) == noted.end()) {
      noted.push_back(store);
      cache_index::CountRead(host_.readCounts_, host_.cacheIndex_, store, late);
      const auto* state =
        cache_index::RecordRead(host_.cacheIndex_, store, late, Now());
      if (state != nullptr &&
          state->readShare_ < 1.0 - cache_index::kReadShareIncrease) {
        host_.metrics_.Count(
          "slow_reads_total", "store", state->settings_.name_);
        host_.log_.Write(Line("cache_store_slow")
                           .Text("id", request_.id_)
                           .Text("store", state->settings_.name_)
                           .Age("took_ms", aTook)
                           .Age("expected_ms", expected)
                           .Flag("late", late)
                           .Number("late_reads", state->lateReadShare_)
                           .Number("read_share", state->readShare_));
      }
    }
  }
}

void
Exchange::ForwardEvents(std::string& aBody)
{
  const auto dataBefore = events_.DataCount();
  const auto whole = events_.Take(aBody);
  if (!whole.empty()) {
    WriteEvents(whole, events_.DataCount() > dataBefore);
  }
  if (events_.IsInvalid()) {
    AbandonInvalid();
  } else if (events_.IsOverlong()) {
    AbandonOversized("event", events_.UnusedBytes());
  }
}

void
Exchange::WriteEvents(absl::string_view aEvents, bool aHaveData)
{
  if (!aHaveData) {
    // Comments only keep the connection open; they aren't progress.
    if (answerBegun_) {
      WriteToCaller(aEvents);
    }
    return;
  }
  NoteBytes(host_, Evidence());
  NoteTargetBytes(host_, targetId_, targetBornMs_);
  const auto now = Now();
  if (firstByteAt_ == absl::InfinitePast()) {
    firstByteAt_ = now;
    NoteBegin(host_, Evidence());
    if (auto* member = CalledMember()) {
      fleet::RecordFirstByte(*member,
                             size_,
                             now - sentAt_,
                             choice_.nominalSeconds_,
                             ReportedSlowness());
      host_.onLoad_();
    }
    host_.metrics_.Observe("first_event_seconds", now - sentAt_);
    RecordCacheReads(now - sentAt_);
  }
  if (!answerBegun_) {
    BeginAnswer();
  }
  WriteToCaller(aEvents);
  silenceTimer_.Cancel();
  if (const auto limit = retry::GapLimit(*route_, history_);
      limit != absl::InfiniteDuration() &&
      Uses(host_, mechanisms::Mechanism::GapLimit)) {
    StartSilenceTimer(limit);
  }
}

void
Exchange::OnEnd(CallEnd aEnd)
{
  silenceTimer_.Cancel();
  if (aEnd == CallEnd::NoAnswer || aEnd == CallEnd::Cut) {
    host_.targetPool_.RecordLoss(targetId_, Now());
    NoteTargetLoss(host_, targetId_);
    if (firstByteAt_ == absl::InfinitePast()) {
      NoteLoss(host_, Evidence());
    }
  }
  if (isEvents_ && headAccepted_) {
    FinishStream(aEnd);
    return;
  }
  if (aEnd != CallEnd::Complete) {
    EndBroken(core::NameOf(kCallEnds, aEnd));
    return;
  }
  if (answer_.notRun_) {
    --history_.runs_;
    EndAttempt(retry::AttemptEnd::NotRun);
    return;
  }
  if (IsStreamBegun()) {
    EndAttempt(retry::AttemptEnd::Error);
    return;
  }
  if (answerBegun_) {
    ReleaseTarget(fleet::CallResult::Answered);
    caller_->End();
    Close("served", head_.status_, "whole");
    return;
  }
  if (IsUnprovenRefusal()) {
    host_.metrics_.Count(
      "unproven_refusals_total", "status", absl::StrCat(head_.status_));
    EndAttempt(retry::AttemptEnd::UnprovenRefusal);
    return;
  }
  if (head_.status_ >= kServerError) {
    EndAttempt(retry::AttemptEnd::Error);
    return;
  }
  DeliverBuffered();
}

void
Exchange::DeliverBuffered()
{
  const auto status = head_.status_;
  if (IsSuccess(status)) {
    NoteBegin(host_, Evidence());
  }
  ReleaseTarget(fleet::CallResult::Answered);
  // The answer to a HEAD request states the length of a body that isn't sent.
  const auto length = caller_->Head().method_ == "HEAD" && head_.length_
                        ? *head_.length_
                        : body_.size();
  caller_->Begin(status, head_.reason_, head_.fields_, length);
  caller_->Write(body_);
  caller_->End();
  Close(IsSuccess(status) ? "served" : "target_answer", status, "whole");
}

} // namespace lycheeplank::gateway
