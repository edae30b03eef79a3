#include "claims/index.h"

#include <glog/logging.h>

namespace lycheeplank::claims {

namespace {

void
ApplyClaim(Index& aIndex, const Record& aRecord, std::uint64_t aPosition)
{
  if (IsWithdrawn(aIndex, aRecord.attempt_)) {
    return;
  }
  // The first claim of a key is effective; later ones are ignored.
  aIndex.claims_.try_emplace(
    aRecord.key_,
    Claim{
      aRecord.attempt_, aRecord.requestHash_, aPosition, 0, ClaimState::Open });
}

void
ApplyWithdrawal(Index& aIndex, const Record& aRecord, std::uint64_t aPosition)
{
  const auto found = aIndex.claims_.find(aRecord.key_);
  const bool isCurrent =
    found != aIndex.claims_.end() && found->second.attempt_ == aRecord.attempt_;
  if (isCurrent && found->second.state_ != ClaimState::Open) {
    // The attempt was sent to a target, so it can no longer be withdrawn.
    return;
  }
  if (isCurrent) {
    aIndex.claims_.erase(found);
  }
  aIndex.withdrawn_.try_emplace(aRecord.attempt_, aPosition);
}

void
ApplyOutcome(Index& aIndex, const Record& aRecord, std::uint64_t aPosition)
{
  const auto found = aIndex.claims_.find(aRecord.key_);
  if (found == aIndex.claims_.end() ||
      found->second.attempt_ != aRecord.attempt_ ||
      found->second.state_ == ClaimState::Done) {
    return;
  }
  auto& claim = found->second;
  CHECK_GT(aPosition, claim.position_);
  claim.state_ =
    aRecord.kind_ == RecordKind::Done ? ClaimState::Done : ClaimState::Unknown;
  claim.outcomeDistance_ =
    static_cast<std::uint32_t>(aPosition - claim.position_);
}

template<typename Table>
std::uint64_t
TableBytes(const Table& aTable)
{
  constexpr std::uint64_t kControlBytes = 1;
  return aTable.capacity() *
         (sizeof(typename Table::value_type) + kControlBytes);
}

} // namespace

const Claim*
FindClaim(const Index& aIndex, const Fingerprint& aKey)
{
  const auto found = aIndex.claims_.find(aKey);
  return found == aIndex.claims_.end() ? nullptr : &found->second;
}

bool
IsWithdrawn(const Index& aIndex, const Fingerprint& aAttempt)
{
  return aIndex.withdrawn_.contains(aAttempt);
}

std::uint64_t
OutcomePosition(const Claim& aClaim)
{
  return aClaim.position_ + aClaim.outcomeDistance_;
}

void
Apply(Index& aIndex, const Record& aRecord, std::uint64_t aPosition)
{
  switch (aRecord.kind_) {
    case RecordKind::Claim:
      return ApplyClaim(aIndex, aRecord, aPosition);
    case RecordKind::Withdrawn:
      return ApplyWithdrawal(aIndex, aRecord, aPosition);
    case RecordKind::Done:
    case RecordKind::Unknown:
      return ApplyOutcome(aIndex, aRecord, aPosition);
  }
}

void
PruneBefore(Index& aIndex, std::uint64_t aFirstPosition)
{
  absl::erase_if(aIndex.claims_, [&](const auto& aEntry) {
    return aEntry.second.position_ < aFirstPosition;
  });
  absl::erase_if(aIndex.withdrawn_, [&](const auto& aEntry) {
    return aEntry.second < aFirstPosition;
  });
}

std::uint64_t
MemoryBytes(const Index& aIndex)
{
  return TableBytes(aIndex.claims_) + TableBytes(aIndex.withdrawn_);
}

} // namespace lycheeplank::claims
