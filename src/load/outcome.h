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

// How a request ended, as the caller sees it.
enum class EndState
{
  // The request is still under way.
  Pending,
  // The caller received the complete, correct answer.
  Answered,
  // The caller received a complete answer that doesn't match the request.
  Wrong,
  // The system returned an error.
  Refused,
  // The connection or stream broke off and repeating didn't help.
  Broken,
};

inline constexpr std::array<core::Named<EndState>, 5> kEndStates{ {
  { EndState::Pending, "open" },
  { EndState::Answered, "answered" },
  { EndState::Wrong, "wrong" },
  { EndState::Refused, "refused" },
  { EndState::Broken, "broken" },
} };

// The result of one request.
struct Outcome
{
  Task task_ = Task::Draft;
  EndState end_ = EndState::Pending;
  // Error kind and run state of a refusal.
  std::string refusalKind_;
  std::string runState_;
  std::string idempotencyKey_;
  // Time to first token and total time, from the first attempt.
  absl::Duration firstToken_ = absl::ZeroDuration();
  absl::Duration total_ = absl::ZeroDuration();
  std::vector<absl::Duration> tokenGaps_;
  std::uint32_t tokens_ = 0;
  // Attempts after the first one (repeats), and streams continued after they
  // broke off (resumes). A resume counts as a repeat as well.
  std::uint32_t repeats_ = 0;
  std::uint32_t resumes_ = 0;
  // Delay of the load tool itself in starting the request.
  absl::Duration startLag_ = absl::ZeroDuration();
};

} // namespace lycheeplank::load

#endif
