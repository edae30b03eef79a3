#include "lycheeplank/cache_index.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "lycheeplank/core.h"

namespace lycheeplank::cache_index {

namespace {

// Separates scope and part in the key of a part; neither contains it.
constexpr char kSeparator = '|';

std::string
KeyOf(absl::string_view aScope, absl::string_view aPart)
{
  return absl::StrCat(aScope, std::string(1, kSeparator), aPart);
}

Change
ChangeOf(const std::string& aKey, std::uint32_t aTokens)
{
  const auto at = aKey.rfind(kSeparator);
  return { true, aKey.substr(0, at), aKey.substr(at + 1), aTokens };
}

// Returns the share of a store's recorded slowness that still counts.
double
SlownessDecay(const StoreState& aStore, absl::Time aNow)
{
  return std::exp2(
    -absl::FDivDuration(aNow - aStore.lastReadAt_, kSlownessHalfLife));
}

void
DecaySlowness(StoreState& aStore, absl::Time aNow)
{
  aStore.readShare_ = ReadShareAt(aStore, aNow);
  aStore.lateReadShare_ *= SlownessDecay(aStore, aNow);
  aStore.lastReadAt_ = aNow;
}

// Returns the share of late reads at the best quarter of the stores that were
// read from recently.
double
BaselineLateReadShare(const Index& aIndex, absl::Time aNow)
{
  std::vector<double> shares;
  for (const auto& [name, store] : aIndex.stores_) {
    if (aNow - store.lastReadAt_ < kSlownessHalfLife) {
      shares.push_back(store.lateReadShare_ * SlownessDecay(store, aNow));
    }
  }
  const auto best = static_cast<std::ptrdiff_t>(
    kBaselineQuantile * static_cast<double>(shares.size()));
  std::nth_element(shares.begin(), shares.begin() + best, shares.end());
  return shares[static_cast<std::size_t>(best)];
}

// Updates a store's read share after a read that was late or in time.
void
StepReadShare(const Index& aIndex,
              StoreState& aStore,
              bool aIsLate,
              absl::Time aNow)
{
  const double usual = BaselineLateReadShare(aIndex, aNow);
  auto& share = aStore.readShare_;
  if (aStore.lateReadShare_ <= usual + kSlowStoreMargin) {
    share = std::min(1.0, share + kReadShareIncrease);
  } else if (aIsLate) {
    share = std::max(kMinReadShare, share * kReadShareDecrease);
  }
}

const StoreState*
FindByAddress(const Index& aIndex, absl::string_view aAddress)
{
  const auto found =
    std::find_if(aIndex.stores_.begin(),
                 aIndex.stores_.end(),
                 [aAddress](const auto& aStore) {
                   return aStore.second.settings_.address_ == aAddress;
                 });
  return found == aIndex.stores_.end() ? nullptr : &found->second;
}

bool
IsUsable(const StoreState& aStore, absl::Time aNow)
{
  return aStore.syncState_ == SyncState::Synced &&
         aNow - aStore.lastAnswerAt_ < kMaxStateAge;
}

void
Clear(StoreState& aStore, std::uint64_t aEpoch, absl::Time aNow)
{
  // For a host that sees its first epoch of a store, that epoch may have
  // started long before.
  aStore.epochSeenAt_ = aNow;
  aStore.epoch_ = aEpoch;
  aStore.parts_.clear();
  aStore.usedTokens_ = 0;
}

// Returns the capacity that a part takes, in tokens.
std::uint64_t
RoundToBlocks(std::uint32_t aTokens)
{
  return (aTokens + kBlockTokens - 1) / kBlockTokens * kBlockTokens;
}

void
ApplyChange(StoreState& aStore, const Change& aChange)
{
  const auto key = KeyOf(aChange.scope_, aChange.part_);
  const auto found = aStore.parts_.find(key);
  const std::uint32_t before = found == aStore.parts_.end() ? 0 : found->second;
  const std::uint32_t after = aChange.added_ ? aChange.tokens_ : 0;
  aStore.usedTokens_ =
    aStore.usedTokens_ - RoundToBlocks(before) + RoundToBlocks(after);
  if (after == 0) {
    aStore.parts_.erase(key);
  } else {
    aStore.parts_[key] = after;
  }
}

// Returns the rank of a store for a part; the lowest is the best. Weighted
// rendezvous hashing gives stores with fast links more parts until they are
// full. Frequently requested parts arrive first and so get these stores.
double
RankOf(const StoreState& aStore, absl::string_view aPart)
{
  constexpr double kSteps =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto score = core::RendezvousScore(aPart, aStore.settings_.name_);
  const double share = (static_cast<double>(score) + 1.0) / (kSteps + 2.0);
  return -std::log(share) / std::max(1.0, aStore.settings_.linkBitsPerSecond_);
}

const StoreState*
BestHolder(const Index& aIndex,
           const std::string& aKey,
           std::uint32_t aTokens,
           absl::string_view aDataCentre,
           absl::Time aNow)
{
  const StoreState* best = nullptr;
  for (const auto& [name, store] : aIndex.stores_) {
    const auto found = store.parts_.find(aKey);
    if (!IsUsable(store, aNow) || found == store.parts_.end() ||
        found->second < aTokens) {
      continue;
    }
    if (best == nullptr || (store.settings_.dataCentre_ == aDataCentre &&
                            best->settings_.dataCentre_ != aDataCentre)) {
      best = &store;
    }
  }
  return best;
}

const StoreState*
BestStoreForPart(const Index& aIndex,
                 absl::string_view aPart,
                 std::uint32_t aTokens,
                 absl::Time aNow)
{
  const StoreState* best = nullptr;
  double bestRank = std::numeric_limits<double>::max();
  for (const auto& [name, store] : aIndex.stores_) {
    const double room =
      kMaxFillShare * static_cast<double>(store.settings_.capacityTokens_);
    if (!IsUsable(store, aNow) ||
        aNow - store.epochSeenAt_ < kEpochSettleTime ||
        static_cast<double>(store.usedTokens_ + RoundToBlocks(aTokens)) >
          room) {
      continue;
    }
    if (const double rank = RankOf(store, aPart); rank < bestRank) {
      bestRank = rank;
      best = &store;
    }
  }
  return best;
}

} // namespace

void
SetStores(Index& aIndex, const std::vector<catalog::CacheStore>& aStores)
{
  absl::flat_hash_set<std::string> names;
  for (const auto& store : aStores) {
    names.insert(store.name_);
    auto& state = aIndex.stores_[store.name_];
    if (state.settings_.address_ != store.address_) {
      state = StoreState();
    }
    state.settings_ = store;
  }
  for (auto at = aIndex.stores_.begin(); at != aIndex.stores_.end();) {
    at = names.contains(at->first) ? std::next(at) : aIndex.stores_.erase(at);
  }
}

void
ApplyChanges(StoreState& aStore,
             std::uint64_t aEpoch,
             std::uint64_t aNext,
             const std::vector<Change>& aChanges,
             absl::Time aNow)
{
  if (aStore.epoch_ != aEpoch) {
    Clear(aStore, aEpoch, aNow);
  }
  for (const auto& change : aChanges) {
    ApplyChange(aStore, change);
  }
  aStore.next_ = aNext;
  aStore.lastAnswerAt_ = aNow;
  aStore.syncState_ = SyncState::Synced;
}

void
ReplaceContents(StoreState& aStore,
                std::uint64_t aEpoch,
                std::uint64_t aNext,
                const std::vector<Change>& aHeld,
                absl::Time aNow)
{
  const auto seenAt = aStore.epochSeenAt_;
  const bool sameEpoch = aStore.epoch_ == aEpoch;
  Clear(aStore, aEpoch, aNow);
  if (sameEpoch) {
    aStore.epochSeenAt_ = seenAt;
  }
  ApplyChanges(aStore, aEpoch, aNext, aHeld, aNow);
}

std::vector<Change>
DiffContents(const StoreState& aStore, const std::vector<Change>& aHeld)
{
  std::vector<Change> changes;
  absl::flat_hash_set<std::string> held;
  for (const auto& part : aHeld) {
    const auto key = KeyOf(part.scope_, part.part_);
    const auto known = aStore.parts_.find(key);
    if (known == aStore.parts_.end() || known->second != part.tokens_) {
      changes.push_back(part);
    }
    held.insert(key);
  }
  for (const auto& [key, tokens] : aStore.parts_) {
    if (!held.contains(key)) {
      auto change = ChangeOf(key, 0);
      change.added_ = false;
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

void
RemoveParts(StoreState& aStore,
            std::uint64_t aEpoch,
            const std::vector<Change>& aParts)
{
  if (aStore.epoch_ != aEpoch) {
    return;
  }
  for (const auto& part : aParts) {
    ApplyChange(aStore, { false, part.scope_, part.part_, 0 });
  }
}

void
MarkUnreachable(StoreState& aStore)
{
  aStore.syncState_ = SyncState::Unreachable;
}

bool
IsLateRead(absl::Duration aTook,
           absl::Duration aExpected,
           absl::Duration aReadTime)
{
  return aTook > aReadTime && aTook - aExpected > kLateReadMargin * aReadTime;
}

double
ReadShareAt(const StoreState& aStore, absl::Time aNow)
{
  return 1.0 - (1.0 - aStore.readShare_) * SlownessDecay(aStore, aNow);
}

const StoreState*
RecordRead(Index& aIndex,
           absl::string_view aAddress,
           bool aIsLate,
           absl::Time aNow)
{
  const auto* found = FindByAddress(aIndex, aAddress);
  if (found == nullptr) {
    return nullptr;
  }
  auto& store = aIndex.stores_.at(found->settings_.name_);
  DecaySlowness(store, aNow);
  store.lateReadShare_ +=
    kReadAverageWeight * ((aIsLate ? 1.0 : 0.0) - store.lateReadShare_);
  StepReadShare(aIndex, store, aIsLate, aNow);
  return &store;
}

std::uint32_t
NameHash(absl::string_view aStore)
{
  return static_cast<std::uint32_t>(core::StableHash(aStore));
}

void
CountRead(ReadCounts& aCounts,
          const Index& aIndex,
          absl::string_view aAddress,
          bool aIsLate)
{
  if (const auto* store = FindByAddress(aIndex, aAddress)) {
    auto& count = aCounts[NameHash(store->settings_.name_)];
    ++count.reads_;
    count.late_ += aIsLate ? 1 : 0;
  }
}

void
MergeReadCounts(ReadCounts& aSum, const ReadCounts& aCounts)
{
  for (const auto& [store, count] : aCounts) {
    auto& sum = aSum[store];
    sum.reads_ += count.reads_;
    sum.late_ += count.late_;
  }
}

void
ApplyPeerReadCounts(Index& aIndex, const ReadCounts& aCounts, absl::Time aNow)
{
  for (auto& [name, store] : aIndex.stores_) {
    const auto found = aCounts.find(NameHash(name));
    if (found == aCounts.end() || found->second.reads_ == 0) {
      continue;
    }
    const auto [reads, late] = found->second;
    DecaySlowness(store, aNow);
    const double lateShare =
      static_cast<double>(late) / static_cast<double>(reads);
    const double weight = 1.0 - std::pow(1.0 - kReadAverageWeight, reads);
    store.lateReadShare_ += weight * (lateShare - store.lateReadShare_);
    if (aNow - store.peerStepAt_ >= kPeerStepInterval) {
      store.peerStepAt_ = aNow;
      StepReadShare(aIndex, store, late > 0, aNow);
    }
  }
}

Plan
PlanParts(const Index& aIndex,
          absl::string_view aScope,
          const std::vector<Part>& aParts,
          absl::string_view aDataCentre,
          double aDraw,
          absl::Time aNow)
{
  Plan plan;
  if (!aIndex.clockOffset_) {
    // Without the offset of the stores' clock, a read cannot be given a
    // deadline.
    plan.parts_.resize(aParts.size());
    for (const auto& part : aParts) {
      plan.computedTokens_ += part.tokens_;
    }
    return plan;
  }
  for (const auto& part : aParts) {
    auto& row = plan.parts_.emplace_back();
    const auto key = KeyOf(aScope, part.id_);
    if (const auto* holder =
          BestHolder(aIndex, key, part.tokens_, aDataCentre, aNow)) {
      if (aDraw < ReadShareAt(*holder, aNow)) {
        row.readFrom_ = holder->settings_.address_;
        plan.readTokens_ += part.tokens_;
      } else {
        plan.computedTokens_ += part.tokens_;
      }
      continue;
    }
    plan.computedTokens_ += part.tokens_;
    if (const auto* bestStore =
          BestStoreForPart(aIndex, part.id_, part.tokens_, aNow)) {
      row.storeAt_ = bestStore->settings_.address_;
    }
  }
  return plan;
}

std::int64_t
StoreClockMs(const Index& aIndex, absl::Time aTime)
{
  return aIndex.clockOffset_ ? absl::ToUnixMillis(aTime + *aIndex.clockOffset_)
                             : 0;
}

std::vector<Change>
ContentsOf(const StoreState& aStore)
{
  std::vector<Change> held;
  held.reserve(aStore.parts_.size());
  for (const auto& [key, tokens] : aStore.parts_) {
    held.push_back(ChangeOf(key, tokens));
  }
  return held;
}

std::vector<Change>
PartsOfOldWeights(const StoreState& aStore,
                  absl::string_view aModel,
                  std::uint64_t aVersion)
{
  std::vector<Change> old;
  for (const auto& [key, tokens] : aStore.parts_) {
    auto change = ChangeOf(key, tokens);
    // A scope ends with the model and the version of its weights.
    const absl::string_view scope = change.scope_;
    const auto dot = scope.rfind('.');
    std::uint64_t version = 0;
    if (dot != absl::string_view::npos &&
        absl::EndsWith(scope.substr(0, dot), absl::StrCat(".", aModel)) &&
        absl::SimpleAtoi(scope.substr(dot + 1), &version) &&
        version < aVersion) {
      old.push_back(std::move(change));
    }
  }
  return old;
}

std::string
ScopeOf(const catalog::Workspace* aWorkspace,
        absl::string_view aModel,
        std::uint64_t aWeights)
{
  const std::string wall = aWorkspace != nullptr && aWorkspace->isIsolated_
                             ? absl::StrCat("w.", aWorkspace->name_)
                             : "shared";
  return absl::StrCat(wall, ".", aModel, ".", aWeights);
}

} // namespace lycheeplank::cache_index
