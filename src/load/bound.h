#ifndef LYCHEEPLANK_LOAD_BOUND_H
#define LYCHEEPLANK_LOAD_BOUND_H

#include <array>
#include <cstdint>
#include <vector>

#include <absl/time/time.h>

#include "load/audit.h"
#include "load/statistics.h"
#include "load/workload.h"
#include "lycheeplank/core.h"

namespace lycheeplank::load {

// How an engine obtains the KV cache blocks of a prompt's document.
enum class Origin
{
  // Computed for the first time.
  New,
  // Found in the engines' cache.
  Memory,
  // Loaded from a store.
  Import,
  // Computed again.
  Recompute,
};

inline constexpr std::array<core::Named<Origin>, 4> kOrigins{ {
  { Origin::New, "new" },
  { Origin::Memory, "memory" },
  { Origin::Import, "import" },
  { Origin::Recompute, "recompute" },
} };

// The lowest possible cost of one completion.
struct BoundStep
{
  // Arrival time, from the start of the trace.
  absl::Duration at_;
  Task task_ = Task::Draft;
  Origin origin_ = Origin::New;
  // Time to first token.
  absl::Duration firstToken_;
  std::uint64_t recomputedTokens_ = 0;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t linkBytes_ = 0;
};

// Returns the lower bound for each completion of the trace. It assumes that all
// engines share one cache that evicts the document whose next use is farthest
// away, that requests don't queue, that links are idle, and that a reused
// document is imported or recomputed, whichever is faster.
std::vector<BoundStep>
ClairvoyantBound(const Trace& aTrace, const Hardware& aHardware);

// The lower bound of a whole trace. Times cover only the arrivals after the
// warm-up.
struct BoundSummary
{
  // Time to first token in milliseconds.
  Summary firstToken_;
  double recomputedShare_ = 0.0;
  std::uint64_t linkBytes_ = 0;
};

BoundSummary
SummariseBound(const std::vector<BoundStep>& aSteps,
               absl::Duration aWarmUp = absl::ZeroDuration());

} // namespace lycheeplank::load

#endif
