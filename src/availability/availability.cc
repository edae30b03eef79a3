#include "lycheeplank/availability.h"

#include <algorithm>

namespace lycheeplank::availability {

namespace {

// Returns the record of one start of a target, or null if there is one of a
// later start. Replaces the record of an earlier start.
Record*
RecordFor(Records& aRecords,
          const std::string& aTarget,
          std::int64_t aStartedAtMs,
          absl::Time aNow)
{
  auto& record = aRecords[aTarget];
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
NoteLeaving(Records& aRecords,
            fleet::Members& aMembers,
            const std::string& aTarget,
            std::int64_t aStartedAtMs,
            absl::Time aNow)
{
  auto* record = RecordFor(aRecords, aTarget, aStartedAtMs, aNow);
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
NoteClosed(Records& aRecords,
           fleet::Members& aMembers,
           const std::string& aTarget,
           std::int64_t aStartedAtMs,
           absl::Duration aDuration,
           absl::Time aNow)
{
  auto* record = RecordFor(aRecords, aTarget, aStartedAtMs, aNow);
  if (record == nullptr) {
    return;
  }
  record->closedUntil_ =
    std::max(record->closedUntil_, aNow + std::min(aDuration, kMaxClosedTime));
  if (const auto member = aMembers.find(aTarget); member != aMembers.end()) {
    Apply(aRecords, member->second);
  }
}

void
MarkKnownToAll(Records& aRecords,
               const std::string& aTarget,
               std::int64_t aStartedAtMs)
{
  if (const auto found = aRecords.find(aTarget);
      found != aRecords.end() && found->second.startedAtMs_ == aStartedAtMs) {
    found->second.isKnownToAll_ = true;
  }
}

bool
NeedsBroadcast(const Records& aRecords,
               const std::string& aTarget,
               std::int64_t aStartedAtMs)
{
  const auto found = aRecords.find(aTarget);
  return found != aRecords.end() &&
         found->second.startedAtMs_ == aStartedAtMs &&
         found->second.isLeaving_ && !found->second.isKnownToAll_;
}

void
Apply(const Records& aRecords, fleet::Member& aMember)
{
  const auto found = aRecords.find(aMember.target_.id_);
  if (found == aRecords.end() ||
      found->second.startedAtMs_ != aMember.target_.bornMs_) {
    return;
  }
  aMember.closedUntil_ = found->second.closedUntil_;
  if (found->second.isLeaving_) {
    aMember.target_.state_ = fleet::TargetState::Leaving;
  }
}

void
Sweep(Records& aRecords, absl::Time aNow)
{
  absl::erase_if(aRecords, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.reportedAt_ > kRetention &&
           aNow > aEntry.second.closedUntil_;
  });
}

} // namespace lycheeplank::availability
