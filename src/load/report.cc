#include "load/report.h"

#include <algorithm>

namespace lycheeplank::load {

namespace {

// Samples collected for a summary, in milliseconds.
struct Samples
{
  std::vector<double> firstToken_;
  std::vector<double> total_;
};

bool
IsCompletion(Task aTask)
{
  return TraitsOf(aTask).service_.empty();
}

void
CountEnd(Report& aReport, const Outcome& aOutcome)
{
  switch (aOutcome.end_) {
    case EndState::Answered:
      ++aReport.answered_;
      break;
    case EndState::Wrong:
      ++aReport.wrong_;
      break;
    case EndState::Refused:
      ++aReport.refusals_[aOutcome.refusalKind_];
      break;
    case EndState::Pending:
    case EndState::Broken:
      ++aReport.broken_;
      break;
  }
}

// Compares the outcome that the caller received with the services' executions.
void
CompareWithExecutions(Report& aReport,
                      const Outcome& aOutcome,
                      const Audit& aAudit)
{
  if (aOutcome.idempotencyKey_.empty()) {
    return;
  }
  const auto found = aAudit.callsByKey_.find(aOutcome.idempotencyKey_);
  const std::uint32_t count =
    found == aAudit.callsByKey_.end() ? 0 : found->second;
  aReport.duplicates_ += count > 1 ? 1 : 0;
  aReport.lost_ += aOutcome.end_ == EndState::Answered && count == 0 ? 1 : 0;
  aReport.falseRefusals_ += aOutcome.end_ == EndState::Refused &&
                                aOutcome.runState_ == "no" && count > 0
                              ? 1
                              : 0;
}

// Returns the number of prompt tokens of answered completions that had to be
// computed: those of new documents and of the unique ends of all prompts.
std::uint64_t
NecessaryTokens(const RunResult& aResult)
{
  const Trace& trace = aResult.trace_;
  std::uint64_t tokens = 0;
  for (std::size_t at = 0; at < trace.arrivals_.size(); ++at) {
    const Arrival& arrival = trace.arrivals_[at];
    if (!IsCompletion(arrival.task_) ||
        aResult.outcomes_[at].end_ != EndState::Answered) {
      continue;
    }
    const std::uint32_t block = aResult.hardware_.blockTokens_;
    const std::uint64_t prompt =
      core::CountTokens(PromptOf(trace, arrival, block));
    const std::uint64_t document =
      std::uint64_t{ trace.documents_[arrival.document_].blocks_ } * block;
    const bool reuses = arrival.reuseGap_ > absl::ZeroDuration();
    tokens += reuses ? prompt - document : prompt;
  }
  return tokens;
}

bool
IsAfterWarmUp(const Trace& aTrace, std::size_t aIndex)
{
  return aTrace.arrivals_[aIndex].at_ >= aTrace.options_.warmUp_;
}

void
AddTasks(Report& aReport, const RunResult& aResult)
{
  Samples all;
  for (const TaskTraits& task : TasksOf(aResult.trace_.options_.profile_)) {
    TaskReport row{ task.task_ };
    Samples samples;
    for (std::size_t at = 0; at < aResult.outcomes_.size(); ++at) {
      const Outcome& outcome = aResult.outcomes_[at];
      if (outcome.task_ != task.task_) {
        continue;
      }
      ++row.requests_;
      if (outcome.end_ == EndState::Answered &&
          IsAfterWarmUp(aResult.trace_, at)) {
        samples.firstToken_.push_back(
          absl::ToDoubleMilliseconds(outcome.firstToken_));
        samples.total_.push_back(absl::ToDoubleMilliseconds(outcome.total_));
      }
    }
    if (IsCompletion(task.task_)) {
      all.firstToken_.insert(all.firstToken_.end(),
                             samples.firstToken_.begin(),
                             samples.firstToken_.end());
      row.firstToken_ = Summarise(std::move(samples.firstToken_));
    }
    row.total_ = Summarise(std::move(samples.total_));
    aReport.tasks_.push_back(row);
  }
  aReport.firstToken_ = Summarise(std::move(all.firstToken_));
}

void
AddOutcomes(Report& aReport, const RunResult& aResult)
{
  std::vector<double> gaps;
  std::vector<double> lags;
  for (const Outcome& outcome : aResult.outcomes_) {
    CountEnd(aReport, outcome);
    CompareWithExecutions(aReport, outcome, aResult.audit_);
    aReport.repeats_ += outcome.repeats_;
    aReport.resumes_ += outcome.resumes_;
    lags.push_back(absl::ToDoubleMilliseconds(outcome.startLag_));
    for (const absl::Duration gap : outcome.tokenGaps_) {
      gaps.push_back(absl::ToDoubleMilliseconds(gap));
    }
  }
  aReport.requests_ = aResult.outcomes_.size();
  aReport.tokenGap_ = Summarise(std::move(gaps));
  aReport.startLag_ = Summarise(std::move(lags));
}

double
LinkUtilisation(const RunResult& aResult)
{
  const Hardware& hardware = aResult.hardware_;
  const double capacity = hardware.linkBytesPerSecond_ * hardware.stores_ *
                          absl::ToDoubleSeconds(aResult.elapsed_);
  return capacity > 0.0
           ? static_cast<double>(aResult.audit_.linkBytes_) / capacity
           : 0.0;
}

void
AddAudit(Report& aReport, const RunResult& aResult)
{
  const Audit& audit = aResult.audit_;
  aReport.promptTokens_ = audit.promptTokens_;
  aReport.computedTokens_ = audit.computedTokens_;
  aReport.importedBlocks_ = audit.importedBlocks_;
  aReport.linkBytes_ = audit.linkBytes_;
  aReport.linkUtilisation_ = LinkUtilisation(aResult);
  aReport.foreignBlocks_ = audit.foreignBlocks_;
  aReport.staleBlocks_ = audit.staleBlocks_;
  aReport.unreachable_ = audit.unreachable_;
  const std::uint64_t necessary = NecessaryTokens(aResult);
  const std::uint64_t recomputed =
    audit.computedTokens_ > necessary ? audit.computedTokens_ - necessary : 0;
  aReport.recomputedShare_ = audit.promptTokens_ == 0
                               ? 0.0
                               : static_cast<double>(recomputed) /
                                   static_cast<double>(audit.promptTokens_);
}

} // namespace

Report
MakeReport(const RunResult& aResult)
{
  Report report;
  AddTasks(report, aResult);
  AddOutcomes(report, aResult);
  AddAudit(report, aResult);
  report.bound_ = aResult.bound_;
  report.unconfirmed_ = aResult.unconfirmed_;
  return report;
}

bool
IsClean(const Report& aReport)
{
  return aReport.answered_ == aReport.requests_ && aReport.duplicates_ == 0 &&
         aReport.lost_ == 0 && aReport.falseRefusals_ == 0 &&
         aReport.foreignBlocks_ == 0 && aReport.staleBlocks_ == 0 &&
         aReport.unconfirmed_.empty();
}

} // namespace lycheeplank::load
