#include "lycheeplank/fleet.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "fleet/shares.h"

namespace lycheeplank::fleet {

namespace {

// A target is taken for at least so fast, and at most so slow, as the usual
// one.
constexpr double kFastest = 0.4;
constexpr double kSlowest = 20.0;

// Rate of an outflow, which fades while nothing is sent.
double
RateAt(const Outflow& aOutflow, absl::Time aNow)
{
  return aOutflow.tokensPerSecond_ *
         std::exp(-absl::FDivDuration(aNow - aOutflow.sentAt_, kOutflowTime));
}

// Keeps what one start of a target never goes back from: that it leaves, and
// newer weights.
void
KeepProgress(Target& aTarget, const Target& aKnown)
{
  if (aKnown.state_ == TargetState::Leaving) {
    aTarget.state_ = TargetState::Leaving;
  }
  for (const auto& [model, version] : aKnown.weights_) {
    auto& told = aTarget.weights_[model];
    told = std::max(told, version);
  }
}

} // namespace

bool
IsAside(const Member& aMember, absl::Time aNow)
{
  if (aMember.asideUntil_ == absl::InfinitePast()) {
    return false;
  }
  // After its time aside, one call at a time finds out whether it works.
  return aNow < aMember.asideUntil_ || aMember.probing_;
}

std::vector<std::string>
TakeDownReports(Members& aMembers,
                const DownReports& aReports,
                std::uint64_t aSeed,
                absl::Time aNow)
{
  std::vector<std::string> aside;
  std::minstd_rand random(static_cast<std::uint32_t>(aSeed));
  std::uniform_real_distribution<> spread(1.0, kDownSpread);
  for (auto& [id, member] : aMembers) {
    const auto found = aReports.find(member.shortName_);
    if (found == aReports.end()) {
      continue;
    }
    if (aNow - member.downToldAt_ > kDownMemory) {
      member.downReports_ = 0;
    }
    member.downReports_ += found->second;
    member.downToldAt_ = aNow;
    if (member.downReports_ < kDownWitnesses ||
        aNow - member.answeredAt_ < kAnswerMemory) {
      continue;
    }
    member.downReports_ = 0;
    member.downUntil_ = aNow + kDownAside * spread(random);
    member.asideUntil_ = std::max(member.asideUntil_, member.downUntil_);
    aside.push_back(id);
  }
  return aside;
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
        detail::AddRecent(load, told->second, aNow);
      }
    }
    if (load.inFlight_ > 0) {
      loads.push_back(load);
    }
  }
  return loads;
}

void
NoteSent(Outflow& aOutflow, std::uint64_t aHeldTokens, absl::Time aNow)
{
  const auto tokens = static_cast<double>(aHeldTokens);
  aOutflow.tokensPerSecond_ =
    RateAt(aOutflow, aNow) + tokens / absl::ToDoubleSeconds(kOutflowTime);
  aOutflow.tokensPerCall_ += kNewestWeight * (tokens - aOutflow.tokensPerCall_);
  aOutflow.sentAt_ = aNow;
}

double
UnheardTokens(const Outflow& aOutflow,
              std::size_t aHosts,
              std::size_t aTargets,
              absl::Duration aNewsDelay,
              absl::Time aNow)
{
  if (aHosts < 2 || aTargets == 0) {
    return 0.0;
  }
  const double mean = RateAt(aOutflow, aNow) * static_cast<double>(aHosts - 1) /
                      static_cast<double>(aTargets) *
                      absl::ToDoubleSeconds(aNewsDelay);
  // Calls come by chance, each with its tokens.
  return mean + std::sqrt(mean * aOutflow.tokensPerCall_);
}

void
CountSent(Member& aMember, const CallSize& aSize, absl::Time aNow)
{
  ++aMember.inFlight_;
  aMember.heldTokens_ += aSize.heldTokens_;
  if (aNow - aMember.newSince_ > kUnheardTime) {
    aMember.newTokens_ = 0;
    aMember.newSince_ = aNow;
  }
  aMember.newTokens_ += aSize.heldTokens_;
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
  if (!failed) {
    aMember.answeredAt_ = aNow;
  }
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
           const core::Position& aPosition,
           absl::Time aNow)
{
  auto& member = aMembers[aTarget.id_];
  if (member.position_ > aPosition) {
    return;
  }
  if (member.position_ != core::Position() &&
      member.position_.era_ < aPosition.era_) {
    if (aTarget.bornMs_ < member.target_.bornMs_) {
      aTarget = member.target_;
    } else if (aTarget.bornMs_ == member.target_.bornMs_) {
      KeepProgress(aTarget, member.target_);
    }
  }
  if (member.target_.bornMs_ != aTarget.bornMs_) {
    member = Member();
  }
  if (member.target_.weights_ != aTarget.weights_) {
    member.orderedUntil_ = std::min(member.orderedUntil_, aNow);
  }
  member.shortName_ = ShortName(aTarget.id_);
  member.target_ = std::move(aTarget);
  member.position_ = aPosition;
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
