#include "directory/pool.h"

namespace lycheeplank::directory {

namespace {

std::uint32_t
AcquireRoot(State& aState, const core::BlockKey& aRoot)
{
  if (const auto found = aState.rootIndex_.find(aRoot);
      found != aState.rootIndex_.end()) {
    ++aState.roots_[found->second].blocks_;
    return found->second;
  }
  std::uint32_t index = 0;
  if (aState.freeRoots_.empty()) {
    index = static_cast<std::uint32_t>(aState.roots_.size());
    aState.roots_.emplace_back();
  } else {
    index = aState.freeRoots_.back();
    aState.freeRoots_.pop_back();
  }
  aState.roots_[index] = { aRoot, 1 };
  aState.rootIndex_.emplace(aRoot, index);
  return index;
}

void
ReleaseRoot(State& aState, std::uint32_t aIndex)
{
  auto& root = aState.roots_[aIndex];
  if (--root.blocks_ == 0) {
    aState.rootIndex_.erase(root.key_);
    aState.freeRoots_.push_back(aIndex);
  }
}

// Adds a copy at the end of the pool.
std::uint32_t
AppendCopy(CopyPool& aPool, const BlockCopy& aCopy)
{
  constexpr std::uint32_t kChunkSize = 1U << kChunkBits;
  if (aPool.size_ % kChunkSize == 0) {
    aPool.chunks_.emplace_back().reserve(kChunkSize);
  }
  aPool.chunks_.back().push_back(aCopy);
  return aPool.size_++;
}

std::uint32_t
AcquireCopy(State& aState, const BlockCopy& aCopy)
{
  if (aState.freeCopies_.empty()) {
    return AppendCopy(aState.copies_, aCopy);
  }
  const auto index = aState.freeCopies_.back();
  aState.freeCopies_.pop_back();
  CopyAt(aState.copies_, index) = aCopy;
  return index;
}

// Returns the link that refers to a holder's copy, or the link at the end of
// the list.
std::uint32_t*
FindLink(State& aState, BlockEntry& aBlock, std::uint16_t aHolder)
{
  std::uint32_t* link = &aBlock.firstCopy_;
  while (*link != kNoCopy && CopyAt(aState.copies_, *link).holder_ != aHolder) {
    link = &CopyAt(aState.copies_, *link).next_;
  }
  return link;
}

// Returns the entry of a block; adds it if it is new. Returns nullptr if the
// directory is full.
BlockEntry*
FindOrAddBlock(State& aState, std::uint64_t aKey, const core::BlockKey& aRoot)
{
  if (const auto found = aState.blocks_.find(aKey);
      found != aState.blocks_.end()) {
    return &found->second;
  }
  if (aState.blocks_.size() >= aState.maxBlocks_) {
    ++aState.droppedSightings_;
    return nullptr;
  }
  const BlockEntry entry{ kNoCopy, AcquireRoot(aState, aRoot) };
  return &aState.blocks_.emplace(aKey, entry).first->second;
}

} // namespace

std::uint16_t
FindHolder(const State& aState, absl::string_view aName)
{
  const auto found = aState.holderIndex_.find(aName);
  return found == aState.holderIndex_.end() ? kNoHolder : found->second;
}

std::uint16_t
AddHolder(State& aState, const HolderId& aHolder)
{
  if (const auto known = FindHolder(aState, aHolder.name_);
      known != kNoHolder) {
    return known;
  }
  std::size_t index = 0;
  while (index < aState.holders_.size() && aState.holders_[index].inUse_) {
    ++index;
  }
  if (index >= kNoHolder) {
    ++aState.droppedSightings_;
    return kNoHolder;
  }
  if (index == aState.holders_.size()) {
    aState.holders_.emplace_back();
  }
  aState.holders_[index] = { aHolder, 0, {}, true };
  const auto number = static_cast<std::uint16_t>(index);
  aState.holderIndex_.emplace(aHolder.name_, number);
  return number;
}

const BlockCopy*
FindCopy(const State& aState, const BlockEntry& aBlock, std::uint16_t aHolder)
{
  for (std::uint32_t index = aBlock.firstCopy_; index != kNoCopy;
       index = CopyAt(aState.copies_, index).next_) {
    if (CopyAt(aState.copies_, index).holder_ == aHolder) {
      return &CopyAt(aState.copies_, index);
    }
  }
  return nullptr;
}

void
PutCopy(State& aState,
        std::uint16_t aHolder,
        std::uint64_t aKey,
        const core::BlockKey& aRoot,
        const BlockCopy& aCopy)
{
  BlockEntry* block = FindOrAddBlock(aState, aKey, aRoot);
  if (block == nullptr) {
    return;
  }
  if (std::uint32_t* link = FindLink(aState, *block, aHolder);
      *link != kNoCopy) {
    const auto next = CopyAt(aState.copies_, *link).next_;
    CopyAt(aState.copies_, *link) = aCopy;
    CopyAt(aState.copies_, *link).next_ = next;
    return;
  }
  BlockCopy copy = aCopy;
  copy.next_ = block->firstCopy_;
  block->firstCopy_ = AcquireCopy(aState, copy);
  auto& holder = aState.holders_[aHolder];
  ++holder.copies_;
  if (holder.id_.kind_ == HolderKind::Engine) {
    holder.engineBlocks_.insert(aKey);
  }
}

void
RemoveCopy(State& aState, std::uint16_t aHolder, std::uint64_t aKey)
{
  const auto found = aState.blocks_.find(aKey);
  if (found == aState.blocks_.end()) {
    return;
  }
  BlockEntry& block = found->second;
  std::uint32_t* link = FindLink(aState, block, aHolder);
  if (*link == kNoCopy) {
    return;
  }
  const std::uint32_t index = *link;
  *link = CopyAt(aState.copies_, index).next_;
  aState.freeCopies_.push_back(index);
  auto& holder = aState.holders_[aHolder];
  --holder.copies_;
  holder.engineBlocks_.erase(aKey);
  if (block.firstCopy_ == kNoCopy) {
    ReleaseRoot(aState, block.root_);
    aState.blocks_.erase(found);
  }
}

} // namespace lycheeplank::directory
