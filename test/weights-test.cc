#include "lycheeplank/weights.h"

#include <catch2/catch.hpp>

#include "lycheeplank/part_use.h"

namespace fleet = lycheeplank::fleet;
namespace part_use = lycheeplank::part_use;
namespace weights = lycheeplank::weights;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

fleet::Members
MakeMembers(int aCount)
{
  fleet::Members members;
  for (int i = 0; i < aCount; ++i) {
    fleet::Target target;
    target.id_ = "t" + std::to_string(i);
    target.service_ = "s";
    target.weights_["m"] = 1;
    fleet::UpdateTarget(members, target, { 0, 1 }, kNow);
  }
  return members;
}

} // namespace

TEST_CASE("a limited share of the targets is ordered at once, least busy first")
{
  auto members = MakeMembers(20);
  for (auto& [id, member] : members) {
    member.inFlight_ = 5;
  }
  members.at("t7").inFlight_ = 0;
  weights::Rollout rollout;
  rollout.version_ = 2;
  const auto ids = weights::NextTargets(rollout, members, "m", kNow);
  REQUIRE(ids.size() == 4);
  CHECK(ids[0] == "t7");
  CHECK(weights::NextTargets(rollout, members, "m", kNow).empty());
}

TEST_CASE("a target that has loaded makes room for the next one")
{
  auto members = MakeMembers(3);
  weights::Rollout rollout;
  rollout.version_ = 2;
  const auto first = weights::NextTargets(rollout, members, "m", kNow);
  for (const auto& id : first) {
    members.at(id).target_.weights_["m"] = 2;
  }
  CHECK_FALSE(weights::NextTargets(rollout, members, "m", kNow).empty());
}

TEST_CASE("targets that leave or serve other models get no order")
{
  auto members = MakeMembers(3);
  members.at("t0").target_.state_ = fleet::TargetState::Leaving;
  members.at("t1").target_.weights_.clear();
  members.at("t2").target_.weights_["m"] = 2;
  weights::Rollout rollout;
  rollout.version_ = 2;
  CHECK(weights::NextTargets(rollout, members, "m", kNow).empty());
  // The leaving target may still run requests on its old weights.
  CHECK(part_use::OldestVersion(members, {}, "m") == 1);
  members.erase("t0");
  CHECK(part_use::OldestVersion(members, {}, "m") == 2);
  CHECK(part_use::OldestVersion(members, {}, "n") == 0);
}

TEST_CASE(
  "the status of a target with an unconfirmed order is read after a delay")
{
  auto members = MakeMembers(1);
  weights::Rollout rollout;
  rollout.version_ = 2;
  weights::NextTargets(rollout, members, "m", kNow);
  CHECK(weights::TargetsToPoll(rollout, kNow).empty());
  auto& work = rollout.targets_.at("t0");
  work.progress_ = weights::Progress::Unconfirmed;
  work.since_ = kNow;
  CHECK(weights::TargetsToPoll(rollout, kNow).empty());
  CHECK(weights::TargetsToPoll(rollout, kNow + absl::Seconds(1)).size() == 1);
}

TEST_CASE("a newer version is ordered after the previous one")
{
  auto members = MakeMembers(1);
  weights::Rollout rollout;
  rollout.version_ = 2;
  weights::NextTargets(rollout, members, "m", kNow);
  members.at("t0").target_.weights_["m"] = 2;
  CHECK(weights::NextTargets(rollout, members, "m", kNow).empty());
  rollout.version_ = 3;
  CHECK(weights::NextTargets(rollout, members, "m", kNow).size() == 1);
}

TEST_CASE("a newer version does not postpone the deadlines of older weights")
{
  weights::PublishedVersions versions;
  CHECK(weights::NewestVersion(versions) == 0);
  CHECK(weights::OutdatedSince(versions, 1) == absl::InfiniteFuture());
  CHECK(weights::AddVersion(versions, { 1 }));
  CHECK(weights::AddVersion(versions, { 2, kNow }));
  CHECK(weights::AddVersion(versions, { 4, kNow + absl::Seconds(3) }));
  CHECK_FALSE(weights::AddVersion(versions, { 3, kNow + absl::Seconds(4) }));
  CHECK(weights::NewestVersion(versions) == 4);
  CHECK(weights::OutdatedSince(versions, 1) == kNow);
  CHECK(weights::OutdatedSince(versions, 2) == kNow + absl::Seconds(3));
  CHECK(weights::OutdatedSince(versions, 4) == absl::InfiniteFuture());
}

namespace {

// Orders targets and loses each of them, which then comes back as another
// target, until no more are ordered. Returns the number of orders in aTime.
std::size_t
OrderAndLose(weights::Rollout& aRollout,
             fleet::Members& aMembers,
             absl::Duration aTime)
{
  std::size_t orders = 0;
  for (auto now = kNow; now < kNow + aTime; now += absl::Milliseconds(300)) {
    for (const auto& id : weights::NextTargets(aRollout, aMembers, "m", now)) {
      ++orders;
      aRollout.targets_.at(id).progress_ = weights::Progress::Loading;
      aRollout.targets_.at(id).sent_ = 1;
      auto target = aMembers.at(id).target_;
      aMembers.erase(id);
      target.id_ = "again" + std::to_string(orders);
      fleet::UpdateTarget(aMembers, target, { 0, 1 }, now);
    }
  }
  return orders;
}

} // namespace

// Guards against a rollout that crashes each target it orders to load, one
// after the other, without end.
TEST_CASE("a version that no target survives is ordered rarely")
{
  auto members = MakeMembers(20);
  weights::Rollout rollout;
  rollout.version_ = 2;
  constexpr std::size_t kMaxOrders = 15;
  CHECK(OrderAndLose(rollout, members, absl::Seconds(12)) <= kMaxOrders);
  CHECK(weights::IsSlowed(rollout));
  // Targets that are gone leave nothing behind.
  CHECK(rollout.targets_.size() <= members.size());

  members.begin()->second.target_.weights_["m"] = 2;
  const auto later = kNow + absl::Seconds(30);
  CHECK(weights::NextTargets(rollout, members, "m", later).size() == 4);
  CHECK_FALSE(weights::IsSlowed(rollout));
}

TEST_CASE("a newer version isn't slowed by the losses of an older one")
{
  auto members = MakeMembers(20);
  weights::Rollout rollout;
  rollout.version_ = 2;
  OrderAndLose(rollout, members, absl::Seconds(12));
  rollout.version_ = 3;
  const auto later = kNow + absl::Seconds(13);
  CHECK(weights::NextTargets(rollout, members, "m", later).size() == 4);
}

// Guards against a rollout that many targets lost at once slow down.
TEST_CASE("targets that are lost together don't slow a rollout")
{
  auto members = MakeMembers(20);
  weights::Rollout rollout;
  rollout.version_ = 2;
  for (const auto& id : weights::NextTargets(rollout, members, "m", kNow)) {
    rollout.targets_.at(id).progress_ = weights::Progress::Loading;
    rollout.targets_.at(id).sent_ = 1;
    members.erase(id);
  }
  const auto next = kNow + absl::Milliseconds(100);
  CHECK(weights::NextTargets(rollout, members, "m", next).size() == 4);
}

// Guards against a target that holds a place for good since its process ended
// before it got the order.
TEST_CASE("a target that starts again is ordered anew in every state")
{
  using weights::Progress;
  const auto progress = GENERATE(Progress::Waiting,
                                 Progress::Announced,
                                 Progress::Ordering,
                                 Progress::Loading,
                                 Progress::Unconfirmed);
  const auto sent = GENERATE(0U, 1U);
  auto members = MakeMembers(1);
  weights::Rollout rollout;
  rollout.version_ = 2;
  const std::vector<std::string> expected{ "t0" };
  REQUIRE(weights::NextTargets(rollout, members, "m", kNow) == expected);
  auto& work = rollout.targets_.at("t0");
  work.progress_ = progress;
  work.orders_ = 4;
  work.sent_ = sent;
  work.notBefore_ = kNow + absl::Minutes(1);
  auto restarted = members.at("t0").target_;
  restarted.bornMs_ = 7;
  fleet::UpdateTarget(members, restarted, { 0, 2 }, kNow);
  CHECK(weights::NextTargets(rollout, members, "m", kNow) == expected);
  const auto& anew = rollout.targets_.at("t0");
  CHECK(anew.bornMs_ == 7);
  CHECK(anew.sent_ == 0);
  CHECK_FALSE(anew.orders_);
}

// Guards against a crash that slows a rollout although the target had no order.
TEST_CASE("a target that ends before it was ordered isn't lost to the version")
{
  auto members = MakeMembers(1);
  weights::Rollout rollout;
  rollout.version_ = 2;
  for (std::int64_t start = 1; start < 6; ++start) {
    const auto now = kNow + absl::Seconds(start);
    REQUIRE(weights::NextTargets(rollout, members, "m", now).size() == 1);
    rollout.targets_.at("t0").progress_ = weights::Progress::Unconfirmed;
    auto restarted = members.at("t0").target_;
    restarted.bornMs_ = start;
    fleet::UpdateTarget(
      members, restarted, { 0, 1 + static_cast<std::uint64_t>(start) }, now);
  }
  CHECK_FALSE(weights::IsSlowed(rollout));
}

// Guards against targets that can't be reached or confirmed and keep all others
// from being ordered.
TEST_CASE("a silent target makes room for others and comes after them")
{
  auto members = MakeMembers(3);
  weights::Rollout rollout;
  rollout.version_ = 2;
  const std::vector<std::string> first{ "t0" };
  REQUIRE(weights::NextTargets(rollout, members, "m", kNow) == first);
  auto& work = rollout.targets_.at("t0");
  work.progress_ = weights::Progress::Unconfirmed;
  auto now = kNow + weights::kMaxSilence - absl::Milliseconds(1);
  CHECK(weights::ReleaseSilent(rollout, now).empty());
  now = kNow + weights::kMaxSilence;
  const auto released = weights::ReleaseSilent(rollout, now);
  REQUIRE(released.size() == 1);
  CHECK(released[0].target_ == "t0");
  CHECK_FALSE(released[0].isOrdered_);
  CHECK(weights::NextTargets(rollout, members, "m", now) ==
        std::vector<std::string>{ "t1" });
  // Its report is read rarely.
  CHECK(weights::TargetsToPoll(rollout, now) == first);
  CHECK(weights::TargetsToPoll(rollout, now + absl::Milliseconds(900)).empty());
  CHECK(weights::TargetsToPoll(rollout, now + absl::Milliseconds(1100)) ==
        first);
  CHECK(weights::NoteAnswer(work, now));
  members.at("t1").target_.weights_["m"] = 2;
  CHECK(weights::NextTargets(rollout, members, "m", now) ==
        std::vector<std::string>{ "t2" });
  members.at("t2").target_.weights_["m"] = 2;
  CHECK(weights::NextTargets(rollout, members, "m", now) == first);
}

// Guards against a target that loses its place while it loads for long.
TEST_CASE("a target that answers keeps its place")
{
  auto members = MakeMembers(3);
  weights::Rollout rollout;
  rollout.version_ = 2;
  weights::NextTargets(rollout, members, "m", kNow);
  auto& work = rollout.targets_.at("t0");
  work.progress_ = weights::Progress::Loading;
  work.sent_ = 1;
  auto now = kNow;
  for (int i = 0; i < 10; ++i) {
    now += absl::Seconds(1);
    CHECK_FALSE(weights::NoteAnswer(work, now));
    CHECK(weights::ReleaseSilent(rollout, now).empty());
    CHECK(weights::NextTargets(rollout, members, "m", now).empty());
  }
  // An order may still be carried out, so the process counts as lost if it
  // ends.
  now += weights::kMaxSilence;
  REQUIRE(weights::ReleaseSilent(rollout, now).size() == 1);
  members.erase("t0");
  weights::NextTargets(rollout, members, "m", now);
  CHECK(rollout.lossMoments_ == 1);
}
