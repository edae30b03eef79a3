#include "claims/events.h"

#include <algorithm>

namespace lycheeplank::claims {

namespace {

constexpr absl::string_view kLayoutKey = "claims/layout";

void
CreateLayout(const Context& aContext)
{
  platform::Command command;
  command.operation_ = platform::Operation::Write;
  command.key_ = std::string(kLayoutKey);
  command.value_ = EncodeLayout(aContext.state_.settings_.shards_);
  command.expect_ = 0;
  Send(aContext, { CommandPurpose::CreateLayout }, std::move(command));
}

// Handles the events that arrived before the number of shards was known.
void
ReplayDeferred(const Context& aContext)
{
  const auto deferred = std::move(aContext.state_.deferred_);
  aContext.state_.deferred_.clear();
  for (const auto& [event, since] : deferred) {
    // The timeout of a deferred event starts at its arrival.
    const Context context{
      aContext.state_, since, aContext.wallClock_, aContext.effects_
    };
    if (const auto* const request = std::get_if<ClaimRequest>(&event)) {
      OnClaimRequest(context, *request);
    } else if (const auto* const report = std::get_if<OutcomeReport>(&event)) {
      OnOutcomeReport(context, *report);
    }
  }
}

void
OnLayoutRead(const Context& aContext, const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  state.layoutRequested_ = false;
  const auto shards = DecodeOrNullopt(DecodeLayout, aReply.value_);
  if (!shards) {
    IncrementCounter(aContext, Counter::Corrupt);
    state.layoutRetryAt_ = aContext.now_ + state.settings_.maxBackoff_;
    return;
  }
  if (*shards != state.settings_.shards_) {
    IncrementCounter(aContext, Counter::LayoutDiffers);
  }
  state.shards_ = *shards;
  ReplayDeferred(aContext);
}

} // namespace

void
ReadLayout(const Context& aContext)
{
  auto& state = aContext.state_;
  if (state.shards_ != 0 || state.layoutRequested_ ||
      aContext.now_ < state.layoutRetryAt_) {
    return;
  }
  state.layoutRequested_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = std::string(kLayoutKey);
  Send(aContext, { CommandPurpose::ReadLayout }, std::move(command));
}

void
OnLayoutReply(const Context& aContext,
              CommandPurpose aPurpose,
              const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  const bool isRead = aPurpose == CommandPurpose::ReadLayout;
  if (isRead && aReply.outcome_ == platform::Outcome::Absent) {
    return CreateLayout(aContext);
  }
  if (isRead && aReply.outcome_ == platform::Outcome::Ok) {
    return OnLayoutRead(aContext, aReply);
  }
  // A created layout is read back, because another host may have created it.
  state.layoutRequested_ = false;
  if (aReply.outcome_ != platform::Outcome::Ok &&
      aReply.outcome_ != platform::Outcome::Conflict) {
    IncrementCounter(aContext, Counter::PlatformFailure);
    state.layoutRetryAt_ = aContext.now_ + state.settings_.firstBackoff_;
  }
  ReadLayout(aContext);
}

void
ExpireDeferred(const Context& aContext)
{
  auto& deferred = aContext.state_.deferred_;
  const absl::Time limit =
    aContext.now_ - aContext.state_.settings_.requestTimeout_;
  const auto isLateRequest = [&](DeferredEvent& aDeferred) {
    if (aDeferred.since_ > limit) {
      return false;
    }
    if (auto* const report = std::get_if<OutcomeReport>(&aDeferred.event_);
        report != nullptr && report->ticket_ != 0) {
      aContext.effects_.emplace_back(ReportResponse{ report->ticket_, false });
      report->ticket_ = 0;
    }
    const auto* const request = std::get_if<ClaimRequest>(&aDeferred.event_);
    if (request == nullptr) {
      return false;
    }
    AnswerBeforeWrite(
      aContext, *request, Verdict::Unavailable, Counter::Unavailable);
    return true;
  };
  deferred.erase(
    std::remove_if(deferred.begin(), deferred.end(), isLateRequest),
    deferred.end());
}

} // namespace lycheeplank::claims
