#include "lycheeplank/relay_polls.h"

#include <algorithm>
#include <utility>

namespace lycheeplank::relays {

namespace {

// Returns whether a host lacks an urgent row. Hosts of an earlier release get
// it with the rows before it.
bool
LacksUrgentRow(const Feed& aFeed, const Position& aPosition)
{
  return IsKnown(aFeed, aPosition) &&
         aFeed.urgent_.lower_bound(
           std::max(aPosition.next_, aPosition.urgent_.value_or(0))) !=
           aFeed.urgent_.end();
}

bool
IsDue(const Polls& aPolls,
      const Feed& aFeed,
      const Poll& aPoll,
      absl::Time aNow)
{
  if (aNow >= aPoll.deadline_ || LacksUrgentRow(aFeed, aPoll.position_)) {
    return true;
  }
  return aNow >= aPolls.batchAt_ &&
         (aPolls.answersAll_ || IsBehind(aFeed, aPoll.position_));
}

} // namespace

absl::Duration
PollTimeOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre)
{
  return ForwardersOf(aHosts, aDataCentre).empty() ? kPollTime
                                                   : kForwardedPollTime;
}

std::uint64_t
AddPoll(Polls& aPolls,
        const Feed& aFeed,
        const Position& aPosition,
        absl::Time aNow)
{
  if (IsBehind(aFeed, aPosition)) {
    StartBatch(aPolls, aNow, false);
  }
  const auto number = aPolls.next_++;
  aPolls.waiting_[number] = { aPosition, aNow + aPolls.pollTime_ };
  return number;
}

void
RemovePoll(Polls& aPolls, std::uint64_t aPoll)
{
  aPolls.waiting_.erase(aPoll);
}

void
StartBatch(Polls& aPolls, absl::Time aNow, bool aAnswersAll)
{
  aPolls.batchAt_ = std::min(aPolls.batchAt_, aNow + kBatchTime);
  aPolls.answersAll_ |= aAnswersAll;
}

std::vector<PollGroup>
TakeDuePolls(Polls& aPolls, const Feed& aFeed, absl::Time aNow)
{
  absl::btree_map<Position, PollGroup> groups;
  for (auto at = aPolls.waiting_.begin(); at != aPolls.waiting_.end();) {
    const auto& [number, poll] = *at;
    if (!IsDue(aPolls, aFeed, poll, aNow)) {
      ++at;
      continue;
    }
    auto& group = groups[poll.position_];
    group.position_ = poll.position_;
    group.polls_.push_back(number);
    at = aPolls.waiting_.erase(at);
  }
  if (aNow >= aPolls.batchAt_) {
    aPolls.batchAt_ = absl::InfiniteFuture();
    aPolls.answersAll_ = false;
  }
  std::vector<PollGroup> due;
  for (auto& [position, group] : groups) {
    due.push_back(std::move(group));
  }
  return due;
}

absl::Time
NextDueTime(const Polls& aPolls, const Feed& aFeed)
{
  if (aPolls.waiting_.empty()) {
    return absl::InfiniteFuture();
  }
  if (std::any_of(aPolls.waiting_.begin(),
                  aPolls.waiting_.end(),
                  [&aFeed](const auto& aPoll) {
                    return LacksUrgentRow(aFeed, aPoll.second.position_);
                  })) {
    return absl::InfinitePast();
  }
  return std::min(aPolls.batchAt_, aPolls.waiting_.begin()->second.deadline_);
}

std::size_t
HeldBytes(HeldAnswers& aHeld)
{
  std::size_t bytes = 0;
  auto& answers = aHeld.answers_;
  answers.erase(std::remove_if(answers.begin(),
                               answers.end(),
                               [&bytes](const auto& aAnswer) {
                                 const auto answer = aAnswer.lock();
                                 bytes += answer ? answer->size() : 0;
                                 return answer == nullptr;
                               }),
                answers.end());
  return bytes;
}

} // namespace lycheeplank::relays
