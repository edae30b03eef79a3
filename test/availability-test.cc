#include "lycheeplank/availability.h"

#include <catch2/catch.hpp>

namespace fleet = lycheeplank::fleet;
namespace availability = lycheeplank::availability;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr std::int64_t kStartedAtMs = 500;

struct Fixture
{
  availability::Records records_;
  fleet::Members members_;

  // Adds the target's entry, written by the start at aStartedAtMs.
  void AddEntry(std::uint64_t aRevision,
                std::int64_t aStartedAtMs = kStartedAtMs)
  {
    fleet::Target target;
    target.id_ = "t";
    target.service_ = "s";
    target.bornMs_ = aStartedAtMs;
    fleet::UpdateTarget(members_, target, { 0, aRevision }, kNow);
    availability::Apply(records_, members_.at("t"));
  }

  // Returns whether a request may be sent to the target.
  bool IsOpen(absl::Time aNow) const
  {
    fleet::RequestSpec question;
    question.service_ = "s";
    return !fleet::ChooseTarget(members_, question, {}, aNow).id_.empty();
  }
};

} // namespace

TEST_CASE("an announcement overrides an entry that still says ready")
{
  Fixture fixture;
  fixture.AddEntry(1);
  CHECK(availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow));
  CHECK_FALSE(fixture.IsOpen(kNow));
  fixture.AddEntry(2);
  CHECK_FALSE(fixture.IsOpen(kNow));
  CHECK_FALSE(availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow));
}

TEST_CASE("announcements survive the expiry of the target's entry")
{
  Fixture fixture;
  fixture.AddEntry(1);
  availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow);
  availability::NoteClosed(fixture.records_,
                           fixture.members_,
                           "t",
                           kStartedAtMs,
                           absl::Seconds(9),
                           kNow);
  fleet::ExpireTarget(fixture.members_, "t", kNow);
  fleet::RemoveExpired(fixture.members_, kNow);
  REQUIRE(fixture.members_.empty());
  fixture.AddEntry(3);
  CHECK(fixture.members_.at("t").target_.state_ == fleet::TargetState::Leaving);
  CHECK(fixture.members_.at("t").closedUntil_ == kNow + absl::Seconds(9));
}

TEST_CASE("a new start of a target voids earlier announcements")
{
  Fixture fixture;
  fixture.AddEntry(1);
  availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow);
  availability::NoteClosed(fixture.records_,
                           fixture.members_,
                           "t",
                           kStartedAtMs,
                           absl::Seconds(9),
                           kNow);
  fixture.AddEntry(2, kStartedAtMs + 1);
  CHECK(fixture.IsOpen(kNow));
  // A late announcement of the previous start has no effect.
  CHECK_FALSE(availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow));
  CHECK(fixture.IsOpen(kNow));
}

TEST_CASE("a closed target isn't a last resort and opens at the announced time")
{
  Fixture fixture;
  fixture.AddEntry(1);
  availability::NoteClosed(fixture.records_,
                           fixture.members_,
                           "t",
                           kStartedAtMs,
                           absl::Seconds(2),
                           kNow);
  // A later announcement of a shorter time doesn't open the target sooner.
  availability::NoteClosed(fixture.records_,
                           fixture.members_,
                           "t",
                           kStartedAtMs,
                           absl::Seconds(1),
                           kNow);
  CHECK_FALSE(fixture.IsOpen(kNow + absl::Milliseconds(1999)));
  CHECK(fixture.IsOpen(kNow + absl::Seconds(2)));
  fleet::RequestSpec question;
  question.service_ = "s";
  CHECK(
    fleet::ChooseTarget(fixture.members_, question, {}, kNow).backoffEndsAt_ ==
    kNow + absl::Seconds(2));
}

TEST_CASE("records are removed after their retention time")
{
  Fixture fixture;
  fixture.AddEntry(1);
  availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow);
  availability::Sweep(fixture.records_, kNow + availability::kRetention);
  CHECK(fixture.records_.size() == 1);
  availability::Sweep(fixture.records_,
                      kNow + availability::kRetention + absl::Seconds(1));
  CHECK(fixture.records_.empty());
}

TEST_CASE("a notice is sent only if the other hosts don't know it yet")
{
  Fixture fixture;
  fixture.AddEntry(1);
  CHECK_FALSE(
    availability::NeedsBroadcast(fixture.records_, "t", kStartedAtMs));
  availability::NoteLeaving(
    fixture.records_, fixture.members_, "t", kStartedAtMs, kNow);
  CHECK(availability::NeedsBroadcast(fixture.records_, "t", kStartedAtMs));
  CHECK_FALSE(
    availability::NeedsBroadcast(fixture.records_, "t", kStartedAtMs + 1));
  // What is known of an earlier start says nothing of this one.
  availability::MarkKnownToAll(fixture.records_, "t", kStartedAtMs - 1);
  CHECK(availability::NeedsBroadcast(fixture.records_, "t", kStartedAtMs));
  availability::MarkKnownToAll(fixture.records_, "t", kStartedAtMs);
  CHECK_FALSE(
    availability::NeedsBroadcast(fixture.records_, "t", kStartedAtMs));
}
