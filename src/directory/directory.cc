#include "lycheeplank/directory.h"

#include <algorithm>
#include <type_traits>

#include "directory/pool.h"

namespace lycheeplank::directory {

namespace {

constexpr std::uint64_t kBytesPerKibibyte = 1024;

BlockCopy
MakeCopy(std::uint16_t aHolder, const Sighting& aSighting)
{
  BlockCopy copy;
  copy.generation_ = aSighting.generation_;
  copy.kibibytes_ = static_cast<std::uint32_t>(
    (aSighting.bytes_ + kBytesPerKibibyte - 1) / kBytesPerKibibyte);
  copy.holder_ = aHolder;
  copy.tier_ = aSighting.tier_;
  return copy;
}

// Returns the short keys of all blocks of a holder. For a store this scans all
// blocks in the directory.
std::vector<std::uint64_t>
ShortKeysOf(const State& aState, std::uint16_t aHolder)
{
  const auto& holder = aState.holders_[aHolder];
  if (holder.id_.kind_ == HolderKind::Engine) {
    return { holder.engineBlocks_.begin(), holder.engineBlocks_.end() };
  }
  std::vector<std::uint64_t> keys;
  for (const auto& [key, block] : aState.blocks_) {
    if (FindCopy(aState, block, aHolder) != nullptr) {
      keys.push_back(key);
    }
  }
  return keys;
}

// Removes all copies of a holder except those of the given blocks.
void
RemoveAllExcept(State& aState,
                std::uint16_t aHolder,
                const absl::flat_hash_set<std::uint64_t>& aRemaining)
{
  for (const auto key : ShortKeysOf(aState, aHolder)) {
    if (!aRemaining.contains(key)) {
      RemoveCopy(aState, aHolder, key);
    }
  }
}

// Adds a copy of the prompt's block at aPosition to the holder that is found.
void
AddCopyTo(Holder& aHolder, const BlockCopy& aCopy, std::size_t aPosition)
{
  if (aHolder.leadingBlocks_ < aPosition) {
    ++aHolder.blocksAfterGap_;
    return;
  }
  ++aHolder.leadingBlocks_;
  if (aHolder.id_.kind_ == HolderKind::Store) {
    aHolder.generations_.push_back(aCopy.generation_);
    aHolder.onDisk_ = aHolder.onDisk_ || aCopy.tier_ == Tier::Disk;
  }
}

// Returns the entry of a holder in the list of found holders; adds it if it is
// new.
Holder&
FindOrAddHolder(const State& aState,
                std::vector<Holder>& aHolders,
                std::vector<std::uint16_t>& aHolderNumbers,
                std::uint16_t aHolderNumber)
{
  const auto found =
    std::find(aHolderNumbers.begin(), aHolderNumbers.end(), aHolderNumber);
  if (found != aHolderNumbers.end()) {
    return aHolders[static_cast<std::size_t>(found - aHolderNumbers.begin())];
  }
  aHolderNumbers.push_back(aHolderNumber);
  aHolders.push_back({ aState.holders_[aHolderNumber].id_ });
  return aHolders.back();
}

void
ApplyMissing(State& aState, const HolderId& aHolder, const Sighting& aSighting)
{
  const auto holder = FindHolder(aState, aHolder.name_);
  const auto key = ShortKey(aSighting.block_);
  const auto block = aState.blocks_.find(key);
  if (holder == kNoHolder || block == aState.blocks_.end()) {
    return;
  }
  const BlockCopy* copy = FindCopy(aState, block->second, holder);
  const bool newer = copy != nullptr && aSighting.generation_ > 0 &&
                     copy->generation_ > aSighting.generation_;
  if (!newer) {
    RemoveCopy(aState, holder, key);
  }
}

} // namespace

void
Apply(State& aState, const HolderId& aHolder, const Sighting& aSighting)
{
  if (!aSighting.present_) {
    ApplyMissing(aState, aHolder, aSighting);
    return;
  }
  if (const auto holder = AddHolder(aState, aHolder); holder != kNoHolder) {
    PutCopy(aState,
            holder,
            ShortKey(aSighting.block_),
            aSighting.root_,
            MakeCopy(holder, aSighting));
  }
}

void
ApplyInventory(State& aState,
               const HolderId& aHolder,
               const std::vector<Sighting>& aSightings)
{
  if (const auto holder = FindHolder(aState, aHolder.name_);
      holder != kNoHolder && aState.holders_[holder].copies_ > 0) {
    absl::flat_hash_set<std::uint64_t> present;
    for (const auto& sighting : aSightings) {
      present.insert(ShortKey(sighting.block_));
    }
    RemoveAllExcept(aState, holder, present);
  }
  for (const auto& sighting : aSightings) {
    Apply(aState, aHolder, sighting);
  }
}

void
DropHolder(State& aState, absl::string_view aName)
{
  const auto holder = FindHolder(aState, aName);
  if (holder == kNoHolder) {
    return;
  }
  if (aState.holders_[holder].copies_ > 0) {
    RemoveAllExcept(aState, holder, {});
  }
  aState.holderIndex_.erase(aName);
  aState.holders_[holder] = HolderEntry();
}

void
ApplyRunResult(State& aState,
               const HolderId& aEngine,
               const std::vector<core::BlockKey>& aChain,
               std::size_t aCached)
{
  const std::size_t cached = std::min(aCached, aChain.size());
  for (std::size_t i = 0; i < aChain.size(); ++i) {
    Apply(aState, aEngine, { aChain[i], aChain.front(), i < cached });
  }
}

std::size_t
CountBlocks(const State& aState, absl::string_view aName)
{
  const auto holder = FindHolder(aState, aName);
  return holder == kNoHolder ? 0 : aState.holders_[holder].copies_;
}

std::vector<Sighting>
MissingAfterImport(const std::vector<core::BlockKey>& aChain,
                   std::size_t aFirst,
                   const std::vector<std::uint64_t>& aGenerations,
                   std::size_t aImported)
{
  std::vector<Sighting> missed;
  for (std::size_t i = aImported;
       i < aGenerations.size() && aFirst + i < aChain.size();
       ++i) {
    Sighting sighting{ aChain[aFirst + i], aChain.front(), false };
    sighting.generation_ = aGenerations[i];
    missed.push_back(sighting);
  }
  return missed;
}

std::vector<Holder>
LocateHolders(const State& aState, const std::vector<core::BlockKey>& aChain)
{
  std::vector<Holder> holders;
  std::vector<std::uint16_t> holderNumbers;
  for (std::size_t i = 0; i < aChain.size(); ++i) {
    const auto block = aState.blocks_.find(ShortKey(aChain[i]));
    if (block == aState.blocks_.end()) {
      continue;
    }
    for (std::uint32_t index = block->second.firstCopy_; index != kNoCopy;
         index = CopyAt(aState.copies_, index).next_) {
      const BlockCopy& copy = CopyAt(aState.copies_, index);
      AddCopyTo(
        FindOrAddHolder(aState, holders, holderNumbers, copy.holder_), copy, i);
    }
  }
  const auto isUnusable = [](const Holder& aHolder) {
    return aHolder.leadingBlocks_ == 0 &&
           aHolder.id_.kind_ == HolderKind::Engine;
  };
  holders.erase(std::remove_if(holders.begin(), holders.end(), isUnusable),
                holders.end());
  return holders;
}

std::size_t
MemoryBytes(const State& aState)
{
  const auto slots = [](const auto& aTable) {
    // One control byte for each slot.
    using Table = std::decay_t<decltype(aTable)>;
    return aTable.capacity() * (sizeof(typename Table::value_type) + 1);
  };
  std::size_t holders = aState.holders_.capacity() * sizeof(HolderEntry);
  for (const auto& holder : aState.holders_) {
    holders += slots(holder.engineBlocks_);
  }
  return slots(aState.blocks_) + slots(aState.rootIndex_) +
         slots(aState.holderIndex_) + holders +
         aState.copies_.size_ * sizeof(BlockCopy) +
         aState.roots_.capacity() * sizeof(RootEntry) +
         (aState.freeCopies_.capacity() + aState.freeRoots_.capacity()) *
           sizeof(std::uint32_t);
}

SequenceResult
Advance(EventCursor& aCursor,
        const std::vector<std::uint64_t>& aSeqs,
        std::uint64_t aLastSeq)
{
  bool gap = aLastSeq < aCursor.lastSeq_;
  for (const auto seq : aSeqs) {
    gap = gap || seq > aCursor.lastSeq_ + 1;
    aCursor.lastSeq_ = std::max(aCursor.lastSeq_, seq);
  }
  gap = gap || aLastSeq > aCursor.lastSeq_;
  aCursor.lastSeq_ = aLastSeq;
  aCursor.needsInventory_ = aCursor.needsInventory_ || gap;
  return aCursor.needsInventory_ ? SequenceResult::Gap
                                 : SequenceResult::Complete;
}

void
AdvanceToInventory(EventCursor& aCursor, std::uint64_t aLastSeq)
{
  aCursor.lastSeq_ = aLastSeq;
  aCursor.needsInventory_ = false;
}

} // namespace lycheeplank::directory
