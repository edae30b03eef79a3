#include "poison/news.h"

#include <algorithm>

#include <absl/strings/str_join.h>

#include "poison/evidence.h"

namespace lycheeplank::poison {

namespace {

// Moves the news of one kind that are due into a message.
template<typename Find>
void
TakeNews(absl::btree_map<std::string, int>& aNews, const Find& aFind)
{
  std::size_t taken = 0;
  for (auto item = aNews.begin(); item != aNews.end() && taken < kMaxItems;) {
    ++taken;
    if (!aFind(item->first) || --item->second <= 0) {
      item = aNews.erase(item);
    } else {
      ++item;
    }
  }
}

Message
TakeMessage(State& aState, absl::Time aNow)
{
  Message message;
  message.sender_ = aState.self_;
  for (auto& news : aState.newLosses_) {
    if (message.losses_.size() == kMaxItems) {
      break;
    }
    message.losses_.push_back(news.loss_);
    --news.repeats_;
  }
  auto& losses = aState.newLosses_;
  losses.erase(
    std::remove_if(losses.begin(),
                   losses.end(),
                   [](const auto& aNews) { return aNews.repeats_ <= 0; }),
    losses.end());
  TakeNews(aState.newBegins_, [&](const std::string& aTrait) {
    const auto at = LastBegin(aState, aTrait);
    message.begins_.push_back({ aTrait, at });
    if (const auto found = aState.suspects_.find(aTrait);
        found != aState.suspects_.end()) {
      Clear(found->second, at, true);
    }
    return true;
  });
  TakeNews(aState.newSightings_, [&](const std::string& aTarget) {
    const auto found = aState.sightings_.find(aTarget);
    if (found == aState.sightings_.end()) {
      return false;
    }
    message.sightings_.push_back(found->second);
    return true;
  });
  TakeNews(aState.newBlocks_, [&](const std::string& aKey) {
    const auto found = std::find_if(
      aState.blocks_.begin(), aState.blocks_.end(), [&](const auto& aBlock) {
        return KeyOf(aBlock.traits_) == aKey;
      });
    if (found == aState.blocks_.end()) {
      return false;
    }
    message.blocks_.push_back(*found);
    return true;
  });
  if (!message.losses_.empty() ||
      (aState.hasNewLosses_ &&
       aNow - aState.trafficToldAt_ >= kTrafficPeriod)) {
    message.traffic_ = aState.ownTraffic_;
    aState.trafficToldAt_ = aNow;
    aState.hasNewLosses_ = false;
  }
  return message;
}

bool
HasNews(const Message& aMessage)
{
  return !aMessage.losses_.empty() || !aMessage.begins_.empty() ||
         !aMessage.sightings_.empty() || !aMessage.blocks_.empty() ||
         !aMessage.traffic_.empty();
}

// Returns whether there are news that no message has contained yet.
bool
HasFreshNews(const State& aState)
{
  const auto isFresh = [](const auto& aNews) {
    return aNews.second == kRepeats;
  };
  return !aState.newBlocks_.empty() ||
         std::any_of(
           aState.newLosses_.begin(),
           aState.newLosses_.end(),
           [](const auto& aNews) { return aNews.repeats_ == kLossRepeats; }) ||
         std::any_of(
           aState.newBegins_.begin(), aState.newBegins_.end(), isFresh) ||
         std::any_of(
           aState.newSightings_.begin(), aState.newSightings_.end(), isFresh);
}

} // namespace

std::string
KeyOf(const Traits& aTraits)
{
  return absl::StrJoin(aTraits, ",");
}

void
Clear(State::Suspicion& aSuspicion, absl::Time aBeganAt, bool aIsTold)
{
  if (aBeganAt > aSuspicion.lostAt_) {
    aSuspicion.losses_ = 0;
  }
  if (!aIsTold) {
    return;
  }
  aSuspicion.toldBeginAt_ = std::max(aSuspicion.toldBeginAt_, aBeganAt);
  if (aSuspicion.toldBeginAt_ >= aSuspicion.lastMomentAt_) {
    aSuspicion.moments_ = 0;
  } else if (aSuspicion.toldBeginAt_ >= aSuspicion.firstMomentAt_) {
    aSuspicion.moments_ = 1;
    aSuspicion.firstMomentAt_ = aSuspicion.lastMomentAt_;
  }
}

void
AddRefutation(const State& aState, const Block& aBlock, Message& aReply)
{
  for (const auto& trait : aBlock.traits_) {
    if (const auto at = LastBegin(aState, trait);
        at > aBlock.firstCrashAt_ && aReply.begins_.size() < kMaxItems) {
      aReply.begins_.push_back({ trait, at });
    }
  }
}

Message
AllBlocks(const State& aState)
{
  Message message;
  message.sender_ = aState.self_;
  message.blocks_ = aState.blocks_;
  for (const auto& [trait, suspicion] : aState.suspects_) {
    const auto at = LastBegin(aState, trait);
    if (at != absl::InfinitePast() && message.begins_.size() < kMaxItems) {
      message.begins_.push_back({ trait, at });
    }
  }
  return message;
}

absl::optional<Message>
TakeDueNews(State& aState, absl::Time aNow)
{
  const auto period = HasFreshNews(aState) ? kTellPeriod : kRepeatPeriod;
  if (aState.newBlocks_.empty() && aNow - aState.toldAt_ < period) {
    return absl::nullopt;
  }
  auto message = TakeMessage(aState, aNow);
  if (!HasNews(message)) {
    return absl::nullopt;
  }
  aState.toldAt_ = aNow;
  return message;
}

absl::optional<Message>
TellLosses(State& aState, absl::Time aNow)
{
  if (aState.newLosses_.empty() || aNow - aState.toldAt_ < kQuietTime) {
    return absl::nullopt;
  }
  aState.toldAt_ = aNow;
  return TakeMessage(aState, aNow);
}

} // namespace lycheeplank::poison
