#include "lycheeplank/weights.h"

#include <algorithm>
#include <cmath>

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

} // namespace

bool
AddVersion(PublishedVersions& aVersions,
           std::uint64_t aVersion,
           absl::Time aPublishedAt)
{
  if (aVersion <= NewestVersion(aVersions)) {
    return false;
  }
  aVersions.push_back({ aVersion, aPublishedAt });
  return true;
}

std::uint64_t
NewestVersion(const PublishedVersions& aVersions)
{
  return aVersions.empty() ? 0 : aVersions.back().version_;
}

absl::Time
OutdatedSince(const PublishedVersions& aVersions, std::uint64_t aVersion)
{
  const auto newer = std::upper_bound(
    aVersions.begin(),
    aVersions.end(),
    aVersion,
    [](std::uint64_t aKnown, const PublishedVersion& aPublished) {
      return aKnown < aPublished.version_;
    });
  return newer == aVersions.end() ? absl::InfiniteFuture()
                                  : newer->publishedAt_;
}

std::vector<std::string>
NextTargets(Rollout& aRollout,
            const fleet::Members& aMembers,
            const std::string& aModel,
            absl::Time aNow)
{
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
  const auto most = static_cast<std::size_t>(
    std::max(1.0, std::ceil(kMaxConcurrentShare * static_cast<double>(total))));
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

std::uint64_t
OldestVersion(const fleet::Members& aMembers, const std::string& aModel)
{
  std::uint64_t oldest = 0;
  for (const auto& [id, member] : aMembers) {
    const auto found = member.target_.weights_.find(aModel);
    if (found != member.target_.weights_.end()) {
      oldest = oldest == 0 ? found->second : std::min(oldest, found->second);
    }
  }
  return oldest;
}

} // namespace lycheeplank::weights
