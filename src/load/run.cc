#include "load/run.h"

#include <atomic>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/blocking_counter.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "load/flight.h"

namespace lycheeplank::load {

namespace {

constexpr unsigned kClientThreads = 2;
constexpr absl::Duration kProgressPeriod = absl::Seconds(10);
constexpr std::size_t kRunNameDigits = 12;

// Prompts are made before the first arrival, so that making them delays none.
std::vector<FlightPlan>
MakePlans(const Trace& aTrace, std::uint32_t aBlockTokens)
{
  std::vector<FlightPlan> plans;
  for (std::size_t at = 0; at < aTrace.arrivals_.size(); ++at) {
    const Arrival& arrival = aTrace.arrivals_[at];
    plans.push_back({ arrival,
                      at,
                      TraitsOf(arrival.task_).service_.empty()
                        ? PromptOf(aTrace, arrival, aBlockTokens)
                        : std::string() });
  }
  return plans;
}

void
Launch(FlightContext& aContext, FlightPlan aPlan, OnLanded aOnLanded)
{
  if (TraitsOf(aPlan.arrival_.task_).service_.empty()) {
    StartCompletion(aContext, std::move(aPlan), std::move(aOnLanded));
  } else {
    StartServiceCall(aContext, std::move(aPlan), std::move(aOnLanded));
  }
}

// What comes at its time while the requests are sent.
struct Schedule
{
  absl::Time start_;
  absl::Time nextProgress_;
  bool faultsSent_ = false;
};

// Causes the faults if they come before the given time.
void
CauseFaults(RunResult& aResult,
            Schedule& aSchedule,
            const FaultPlan& aFaults,
            absl::Time aBefore)
{
  const absl::Time due = aSchedule.start_ + aFaults.at_;
  if (aSchedule.faultsSent_ || due > aBefore) {
    return;
  }
  aSchedule.faultsSent_ = true;
  absl::SleepFor(due - absl::Now());
  net::Client client;
  aResult.unconfirmed_ = SendOrders(client, aFaults.orders_);
  for (const FaultOrder& order : aFaults.orders_) {
    LOG(INFO) << "event=fault_sent member=" << order.member_.name_
              << " order=" << order.body_;
  }
}

void
LogProgress(Schedule& aSchedule,
            std::size_t aSent,
            std::size_t aLanded,
            std::size_t aAll)
{
  const absl::Time now = absl::Now();
  if (now < aSchedule.nextProgress_) {
    return;
  }
  aSchedule.nextProgress_ = now + kProgressPeriod;
  LOG(INFO) << "event=run_progress seconds="
            << absl::ToInt64Seconds(now - aSchedule.start_) << " sent=" << aSent
            << " ended=" << aLanded << " requests=" << aAll;
}

// Sends all requests at their times and waits for their outcomes.
void
FlyAll(FlightContext& aContext,
       std::vector<FlightPlan> aPlans,
       const FaultPlan& aFaults,
       RunResult& aResult)
{
  std::vector<Outcome>& outcomes = aResult.outcomes_;
  outcomes.resize(aPlans.size());
  absl::BlockingCounter open(static_cast<int>(aPlans.size()));
  std::atomic<std::size_t> landed = 0;
  const absl::Time start = absl::Now();
  Schedule schedule{ start, start + kProgressPeriod, aFaults.orders_.empty() };
  for (FlightPlan& plan : aPlans) {
    const absl::Time due = start + plan.arrival_.at_;
    CauseFaults(aResult, schedule, aFaults, due);
    absl::SleepFor(due - absl::Now());
    const absl::Duration lag = absl::Now() - due;
    LogProgress(schedule, plan.index_, landed, outcomes.size());
    Outcome& slot = outcomes[plan.index_];
    Launch(aContext,
           std::move(plan),
           [&slot, &open, &landed, lag](Outcome&& aOutcome) {
             slot = std::move(aOutcome);
             slot.startLag_ = lag;
             ++landed;
             open.DecrementCount();
           });
  }
  CauseFaults(aResult, schedule, aFaults, absl::InfiniteFuture());
  open.Wait();
  aResult.took_ = absl::Now() - start;
}

// Ends the faults, so that all members can be asked.
void
EndFaults(net::Client& aClient, const FaultPlan& aFaults, RunResult& aResult)
{
  const auto unconfirmed = SendOrders(aClient, PlanRepair(aFaults.orders_));
  aResult.unconfirmed_.insert(
    aResult.unconfirmed_.end(), unconfirmed.begin(), unconfirmed.end());
}

std::vector<std::string>
ListOf(const absl::btree_set<std::string>& aVersions)
{
  return { aVersions.begin(), aVersions.end() };
}

} // namespace

RunResult
RunTrace(const Cluster& aCluster,
         const TraceOptions& aOptions,
         const FaultPlan& aFaults)
{
  RunResult result;
  TraceOptions options = aOptions;
  options.workspaces_ = static_cast<std::uint32_t>(aCluster.workspaces_.size());
  result.trace_ = MakeTrace(options);
  net::Client client(kClientThreads);
  net::Client observer;
  result.hardware_ = ReadHardware(observer, aCluster);
  result.bound_ = SummariseBound(
    ClairvoyantBound(result.trace_, result.hardware_), options.warmUp_);
  const Baseline baseline = TakeBaseline(observer, aCluster);
  EntryBook entries(client, aCluster);
  standin::Loop loop;
  FlightContext context{
    client,
    entries,
    loop,
    aCluster,
    result.hardware_.model_,
    ListOf(ReadWeightVersions(observer, aCluster)),
    absl::StrCat("load-", core::RandomId().substr(0, kRunNameDigits))
  };
  LOG(INFO) << "event=run_started requests=" << result.trace_.arrivals_.size()
            << " documents=" << result.trace_.documents_.size();
  FlyAll(context,
         MakePlans(result.trace_, result.hardware_.blockTokens_),
         aFaults,
         result);
  loop.Stop();
  EndFaults(observer, aFaults, result);
  result.audit_ = TakeAudit(observer, aCluster, baseline);
  return result;
}

} // namespace lycheeplank::load
