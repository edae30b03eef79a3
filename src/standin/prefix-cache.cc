#include "standin/prefix-cache.h"

#include <algorithm>

#include <absl/time/clock.h>

namespace lycheeplank::standin {

namespace {

// The number of events retained for slow readers.
constexpr std::size_t kMaxEvents = 100000;

void
RecordEvent(PrefixCache& aCache,
            CacheEventKind aKind,
            const core::BlockKey& aBlock,
            const core::BlockKey& aRoot)
{
  const std::uint64_t seq = ++aCache.lastSeq_;
  if (aCache.gapsEvery_ != 0 && seq % aCache.gapsEvery_ == 0) {
    return;
  }
  aCache.events_.push_back({ seq, aKind, aBlock, aRoot, absl::Now() });
  if (aCache.events_.size() > kMaxEvents) {
    aCache.events_.pop_front();
  }
}

void
MarkUsed(PrefixCache& aCache, const core::BlockKey& aKey, CachedBlock& aBlock)
{
  aCache.byLastUse_.erase(aBlock.lastUse_);
  aBlock.lastUse_ = ++aCache.lastUse_;
  aCache.byLastUse_[aBlock.lastUse_] = aKey;
}

// Removes the least recently used block that is not in use; returns false if
// all are in use.
bool
EvictOne(PrefixCache& aCache)
{
  const auto victim = std::find_if(
    aCache.byLastUse_.begin(), aCache.byLastUse_.end(), [&](const auto& aEach) {
      return aCache.blocks_.at(aEach.second).users_ == 0;
    });
  if (victim == aCache.byLastUse_.end()) {
    return false;
  }
  const core::BlockKey key = victim->second;
  const core::BlockKey root = aCache.blocks_.at(key).root_;
  aCache.byLastUse_.erase(victim);
  aCache.blocks_.erase(key);
  RecordEvent(aCache, CacheEventKind::Removed, key, root);
  return true;
}

} // namespace

std::size_t
CountCachedPrefix(const PrefixCache& aCache,
                  const std::vector<core::BlockKey>& aChain)
{
  const auto missing =
    std::find_if(aChain.begin(), aChain.end(), [&](const auto& aKey) {
      return !aCache.blocks_.contains(aKey);
    });
  return static_cast<std::size_t>(missing - aChain.begin());
}

void
Retain(PrefixCache& aCache, const std::vector<core::BlockKey>& aBlocks)
{
  for (const core::BlockKey& key : aBlocks) {
    if (const auto found = aCache.blocks_.find(key);
        found != aCache.blocks_.end()) {
      ++found->second.users_;
    }
  }
}

void
Release(PrefixCache& aCache, const std::vector<core::BlockKey>& aBlocks)
{
  for (auto key = aBlocks.rbegin(); key != aBlocks.rend(); ++key) {
    const auto found = aCache.blocks_.find(*key);
    if (found == aCache.blocks_.end()) {
      continue;
    }
    CachedBlock& block = found->second;
    block.users_ -= block.users_ > 0 ? 1 : 0;
    MarkUsed(aCache, *key, block);
  }
}

bool
Insert(PrefixCache& aCache,
       const core::BlockKey& aKey,
       const CachedBlock& aBlock)
{
  if (aCache.blocks_.contains(aKey)) {
    return false;
  }
  while (aCache.blocks_.size() >= aCache.capacity_) {
    if (!EvictOne(aCache)) {
      return false;
    }
  }
  CachedBlock& block = aCache.blocks_[aKey];
  block = aBlock;
  block.lastUse_ = ++aCache.lastUse_;
  aCache.byLastUse_[block.lastUse_] = aKey;
  RecordEvent(aCache, CacheEventKind::Stored, aKey, aBlock.root_);
  return true;
}

void
Clear(PrefixCache& aCache)
{
  for (const auto& [use, key] : aCache.byLastUse_) {
    RecordEvent(
      aCache, CacheEventKind::Removed, key, aCache.blocks_.at(key).root_);
  }
  aCache.byLastUse_.clear();
  aCache.blocks_.clear();
}

} // namespace lycheeplank::standin
