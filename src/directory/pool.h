#ifndef LYCHEEPLANK_DIRECTORY_POOL_H
#define LYCHEEPLANK_DIRECTORY_POOL_H

#include "lycheeplank/directory.h"

// The lists of copies and the tables of holders and roots inside a State.
namespace lycheeplank::directory {

// Ends a list of copies.
inline constexpr std::uint32_t kNoCopy = 0xffffffffU;
// Stands for no holder.
inline constexpr std::uint16_t kNoHolder = 0xffffU;

// Copies in one chunk of the pool, as a power of two.
inline constexpr std::uint32_t kChunkBits = 12;

inline const BlockCopy&
CopyAt(const CopyPool& aPool, std::uint32_t aIndex)
{
  constexpr std::uint32_t kMask = (1U << kChunkBits) - 1;
  return aPool.chunks_[aIndex >> kChunkBits][aIndex & kMask];
}

inline BlockCopy&
CopyAt(CopyPool& aPool, std::uint32_t aIndex)
{
  constexpr std::uint32_t kMask = (1U << kChunkBits) - 1;
  return aPool.chunks_[aIndex >> kChunkBits][aIndex & kMask];
}

// Returns the key under which a block is found.
inline std::uint64_t
ShortKey(const core::BlockKey& aKey)
{
  return aKey.low_;
}

// Returns the number of a holder, or kNoHolder.
std::uint16_t
FindHolder(const State& aState, absl::string_view aName);

// Returns the number of a holder, which is added if it is new; kNoHolder if
// there is no number left.
std::uint16_t
AddHolder(State& aState, const HolderId& aHolder);

// Returns a holder's copy of a block, or nothing.
const BlockCopy*
FindCopy(const State& aState, const BlockEntry& aBlock, std::uint16_t aHolder);

// Adds or replaces a holder's copy of a block.
void
PutCopy(State& aState,
        std::uint16_t aHolder,
        std::uint64_t aKey,
        const core::BlockKey& aRoot,
        const BlockCopy& aCopy);

// Removes a holder's copy of a block, and the block with its last copy.
void
RemoveCopy(State& aState, std::uint16_t aHolder, std::uint64_t aKey);

} // namespace lycheeplank::directory

#endif
