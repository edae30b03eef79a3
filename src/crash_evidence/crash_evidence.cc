#include "lycheeplank/crash_evidence.h"

#include <algorithm>
#include <random>

namespace lycheeplank::crash_evidence {

namespace {

// Returns the record of the present start of a target; removes old ones.
Suspect&
SuspectFor(State& aState, const fleet::Target& aTarget, absl::Time aNow)
{
  absl::erase_if(aState.suspects_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lostAt_ > kMaxAge;
  });
  auto& suspect = aState.suspects_[aTarget.id_];
  if (suspect.startedAtMs_ != aTarget.bornMs_ ||
      suspect.lostAt_ == absl::InfinitePast()) {
    suspect = { aTarget.bornMs_, aTarget.dataCentre_, aNow };
  }
  return suspect;
}

} // namespace

bool
RecordLoss(State& aState, const fleet::Target& aTarget, absl::Time aNow)
{
  auto& suspect = SuspectFor(aState, aTarget, aNow);
  const bool isFirst = suspect.losses_ == 0;
  if (aNow - suspect.lostAt_ > kLossWindow) {
    suspect.lostAt_ = aNow;
    suspect.losses_ = 0;
  }
  ++suspect.losses_;
  if (suspect.losses_ >= kMinLosses) {
    suspect.provenAt_ = std::min(suspect.provenAt_, aNow);
  }
  return isFirst;
}

void
Forget(State& aState, const std::string& aTarget)
{
  aState.suspects_.erase(aTarget);
}

void
RecordRefusal(State& aState, const fleet::Target& aTarget, absl::Time aNow)
{
  auto& suspect = SuspectFor(aState, aTarget, aNow);
  suspect.provenAt_ = std::min(suspect.provenAt_, aNow);
}

std::vector<std::string>
RecordBytes(State& aState, const fleet::Target& aTarget, absl::Time aNow)
{
  std::vector<std::string> proven;
  if (aState.suspects_.empty()) {
    return proven;
  }
  if (const auto own = aState.suspects_.find(aTarget.id_);
      own != aState.suspects_.end() &&
      own->second.startedAtMs_ == aTarget.bornMs_) {
    aState.suspects_.erase(own);
  }
  absl::erase_if(aState.suspects_, [&](const auto& aEntry) {
    const auto& suspect = aEntry.second;
    if (aNow - suspect.lostAt_ > kMaxAge) {
      return true;
    }
    if (aNow < suspect.provenAt_ + kContactDelay ||
        suspect.dataCentre_ != aTarget.dataCentre_) {
      return false;
    }
    proven.push_back(aEntry.first);
    return true;
  });
  return proven;
}

void
SetAside(fleet::Member& aMember, std::uint64_t aSeed, absl::Time aNow)
{
  std::minstd_rand random(static_cast<std::uint32_t>(aSeed));
  std::uniform_real_distribution<> spread(1.0, fleet::kDownQuarantineSpread);
  aMember.downUntil_ = aNow + fleet::kDownQuarantine * spread(random);
  if (aMember.downUntil_ > aMember.quarantinedUntil_) {
    aMember.quarantinedUntil_ = aMember.downUntil_;
    aMember.noticeUntil_ = aMember.downUntil_;
  }
}

bool
ApplyNotice(State& aState,
            fleet::Member& aMember,
            std::uint64_t aSeed,
            absl::Time aNow)
{
  // What the target has sent since would have ended the suspicion. The other
  // host has told it to all.
  const auto suspect = aState.suspects_.find(aMember.target_.id_);
  const bool isSuspect =
    suspect != aState.suspects_.end() &&
    suspect->second.startedAtMs_ == aMember.target_.bornMs_;
  if (isSuspect) {
    aState.suspects_.erase(suspect);
  }
  if (!isSuspect && aNow - std::max(aMember.answeredAt_, aMember.heardAt_) <
                      fleet::kRecentAnswerAge) {
    return false;
  }
  SetAside(aMember, aSeed, aNow);
  return true;
}

void
NoteAlive(fleet::Member& aMember, absl::Time aNow)
{
  aMember.heardAt_ = aNow;
  if (aNow < aMember.noticeUntil_) {
    if (aMember.quarantinedUntil_ == aMember.noticeUntil_) {
      aMember.quarantinedUntil_ = absl::InfinitePast();
    }
    aMember.downUntil_ = std::min(aMember.downUntil_, aNow);
    aMember.noticeUntil_ = absl::InfinitePast();
  }
}

} // namespace lycheeplank::crash_evidence
