#include "lycheeplank/availability.h"

#include <algorithm>

namespace lycheeplank::availability {

namespace {

// Returns the record of one start of a target, or null if a later start has
// said something. The record of an earlier start is dropped.
Record*
RecordFor(Records& aStatements,
          const std::string& aTarget,
          std::int64_t aStartedAtMs,
          absl::Time aNow)
{
  auto& record = aStatements[aTarget];
  if (record.startedAtMs_ > aStartedAtMs) {
    return nullptr;
  }
  if (record.startedAtMs_ < aStartedAtMs) {
    record = Record();
    record.startedAtMs_ = aStartedAtMs;
  }
  record.reportedAt_ = aNow;
  return &record;
}

} // namespace

bool
NoteLeaving(Records& aStatements,
            fleet::Members& aMembers,
            const std::string& aTarget,
            std::int64_t aStartedAtMs,
            absl::Time aNow)
{
  auto* record = RecordFor(aStatements, aTarget, aStartedAtMs, aNow);
  if (record == nullptr) {
    return false;
  }
  record->isLeaving_ = true;
  const auto member = aMembers.find(aTarget);
  if (member == aMembers.end() ||
      member->second.target_.bornMs_ != aStartedAtMs ||
      member->second.target_.state_ == fleet::TargetState::Leaving) {
    return false;
  }
  member->second.target_.state_ = fleet::TargetState::Leaving;
  return true;
}

void
NoteClosed(Records& aStatements,
           fleet::Members& aMembers,
           const std::string& aTarget,
           std::int64_t aStartedAtMs,
           absl::Duration aDuration,
           absl::Time aNow)
{
  auto* record = RecordFor(aStatements, aTarget, aStartedAtMs, aNow);
  if (record == nullptr) {
    return;
  }
  record->closedUntil_ =
    std::max(record->closedUntil_, aNow + std::min(aDuration, kMaxClosedTime));
  if (const auto member = aMembers.find(aTarget); member != aMembers.end()) {
    Apply(aStatements, member->second);
  }
}

void
MarkKnownToAll(Records& aStatements, const std::string& aTarget)
{
  if (const auto found = aStatements.find(aTarget);
      found != aStatements.end()) {
    found->second.isKnownToAll_ = true;
  }
}

bool
NeedsBroadcast(const Records& aStatements,
               const std::string& aTarget,
               std::int64_t aStartedAtMs)
{
  const auto found = aStatements.find(aTarget);
  return found != aStatements.end() &&
         found->second.startedAtMs_ == aStartedAtMs &&
         found->second.isLeaving_ && !found->second.isKnownToAll_;
}

void
Apply(const Records& aStatements, fleet::Member& aMember)
{
  const auto found = aStatements.find(aMember.target_.id_);
  if (found == aStatements.end() ||
      found->second.startedAtMs_ != aMember.target_.bornMs_) {
    return;
  }
  aMember.closedUntil_ = found->second.closedUntil_;
  if (found->second.isLeaving_) {
    aMember.target_.state_ = fleet::TargetState::Leaving;
  }
}

void
Sweep(Records& aStatements, absl::Time aNow)
{
  absl::erase_if(aStatements, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.reportedAt_ > kRetention &&
           aNow > aEntry.second.closedUntil_;
  });
}

} // namespace lycheeplank::availability
