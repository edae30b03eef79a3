#ifndef LYCHEEPLANK_LOAD_REPORT_H
#define LYCHEEPLANK_LOAD_REPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "load/run.h"
#include "load/statistics.h"

namespace lycheeplank::load {

// Results of the requests of one kind; times in milliseconds.
struct TaskReport
{
  Task task_ = Task::Draft;
  std::size_t requests_ = 0;
  Summary firstToken_;
  Summary total_;
};

// Results of a run; times in milliseconds.
struct Report
{
  std::vector<TaskReport> tasks_;
  // Times over all completions.
  Summary firstToken_;
  Summary tokenGap_;
  std::size_t requests_ = 0;
  std::size_t answered_ = 0;
  std::size_t wrong_ = 0;
  std::size_t broken_ = 0;
  absl::btree_map<std::string, std::uint32_t> refusals_;
  std::uint64_t repeats_ = 0;
  std::uint64_t resumes_ = 0;
  // Service calls with an idempotency key that were executed more than once.
  std::uint32_t duplicates_ = 0;
  // Calls that were refused as not executed although they were executed.
  std::uint32_t falseRefusals_ = 0;
  // Calls that were answered although they were not executed.
  std::uint32_t lost_ = 0;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t computedTokens_ = 0;
  // Fraction of all prompt tokens that were computed more than once.
  double recomputedShare_ = 0.0;
  std::uint64_t importedBlocks_ = 0;
  std::uint64_t linkBytes_ = 0;
  // Bytes carried as a fraction of the capacity of all links during the run.
  double linkUtilisation_ = 0.0;
  std::uint64_t foreignBlocks_ = 0;
  std::uint64_t staleBlocks_ = 0;
  // Names of the members that returned no audit data.
  std::vector<std::string> unreachable_;
  // Names of the members that didn't confirm a fault or its end.
  std::vector<std::string> unconfirmed_;
  Summary startLag_;
  BoundSummary bound_;
};

// Summarises the outcomes and the audit of a run.
Report
MakeReport(const RunResult& aResult);

// Returns whether every request was answered correctly, calls were executed
// exactly once, no KV cache block was used across workspaces or weight
// versions, and every fault was confirmed.
bool
IsClean(const Report& aReport);

// Returns the report as a plain-text table.
std::string
FormatTable(const Report& aReport);

std::string
FormatJson(const Report& aReport);

// Returns a CSV table with one line for each request.
std::string
FormatCsv(const RunResult& aResult);

} // namespace lycheeplank::load

#endif
