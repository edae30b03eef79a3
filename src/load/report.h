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

// Results of a run.
struct Report
{
  std::vector<TaskReport> tasks_;
  // Over all completions.
  Summary firstToken_;
  Summary tokenGap_;
  std::size_t requests_ = 0;
  std::size_t answered_ = 0;
  std::size_t wrong_ = 0;
  std::size_t broken_ = 0;
  absl::btree_map<std::string, std::uint32_t> refusals_;
  std::uint64_t repeats_ = 0;
  std::uint64_t resumes_ = 0;
  // Calls that were executed more than once.
  std::uint32_t duplicates_ = 0;
  // Calls that were refused as not run and yet executed.
  std::uint32_t falseRefusals_ = 0;
  // Calls that were answered and yet not executed.
  std::uint32_t lost_ = 0;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t computedTokens_ = 0;
  // Part of the prompt tokens that were computed though they had been before.
  double recomputedShare_ = 0.0;
  std::uint64_t importedBlocks_ = 0;
  std::uint64_t linkBytes_ = 0;
  // Part of what all links could have carried during the run.
  double linkUse_ = 0.0;
  std::uint64_t foreignBlocks_ = 0;
  std::uint64_t staleBlocks_ = 0;
  // Members that could not be asked what they did.
  std::vector<std::string> silent_;
  // Members that didn't confirm a fault or its end.
  std::vector<std::string> unconfirmed_;
  Summary startLag_;
  BoundSummary bound_;
};

Report
MakeReport(const RunResult& aResult);

// Whether every answer came whole and once, and nothing crossed workspaces or
// weight versions.
bool
IsClean(const Report& aReport);

// Returns the report as a table for terminals.
std::string
FormatTable(const Report& aReport);

std::string
FormatJson(const Report& aReport);

// Returns one line for each request, for further evaluation.
std::string
FormatCsv(const RunResult& aResult);

} // namespace lycheeplank::load

#endif
