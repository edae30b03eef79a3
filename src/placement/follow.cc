#include "lycheeplank/placement.h"

#include <algorithm>

namespace lycheeplank::placement {

namespace {

bool
Contains(const std::vector<std::uint32_t>& aList, std::uint32_t aItem)
{
  return std::find(aList.begin(), aList.end(), aItem) != aList.end();
}

} // namespace

double
FollowedLoadRequestsPerSecond(std::size_t aFollowed, std::size_t aTargets)
{
  return aFollowed >= aTargets
           ? kMaxLoadRequestsPerSecond
           : kMaxLoadRequestsPerSecond -
               static_cast<double>(kHolderLoadRequestsPerSecond);
}

std::size_t
FollowerCount(std::size_t aHosts, std::size_t aTargets)
{
  if (aTargets == 0) {
    return 0;
  }
  const std::size_t wanted =
    (kMinFollowedTargets * aHosts + aTargets - 1) / aTargets;
  return std::min<std::size_t>(aHosts,
                               std::max<std::size_t>(wanted, kMinFollowers));
}

std::vector<std::string>
Followers(absl::string_view aTarget,
          absl::string_view aDataCentre,
          const std::vector<Follower>& aHosts,
          std::size_t aCount)
{
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const auto& host : aHosts) {
    auto& group = host.dataCentre_ == aDataCentre ? local : remote;
    group.push_back(host.name_);
  }
  auto followers = core::RendezvousPick(aTarget, local, aCount);
  if (followers.size() < aCount) {
    const auto remoteFollowers =
      core::RendezvousPick(aTarget, remote, aCount - followers.size());
    followers.insert(
      followers.end(), remoteFollowers.begin(), remoteFollowers.end());
  }
  return followers;
}

std::vector<Follower>
IncludeSelf(std::vector<Follower> aHosts, const Follower& aSelf)
{
  const bool listed =
    std::any_of(aHosts.begin(), aHosts.end(), [&](const Follower& aHost) {
      return aHost.name_ == aSelf.name_;
    });
  if (!listed && !aHosts.empty()) {
    aHosts.push_back(aSelf);
  }
  return aHosts;
}

bool
IsFollower(absl::string_view aTarget,
           absl::string_view aDataCentre,
           absl::string_view aHost,
           const std::vector<Follower>& aHosts,
           std::size_t aTargets)
{
  const auto followers = Followers(
    aTarget, aDataCentre, aHosts, FollowerCount(aHosts.size(), aTargets));
  return std::find(followers.begin(), followers.end(), aHost) !=
         followers.end();
}

std::vector<std::uint32_t>
Shortlist(const std::vector<std::uint32_t>& aFollowed,
          const std::vector<HolderRef>& aHolders,
          std::uint64_t aSeed,
          std::size_t aLimit)
{
  std::vector<HolderRef> holders = aHolders;
  const std::size_t holderCount = std::min(holders.size(), (aLimit + 1) / 2);
  std::partial_sort(holders.begin(),
                    holders.begin() + static_cast<std::ptrdiff_t>(holderCount),
                    holders.end(),
                    [](const HolderRef& aLeft, const HolderRef& aRight) {
                      return aLeft.leadingBlocks_ != aRight.leadingBlocks_
                               ? aLeft.leadingBlocks_ > aRight.leadingBlocks_
                               : aLeft.target_ < aRight.target_;
                    });
  std::vector<std::uint32_t> list;
  list.reserve(std::min(aLimit, holderCount + aFollowed.size()));
  for (std::size_t i = 0; i < holderCount; ++i) {
    if (!Contains(list, holders[i].target_)) {
      list.push_back(holders[i].target_);
    }
  }
  const std::size_t distinctHolders = list.size();
  for (std::size_t i = 0; i < aFollowed.size() && list.size() < aLimit; ++i) {
    const auto target = aFollowed[(aSeed + i) % aFollowed.size()];
    const auto holdersEnd =
      list.begin() + static_cast<std::ptrdiff_t>(distinctHolders);
    if (std::find(list.begin(), holdersEnd, target) == holdersEnd) {
      list.push_back(target);
    }
  }
  return list;
}

} // namespace lycheeplank::placement
