#include "lycheeplank/directory.h"

#include <algorithm>
#include <array>
#include <utility>

#include "directory/pool.h"

namespace lycheeplank::directory {

namespace {

// Indexes of the home hosts, best first; kNoHome if there are too few hosts.
using HomePositions = std::array<std::size_t, kHomes>;
constexpr std::size_t kNoHome = static_cast<std::size_t>(-1);

HomePositions
HomePositionsOf(const core::BlockKey& aRoot, const HostSet& aHosts)
{
  const std::array<std::uint64_t, 2> halves{ aRoot.high_, aRoot.low_ };
  const absl::string_view item(reinterpret_cast<const char*>(halves.data()),
                               sizeof(halves));
  HomePositions best;
  best.fill(kNoHome);
  std::array<std::uint64_t, kHomes> scores{};
  for (std::size_t i = 0; i < aHosts.names_.size(); ++i) {
    std::pair<std::uint64_t, std::size_t> entry(
      core::StableHash(item, aHosts.seeds_[i]), i);
    for (std::size_t rank = 0; rank < kHomes; ++rank) {
      if (best[rank] == kNoHome || entry.first > scores[rank]) {
        std::swap(entry.first, scores[rank]);
        std::swap(entry.second, best[rank]);
      }
      if (entry.second == kNoHome) {
        break;
      }
    }
  }
  return best;
}

// A sighting of a block and the number of its holder.
struct KnownBlock
{
  std::uint16_t holder_ = 0;
  Sighting sighting_;
};

using BlocksByRoot = std::vector<std::vector<KnownBlock>>;

// Makes the sighting of a copy to hand over. The directory stores only short
// keys, so the high half of the block key is replaced by that of the root.
Sighting
SightingOf(std::uint64_t aKey,
           const core::BlockKey& aRoot,
           const BlockCopy& aCopy)
{
  constexpr std::uint64_t kBytesPerKibibyte = 1024;
  Sighting sighting;
  sighting.block_ = { aRoot.high_, aKey };
  sighting.root_ = aRoot;
  sighting.tier_ = aCopy.tier_;
  sighting.generation_ = aCopy.generation_;
  sighting.bytes_ = aCopy.kibibytes_ * kBytesPerKibibyte;
  return sighting;
}

BlocksByRoot
GroupByRoot(const State& aState)
{
  BlocksByRoot groups(aState.roots_.size());
  for (const auto& [key, block] : aState.blocks_) {
    const auto& root = aState.roots_[block.root_].key_;
    for (std::uint32_t index = block.firstCopy_; index != kNoCopy;
         index = CopyAt(aState.copies_, index).next_) {
      const BlockCopy& copy = CopyAt(aState.copies_, index);
      groups[block.root_].push_back(
        { copy.holder_, SightingOf(key, root, copy) });
    }
  }
  return groups;
}

bool
Contains(const std::vector<std::string>& aNames, absl::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// Returns whether aSelf hands over a prompt with the given old homes: the first
// of them that is still a host does; if there is none, each old home does as
// far as it still can.
bool
IsHandingOver(absl::string_view aSelf,
              const std::vector<std::string>& aOldHomes,
              const HostSet& aAfter)
{
  for (const auto& home : aOldHomes) {
    if (Contains(aAfter.names_, home)) {
      return home == aSelf;
    }
  }
  return Contains(aOldHomes, aSelf);
}

void
AddHandOver(const State& aState,
            HomeChange& aChange,
            const std::string& aHost,
            const std::vector<KnownBlock>& aKnown)
{
  for (const auto& known : aKnown) {
    const auto& id = aState.holders_[known.holder_].id_;
    const auto found = std::find_if(
      aChange.handOvers_.begin(),
      aChange.handOvers_.end(),
      [&](const HandOver& aHandOver) {
        return aHandOver.host_ == aHost && aHandOver.holder_.name_ == id.name_;
      });
    auto& handOver = found != aChange.handOvers_.end()
                       ? *found
                       : aChange.handOvers_.emplace_back(HandOver{ aHost, id });
    handOver.sightings_.push_back(known.sighting_);
  }
}

// Returns whether all homes of some prompt may have left at once.
bool
MayHaveLostPrompts(const HostSet& aBefore, const HostSet& aAfter)
{
  const auto departed = std::count_if(
    aBefore.names_.begin(), aBefore.names_.end(), [&](const auto& aName) {
      return !Contains(aAfter.names_, aName);
    });
  const std::size_t homes = std::min(kHomes, aBefore.names_.size());
  return static_cast<std::size_t>(departed) >= homes;
}

} // namespace

HostSet
MakeHostSet(std::vector<std::string> aNames)
{
  HostSet hosts;
  std::sort(aNames.begin(), aNames.end());
  hosts.names_ = std::move(aNames);
  for (const auto& name : hosts.names_) {
    hosts.seeds_.push_back(core::StableHash(name));
  }
  return hosts;
}

std::vector<std::string>
Homes(const core::BlockKey& aRoot, const HostSet& aHosts)
{
  std::vector<std::string> homes;
  for (const auto position : HomePositionsOf(aRoot, aHosts)) {
    if (position != kNoHome) {
      homes.push_back(aHosts.names_[position]);
    }
  }
  return homes;
}

std::vector<HomeBatch>
SplitByHome(const std::vector<Sighting>& aSightings,
            const HostSet& aHosts,
            bool aEveryHost)
{
  std::vector<HomeBatch> all(aHosts.names_.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i].host_ = aHosts.names_[i];
  }
  for (const auto& sighting : aSightings) {
    for (const auto position : HomePositionsOf(sighting.root_, aHosts)) {
      if (position != kNoHome) {
        all[position].sightings_.push_back(sighting);
      }
    }
  }
  if (!aEveryHost) {
    const auto isEmpty = [](const HomeBatch& aBatch) {
      return aBatch.sightings_.empty();
    };
    all.erase(std::remove_if(all.begin(), all.end(), isEmpty), all.end());
  }
  return all;
}

HomeChange
PlanHomeChange(const State& aState,
               absl::string_view aSelf,
               const HostSet& aBefore,
               const HostSet& aAfter)
{
  HomeChange change;
  change.rebuild_ = MayHaveLostPrompts(aBefore, aAfter);
  const auto groups = GroupByRoot(aState);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (groups[i].empty()) {
      continue;
    }
    const auto& root = aState.roots_[i].key_;
    const auto before = Homes(root, aBefore);
    const auto after = Homes(root, aAfter);
    if (!Contains(after, aSelf)) {
      change.forget_.push_back(root);
    }
    if (!IsHandingOver(aSelf, before, aAfter)) {
      continue;
    }
    for (const auto& home : after) {
      if (home != aSelf && !Contains(before, home)) {
        AddHandOver(aState, change, home, groups[i]);
      }
    }
  }
  return change;
}

void
ForgetPrompts(State& aState, const std::vector<core::BlockKey>& aRoots)
{
  std::vector<bool> forgotten(aState.roots_.size(), false);
  for (const auto& root : aRoots) {
    if (const auto found = aState.rootIndex_.find(root);
        found != aState.rootIndex_.end()) {
      forgotten[found->second] = true;
    }
  }
  std::vector<KnownBlock> removed;
  for (const auto& [key, block] : aState.blocks_) {
    for (std::uint32_t index = block.firstCopy_;
         forgotten[block.root_] && index != kNoCopy;
         index = CopyAt(aState.copies_, index).next_) {
      removed.push_back(
        { CopyAt(aState.copies_, index).holder_, { { 0, key } } });
    }
  }
  for (const auto& known : removed) {
    RemoveCopy(aState, known.holder_, ShortKey(known.sighting_.block_));
  }
}

} // namespace lycheeplank::directory
