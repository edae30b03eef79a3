#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_join.h>

#include "gateway/clock.h"

// The part of Exchange that ends attempts and decides what follows.
namespace lycheeplank::gateway {

namespace {

constexpr int kBadGateway = 502;

// Returns the ids of a prompt's parts, for the log.
std::string
PartIds(const std::vector<cache_index::Part>& aParts)
{
  return absl::StrJoin(
    aParts, ",", [](std::string* aText, const cache_index::Part& aPart) {
      aText->append(aPart.id_);
    });
}

} // namespace

void
Exchange::EndWithoutTarget()
{
  if (answerBegun_) {
    caller_->Abort();
    Close("cut", head_.status_, "no_other_target");
  } else if (history_.runs_ > 0) {
    Answer(kBadGateway, "no_other_target");
  } else if (choice_.backoffEndsAt_ != absl::InfiniteFuture()) {
    Refuse("targets_closed",
           std::max(kRetryAfterNoTarget, choice_.backoffEndsAt_ - Now()));
  } else {
    Refuse("no_target", kRetryAfterNoTarget);
  }
}

void
Exchange::EndBlocked()
{
  if (answerBegun_) {
    caller_->Abort();
    Close("cut", head_.status_, "part_blocked");
  } else if (history_.runs_ > 0) {
    Answer(kBadGateway, "part_blocked");
  } else {
    Refuse("part_blocked", poison::kRetryAfter);
  }
}

void
Exchange::WithdrawIfBlocked()
{
  if (ended_ || firstByteAt_ != absl::InfinitePast() ||
      !IsBlocked(host_, sharedParts_)) {
    return;
  }
  ReleaseTarget(fleet::CallResult::Abandoned);
  ++attemptNumber_;
  EndBlocked();
}

void
Exchange::ReleaseTarget(fleet::CallResult aResult)
{
  silenceTimer_.Cancel();
  weightsTimer_.Cancel();
  host_.onBlock_.erase(this);
  if (!std::exchange(holdsTarget_, false)) {
    return;
  }
  const auto connection = std::exchange(connection_, nullptr);
  if (connection) {
    if (connection->IsBusy()) {
      connection->Close();
    } else {
      host_.targetPool_.Return(targetId_, connection);
    }
  }
  const auto found = host_.members_.find(targetId_);
  if (found == host_.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (firstByteAt_ == absl::InfinitePast() || !isEvents_) {
    const bool answered = aResult == fleet::CallResult::Answered;
    fleet::RecordFirstByte(
      member, size_, Now() - sentAt_, answered ? choice_.nominalSeconds_ : 0.0);
  }
  if (aResult == fleet::CallResult::Unreachable) {
    ++host_.downReports_[member.idHash_];
  }
  host_.onLoad_();
  if (fleet::RecordCallEnd(member, size_, aResult, Now())) {
    host_.log_.Write(Line("target_aside")
                       .Text("target", targetId_)
                       .Text("id", request_.id_)
                       .Number("failure_share", member.failureShare_)
                       .Age("for_ms", member.quarantinedUntil_ - Now()));
  }
}

void
Exchange::EndAttempt(retry::AttemptEnd aEnd)
{
  fleet::CallResult result = fleet::CallResult::Failed;
  if (aEnd == retry::AttemptEnd::NotRun || aEnd == retry::AttemptEnd::Error) {
    result = fleet::CallResult::Refused;
  }
  if (aEnd == retry::AttemptEnd::NotSent) {
    result = fleet::CallResult::Unreachable;
  }
  // Different weights aren't a failure of the target. A different target at its
  // address means that it has been replaced.
  if (answer_.isMisdirected_ && headAccepted_) {
    result = !answer_.instance_.empty() && answer_.instance_ != targetId_
               ? fleet::CallResult::Replaced
               : fleet::CallResult::Abandoned;
  }
  // Neither of these is evidence against the target: services also answer with
  // errors when the target is healthy, and a target that asks for a pause
  // works.
  if (aEnd == retry::AttemptEnd::Error || aEnd == retry::AttemptEnd::Outdated ||
      (headAccepted_ && answer_.closedFor_.has_value())) {
    result = fleet::CallResult::Abandoned;
  }
  host_.log_.Write(
    Line("attempt_failed")
      .Text("id", request_.id_)
      .Text("target", targetId_)
      .Number("attempt", history_.tries_)
      .Text("result", core::NameOf(retry::kAttemptEnds, aEnd))
      .Number("status", headAccepted_ ? head_.status_ : 0)
      .Flag("misdirected", headAccepted_ && answer_.isMisdirected_)
      .Number("weights", attemptWeights_)
      .Age("took_ms", Now() - sentAt_)
      .Age("load_age_ms", choice_.loadAge_)
      .Number("events", events_.Count())
      .Text("parts", PartIds(request_.parts_))
      .Text("fingerprint", fingerprint_));
  ReleaseTarget(result);
  ++attemptNumber_;
  // A stream that continues at another target begins there with a whole event.
  events_.Clear();
  // Once part of the answer has been sent, it can't be replaced by another one.
  TakeNextStep(answerBegun_ ? retry::AttemptEnd::CutAnswer : aEnd);
}

void
Exchange::TakeNextStep(retry::AttemptEnd aEnd)
{
  const auto limits = ResendLimits(host_);
  const bool left = retry_budget::ResendsLeft(Ledger(), limits, Now()) >= 1.0;
  const auto step =
    retry::DecideNextStep(*route_, history_, aEnd, TimeLeft(), left);
  switch (step) {
    case retry::NextStep::TryAgain:
      if (history_.sends_ > 0) {
        retry_budget::TakeResend(Ledger(), limits, Now());
      }
      SendAgain(aEnd);
      return;
    case retry::NextStep::PassOn:
      DeliverBuffered();
      return;
    case retry::NextStep::Refuse:
      Refuse(left ? "targets_full" : "resends_spent", kRetryAfterFull);
      return;
    case retry::NextStep::Fail:
      Answer(kBadGateway, core::NameOf(retry::kAttemptEnds, aEnd));
      return;
    case retry::NextStep::Cut:
      caller_->Abort();
      Close("cut", head_.status_, core::NameOf(retry::kAttemptEnds, aEnd));
      return;
  }
}

void
Exchange::SendAgain(retry::AttemptEnd aEnd)
{
  // The request may have crashed the target. Its parts are judged soon, and
  // waiting for that may save the next target.
  const auto delay =
    aEnd == retry::AttemptEnd::Failed
      ? std::min(ResendDelay(host_, sharedParts_), TimeLeft() / 2)
      : absl::ZeroDuration();
  if (delay <= absl::ZeroDuration()) {
    TryNextTarget();
    return;
  }
  host_.log_.Write(
    Line("resend_delayed").Text("id", request_.id_).Age("for_ms", delay));
  resendTimer_.Set(delay, [self = shared_from_this()] {
    if (!self->ended_) {
      self->TryNextTarget();
    }
  });
}

} // namespace lycheeplank::gateway
