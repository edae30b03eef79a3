#include "load/run.h"

#include <atomic>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/blocking_counter.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "load/request.h"

namespace lycheeplank::load {

namespace {

constexpr unsigned kClientThreads = 2;
constexpr absl::Duration kProgressPeriod = absl::Seconds(10);
constexpr std::size_t kRunNameDigits = 12;

// Prepares all requests. Prompts are generated before the first arrival so that
// their generation delays no request.
std::vector<PlannedRequest>
MakePlans(const Trace& aTrace, std::uint32_t aBlockTokens)
{
  std::vector<PlannedRequest> plans;
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
StartRequest(RequestContext& aContext,
             PlannedRequest aPlan,
             OnFinished aOnFinished)
{
  if (TraitsOf(aPlan.arrival_.task_).service_.empty()) {
    StartCompletion(aContext, std::move(aPlan), std::move(aOnFinished));
  } else {
    StartServiceCall(aContext, std::move(aPlan), std::move(aOnFinished));
  }
}

// The timed events that take place while the requests are sent.
struct Schedule
{
  absl::Time start_;
  absl::Time nextProgress_;
  bool faultsSent_ = false;
};

// Waits for the time of the faults and injects them if they are due by the
// given time.
void
InjectFaultsIfDue(RunResult& aResult,
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
  aResult.unconfirmed_ = SendFaultCommands(client, aFaults.commands_);
  for (const FaultCommand& command : aFaults.commands_) {
    LOG(INFO) << "event=fault_sent member=" << command.member_.name_
              << " order=" << command.body_;
  }
}

void
LogProgress(Schedule& aSchedule,
            std::size_t aSent,
            std::size_t aFinished,
            std::size_t aTotal)
{
  const absl::Time now = absl::Now();
  if (now < aSchedule.nextProgress_) {
    return;
  }
  aSchedule.nextProgress_ = now + kProgressPeriod;
  LOG(INFO) << "event=run_progress seconds="
            << absl::ToInt64Seconds(now - aSchedule.start_) << " sent=" << aSent
            << " ended=" << aFinished << " requests=" << aTotal;
}

// Sends all requests at their arrival times and waits for their outcomes.
void
SendAll(RequestContext& aContext,
        std::vector<PlannedRequest> aPlans,
        const FaultPlan& aFaults,
        RunResult& aResult)
{
  std::vector<Outcome>& outcomes = aResult.outcomes_;
  outcomes.resize(aPlans.size());
  absl::BlockingCounter pending(static_cast<int>(aPlans.size()));
  std::atomic<std::size_t> finished = 0;
  const absl::Time start = absl::Now();
  Schedule schedule{ start,
                     start + kProgressPeriod,
                     aFaults.commands_.empty() };
  for (PlannedRequest& plan : aPlans) {
    const absl::Time due = start + plan.arrival_.at_;
    InjectFaultsIfDue(aResult, schedule, aFaults, due);
    absl::SleepFor(due - absl::Now());
    const absl::Duration lag = absl::Now() - due;
    LogProgress(schedule, plan.index_, finished, outcomes.size());
    Outcome& slot = outcomes[plan.index_];
    StartRequest(aContext,
                 std::move(plan),
                 [&slot, &pending, &finished, lag](Outcome&& aOutcome) {
                   slot = std::move(aOutcome);
                   slot.startLag_ = lag;
                   ++finished;
                   pending.DecrementCount();
                 });
  }
  InjectFaultsIfDue(aResult, schedule, aFaults, absl::InfiniteFuture());
  pending.Wait();
  aResult.elapsed_ = absl::Now() - start;
}

// Ends the faults so that all members can answer the audit.
void
EndFaults(net::Client& aClient, const FaultPlan& aFaults, RunResult& aResult)
{
  const auto unconfirmed =
    SendFaultCommands(aClient, PlanRecovery(aFaults.commands_));
  aResult.unconfirmed_.insert(
    aResult.unconfirmed_.end(), unconfirmed.begin(), unconfirmed.end());
}

std::vector<std::string>
ToVector(const absl::btree_set<std::string>& aVersions)
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
  net::Client auditClient;
  result.hardware_ = ReadHardware(auditClient, aCluster);
  result.bound_ = SummariseBound(
    ClairvoyantBound(result.trace_, result.hardware_), options.warmUp_);
  const Baseline baseline = ReadBaseline(auditClient, aCluster);
  EntryDirectory entries(client, aCluster);
  standin::Loop loop;
  RequestContext context{
    client,
    entries,
    loop,
    aCluster,
    result.hardware_.model_,
    ToVector(ReadWeightVersions(auditClient, aCluster)),
    absl::StrCat("load-", core::RandomId().substr(0, kRunNameDigits))
  };
  LOG(INFO) << "event=run_started requests=" << result.trace_.arrivals_.size()
            << " documents=" << result.trace_.documents_.size();
  SendAll(context,
          MakePlans(result.trace_, result.hardware_.blockTokens_),
          aFaults,
          result);
  loop.Stop();
  EndFaults(auditClient, aFaults, result);
  result.audit_ = ReadAudit(auditClient, aCluster, baseline);
  return result;
}

} // namespace lycheeplank::load
