#ifndef LYCHEEPLANK_LOAD_OUTCOME_H
#define LYCHEEPLANK_LOAD_OUTCOME_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "load/workload.h"
#include "lycheeplank/core.h"

namespace lycheeplank::load {

// How a request ended.
enum class End
{
  // Still under way.
  Open,
  // The whole answer came.
  Answered,
  // An answer came whole, but it is not the one to this request.
  Wrong,
  // The system said that it gives no answer.
  Refused,
  // The answer broke off and could not be got by repeating.
  Broken,
};

inline constexpr std::array<core::Named<End>, 5> kEnds{ {
  { End::Open, "open" },
  { End::Answered, "answered" },
  { End::Wrong, "wrong" },
  { End::Refused, "refused" },
  { End::Broken, "broken" },
} };

// What became of one request.
struct Outcome
{
  Task task_ = Task::Draft;
  End end_ = End::Open;
  // Kind and run state that a refusal named.
  std::string refusal_;
  std::string run_;
  std::string idempotencyKey_;
  absl::Duration firstToken_ = absl::ZeroDuration();
  absl::Duration total_ = absl::ZeroDuration();
  std::vector<absl::Duration> tokenGaps_;
  std::uint32_t tokens_ = 0;
  // Calls beyond the first one, by cause.
  std::uint32_t repeats_ = 0;
  std::uint32_t resumes_ = 0;
  // How late the load program itself was.
  absl::Duration startLag_ = absl::ZeroDuration();
};

} // namespace lycheeplank::load

#endif
