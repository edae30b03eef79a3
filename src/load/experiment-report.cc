#include "load/experiment-report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace lycheeplank::load {

namespace {

constexpr double kBytesPerMegabyte = 1e6;

std::string
PolicyRow(const PolicyResult& aResult)
{
  const Report& report = aResult.report_;
  return absl::StrFormat(
    "| %s | %.0f | %.0f | %.0f | %.3f | %.1f | %d / %d |\n",
    core::NameOf(config::kPolicies, aResult.policy_),
    report.firstToken_.p50_,
    report.firstToken_.p95_,
    report.firstToken_.p99_,
    report.recomputedShare_,
    static_cast<double>(report.linkBytes_) / kBytesPerMegabyte,
    report.answered_,
    report.requests_);
}

std::string
BoundRow(const BoundSummary& aBound)
{
  return absl::StrFormat("| clairvoyant bound | %.0f | %.0f | %.0f | %.3f | "
                         "%.1f | |\n",
                         aBound.firstToken_.p50_,
                         aBound.firstToken_.p95_,
                         aBound.firstToken_.p99_,
                         aBound.recomputedShare_,
                         static_cast<double>(aBound.linkBytes_) /
                           kBytesPerMegabyte);
}

// Returns the rows of first tokens by kind of request.
std::string
TaskRows(const PolicyResult& aResult)
{
  std::string rows;
  for (const TaskReport& task : aResult.report_.tasks_) {
    if (task.firstToken_.count_ == 0) {
      continue;
    }
    rows += absl::StrFormat("| %s | %s | %.0f | %.0f | %.0f |\n",
                            core::NameOf(config::kPolicies, aResult.policy_),
                            core::NameOf(kTasks, task.task_),
                            task.firstToken_.p50_,
                            task.firstToken_.p95_,
                            task.firstToken_.p99_);
  }
  return rows;
}

std::string
CsvRow(absl::string_view aName,
       const Summary& aFirstToken,
       double aRecomputed,
       std::uint64_t aLinkBytes)
{
  return absl::StrFormat("%s,%.2f,%.2f,%.2f,%.4f,%d\n",
                         aName,
                         aFirstToken.p50_,
                         aFirstToken.p95_,
                         aFirstToken.p99_,
                         aRecomputed,
                         aLinkBytes);
}

} // namespace

std::string
FormatExperiment(const TraceOptions& aTrace,
                 const std::vector<PolicyResult>& aResults)
{
  std::string text = absl::StrFormat(
    "# Policies compared\n\nProfile %s, %.1f requests/s for %.0f s, shortest "
    "gap %.0f s, seed %d. Each policy met the same trace on a fresh "
    "cluster.\n\n",
    core::NameOf(kProfiles, aTrace.profile_),
    aTrace.requestsPerSecond_,
    absl::ToDoubleSeconds(aTrace.duration_),
    absl::ToDoubleSeconds(aTrace.minGap_),
    aTrace.seed_);
  text += "| policy | first token p50 ms | p95 ms | p99 ms | recomputed share "
          "| link MB | answered |\n|---|---|---|---|---|---|---|\n";
  for (const PolicyResult& result : aResults) {
    text += PolicyRow(result);
  }
  if (!aResults.empty()) {
    text += BoundRow(aResults.front().report_.bound_);
  }
  text += "\nThe bound knows the future, shares one cache over all engines "
          "and lets no request wait for another.\n\n"
          "![first token](first-token.png)\n\n"
          "![recomputed share](recomputed.png)\n\n![link use](link.png)\n\n"
          "| policy | request | first token p50 ms | p95 ms | p99 ms "
          "|\n|---|---|---|---|---|\n";
  for (const PolicyResult& result : aResults) {
    text += TaskRows(result);
  }
  return text;
}

std::string
FormatPolicyCsv(const std::vector<PolicyResult>& aResults)
{
  std::string text = "policy,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,"
                     "recomputed_share,link_bytes\n";
  for (const auto& [policy, report] : aResults) {
    text += CsvRow(core::NameOf(config::kPolicies, policy),
                   report.firstToken_,
                   report.recomputedShare_,
                   report.linkBytes_);
  }
  if (!aResults.empty()) {
    const BoundSummary& bound = aResults.front().report_.bound_;
    text += CsvRow(
      "bound", bound.firstToken_, bound.recomputedShare_, bound.linkBytes_);
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
