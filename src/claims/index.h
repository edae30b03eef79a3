#ifndef LYCHEEPLANK_CLAIMS_INDEX_H
#define LYCHEEPLANK_CLAIMS_INDEX_H

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "claims/records.h"

namespace lycheeplank::claims {

enum class ClaimState : std::uint8_t
{
  // Without an outcome.
  Open,
  Done,
  Unknown,
};

// The claim that stands for a key.
struct Claim
{
  Fingerprint attempt_;
  std::uint64_t request_ = 0;
  std::uint64_t position_ = 0;
  // Distance from the claim's position to that of its outcome.
  std::uint32_t outcomeDistance_ = 0;
  ClaimState state_ = ClaimState::Open;
};

// What the log of a shard says of each key, without the answers.
struct Index
{
  absl::flat_hash_map<Fingerprint, Claim> claims_;
  // Position of the withdrawal of each attempt; such an attempt is void even
  // if its claim follows later in the log.
  absl::flat_hash_map<Fingerprint, std::uint64_t> withdrawn_;
};

// Returns the claim that stands for a key, or null.
const Claim*
Find(const Index& aIndex, const Fingerprint& aKey);

// Whether an attempt was withdrawn.
bool
IsWithdrawn(const Index& aIndex, const Fingerprint& aAttempt);

// Returns the position of a claim's outcome.
std::uint64_t
OutcomePosition(const Claim& aClaim);

// Takes in the record at a position; has to be called in the log's order.
void
Apply(Index& aIndex, const Record& aRecord, std::uint64_t aPosition);

// Forgets everything before a position.
void
Prune(Index& aIndex, std::uint64_t aFirstPosition);

// Returns the bytes that the tables take.
std::uint64_t
MemoryOf(const Index& aIndex);

} // namespace lycheeplank::claims

#endif
