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

// A simulated target.
struct SimTarget
{
  std::string model_;
  bool honoursFencing_ = true;
  bool up_ = true;
  absl::Time downSince_ = absl::InfiniteFuture();
  std::string version_ = "v0";
  std::string loading_;
  // Number of the last load; the end of an earlier one is ignored.
  std::uint64_t loadId_ = 0;
  std::uint64_t highestFence_ = 0;
  // Fence and version of the newest accepted order.
  std::uint64_t newestFence_ = 0;
  std::string newestVersion_ = "v0";
  bool loadsFail_ = false;
};

// A simulated steward process.
struct SimSteward
{
  std::string name_;
  rollout::State state_;
  bool up_ = true;
  bool frozen_ = false;
  bool disconnected_ = false;
  // Number of this process; replies for an earlier process of the same name are
  // dropped.
  std::uint64_t incarnation_ = 0;
  // Actions to run once the process is no longer frozen.
  std::deque<std::function<void()>> queuedActions_;
};

// Probabilities of random faults.
struct Faults
{
  double lostRequest_ = 0.0;
  double lostReply_ = 0.0;
  // Writes that take effect after the caller's timeout.
  double lateWrite_ = 0.0;
  double lostOrder_ = 0.0;
  double lateOrder_ = 0.0;
};

// Simulates stewards, the platform's service and targets on one clock.
class Simulation
{
public:
  Simulation(std::size_t aStewards, std::uint64_t aSeed)
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
    ++aSteward.incarnation_;
    aSteward.up_ = true;
    aSteward.queuedActions_.clear();
    aSteward.state_ = rollout::InitialState(aSteward.name_, {});
    std::vector<std::string> names;
    for (const auto& steward : stewards_) {
      names.push_back(steward->name_);
    }
    DeliverEvent(aSteward, rollout::HostsChanged{ names });
    DeliverEvent(aSteward, rollout::ConfigChanged{ config_ });
    ScheduleTicks(aSteward, aSteward.incarnation_);
  }

  void Kill(SimSteward& aSteward) { aSteward.up_ = false; }

  void Unfreeze(SimSteward& aSteward)
  {
    aSteward.frozen_ = false;
    while (!aSteward.queuedActions_.empty() && !aSteward.frozen_) {
      const auto action = aSteward.queuedActions_.front();
      aSteward.queuedActions_.pop_front();
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

  // Starts a rollout by writing its record, as an operator does.
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

  SimSteward& Steward(std::size_t aIndex) { return *stewards_[aIndex]; }
  std::size_t StewardCount() const { return stewards_.size(); }
  std::map<std::string, SimTarget>& Targets() { return targets_; }
  std::size_t MaxLoading() const { return maxLoading_; }
  std::uint64_t PlatformCalls() const { return calls_; }
  std::uint64_t ReceivedOrders() const { return orders_; }
  absl::Time Now() const { return now_; }

  // Returns the running steward that owns a model, or null if there is none.
  SimSteward* FindOwner(const std::string& aModel)
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

  std::size_t LoadingCount() const
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

  // Returns a function that carries out an operator's commands. The given
  // outcomes replace those of the first commands, whose effects remain.
  rollout::CommandExecutor OperatorAccess(
    std::deque<platform::Outcome> aOutcomes)
  {
    auto outcomes =
      std::make_shared<std::deque<platform::Outcome>>(std::move(aOutcomes));
    return
      [this, outcomes](const platform::Command& aCommand,
                       const std::function<void(platform::Reply)>& aOnReply) {
        auto reply = ApplyCommand(aCommand);
        if (!outcomes->empty()) {
          reply.outcome_ = outcomes->front();
          outcomes->pop_front();
        }
        aOnReply(reply);
      };
  }

  void DeliverEvent(SimSteward& aSteward, const EventBody& aBody)
  {
    if (!aSteward.up_) {
      return;
    }
    if (aSteward.frozen_) {
      const std::uint64_t incarnation = aSteward.incarnation_;
      aSteward.queuedActions_.push_back([this, &aSteward, incarnation, aBody] {
        if (aSteward.incarnation_ == incarnation) {
          DeliverEvent(aSteward, aBody);
        }
      });
      return;
    }
    for (auto& effect : rollout::Step(aSteward.state_, { now_, aBody })) {
      std::visit([&](auto& aEffect) { Perform(aSteward, aEffect); }, effect);
    }
  }

  double RandomFraction()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }

  std::size_t RandomIndex(std::size_t aCount)
  {
    return static_cast<std::size_t>(RandomFraction() * double(aCount));
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

  struct StoredKey
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

  void Schedule(absl::Time aTime, std::function<void()> aAction)
  {
    queue_.push({ aTime, order_++, std::move(aAction) });
  }

  void ScheduleTicks(SimSteward& aSteward, std::uint64_t aIncarnation)
  {
    if (aSteward.incarnation_ != aIncarnation || !aSteward.up_) {
      return;
    }
    if (!aSteward.frozen_) {
      DeliverEvent(aSteward, rollout::Tick{});
    }
    Schedule(now_ + kTickPeriod, [this, &aSteward, aIncarnation] {
      ScheduleTicks(aSteward, aIncarnation);
    });
  }

  // Runs an action of a steward's adapter, or queues it while the process is
  // frozen.
  void RunWhenUnfrozen(SimSteward& aSteward,
                       std::uint64_t aIncarnation,
                       const std::function<void()>& aAction)
  {
    if (!aSteward.up_ || aSteward.incarnation_ != aIncarnation) {
      return;
    }
    if (aSteward.frozen_) {
      aSteward.queuedActions_.push_back(
        [this, &aSteward, aIncarnation, aAction] {
          RunWhenUnfrozen(aSteward, aIncarnation, aAction);
        });
      return;
    }
    aAction();
  }

  absl::Duration Latency()
  {
    return absl::Milliseconds(1 + 9 * RandomFraction());
  }

  // The platform's service.

  void Perform(SimSteward& aSteward, platform::Command& aCommand)
  {
    const std::uint64_t incarnation = aSteward.incarnation_;
    Schedule(now_ + absl::Milliseconds(50 * RandomFraction()),
             [this, &aSteward, incarnation, command = aCommand] {
               RunWhenUnfrozen(aSteward,
                               incarnation,
                               [this, &aSteward, incarnation, command] {
                                 SendToPlatform(aSteward, incarnation, command);
                               });
             });
  }

  void SendToPlatform(SimSteward& aSteward,
                      std::uint64_t aIncarnation,
                      const platform::Command& aCommand)
  {
    ++calls_;
    constexpr absl::Duration kTimeout = absl::Seconds(1);
    const bool lost = !platformUp_ || aSteward.disconnected_ ||
                      RandomFraction() < faults_.lostRequest_;
    const bool late = !lost && RandomFraction() < faults_.lateWrite_;
    const bool lostReply =
      lost || late || RandomFraction() < faults_.lostReply_;
    if (late) {
      Schedule(now_ + absl::Seconds(1 + 3 * RandomFraction()),
               [this, aCommand] { ApplyCommand(aCommand); });
    }
    if (!lost && !late) {
      const absl::Time end = now_ + aCommand.duration_;
      Schedule(now_ + Latency(),
               [this, &aSteward, aIncarnation, aCommand, lostReply, end] {
                 HandleCommand(
                   aSteward, aIncarnation, aCommand, lostReply, end);
               });
    }
    if (lostReply) {
      platform::Reply reply;
      reply.id_ = aCommand.id_;
      Schedule(now_ + kTimeout, [this, &aSteward, aIncarnation, reply] {
        DeliverReply(aSteward, aIncarnation, reply);
      });
    }
  }

  void HandleCommand(SimSteward& aSteward,
                     std::uint64_t aIncarnation,
                     const platform::Command& aCommand,
                     bool aLostReply,
                     absl::Time aEnd)
  {
    const auto reply = ApplyCommand(aCommand);
    const bool waits = aCommand.operation_ == platform::Operation::Watch &&
                       reply.version_ == aCommand.expect_ && now_ < aEnd;
    if (waits) {
      Schedule(now_ + absl::Milliseconds(100),
               [this, &aSteward, aIncarnation, aCommand, aLostReply, aEnd] {
                 HandleCommand(
                   aSteward, aIncarnation, aCommand, aLostReply, aEnd);
               });
      return;
    }
    if (!aLostReply) {
      Schedule(now_ + Latency(), [this, &aSteward, aIncarnation, reply] {
        DeliverReply(aSteward, aIncarnation, reply);
      });
    }
  }

  void DeliverReply(SimSteward& aSteward,
                    std::uint64_t aIncarnation,
                    const platform::Reply& aReply)
  {
    if (aSteward.incarnation_ == aIncarnation) {
      DeliverEvent(aSteward, rollout::PlatformReplied{ aReply });
    }
  }

  void DropExpiredKeys()
  {
    for (auto at = keys_.begin(); at != keys_.end();) {
      const auto& lease = at->second.lease_;
      const bool expired =
        !lease.empty() && (leases_.count(lease) == 0 || leases_[lease] < now_);
      at = expired ? keys_.erase(at) : std::next(at);
    }
  }

  platform::Reply ApplyCommand(const platform::Command& aCommand)
  {
    DropExpiredKeys();
    platform::Reply reply;
    reply.id_ = aCommand.id_;
    reply.outcome_ = platform::Outcome::Ok;
    switch (aCommand.operation_) {
      case platform::Operation::GrantLease:
        reply.lease_ = "lease" + std::to_string(nextLeaseId_++);
        leases_[reply.lease_] = now_ + aCommand.duration_;
        return reply;
      case platform::Operation::KeepLease:
        KeepLease(aCommand, reply);
        return reply;
      case platform::Operation::DropLease:
        leases_.erase(aCommand.lease_);
        DropExpiredKeys();
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
        ReadKey(aCommand, reply);
        return reply;
      default:
        ChangeKey(aCommand, reply);
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

  void ReadKey(const platform::Command& aCommand, platform::Reply& aReply)
  {
    const auto found = keys_.find(aCommand.key_);
    if (found == keys_.end()) {
      aReply.outcome_ = platform::Outcome::Absent;
      return;
    }
    aReply.version_ = found->second.version_;
    aReply.value_ = found->second.value_;
  }

  void ChangeKey(const platform::Command& aCommand, platform::Reply& aReply)
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

  // The targets.

  void Perform(SimSteward& aSteward, rollout::ReadTarget& aRead)
  {
    const std::uint64_t incarnation = aSteward.incarnation_;
    const rollout::ReadTarget read = aRead;
    Schedule(now_ + Latency(), [this, &aSteward, incarnation, read] {
      const auto& target = targets_.at(read.target_);
      rollout::TargetRead answer;
      answer.id_ = read.id_;
      answer.reachable_ = target.up_;
      answer.version_ = target.version_;
      answer.loading_ = !target.loading_.empty();
      Schedule(now_ + Latency(), [this, &aSteward, incarnation, answer] {
        if (aSteward.incarnation_ == incarnation) {
          DeliverEvent(aSteward, answer);
        }
      });
    });
  }

  void Perform(SimSteward& aSteward, rollout::SendOrder& aOrder)
  {
    const std::uint64_t incarnation = aSteward.incarnation_;
    Schedule(now_ + absl::Milliseconds(50 * RandomFraction()),
             [this, &aSteward, incarnation, order = aOrder] {
               RunWhenUnfrozen(
                 aSteward, incarnation, [this, &aSteward, incarnation, order] {
                   TransmitOrder(aSteward, incarnation, order);
                 });
             });
  }

  void ScheduleOrderEnd(SimSteward& aSteward,
                        std::uint64_t aIncarnation,
                        const rollout::OrderEnded& aEnd,
                        absl::Duration aAfter)
  {
    Schedule(now_ + aAfter, [this, &aSteward, aIncarnation, aEnd] {
      if (aSteward.incarnation_ == aIncarnation) {
        DeliverEvent(aSteward, aEnd);
      }
    });
  }

  void TransmitOrder(SimSteward& aSteward,
                     std::uint64_t aIncarnation,
                     const rollout::SendOrder& aOrder)
  {
    if (now_ > aOrder.notAfter_) {
      ScheduleOrderEnd(aSteward,
                       aIncarnation,
                       { aOrder.id_, rollout::OrderResult::NotSent, "" },
                       absl::ZeroDuration());
      return;
    }
    constexpr absl::Duration kTimeout = absl::Seconds(2);
    const bool late = RandomFraction() < faults_.lateOrder_;
    const absl::Duration delay =
      late ? absl::Seconds(4.5 * RandomFraction()) : Latency();
    const bool lost = RandomFraction() < faults_.lostOrder_;
    const bool unanswered =
      delay > kTimeout || RandomFraction() < faults_.lostOrder_;
    if (!lost) {
      Schedule(
        now_ + delay, [this, &aSteward, aIncarnation, aOrder, unanswered] {
          const auto result = ReceiveOrder(aOrder);
          if (!unanswered) {
            ScheduleOrderEnd(
              aSteward, aIncarnation, { aOrder.id_, result, "" }, Latency());
          }
        });
    }
    if (lost || unanswered) {
      ScheduleOrderEnd(aSteward,
                       aIncarnation,
                       { aOrder.id_, rollout::OrderResult::Lost, "" },
                       kTimeout);
    }
  }

  rollout::OrderResult ReceiveOrder(const rollout::SendOrder& aOrder)
  {
    auto& target = targets_.at(aOrder.target_);
    ++orders_;
    if (!target.up_) {
      return rollout::OrderResult::Lost;
    }
    if (target.honoursFencing_ && aOrder.fence_ < target.highestFence_) {
      return rollout::OrderResult::StaleFence;
    }
    Trace(aOrder.target_ + " accepts " + aOrder.version_ +
          " loading=" + std::to_string(LoadingCount()));
    CHECK_GE(aOrder.fence_, target.newestFence_)
      << "target " << aOrder.target_
      << " accepted an order with an older fence";
    target.highestFence_ = std::max(target.highestFence_, aOrder.fence_);
    target.newestFence_ = aOrder.fence_;
    target.newestVersion_ = aOrder.version_;
    target.loading_ = aOrder.version_;
    CheckServing(aOrder.target_);
    const std::size_t loading = LoadingCount();
    maxLoading_ = std::max(maxLoading_, loading);
    CHECK_LE(loading, config_->limits_.maxLoading_)
      << "too many targets load with " << aOrder.target_;
    ScheduleLoadEnd(aOrder.target_, ++target.loadId_);
    return rollout::OrderResult::Accepted;
  }

  // Checks that enough targets of the model serve when aName starts to load. A
  // target that went down within kDetectionTime counts as serving, since no
  // steward may have detected it yet.
  void CheckServing(const std::string& aName) const
  {
    constexpr absl::Duration kDetectionTime = absl::Seconds(10);
    const std::string& model = targets_.at(aName).model_;
    std::size_t total = 0;
    std::size_t serving = 0;
    for (const auto& [name, target] : targets_) {
      if (target.model_ != model) {
        continue;
      }
      ++total;
      const bool countsAsUp =
        target.up_ || now_ < target.downSince_ + kDetectionTime;
      serving += countsAsUp && target.loading_.empty() ? 1 : 0;
    }
    const double share = config_->limits_.minServingShare_;
    const auto least =
      static_cast<std::size_t>(std::ceil(share * double(total)));
    CHECK_GE(serving, std::min(least, total - 1))
      << "too few targets of " << model << " serve";
  }

  void ScheduleLoadEnd(const std::string& aName, std::uint64_t aLoadId)
  {
    const double seconds = (0.3 + 0.4 * RandomFraction()) * slowFactor_;
    Schedule(now_ + absl::Seconds(seconds), [this, aName, aLoadId] {
      auto& target = targets_.at(aName);
      if (target.loadId_ != aLoadId) {
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

  void Perform(SimSteward& aSteward, rollout::Log& aLog)
  {
    Trace(aSteward.name_ + " " + aLog.line_);
  }

  std::mt19937_64 random_;
  absl::Time now_ = kStart;
  config::ConfigPtr config_;
  std::vector<std::unique_ptr<SimSteward>> stewards_;
  std::map<std::string, SimTarget> targets_;
  std::map<std::string, StoredKey> keys_;
  std::map<std::string, absl::Time> leases_;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t nextLeaseId_ = 1;
  std::priority_queue<Scheduled> queue_;
  std::uint64_t order_ = 0;
  std::size_t maxLoading_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t orders_ = 0;
};

const std::array<const char*, 3> kModels{ "large", "medium", "single" };

double
ToSeconds(absl::Duration aTime)
{
  return absl::ToDoubleSeconds(aTime);
}

bool
AllTargetsServe(Simulation& aSimulation,
                const std::string& aModel,
                const std::string& aVersion)
{
  const auto& targets = aSimulation.Targets();
  return std::all_of(targets.begin(), targets.end(), [&](const auto& aEntry) {
    return aEntry.second.model_ != aModel || aEntry.second.version_ == aVersion;
  });
}

} // namespace

TEST_CASE("records and slots are unchanged after their text form is parsed")
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
  Simulation simulation(3, Seed(1));
  simulation.Run(absl::Seconds(10));
  simulation.StartRollout("large", "v1");
  const auto duration = simulation.RunUntil(
    absl::Minutes(2), [&] { return simulation.IsDone("large", "v1"); });
  REQUIRE(simulation.IsDone("large", "v1"));
  REQUIRE(AllTargetsServe(simulation, "large", "v1"));
  REQUIRE(AllTargetsServe(simulation, "medium", "v0"));
  REQUIRE(simulation.MaxLoading() <= 2);
  simulation.Run(absl::Seconds(5));
  REQUIRE(simulation.SlotCount() == 0);
  const auto record = simulation.RecordOf("large");
  REQUIRE(record.doneTargets_ == 12);
  REQUIRE(record.totalTargets_ == 12);
  std::printf("rollout: targets=12 took_s=%.1f\n", ToSeconds(duration));
}

TEST_CASE("concurrent rollouts of all models keep to the common limit of loads")
{
  Simulation simulation(5, Seed(2));
  simulation.Run(absl::Seconds(10));
  for (const char* model : kModels) {
    simulation.StartRollout(model, "v1");
  }
  simulation.RunUntil(absl::Minutes(3), [&] {
    return std::all_of(kModels.begin(), kModels.end(), [&](const char* aModel) {
      return simulation.IsDone(aModel, "v1");
    });
  });
  for (const char* model : kModels) {
    REQUIRE(simulation.IsDone(model, "v1"));
  }
  REQUIRE(simulation.MaxLoading() == 2);
}

TEST_CASE("the rate of platform calls doesn't grow with the number of stewards")
{
  std::map<std::size_t, double> rates;
  for (const std::size_t count : { 5U, 50U }) {
    Simulation simulation(count, Seed(3));
    simulation.Run(absl::Minutes(1));
    const std::uint64_t before = simulation.PlatformCalls();
    simulation.Run(absl::Minutes(2));
    rates[count] = double(simulation.PlatformCalls() - before) / 120.0;
    std::printf(
      "idle: stewards=%zu platform_calls_per_s=%.2f\n", count, rates[count]);
  }
  REQUIRE(rates[50] < rates[5] * 1.3 + 1.0);
}

TEST_CASE("a rollout stops at the first failure and records the reason")
{
  Simulation simulation(3, Seed(4));
  simulation.Targets()["large3"].loadsFail_ = true;
  simulation.Run(absl::Seconds(10));
  simulation.StartRollout("large", "v1");
  simulation.RunUntil(absl::Minutes(2), [&] {
    return simulation.RecordOf("large").state_ == rollout::RolloutState::Failed;
  });
  const auto record = simulation.RecordOf("large");
  REQUIRE(record.state_ == rollout::RolloutState::Failed);
  REQUIRE(record.detail_.find("large3") != std::string::npos);
  simulation.Run(absl::Seconds(30));
  REQUIRE(!AllTargetsServe(simulation, "large", "v1"));
  REQUIRE(simulation.SlotCount() == 0);
  REQUIRE(simulation.LoadingCount() == 0);
  simulation.Targets()["large3"].loadsFail_ = false;
  simulation.StartRollout("large", "v2");
  simulation.RunUntil(absl::Minutes(2),
                      [&] { return simulation.IsDone("large", "v2"); });
  REQUIRE(simulation.IsDone("large", "v2"));
}

TEST_CASE("an operator starts, lists and stops rollouts")
{
  Simulation simulation(3, Seed(9));
  simulation.Run(absl::Seconds(10));
  const auto access = simulation.OperatorAccess({});
  std::vector<absl::optional<core::Error>> results;
  const auto onDone = [&](absl::optional<core::Error> aError) {
    results.push_back(std::move(aError));
  };
  rollout::StopRollout(access, "large", onDone);
  REQUIRE(results.back()->kind_ == core::ErrorKind::NotFound);
  rollout::StartRollout(access, "large", "v1", onDone);
  REQUIRE(!results.back());
  simulation.Run(absl::Seconds(4));
  rollout::StopRollout(access, "large", onDone);
  REQUIRE(!results.back());
  simulation.Run(absl::Seconds(30));
  REQUIRE(simulation.RecordOf("large").state_ ==
          rollout::RolloutState::Stopped);
  REQUIRE(!AllTargetsServe(simulation, "large", "v1"));
  REQUIRE(simulation.SlotCount() == 0);
  REQUIRE(simulation.LoadingCount() == 0);
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
  Simulation simulation(3, Seed(10));
  const auto access = simulation.OperatorAccess(
    { platform::Outcome::Absent, platform::Outcome::Lost });
  int done = 0;
  rollout::StartRollout(
    access, "large", "v1", [&](const absl::optional<core::Error>& aError) {
      REQUIRE(!aError);
      ++done;
    });
  REQUIRE(done == 1);
  REQUIRE(simulation.RecordOf("large").version_ == "v1");
  const auto out = simulation.OperatorAccess({ platform::Outcome::Lost });
  rollout::StopRollout(
    out, "large", [&](const absl::optional<core::Error>& aError) {
      REQUIRE(aError->kind_ == core::ErrorKind::PlatformUnavailable);
      ++done;
    });
  REQUIRE(done == 2);
}

TEST_CASE("a rollout waits for a target that can't be reached")
{
  Simulation simulation(3, Seed(5));
  auto& target = simulation.Targets()["medium2"];
  target.up_ = false;
  target.downSince_ = kStart;
  simulation.Run(absl::Seconds(10));
  simulation.StartRollout("medium", "v1");
  simulation.Run(absl::Minutes(1));
  auto record = simulation.RecordOf("medium");
  REQUIRE(record.state_ == rollout::RolloutState::Running);
  REQUIRE(record.doneTargets_ == 4);
  REQUIRE(record.detail_.find("medium2") != std::string::npos);
  target.up_ = true;
  simulation.RunUntil(absl::Minutes(1),
                      [&] { return simulation.IsDone("medium", "v1"); });
  REQUIRE(simulation.IsDone("medium", "v1"));
}

TEST_CASE("a target that returns with an old version is brought up to date")
{
  Simulation simulation(3, Seed(6));
  simulation.Run(absl::Seconds(10));
  simulation.StartRollout("medium", "v1");
  simulation.RunUntil(absl::Minutes(2),
                      [&] { return simulation.IsDone("medium", "v1"); });
  simulation.Targets()["medium1"].version_ = "v0";
  simulation.RunUntil(absl::Minutes(2), [&] {
    return AllTargetsServe(simulation, "medium", "v1");
  });
  REQUIRE(AllTargetsServe(simulation, "medium", "v1"));
}

TEST_CASE("another steward goes on with a rollout after its owner was killed "
          "at any step")
{
  for (int step = 0; step < 40; ++step) {
    Simulation simulation(3, Seed(7) + static_cast<std::uint64_t>(step));
    simulation.Run(absl::Seconds(10));
    simulation.StartRollout("large", "v1");
    simulation.Run(absl::Milliseconds(250) * step);
    auto* owner = simulation.FindOwner("large");
    REQUIRE(owner != nullptr);
    simulation.Kill(*owner);
    const auto duration = simulation.RunUntil(
      absl::Minutes(3), [&] { return simulation.IsDone("large", "v1"); });
    REQUIRE(simulation.IsDone("large", "v1"));
    REQUIRE(duration < absl::Minutes(2));
  }
}

TEST_CASE("a steward that is asked to stop releases its partitions at once")
{
  Simulation simulation(3, Seed(8));
  simulation.Run(absl::Seconds(10));
  simulation.StartRollout("large", "v1");
  simulation.Run(absl::Seconds(3));
  auto* owner = simulation.FindOwner("large");
  REQUIRE(owner != nullptr);
  simulation.DeliverEvent(*owner, rollout::StopRequested{});
  const auto stopped = simulation.RunUntil(
    absl::Seconds(30), [&] { return rollout::IsStopped(owner->state_); });
  REQUIRE(rollout::IsStopped(owner->state_));
  simulation.Kill(*owner);
  const auto next = simulation.RunUntil(absl::Seconds(30), [&] {
    return simulation.FindOwner("large") != nullptr;
  });
  std::printf("hand-over: stopped_s=%.1f next_owner_s=%.1f\n",
              ToSeconds(stopped),
              ToSeconds(next));
  REQUIRE(stopped < absl::Seconds(8));
  REQUIRE(next < absl::Seconds(5));
  simulation.RunUntil(absl::Minutes(2),
                      [&] { return simulation.IsDone("large", "v1"); });
  REQUIRE(simulation.IsDone("large", "v1"));
}

TEST_CASE(
  "a rollout completes after a frozen owner wakes up beside a new owner")
{
  for (int run = 0; run < 20; ++run) {
    Simulation simulation(3, Seed(100) + static_cast<std::uint64_t>(run));
    simulation.faults_.lateOrder_ = 0.5;
    simulation.slowFactor_ = 4.0;
    simulation.Run(absl::Seconds(10));
    simulation.StartRollout("large", "v1");
    simulation.Run(absl::Seconds(1) + absl::Milliseconds(170) * run);
    auto* owner = simulation.FindOwner("large");
    REQUIRE(owner != nullptr);
    owner->frozen_ = true;
    simulation.Run(absl::Seconds(16 + run % 8));
    simulation.StartRollout("large", "v2");
    simulation.Run(absl::Seconds(run % 5));
    simulation.Unfreeze(*owner);
    simulation.RunUntil(absl::Minutes(5),
                        [&] { return simulation.IsDone("large", "v2"); });
    REQUIRE(simulation.IsDone("large", "v2"));
    REQUIRE(AllTargetsServe(simulation, "large", "v2"));
  }
}

TEST_CASE("an order that was queued in a frozen process is not sent")
{
  for (int run = 0; run < 10; ++run) {
    Simulation simulation(3, Seed(300) + static_cast<std::uint64_t>(run));
    simulation.Run(absl::Seconds(10));
    simulation.StartRollout("large", "v1");
    const auto hasOrder = [&] {
      const auto* owner = simulation.FindOwner("large");
      return owner != nullptr && !owner->state_.pendingOrders_.empty();
    };
    while (!hasOrder()) {
      simulation.Run(absl::Milliseconds(1));
    }
    auto* owner = simulation.FindOwner("large");
    owner->frozen_ = true;
    simulation.Run(absl::Seconds(20));
    simulation.StartRollout("large", "v2");
    simulation.RunUntil(absl::Minutes(2),
                        [&] { return simulation.IsDone("large", "v2"); });
    REQUIRE(simulation.IsDone("large", "v2"));
    simulation.Unfreeze(*owner);
    simulation.Run(absl::Seconds(10));
    REQUIRE(AllTargetsServe(simulation, "large", "v2"));
  }
}

TEST_CASE("a write that was queued in a frozen process releases no slot")
{
  for (int run = 0; run < 40; ++run) {
    Simulation simulation(3, Seed(400) + static_cast<std::uint64_t>(run));
    simulation.slowFactor_ = 6.0;
    simulation.Run(absl::Seconds(10));
    simulation.StartRollout("large", "v1");
    const auto releasesSlot = [&] {
      const auto* owner = simulation.FindOwner("large");
      return owner != nullptr && !owner->state_.slots_.toRelease_.empty() &&
             owner->state_.slots_.commandPending_;
    };
    while (!releasesSlot()) {
      simulation.Run(absl::Milliseconds(1));
    }
    auto* owner = simulation.FindOwner("large");
    owner->frozen_ = true;
    simulation.Run(absl::Seconds(5));
    simulation.StartRollout("large", "v2");
    const auto isTakenOver = [&] {
      return simulation.FindOwner("large") != nullptr;
    };
    simulation.RunUntil(absl::Seconds(30), isTakenOver);
    REQUIRE(isTakenOver());
    simulation.Run(absl::Milliseconds(20) * run);
    simulation.Unfreeze(*owner);
    simulation.RunUntil(absl::Minutes(5),
                        [&] { return simulation.IsDone("large", "v2"); });
    REQUIRE(simulation.IsDone("large", "v2"));
  }
}

TEST_CASE("a delayed write takes no slot from a target that is loading")
{
  for (int run = 0; run < 20; ++run) {
    Simulation simulation(3, Seed(500) + static_cast<std::uint64_t>(run));
    simulation.faults_.lateWrite_ = 0.3;
    simulation.slowFactor_ = 6.0;
    simulation.Run(absl::Seconds(30));
    for (int version = 1; version <= 80; ++version) {
      for (const char* model : kModels) {
        if (simulation.RandomIndex(3) == 0) {
          simulation.StartRollout(model, "v" + std::to_string(version));
        }
      }
      simulation.Run(absl::Seconds(6 * simulation.RandomFraction()));
    }
    simulation.faults_ = {};
    simulation.StartRollout("large", "last");
    simulation.RunUntil(absl::Minutes(5),
                        [&] { return simulation.IsDone("large", "last"); });
    REQUIRE(simulation.IsDone("large", "last"));
  }
}

namespace {

// Injects random faults and rollouts into a simulation.
class FaultInjector
{
public:
  explicit FaultInjector(Simulation& aSimulation)
    : simulation_(aSimulation)
  {
  }

  // Ends the faults that are due, then starts one random fault or rollout.
  void Step()
  {
    EndDueFaults();
    const std::size_t index =
      simulation_.RandomIndex(simulation_.StewardCount());
    auto& steward = simulation_.Steward(index);
    switch (simulation_.RandomIndex(10)) {
      case 0:
      case 1:
        if (steward.up_ && !steward.frozen_) {
          steward.frozen_ = true;
          EndLater(1, 30, [this, &steward] { simulation_.Unfreeze(steward); });
        }
        return;
      case 2:
        if (steward.up_ && !steward.frozen_) {
          simulation_.Kill(steward);
          EndLater(
            0, 10, [this, &steward] { simulation_.StartSteward(steward); });
        }
        return;
      case 3:
        steward.disconnected_ = true;
        EndLater(1, 30, [&steward] { steward.disconnected_ = false; });
        return;
      case 4:
        simulation_.platformUp_ = false;
        EndLater(1, 20, [this] { simulation_.platformUp_ = true; });
        return;
      case 5:
        simulation_.slowFactor_ = 15.0;
        EndLater(5, 30, [this] { simulation_.slowFactor_ = 1.0; });
        return;
      default:
        StartRollout(kModels[simulation_.RandomIndex(kModels.size())]);
        return;
    }
  }

  std::uint64_t FinishedRollouts() const { return finishedRollouts_; }

  void EndAllFaults()
  {
    for (auto& end : ends_) {
      end.second();
    }
    ends_.clear();
    simulation_.faults_ = {};
  }

private:
  void StartRollout(const std::string& aModel)
  {
    const auto& before = versions_[aModel];
    finishedRollouts_ +=
      !before.empty() && simulation_.IsDone(aModel, before) ? 1 : 0;
    ++version_;
    versions_[aModel] = "v" + std::to_string(version_);
    simulation_.StartRollout(aModel, versions_[aModel]);
  }

  void EndLater(double aLeast, double aMost, std::function<void()> aEnd)
  {
    const double seconds =
      aLeast + (aMost - aLeast) * simulation_.RandomFraction();
    ends_.emplace(simulation_.Now() + absl::Seconds(seconds), std::move(aEnd));
  }

  void EndDueFaults()
  {
    while (!ends_.empty() && ends_.begin()->first <= simulation_.Now()) {
      const auto end = ends_.begin()->second;
      ends_.erase(ends_.begin());
      end();
    }
  }

  Simulation& simulation_;
  std::multimap<absl::Time, std::function<void()>> ends_;
  std::map<std::string, std::string> versions_;
  int version_ = 1;
  std::uint64_t finishedRollouts_ = 0;
};

} // namespace

TEST_CASE(
  "random faults break no limit and leave no target with an old version")
{
  constexpr int kRuns = 30;
  constexpr int kSteps = 200;
  std::uint64_t orders = 0;
  std::uint64_t finished = 0;
  for (int run = 0; run < kRuns; ++run) {
    Simulation simulation(4, Seed(1000) + static_cast<std::uint64_t>(run));
    simulation.faults_ = { 0.01, 0.03, 0.02, 0.05, 0.1 };
    FaultInjector injector(simulation);
    for (int step = 0; step < kSteps; ++step) {
      simulation.Run(absl::Seconds(6.0 * simulation.RandomFraction()));
      injector.Step();
    }
    orders += simulation.ReceivedOrders();
    finished += injector.FinishedRollouts();
    injector.EndAllFaults();
    for (const char* model : kModels) {
      simulation.StartRollout(model, "last");
    }
    simulation.RunUntil(absl::Minutes(6), [&] {
      return std::all_of(
        kModels.begin(), kModels.end(), [&](const char* aModel) {
          return simulation.IsDone(aModel, "last");
        });
    });
    for (const char* model : kModels) {
      INFO("run " << run << " model " << model << " "
                  << rollout::FormatRecord(simulation.RecordOf(model)));
      REQUIRE(simulation.IsDone(model, "last"));
    }
    for (const auto& [name, target] : simulation.Targets()) {
      REQUIRE(target.version_ == target.newestVersion_);
    }
  }
  std::printf("random faults: runs=%d orders=%llu rollouts_finished=%llu\n",
              kRuns,
              static_cast<unsigned long long>(orders),
              static_cast<unsigned long long>(finished));
  REQUIRE(orders > 900U);
}
