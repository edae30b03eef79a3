#ifndef LYCHEEPLANK_DIRECTORY_POOL_H
#define LYCHEEPLANK_DIRECTORY_POOL_H

#include "lycheeplank/directory.h"

// Operations on the lists of copies and on the tables of holders and roots
// inside a State.
namespace lycheeplank::directory {

// Index that marks the end of a list of copies.
inline constexpr std::uint32_t kNoCopy = 0xffffffffU;
// Number that stands for no holder.
inline constexpr std::uint16_t kNoHolder = 0xffffU;

// Binary logarithm of the number of copies in one chunk of the pool.
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

// Returns the key under which the directory stores a block.
inline std::uint64_t
ShortKey(const core::BlockKey& aKey)
{
  return aKey.low_;
}

// Returns the number of a holder, or kNoHolder if it is unknown.
std::uint16_t
FindHolder(const State& aState, absl::string_view aName);

// Returns the number of a holder; adds it if it is new. Returns kNoHolder if no
// number is free.
std::uint16_t
AddHolder(State& aState, const HolderId& aHolder);

// Returns a holder's copy of a block, or nullptr.
const BlockCopy*
FindCopy(const State& aState, const BlockEntry& aBlock, std::uint16_t aHolder);

// Adds or replaces a holder's copy of a block. Drops a new block if the
// directory is full.
void
PutCopy(State& aState,
        std::uint16_t aHolder,
        std::uint64_t aKey,
        const core::BlockKey& aRoot,
        const BlockCopy& aCopy);

// Removes a holder's copy of a block, and the block after its last copy.
void
RemoveCopy(State& aState, std::uint16_t aHolder, std::uint64_t aKey);

} // namespace lycheeplank::directory

#endif
