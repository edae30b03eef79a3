#include "lycheeplank/fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lycheeplank::fleet {

namespace {

// Time that one more running request adds to each step of a batch, and mean
// time that a request holds a slot, in seconds.
constexpr double kSlotSeconds = 0.0005;
constexpr double kHoldSeconds = 0.3;
// Time for which one request that waits at a target delays another.
constexpr double kWaitingSeconds = 0.02;
// A target without memory for the request is the choice only if there is no
// other one, even in another data centre: the request waits for it.
constexpr double kFullCost = 1.0;
// A target whose entry has vanished may be gone.
constexpr double kVanishingCost = 0.3;
// A target is taken for at least so fast, and at most so slow, as the usual
// one.
constexpr double kFastest = 0.4;
constexpr double kSlowest = 20.0;
// Mean time of a run that holds memory, and the part of the memory that
// requests may fill that aren't urgent; the rest is for urgent ones, which
// would push the others out.
constexpr double kRunSeconds = 1.5;
constexpr double kMemoryUsed = 0.85;
constexpr double kPushOutSeconds = 0.1;
// A request may wait for so many times its estimate.
constexpr double kWaitDoubt = 2.0;
// Time of a call to a plain service, in seconds, until it is known better.
constexpr double kCallSeconds = 0.03;

bool
WasTried(const Question& aQuestion, const std::string& aId)
{
  return aQuestion.tried_ != nullptr &&
         std::find(aQuestion.tried_->begin(), aQuestion.tried_->end(), aId) !=
           aQuestion.tried_->end();
}

bool
IsAside(const Member& aMember, absl::Time aNow)
{
  if (aMember.asideUntil_ == absl::InfinitePast()) {
    return false;
  }
  // After its time aside, one call at a time finds out whether it works.
  return aNow < aMember.asideUntil_ || aMember.probing_;
}

// Returns whether a request that begins after some time would begin on weights
// that are outdated for longer than is allowed.
bool
BeginsTooLate(const PromptCost& aCost,
              const Question& aQuestion,
              double aWaitSeconds)
{
  return aCost.outdatedFor_ > absl::ZeroDuration() &&
         aCost.outdatedFor_ + absl::Seconds(kWaitDoubt * aWaitSeconds) >
           aQuestion.oldWeightsLimit_;
}

// Adds what a host has told to a sum if it told it lately.
template<typename Sum>
void
AddRecent(Sum& aSum, const PeerShare& aTold, absl::Time aNow)
{
  if (aNow - aTold.toldAt_ < kPeerMemory) {
    aSum.inFlight_ += aTold.inFlight_;
    aSum.urgentTokens_ += aTold.urgentTokens_;
    aSum.otherTokens_ += aTold.otherTokens_;
    aSum.heldTokens_ += aTold.heldTokens_;
  }
}

// What this host and all others have under way at a target.
PeerShare
AllShares(const Member& aMember, absl::Time aNow)
{
  PeerShare sum{ aMember.inFlight_,
                 aMember.urgentTokens_,
                 aMember.otherTokens_,
                 aMember.heldTokens_ };
  for (const auto& [host, told] : aMember.peers_) {
    AddRecent(sum, told, aNow);
  }
  return sum;
}

// Calls and tokens that are under way at a target, as far as is known.
struct Backlog
{
  double running_ = 0.0;
  double waiting_ = 0.0;
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
};

Backlog
BacklogOf(const Member& aMember, const PeerShare& aShares, absl::Time aNow)
{
  Backlog backlog;
  backlog.running_ = aShares.inFlight_;
  backlog.urgentTokens_ = aShares.urgentTokens_;
  backlog.otherTokens_ = aShares.otherTokens_;
  if (aNow - aMember.loadAt_ < kLoadMemory) {
    backlog.running_ =
      std::max<double>(backlog.running_, aMember.load_.running_);
    backlog.waiting_ = aMember.load_.waiting_;
  }
  return backlog;
}

// Time until enough of a target's memory is free.
double
MemoryWait(const PeerShare& aShares, const Question& aQuestion)
{
  const double share = aQuestion.isUrgent_ ? 1.0 : kMemoryUsed;
  const double room = share * static_cast<double>(aQuestion.memoryTokens_);
  const auto held =
    static_cast<double>(aShares.heldTokens_ + aQuestion.heldTokens_);
  if (room <= 0.0 || held <= room) {
    return 0.0;
  }
  // Urgent requests don't wait, but what they push out is read again.
  return aQuestion.isUrgent_ ? kPushOutSeconds
                             : kRunSeconds * (held - room) / room;
}

// The data centre whose targets are to keep a prompt: that of its stores, if it
// has any, so that requests from everywhere meet there.
absl::string_view
PromptDataCentre(const Question& aQuestion)
{
  const PromptCost* newest = nullptr;
  for (const auto& cost : aQuestion.costs_) {
    if (newest == nullptr || cost.weights_ > newest->weights_) {
      newest = &cost;
    }
  }
  return newest == nullptr || newest->storeDataCentre_.empty()
           ? aQuestion.dataCentre_
           : newest->storeDataCentre_;
}

// Tokens that move between a target and stores in other data centres.
std::uint64_t
RemoteTokens(const Member& aMember, const PromptCost& aCost)
{
  const bool isNear = aMember.target_.dataCentre_ == aCost.storeDataCentre_;
  return aCost.movedTokens_ - (isNear ? aCost.tokensThere_ : 0);
}

// Ids of the targets that a part is to be kept at, by rendezvous hashing
// within a data centre.
std::vector<absl::string_view>
AffinityTargets(const std::vector<const Member*>& aUsable,
                const Question& aQuestion)
{
  const auto dataCentre = PromptDataCentre(aQuestion);
  std::vector<std::pair<std::uint64_t, absl::string_view>> scores;
  for (const auto* member : aUsable) {
    if (member->target_.dataCentre_ == dataCentre) {
      scores.emplace_back(
        core::RendezvousScore(aQuestion.affinity_, member->target_.id_),
        member->target_.id_);
    }
  }
  const auto count = std::min(kAffinityTargets, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(count),
                    scores.end(),
                    std::greater<>());
  std::vector<absl::string_view> ids;
  for (std::size_t i = 0; i < count; ++i) {
    ids.push_back(scores[i].second);
  }
  return ids;
}

} // namespace

PromptCost
CostAt(const Member& aMember, const Question& aQuestion)
{
  if (aQuestion.model_.empty()) {
    return {};
  }
  const auto weights = aMember.target_.weights_.find(aQuestion.model_);
  if (weights != aMember.target_.weights_.end()) {
    for (const auto& cost : aQuestion.costs_) {
      if (cost.weights_ == weights->second) {
        return cost;
      }
    }
  }
  // It doesn't say that it has the model.
  PromptCost unknown;
  unknown.outdatedFor_ = absl::InfiniteDuration();
  return unknown;
}

std::vector<std::uint64_t>
VersionsOf(const Members& aMembers,
           absl::string_view aService,
           absl::string_view aModel)
{
  std::vector<std::uint64_t> versions;
  for (const auto& [id, member] : aMembers) {
    const auto found = member.target_.weights_.find(aModel);
    if (member.target_.service_ == aService &&
        found != member.target_.weights_.end() &&
        std::find(versions.begin(), versions.end(), found->second) ==
          versions.end()) {
      versions.push_back(found->second);
    }
  }
  return versions;
}

std::uint32_t
ShortName(absl::string_view aTarget)
{
  return static_cast<std::uint32_t>(core::StableHash(aTarget));
}

void
TakePeerLoads(Members& aMembers,
              const std::string& aHost,
              const std::vector<PeerLoad>& aLoads,
              absl::Time aNow)
{
  for (auto& [id, member] : aMembers) {
    member.peers_.erase(aHost);
  }
  absl::flat_hash_map<std::uint32_t, const PeerLoad*> loads;
  for (const auto& load : aLoads) {
    loads[load.target_] = &load;
  }
  for (auto& [id, member] : aMembers) {
    if (const auto found = loads.find(member.shortName_);
        found != loads.end()) {
      const auto& load = *found->second;
      member.peers_[aHost] = {
        load.inFlight_, load.urgentTokens_, load.otherTokens_, load.heldTokens_,
        aNow,
      };
    }
  }
}

std::vector<PeerLoad>
LoadsOf(const Members& aMembers,
        const std::vector<std::string>& aHosts,
        absl::Time aNow)
{
  std::vector<PeerLoad> loads;
  for (const auto& [id, member] : aMembers) {
    PeerLoad load{ member.shortName_,
                   member.inFlight_,
                   member.urgentTokens_,
                   member.otherTokens_,
                   member.heldTokens_ };
    for (const auto& host : aHosts) {
      const auto told = member.peers_.find(host);
      if (told != member.peers_.end()) {
        AddRecent(load, told->second, aNow);
      }
    }
    if (load.inFlight_ > 0) {
      loads.push_back(load);
    }
  }
  return loads;
}

Estimate
EstimateWait(const Member& aMember,
             const Question& aQuestion,
             const EngineSpeed& aSpeed,
             absl::Time aNow)
{
  const auto slots = static_cast<double>(std::max(1U, aMember.target_.slots_));
  const auto shares = AllShares(aMember, aNow);
  const auto backlog = BacklogOf(aMember, shares, aNow);
  const double excess =
    std::max(0.0, backlog.running_ + backlog.waiting_ + 1.0 - slots);
  Estimate estimate;
  if (aQuestion.model_.empty()) {
    estimate.usualSeconds_ =
      kCallSeconds * (1.0 + excess / slots) + kSlotSeconds * backlog.running_;
    estimate.waitSeconds_ = aMember.slowness_ * estimate.usualSeconds_;
    return estimate;
  }
  const auto cost = CostAt(aMember, aQuestion);
  const auto before =
    backlog.urgentTokens_ + (aQuestion.isUrgent_ ? 0 : backlog.otherTokens_);
  estimate.usualSeconds_ =
    aSpeed.startSeconds_ +
    static_cast<double>(before + cost.computedTokens_) /
      aSpeed.promptTokensPerSecond_ +
    static_cast<double>(
      cost.readTokens_ +
      std::min(cost.readTokens_, RemoteTokens(aMember, cost))) /
      aSpeed.cacheTokensPerSecond_ +
    kSlotSeconds * backlog.running_ + kWaitingSeconds * backlog.waiting_;
  const double memory = MemoryWait(shares, aQuestion);
  estimate.memoryFull_ = !aQuestion.isUrgent_ && memory > 0.0;
  estimate.waitSeconds_ = aMember.slowness_ * estimate.usualSeconds_ +
                          excess * kHoldSeconds / slots + memory;
  return estimate;
}

namespace {

// What a choice loses, as a share of what the request is worth.
double
CostOf(const Member& aMember,
       const Question& aQuestion,
       const Estimate& aEstimate,
       bool aKeepsPrompt)
{
  const double late = std::min(
    1.0, aEstimate.waitSeconds_ / absl::ToDoubleSeconds(aQuestion.goal_));
  double cost = kLateCost * late * late + kWaitCost * aEstimate.waitSeconds_;
  if (CostAt(aMember, aQuestion).outdatedFor_ > kOldWeightsFree) {
    cost += kOldWeightsCost;
  }
  if (aMember.target_.dataCentre_ != aQuestion.dataCentre_) {
    cost += kRemoteByteCost * static_cast<double>(aQuestion.bytes_);
  }
  if (aEstimate.memoryFull_) {
    cost += kFullCost;
  }
  if (aMember.vanishesAt_ != absl::InfiniteFuture()) {
    cost += kVanishingCost;
  }
  if (!aKeepsPrompt) {
    const auto prompt = CostAt(aMember, aQuestion);
    cost +=
      kReadTokenCost * static_cast<double>(prompt.readTokens_) +
      kRemoteTokenCost * static_cast<double>(RemoteTokens(aMember, prompt));
  }
  return cost;
}

} // namespace

Choice
Choose(const Members& aMembers,
       const Question& aQuestion,
       const EngineSpeed& aSpeed,
       absl::Time aNow)
{
  std::vector<const Member*> usable;
  std::vector<const Member*> aside;
  Choice choice;
  for (const auto& [id, member] : aMembers) {
    if (member.target_.service_ != aQuestion.service_ ||
        member.target_.state_ != TargetState::Ready ||
        WasTried(aQuestion, id) ||
        (aQuestion.mostCalls_ > 0 &&
         member.inFlight_ >= aQuestion.mostCalls_) ||
        BeginsTooLate(CostAt(member, aQuestion), aQuestion, 0.0)) {
      continue;
    }
    if (aNow < member.closedUntil_) {
      choice.opensAt_ = std::min(choice.opensAt_, member.closedUntil_);
      continue;
    }
    (IsAside(member, aNow) || aNow < member.orderedUntil_ ? aside : usable)
      .push_back(&member);
  }
  choice.candidates_ = static_cast<std::uint32_t>(usable.size());
  if (usable.empty()) {
    choice.lastResort_ = true;
    usable = std::move(aside);
  }
  const auto preferred = aQuestion.affinity_.empty()
                           ? std::vector<absl::string_view>()
                           : AffinityTargets(usable, aQuestion);
  double best = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const auto& member = *usable[(i + aQuestion.seed_) % usable.size()];
    const auto estimate = EstimateWait(member, aQuestion, aSpeed, aNow);
    if (BeginsTooLate(
          CostAt(member, aQuestion), aQuestion, estimate.waitSeconds_)) {
      continue;
    }
    const bool keeps =
      preferred.empty() ||
      std::find(preferred.begin(), preferred.end(), member.target_.id_) !=
        preferred.end();
    const double cost = CostOf(member, aQuestion, estimate, keeps);
    if (cost < best) {
      best = cost;
      choice.id_ = member.target_.id_;
      choice.waitSeconds_ = estimate.waitSeconds_;
      choice.usualSeconds_ = estimate.usualSeconds_;
      choice.memoryFull_ = estimate.memoryFull_;
      choice.loadAge_ = aNow - member.loadAt_;
    }
  }
  return choice;
}

void
CountSent(Member& aMember, const CallSize& aSize, absl::Time aNow)
{
  ++aMember.inFlight_;
  aMember.heldTokens_ += aSize.heldTokens_;
  (aSize.isUrgent_ ? aMember.urgentTokens_ : aMember.otherTokens_) +=
    aSize.promptTokens_;
  if (aMember.asideUntil_ != absl::InfinitePast() &&
      aNow >= aMember.asideUntil_) {
    aMember.probing_ = true;
  }
}

void
CountFirstByte(Member& aMember,
               const CallSize& aSize,
               absl::Duration aTook,
               double aUsualSeconds)
{
  auto& tokens = aSize.isUrgent_ ? aMember.urgentTokens_ : aMember.otherTokens_;
  tokens -= std::min(tokens, aSize.promptTokens_);
  if (aUsualSeconds > 0.0) {
    const double ratio = std::clamp(
      absl::ToDoubleSeconds(aTook) / aUsualSeconds, kFastest, kSlowest);
    aMember.slowness_ += kNewestWeight * (ratio - aMember.slowness_);
  }
}

bool
CountEnd(Member& aMember,
         const CallSize& aSize,
         CallResult aResult,
         absl::Time aNow)
{
  aMember.heldTokens_ -= std::min(aMember.heldTokens_, aSize.heldTokens_);
  aMember.inFlight_ -= std::min(1U, aMember.inFlight_);
  const bool wasProbe = std::exchange(aMember.probing_, false);
  if (aResult == CallResult::Abandoned) {
    return false;
  }
  const bool failed = aResult != CallResult::Answered;
  aMember.failures_ +=
    kNewestWeight * ((failed ? 1.0 : 0.0) - aMember.failures_);
  if (!failed) {
    aMember.failuresInRow_ = 0;
    if (wasProbe) {
      aMember.asideUntil_ = absl::InfinitePast();
      aMember.failures_ = 0.0;
    }
    if (aMember.failures_ < kNewestWeight) {
      aMember.timesAside_ = 0;
    }
    return false;
  }
  ++aMember.failuresInRow_;
  if (aResult == CallResult::Replaced) {
    aMember.asideUntil_ = aNow + kReplacedAside;
    return true;
  }
  if (!wasProbe && aResult != CallResult::Unreachable &&
      aMember.failuresInRow_ < kFailuresAside &&
      aMember.failures_ < kFailureShareAside) {
    return false;
  }
  const auto time = std::min(
    kAsideLongest, kAsideFirst * (1U << std::min(aMember.timesAside_, 8U)));
  ++aMember.timesAside_;
  aMember.asideUntil_ = aNow + time;
  aMember.failuresInRow_ = 0;
  return true;
}

void
TakeTarget(Members& aMembers,
           Target aTarget,
           std::uint64_t aRevision,
           absl::Time aNow)
{
  auto& member = aMembers[aTarget.id_];
  if (member.revision_ > aRevision) {
    return;
  }
  if (member.target_.bornMs_ != aTarget.bornMs_) {
    member = Member();
  }
  if (member.target_.weights_ != aTarget.weights_) {
    member.orderedUntil_ = std::min(member.orderedUntil_, aNow);
  }
  member.shortName_ = ShortName(aTarget.id_);
  member.target_ = std::move(aTarget);
  member.revision_ = aRevision;
  member.vanishesAt_ = absl::InfiniteFuture();
}

bool
DropTarget(Members& aMembers, absl::string_view aId, absl::Time aUntil)
{
  const auto found = aMembers.find(std::string(aId));
  if (found == aMembers.end()) {
    return false;
  }
  if (found->second.target_.state_ == TargetState::Leaving) {
    aUntil = absl::InfinitePast();
  }
  found->second.vanishesAt_ = aUntil;
  return true;
}

std::vector<std::string>
SweepVanished(Members& aMembers, absl::Time aNow)
{
  std::vector<std::string> gone;
  for (auto at = aMembers.begin(); at != aMembers.end();) {
    if (at->second.vanishesAt_ <= aNow) {
      gone.push_back(at->first);
      at = aMembers.erase(at);
    } else {
      ++at;
    }
  }
  return gone;
}

} // namespace lycheeplank::fleet
