#ifndef LYCHEEPLANK_CLAIMS_INDEX_H
#define LYCHEEPLANK_CLAIMS_INDEX_H

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "claims/records.h"

namespace lycheeplank::claims {

enum class ClaimState : std::uint8_t
{
  // The attempt has no recorded outcome.
  Open,
  Done,
  Unknown,
};

// The effective claim of a key.
struct Claim
{
  Fingerprint attempt_;
  std::uint64_t requestHash_ = 0;
  std::uint64_t position_ = 0;
  // Number of positions from the claim to its outcome; 0 while open.
  std::uint32_t outcomeDistance_ = 0;
  ClaimState state_ = ClaimState::Open;
};

// An in-memory index of a shard's log, without the stored answers.
struct Index
{
  absl::flat_hash_map<Fingerprint, Claim> claims_;
  // Positions of withdrawals by attempt. A claim of a withdrawn attempt is
  // void, even if it follows later in the log.
  absl::flat_hash_map<Fingerprint, std::uint64_t> withdrawn_;
};

// Returns the effective claim of a key, or null. The index owns it.
const Claim*
FindClaim(const Index& aIndex, const Fingerprint& aKey);

// Returns whether an attempt was withdrawn.
bool
IsWithdrawn(const Index& aIndex, const Fingerprint& aAttempt);

// Returns the position of a claim's outcome.
std::uint64_t
OutcomePosition(const Claim& aClaim);

// Applies the record at a position. Records must be applied in the order of the
// log.
void
Apply(Index& aIndex, const Record& aRecord, std::uint64_t aPosition);

// Removes all claims and withdrawals before a position.
void
PruneBefore(Index& aIndex, std::uint64_t aFirstPosition);

// Returns the memory used by the tables in bytes.
std::uint64_t
MemoryBytes(const Index& aIndex);

} // namespace lycheeplank::claims

#endif
