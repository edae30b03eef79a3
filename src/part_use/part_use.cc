#include "lycheeplank/part_use.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheeplank::part_use {

namespace {

// Lowers an oldest version, 0 if there is none yet, to that of a target.
void
LowerTo(std::uint64_t& aOldest,
        const fleet::Target& aTarget,
        const std::string& aModel)
{
  const auto found = aTarget.weights_.find(aModel);
  if (found != aTarget.weights_.end()) {
    aOldest = aOldest == 0 ? found->second : std::min(aOldest, found->second);
  }
}

} // namespace

absl::Time
LatestReadEnd(const weights::PublishedVersions& aVersions,
              std::uint64_t aVersion,
              absl::Time aListedAt,
              absl::Time aCompleteAt)
{
  const auto* newer = weights::FindNewer(aVersions, aVersion);
  if (newer == nullptr) {
    return aCompleteAt + kMaxReadAge;
  }
  // An owner that knows the newer version may not know a target that was listed
  // after it.
  return aListedAt > newer->learnedAt_ ? absl::InfinitePast()
                                       : newer->absentAt_ + kMaxReadAge;
}

void
NoteVanished(Readers& aReaders, fleet::Target aTarget, absl::Time aNow)
{
  auto id = aTarget.id_;
  aReaders.vanished_[std::move(id)] = { std::move(aTarget), aNow };
}

void
Sweep(Readers& aReaders, absl::Time aNow)
{
  auto& vanished = aReaders.vanished_;
  for (auto at = vanished.begin(); at != vanished.end();) {
    const bool isOver = aNow - at->second.vanishedAt_ >= kUnknownReadTime;
    at = isOver ? vanished.erase(at) : std::next(at);
  }
}

std::uint64_t
OldestVersion(const fleet::Members& aMembers,
              const Readers& aReaders,
              const std::string& aModel)
{
  std::uint64_t oldest = 0;
  for (const auto& [id, member] : aMembers) {
    LowerTo(oldest, member.target_, aModel);
  }
  for (const auto& [id, vanished] : aReaders.vanished_) {
    const auto listed = aMembers.find(id);
    if (listed == aMembers.end() ||
        !listed->second.target_.weights_.contains(aModel)) {
      LowerTo(oldest, vanished.target_, aModel);
    }
  }
  return oldest;
}

void
RecordOldest(Rises& aRises, std::uint64_t aOldest, absl::Time aNow)
{
  while (!aRises.empty() && aRises.back().version_ > aOldest) {
    aRises.pop_back();
  }
  if (aRises.empty() || aRises.back().version_ < aOldest) {
    aRises.push_back({ aOldest, aNow });
  }
}

Unused
FindUnused(const Rises& aRises,
           const weights::PublishedVersions& aVersions,
           const Readers& aReaders,
           absl::Time aNow)
{
  Unused unused;
  if (aNow - aReaders.knownSince_ >= kUnknownReadTime) {
    for (const auto& rise : aRises) {
      if (aNow - rise.at_ >= cache_index::kReadEndTime) {
        unused = { rise.version_, Proof::Targets, rise.at_ };
      }
    }
  }
  for (const auto& published : aVersions) {
    if (published.version_ > unused.below_ &&
        aNow - published.learnedAt_ >= kUnknownReadTime) {
      unused = { published.version_, Proof::Age, published.learnedAt_ };
    }
  }
  return unused;
}

} // namespace lycheeplank::part_use
