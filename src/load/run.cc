#include "load/run.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/blocking_counter.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "load/flight.h"

namespace lycheeplank::load {

namespace {

constexpr unsigned kClientThreads = 2;
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

// Sends all requests at their times and returns their outcomes.
std::vector<Outcome>
FlyAll(FlightContext& aContext, std::vector<FlightPlan> aPlans)
{
  std::vector<Outcome> outcomes(aPlans.size());
  absl::BlockingCounter open(static_cast<int>(aPlans.size()));
  const absl::Time start = absl::Now();
  for (FlightPlan& plan : aPlans) {
    const absl::Time due = start + plan.arrival_.at_;
    absl::SleepFor(due - absl::Now());
    const absl::Duration lag = absl::Now() - due;
    Outcome& slot = outcomes[plan.index_];
    Launch(aContext, std::move(plan), [&slot, &open, lag](Outcome&& aOutcome) {
      slot = std::move(aOutcome);
      slot.startLag_ = lag;
      open.DecrementCount();
    });
  }
  open.Wait();
  return outcomes;
}

std::vector<std::string>
ListOf(const absl::btree_set<std::string>& aVersions)
{
  return { aVersions.begin(), aVersions.end() };
}

} // namespace

RunResult
RunTrace(const Cluster& aCluster, const TraceOptions& aOptions)
{
  RunResult result;
  TraceOptions options = aOptions;
  options.workspaces_ = static_cast<std::uint32_t>(aCluster.workspaces_.size());
  result.trace_ = MakeTrace(options);
  net::Client client(kClientThreads);
  net::Client observer;
  result.hardware_ = ReadHardware(observer, aCluster);
  result.bound_ =
    SummariseBound(ClairvoyantBound(result.trace_, result.hardware_));
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
  result.outcomes_ =
    FlyAll(context, MakePlans(result.trace_, result.hardware_.blockTokens_));
  loop.Stop();
  result.audit_ = TakeAudit(observer, aCluster, baseline);
  return result;
}

} // namespace lycheeplank::load
