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
  Send(aContext, { Purpose::CreateLayout }, std::move(command));
}

// Handles what came before the number of shards was known.
void
ReplayEarly(const Context& aContext)
{
  const auto early = std::move(aContext.state_.early_);
  aContext.state_.early_.clear();
  for (const auto& [event, since] : early) {
    // What came early has waited since then.
    const Context context{
      aContext.state_, since, aContext.wallClock_, aContext.effects_
    };
    if (const auto* const ask = std::get_if<ClaimRequest>(&event)) {
      OnAsk(context, *ask);
    } else if (const auto* const report = std::get_if<OutcomeReport>(&event)) {
      OnReport(context, *report);
    }
  }
}

void
OnLayout(const Context& aContext, const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  state.layoutAsked_ = false;
  const auto shards = ValueOrNothing(DecodeLayout, aReply.value_);
  if (!shards) {
    Raise(aContext, Counter::Corrupt);
    state.layoutRetryAt_ = aContext.now_ + state.settings_.maxBackoff_;
    return;
  }
  if (*shards != state.settings_.shards_) {
    Raise(aContext, Counter::LayoutDiffers);
  }
  state.shards_ = *shards;
  ReplayEarly(aContext);
}

} // namespace

void
ReadLayout(const Context& aContext)
{
  auto& state = aContext.state_;
  if (state.shards_ != 0 || state.layoutAsked_ ||
      aContext.now_ < state.layoutRetryAt_) {
    return;
  }
  state.layoutAsked_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = std::string(kLayoutKey);
  Send(aContext, { Purpose::ReadLayout }, std::move(command));
}

void
OnLayoutReply(const Context& aContext,
              Purpose aPurpose,
              const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  const bool isRead = aPurpose == Purpose::ReadLayout;
  if (isRead && aReply.outcome_ == platform::Outcome::Absent) {
    return CreateLayout(aContext);
  }
  if (isRead && aReply.outcome_ == platform::Outcome::Ok) {
    return OnLayout(aContext, aReply);
  }
  // A created layout is read back, whoever created it.
  state.layoutAsked_ = false;
  if (aReply.outcome_ != platform::Outcome::Ok &&
      aReply.outcome_ != platform::Outcome::Conflict) {
    Raise(aContext, Counter::PlatformFailure);
    state.layoutRetryAt_ = aContext.now_ + state.settings_.firstBackoff_;
  }
  ReadLayout(aContext);
}

void
ExpireEarly(const Context& aContext)
{
  auto& early = aContext.state_.early_;
  const absl::Time limit =
    aContext.now_ - aContext.state_.settings_.askTimeout_;
  const auto isLateAsk = [&](Early& aEarly) {
    if (aEarly.since_ > limit) {
      return false;
    }
    if (auto* const report = std::get_if<OutcomeReport>(&aEarly.event_);
        report != nullptr && report->ticket_ != 0) {
      aContext.effects_.emplace_back(ReportResponse{ report->ticket_, false });
      report->ticket_ = 0;
    }
    const auto* const ask = std::get_if<ClaimRequest>(&aEarly.event_);
    if (ask == nullptr) {
      return false;
    }
    AnswerUnsent(aContext, *ask, Verdict::Unavailable, Counter::Unavailable);
    return true;
  };
  early.erase(std::remove_if(early.begin(), early.end(), isLateAsk),
              early.end());
}

} // namespace lycheeplank::claims
