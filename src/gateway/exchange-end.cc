#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_join.h>

#include "gateway/clock.h"
#include "gateway/crash-notices.h"
#include "gateway/warmup.h"

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
Exchange::EndUnsent(absl::string_view aReason,
                    absl::string_view aRefusal,
                    absl::Duration aRetryAfter)
{
  if (answerBegun_) {
    caller_->Abort();
    Close("cut", head_.status_, aReason);
  } else if (history_.runs_ > 0) {
    Answer(kBadGateway, aReason);
  } else {
    Refuse(aRefusal, aRetryAfter);
  }
}

void
Exchange::EndWithoutTarget()
{
  if (choice_.allEvacuated_) {
    EndUnsent("targets_evacuated", "targets_evacuated", kRetryAfterEvacuated);
    return;
  }
  const bool areClosed = choice_.backoffEndsAt_ != absl::InfiniteFuture();
  EndUnsent("no_other_target",
            areClosed ? "targets_closed" : "no_target",
            areClosed
              ? std::max(kRetryAfterNoTarget, choice_.backoffEndsAt_ - Now())
              : kRetryAfterNoTarget);
}

bool
Exchange::EndIfBlocked()
{
  const auto* block = FindBlock(host_, traits_);
  if (block == nullptr) {
    return false;
  }
  const bool isRequest = std::any_of(
    block->traits_.begin(), block->traits_.end(), [](const auto& aTrait) {
      return poison::KindOf(aTrait) == poison::TraitKind::Request;
    });
  const auto reason = isRequest ? "request_blocked" : "part_blocked";
  EndUnsent(reason, reason, poison::kRetryAfter);
  return true;
}

bool
Exchange::WaitIfSuspected()
{
  const auto delay = SendDelay(host_, traits_, history_.runs_ > 0);
  if (delay.time_ <= absl::ZeroDuration()) {
    return false;
  }
  if (delay.isBackoff_) {
    EndUnsent("request_suspected", "request_suspected", delay.time_);
    return true;
  }
  const auto now = Now();
  if (waitEndsAt_ == absl::InfiniteFuture()) {
    waitEndsAt_ = now + TimeLeft() / 2;
  }
  const auto wait = std::min(delay.time_, waitEndsAt_ - now);
  if (wait <= absl::ZeroDuration()) {
    return false;
  }
  host_.log_.Write(Line(history_.runs_ > 0 ? "resend_delayed" : "send_delayed")
                     .Text("id", request_.id_)
                     .Age("for_ms", wait));
  waitTimer_.Set(wait, [self = shared_from_this()] {
    if (!self->ended_) {
      self->TryNextTarget();
    }
  });
  return true;
}

void
Exchange::WithdrawIfBlocked()
{
  if (ended_ || isEndChecked_ || firstByteAt_ != absl::InfinitePast() ||
      FindBlock(host_, traits_) == nullptr) {
    return;
  }
  ReleaseTarget(fleet::CallResult::Abandoned);
  ++attemptNumber_;
  EndIfBlocked();
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
  auto* member = CalledMember();
  if (connection) {
    // A second copy of an answer without an id would be taken for the answer to
    // the next request there.
    const bool hasNoId = headAccepted_ && answer_.requestId_.empty();
    if (connection->IsBusy() || hasNoId || member == nullptr) {
      connection->Close();
    } else {
      host_.targetPool_.Return(targetId_, connection);
    }
  }
  if (member == nullptr) {
    return;
  }
  if (firstByteAt_ == absl::InfinitePast() || !isEvents_) {
    const bool answered = aResult == fleet::CallResult::Answered;
    fleet::RecordFirstByte(*member,
                           size_,
                           Now() - sentAt_,
                           answered ? choice_.nominalSeconds_ : 0.0,
                           ReportedSlowness());
  }
  if (aResult == fleet::CallResult::Unreachable) {
    ++host_.downReports_[member->idHash_];
    NoteTargetCold(
      host_, targetId_, absl::InfiniteDuration(), ColdEvidence::Unreachable);
    NoteTargetLoss(host_, targetId_);
  }
  host_.onLoad_();
  if (fleet::RecordCallEnd(*member, size_, aResult, Now())) {
    host_.log_.Write(Line("target_aside")
                       .Text("target", targetId_)
                       .Text("id", request_.id_)
                       .Number("failure_share", member->failureShare_)
                       .Age("for_ms", member->quarantinedUntil_ - Now()));
  }
}

fleet::Member*
Exchange::CalledMember() const
{
  const auto found = host_.members_.find(targetId_);
  return found == host_.members_.end() || HasTargetRestarted() ? nullptr
                                                               : &found->second;
}

bool
Exchange::HasTargetRestarted() const
{
  const auto found = host_.members_.find(targetId_);
  return found != host_.members_.end() &&
         found->second.target_.bornMs_ != targetBornMs_;
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
  if (aEnd == retry::AttemptEnd::Error ||
      aEnd == retry::AttemptEnd::UnprovenRefusal ||
      aEnd == retry::AttemptEnd::Outdated ||
      (headAccepted_ && answer_.closedFor_.has_value())) {
    result = fleet::CallResult::Abandoned;
  }
  host_.log_.Write(
    Line("attempt_failed")
      .Text("id", request_.id_)
      .Text("target", targetId_)
      .Number("attempt", history_.tries_)
      .Text("result", core::NameOf(retry::kAttemptEnds, aEnd))
      .Text("end", std::exchange(brokenEnd_, {}))
      .Number("status", headAccepted_ ? head_.status_ : 0)
      .Text("framing", headAccepted_ ? FramingOf(head_) : "")
      .Flag("misdirected", headAccepted_ && answer_.isMisdirected_)
      .Number("weights", attemptWeights_)
      .Age("took_ms", Now() - sentAt_)
      .Age("load_age_ms", choice_.loadAge_)
      .Number("events", events_.Count())
      .Text("parts", PartIds(request_.parts_))
      .Text("fingerprint", fingerprint_));
  ReleaseTarget(result);
  ++attemptNumber_;
  isEndChecked_ = false;
  RecordEventIds();
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
  // Only a stream can go on with the answer of another target.
  const bool mayGoOn = !answerBegun_ || IsStreamBegun();
  const auto step =
    mayGoOn ? retry::DecideNextStep(*route_, history_, aEnd, TimeLeft(), left)
            : retry::NextStep::Cut;
  switch (step) {
    case retry::NextStep::TryAgain:
      if (history_.sends_ > 0) {
        retry_budget::TakeResend(Ledger(), limits, Now());
      }
      TryNextTarget();
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

} // namespace lycheeplank::gateway
