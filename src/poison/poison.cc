#include "lycheeplank/poison.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "poison/evidence.h"
#include "poison/news.h"
#include "poison/traffic.h"

namespace lycheeplank::poison {

namespace {

// Losses at one start further apart than this don't belong to the same crash:
// the target survived the first ones.
constexpr absl::Duration kCrashTime = absl::Seconds(1);
// A request that is lost after this share of a wait counts as one that was sent
// after it: hosts' clocks and the ages in messages aren't exact.
constexpr double kMinWaited = 0.5;

// Returns how long requests with a suspected trait aren't sent.
absl::Duration
WaitOf(const KindLimits& aLimits, const State::Suspicion& aSuspicion)
{
  if (aSuspicion.moments_ < aLimits.backoffMoments_) {
    return kEvaluationTime;
  }
  return std::min(kMaxBackoff, kMinBackoff * std::exp2(aSuspicion.doublings_));
}

// Doubles the wait after a loss at a new moment of crashes, unless the lost
// request was sent before the wait began.
void
LengthenWait(const KindLimits& aLimits,
             State::Suspicion& aSuspicion,
             absl::Time aLostAt)
{
  if (aSuspicion.moments_ < aLimits.backoffMoments_) {
    return;
  }
  if (aSuspicion.moments_ == aLimits.backoffMoments_) {
    aSuspicion.doublings_ = 0;
    aSuspicion.waitSetAt_ = aLostAt;
  } else if (const auto wait = WaitOf(aLimits, aSuspicion);
             wait < kMaxBackoff &&
             aLostAt - aSuspicion.waitSetAt_ >= kMinWaited * wait) {
    ++aSuspicion.doublings_;
    aSuspicion.waitSetAt_ = aLostAt;
  }
}

// Returns a number in [0, 1) that differs between hosts, so that they don't all
// send a request again at the same moment.
double
OffsetOf(const State& aState, const std::string& aTrait)
{
  if (KindOf(aTrait) != TraitKind::Request) {
    return 0.0;
  }
  return std::ldexp(
    static_cast<double>(core::RendezvousScore(aTrait, aState.self_) >> 11U),
    -53);
}

bool
Contains(const Traits& aTraits, const Traits& aSome)
{
  return std::includes(
    aTraits.begin(), aTraits.end(), aSome.begin(), aSome.end());
}

// Returns whether bytes of the start were seen after a loss there.
bool
IsRefuted(const State& aState, const Start& aStart, absl::Time aLostAt)
{
  const auto found = aState.sightings_.find(aStart.target_);
  return found != aState.sightings_.end() && found->second.start_ == aStart &&
         found->second.at_ > aLostAt + kLateBytesTime;
}

// Returns whether the other hosts need to know the last begin of a suspected
// trait: it stands between crashes, or they know of none.
bool
IsBeginNeeded(const State& aState,
              const std::string& aTrait,
              const State::Suspicion& aSuspicion)
{
  const auto last = LastBegin(aState, aTrait);
  return aSuspicion.moments_ >= kTellMoments &&
         last > aSuspicion.toldBeginAt_ &&
         (last > aSuspicion.firstMomentAt_ ||
          aSuspicion.toldBeginAt_ == absl::InfinitePast());
}

void
TellBeginIfNeeded(State& aState,
                  const std::string& aTrait,
                  const State::Suspicion& aSuspicion)
{
  if (IsBeginNeeded(aState, aTrait, aSuspicion)) {
    aState.newBegins_.emplace(aTrait, kRepeats);
  }
}

void
Suspect(State& aState, const Traits& aTraits, absl::Time aLostAt)
{
  for (const auto& trait : aTraits) {
    if (aState.suspects_.size() >= kMaxSuspects &&
        !aState.suspects_.contains(trait)) {
      continue;
    }
    auto& suspicion = aState.suspects_[trait];
    suspicion.lostAt_ = std::max(suspicion.lostAt_, aLostAt);
    if (LastBegin(aState, trait) < aLostAt) {
      ++suspicion.losses_;
    }
    if (aLostAt <= suspicion.toldBeginAt_) {
      continue;
    }
    if (suspicion.moments_ == 0 ||
        absl::AbsDuration(aLostAt - suspicion.lastMomentAt_) >= kMomentTime) {
      suspicion.firstMomentAt_ =
        suspicion.moments_ == 0 ? aLostAt
                                : std::min(suspicion.firstMomentAt_, aLostAt);
      suspicion.lastMomentAt_ = suspicion.moments_ == 0
                                  ? aLostAt
                                  : std::max(suspicion.lastMomentAt_, aLostAt);
      ++suspicion.moments_;
      LengthenWait(LimitsOf(trait), suspicion, aLostAt);
    }
    TellBeginIfNeeded(aState, trait, suspicion);
  }
}

// Returns whether the loss is new.
bool
AddLoss(State& aState, const Loss& aLoss, absl::Time aNow)
{
  if (aLoss.traits_.empty() || aNow - aLoss.at_ > kEvidenceTime ||
      IsRefuted(aState, aLoss.start_, aLoss.at_)) {
    return false;
  }
  auto crash = std::find_if(
    aState.crashes_.begin(), aState.crashes_.end(), [&](const auto& aCrash) {
      return aCrash.start_ == aLoss.start_;
    });
  if (crash == aState.crashes_.end()) {
    if (aState.crashes_.size() >= kMaxCrashes) {
      aState.crashes_.erase(aState.crashes_.begin());
    }
    aState.crashes_.push_back({ aLoss.start_, aLoss.at_, {} });
    crash = aState.crashes_.end() - 1;
  } else if (aLoss.at_ - crash->at_ > kCrashTime) {
    *crash = { aLoss.start_, aLoss.at_, {} };
  }
  const bool isKnown = std::any_of(
    crash->losses_.begin(), crash->losses_.end(), [&](const auto& aOther) {
      return aOther.request_ == aLoss.request_;
    });
  if (isKnown || crash->losses_.size() >= kMaxLossesPerCrash) {
    return false;
  }
  crash->at_ = std::min(crash->at_, aLoss.at_);
  crash->losses_.push_back(aLoss);
  aState.evaluateAt_ = std::min(aState.evaluateAt_, crash->at_ + kSettleTime);
  Suspect(aState, aLoss.traits_, aLoss.at_);
  return true;
}

void
AddBegin(State& aState, const std::string& aTrait, absl::Time aAt)
{
  auto& begins = aState.begins_[KindOf(aTrait)];
  auto& at =
    begins.newer_.try_emplace(aTrait, absl::InfinitePast()).first->second;
  at = std::max(at, aAt);
  if (begins.newer_.size() > kMaxSoundTraits) {
    begins.older_ = std::exchange(begins.newer_, {});
  }
}

// Returns whether the sighting refutes a crash.
bool
AddSighting(State& aState, const Start& aStart, absl::Time aAt)
{
  const auto crash =
    std::find_if(aState.crashes_.begin(),
                 aState.crashes_.end(),
                 [&](const auto& aCrash) { return aCrash.start_ == aStart; });
  if (crash == aState.crashes_.end() || aAt <= crash->at_ + kLateBytesTime) {
    return false;
  }
  aState.sightings_[aStart.target_] = { aStart, aAt };
  aState.crashes_.erase(crash);
  return true;
}

// Adds a block unless it follows from a known one, and removes those that
// follow from it. Returns whether it is new.
bool
AddBlock(State& aState, const Block& aBlock)
{
  for (auto& known : aState.blocks_) {
    if (Contains(aBlock.traits_, known.traits_)) {
      known.lastCrashAt_ = std::max(known.lastCrashAt_, aBlock.lastCrashAt_);
      known.crashes_ = std::max(known.crashes_, aBlock.crashes_);
      return false;
    }
  }
  aState.blocks_.erase(std::remove_if(aState.blocks_.begin(),
                                      aState.blocks_.end(),
                                      [&](const auto& aKnown) {
                                        return Contains(aKnown.traits_,
                                                        aBlock.traits_);
                                      }),
                       aState.blocks_.end());
  if (aState.blocks_.size() >= kMaxBlocks) {
    aState.blocks_.erase(
      std::min_element(aState.blocks_.begin(),
                       aState.blocks_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.lastCrashAt_ < aRight.lastCrashAt_;
                       }));
  }
  aState.blocks_.push_back(aBlock);
  Suspect(aState, aBlock.traits_, aBlock.lastCrashAt_);
  return true;
}

// Returns a block without the traits that have proved sound.
Block
Narrow(const State& aState, Block aBlock)
{
  auto& traits = aBlock.traits_;
  traits.erase(std::remove_if(traits.begin(),
                              traits.end(),
                              [&](const std::string& aTrait) {
                                return LastBegin(aState, aTrait) >
                                       aBlock.firstCrashAt_;
                              }),
               traits.end());
  return aBlock;
}

// Removes traits from blocks that have proved sound, and ends blocks.
void
ReviewBlocks(State& aState, absl::Time aNow, std::vector<BlockChange>& aChanges)
{
  for (auto& block : std::exchange(aState.blocks_, {})) {
    const auto narrowed = Narrow(aState, block);
    const auto& traits = narrowed.traits_;
    if (traits.empty() || aNow - block.lastCrashAt_ > kBlockTime) {
      aChanges.push_back({ Change::Ended, std::move(block) });
      continue;
    }
    if (traits.size() < block.traits_.size()) {
      aChanges.push_back({ Change::Narrowed, narrowed });
    }
    AddBlock(aState, narrowed);
  }
}

void
DropOld(State& aState, absl::Time aNow)
{
  const auto oldest = aNow - kEvidenceTime;
  DropOldTraffic(aState, aNow);
  aState.crashes_.erase(
    std::remove_if(aState.crashes_.begin(),
                   aState.crashes_.end(),
                   [&](const auto& aCrash) { return aCrash.at_ < oldest; }),
    aState.crashes_.end());
  absl::erase_if(aState.sightings_, [&](const auto& aEntry) {
    return aEntry.second.at_ < oldest;
  });
  const auto isBlocked = [&](const std::string& aTrait) {
    return std::any_of(
      aState.blocks_.begin(), aState.blocks_.end(), [&](const auto& aBlock) {
        return Contains(aBlock.traits_, { aTrait });
      });
  };
  auto& suspects = aState.suspects_;
  for (auto item = suspects.begin(); item != suspects.end();) {
    const bool isOld = item->second.lostAt_ < oldest && !isBlocked(item->first);
    item = isOld ? suspects.erase(item) : std::next(item);
  }
}

bool
HasParts(const Loss& aLoss)
{
  return std::any_of(
    aLoss.traits_.begin(), aLoss.traits_.end(), [](const auto& aTrait) {
      return KindOf(aTrait) == TraitKind::Part;
    });
}

// Returns the traits without those with which answers have just begun. They
// can't be the cause, and others needn't hear of them.
Traits
UnprovenTraits(const State& aState, const Traits& aTraits, absl::Time aNow)
{
  Traits unproven;
  std::copy_if(aTraits.begin(),
               aTraits.end(),
               std::back_inserter(unproven),
               [&](const std::string& aTrait) {
                 return aNow - LastBegin(aState, aTrait) > kProvenTime;
               });
  return unproven;
}

} // namespace

absl::Time
LastBegin(const State& aState, const std::string& aTrait)
{
  auto last = absl::InfinitePast();
  const auto begins = aState.begins_.find(KindOf(aTrait));
  if (begins == aState.begins_.end()) {
    return last;
  }
  for (const auto* times : { &begins->second.newer_, &begins->second.older_ }) {
    if (const auto found = times->find(aTrait); found != times->end()) {
      last = std::max(last, found->second);
    }
  }
  return last;
}

void
RecordLoss(State& aState,
           const Start& aStart,
           std::uint64_t aRequest,
           const Traits& aTraits,
           absl::Time aNow,
           const std::string& aGroup)
{
  CountLoss(aState.ownTraffic_, aGroup, aNow);
  aState.hasNewLosses_ = true;
  const Loss loss{ aStart,       aRequest,
                   aState.self_, UnprovenTraits(aState, aTraits, aNow),
                   aNow,         aGroup };
  // A host that loses very many requests, for example because it is cut off,
  // tells first what others may know of as well.
  const auto limit = HasParts(loss) ? kMaxNewLosses : kMaxItems;
  if (AddLoss(aState, loss, aNow) && aState.newLosses_.size() < limit) {
    aState.newLosses_.push_back({ loss, kLossRepeats });
  }
}

void
RecordBegin(State& aState,
            const Traits& aTraits,
            absl::Time aSentAt,
            const std::string& aGroup)
{
  if (aTraits.empty()) {
    return;
  }
  CountBegin(aState.ownTraffic_, aGroup, aSentAt);
  for (const auto& trait : aTraits) {
    AddBegin(aState, trait, aSentAt);
    if (aState.suspects_.empty()) {
      continue;
    }
    if (const auto found = aState.suspects_.find(trait);
        found != aState.suspects_.end()) {
      Clear(found->second, aSentAt, false);
      TellBeginIfNeeded(aState, trait, found->second);
    }
  }
}

void
RecordBytes(State& aState,
            absl::string_view aTarget,
            std::int64_t aStartedAtMs,
            absl::Time aSentAt)
{
  if (aState.crashes_.empty()) {
    return;
  }
  const Start start{ std::string(aTarget), aStartedAtMs };
  if (AddSighting(aState, start, aSentAt)) {
    aState.newSightings_[start.target_] = kRepeats;
  }
}

const Block*
FindBlock(const State& aState, const Traits& aTraits, absl::Time aNow)
{
  for (const auto& block : aState.blocks_) {
    if (Contains(aTraits, block.traits_) &&
        aNow - block.lastCrashAt_ <= kBlockTime) {
      return &block;
    }
  }
  return nullptr;
}

Delay
SendDelay(const State& aState,
          const Traits& aTraits,
          bool aIsResend,
          absl::Time aNow)
{
  Delay delay;
  for (const auto& trait : aTraits) {
    const auto found = aState.suspects_.find(trait);
    if (found == aState.suspects_.end() ||
        LastBegin(aState, trait) != absl::InfinitePast()) {
      continue;
    }
    const auto& suspicion = found->second;
    const auto& limits = LimitsOf(trait);
    if (suspicion.moments_ <
        (aIsResend ? limits.resendMoments_ : limits.waitMoments_)) {
      continue;
    }
    const auto wait =
      WaitOf(limits, suspicion) * (1.0 + OffsetOf(aState, trait));
    const auto left =
      std::max(suspicion.lostAt_, suspicion.triedAt_) + wait - aNow;
    if (left > delay.time_) {
      delay = { left, suspicion.moments_ >= limits.backoffMoments_ };
    }
  }
  return delay;
}

absl::optional<Message>
RecordSend(State& aState, const Traits& aTraits, absl::Time aNow)
{
  Message message;
  for (const auto& trait : aTraits) {
    const auto found = aState.suspects_.find(trait);
    if (found != aState.suspects_.end() &&
        found->second.moments_ >= LimitsOf(trait).backoffMoments_ &&
        LastBegin(aState, trait) == absl::InfinitePast()) {
      found->second.triedAt_ = aNow;
      message.trials_.push_back({ trait, aNow });
    }
  }
  if (message.trials_.empty()) {
    return absl::nullopt;
  }
  message.sender_ = aState.self_;
  return message;
}

Step
Tick(State& aState, absl::Time aNow)
{
  Step step;
  DropOld(aState, aNow);
  ReviewBlocks(aState, aNow, step.changes_);
  const bool isStarting = aState.hosts_ > 1 && aState.ticks_ < kAskingTicks;
  if (aNow >= aState.evaluateAt_ && !isStarting) {
    const auto traits = RecordTraffic(aState, aNow);
    for (const auto& block : FindPoison(aState, traits)) {
      if (AddBlock(aState, block)) {
        aState.newBlocks_[KeyOf(block.traits_)] = kRepeats;
        step.changes_.push_back({ Change::Blocked, block });
      }
    }
    aState.evaluateAt_ = NextEvaluation(aState);
  }
  step.toAll_ = TakeDueNews(aState, aNow);
  if (aState.hosts_ < 2) {
    return step;
  }
  if (isStarting ||
      (!aState.blocks_.empty() && aState.ticks_ % kBlockTicks == 0)) {
    step.toAny_ = AllBlocks(aState);
    step.toAny_->asksForBlocks_ = isStarting;
  }
  ++aState.ticks_;
  return step;
}

Step
Receive(State& aState, const Message& aMessage, absl::Time aNow)
{
  Step step;
  SetPeerTraffic(aState, aMessage);
  for (const auto& [trait, at] : aMessage.begins_) {
    AddBegin(aState, trait, at);
    if (const auto found = aState.suspects_.find(trait);
        found != aState.suspects_.end()) {
      Clear(found->second, at, true);
      if (!IsBeginNeeded(aState, trait, found->second)) {
        aState.newBegins_.erase(trait);
      }
    }
  }
  for (const auto& [start, at] : aMessage.sightings_) {
    AddSighting(aState, start, at);
    aState.newSightings_.erase(start.target_);
  }
  for (const auto& loss : aMessage.losses_) {
    AddLoss(aState, loss, aNow);
  }
  for (const auto& [trait, at] : aMessage.trials_) {
    if (const auto found = aState.suspects_.find(trait);
        found != aState.suspects_.end()) {
      found->second.triedAt_ = std::max(found->second.triedAt_, at);
    }
  }
  Message reply;
  for (const auto& block : aMessage.blocks_) {
    const auto narrowed = Narrow(aState, block);
    AddRefutation(aState, block, reply);
    if (!narrowed.traits_.empty() && AddBlock(aState, narrowed)) {
      step.changes_.push_back({ Change::Blocked, narrowed });
    }
  }
  ReviewBlocks(aState, aNow, step.changes_);
  if (aMessage.asksForBlocks_ &&
      !(aState.blocks_.empty() && aState.suspects_.empty())) {
    step.reply_ = AllBlocks(aState);
  } else if (!reply.begins_.empty()) {
    reply.sender_ = aState.self_;
    step.reply_ = std::move(reply);
  }
  return step;
}

} // namespace lycheeplank::poison
