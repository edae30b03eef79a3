#include "lycheeplank/statements.h"

#include <algorithm>

namespace lycheeplank::statements {

namespace {

// Returns the statement of one start of a target, or null if a later start has
// said something. The statement of an earlier start is dropped.
Statement*
StatementOf(Statements& aStatements,
            const std::string& aTarget,
            std::int64_t aBornMs,
            absl::Time aNow)
{
  auto& statement = aStatements[aTarget];
  if (statement.bornMs_ > aBornMs) {
    return nullptr;
  }
  if (statement.bornMs_ < aBornMs) {
    statement = Statement();
    statement.bornMs_ = aBornMs;
  }
  statement.heardAt_ = aNow;
  return &statement;
}

} // namespace

bool
NoteLeaving(Statements& aStatements,
            fleet::Members& aMembers,
            const std::string& aTarget,
            std::int64_t aBornMs,
            absl::Time aNow)
{
  auto* statement = StatementOf(aStatements, aTarget, aBornMs, aNow);
  if (statement == nullptr) {
    return false;
  }
  statement->isLeaving_ = true;
  const auto member = aMembers.find(aTarget);
  if (member == aMembers.end() || member->second.target_.bornMs_ != aBornMs ||
      member->second.target_.state_ == fleet::TargetState::Leaving) {
    return false;
  }
  member->second.target_.state_ = fleet::TargetState::Leaving;
  return true;
}

void
NoteClosed(Statements& aStatements,
           fleet::Members& aMembers,
           const std::string& aTarget,
           std::int64_t aBornMs,
           absl::Duration aFor,
           absl::Time aNow)
{
  auto* statement = StatementOf(aStatements, aTarget, aBornMs, aNow);
  if (statement == nullptr) {
    return;
  }
  statement->closedUntil_ =
    std::max(statement->closedUntil_, aNow + std::min(aFor, kLongestClosed));
  if (const auto member = aMembers.find(aTarget); member != aMembers.end()) {
    Apply(aStatements, member->second);
  }
}

void
MarkCommon(Statements& aStatements, const std::string& aTarget)
{
  if (const auto found = aStatements.find(aTarget);
      found != aStatements.end()) {
    found->second.isCommon_ = true;
  }
}

bool
IsToBeTold(const Statements& aStatements,
           const std::string& aTarget,
           std::int64_t aBornMs)
{
  const auto found = aStatements.find(aTarget);
  return found != aStatements.end() && found->second.bornMs_ == aBornMs &&
         found->second.isLeaving_ && !found->second.isCommon_;
}

void
Apply(const Statements& aStatements, fleet::Member& aMember)
{
  const auto found = aStatements.find(aMember.target_.id_);
  if (found == aStatements.end() ||
      found->second.bornMs_ != aMember.target_.bornMs_) {
    return;
  }
  aMember.closedUntil_ = found->second.closedUntil_;
  if (found->second.isLeaving_) {
    aMember.target_.state_ = fleet::TargetState::Leaving;
  }
}

void
Sweep(Statements& aStatements, absl::Time aNow)
{
  absl::erase_if(aStatements, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.heardAt_ > kMemory &&
           aNow > aEntry.second.closedUntil_;
  });
}

} // namespace lycheeplank::statements
