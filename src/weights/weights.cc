#include "lycheeplank/weights.h"

#include <algorithm>
#include <cmath>
#include <iterator>

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

// Returns whether a target was lost while it was ordered to load weights.
bool
IsLost(const TargetProgress& aWork, const fleet::Member* aMember)
{
  const bool isOrdered = aWork.sent_ > 0 &&
                         aWork.progress_ != Progress::Waiting &&
                         aWork.progress_ != Progress::Announced;
  return isOrdered &&
         (aMember == nullptr || aMember->target_.bornMs_ != aWork.bornMs_);
}

// Counts the targets that were lost while they were ordered, and forgets those
// that are gone.
void
CountLosses(Rollout& aRollout,
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
    const bool isLost = IsLost(item->second, member);
    if (isLost && (aRollout.lossMoments_ == 0 ||
                   aNow - aRollout.lastLossAt_ >= kLossMomentTime)) {
      ++aRollout.lossMoments_;
      aRollout.lastLossAt_ = aNow;
    }
    item = isLost || member == nullptr ? targets.erase(item) : std::next(item);
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
  CountLosses(aRollout, aMembers, aModel, aNow);
  std::size_t total = 0;
  std::size_t busy = 0;
  std::vector<const fleet::Member*> ready;
  for (const auto& [id, member] : aMembers) {
    total += HasModel(member, aModel) ? 1 : 0;
    if (!NeedsWeights(member, aModel, aRollout.version_)) {
      aRollout.targets_.erase(id);
      continue;
    }
    const auto& work = aRollout.targets_[id];
    if (work.progress_ != Progress::Waiting) {
      ++busy;
    } else if (aNow >= work.notBefore_) {
      ready.push_back(&member);
    }
  }
  const auto most = MostAtOnce(aRollout, total, aNow);
  std::stable_sort(
    ready.begin(), ready.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->load_.running_ + aLeft->inFlight_ <
             aRight->load_.running_ + aRight->inFlight_;
    });
  std::vector<std::string> ids;
  for (const auto* member : ready) {
    if (busy + ids.size() >= most) {
      break;
    }
    ids.push_back(member->target_.id_);
    auto& work = aRollout.targets_[member->target_.id_];
    work.progress_ = Progress::Announced;
    work.since_ = aNow;
    work.bornMs_ = member->target_.bornMs_;
  }
  return ids;
}

std::vector<std::string>
TargetsToPoll(const Rollout& aRollout, absl::Time aNow)
{
  std::vector<std::string> ids;
  for (const auto& [id, work] : aRollout.targets_) {
    const bool unconfirmed = work.progress_ == Progress::Unconfirmed &&
                             aNow - work.since_ > kConfirmDelay;
    if (work.progress_ == Progress::Loading || unconfirmed) {
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace lycheeplank::weights
