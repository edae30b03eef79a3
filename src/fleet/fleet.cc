#include "lycheeplank/fleet.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "fleet/peer_usage.h"

namespace lycheeplank::fleet {

namespace {

// Lower and upper limit of a measured slowness; 1 is the average target.
constexpr double kMinSlowness = 0.4;
constexpr double kMaxSlowness = 20.0;

// Keeps the state that one start of a target never reverts: leaving, and newer
// weights.
void
KeepIrreversibleState(Target& aTarget, const Target& aKnown)
{
  if (aKnown.state_ == TargetState::Leaving) {
    aTarget.state_ = TargetState::Leaving;
  }
  for (const auto& [model, version] : aKnown.weights_) {
    auto& reported = aTarget.weights_[model];
    reported = std::max(reported, version);
  }
}

} // namespace

bool
IsQuarantined(const Member& aMember, absl::Time aNow)
{
  if (aMember.quarantinedUntil_ == absl::InfinitePast()) {
    return false;
  }
  // After the quarantine, a single probe call finds out whether the target
  // works.
  return aNow < aMember.quarantinedUntil_ || aMember.probing_;
}

std::vector<std::string>
RemoveEndedEvacuations(Evacuations& aEvacuations, absl::Time aNow)
{
  std::vector<std::string> ended;
  absl::erase_if(aEvacuations, [&](const auto& aEvacuation) {
    if (aEvacuation.second <= aNow) {
      ended.push_back(aEvacuation.first);
      return true;
    }
    return false;
  });
  return ended;
}

std::vector<std::string>
ApplyDownReports(Members& aMembers,
                 const DownReports& aReports,
                 std::uint64_t aSeed,
                 absl::Time aNow)
{
  std::vector<std::string> quarantined;
  std::minstd_rand random(static_cast<std::uint32_t>(aSeed));
  std::uniform_real_distribution<> spread(1.0, kDownQuarantineSpread);
  for (auto& [id, member] : aMembers) {
    const auto found = aReports.find(member.idHash_);
    if (found == aReports.end()) {
      continue;
    }
    if (aNow - member.downReportedAt_ > kDownReportWindow) {
      member.downReports_ = 0;
    }
    member.downReports_ += found->second;
    member.downReportedAt_ = aNow;
    if (member.downReports_ < kMinDownReports ||
        aNow - member.answeredAt_ < kRecentAnswerAge) {
      continue;
    }
    member.downReports_ = 0;
    member.downUntil_ = aNow + kDownQuarantine * spread(random);
    member.quarantinedUntil_ =
      std::max(member.quarantinedUntil_, member.downUntil_);
    quarantined.push_back(id);
  }
  return quarantined;
}

std::vector<std::uint64_t>
WeightVersions(const Members& aMembers,
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
IdHash(absl::string_view aTarget, std::int64_t aStartedAtMs)
{
  return static_cast<std::uint32_t>(
    core::StableHash(aTarget, static_cast<std::uint64_t>(aStartedAtMs)));
}

void
SetPeerLoads(Members& aMembers,
             const std::string& aHost,
             const std::vector<PeerLoad>& aLoads,
             absl::Time aNow)
{
  absl::flat_hash_map<std::uint32_t, const PeerLoad*> loads;
  for (const auto& load : aLoads) {
    loads[load.target_] = &load;
  }
  for (auto& [id, member] : aMembers) {
    if (const auto found = loads.find(member.idHash_); found != loads.end()) {
      const auto& load = *found->second;
      member.peers_[aHost] = {
        load.inFlight_, load.urgentTokens_, load.otherTokens_, load.heldTokens_,
        aNow,
      };
    } else {
      member.peers_.erase(aHost);
    }
  }
}

std::vector<PeerLoad>
SumLoads(const Members& aMembers,
         const std::vector<std::string>& aHosts,
         absl::Time aNow)
{
  std::vector<PeerLoad> loads;
  for (const auto& [id, member] : aMembers) {
    PeerLoad load{ member.idHash_,
                   member.inFlight_,
                   member.urgentTokens_,
                   member.otherTokens_,
                   member.heldTokens_ };
    for (const auto& host : aHosts) {
      const auto reported = member.peers_.find(host);
      if (reported != member.peers_.end()) {
        detail::AddRecent(load, reported->second, aNow);
      }
    }
    if (load.inFlight_ > 0) {
      loads.push_back(load);
    }
  }
  return loads;
}

double
TokensPerSecond(const SendRate& aRate, absl::Time aNow)
{
  return aRate.tokensPerSecond_ *
         std::exp(-absl::FDivDuration(
           std::max(absl::ZeroDuration(), aNow - aRate.sentAt_),
           kSendRateWindow));
}

void
RecordSend(SendRate& aRate, std::uint64_t aHeldTokens, absl::Time aNow)
{
  const auto tokens = static_cast<double>(aHeldTokens);
  aRate.tokensPerSecond_ = TokensPerSecond(aRate, aNow) +
                           tokens / absl::ToDoubleSeconds(kSendRateWindow);
  aRate.tokensPerCall_ += kCallAverageWeight * (tokens - aRate.tokensPerCall_);
  aRate.sentAt_ = aNow;
}

double
EstimateUnreportedTokens(const SendRate& aRate,
                         std::size_t aHosts,
                         std::size_t aTargets,
                         absl::Duration aReportDelay,
                         absl::Time aNow)
{
  if (aHosts < 2 || aTargets == 0) {
    return 0.0;
  }
  const double mean =
    TokensPerSecond(aRate, aNow) * static_cast<double>(aHosts - 1) /
    static_cast<double>(aTargets) * absl::ToDoubleSeconds(aReportDelay);
  // Calls arrive at random, so the count varies as in a Poisson process.
  return mean + std::sqrt(mean * aRate.tokensPerCall_);
}

void
RecordCallStart(Member& aMember, const CallSize& aSize, absl::Time aNow)
{
  ++aMember.inFlight_;
  aMember.heldTokens_ += aSize.heldTokens_;
  if (aNow - aMember.recentSince_ > kPeerReportDelay) {
    aMember.recentTokens_ = 0;
    aMember.recentSince_ = aNow;
  }
  aMember.recentTokens_ += aSize.heldTokens_;
  (aSize.isUrgent_ ? aMember.urgentTokens_ : aMember.otherTokens_) +=
    aSize.promptTokens_;
  if (aMember.quarantinedUntil_ != absl::InfinitePast() &&
      aNow >= aMember.quarantinedUntil_) {
    aMember.probing_ = true;
  }
}

bool
RecordLoad(Member& aMember, const Load& aLoad, absl::Time aReportedAt)
{
  if (aReportedAt < aMember.loadReportedAt_) {
    return false;
  }
  aMember.load_ = aLoad;
  aMember.loadReportedAt_ = aReportedAt;
  aMember.loadReceivedAt_ = aReportedAt;
  aMember.isOwnLoad_ = true;
  aMember.isCollectedLoad_ = false;
  if (aLoad.slowness_) {
    aMember.usualSlowness_ +=
      kCallAverageWeight * (*aLoad.slowness_ - aMember.usualSlowness_);
  }
  return true;
}

TargetIds
IdsByHash(const Members& aMembers)
{
  TargetIds ids;
  for (const auto& [id, member] : aMembers) {
    ids[member.idHash_] = id;
  }
  return ids;
}

void
ApplyReportedLoads(Members& aMembers,
                   const TargetIds& aIds,
                   const std::vector<ReportedLoad>& aLoads,
                   absl::Time aSentAt,
                   absl::Time aNow,
                   bool aIsCollected)
{
  for (const auto& load : aLoads) {
    const auto id = aIds.find(load.target_);
    const auto found =
      id == aIds.end() ? aMembers.end() : aMembers.find(id->second);
    if (found == aMembers.end()) {
      continue;
    }
    auto& member = found->second;
    const auto reportedAt = aSentAt - load.age_;
    // An earlier report may be of an earlier start of the target.
    if (reportedAt > member.firstListedAt_ &&
        RecordLoad(member, load.load_, reportedAt)) {
      member.loadReceivedAt_ = aNow;
      member.isOwnLoad_ = false;
      member.isCollectedLoad_ = aIsCollected;
    }
  }
}

std::vector<ReportedLoad>
NewestReportedLoads(const Members& aMembers,
                    const ReportedLoadQuery& aQuery,
                    absl::Time aNow)
{
  std::vector<ReportedLoad> near;
  std::vector<ReportedLoad> far;
  for (const auto& [id, member] : aMembers) {
    const auto age = aNow - member.loadReportedAt_;
    const bool isNear = member.target_.dataCentre_ == aQuery.dataCentre_;
    const bool isIncluded =
      !aQuery.isOwnOnly_ || member.isOwnLoad_ ||
      (aQuery.includesCollected_ && member.isCollectedLoad_);
    if (member.load_.slowness_ && age < kMaxLoadAge &&
        member.loadReceivedAt_ > aQuery.since_ && isIncluded &&
        (isNear || !aQuery.isNearOnly_)) {
      (isNear ? near : far).push_back({ member.idHash_, member.load_, age });
    }
  }
  const auto isNewer = [](const ReportedLoad& aLeft,
                          const ReportedLoad& aRight) {
    return aLeft.age_ < aRight.age_;
  };
  std::sort(near.begin(), near.end(), isNewer);
  std::sort(far.begin(), far.end(), isNewer);
  near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kMaxReportedLoads));
  return near;
}

void
RecordFirstByte(Member& aMember,
                const CallSize& aSize,
                absl::Duration aTook,
                double aNominalSeconds,
                double aReportedSlowness)
{
  auto& tokens = aSize.isUrgent_ ? aMember.urgentTokens_ : aMember.otherTokens_;
  tokens -= std::min(tokens, aSize.promptTokens_);
  if (aNominalSeconds > 0.0) {
    const double ratio = std::clamp(absl::ToDoubleSeconds(aTook) /
                                      (aNominalSeconds * aReportedSlowness),
                                    kMinSlowness,
                                    kMaxSlowness);
    aMember.slowness_ += kCallAverageWeight * (ratio - aMember.slowness_);
  }
}

bool
RecordCallEnd(Member& aMember,
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
  aMember.failureShare_ +=
    kCallAverageWeight * ((failed ? 1.0 : 0.0) - aMember.failureShare_);
  if (!failed) {
    aMember.consecutiveFailures_ = 0;
    if (wasProbe) {
      aMember.quarantinedUntil_ = absl::InfinitePast();
      aMember.failureShare_ = 0.0;
    }
    if (aMember.failureShare_ < kCallAverageWeight) {
      aMember.quarantineCount_ = 0;
    }
    return false;
  }
  ++aMember.consecutiveFailures_;
  if (aResult == CallResult::Replaced) {
    aMember.quarantinedUntil_ = aNow + kReplacedQuarantine;
    return true;
  }
  if (!wasProbe && aResult != CallResult::Unreachable &&
      aMember.consecutiveFailures_ < kQuarantineFailures &&
      aMember.failureShare_ < kQuarantineFailureShare) {
    return false;
  }
  const auto time =
    std::min(kMaxQuarantine,
             kMinQuarantine * (1U << std::min(aMember.quarantineCount_, 8U)));
  ++aMember.quarantineCount_;
  aMember.quarantinedUntil_ = aNow + time;
  aMember.consecutiveFailures_ = 0;
  return true;
}

void
UpdateTarget(Members& aMembers,
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
      KeepIrreversibleState(aTarget, member.target_);
    }
  }
  if (member.target_.bornMs_ != aTarget.bornMs_) {
    member = Member();
  }
  if (member.target_.weights_ != aTarget.weights_) {
    member.weightLoadUntil_ = std::min(member.weightLoadUntil_, aNow);
  }
  if (member.position_ == core::Position()) {
    member.firstListedAt_ = aNow;
  }
  member.idHash_ = IdHash(aTarget.id_, aTarget.bornMs_);
  member.target_ = std::move(aTarget);
  member.position_ = aPosition;
  member.expiresAt_ = absl::InfiniteFuture();
}

bool
ExpireTarget(Members& aMembers, absl::string_view aId, absl::Time aUntil)
{
  const auto found = aMembers.find(std::string(aId));
  if (found == aMembers.end()) {
    return false;
  }
  if (found->second.target_.state_ == TargetState::Leaving) {
    aUntil = absl::InfinitePast();
  }
  found->second.expiresAt_ = aUntil;
  return true;
}

bool
IsInUse(const Member& aMember, absl::Time aNow)
{
  return aMember.target_.state_ == TargetState::Ready &&
         aNow < aMember.expiresAt_;
}

std::vector<Target>
RemoveExpired(Members& aMembers, absl::Time aNow)
{
  std::vector<Target> gone;
  for (auto at = aMembers.begin(); at != aMembers.end();) {
    if (at->second.expiresAt_ <= aNow) {
      gone.push_back(std::move(at->second.target_));
      at = aMembers.erase(at);
    } else {
      ++at;
    }
  }
  return gone;
}

} // namespace lycheeplank::fleet
