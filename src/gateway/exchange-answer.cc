#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include "gateway/clock.h"
#include "gateway/peers.h"

// The part of an exchange that passes a target's answer on.
namespace lycheeplank::gateway {

namespace {

// An answer that isn't a stream is held back up to this size until it is
// whole, so that another target can make up for a cut one.
constexpr std::size_t kHeldBytes = 256U << 10U;
// The same for all answers of a host, a fifth of the least memory of hosts.
constexpr std::size_t kMostHeldBytes = 32U << 20U;
// Bytes that wait for a slow caller before its target is held back.
constexpr std::size_t kMostUnsent = 256U << 10U;

bool
IsEventStream(const http::ResponseHead& aHead)
{
  const auto* type = http::FindField(aHead.fields_, "content-type");
  return type != nullptr &&
         absl::StartsWithIgnoreCase(*type, "text/event-stream");
}

http::Fields
PassedOn(const http::ResponseHead& aHead)
{
  http::Fields fields;
  for (const auto& field : aHead.fields_) {
    if (!http::IsHopField(aHead.fields_, field.name_) &&
        !absl::EqualsIgnoreCase(field.name_, "content-length")) {
      fields.push_back(field);
    }
  }
  return fields;
}

} // namespace

bool
Exchange::OnHead(const http::ResponseHead& aHead)
{
  auto answer = host_.adapter_.readAnswer_(aHead);
  if (!answer.requestId_.empty() && answer.requestId_ != request_.id_) {
    host_.metrics_.Count("foreign_answers_total");
    host_.log_.Write(Line("foreign_answer")
                       .Text("id", request_.id_)
                       .Text("answer_id", answer.requestId_)
                       .Text("target", targetId_));
    return false;
  }
  answer_ = std::move(answer);
  head_ = aHead;
  headTaken_ = true;
  body_.clear();
  CountHeld();
  const auto now = Now();
  const auto found = host_.members_.find(targetId_);
  if (found != host_.members_.end()) {
    auto& member = found->second;
    if (answer_.load_) {
      member.load_ = *answer_.load_;
      member.loadReportedAt_ = now;
    }
    if (answer_.weights_ && !request_.model_.empty()) {
      member.target_.weights_[request_.model_] = *answer_.weights_;
    }
  }
  NoteTarget();
  // A stream that goes on at another target keeps its first head.
  isEvents_ = aHead.status_ / 100 == 2 && IsEventStream(aHead);
  if (!isEvents_) {
    firstByteAt_ = now;
    // The head of a stream is no progress, its first event is.
    const auto length = std::min<std::uint64_t>(
      kHeldBytes, aHead.length_.value_or(std::uint64_t{ 0 }));
    silenceTimer_.Cancel();
    if (const auto limit = retry::BodyTimeLimit(*route_, history_, length);
        limit != absl::InfiniteDuration() && !begun_) {
      newBytes_ = 0;
      WatchSilence(limit);
    }
  }
  return true;
}

void
Exchange::NoteTarget()
{
  const auto now = Now();
  if (answer_.closedFor_) {
    statements::NoteClosed(host_.statements_,
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
  if (answer_.isLeaving_ &&
      statements::NoteLeaving(
        host_.statements_, host_.members_, targetId_, targetBornMs_, now)) {
    host_.log_.Write(Line("target_leaving")
                       .Text("target", targetId_)
                       .Text("id", request_.id_)
                       .Text("source", "answer"));
    host_.targets_.Drop(targetId_);
    TellTargetLeaves(host_, targetId_, targetBornMs_);
  }
}

void
Exchange::OnBody(std::string& aBody)
{
  if (isEvents_) {
    Relay(aBody);
    return;
  }
  newBytes_ += aBody.size();
  if (begun_ && events_.Count() > 0) {
    // The target where a stream was to go on has refused it.
    aBody.clear();
    if (newBytes_ > kHeldBytes) {
      EndEndless("refusal", newBytes_);
    }
    return;
  }
  if (begun_) {
    PassToCaller(aBody);
    aBody.clear();
    return;
  }
  body_ += aBody;
  aBody.clear();
  CountHeld();
  if (body_.size() > kHeldBytes || host_.heldBytes_ > kMostHeldBytes) {
    if (head_.status_ >= kServerError || answer_.notRun_) {
      EndEndless("error", body_.size());
      return;
    }
    BeginAnswer();
    silenceTimer_.Cancel();
    PassToCaller(body_);
    body_.clear();
    CountHeld();
  } else if (newBytes_ >= retry::kProgressBytes) {
    newBytes_ = 0;
    if (const auto limit = retry::BodyTimeLimit(*route_, history_, 0);
        limit != absl::InfiniteDuration()) {
      WatchSilence(limit);
    }
  }
}

void
Exchange::CountHeld()
{
  host_.heldBytes_ += body_.size();
  host_.heldBytes_ -= std::exchange(heldBytes_, body_.size());
}

void
Exchange::EndEndless(absl::string_view aPart, std::size_t aBytes)
{
  host_.metrics_.Count("endless_answers_total", "part", aPart);
  host_.log_.Write(Line("endless_answer")
                     .Text("id", request_.id_)
                     .Text("target", targetId_)
                     .Text("part", aPart)
                     .Number("status", head_.status_)
                     .Number("bytes", aBytes));
  // Nothing of it can be passed on.
  body_.clear();
  CountHeld();
  EndAttempt(retry::AttemptEnd::Failed);
}

void
Exchange::PassToCaller(absl::string_view aBytes)
{
  caller_->Write(aBytes);
  if (caller_->Unsent() > kMostUnsent && connection_ && !paused_) {
    paused_ = true;
    connection_->SetReading(false);
  }
}

void
Exchange::BeginAnswer()
{
  begun_ = true;
  caller_->Begin(head_.status_,
                 head_.reason_,
                 PassedOn(head_),
                 isEvents_ ? absl::nullopt : head_.length_);
  caller_->OnDrained([self = shared_from_this()] {
    if (self->paused_ && self->connection_) {
      self->paused_ = false;
      self->connection_->SetReading(true);
    }
  });
}

void
Exchange::NoteReads(absl::Duration aTook)
{
  const auto expected = absl::Seconds(choice_.waitSeconds_);
  const bool late = cache_index::IsLateRead(aTook, expected, ReadTime());
  std::vector<std::string> noted;
  for (const auto& part : attemptParts_) {
    const auto& store = part.readFrom_;
    if (!store.empty() &&
        std::find(noted.begin(), noted.end(), store) == noted.end()) {
      noted.push_back(store);
      cache_index::CountRead(host_.readCounts_, host_.kept_, store, late);
      const auto* state =
        cache_index::RecordRead(host_.kept_, store, late, Now());
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
Exchange::Relay(std::string& aBody)
{
  const auto dataBefore = events_.DataCount();
  const auto whole = events_.Take(aBody);
  if (events_.IsOverlong()) {
    EndEndless("event", events_.Rest().size());
    return;
  }
  if (whole.empty()) {
    return;
  }
  if (events_.DataCount() == dataBefore) {
    // Comments keep the connection open, nothing more.
    if (begun_) {
      PassToCaller(whole);
    }
    return;
  }
  const auto now = Now();
  if (firstByteAt_ == absl::InfinitePast()) {
    firstByteAt_ = now;
    if (const auto found = host_.members_.find(targetId_);
        found != host_.members_.end()) {
      fleet::RecordFirstByte(
        found->second, size_, now - sentAt_, choice_.nominalSeconds_);
      host_.onLoad_();
    }
    host_.metrics_.Observe("first_event_seconds", now - sentAt_);
    NoteReads(now - sentAt_);
  }
  if (!begun_) {
    BeginAnswer();
  }
  PassToCaller(whole);
  silenceTimer_.Cancel();
  if (const auto limit = retry::GapLimit(*route_, history_);
      limit != absl::InfiniteDuration() &&
      Uses(host_, mechanisms::Mechanism::GapLimit)) {
    WatchSilence(limit);
  }
}

void
Exchange::OnEnd(CallEnd aEnd)
{
  silenceTimer_.Cancel();
  if (isEvents_ && headTaken_) {
    FinishStream(aEnd);
    return;
  }
  if (aEnd != CallEnd::Complete) {
    host_.metrics_.Count(
      "broken_answers_total", "end", core::NameOf(kCallEnds, aEnd));
    EndAttempt(begun_ ? retry::AttemptEnd::CutAnswer
                      : retry::AttemptEnd::Failed);
    return;
  }
  if (answer_.notRun_) {
    --history_.runs_;
    EndAttempt(retry::AttemptEnd::NotRun);
    return;
  }
  if (begun_ && events_.Count() > 0) {
    EndAttempt(retry::AttemptEnd::Error);
    return;
  }
  if (begun_) {
    LeaveTarget(fleet::CallResult::Answered);
    caller_->End();
    Close("served", head_.status_, "whole");
    return;
  }
  if (head_.status_ >= kServerError) {
    EndAttempt(retry::AttemptEnd::Error);
    return;
  }
  DeliverWhole();
}

void
Exchange::DeliverWhole()
{
  LeaveTarget(fleet::CallResult::Answered);
  const auto status = head_.status_;
  // An answer to HEAD tells the length of a body that it lacks.
  const auto length = caller_->Head().method_ == "HEAD" && head_.length_
                        ? *head_.length_
                        : body_.size();
  caller_->Begin(status, head_.reason_, PassedOn(head_), length);
  caller_->Write(body_);
  caller_->End();
  Close(status / 100 == 2 ? "served" : "target_answer", status, "whole");
}

void
Exchange::FinishStream(CallEnd aEnd)
{
  // Without a length or chunks a stream that broke off ends like a whole one,
  // unless it does so within an event or before the first.
  const bool isFramed = head_.length_.has_value() || head_.isChunked_;
  const bool isPartial =
    !isFramed && (events_.Count() == 0 ||
                  !absl::StripAsciiWhitespace(events_.Rest()).empty());
  if (aEnd != CallEnd::Complete || isPartial) {
    host_.metrics_.Count("broken_answers_total",
                         "end",
                         isPartial ? "partial_event"
                                   : core::NameOf(kCallEnds, aEnd));
    EndAttempt(begun_ ? retry::AttemptEnd::CutAnswer
                      : retry::AttemptEnd::Failed);
    return;
  }
  LeaveTarget(fleet::CallResult::Answered);
  if (!begun_) {
    BeginAnswer();
  }
  caller_->Write(events_.Rest());
  caller_->End();
  Close("served", head_.status_, "whole");
}

} // namespace lycheeplank::gateway
