#include "lycheeplank/weights.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace lycheeplank::weights {

namespace {

bool
NeedsWeights(const fleet::Member& aMember,
             const std::string& aModel,
             std::uint64_t aVersion)
{
  const auto found = aMember.target_.weights_.find(aModel);
  return aMember.target_.state_ == fleet::TargetState::Ready &&
         found != aMember.target_.weights_.end() && found->second < aVersion;
}

bool
HasModel(const fleet::Member& aMember, const std::string& aModel)
{
  return aMember.target_.state_ == fleet::TargetState::Ready &&
         aMember.target_.weights_.contains(aModel);
}

// Returns whether a target holds one of the places of those that are out of
// service for new weights at the same time.
bool
HoldsPlace(const TargetProgress& aWork)
{
  return aWork.progress_ != Progress::Waiting &&
         aWork.progress_ != Progress::Silent;
}

// Returns whether a target may be carrying out an order.
bool
IsOrdered(const TargetProgress& aWork)
{
  return aWork.sent_ > 0 && aWork.progress_ != Progress::Waiting &&
         aWork.progress_ != Progress::Announced;
}

// Returns whether the process that a record is about has ended.
bool
HasEnded(const TargetProgress& aWork, const fleet::Member* aMember)
{
  return aMember == nullptr || aMember->target_.bornMs_ != aWork.bornMs_;
}

// Forgets the processes that have ended, in every state of their update, and
// counts those that may have ended because of an order.
void
ForgetEnded(Rollout& aRollout,
            const fleet::Members& aMembers,
            const std::string& aModel,
            absl::Time aNow)
{
  if (aRollout.countedVersion_ != aRollout.version_) {
    aRollout.countedVersion_ = aRollout.version_;
    aRollout.lossMoments_ = 0;
  }
  auto& targets = aRollout.targets_;
  for (auto item = targets.begin(); item != targets.end();) {
    const auto found = aMembers.find(item->first);
    const auto* member = found == aMembers.end() ? nullptr : &found->second;
    const bool hasEnded = HasEnded(item->second, member);
    const bool isLost = hasEnded && IsOrdered(item->second);
    if (isLost && (aRollout.lossMoments_ == 0 ||
                   aNow - aRollout.lastLossAt_ >= kLossMomentTime)) {
      ++aRollout.lossMoments_;
      aRollout.lastLossAt_ = aNow;
    }
    item = hasEnded ? targets.erase(item) : std::next(item);
  }
  const bool hasSucceeded =
    std::any_of(aMembers.begin(), aMembers.end(), [&](const auto& aEntry) {
      const auto& loaded = aEntry.second.target_.weights_;
      const auto found = loaded.find(aModel);
      return found != loaded.end() && found->second >= aRollout.version_;
    });
  if (hasSucceeded) {
    aRollout.lossMoments_ = 0;
  }
}

// Returns how many targets may be out of service for new weights.
std::size_t
MostAtOnce(const Rollout& aRollout, std::size_t aTargets, absl::Time aNow)
{
  if (IsSlowed(aRollout)) {
    return aNow - aRollout.lastLossAt_ >= kSlowedPause ? 1 : 0;
  }
  return static_cast<std::size_t>(std::max(
    1.0, std::ceil(kMaxConcurrentShare * static_cast<double>(aTargets))));
}

} // namespace

bool
IsSlowed(const Rollout& aRollout)
{
  return aRollout.lossMoments_ >= kMaxLossMoments;
}

bool
AddVersion(PublishedVersions& aVersions, const PublishedVersion& aVersion)
{
  if (aVersion.version_ <= NewestVersion(aVersions)) {
    return false;
  }
  aVersions.push_back(aVersion);
  return true;
}

std::uint64_t
NewestVersion(const PublishedVersions& aVersions)
{
  return aVersions.empty() ? 0 : aVersions.back().version_;
}

const PublishedVersion*
FindNewer(const PublishedVersions& aVersions, std::uint64_t aVersion)
{
  const auto newer = std::upper_bound(
    aVersions.begin(),
    aVersions.end(),
    aVersion,
    [](std::uint64_t aKnown, const PublishedVersion& aPublished) {
      return aKnown < aPublished.version_;
    });
  return newer == aVersions.end() ? nullptr : &*newer;
}

absl::Time
OutdatedSince(const PublishedVersions& aVersions, std::uint64_t aVersion)
{
  const auto* newer = FindNewer(aVersions, aVersion);
  return newer == nullptr ? absl::InfiniteFuture() : newer->publishedAt_;
}

std::vector<std::string>
NextTargets(Rollout& aRollout,
            const fleet::Members& aMembers,
            const std::string& aModel,
            absl::Time aNow)
{
  ForgetEnded(aRollout, aMembers, aModel, aNow);
  std::size_t total = 0;
  for (const auto& [id, member] : aMembers) {
    total += HasModel(member, aModel) ? 1 : 0;
    if (NeedsWeights(member, aModel, aRollout.version_)) {
      aRollout.targets_[id].bornMs_ = member.target_.bornMs_;
    } else {
      aRollout.targets_.erase(id);
    }
  }
  std::size_t busy = 0;
  std::vector<std::pair<const fleet::Member*, TargetProgress*>> ready;
  for (auto& [id, work] : aRollout.targets_) {
    if (HoldsPlace(work)) {
      ++busy;
    } else if (work.progress_ == Progress::Waiting && aNow >= work.notBefore_) {
      ready.emplace_back(&aMembers.at(id), &work);
    }
  }
  const auto most = MostAtOnce(aRollout, total, aNow);
  // Targets that orders have failed at, or that can't be reached, come last.
  const auto rank = [aNow](const auto& aEntry) {
    const auto& [member, work] = aEntry;
    return std::make_tuple(work->failures_,
                           fleet::IsQuarantined(*member, aNow),
                           member->load_.running_ + member->inFlight_);
  };
  std::stable_sort(
    ready.begin(), ready.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  std::vector<std::string> ids;
  for (const auto& [member, work] : ready) {
    if (busy + ids.size() >= most) {
      break;
    }
    ids.push_back(member->target_.id_);
    work->progress_ = Progress::Announced;
    work->since_ = aNow;
    work->heardAt_ = aNow;
  }
  return ids;
}

std::vector<Released>
ReleaseSilent(Rollout& aRollout, absl::Time aNow)
{
  std::vector<Released> released;
  for (auto& [id, work] : aRollout.targets_) {
    const auto silence = aNow - work.heardAt_;
    if (!HoldsPlace(work) || silence < kMaxSilence) {
      continue;
    }
    released.push_back({ id, work.progress_, silence, IsOrdered(work) });
    work.progress_ = Progress::Silent;
    work.since_ = aNow;
    ++work.failures_;
  }
  return released;
}

bool
NoteAnswer(TargetProgress& aWork, absl::Time aNow)
{
  aWork.heardAt_ = aNow;
  if (aWork.progress_ != Progress::Silent) {
    return false;
  }
  aWork.progress_ = Progress::Waiting;
  aWork.since_ = aNow;
  return true;
}

bool
AwaitsReport(const TargetProgress& aWork)
{
  return aWork.progress_ == Progress::Loading ||
         aWork.progress_ == Progress::Unconfirmed;
}

std::vector<std::string>
TargetsToPoll(Rollout& aRollout, absl::Time aNow)
{
  std::vector<std::string> ids;
  for (auto& [id, work] : aRollout.targets_) {
    const bool isSilent = work.progress_ == Progress::Silent;
    const bool isTooEarly = work.progress_ == Progress::Unconfirmed &&
                            aNow - work.since_ <= kConfirmDelay;
    const auto period = isSilent ? kSilentReportPeriod : kReportPeriod;
    if ((isSilent || AwaitsReport(work)) && !isTooEarly &&
        aNow - work.polledAt_ > period) {
      work.polledAt_ = aNow;
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace lycheeplank::weights
