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

// Where a prompt's document comes from.
enum class Origin
{
  New,
  Memory,
  Import,
  Recompute,
};

inline constexpr std::array<core::Named<Origin>, 4> kOrigins{ {
  { Origin::New, "new" },
  { Origin::Memory, "memory" },
  { Origin::Import, "import" },
  { Origin::Recompute, "recompute" },
} };

// What a completion costs at least.
struct BoundStep
{
  // When the completion arrives.
  absl::Duration at_;
  Task task_ = Task::Draft;
  Origin origin_ = Origin::New;
  absl::Duration firstToken_;
  std::uint64_t recomputedTokens_ = 0;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t linkBytes_ = 0;
};

// Returns the bound for each completion of the trace: all engines share one
// cache that keeps what returns soonest, no request waits for another, links
// are idle, and each return takes the fastest way.
std::vector<BoundStep>
ClairvoyantBound(const Trace& aTrace, const Hardware& aHardware);

// The bound over a whole trace; times after the warm-up only.
struct BoundSummary
{
  // Milliseconds.
  Summary firstToken_;
  double recomputedShare_ = 0.0;
  std::uint64_t linkBytes_ = 0;
};

BoundSummary
SummariseBound(const std::vector<BoundStep>& aSteps,
               absl::Duration aWarmUp = absl::ZeroDuration());

} // namespace lycheeplank::load

#endif
