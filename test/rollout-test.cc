#include "lycheeplank/rollout.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

// The invariants of the simulation abort the run with glog's CHECK; the test
// cases use Catch's REQUIRE.
#include <catch2/catch.hpp>
#undef CHECK
#include <glog/logging.h>

#include "rollout/operators.h"

namespace config = lycheeplank::config;
namespace core = lycheeplank::core;
namespace platform = lycheeplank::platform;
namespace rollout = lycheeplank::rollout;

namespace {

using EventBody = decltype(rollout::Event::body_);

const absl::Time kStart = absl::FromUnixSeconds(1700000000);
constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);

std::uint64_t
Seed(std::uint64_t aDefault)
{
  const char* text = std::getenv("LYCHEEPLANK_SEED");
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

struct SimTarget
{
  std::string model_;
  bool honoursFencing_ = true;
  bool up_ = true;
  absl::Time downSince_ = absl::InfiniteFuture();
  std::string version_ = "v0";
  std::string loading_;
  std::uint64_t load_ = 0;
  std::uint64_t highestFence_ = 0;
  // Fence and version of the newest order that it accepted.
  std::uint64_t newestFence_ = 0;
  std::string newestVersion_ = "v0";
  bool loadsFail_ = false;
};

struct SimSteward
{
  std::string name_;
  rollout::State state_;
  bool up_ = true;
  bool frozen_ = false;
  bool cut_ = false;
  // Replies for an earlier process of the same name are dropped.
  std::uint64_t life_ = 0;
  std::deque<std::function<void()>> waiting_;
};

struct Faults
{
  double lostRequest_ = 0.0;
  double lostReply_ = 0.0;
  // Writes that take effect after the caller has given up.
  double lateWrite_ = 0.0;
  double lostOrder_ = 0.0;
  double lateOrder_ = 0.0;
};

// Stewards, the platform's service and targets on one clock.
class World
{
public:
  World(std::size_t aStewards, std::uint64_t aSeed)
    : random_(aSeed)
  {
    auto config = std::make_shared<config::Config>();
    AddModel(*config, "large", 12);
    AddModel(*config, "medium", 5);
    AddModel(*config, "single", 1);
    config->limits_.maxLoading_ = 2;
    config->limits_.minServingShare_ = 0.5;
    config_ = config;
    for (std::size_t i = 0; i < aStewards; ++i) {
      stewards_.push_back(std::make_unique<SimSteward>());
      stewards_.back()->name_ = "host" + std::to_string(i);
    }
    for (auto& steward : stewards_) {
      StartSteward(*steward);
    }
  }

  void StartSteward(SimSteward& aSteward)
  {
    ++aSteward.life_;
    aSteward.up_ = true;
    aSteward.waiting_.clear();
    aSteward.state_ = rollout::InitialState(aSteward.name_, {});
    std::vector<std::string> names;
    for (const auto& steward : stewards_) {
      names.push_back(steward->name_);
    }
    Tell(aSteward, rollout::HostsChanged{ names });
    Tell(aSteward, rollout::ConfigChanged{ config_ });
    TickAgain(aSteward, aSteward.life_);
  }

  void Kill(SimSteward& aSteward) { aSteward.up_ = false; }

  void Thaw(SimSteward& aSteward)
  {
    aSteward.frozen_ = false;
    while (!aSteward.waiting_.empty() && !aSteward.frozen_) {
      const auto action = aSteward.waiting_.front();
      aSteward.waiting_.pop_front();
      action();
    }
  }

  void Run(absl::Duration aTime)
  {
    const absl::Time end = now_ + aTime;
    while (!queue_.empty() && queue_.top().at_ <= end) {
      const Scheduled next = queue_.top();
      queue_.pop();
      now_ = next.at_;
      next.action_();
    }
    now_ = end;
  }

  absl::Duration RunUntil(absl::Duration aTime,
                          const std::function<bool()>& aCondition)
  {
    const absl::Time from = now_;
    while (now_ < from + aTime && !aCondition()) {
      Run(kTickPeriod);
    }
    return now_ - from;
  }

  // Starts a rollout as an operator does.
  void StartRollout(const std::string& aModel, const std::string& aVersion)
  {
    rollout::Record record;
    record.model_ = aModel;
    record.version_ = aVersion;
    keys_[rollout::RecordKey(aModel)] = { rollout::FormatRecord(record),
                                          nextVersion_++,
                                          "" };
  }

  rollout::Record RecordOf(const std::string& aModel) const
  {
    return *rollout::ParseRecord(keys_.at(rollout::RecordKey(aModel)).value_);
  }

  bool IsDone(const std::string& aModel, const std::string& aVersion) const
  {
    const auto record = RecordOf(aModel);
    return record.version_ == aVersion &&
           record.state_ == rollout::RolloutState::Done;
  }

  SimSteward& At(std::size_t aIndex) { return *stewards_[aIndex]; }
  std::size_t Size() const { return stewards_.size(); }
  std::map<std::string, SimTarget>& Targets() { return targets_; }
  std::size_t MostLoading() const { return mostLoading_; }
  std::uint64_t Calls() const { return calls_; }
  std::uint64_t Orders() const { return orders_; }
  absl::Time Now() const { return now_; }

  // The running steward that owns a model, if one does.
  SimSteward* OwnerOf(const std::string& aModel)
  {
    for (auto& steward : stewards_) {
      const auto& partition =
        steward->state_.partitions_[rollout::PartitionOf(aModel)];
      if (steward->up_ && !steward->frozen_ &&
          partition.phase_ == rollout::Phase::Owned) {
        return steward.get();
      }
    }
    return nullptr;
  }

  std::size_t Loading() const
  {
    return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [](const auto& aEntry) {
        return aEntry.second.up_ && !aEntry.second.loading_.empty();
      }));
  }

  std::size_t SlotCount() const
  {
    const auto found = keys_.find(std::string(rollout::kSlotsKey));
    return found == keys_.end()
             ? 0
             : rollout::ParseSlots(found->second.value_)->size();
  }

  // Carries out an operator's command; the given outcomes take the place of
  // the first ones, after the effect.
  rollout::CommandExecutor OperatorAccess(
    std::deque<platform::Outcome> aOutcomes)
  {
    auto outcomes =
      std::make_shared<std::deque<platform::Outcome>>(std::move(aOutcomes));
    return [this, outcomes](const platform::Command& aCommand,
                            const std::function<void(platform::Reply)>& aOn) {
      auto reply = Apply(aCommand);
      if (!outcomes->empty()) {
        reply.outcome_ = outcomes->front();
        outcomes->pop_front();
      }
      aOn(reply);
    };
  }

  void Tell(SimSteward& aSteward, const EventBody& aBody)
  {
    if (!aSteward.up_) {
      return;
    }
    if (aSteward.frozen_) {
      const std::uint64_t life = aSteward.life_;
      aSteward.waiting_.push_back([this, &aSteward, life, aBody] {
        if (aSteward.life_ == life) {
          Tell(aSteward, aBody);
        }
      });
      return;
    }
    for (auto& effect : rollout::Step(aSteward.state_, { now_, aBody })) {
      std::visit([&](auto& aEffect) { Do(aSteward, aEffect); }, effect);
    }
  }

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }

  std::size_t Pick(std::size_t aCount)
  {
    return static_cast<std::size_t>(Uniform() * double(aCount));
  }

  Faults faults_;
  bool platformUp_ = true;
  double slowFactor_ = 1.0;

private:
  struct Scheduled
  {
    absl::Time at_;
    std::uint64_t order_;
    std::function<void()> action_;
    bool operator<(const Scheduled& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  struct Key
  {
    std::string value_;
    std::uint64_t version_ = 0;
    std::string lease_;
  };

  void AddModel(config::Config& aConfig, const std::string& aName, int aCount)
  {
    aConfig.models_[aName];
    for (int i = 0; i < aCount; ++i) {
      const std::string name = aName + std::to_string(i);
      config::Target target;
      target.serves_ = aName;
      target.honoursFencing_ = i % 2 == 1;
      aConfig.targets_[name] = target;
      targets_[name].model_ = aName;
      targets_[name].honoursFencing_ = target.honoursFencing_;
    }
  }

  void At(absl::Time aTime, std::function<void()> aAction)
  {
    queue_.push({ aTime, order_++, std::move(aAction) });
  }

  void TickAgain(SimSteward& aSteward, std::uint64_t aLife)
  {
    if (aSteward.life_ != aLife || !aSteward.up_) {
      return;
    }
    if (!aSteward.frozen_) {
      Tell(aSteward, rollout::Tick{});
    }
    At(now_ + kTickPeriod,
       [this, &aSteward, aLife] { TickAgain(aSteward, aLife); });
  }

  // Runs an action of a steward's adapter, later if the process is frozen.
  void Act(SimSteward& aSteward,
           std::uint64_t aLife,
           const std::function<void()>& aAction)
  {
    if (!aSteward.up_ || aSteward.life_ != aLife) {
      return;
    }
    if (aSteward.frozen_) {
      aSteward.waiting_.push_back(
        [this, &aSteward, aLife, aAction] { Act(aSteward, aLife, aAction); });
      return;
    }
    aAction();
  }

  absl::Duration Latency() { return absl::Milliseconds(1 + 9 * Uniform()); }

  // -- the platform's service

  void Do(SimSteward& aSteward, platform::Command& aCommand)
  {
    const std::uint64_t life = aSteward.life_;
    At(now_ + absl::Milliseconds(50 * Uniform()),
       [this, &aSteward, life, command = aCommand] {
         Act(aSteward, life, [this, &aSteward, life, command] {
           SendToPlatform(aSteward, life, command);
         });
       });
  }

  void SendToPlatform(SimSteward& aSteward,
                      std::uint64_t aLife,
                      const platform::Command& aCommand)
  {
    ++calls_;
    constexpr absl::Duration kTimeout = absl::Seconds(1);
    const bool lost =
      !platformUp_ || aSteward.cut_ || Uniform() < faults_.lostRequest_;
    const bool late = !lost && Uniform() < faults_.lateWrite_;
    const bool lostReply = lost || late || Uniform() < faults_.lostReply_;
    if (late) {
      At(now_ + absl::Seconds(1 + 3 * Uniform()),
         [this, aCommand] { Apply(aCommand); });
    }
    if (!lost && !late) {
      const absl::Time end = now_ + aCommand.duration_;
      At(now_ + Latency(), [this, &aSteward, aLife, aCommand, lostReply, end] {
        Serve(aSteward, aLife, aCommand, lostReply, end);
      });
    }
    if (lostReply) {
      platform::Reply reply;
      reply.id_ = aCommand.id_;
      At(now_ + kTimeout,
         [this, &aSteward, aLife, reply] { Deliver(aSteward, aLife, reply); });
    }
  }

  void Serve(SimSteward& aSteward,
             std::uint64_t aLife,
             const platform::Command& aCommand,
             bool aLostReply,
             absl::Time aEnd)
  {
    const auto reply = Apply(aCommand);
    const bool waits = aCommand.operation_ == platform::Operation::Watch &&
                       reply.version_ == aCommand.expect_ && now_ < aEnd;
    if (waits) {
      At(now_ + absl::Milliseconds(100),
         [this, &aSteward, aLife, aCommand, aLostReply, aEnd] {
           Serve(aSteward, aLife, aCommand, aLostReply, aEnd);
         });
      return;
    }
    if (!aLostReply) {
      At(now_ + Latency(),
         [this, &aSteward, aLife, reply] { Deliver(aSteward, aLife, reply); });
    }
  }

  void Deliver(SimSteward& aSteward,
               std::uint64_t aLife,
               const platform::Reply& aReply)
  {
    if (aSteward.life_ == aLife) {
      Tell(aSteward, rollout::PlatformReplied{ aReply });
    }
  }

  void DropLapsed()
  {
    for (auto at = keys_.begin(); at != keys_.end();) {
      const auto& lease = at->second.lease_;
      const bool lapsed =
        !lease.empty() && (leases_.count(lease) == 0 || leases_[lease] < now_);
      at = lapsed ? keys_.erase(at) : std::next(at);
    }
  }

  platform::Reply Apply(const platform::Command& aCommand)
  {
    DropLapsed();
    platform::Reply reply;
    reply.id_ = aCommand.id_;
    reply.outcome_ = platform::Outcome::Ok;
    switch (aCommand.operation_) {
      case platform::Operation::GrantLease:
        reply.lease_ = "lease" + std::to_string(nextLeaseCall_++);
        leases_[reply.lease_] = now_ + aCommand.duration_;
        return reply;
      case platform::Operation::KeepLease:
        KeepLease(aCommand, reply);
        return reply;
      case platform::Operation::DropLease:
        leases_.erase(aCommand.lease_);
        DropLapsed();
        return reply;
      case platform::Operation::List:
        for (const auto& [key, entry] : keys_) {
          if (key.rfind(aCommand.key_, 0) == 0) {
            reply.entries_.push_back({ key, entry.version_ });
          }
        }
        return reply;
      case platform::Operation::Read:
      case platform::Operation::Watch:
        Read(aCommand, reply);
        return reply;
      default:
        Change(aCommand, reply);
        return reply;
    }
  }

  void KeepLease(const platform::Command& aCommand, platform::Reply& aReply)
  {
    const auto found = leases_.find(aCommand.lease_);
    if (found == leases_.end() || found->second < now_) {
      aReply.outcome_ = platform::Outcome::Absent;
      return;
    }
    found->second = now_ + aCommand.duration_;
  }

  void Read(const platform::Command& aCommand, platform::Reply& aReply)
  {
    const auto found = keys_.find(aCommand.key_);
    if (found == keys_.end()) {
      aReply.outcome_ = platform::Outcome::Absent;
      return;
    }
    aReply.version_ = found->second.version_;
    aReply.value_ = found->second.value_;
  }

  void Change(const platform::Command& aCommand, platform::Reply& aReply)
  {
    const auto found = keys_.find(aCommand.key_);
    const std::uint64_t version =
      found == keys_.end() ? 0 : found->second.version_;
    if (aCommand.expect_ && *aCommand.expect_ != version) {
      aReply.outcome_ = platform::Outcome::Conflict;
      aReply.version_ = version;
      aReply.value_ = version == 0 ? "" : found->second.value_;
      return;
    }
    if (aCommand.operation_ == platform::Operation::Delete) {
      keys_.erase(aCommand.key_);
      return;
    }
    const bool leaseGone =
      !aCommand.lease_.empty() &&
      (leases_.count(aCommand.lease_) == 0 || leases_[aCommand.lease_] < now_);
    if (leaseGone) {
      aReply.outcome_ = platform::Outcome::Absent;
      return;
    }
    keys_[aCommand.key_] = { aCommand.value_, nextVersion_, aCommand.lease_ };
    aReply.version_ = nextVersion_++;
  }

  // -- targets

  void Do(SimSteward& aSteward, rollout::ReadTarget& aRead)
  {
    const std::uint64_t life = aSteward.life_;
    const rollout::ReadTarget read = aRead;
    At(now_ + Latency(), [this, &aSteward, life, read] {
      const auto& target = targets_.at(read.target_);
      rollout::TargetRead answer;
      answer.id_ = read.id_;
      answer.reachable_ = target.up_;
      answer.version_ = target.version_;
      answer.loading_ = !target.loading_.empty();
      At(now_ + Latency(), [this, &aSteward, life, answer] {
        if (aSteward.life_ == life) {
          Tell(aSteward, answer);
        }
      });
    });
  }

  void Do(SimSteward& aSteward, rollout::SendOrder& aOrder)
  {
    const std::uint64_t life = aSteward.life_;
    At(now_ + absl::Milliseconds(50 * Uniform()),
       [this, &aSteward, life, order = aOrder] {
         Act(aSteward, life, [this, &aSteward, life, order] {
           TransmitOrder(aSteward, life, order);
         });
       });
  }

  void EndOrder(SimSteward& aSteward,
                std::uint64_t aLife,
                const rollout::OrderEnded& aEnd,
                absl::Duration aAfter)
  {
    At(now_ + aAfter, [this, &aSteward, aLife, aEnd] {
      if (aSteward.life_ == aLife) {
        Tell(aSteward, aEnd);
      }
    });
  }

  void TransmitOrder(SimSteward& aSteward,
                     std::uint64_t aLife,
                     const rollout::SendOrder& aOrder)
  {
    if (now_ > aOrder.notAfter_) {
      EndOrder(aSteward,
               aLife,
               { aOrder.id_, rollout::OrderResult::NotSent, "" },
               absl::ZeroDuration());
      return;
    }
    constexpr absl::Duration kTimeout = absl::Seconds(2);
    const bool late = Uniform() < faults_.lateOrder_;
    const absl::Duration way =
      late ? absl::Seconds(4.5 * Uniform()) : Latency();
    const bool lost = Uniform() < faults_.lostOrder_;
    const bool unanswered = way > kTimeout || Uniform() < faults_.lostOrder_;
    if (!lost) {
      At(now_ + way, [this, &aSteward, aLife, aOrder, unanswered] {
        const auto result = TakeOrder(aOrder);
        if (!unanswered) {
          EndOrder(aSteward, aLife, { aOrder.id_, result, "" }, Latency());
        }
      });
    }
    if (lost || unanswered) {
      EndOrder(aSteward,
               aLife,
               { aOrder.id_, rollout::OrderResult::Lost, "" },
               kTimeout);
    }
  }

  rollout::OrderResult TakeOrder(const rollout::SendOrder& aOrder)
  {
    auto& target = targets_.at(aOrder.target_);
    ++orders_;
    if (!target.up_) {
      return rollout::OrderResult::Lost;
    }
    if (target.honoursFencing_ && aOrder.fence_ < target.highestFence_) {
      return rollout::OrderResult::StaleFence;
    }
    Trace(aOrder.target_ + " takes " + aOrder.version_ +
          " loading=" + std::to_string(Loading()));
    CHECK_GE(aOrder.fence_, target.newestFence_)
      << "target " << aOrder.target_ << " took an older order";
    target.highestFence_ = std::max(target.highestFence_, aOrder.fence_);
    target.newestFence_ = aOrder.fence_;
    target.newestVersion_ = aOrder.version_;
    target.loading_ = aOrder.version_;
    CheckServing(aOrder.target_);
    const std::size_t loading = Loading();
    mostLoading_ = std::max(mostLoading_, loading);
    CHECK_LE(loading, config_->limits_.maxLoading_)
      << "too many targets load with " << aOrder.target_;
    FinishLoad(aOrder.target_, ++target.load_);
    return rollout::OrderResult::Accepted;
  }

  // A target that died just now still counts, as nobody could know.
  void CheckServing(const std::string& aName) const
  {
    constexpr absl::Duration kNoticeTime = absl::Seconds(10);
    const std::string& model = targets_.at(aName).model_;
    std::size_t total = 0;
    std::size_t serving = 0;
    for (const auto& [name, target] : targets_) {
      if (target.model_ != model) {
        continue;
      }
      ++total;
      const bool seemsUp = target.up_ || now_ < target.downSince_ + kNoticeTime;
      serving += seemsUp && target.loading_.empty() ? 1 : 0;
    }
    const double share = config_->limits_.minServingShare_;
    const auto least =
      static_cast<std::size_t>(std::ceil(share * double(total)));
    CHECK_GE(serving, std::min(least, total - 1))
      << "too few targets of " << model << " serve";
  }

  void FinishLoad(const std::string& aName, std::uint64_t aLoad)
  {
    const double seconds = (0.3 + 0.4 * Uniform()) * slowFactor_;
    At(now_ + absl::Seconds(seconds), [this, aName, aLoad] {
      auto& target = targets_.at(aName);
      if (target.load_ != aLoad) {
        return;
      }
      if (!target.loadsFail_) {
        target.version_ = target.loading_;
      }
      target.loading_.clear();
    });
  }

  void Trace(const std::string& aLine) const
  {
    if (std::getenv("LYCHEEPLANK_TRACE") != nullptr) {
      const double seconds = absl::ToDoubleSeconds(now_ - kStart);
      std::fprintf(stderr, "%.3f %s\n", seconds, aLine.c_str());
    }
  }

  void Do(SimSteward& aSteward, rollout::Log& aLog)
  {
    Trace(aSteward.name_ + " " + aLog.line_);
  }

  std::mt19937_64 random_;
  absl::Time now_ = kStart;
  config::ConfigPtr config_;
  std::vector<std::unique_ptr<SimSteward>> stewards_;
  std::map<std::string, SimTarget> targets_;
  std::map<std::string, Key> keys_;
  std::map<std::string, absl::Time> leases_;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t nextLeaseCall_ = 1;
  std::priority_queue<Scheduled> queue_;
  std::uint64_t order_ = 0;
  std::size_t mostLoading_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t orders_ = 0;
};

const std::array<const char*, 3> kModels{ "large", "medium", "single" };

double
Seconds(absl::Duration aTime)
{
  return absl::ToDoubleSeconds(aTime);
}

bool
AllServe(World& aWorld, const std::string& aModel, const std::string& aVersion)
{
  const auto& targets = aWorld.Targets();
  return std::all_of(targets.begin(), targets.end(), [&](const auto& aEntry) {
    return aEntry.second.model_ != aModel || aEntry.second.version_ == aVersion;
  });
}

} // namespace

TEST_CASE("records and slots survive their text form")
{
  const rollout::Record record{ "m", "v2", rollout::RolloutState::Failed,
                                3,   12,   "target \"t\" refused" };
  const auto read = rollout::ParseRecord(rollout::FormatRecord(record));
  REQUIRE(read);
  REQUIRE(read->detail_ == record.detail_);
  REQUIRE(read->state_ == record.state_);
  REQUIRE(read->doneTargets_ == 3);
  REQUIRE(!rollout::ParseRecord("{}"));
  REQUIRE(!rollout::ParseRecord("nonsense"));
  const std::vector<rollout::Slot> slots{ { "t1", "m" }, { "t2", "n" } };
  REQUIRE(*rollout::ParseSlots(rollout::FormatSlots(slots)) == slots);
  REQUIRE(rollout::ParseSlots("")->empty());
  REQUIRE(!rollout::ParseSlots("{"));
}

TEST_CASE("a rollout reaches all targets of its model")
{
  World world(3, Seed(1));
  world.Run(absl::Seconds(10));
  world.StartRollout("large", "v1");
  const auto took = world.RunUntil(absl::Minutes(2),
                                   [&] { return world.IsDone("large", "v1"); });
  REQUIRE(world.IsDone("large", "v1"));
  REQUIRE(AllServe(world, "large", "v1"));
  REQUIRE(AllServe(world, "medium", "v0"));
  REQUIRE(world.MostLoading() <= 2);
  world.Run(absl::Seconds(5));
  REQUIRE(world.SlotCount() == 0);
  const auto record = world.RecordOf("large");
  REQUIRE(record.doneTargets_ == 12);
  REQUIRE(record.totalTargets_ == 12);
  std::printf("rollout: targets=12 took_s=%.1f\n", Seconds(took));
}

TEST_CASE("all models roll out together within the common limit")
{
  World world(5, Seed(2));
  world.Run(absl::Seconds(10));
  for (const char* model : kModels) {
    world.StartRollout(model, "v1");
  }
  world.RunUntil(absl::Minutes(3), [&] {
    return std::all_of(kModels.begin(), kModels.end(), [&](const char* aModel) {
      return world.IsDone(aModel, "v1");
    });
  });
  for (const char* model : kModels) {
    REQUIRE(world.IsDone(model, "v1"));
  }
  REQUIRE(world.MostLoading() == 2);
}

TEST_CASE("calls to the platform don't grow with the stewards")
{
  std::map<std::size_t, double> rates;
  for (const std::size_t count : { 5U, 50U }) {
    World world(count, Seed(3));
    world.Run(absl::Minutes(1));
    const std::uint64_t before = world.Calls();
    world.Run(absl::Minutes(2));
    rates[count] = double(world.Calls() - before) / 120.0;
    std::printf(
      "idle: stewards=%zu platform_calls_per_s=%.2f\n", count, rates[count]);
  }
  REQUIRE(rates[50] < rates[5] * 1.3 + 1.0);
}

TEST_CASE("a rollout stops at the first failure and says why")
{
  World world(3, Seed(4));
  world.Targets()["large3"].loadsFail_ = true;
  world.Run(absl::Seconds(10));
  world.StartRollout("large", "v1");
  world.RunUntil(absl::Minutes(2), [&] {
    return world.RecordOf("large").state_ == rollout::RolloutState::Failed;
  });
  const auto record = world.RecordOf("large");
  REQUIRE(record.state_ == rollout::RolloutState::Failed);
  REQUIRE(record.detail_.find("large3") != std::string::npos);
  world.Run(absl::Seconds(30));
  REQUIRE(!AllServe(world, "large", "v1"));
  REQUIRE(world.SlotCount() == 0);
  REQUIRE(world.Loading() == 0);
  world.Targets()["large3"].loadsFail_ = false;
  world.StartRollout("large", "v2");
  world.RunUntil(absl::Minutes(2), [&] { return world.IsDone("large", "v2"); });
  REQUIRE(world.IsDone("large", "v2"));
}

TEST_CASE("an operator starts, lists and stops rollouts")
{
  World world(3, Seed(9));
  world.Run(absl::Seconds(10));
  const auto access = world.OperatorAccess({});
  std::vector<absl::optional<core::Error>> ends;
  const auto onDone = [&](absl::optional<core::Error> aError) {
    ends.push_back(std::move(aError));
  };
  rollout::StopRollout(access, "large", onDone);
  REQUIRE(ends.back()->kind_ == core::ErrorKind::NotFound);
  rollout::StartRollout(access, "large", "v1", onDone);
  REQUIRE(!ends.back());
  world.Run(absl::Seconds(4));
  rollout::StopRollout(access, "large", onDone);
  REQUIRE(!ends.back());
  world.Run(absl::Seconds(30));
  REQUIRE(world.RecordOf("large").state_ == rollout::RolloutState::Stopped);
  REQUIRE(!AllServe(world, "large", "v1"));
  REQUIRE(world.SlotCount() == 0);
  REQUIRE(world.Loading() == 0);
  rollout::StartRollout(access, "medium", "v1", onDone);
  rollout::RolloutList listing;
  rollout::ListRollouts(access, [&](rollout::RolloutList aListing) {
    listing = std::move(aListing);
  });
  REQUIRE(listing.records_.size() == 2);
  REQUIRE(listing.records_[0].model_ == "large");
}

TEST_CASE("a lost reply does not start a rollout twice")
{
  World world(3, Seed(10));
  const auto access = world.OperatorAccess(
    { platform::Outcome::Absent, platform::Outcome::Lost });
  int done = 0;
  rollout::StartRollout(
    access, "large", "v1", [&](const absl::optional<core::Error>& aError) {
      REQUIRE(!aError);
      ++done;
    });
  REQUIRE(done == 1);
  REQUIRE(world.RecordOf("large").version_ == "v1");
  const auto out = world.OperatorAccess({ platform::Outcome::Lost });
  rollout::StopRollout(
    out, "large", [&](const absl::optional<core::Error>& aError) {
      REQUIRE(aError->kind_ == core::ErrorKind::PlatformUnavailable);
      ++done;
    });
  REQUIRE(done == 2);
}

TEST_CASE("a target that can't be reached is waited for")
{
  World world(3, Seed(5));
  auto& target = world.Targets()["medium2"];
  target.up_ = false;
  target.downSince_ = kStart;
  world.Run(absl::Seconds(10));
  world.StartRollout("medium", "v1");
  world.Run(absl::Minutes(1));
  auto record = world.RecordOf("medium");
  REQUIRE(record.state_ == rollout::RolloutState::Running);
  REQUIRE(record.doneTargets_ == 4);
  REQUIRE(record.detail_.find("medium2") != std::string::npos);
  target.up_ = true;
  world.RunUntil(absl::Minutes(1),
                 [&] { return world.IsDone("medium", "v1"); });
  REQUIRE(world.IsDone("medium", "v1"));
}

TEST_CASE("a target that comes back with an old version is brought up")
{
  World world(3, Seed(6));
  world.Run(absl::Seconds(10));
  world.StartRollout("medium", "v1");
  world.RunUntil(absl::Minutes(2),
                 [&] { return world.IsDone("medium", "v1"); });
  world.Targets()["medium1"].version_ = "v0";
  world.RunUntil(absl::Minutes(2),
                 [&] { return AllServe(world, "medium", "v1"); });
  REQUIRE(AllServe(world, "medium", "v1"));
}

TEST_CASE("another steward goes on after the owner's death at any step")
{
  for (int step = 0; step < 40; ++step) {
    World world(3, Seed(7) + static_cast<std::uint64_t>(step));
    world.Run(absl::Seconds(10));
    world.StartRollout("large", "v1");
    world.Run(absl::Milliseconds(250) * step);
    auto* owner = world.OwnerOf("large");
    REQUIRE(owner != nullptr);
    world.Kill(*owner);
    const auto took = world.RunUntil(
      absl::Minutes(3), [&] { return world.IsDone("large", "v1"); });
    REQUIRE(world.IsDone("large", "v1"));
    REQUIRE(took < absl::Minutes(2));
  }
}

TEST_CASE("a steward that is asked to stop hands over at once")
{
  World world(3, Seed(8));
  world.Run(absl::Seconds(10));
  world.StartRollout("large", "v1");
  world.Run(absl::Seconds(3));
  auto* owner = world.OwnerOf("large");
  REQUIRE(owner != nullptr);
  world.Tell(*owner, rollout::StopRequested{});
  const auto stopped = world.RunUntil(
    absl::Seconds(30), [&] { return rollout::IsStopped(owner->state_); });
  REQUIRE(rollout::IsStopped(owner->state_));
  world.Kill(*owner);
  const auto next = world.RunUntil(
    absl::Seconds(30), [&] { return world.OwnerOf("large") != nullptr; });
  std::printf("hand-over: stopped_s=%.1f next_owner_s=%.1f\n",
              Seconds(stopped),
              Seconds(next));
  REQUIRE(stopped < absl::Seconds(8));
  REQUIRE(next < absl::Seconds(5));
  world.RunUntil(absl::Minutes(2), [&] { return world.IsDone("large", "v1"); });
  REQUIRE(world.IsDone("large", "v1"));
}

TEST_CASE("a frozen owner wakes up to a new owner")
{
  for (int run = 0; run < 20; ++run) {
    World world(3, Seed(100) + static_cast<std::uint64_t>(run));
    world.faults_.lateOrder_ = 0.5;
    world.slowFactor_ = 4.0;
    world.Run(absl::Seconds(10));
    world.StartRollout("large", "v1");
    world.Run(absl::Seconds(1) + absl::Milliseconds(170) * run);
    auto* owner = world.OwnerOf("large");
    REQUIRE(owner != nullptr);
    owner->frozen_ = true;
    world.Run(absl::Seconds(16 + run % 8));
    world.StartRollout("large", "v2");
    world.Run(absl::Seconds(run % 5));
    world.Thaw(*owner);
    world.RunUntil(absl::Minutes(5),
                   [&] { return world.IsDone("large", "v2"); });
    REQUIRE(world.IsDone("large", "v2"));
    REQUIRE(AllServe(world, "large", "v2"));
  }
}

TEST_CASE("an order that waited in a frozen process is not sent")
{
  for (int run = 0; run < 10; ++run) {
    World world(3, Seed(300) + static_cast<std::uint64_t>(run));
    world.Run(absl::Seconds(10));
    world.StartRollout("large", "v1");
    const auto hasOrder = [&] {
      const auto* owner = world.OwnerOf("large");
      return owner != nullptr && !owner->state_.pendingOrders_.empty();
    };
    while (!hasOrder()) {
      world.Run(absl::Milliseconds(1));
    }
    auto* owner = world.OwnerOf("large");
    owner->frozen_ = true;
    world.Run(absl::Seconds(20));
    world.StartRollout("large", "v2");
    world.RunUntil(absl::Minutes(2),
                   [&] { return world.IsDone("large", "v2"); });
    REQUIRE(world.IsDone("large", "v2"));
    world.Thaw(*owner);
    world.Run(absl::Seconds(10));
    REQUIRE(AllServe(world, "large", "v2"));
  }
}

TEST_CASE("a write that waited in a frozen process takes no slot away")
{
  for (int run = 0; run < 40; ++run) {
    World world(3, Seed(400) + static_cast<std::uint64_t>(run));
    world.slowFactor_ = 6.0;
    world.Run(absl::Seconds(10));
    world.StartRollout("large", "v1");
    const auto givesBack = [&] {
      const auto* owner = world.OwnerOf("large");
      return owner != nullptr && !owner->state_.slots_.toRelease_.empty() &&
             owner->state_.slots_.commandPending_;
    };
    while (!givesBack()) {
      world.Run(absl::Milliseconds(1));
    }
    auto* owner = world.OwnerOf("large");
    owner->frozen_ = true;
    world.Run(absl::Seconds(5));
    world.StartRollout("large", "v2");
    const auto isTakenOver = [&] { return world.OwnerOf("large") != nullptr; };
    world.RunUntil(absl::Seconds(30), isTakenOver);
    REQUIRE(isTakenOver());
    world.Run(absl::Milliseconds(20) * run);
    world.Thaw(*owner);
    world.RunUntil(absl::Minutes(5),
                   [&] { return world.IsDone("large", "v2"); });
    REQUIRE(world.IsDone("large", "v2"));
  }
}

TEST_CASE("a late write takes no slot away from a target that loads")
{
  for (int run = 0; run < 20; ++run) {
    World world(3, Seed(500) + static_cast<std::uint64_t>(run));
    world.faults_.lateWrite_ = 0.3;
    world.slowFactor_ = 6.0;
    world.Run(absl::Seconds(30));
    for (int version = 1; version <= 80; ++version) {
      for (const char* model : kModels) {
        if (world.Pick(3) == 0) {
          world.StartRollout(model, "v" + std::to_string(version));
        }
      }
      world.Run(absl::Seconds(6 * world.Uniform()));
    }
    world.faults_ = {};
    world.StartRollout("large", "last");
    world.RunUntil(absl::Minutes(5),
                   [&] { return world.IsDone("large", "last"); });
    REQUIRE(world.IsDone("large", "last"));
  }
}

namespace {

// Starts one random fault and schedules its end.
class Chaos
{
public:
  explicit Chaos(World& aWorld)
    : world_(aWorld)
  {
  }

  void Step()
  {
    EndFaults();
    const std::size_t index = world_.Pick(world_.Size());
    auto& steward = world_.At(index);
    switch (world_.Pick(10)) {
      case 0:
      case 1:
        if (steward.up_ && !steward.frozen_) {
          steward.frozen_ = true;
          EndLater(1, 30, [this, &steward] { world_.Thaw(steward); });
        }
        return;
      case 2:
        if (steward.up_ && !steward.frozen_) {
          world_.Kill(steward);
          EndLater(0, 10, [this, &steward] { world_.StartSteward(steward); });
        }
        return;
      case 3:
        steward.cut_ = true;
        EndLater(1, 30, [&steward] { steward.cut_ = false; });
        return;
      case 4:
        world_.platformUp_ = false;
        EndLater(1, 20, [this] { world_.platformUp_ = true; });
        return;
      case 5:
        world_.slowFactor_ = 15.0;
        EndLater(5, 30, [this] { world_.slowFactor_ = 1.0; });
        return;
      default:
        StartRollout(kModels[world_.Pick(kModels.size())]);
        return;
    }
  }

  std::uint64_t Finished() const { return finished_; }

  void EndAll()
  {
    for (auto& end : ends_) {
      end.second();
    }
    ends_.clear();
    world_.faults_ = {};
  }

private:
  void StartRollout(const std::string& aModel)
  {
    const auto& before = versions_[aModel];
    finished_ += !before.empty() && world_.IsDone(aModel, before) ? 1 : 0;
    ++version_;
    versions_[aModel] = "v" + std::to_string(version_);
    world_.StartRollout(aModel, versions_[aModel]);
  }

  void EndLater(double aLeast, double aMost, std::function<void()> aEnd)
  {
    const double seconds = aLeast + (aMost - aLeast) * world_.Uniform();
    ends_.emplace(world_.Now() + absl::Seconds(seconds), std::move(aEnd));
  }

  void EndFaults()
  {
    while (!ends_.empty() && ends_.begin()->first <= world_.Now()) {
      const auto end = ends_.begin()->second;
      ends_.erase(ends_.begin());
      end();
    }
  }

  World& world_;
  std::multimap<absl::Time, std::function<void()>> ends_;
  std::map<std::string, std::string> versions_;
  int version_ = 1;
  std::uint64_t finished_ = 0;
};

} // namespace

TEST_CASE("random faults break no limit and leave no target behind")
{
  constexpr int kRuns = 30;
  constexpr int kSteps = 200;
  std::uint64_t orders = 0;
  std::uint64_t finished = 0;
  for (int run = 0; run < kRuns; ++run) {
    World world(4, Seed(1000) + static_cast<std::uint64_t>(run));
    world.faults_ = { 0.01, 0.03, 0.02, 0.05, 0.1 };
    Chaos chaos(world);
    for (int step = 0; step < kSteps; ++step) {
      world.Run(absl::Seconds(6.0 * world.Uniform()));
      chaos.Step();
    }
    orders += world.Orders();
    finished += chaos.Finished();
    chaos.EndAll();
    for (const char* model : kModels) {
      world.StartRollout(model, "last");
    }
    world.RunUntil(absl::Minutes(6), [&] {
      return std::all_of(
        kModels.begin(), kModels.end(), [&](const char* aModel) {
          return world.IsDone(aModel, "last");
        });
    });
    for (const char* model : kModels) {
      INFO("run " << run << " model " << model << " "
                  << rollout::FormatRecord(world.RecordOf(model)));
      REQUIRE(world.IsDone(model, "last"));
    }
    for (const auto& [name, target] : world.Targets()) {
      REQUIRE(target.version_ == target.newestVersion_);
    }
  }
  std::printf("random faults: runs=%d orders=%llu rollouts_finished=%llu\n",
              kRuns,
              static_cast<unsigned long long>(orders),
              static_cast<unsigned long long>(finished));
  REQUIRE(orders > 900U);
}
