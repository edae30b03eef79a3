#include "lycheeplank/part_use.h"

#include <random>

#include <catch2/catch.hpp>

namespace cache_index = lycheeplank::cache_index;
namespace fleet = lycheeplank::fleet;
namespace part_use = lycheeplank::part_use;
namespace weights = lycheeplank::weights;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr auto kInstant = absl::Milliseconds(1);

fleet::Target
MakeTarget(const std::string& aId, std::uint64_t aVersion)
{
  fleet::Target target;
  target.id_ = aId;
  target.weights_["m"] = aVersion;
  return target;
}

// Versions 1 and 2, of which the second was learned at kNow by a host whose
// items were complete a second before.
weights::PublishedVersions
TwoVersions()
{
  return { { 1, absl::InfinitePast(), absl::InfinitePast() },
           { 2, kNow, kNow, kNow - absl::Seconds(1) } };
}

} // namespace

TEST_CASE("reads of parts end by the time a host last knew them to be current")
{
  const auto versions = TwoVersions();
  const auto past = absl::InfinitePast();
  const auto later = kNow + absl::Seconds(5);
  CHECK(part_use::LatestReadEnd(versions, 2, past, later) ==
        later + part_use::kMaxReadAge);
  CHECK(part_use::LatestReadEnd(versions, 1, past, later) ==
        kNow - absl::Seconds(1) + part_use::kMaxReadAge);
  CHECK(part_use::LatestReadEnd({}, 1, past, past) == past);
  CHECK(part_use::LatestReadEnd(versions, 1, kNow + kInstant, later) == past);
}

TEST_CASE("old parts are unused once the reads of the last target have ended")
{
  const auto versions = TwoVersions();
  part_use::Readers readers;
  readers.knownSince_ = absl::InfinitePast();
  part_use::Rises rises;
  part_use::RecordOldest(rises, 1, kNow);
  part_use::RecordOldest(rises, 2, kNow + absl::Seconds(1));
  const auto freedAt = kNow + absl::Seconds(1) + cache_index::kReadEndTime;
  CHECK(
    part_use::FindUnused(rises, versions, readers, freedAt - kInstant).below_ ==
    1);
  const auto unused = part_use::FindUnused(rises, versions, readers, freedAt);
  CHECK(unused.below_ == 2);
  CHECK(unused.proof_ == part_use::Proof::Targets);
  // A target that appears with older weights undoes it.
  part_use::RecordOldest(rises, 1, freedAt);
  CHECK(part_use::FindUnused(rises, versions, readers, freedAt).below_ == 1);
}

TEST_CASE("a host that has just listed the targets relies on time alone")
{
  const auto versions = TwoVersions();
  part_use::Readers readers;
  part_use::Rises rises;
  part_use::RecordOldest(rises, 2, kNow);
  const auto freedAt = kNow + part_use::kUnknownReadTime;
  readers.knownSince_ = kNow + kInstant;
  CHECK(
    part_use::FindUnused(rises, versions, readers, freedAt - kInstant).below_ ==
    1);
  const auto unused = part_use::FindUnused(rises, versions, readers, freedAt);
  CHECK(unused.below_ == 2);
  CHECK(unused.proof_ == part_use::Proof::Age);
}

TEST_CASE("a vanished target counts until hosts can't read through it")
{
  fleet::Members members;
  part_use::Readers readers;
  fleet::UpdateTarget(members, MakeTarget("t1", 2), { 0, 1 }, kNow);
  part_use::NoteVanished(readers, MakeTarget("t2", 1), kNow);
  CHECK(part_use::OldestVersion(members, readers, "m") == 1);
  part_use::Sweep(readers, kNow + part_use::kUnknownReadTime - kInstant);
  CHECK(part_use::OldestVersion(members, readers, "m") == 1);
  part_use::Sweep(readers, kNow + part_use::kUnknownReadTime);
  CHECK(part_use::OldestVersion(members, readers, "m") == 2);
  // One that is listed again counts with what its entry says, as far as it
  // names the model.
  part_use::NoteVanished(readers, MakeTarget("t1", 1), kNow);
  CHECK(part_use::OldestVersion(members, readers, "m") == 2);
  members.at("t1").target_.weights_.clear();
  CHECK(part_use::OldestVersion(members, readers, "m") == 1);
}

namespace {

// Hosts, targets and the key-value service, each host with its own view. Hosts
// are cut off, frozen and restarted, targets vanish from the service and come
// back, load weights in time or late, and fall silent while they read.
class PartUseSim
{
public:
  explicit PartUseSim(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back({ MakeTarget("t" + std::to_string(i), 1) });
    }
    for (auto& host : hosts_) {
      Restart(host);
    }
  }

  // Returns how many reads were in progress when their parts were freed.
  int Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      PublishWeights(step);
      for (auto& target : targets_) {
        StepTarget(target);
      }
      for (auto& host : hosts_) {
        StepHost(host);
      }
      StepOwner();
    }
    return broken_;
  }

  int reads_ = 0;
  int oldReads_ = 0;
  int freesByTargets_ = 0;
  int freesByAge_ = 0;

private:
  static constexpr int kTargets = 5;
  static constexpr int kSteps = 1200;
  static constexpr auto kStep = absl::Milliseconds(50);

  struct SimTarget
  {
    fleet::Target target_;
    absl::Time listedFrom_ = absl::InfinitePast();
    absl::Time silentUntil_ = absl::InfinitePast();
    // When it loads the newest weights.
    absl::Time loadsAt_ = absl::InfiniteFuture();
  };

  struct SimHost
  {
    fleet::Members members_;
    weights::PublishedVersions versions_;
    part_use::Readers readers_;
    absl::Time completeAt_ = absl::InfinitePast();
    // The host is cut off from the service, or frozen and without any view.
    absl::Time cutUntil_ = absl::InfinitePast();
    absl::Time frozenUntil_ = absl::InfinitePast();
    part_use::Rises rises_;
  };

  struct Read
  {
    std::uint64_t version_;
    absl::Time end_;
  };

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(random_) < aProbability;
  }

  absl::Duration Upto(absl::Duration aMost)
  {
    return aMost * std::uniform_real_distribution<>(0.0, 1.0)(random_);
  }

  void PublishWeights(int aStep)
  {
    if (aStep != kSteps / 3 && aStep != kSteps / 2) {
      return;
    }
    ++newest_;
    const auto slowest = absl::Seconds(Chance(0.3) ? 15 : 3);
    for (auto& target : targets_) {
      target.loadsAt_ = now_ + Upto(slowest);
    }
  }

  void StepTarget(SimTarget& aTarget)
  {
    if (Chance(0.004)) {
      // The entry lapses, mostly for a short time.
      aTarget.listedFrom_ = now_ + Upto(absl::Seconds(Chance(0.3) ? 20 : 3));
    }
    if (Chance(0.01)) {
      aTarget.silentUntil_ = now_ + Upto(absl::Milliseconds(1300));
    }
    if (now_ >= std::max(aTarget.loadsAt_, aTarget.silentUntil_)) {
      aTarget.target_.weights_["m"] = newest_;
      aTarget.loadsAt_ = absl::InfiniteFuture();
    }
  }

  void Restart(SimHost& aHost)
  {
    aHost = SimHost();
    FollowService(aHost);
    aHost.readers_.knownSince_ = now_;
  }

  // Brings a host's items up to date, in the order of the service's history.
  void FollowService(SimHost& aHost)
  {
    while (weights::NewestVersion(aHost.versions_) < newest_) {
      weights::AddVersion(aHost.versions_,
                          { weights::NewestVersion(aHost.versions_) + 1,
                            now_,
                            now_,
                            aHost.completeAt_ });
    }
    for (const auto& [target, listedFrom, silent, loads] : targets_) {
      if (now_ < listedFrom) {
        fleet::ExpireTarget(aHost.members_, target.id_, now_);
      } else {
        fleet::UpdateTarget(aHost.members_, target, { 0, ++revision_ }, now_);
      }
    }
    for (auto& target : fleet::RemoveExpired(aHost.members_, now_)) {
      part_use::NoteVanished(aHost.readers_, std::move(target), now_);
    }
    part_use::Sweep(aHost.readers_, now_);
    aHost.completeAt_ = now_;
  }

  void StepHost(SimHost& aHost)
  {
    if (Chance(0.001)) {
      Restart(aHost);
    }
    if (Chance(0.002)) {
      aHost.cutUntil_ = now_ + Upto(absl::Seconds(20));
    }
    if (Chance(0.002)) {
      aHost.frozenUntil_ = now_ + Upto(absl::Seconds(5));
    }
    if (now_ < aHost.frozenUntil_) {
      return;
    }
    // A view is some hundred milliseconds old.
    if (now_ >= aHost.cutUntil_ && Chance(0.3)) {
      FollowService(aHost);
    }
    for (const auto& [id, member] : aHost.members_) {
      StartRead(aHost, member);
    }
  }

  // Sends a request that reads parts. The target rejects it if it has other
  // weights than the host believes.
  void StartRead(const SimHost& aHost, const fleet::Member& aMember)
  {
    const auto version = aMember.target_.weights_.at("m");
    const auto target =
      std::find_if(targets_.begin(), targets_.end(), [&](const auto& aTarget) {
        return aTarget.target_.id_ == aMember.target_.id_;
      });
    const auto latest = part_use::LatestReadEnd(
      aHost.versions_, version, aMember.firstListedAt_, aHost.completeAt_);
    if (latest <= now_ || now_ < target->silentUntil_ ||
        target->target_.weights_.at("m") != version) {
      return;
    }
    auto end = std::min(now_ + cache_index::kMaxReadTime, latest);
    ++reads_;
    oldReads_ += version < newest_ ? 1 : 0;
    if (Chance(0.2)) {
      end += Upto(absl::Milliseconds(1300));
    }
    inProgress_.push_back({ version, end });
  }

  void StepOwner()
  {
    if (Chance(0.005)) {
      owner_ = random_() % hosts_.size();
      hosts_.at(owner_).rises_.clear();
    }
    auto& host = hosts_.at(owner_);
    if (now_ < std::max(host.cutUntil_, host.frozenUntil_)) {
      return;
    }
    // Reports of the targets that the owner lists.
    for (const auto& target : targets_) {
      const auto found = host.members_.find(target.target_.id_);
      if (found != host.members_.end() && now_ >= target.silentUntil_) {
        found->second.target_.weights_ = target.target_.weights_;
      }
    }
    part_use::RecordOldest(
      host.rises_,
      part_use::OldestVersion(host.members_, host.readers_, "m"),
      now_);
    const auto unused =
      part_use::FindUnused(host.rises_, host.versions_, host.readers_, now_);
    if (unused.below_ > freedBelow_) {
      freedBelow_ = unused.below_;
      ++(unused.proof_ == part_use::Proof::Age ? freesByAge_ : freesByTargets_);
    }
    for (const auto& read : inProgress_) {
      broken_ += read.version_ < unused.below_ && read.end_ > now_ ? 1 : 0;
    }
    inProgress_.erase(
      std::remove_if(inProgress_.begin(),
                     inProgress_.end(),
                     [this](const auto& aRead) { return aRead.end_ <= now_; }),
      inProgress_.end());
  }

  std::mt19937_64 random_;
  absl::Time now_ = kNow;
  std::uint64_t newest_ = 1;
  std::uint64_t revision_ = 0;
  std::uint64_t freedBelow_ = 1;
  std::vector<SimTarget> targets_;
  std::array<SimHost, 4> hosts_;
  std::size_t owner_ = 0;
  std::vector<Read> inProgress_;
  int broken_ = 0;
};

} // namespace

// Guards against parts that are freed while a host reads them of which the
// owner of the weights doesn't know enough.
TEST_CASE("no part is freed during a read beside cuts, freezes and restarts")
{
  int freesByTargets = 0;
  int freesByAge = 0;
  int oldReads = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    PartUseSim sim(seed);
    INFO("seed " << seed);
    CHECK(sim.Run() == 0);
    CHECK(sim.reads_ > 0);
    oldReads += sim.oldReads_;
    freesByTargets += sim.freesByTargets_;
    freesByAge += sim.freesByAge_;
  }
  // All three happen, so the check isn't empty.
  CHECK(oldReads > 0);
  CHECK(freesByTargets > 0);
  CHECK(freesByAge > 0);
}
