#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>

#include "lycheeplank/overload.h"

// Plays hosts and targets under overload in virtual time, without a network.
// Targets have slots, memory and a prompt speed; hosts know their loads late.

namespace fleet = lycheeplank::fleet;
namespace overload = lycheeplank::overload;
namespace request_queue = lycheeplank::request_queue;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kTick = absl::Milliseconds(25);
constexpr std::size_t kWorkspaces = 12;
constexpr std::size_t kSlots = 48;
constexpr absl::Duration kStep = absl::Microseconds(3600);
constexpr std::uint64_t kOutputLimit = 400;
const std::string kService("s");

struct Kind
{
  std::uint32_t priority_ = 0;
  std::uint64_t prompt_ = 0;
  // Tokens of the prompt that the target has to compute.
  std::uint64_t computed_ = 0;
  absl::Duration goal_;
  // Requests per second and target.
  double rate_ = 0.0;
};

struct Deployment
{
  std::array<Kind, 2> kinds_;
  std::uint64_t memory_ = 0;
  double promptTokensPerMs_ = 0.0;
};

// Long prompts and short ones; the short ones are more urgent in the first
// deployment and less urgent in the second one.
const Deployment kShortFirst{
  { { { 1, 12000, 6000, absl::Milliseconds(600), 2.3 },
      { 0, 2400, 2400, absl::Milliseconds(400), 11.3 } } },
  127650,
  112.0
};
const Deployment kLongFirst{
  { { { 0, 12000, 6000, absl::Milliseconds(1000), 1.8 },
      { 2, 2400, 2400, absl::Milliseconds(2000), 7.0 } } },
  95200,
  56.6
};

// What makes the load heavy.
struct Load
{
  const char* name_ = "";
  // Factors of the kinds' rates between two and seven seconds.
  std::array<double, 2> burst_{ 1.0, 1.0 };
  // Factor of the first workspace's rate.
  double flood_ = 1.0;
  // All long prompts share one part that no store holds.
  bool isHot_ = false;
  // Share of the targets that crash at three seconds and again at five, for
  // 1.5 s each.
  double crashed_ = 0.0;
  // Callers repeat refused requests at once and often.
  bool isImpatient_ = false;
};

const std::array<Load, 6> kLoads{ {
  { "burst of long prompts", { 8.0, 1.0 } },
  { "burst of short prompts", { 1.0, 6.0 } },
  { "a workspace that floods", { 2.0, 2.0 }, 16.0 },
  { "a hot prompt", { 6.0, 1.5 }, 1.0, true },
  { "waves of crashes", { 3.0, 3.0 }, 1.0, false, 0.5 },
  { "callers that repeat at once", { 5.0, 5.0 }, 1.0, false, 0.0, true },
} };

struct Call
{
  std::size_t kind_ = 0;
  std::size_t workspace_ = 0;
  absl::Time firstAt_;
  absl::Time leavesAt_;
  std::uint64_t output_ = 0;
  // At its present host.
  absl::Time arrivedAt_;
  std::size_t host_ = 0;
  std::uint64_t waiter_ = 0;
  int tries_ = 0;
  bool isAnswered_ = false;
  bool isInTime_ = false;
};

struct Run
{
  std::size_t call_ = 0;
  std::uint32_t priority_ = 0;
  std::uint64_t number_ = 0;
  bool isAdmitted_ = false;
  double promptLeft_ = 0.0;
  double written_ = 0.0;
};

struct Snapshot
{
  std::uint64_t held_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t urgent_ = 0;
  std::uint64_t other_ = 0;
};

struct Target
{
  std::vector<Run> runs_;
  std::deque<Snapshot> history_;
  absl::Time downUntil_ = absl::InfinitePast();
};

struct RecentSend
{
  absl::Time at_;
  std::size_t target_ = 0;
  std::uint64_t held_ = 0;
};

struct SimHost
{
  request_queue::Queue queue_;
  std::map<std::uint64_t, std::size_t> waiters_;
  fleet::SendRate sendRate_;
  overload::Loads loads_;
  std::deque<RecentSend> recent_;
};

struct Count
{
  double asked_ = 0.0;
  double served_ = 0.0;
  double inTime_ = 0.0;

  double Served() const { return served_ / std::max(1.0, asked_); }
};

// The callers' count.
struct Result
{
  Count all_;
  std::array<Count, 2> kinds_;
  std::array<Count, kWorkspaces> workspaces_;
};

class Sim
{
public:
  Sim(const Deployment& aDeployment,
      const Load& aLoad,
      std::size_t aHosts,
      bool aByPriority)
    : deployment_(aDeployment)
    , load_(aLoad)
    , byPriority_(aByPriority)
    , isLarge_(aHosts > 30)
    , delay_(absl::Milliseconds(isLarge_ ? 300 : 100))
    , hosts_(aHosts)
    , targets_(isLarge_ ? aHosts / 3 : aHosts)
    , random_(1)
  {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      fleet::Target target;
      target.id_ = absl::StrCat("t", 1000 + i);
      target.service_ = kService;
      target.slots_ = kSlots;
      target.weights_["m"] = 1;
      fleet::UpdateTarget(members_, target, { 0, 1 }, kStart);
    }
    for (auto& [id, member] : members_) {
      byIndex_.push_back(&member);
    }
  }

  Result Play()
  {
    for (; now_ < kStart + absl::Seconds(10); now_ += kTick) {
      for (auto& target : targets_) {
        Work(target);
      }
      Crash();
      Report();
      Arrive();
      auto due = std::exchange(retries_, {});
      for (const auto& [at, call] : due) {
        if (at <= now_) {
          Submit(call);
        } else {
          retries_.emplace(at, call);
        }
      }
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        StartWaiting(hosts_[i]);
      }
    }
    Result result;
    for (const auto& call : calls_) {
      for (auto* count : { &result.all_,
                           &result.kinds_.at(call.kind_),
                           &result.workspaces_.at(call.workspace_) }) {
        count->asked_ += 1.0;
        count->served_ += call.isAnswered_ ? 1.0 : 0.0;
        count->inTime_ += call.isInTime_ ? 1.0 : 0.0;
      }
    }
    return result;
  }

private:
  const Kind& KindOf(const Call& aCall) const
  {
    return deployment_.kinds_.at(aCall.kind_);
  }

  std::uint64_t Held(const Call& aCall) const
  {
    return KindOf(aCall).prompt_ +
           static_cast<std::uint64_t>(fleet::kMeanOutputShare * kOutputLimit);
  }

  void Arrive()
  {
    const auto time = now_ - kStart;
    const bool isBurst = time > absl::Seconds(2) && time < absl::Seconds(7);
    // No calls that could not be answered before the end.
    if (time > absl::Seconds(8)) {
      return;
    }
    for (std::size_t kind = 0; kind < 2; ++kind) {
      for (std::size_t space = 0; space < kWorkspaces; ++space) {
        const double rate = deployment_.kinds_.at(kind).rate_ *
                            static_cast<double>(targets_.size()) / kWorkspaces *
                            (isBurst ? load_.burst_.at(kind) : 1.0) *
                            (isBurst && space == 0 ? load_.flood_ : 1.0);
        std::poisson_distribution<int> count(rate *
                                             absl::ToDoubleSeconds(kTick));
        for (int i = count(arrivals_); i > 0; --i) {
          Call call{ kind, space, now_ };
          call.leavesAt_ =
            now_ +
            std::max(absl::Seconds(2), 4 * deployment_.kinds_.at(kind).goal_);
          call.output_ = kOutputLimit / 4 + arrivals_() % (kOutputLimit / 2);
          calls_.push_back(call);
          Submit(calls_.size() - 1);
        }
      }
    }
  }

  // The call arrives at a random host.
  void Submit(std::size_t aCall)
  {
    auto& call = calls_[aCall];
    if (now_ >= call.leavesAt_) {
      return;
    }
    call.arrivedAt_ = now_;
    call.host_ = random_() % hosts_.size();
    call.waiter_ = 0;
    ++call.tries_;
    auto& host = hosts_[call.host_];
    const auto entry = EntryOf(call);
    if (byPriority_) {
      fleet::RecordArrival(
        host.loads_[kService], entry.priority_, entry.tokens_, now_);
    }
    if ((byPriority_ && request_queue::MustWait(host.queue_, entry, now_)) ||
        !TryToSend(aCall)) {
      Enqueue(aCall);
    }
  }

  request_queue::QueuedRequest EntryOf(const Call& aCall) const
  {
    const auto margin = absl::Milliseconds(300);
    const auto& kind = KindOf(aCall);
    return { aCall.waiter_,
             aCall.arrivedAt_,
             aCall.arrivedAt_ + kind.goal_ - margin,
             aCall.arrivedAt_ + std::max(absl::Seconds(2), 4 * kind.goal_) -
               margin,
             static_cast<double>(Held(aCall)) <=
               request_queue::kSmallRequestShare *
                 static_cast<double>(deployment_.memory_),
             kService,
             absl::StrCat("w", aCall.workspace_),
             kind.priority_,
             Held(aCall) };
  }

  void Enqueue(std::size_t aCall)
  {
    auto& call = calls_[aCall];
    auto& host = hosts_[call.host_];
    auto entry = EntryOf(call);
    if (byPriority_) {
      const auto situation =
        overload::Assess(host.queue_, host.loads_[kService], entry, now_);
      if (overload::Decide(situation).action_ == overload::Action::Refuse) {
        Refuse(aCall);
        return;
      }
    }
    entry.id_ = nextWaiter_++;
    if (byPriority_) {
      request_queue::AddRequest(host.queue_, entry, now_);
    } else if (request_queue::Enqueue(host.queue_, entry, now_)) {
      Refuse(aCall);
      return;
    }
    call.waiter_ = entry.id_;
    host.waiters_[entry.id_] = aCall;
  }

  // The caller tries again up to three times, or ten times if it is impatient.
  void Refuse(std::size_t aCall)
  {
    auto& call = calls_[aCall];
    auto& host = hosts_[call.host_];
    std::uniform_real_distribution<> draw(0.0, 1.0);
    auto pause = absl::Milliseconds(200) * (0.5 + draw(random_));
    if (byPriority_) {
      auto situation = overload::Assess(
        host.queue_, host.loads_[kService], EntryOf(call), now_);
      situation.draw_ = draw(random_);
      pause = overload::RetryAfter(situation);
    }
    pause = load_.isImpatient_ ? absl::Milliseconds(20)
                               : std::min(pause, (call.leavesAt_ - now_) / 3);
    if (call.tries_ <= (load_.isImpatient_ ? 10 : 3)) {
      retries_.emplace(now_ + pause, aCall);
    }
  }

  // Sends a call to a target that has memory for it; returns whether there is
  // one.
  bool TryToSend(std::size_t aCall)
  {
    auto& call = calls_[aCall];
    auto& host = hosts_[call.host_];
    const auto& kind = KindOf(call);
    const auto entry = EntryOf(call);
    fleet::RequestSpec spec;
    spec.service_ = kService;
    spec.model_ = "m";
    spec.costs_ = { { 1, absl::ZeroDuration(), kind.computed_ } };
    if (load_.isHot_ && call.kind_ == 0) {
      spec.affinity_ = "hot";
      spec.costs_.front().uncachedTokens_ = kind.prompt_ - kind.computed_;
    }
    spec.heldTokens_ = Held(call);
    spec.memoryTokens_ = deployment_.memory_;
    spec.isUrgent_ = kind.priority_ == 0;
    spec.goal_ =
      std::max(absl::Milliseconds(100), call.arrivedAt_ + kind.goal_ - now_);
    spec.seed_ = random_();
    spec.useSampling_ = isLarge_;
    if (isLarge_) {
      spec.unreportedTokens_ = fleet::EstimateUnreportedTokens(
        host.sendRate_, hosts_.size(), targets_.size(), delay_, now_);
    }
    auto& loads = host.loads_[kService];
    if (byPriority_) {
      spec.waitsByPriority_ = true;
      spec.yieldingShare_ = fleet::YieldingShare(loads, kind.priority_);
      spec.reservedTokens_ =
        std::max(fleet::EstimateReserve(
                   loads, kind.priority_, hosts_.size(), targets_.size(), now_),
                 static_cast<double>(
                   request_queue::LargestBefore(host.queue_, entry, now_)));
    }
    while (!host.recent_.empty() && now_ - host.recent_.front().at_ >= delay_) {
      host.recent_.pop_front();
    }
    for (const auto& sent : host.recent_) {
      auto& member = *byIndex_[sent.target_];
      member.heldTokens_ += sent.held_;
      if (now_ - sent.at_ <= fleet::kPeerReportDelay) {
        member.recentTokens_ += sent.held_;
        member.recentSince_ = sent.at_;
      }
    }
    spec.hostsWaiting_ = host.queue_.entries_.empty() ? 0 : hosts_.size();
    const auto choice = fleet::ChooseTarget(members_, spec, Speed(), now_);
    for (const auto& sent : host.recent_) {
      auto& member = *byIndex_[sent.target_];
      member.heldTokens_ -= sent.held_;
      member.recentTokens_ = 0;
      member.recentSince_ = absl::InfinitePast();
    }
    if (choice.id_.empty() || choice.memoryFull_) {
      return false;
    }
    const auto index = static_cast<std::size_t>(
      std::distance(members_.begin(), members_.find(choice.id_)));
    if (call.waiter_ != 0) {
      request_queue::StartRequest(host.queue_, call.waiter_, now_);
      host.waiters_.erase(call.waiter_);
      call.waiter_ = 0;
    } else if (byPriority_) {
      request_queue::RecordStart(host.queue_, entry, now_);
    }
    fleet::RecordSend(host.sendRate_, spec.heldTokens_, now_);
    fleet::RecordPrioritySend(loads, kind.priority_, spec.heldTokens_);
    host.recent_.push_back({ now_, index, spec.heldTokens_ });
    targets_[index].runs_.push_back({ aCall,
                                      kind.priority_,
                                      nextRun_++,
                                      false,
                                      static_cast<double>(kind.computed_) });
    return true;
  }

  fleet::EngineSpeed Speed() const
  {
    fleet::EngineSpeed speed;
    speed.promptTokensPerSecond_ = 1000.0 * deployment_.promptTokensPerMs_;
    return speed;
  }

  void StartWaiting(SimHost& aHost)
  {
    if (aHost.queue_.entries_.empty()) {
      return;
    }
    auto gone = request_queue::RemoveExpired(aHost.queue_, now_);
    if (byPriority_) {
      for (const auto id :
           overload::RemoveHopeless(aHost.queue_, aHost.loads_, now_)) {
        gone.push_back(id);
      }
    }
    for (const auto id : gone) {
      const auto waiter = aHost.waiters_.extract(id);
      calls_[waiter.mapped()].waiter_ = 0;
      Refuse(waiter.mapped());
    }
    if (byPriority_) {
      request_queue::Pass pass;
      for (const auto& entry : request_queue::StartOrder(aHost.queue_, now_)) {
        if (request_queue::MayPass(pass, entry) &&
            !TryToSend(aHost.waiters_.at(entry.id_))) {
          request_queue::RecordBlocked(pass, entry);
        }
      }
      return;
    }
    for (const auto id : request_queue::SmallRequests(aHost.queue_)) {
      if (!TryToSend(aHost.waiters_.at(id))) {
        break;
      }
    }
    while (const auto id = request_queue::NextToStart(aHost.queue_, now_)) {
      if (!TryToSend(aHost.waiters_.at(*id))) {
        break;
      }
    }
  }

  // Returns the memory that a run takes at its target.
  double Size(const Run& aRun) const
  {
    return static_cast<double>(KindOf(calls_[aRun.call_]).prompt_) +
           aRun.written_;
  }

  // Evicts the newest of the least urgent runs; returns its size, or 0 if all
  // are as urgent as aPriority.
  double Evict(Target& aTarget, std::int64_t aPriority)
  {
    Run* victim = nullptr;
    for (auto& run : aTarget.runs_) {
      if (run.isAdmitted_ && std::int64_t{ run.priority_ } > aPriority &&
          (victim == nullptr ||
           std::tie(run.priority_, run.number_) >
             std::tie(victim->priority_, victim->number_))) {
        victim = &run;
      }
    }
    if (victim == nullptr) {
      return 0.0;
    }
    victim->isAdmitted_ = false;
    victim->promptLeft_ =
      static_cast<double>(KindOf(calls_[victim->call_]).computed_);
    return Size(*victim);
  }

  // One tick of a target.
  void Work(Target& aTarget)
  {
    auto& runs = aTarget.runs_;
    runs.erase(std::remove_if(
                 runs.begin(),
                 runs.end(),
                 [this](const Run& aRun) {
                   const auto& call = calls_[aRun.call_];
                   return aRun.written_ >= static_cast<double>(call.output_) ||
                          (!call.isAnswered_ && call.leavesAt_ <= now_);
                 }),
               runs.end());
    std::sort(
      runs.begin(), runs.end(), [](const Run& aLeft, const Run& aRight) {
        return std::tie(aLeft.priority_, aLeft.number_) <
               std::tie(aRight.priority_, aRight.number_);
      });
    const auto memory = static_cast<double>(deployment_.memory_);
    double used = 0.0;
    std::size_t admitted = 0;
    for (const auto& run : runs) {
      used += run.isAdmitted_ ? Size(run) : 0.0;
      admitted += run.isAdmitted_ ? 1 : 0;
    }
    while (used > memory) {
      used -= Evict(aTarget, -1);
    }
    for (auto& run : runs) {
      if (run.isAdmitted_) {
        continue;
      }
      for (double freed = 1.0; used + Size(run) > memory && freed > 0.0;) {
        freed = Evict(aTarget, run.priority_);
        used -= freed;
      }
      if (used + Size(run) > memory || admitted >= kSlots) {
        break;
      }
      run.isAdmitted_ = true;
      used += Size(run);
      ++admitted;
    }
    double budget =
      deployment_.promptTokensPerMs_ * absl::ToDoubleMilliseconds(kTick);
    for (auto& run : runs) {
      const double read =
        run.isAdmitted_ ? std::min(budget, run.promptLeft_) : 0.0;
      budget -= read;
      run.promptLeft_ -= read;
      if (!run.isAdmitted_ || run.promptLeft_ > 0.0) {
        continue;
      }
      auto& call = calls_[run.call_];
      if (!std::exchange(call.isAnswered_, true)) {
        call.isInTime_ = now_ <= call.firstAt_ + KindOf(call).goal_;
      }
      run.written_ += absl::FDivDuration(kTick, kStep);
    }
  }

  // Targets crash; their calls without an answer are tried again.
  void Crash()
  {
    const auto time = now_ - kStart;
    if (time != absl::Seconds(3) && time != absl::Seconds(5)) {
      return;
    }
    const auto count = static_cast<std::size_t>(
      load_.crashed_ * static_cast<double>(targets_.size()));
    for (std::size_t i = 0; i < count; ++i) {
      byIndex_[i]->quarantinedUntil_ = now_ + absl::Seconds(1.5);
      for (const auto& run : std::exchange(targets_[i].runs_, {})) {
        if (!calls_[run.call_].isAnswered_) {
          retries_.emplace(now_ + kTick, run.call_);
        }
      }
    }
  }

  // Hosts learn the loads as they were some time ago.
  void Report()
  {
    heldShare_ =
      fleet::HeldShare(members_, kService, deployment_.memory_, now_);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      Snapshot snapshot;
      for (const auto& run : targets_[i].runs_) {
        const auto& call = calls_[run.call_];
        snapshot.held_ += Held(call);
        ++snapshot.running_;
        if (!call.isAnswered_) {
          (run.priority_ == 0 ? snapshot.urgent_ : snapshot.other_) +=
            KindOf(call).computed_;
        }
      }
      auto& history = targets_[i].history_;
      history.push_back(snapshot);
      if (history.size() >
          static_cast<std::size_t>(absl::FDivDuration(delay_, kTick))) {
        history.pop_front();
      }
      auto& member = *byIndex_[i];
      member.heldTokens_ = history.front().held_;
      member.inFlight_ = history.front().running_;
      member.urgentTokens_ = history.front().urgent_;
      member.otherTokens_ = history.front().other_;
    }
  }

  const Deployment& deployment_;
  const Load& load_;
  const bool byPriority_;
  const bool isLarge_;
  const absl::Duration delay_;
  std::vector<SimHost> hosts_;
  std::vector<Target> targets_;
  std::mt19937_64 random_;
  // The same for both orders.
  std::mt19937_64 arrivals_{ 2 };
  fleet::Members members_;
  std::vector<fleet::Member*> byIndex_;
  std::vector<Call> calls_;
  std::multimap<absl::Time, std::size_t> retries_;
  std::uint64_t nextWaiter_ = 1;
  std::uint64_t nextRun_ = 1;
  absl::Time now_ = kStart;
  double heldShare_ = 0.0;
};

std::string
Describe(const Result& aResult)
{
  std::string text = absl::StrFormat("in time %5.0f", aResult.all_.inTime_);
  for (const auto& kind : aResult.kinds_) {
    absl::StrAppendFormat(&text,
                          ", kind %5.0f %.2f %.2f",
                          kind.asked_,
                          kind.Served(),
                          kind.inTime_ / std::max(1.0, kind.asked_));
  }
  double least = 1.0;
  for (const auto& workspace : aResult.workspaces_) {
    least = std::min(least, workspace.Served());
  }
  absl::StrAppendFormat(&text, ", least workspace %.2f", least);
  return text;
}

} // namespace

// Guards against kinds that are served less often than less urgent ones,
// against workspaces that get too little, and against an order that serves
// fewer requests within their goals than the one without priorities. The loads
// are bursts by kind, one workspace that floods, a hot prompt, waves of crashes
// and callers that repeat at once.
TEST_CASE("under overload urgent kinds and all workspaces are served")
{
  for (const auto* deployment : { &kShortFirst, &kLongFirst }) {
    const auto& kinds = deployment->kinds_;
    const std::size_t urgent = kinds[0].priority_ < kinds[1].priority_ ? 0 : 1;
    for (const std::size_t hosts : { 8, 78, 300 }) {
      double inTime = 0.0;
      double presentInTime = 0.0;
      std::string figures;
      for (const auto& load : kLoads) {
        const auto result = Sim(*deployment, load, hosts, true).Play();
        const auto present = Sim(*deployment, load, hosts, false).Play();
        absl::StrAppendFormat(&figures,
                              "%s, %d hosts\n  by priority: %s\n"
                              "  present:     %s\n",
                              load.name_,
                              hosts,
                              Describe(result),
                              Describe(present));
        INFO(figures);
        CHECK(result.kinds_.at(urgent).Served() >=
              result.kinds_.at(1 - urgent).Served() - 0.05);
        for (const auto& workspace : result.workspaces_) {
          CHECK(workspace.Served() >= 0.25 * result.all_.Served());
        }
        inTime += result.all_.inTime_;
        presentInTime += present.all_.inTime_;
      }
      // All loads together: some of them, such as a burst of the less urgent
      // kind alone, leave the order of priorities nothing to gain.
      INFO(figures);
      CHECK(inTime > presentInTime);
    }
  }
}
