#include "lycheeplank/kept.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "lycheeplank/core.h"

namespace lycheeplank::kept {

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

// Part of what was known of a store's slowness that still counts.
double
SlowMemory(const StoreState& aStore, absl::Time aNow)
{
  return std::exp2(-absl::FDivDuration(aNow - aStore.readAt_, kSlowHalfLife));
}

void
FadeSlowness(StoreState& aStore, absl::Time aNow)
{
  aStore.readShare_ = ReadShareAt(aStore, aNow);
  aStore.lateReads_ *= SlowMemory(aStore, aNow);
  aStore.readAt_ = aNow;
}

// Share of late reads of the best quarter of the stores that were read from
// lately.
double
LateReadsOfBest(const Directory& aDirectory, absl::Time aNow)
{
  std::vector<double> shares;
  for (const auto& [name, store] : aDirectory.stores_) {
    if (aNow - store.readAt_ < kSlowHalfLife) {
      shares.push_back(store.lateReads_ * SlowMemory(store, aNow));
    }
  }
  const auto best = static_cast<std::ptrdiff_t>(
    kBestQuantile * static_cast<double>(shares.size()));
  std::nth_element(shares.begin(), shares.begin() + best, shares.end());
  return shares[static_cast<std::size_t>(best)];
}

// Changes a store's share of reads after a read that was late or in time.
void
StepReadShare(const Directory& aDirectory,
              StoreState& aStore,
              bool aIsLate,
              absl::Time aNow)
{
  const double usual = LateReadsOfBest(aDirectory, aNow);
  auto& share = aStore.readShare_;
  if (aStore.lateReads_ <= usual + kSlowLateShare) {
    share = std::min(1.0, share + kInTimeStep);
  } else if (aIsLate) {
    share = std::max(kLeastReadShare, share * kSlowFactor);
  }
}

const StoreState*
FindByAddress(const Directory& aDirectory, absl::string_view aAddress)
{
  const auto found =
    std::find_if(aDirectory.stores_.begin(),
                 aDirectory.stores_.end(),
                 [aAddress](const auto& aStore) {
                   return aStore.second.settings_.address_ == aAddress;
                 });
  return found == aDirectory.stores_.end() ? nullptr : &found->second;
}

bool
IsUsable(const StoreState& aStore, absl::Time aNow)
{
  return aStore.trust_ == Trust::Following &&
         aNow - aStore.heardAt_ < kTrustWithoutWord;
}

void
Clear(StoreState& aStore, std::uint64_t aEpoch, absl::Time aNow)
{
  // The first epoch that a host sees may be older than the host.
  aStore.epochSeenAt_ = aNow;
  aStore.epoch_ = aEpoch;
  aStore.parts_.clear();
  aStore.usedTokens_ = 0;
}

// Room that a part takes, in tokens.
std::uint64_t
RoomOf(std::uint32_t aTokens)
{
  return (aTokens + kBlockTokens - 1) / kBlockTokens * kBlockTokens;
}

void
TakeChange(StoreState& aStore, const Change& aChange)
{
  const auto key = KeyOf(aChange.scope_, aChange.part_);
  const auto found = aStore.parts_.find(key);
  const std::uint32_t before = found == aStore.parts_.end() ? 0 : found->second;
  const std::uint32_t after = aChange.added_ ? aChange.tokens_ : 0;
  aStore.usedTokens_ = aStore.usedTokens_ - RoomOf(before) + RoomOf(after);
  if (after == 0) {
    aStore.parts_.erase(key);
  } else {
    aStore.parts_[key] = after;
  }
}

// Position of a store in the order of a part: the lowest is the best. Fast
// links get more parts until their stores are full (weighted rendezvous
// hashing), and the parts that are asked for often are the first to come.
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
BestHolder(const Directory& aDirectory,
           const std::string& aKey,
           std::uint32_t aTokens,
           absl::string_view aDataCentre,
           absl::Time aNow)
{
  const StoreState* best = nullptr;
  for (const auto& [name, store] : aDirectory.stores_) {
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
BestKeeper(const Directory& aDirectory,
           absl::string_view aPart,
           std::uint32_t aTokens,
           absl::Time aNow)
{
  const StoreState* best = nullptr;
  double bestRank = std::numeric_limits<double>::max();
  for (const auto& [name, store] : aDirectory.stores_) {
    const double room =
      kFilledShare * static_cast<double>(store.settings_.capacityTokens_);
    if (!IsUsable(store, aNow) || aNow - store.epochSeenAt_ < kEpochSettle ||
        static_cast<double>(store.usedTokens_ + RoomOf(aTokens)) > room) {
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
SetStores(Directory& aDirectory,
          const std::vector<catalog::CacheStore>& aStores)
{
  absl::flat_hash_set<std::string> names;
  for (const auto& store : aStores) {
    names.insert(store.name_);
    auto& state = aDirectory.stores_[store.name_];
    if (state.settings_.address_ != store.address_) {
      state = StoreState();
    }
    state.settings_ = store;
  }
  for (auto at = aDirectory.stores_.begin(); at != aDirectory.stores_.end();) {
    at =
      names.contains(at->first) ? std::next(at) : aDirectory.stores_.erase(at);
  }
}

void
TakeChanges(StoreState& aStore,
            std::uint64_t aEpoch,
            std::uint64_t aNext,
            const std::vector<Change>& aChanges,
            absl::Time aNow)
{
  if (aStore.epoch_ != aEpoch) {
    Clear(aStore, aEpoch, aNow);
  }
  for (const auto& change : aChanges) {
    TakeChange(aStore, change);
  }
  aStore.next_ = aNext;
  aStore.heardAt_ = aNow;
  aStore.trust_ = Trust::Following;
}

void
TakeList(StoreState& aStore,
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
  TakeChanges(aStore, aEpoch, aNext, aHeld, aNow);
}

std::vector<Change>
Difference(const StoreState& aStore, const std::vector<Change>& aHeld)
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
Forget(StoreState& aStore,
       std::uint64_t aEpoch,
       const std::vector<Change>& aParts)
{
  if (aStore.epoch_ != aEpoch) {
    return;
  }
  for (const auto& part : aParts) {
    TakeChange(aStore, { false, part.scope_, part.part_, 0 });
  }
}

void
MarkLost(StoreState& aStore)
{
  aStore.trust_ = Trust::Lost;
}

bool
IsLateRead(absl::Duration aTook,
           absl::Duration aExpected,
           absl::Duration aReadTime)
{
  return aTook > aReadTime && aTook - aExpected > kLateShare * aReadTime;
}

double
ReadShareAt(const StoreState& aStore, absl::Time aNow)
{
  return 1.0 - (1.0 - aStore.readShare_) * SlowMemory(aStore, aNow);
}

const StoreState*
NoteRead(Directory& aDirectory,
         absl::string_view aAddress,
         bool aIsLate,
         absl::Time aNow)
{
  const auto* found = FindByAddress(aDirectory, aAddress);
  if (found == nullptr) {
    return nullptr;
  }
  auto& store = aDirectory.stores_.at(found->settings_.name_);
  FadeSlowness(store, aNow);
  store.lateReads_ += kNewestRead * ((aIsLate ? 1.0 : 0.0) - store.lateReads_);
  StepReadShare(aDirectory, store, aIsLate, aNow);
  return &store;
}

std::uint32_t
ShortName(absl::string_view aStore)
{
  return static_cast<std::uint32_t>(core::StableHash(aStore));
}

void
CountRead(ReadCounts& aCounts,
          const Directory& aDirectory,
          absl::string_view aAddress,
          bool aIsLate)
{
  if (const auto* store = FindByAddress(aDirectory, aAddress)) {
    auto& count = aCounts[ShortName(store->settings_.name_)];
    ++count.reads_;
    count.late_ += aIsLate ? 1 : 0;
  }
}

void
AddCounts(ReadCounts& aSum, const ReadCounts& aCounts)
{
  for (const auto& [store, count] : aCounts) {
    auto& sum = aSum[store];
    sum.reads_ += count.reads_;
    sum.late_ += count.late_;
  }
}

void
TakeCounts(Directory& aDirectory, const ReadCounts& aCounts, absl::Time aNow)
{
  for (auto& [name, store] : aDirectory.stores_) {
    const auto found = aCounts.find(ShortName(name));
    if (found == aCounts.end() || found->second.reads_ == 0) {
      continue;
    }
    const auto [reads, late] = found->second;
    FadeSlowness(store, aNow);
    const double lateShare =
      static_cast<double>(late) / static_cast<double>(reads);
    const double weight = 1.0 - std::pow(1.0 - kNewestRead, reads);
    store.lateReads_ += weight * (lateShare - store.lateReads_);
    if (aNow - store.steppedAt_ >= kStepPeriod) {
      store.steppedAt_ = aNow;
      StepReadShare(aDirectory, store, late > 0, aNow);
    }
  }
}

Plan
PlanParts(const Directory& aDirectory,
          absl::string_view aScope,
          const std::vector<Part>& aParts,
          absl::string_view aDataCentre,
          double aDraw,
          absl::Time aNow)
{
  Plan plan;
  if (!aDirectory.clockAhead_) {
    // Without the stores' clock no read could be given an end.
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
          BestHolder(aDirectory, key, part.tokens_, aDataCentre, aNow)) {
      if (aDraw < ReadShareAt(*holder, aNow)) {
        row.readFrom_ = holder->settings_.address_;
        plan.readTokens_ += part.tokens_;
      } else {
        plan.computedTokens_ += part.tokens_;
      }
      continue;
    }
    plan.computedTokens_ += part.tokens_;
    if (const auto* keeper =
          BestKeeper(aDirectory, part.id_, part.tokens_, aNow)) {
      row.keepAt_ = keeper->settings_.address_;
    }
  }
  return plan;
}

std::int64_t
ClockMs(const Directory& aDirectory, absl::Time aTime)
{
  return aDirectory.clockAhead_
           ? absl::ToUnixMillis(aTime + *aDirectory.clockAhead_)
           : 0;
}

std::vector<Change>
HeldBy(const StoreState& aStore)
{
  std::vector<Change> held;
  held.reserve(aStore.parts_.size());
  for (const auto& [key, tokens] : aStore.parts_) {
    held.push_back(ChangeOf(key, tokens));
  }
  return held;
}

std::vector<Change>
MadeByOldWeights(const StoreState& aStore,
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
  const std::string wall = aWorkspace != nullptr && aWorkspace->isWalled_
                             ? absl::StrCat("w.", aWorkspace->name_)
                             : "shared";
  return absl::StrCat(wall, ".", aModel, ".", aWeights);
}

} // namespace lycheeplank::kept
