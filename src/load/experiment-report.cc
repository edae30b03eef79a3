#include "load/experiment-report.h"

#include <algorithm>
#include <numeric>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace lycheeplank::load {

namespace {

constexpr double kBytesPerMegabyte = 1e6;

// Mean and range of a metric over several runs.
struct Spread
{
  double mean_ = 0.0;
  double lowest_ = 0.0;
  double highest_ = 0.0;
};

// The metrics by which policies are compared; times in milliseconds.
struct Metrics
{
  Spread p50_;
  Spread p95_;
  Spread p99_;
  Spread recomputedShare_;
  Spread linkBytes_;
  Spread linkUtilisation_;
};

Spread
SpreadOf(const std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return {};
  }
  const auto [lowest, highest] =
    std::minmax_element(aValues.begin(), aValues.end());
  return { std::accumulate(aValues.begin(), aValues.end(), 0.0) /
             static_cast<double>(aValues.size()),
           *lowest,
           *highest };
}

template<typename Read>
Spread
SpreadOf(const std::vector<Report>& aReports, Read aRead)
{
  std::vector<double> values;
  values.reserve(aReports.size());
  for (const Report& report : aReports) {
    values.push_back(aRead(report));
  }
  return SpreadOf(values);
}

Metrics
MetricsOf(const std::vector<Report>& aReports)
{
  const auto summarise = [&](auto aRead) { return SpreadOf(aReports, aRead); };
  return {
    summarise([](const Report& aEach) { return aEach.firstToken_.p50_; }),
    summarise([](const Report& aEach) { return aEach.firstToken_.p95_; }),
    summarise([](const Report& aEach) { return aEach.firstToken_.p99_; }),
    summarise([](const Report& aEach) { return aEach.recomputedShare_; }),
    summarise([](const Report& aEach) {
      return static_cast<double>(aEach.linkBytes_);
    }),
    summarise([](const Report& aEach) { return aEach.linkUtilisation_; }),
  };
}

Metrics
BoundMetrics(const std::vector<Report>& aReports)
{
  const auto summarise = [&](auto aRead) { return SpreadOf(aReports, aRead); };
  return {
    summarise(
      [](const Report& aEach) { return aEach.bound_.firstToken_.p50_; }),
    summarise(
      [](const Report& aEach) { return aEach.bound_.firstToken_.p95_; }),
    summarise(
      [](const Report& aEach) { return aEach.bound_.firstToken_.p99_; }),
    summarise(
      [](const Report& aEach) { return aEach.bound_.recomputedShare_; }),
    summarise([](const Report& aEach) {
      return static_cast<double>(aEach.bound_.linkBytes_);
    }),
    {},
  };
}

// Returns "mean" or, if the runs differ, "mean (lowest to highest)".
std::string
Format(const Spread& aSpread, int aDigits, double aUnit = 1.0)
{
  std::string mean = absl::StrFormat("%.*f", aDigits, aSpread.mean_ / aUnit);
  if (aSpread.lowest_ == aSpread.highest_) {
    return mean;
  }
  return absl::StrFormat("%s (%.*f to %.*f)",
                         mean,
                         aDigits,
                         aSpread.lowest_ / aUnit,
                         aDigits,
                         aSpread.highest_ / aUnit);
}

// Returns by how many per cent the p95 exceeds the bound; empty without a
// bound.
std::string
AboveBound(const Metrics& aMetrics, const Metrics& aBound)
{
  if (aBound.p95_.mean_ <= 0.0) {
    return "";
  }
  return absl::StrFormat(
    "%+.0f%%", 100.0 * (aMetrics.p95_.mean_ / aBound.p95_.mean_ - 1.0));
}

std::string
Row(absl::string_view aName,
    const Metrics& aMetrics,
    absl::string_view aAboveBound,
    absl::string_view aEnd)
{
  return absl::StrFormat("| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
                         aName,
                         Format(aMetrics.p50_, 0),
                         Format(aMetrics.p95_, 0),
                         aAboveBound,
                         Format(aMetrics.p99_, 0),
                         Format(aMetrics.recomputedShare_, 3),
                         Format(aMetrics.linkBytes_, 1, kBytesPerMegabyte),
                         Format(aMetrics.linkUtilisation_, 3),
                         aEnd);
}

std::string
PolicyRow(const PolicyResult& aResult)
{
  std::size_t answered = 0;
  std::size_t requests = 0;
  for (const Report& report : aResult.reports_) {
    answered += report.answered_;
    requests += report.requests_;
  }
  const Metrics metrics = MetricsOf(aResult.reports_);
  return Row(core::NameOf(config::kPolicies, aResult.policy_),
             metrics,
             AboveBound(metrics, BoundMetrics(aResult.reports_)),
             absl::StrCat(answered, " / ", requests));
}

// Returns a row with the counts of unanswered requests by cause, and of repeats
// and resumes.
std::string
FailuresRow(const PolicyResult& aResult)
{
  absl::btree_map<std::string, std::uint32_t> refusals;
  std::uint64_t wrong = 0;
  std::uint64_t broken = 0;
  std::uint64_t repeats = 0;
  std::uint64_t resumes = 0;
  for (const Report& report : aResult.reports_) {
    for (const auto& [kind, count] : report.refusals_) {
      refusals[kind] += count;
    }
    wrong += report.wrong_;
    broken += report.broken_;
    repeats += report.repeats_;
    resumes += report.resumes_;
  }
  return absl::StrFormat(
    "| %s | %s | %d | %d | %d | %d |\n",
    core::NameOf(config::kPolicies, aResult.policy_),
    refusals.empty() ? "none"
                     : absl::StrJoin(refusals, ", ", absl::PairFormatter(" ")),
    wrong,
    broken,
    repeats,
    resumes);
}

// Returns the rows with the time to first token of each kind of request.
std::string
TaskRows(const PolicyResult& aResult)
{
  std::string rows;
  const auto& tasks = aResult.reports_.front().tasks_;
  for (std::size_t at = 0; at < tasks.size(); ++at) {
    if (tasks[at].firstToken_.count_ == 0) {
      continue;
    }
    const auto summarise = [&](double Summary::*aField) {
      return Format(SpreadOf(aResult.reports_,
                             [&](const Report& aEach) {
                               return aEach.tasks_[at].firstToken_.*aField;
                             }),
                    0);
    };
    rows += absl::StrFormat("| %s | %s | %s | %s | %s |\n",
                            core::NameOf(config::kPolicies, aResult.policy_),
                            core::NameOf(kTasks, tasks[at].task_),
                            summarise(&Summary::p50_),
                            summarise(&Summary::p95_),
                            summarise(&Summary::p99_));
  }
  return rows;
}

std::string
FaultText(const FaultOptions& aFault)
{
  return aFault.kind_ == FaultKind::None
           ? std::string("without a fault")
           : absl::StrFormat("with the fault %s at %.0f s",
                             core::NameOf(kFaultKinds, aFault.kind_),
                             absl::ToDoubleSeconds(aFault.at_));
}

std::string
Introduction(const TraceOptions& aTrace,
             const FaultOptions& aFault,
             std::size_t aRuns)
{
  return absl::StrFormat(
    "# Policies compared\n\nProfile %s, %.1f requests/s for %.0f s, shortest "
    "gap %.0f s, warm-up %.0f s, seeds %d to %d, %s. Each policy ran the same "
    "traces, each on "
    "a "
    "fresh cluster. Figures are means over the seeds, with the lowest and the "
    "highest in brackets.\n\n",
    core::NameOf(kProfiles, aTrace.profile_),
    aTrace.requestsPerSecond_,
    absl::ToDoubleSeconds(aTrace.duration_),
    absl::ToDoubleSeconds(aTrace.minReuseGap_),
    absl::ToDoubleSeconds(aTrace.warmUp_),
    aTrace.seed_,
    aTrace.seed_ + aRuns - 1,
    FaultText(aFault));
}

std::string
CsvRow(absl::string_view aName, const Metrics& aMetrics)
{
  return absl::StrFormat("%s,%.2f,%.2f,%.2f,%.4f,%.0f,%.4f\n",
                         aName,
                         aMetrics.p50_.mean_,
                         aMetrics.p95_.mean_,
                         aMetrics.p99_.mean_,
                         aMetrics.recomputedShare_.mean_,
                         aMetrics.linkBytes_.mean_,
                         aMetrics.linkUtilisation_.mean_);
}

} // namespace

std::string
FormatExperiment(const TraceOptions& aTrace,
                 const FaultOptions& aFault,
                 const std::vector<PolicyResult>& aResults)
{
  const auto& first = aResults.front().reports_;
  std::string text = Introduction(aTrace, aFault, first.size());
  text += "| policy | first token p50 ms | p95 ms | p95 against the bound "
          "| p99 ms | recomputed share | link MB | link use | answered |\n"
          "|---|---|---|---|---|---|---|---|---|\n";
  for (const PolicyResult& result : aResults) {
    text += PolicyRow(result);
  }
  text += Row("clairvoyant bound", BoundMetrics(first), "", "");
  text += "\nThe bound assumes knowledge of the future, one cache shared by "
          "all engines and no queueing of requests; it ignores faults.\n\n"
          "![first token](first-token.png)\n\n"
          "![recomputed share](recomputed.png)\n\n![link use](link.png)\n\n"
          "| policy | request | first token p50 ms | p95 ms | p99 ms "
          "|\n|---|---|---|---|---|\n";
  for (const PolicyResult& result : aResults) {
    text += TaskRows(result);
  }
  text += "\n| policy | refused, by kind | wrong | broken | repeats | resumes "
          "|\n|---|---|---|---|---|---|\n";
  for (const PolicyResult& result : aResults) {
    text += FailuresRow(result);
  }
  return text;
}

std::string
FormatPolicyCsv(const std::vector<PolicyResult>& aResults)
{
  std::string text =
    "policy,p50,p95,p99,recomputed_share,link_bytes,link_use\n";
  for (const auto& [policy, reports] : aResults) {
    text += CsvRow(core::NameOf(config::kPolicies, policy), MetricsOf(reports));
  }
  return text + CsvRow("bound", BoundMetrics(aResults.front().reports_));
}

std::string
FormatRunCsv(const TraceOptions& aTrace,
             const std::vector<PolicyResult>& aResults)
{
  std::string text =
    "policy,seed,p50,p95,p99,recomputed_share,link_bytes,link_use\n";
  for (const auto& [policy, reports] : aResults) {
    for (std::size_t at = 0; at < reports.size(); ++at) {
      text += CsvRow(absl::StrCat(core::NameOf(config::kPolicies, policy),
                                  ",",
                                  aTrace.seed_ + at),
                     MetricsOf({ reports[at] }));
    }
  }
  return text;
}

std::string
PlotScript()
{
  return "set terminal pngcairo size 900,500\n"
         "set datafile separator ','\n"
         "set style data histogram\n"
         "set style fill solid 0.8\n"
         "set boxwidth 0.9\n"
         "set xtics rotate by -20\n"
         "set yrange [0:*]\n"
         "set output 'first-token.png'\n"
         "set ylabel 'time to first token, ms'\n"
         "plot for [column=2:4] 'policies.csv' using column:xtic(1) "
         "title columnheader(column)\n"
         "set output 'recomputed.png'\n"
         "set ylabel 'share of prompt tokens recomputed'\n"
         "plot 'policies.csv' using 5:xtic(1) notitle\n"
         "set output 'link.png'\n"
         "set ylabel 'bytes over the links of the stores'\n"
         "plot 'policies.csv' using 6:xtic(1) notitle\n";
}

} // namespace lycheeplank::load
