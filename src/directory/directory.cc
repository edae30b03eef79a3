#include "lycheeplank/directory.h"

#include <algorithm>
#include <type_traits>

#include "directory/pool.h"

namespace lycheeplank::directory {

namespace {

constexpr std::uint64_t kBytesPerKibibyte = 1024;

BlockCopy
CopyOf(std::uint16_t aHolder, const Sighting& aSighting)
{
  BlockCopy copy;
  copy.generation_ = aSighting.generation_;
  copy.kibibytes_ = static_cast<std::uint32_t>(
    (aSighting.bytes_ + kBytesPerKibibyte - 1) / kBytesPerKibibyte);
  copy.holder_ = aHolder;
  copy.tier_ = aSighting.tier_;
  return copy;
}

// Returns the short keys of all blocks of a holder. For a store this looks at
// all blocks.
std::vector<std::uint64_t>
BlocksOf(const State& aState, std::uint16_t aHolder)
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

// Removes all copies of a holder but those of the given blocks.
void
KeepOnly(State& aState,
         std::uint16_t aHolder,
         const absl::flat_hash_set<std::uint64_t>& aKept)
{
  for (const auto key : BlocksOf(aState, aHolder)) {
    if (!aKept.contains(key)) {
      RemoveCopy(aState, aHolder, key);
    }
  }
}

// Adds what one copy of the block at aPosition says of its holder.
void
CountCopy(Holder& aHolder, const BlockCopy& aCopy, std::size_t aPosition)
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

// Finds a holder in the list of an answer, or adds it.
Holder&
HolderIn(const State& aState,
         std::vector<Holder>& aHolders,
         std::vector<std::uint16_t>& aNumbers,
         std::uint16_t aNumber)
{
  const auto found = std::find(aNumbers.begin(), aNumbers.end(), aNumber);
  if (found != aNumbers.end()) {
    return aHolders[static_cast<std::size_t>(found - aNumbers.begin())];
  }
  aNumbers.push_back(aNumber);
  aHolders.push_back({ aState.holders_[aNumber].id_ });
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
            CopyOf(holder, aSighting));
  }
}

void
ApplyInventory(State& aState,
               const HolderId& aHolder,
               const std::vector<Sighting>& aSightings)
{
  if (const auto holder = FindHolder(aState, aHolder.name_);
      holder != kNoHolder && aState.holders_[holder].copies_ > 0) {
    absl::flat_hash_set<std::uint64_t> kept;
    for (const auto& sighting : aSightings) {
      kept.insert(ShortKey(sighting.block_));
    }
    KeepOnly(aState, holder, kept);
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
    KeepOnly(aState, holder, {});
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
  std::vector<std::uint16_t> numbers;
  for (std::size_t i = 0; i < aChain.size(); ++i) {
    const auto block = aState.blocks_.find(ShortKey(aChain[i]));
    if (block == aState.blocks_.end()) {
      continue;
    }
    for (std::uint32_t at = block->second.firstCopy_; at != kNoCopy;
         at = CopyAt(aState.copies_, at).next_) {
      const BlockCopy& copy = CopyAt(aState.copies_, at);
      CountCopy(HolderIn(aState, holders, numbers, copy.holder_), copy, i);
    }
  }
  const auto isUseless = [](const Holder& aHolder) {
    return aHolder.leadingBlocks_ == 0 &&
           aHolder.id_.kind_ == HolderKind::Engine;
  };
  holders.erase(std::remove_if(holders.begin(), holders.end(), isUseless),
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
