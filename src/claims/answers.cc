#include "claims/shard.h"

#include <algorithm>

namespace lycheeplank::claims {

namespace {

Waiting*
FindAsk(Shard& aShard, std::uint64_t aTicket)
{
  const auto found =
    std::find_if(aShard.asks_.begin(),
                 aShard.asks_.end(),
                 [&](const auto& aAsk) { return aAsk.ticket_ == aTicket; });
  return found == aShard.asks_.end() ? nullptr : &*found;
}

Recording*
FindReport(Shard& aShard, std::uint64_t aId)
{
  const auto found =
    std::find_if(aShard.reports_.begin(),
                 aShard.reports_.end(),
                 [&](const auto& aReport) { return aReport.id_ == aId; });
  return found == aShard.reports_.end() ? nullptr : &*found;
}

void
SendFetch(const Context& aContext,
          const Shard& aShard,
          Waiting& aAsk,
          Purpose aPurpose,
          const std::string& aName)
{
  aAsk.fetching_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = ObjectKey(aShard, aName);
  Send(
    aContext, { aPurpose, aShard.number_, aAsk.ticket_ }, std::move(command));
}

// Gives the answer, or reads its body if that is an object of its own.
bool
GiveOrRead(const Context& aContext,
           const Shard& aShard,
           Waiting& aAsk,
           const Record& aRecord)
{
  if (!aRecord.answerObject_.empty()) {
    aAsk.answer_ = aRecord.answer_;
    SendFetch(
      aContext, aShard, aAsk, Purpose::ReadAnswerObject, aRecord.answerObject_);
    return false;
  }
  Raise(aContext, Counter::Repeated);
  aContext.effects_.emplace_back(
    ClaimResponse{ aAsk.ticket_, Verdict::Done, aRecord.answer_ });
  return true;
}

void
RetryFetch(const Context& aContext, Shard& aShard, Waiting& aAsk)
{
  aAsk.fetching_ = false;
  aAsk.fetchAt_ = aContext.now_ + aContext.state_.settings_.firstBackoff_;
  // Another host may have moved the record to another segment.
  aShard.refresh_ = true;
}

void
EraseAsk(Shard& aShard, std::uint64_t aTicket)
{
  auto& asks = aShard.asks_;
  asks.erase(
    std::remove_if(asks.begin(),
                   asks.end(),
                   [&](const auto& aAsk) { return aAsk.ticket_ == aTicket; }),
    asks.end());
}

} // namespace

bool
TryGiveAnswer(const Context& aContext, Shard& aShard, Waiting& aAsk)
{
  if (aAsk.fetching_ || aContext.now_ < aAsk.fetchAt_) {
    return false;
  }
  const auto& tail = aShard.tail_;
  const std::uint64_t position =
    OutcomePosition(*Find(aShard.index_, aAsk.key_));
  if (position >= tail.openFirst_) {
    return GiveOrRead(
      aContext, aShard, aAsk, tail.open_[position - tail.openFirst_]);
  }
  const auto* const segment = FindSegment(tail, position);
  if (segment != nullptr) {
    SendFetch(
      aContext, aShard, aAsk, Purpose::ReadAnswerSegment, segment->name_);
  }
  return false;
}

void
OnAnswerSegment(const Context& aContext,
                Shard& aShard,
                const Flight& aFlight,
                const platform::Reply& aReply)
{
  auto* const ask = FindAsk(aShard, aFlight.subject_);
  if (ask == nullptr) {
    return;
  }
  const auto segment = aReply.outcome_ == platform::Outcome::Ok
                         ? ValueOrNothing(DecodeSegment, aReply.value_)
                         : absl::nullopt;
  const auto* const claim = Find(aShard.index_, ask->key_);
  if (!segment || claim == nullptr || claim->state_ != ClaimState::Done ||
      OutcomePosition(*claim) < segment->first_ ||
      OutcomePosition(*claim) - segment->first_ >= segment->records_.size()) {
    return RetryFetch(aContext, aShard, *ask);
  }
  const auto& record =
    segment->records_[OutcomePosition(*claim) - segment->first_];
  if (GiveOrRead(aContext, aShard, *ask, record)) {
    EraseAsk(aShard, aFlight.subject_);
  }
}

void
OnAnswerObject(const Context& aContext,
               Shard& aShard,
               const Flight& aFlight,
               const platform::Reply& aReply)
{
  auto* const ask = FindAsk(aShard, aFlight.subject_);
  if (ask == nullptr) {
    return;
  }
  if (aReply.outcome_ != platform::Outcome::Ok) {
    return RetryFetch(aContext, aShard, *ask);
  }
  ask->answer_.body_ = aReply.value_;
  Raise(aContext, Counter::Repeated);
  aContext.effects_.emplace_back(
    ClaimResponse{ ask->ticket_, Verdict::Done, ask->answer_ });
  EraseAsk(aShard, aFlight.subject_);
}

void
StoreAnswers(const Context& aContext, Shard& aShard)
{
  for (auto& report : aShard.reports_) {
    if (report.ready_ || report.writing_ || aContext.now_ < report.writeAt_) {
      continue;
    }
    auto& name = report.record_.answerObject_;
    if (name.empty()) {
      name = NewObjectName(aContext, kAnswerKind);
    }
    report.writing_ = true;
    platform::Command command;
    command.operation_ = platform::Operation::Write;
    command.key_ = ObjectKey(aShard, name);
    command.value_ = report.record_.answer_.body_;
    Send(aContext,
         { Purpose::WriteAnswer, aShard.number_, report.id_ },
         std::move(command));
  }
}

void
OnAnswerStored(const Context& aContext,
               Shard& aShard,
               const Flight& aFlight,
               const platform::Reply& aReply)
{
  auto* const report = FindReport(aShard, aFlight.subject_);
  if (report == nullptr) {
    return;
  }
  report->writing_ = false;
  if (aReply.outcome_ != platform::Outcome::Ok) {
    Raise(aContext, Counter::PlatformFailure);
    report->writeAt_ = aContext.now_ + aContext.state_.settings_.maxBackoff_;
    return;
  }
  report->ready_ = true;
  report->record_.answer_.body_.clear();
}

} // namespace lycheeplank::claims
