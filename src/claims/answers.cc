#include "claims/shard.h"

#include <algorithm>

namespace lycheeplank::claims {

namespace {

PendingRequest*
FindRequest(Shard& aShard, std::uint64_t aTicket)
{
  const auto found = std::find_if(
    aShard.requests_.begin(),
    aShard.requests_.end(),
    [&](const auto& aRequest) { return aRequest.ticket_ == aTicket; });
  return found == aShard.requests_.end() ? nullptr : &*found;
}

PendingReport*
FindReport(Shard& aShard, std::uint64_t aId)
{
  const auto found =
    std::find_if(aShard.reports_.begin(),
                 aShard.reports_.end(),
                 [&](const auto& aReport) { return aReport.id_ == aId; });
  return found == aShard.reports_.end() ? nullptr : &*found;
}

void
SendAnswerFetch(const Context& aContext,
                const Shard& aShard,
                PendingRequest& aRequest,
                CommandPurpose aPurpose,
                const std::string& aName)
{
  aRequest.fetchingAnswer_ = true;
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = ObjectKey(aShard, aName);
  Send(aContext,
       { aPurpose, aShard.number_, aRequest.ticket_ },
       std::move(command));
}

// Sends the answer, or starts to read its body if that is stored as a separate
// object. Returns whether the answer was sent.
bool
SendOrFetchAnswer(const Context& aContext,
                  const Shard& aShard,
                  PendingRequest& aRequest,
                  const Record& aRecord)
{
  if (!aRecord.answerObject_.empty()) {
    aRequest.answer_ = aRecord.answer_;
    SendAnswerFetch(aContext,
                    aShard,
                    aRequest,
                    CommandPurpose::ReadAnswerObject,
                    aRecord.answerObject_);
    return false;
  }
  IncrementCounter(aContext, Counter::Repeated);
  aContext.effects_.emplace_back(
    ClaimResponse{ aRequest.ticket_, Verdict::Done, aRecord.answer_ });
  return true;
}

void
ScheduleFetchRetry(const Context& aContext,
                   Shard& aShard,
                   PendingRequest& aRequest)
{
  aRequest.fetchingAnswer_ = false;
  aRequest.nextFetchAt_ =
    aContext.now_ + aContext.state_.settings_.firstBackoff_;
  // Another host may have merged the record into another segment.
  aShard.needsRefresh_ = true;
}

void
EraseRequest(Shard& aShard, std::uint64_t aTicket)
{
  auto& requests = aShard.requests_;
  requests.erase(std::remove_if(requests.begin(),
                                requests.end(),
                                [&](const auto& aRequest) {
                                  return aRequest.ticket_ == aTicket;
                                }),
                 requests.end());
}

} // namespace

bool
TrySendStoredAnswer(const Context& aContext,
                    Shard& aShard,
                    PendingRequest& aRequest)
{
  if (aRequest.fetchingAnswer_ || aContext.now_ < aRequest.nextFetchAt_) {
    return false;
  }
  const auto& tail = aShard.tail_;
  const std::uint64_t position =
    OutcomePosition(*FindClaim(aShard.index_, aRequest.key_));
  if (position >= tail.openFirst_) {
    return SendOrFetchAnswer(
      aContext, aShard, aRequest, tail.open_[position - tail.openFirst_]);
  }
  const auto* const segment = FindSegment(tail, position);
  if (segment != nullptr) {
    SendAnswerFetch(aContext,
                    aShard,
                    aRequest,
                    CommandPurpose::ReadAnswerSegment,
                    segment->name_);
  }
  return false;
}

void
OnAnswerSegmentRead(const Context& aContext,
                    Shard& aShard,
                    const PendingCommand& aPending,
                    const platform::Reply& aReply)
{
  auto* const request = FindRequest(aShard, aPending.subject_);
  if (request == nullptr) {
    return;
  }
  const auto segment = aReply.outcome_ == platform::Outcome::Ok
                         ? DecodeOrNullopt(DecodeSegment, aReply.value_)
                         : absl::nullopt;
  const auto* const claim = FindClaim(aShard.index_, request->key_);
  if (!segment || claim == nullptr || claim->state_ != ClaimState::Done ||
      OutcomePosition(*claim) < segment->first_ ||
      OutcomePosition(*claim) - segment->first_ >= segment->records_.size()) {
    return ScheduleFetchRetry(aContext, aShard, *request);
  }
  const auto& record =
    segment->records_[OutcomePosition(*claim) - segment->first_];
  if (SendOrFetchAnswer(aContext, aShard, *request, record)) {
    EraseRequest(aShard, aPending.subject_);
  }
}

void
OnAnswerObjectRead(const Context& aContext,
                   Shard& aShard,
                   const PendingCommand& aPending,
                   const platform::Reply& aReply)
{
  auto* const request = FindRequest(aShard, aPending.subject_);
  if (request == nullptr) {
    return;
  }
  if (aReply.outcome_ != platform::Outcome::Ok) {
    return ScheduleFetchRetry(aContext, aShard, *request);
  }
  request->answer_.body_ = aReply.value_;
  IncrementCounter(aContext, Counter::Repeated);
  aContext.effects_.emplace_back(
    ClaimResponse{ request->ticket_, Verdict::Done, request->answer_ });
  EraseRequest(aShard, aPending.subject_);
}

void
StoreAnswers(const Context& aContext, Shard& aShard)
{
  for (auto& report : aShard.reports_) {
    if (report.answerStored_ || report.writingAnswer_ ||
        aContext.now_ < report.nextAnswerWriteAt_) {
      continue;
    }
    auto& name = report.record_.answerObject_;
    if (name.empty()) {
      name = NewObjectName(aContext, kAnswerKind);
    }
    report.writingAnswer_ = true;
    platform::Command command;
    command.operation_ = platform::Operation::Write;
    command.key_ = ObjectKey(aShard, name);
    command.value_ = report.record_.answer_.body_;
    Send(aContext,
         { CommandPurpose::WriteAnswer, aShard.number_, report.id_ },
         std::move(command));
  }
}

void
OnAnswerStored(const Context& aContext,
               Shard& aShard,
               const PendingCommand& aPending,
               const platform::Reply& aReply)
{
  auto* const report = FindReport(aShard, aPending.subject_);
  if (report == nullptr) {
    return;
  }
  report->writingAnswer_ = false;
  if (aReply.outcome_ != platform::Outcome::Ok) {
    IncrementCounter(aContext, Counter::PlatformFailure);
    report->nextAnswerWriteAt_ =
      aContext.now_ + aContext.state_.settings_.maxBackoff_;
    return;
  }
  report->answerStored_ = true;
  report->record_.answer_.body_.clear();
}

} // namespace lycheeplank::claims
