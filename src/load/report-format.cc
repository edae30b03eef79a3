#include "load/report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::load {

namespace {

using Json = nlohmann::json;

std::string
ToString(absl::string_view aText)
{
  return std::string(aText);
}

std::string
Row(absl::string_view aName, std::size_t aRequests, const Summary& aSummary)
{
  return absl::StrFormat("%-24s %8d %9.1f %9.1f %9.1f\n",
                         aName,
                         aRequests,
                         aSummary.p50_,
                         aSummary.p95_,
                         aSummary.p99_);
}

std::string
Line(absl::string_view aName, const std::string& aValue)
{
  return absl::StrFormat("%-32s %s\n", aName, aValue);
}

std::string
FormatCounts(const Report& aReport)
{
  std::string text;
  text += Line("answered",
               absl::StrCat(aReport.answered_, " of ", aReport.requests_));
  for (const auto& [kind, count] : aReport.refusals_) {
    text += Line(absl::StrCat("refused ", kind), absl::StrCat(count));
  }
  text += Line("wrong", absl::StrCat(aReport.wrong_));
  text += Line("broken", absl::StrCat(aReport.broken_));
  text += Line("repeats, resumes",
               absl::StrCat(aReport.repeats_, ", ", aReport.resumes_));
  text += Line("executed twice", absl::StrCat(aReport.duplicates_));
  text += Line("answered, not executed", absl::StrCat(aReport.lost_));
  text +=
    Line("refused as not run, executed", absl::StrCat(aReport.falseRefusals_));
  text +=
    Line("blocks of other workspaces", absl::StrCat(aReport.foreignBlocks_));
  text += Line("blocks of other versions", absl::StrCat(aReport.staleBlocks_));
  if (!aReport.unreachable_.empty()) {
    text +=
      Line("not checked, no answer", absl::StrJoin(aReport.unreachable_, " "));
  }
  return text;
}

std::string
FormatWork(const Report& aReport)
{
  std::string text;
  text += Line("prompt tokens", absl::StrCat(aReport.promptTokens_));
  text += Line("computed tokens", absl::StrCat(aReport.computedTokens_));
  text +=
    Line("recomputed share", absl::StrFormat("%.3f", aReport.recomputedShare_));
  text += Line("imported blocks", absl::StrCat(aReport.importedBlocks_));
  text += Line("link bytes", absl::StrCat(aReport.linkBytes_));
  text += Line("link use", absl::StrFormat("%.3f", aReport.linkUtilisation_));
  text += Line("recomputed share, bound",
               absl::StrFormat("%.3f", aReport.bound_.recomputedShare_));
  return text;
}

Json
SummaryJson(const Summary& aSummary)
{
  return { { "count", aSummary.count_ }, { "mean", aSummary.mean_ },
           { "p50", aSummary.p50_ },     { "p95", aSummary.p95_ },
           { "p99", aSummary.p99_ },     { "max", aSummary.max_ } };
}

Json
TasksJson(const Report& aReport)
{
  Json tasks = Json::object();
  for (const TaskReport& task : aReport.tasks_) {
    tasks[ToString(core::NameOf(kTasks, task.task_))] = {
      { "requests", task.requests_ },
      { "ttft_ms", SummaryJson(task.firstToken_) },
      { "total_ms", SummaryJson(task.total_) }
    };
  }
  return tasks;
}

Json
RefusalsJson(const Report& aReport)
{
  Json refusals = Json::object();
  for (const auto& [kind, count] : aReport.refusals_) {
    refusals[kind] = count;
  }
  return refusals;
}

} // namespace

std::string
FormatTable(const Report& aReport)
{
  std::string text = absl::StrFormat(
    "%-24s %8s %9s %9s %9s\n", "milliseconds", "requests", "p50", "p95", "p99");
  for (const TaskReport& task : aReport.tasks_) {
    const absl::string_view name = core::NameOf(kTasks, task.task_);
    if (task.firstToken_.count_ > 0) {
      text += Row(
        absl::StrCat(name, " first token"), task.requests_, task.firstToken_);
    }
    text += Row(absl::StrCat(name, " whole"), task.requests_, task.total_);
  }
  text += Row("first token", aReport.firstToken_.count_, aReport.firstToken_);
  text += Row("first token, bound",
              aReport.bound_.firstToken_.count_,
              aReport.bound_.firstToken_);
  text += Row("token gap", aReport.tokenGap_.count_, aReport.tokenGap_);
  text += Row("own start lag", aReport.startLag_.count_, aReport.startLag_);
  return text + "\n" + FormatCounts(aReport) + FormatWork(aReport);
}

std::string
FormatJson(const Report& aReport)
{
  return Json({ { "requests", aReport.requests_ },
                { "answered", aReport.answered_ },
                { "wrong", aReport.wrong_ },
                { "broken", aReport.broken_ },
                { "refused", RefusalsJson(aReport) },
                { "repeats", aReport.repeats_ },
                { "resumes", aReport.resumes_ },
                { "duplicates", aReport.duplicates_ },
                { "lost", aReport.lost_ },
                { "false_refusals", aReport.falseRefusals_ },
                { "foreign_blocks", aReport.foreignBlocks_ },
                { "stale_blocks", aReport.staleBlocks_ },
                { "tasks", TasksJson(aReport) },
                { "ttft_ms", SummaryJson(aReport.firstToken_) },
                { "token_gap_ms", SummaryJson(aReport.tokenGap_) },
                { "start_lag_ms", SummaryJson(aReport.startLag_) },
                { "prompt_tokens", aReport.promptTokens_ },
                { "computed_tokens", aReport.computedTokens_ },
                { "recomputed_share", aReport.recomputedShare_ },
                { "imported_blocks", aReport.importedBlocks_ },
                { "link_bytes", aReport.linkBytes_ },
                { "link_use", aReport.linkUtilisation_ },
                { "bound",
                  { { "ttft_ms", SummaryJson(aReport.bound_.firstToken_) },
                    { "recomputed_share", aReport.bound_.recomputedShare_ },
                    { "link_bytes", aReport.bound_.linkBytes_ } } },
                { "silent", aReport.unreachable_ },
                { "unconfirmed_faults", aReport.unconfirmed_ },
                { "clean", IsClean(aReport) } })
    .dump(2);
}

std::string
FormatCsv(const RunResult& aResult)
{
  std::string text =
    "at_ms,task,workspace,document,gap_ms,end,refusal,run,ttft_ms,total_ms,"
    "tokens,repeats,resumes\n";
  for (std::size_t at = 0; at < aResult.outcomes_.size(); ++at) {
    const Arrival& arrival = aResult.trace_.arrivals_[at];
    const Outcome& outcome = aResult.outcomes_[at];
    absl::StrAppendFormat(&text,
                          "%.1f,%s,%d,%d,%.1f,%s,%s,%s,%.2f,%.2f,%d,%d,%d\n",
                          absl::ToDoubleMilliseconds(arrival.at_),
                          core::NameOf(kTasks, arrival.task_),
                          arrival.workspace_,
                          arrival.document_,
                          absl::ToDoubleMilliseconds(arrival.reuseGap_),
                          core::NameOf(kEndStates, outcome.end_),
                          outcome.refusalKind_,
                          outcome.runState_,
                          absl::ToDoubleMilliseconds(outcome.firstToken_),
                          absl::ToDoubleMilliseconds(outcome.total_),
                          outcome.tokens_,
                          outcome.repeats_,
                          outcome.resumes_);
  }
  return text;
}

} // namespace lycheeplank::load
