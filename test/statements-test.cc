#include "lycheeplank/statements.h"

#include <catch2/catch.hpp>

namespace fleet = lycheeplank::fleet;
namespace statements = lycheeplank::statements;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr std::int64_t kBorn = 500;

struct Beliefs
{
  statements::Statements statements_;
  fleet::Members members_;

  // Takes in the target's entry, as of one of its starts.
  void TakeEntry(std::uint64_t aRevision, std::int64_t aBornMs = kBorn)
  {
    fleet::Target target;
    target.id_ = "t";
    target.service_ = "s";
    target.bornMs_ = aBornMs;
    fleet::UpdateTarget(members_, target, { 0, aRevision }, kNow);
    statements::Apply(statements_, members_.at("t"));
  }

  // Whether a request may go to the target.
  bool IsOpen(absl::Time aNow) const
  {
    fleet::RequestSpec question;
    question.service_ = "s";
    return !fleet::ChooseTarget(members_, question, {}, aNow).id_.empty();
  }
};

} // namespace

TEST_CASE("a target's own word goes before an entry that still says ready")
{
  Beliefs beliefs;
  beliefs.TakeEntry(1);
  CHECK(statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow));
  CHECK_FALSE(beliefs.IsOpen(kNow));
  beliefs.TakeEntry(2);
  CHECK_FALSE(beliefs.IsOpen(kNow));
  CHECK_FALSE(statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow));
}

TEST_CASE("a target's own word outlasts a lapse of its entry")
{
  Beliefs beliefs;
  beliefs.TakeEntry(1);
  statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow);
  statements::NoteClosed(
    beliefs.statements_, beliefs.members_, "t", kBorn, absl::Seconds(9), kNow);
  fleet::ExpireTarget(beliefs.members_, "t", kNow);
  fleet::RemoveExpired(beliefs.members_, kNow);
  REQUIRE(beliefs.members_.empty());
  beliefs.TakeEntry(3);
  CHECK(beliefs.members_.at("t").target_.state_ == fleet::TargetState::Leaving);
  CHECK(beliefs.members_.at("t").closedUntil_ == kNow + absl::Seconds(9));
}

TEST_CASE("a new start ends what the one before has said")
{
  Beliefs beliefs;
  beliefs.TakeEntry(1);
  statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow);
  statements::NoteClosed(
    beliefs.statements_, beliefs.members_, "t", kBorn, absl::Seconds(9), kNow);
  beliefs.TakeEntry(2, kBorn + 1);
  CHECK(beliefs.IsOpen(kNow));
  // A late word of the start before changes nothing.
  CHECK_FALSE(statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow));
  CHECK(beliefs.IsOpen(kNow));
}

TEST_CASE("a closed target is no last resort and opens at its time")
{
  Beliefs beliefs;
  beliefs.TakeEntry(1);
  statements::NoteClosed(
    beliefs.statements_, beliefs.members_, "t", kBorn, absl::Seconds(2), kNow);
  // A shorter time that comes later doesn't open it sooner.
  statements::NoteClosed(
    beliefs.statements_, beliefs.members_, "t", kBorn, absl::Seconds(1), kNow);
  CHECK_FALSE(beliefs.IsOpen(kNow + absl::Milliseconds(1999)));
  CHECK(beliefs.IsOpen(kNow + absl::Seconds(2)));
  fleet::RequestSpec question;
  question.service_ = "s";
  CHECK(
    fleet::ChooseTarget(beliefs.members_, question, {}, kNow).backoffEndsAt_ ==
    kNow + absl::Seconds(2));
}

TEST_CASE("statements are forgotten after their time")
{
  Beliefs beliefs;
  beliefs.TakeEntry(1);
  statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow);
  statements::Sweep(beliefs.statements_, kNow + statements::kMemory);
  CHECK(beliefs.statements_.size() == 1);
  statements::Sweep(beliefs.statements_,
                    kNow + statements::kMemory + absl::Seconds(1));
  CHECK(beliefs.statements_.empty());
}

TEST_CASE("others are told only what nobody else tells them")
{
  Beliefs beliefs;
  beliefs.TakeEntry(1);
  CHECK_FALSE(statements::IsToBeTold(beliefs.statements_, "t", kBorn));
  statements::NoteLeaving(
    beliefs.statements_, beliefs.members_, "t", kBorn, kNow);
  CHECK(statements::IsToBeTold(beliefs.statements_, "t", kBorn));
  CHECK_FALSE(statements::IsToBeTold(beliefs.statements_, "t", kBorn + 1));
  statements::MarkCommon(beliefs.statements_, "t");
  CHECK_FALSE(statements::IsToBeTold(beliefs.statements_, "t", kBorn));
}
