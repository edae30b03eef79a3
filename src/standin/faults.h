#ifndef LYCHEEPLANK_STANDIN_FAULTS_H
#define LYCHEEPLANK_STANDIN_FAULTS_H

#include <array>
#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

namespace lycheeplank::standin {

// A fault that POST /fault injects.
enum class Fault
{
  None,
  Down,
  Slow,
  LoseReply,
  Gaps,
  Full,
  Refuse,
  Leaving,
};

inline constexpr std::array<core::Named<Fault>, 8> kFaults{ {
  { Fault::None, "none" },
  { Fault::Down, "down" },
  { Fault::Slow, "slow" },
  { Fault::LoseReply, "lose_reply" },
  { Fault::Gaps, "gaps" },
  { Fault::Full, "full" },
  { Fault::Refuse, "refuse" },
  { Fault::Leaving, "leaving" },
} };

// A fault that applies to the next `count_` calls whose path contains `match_`.
struct CountedFault
{
  std::uint32_t count_ = 0;
  std::string match_;
};

// Returns whether the fault applies to a call of this path; if so, decrements
// its count.
bool
ConsumeFault(CountedFault& aFault, absl::string_view aPath);

// The active faults.
struct Faults
{
  absl::Time downUntil_ = absl::InfinitePast();
  absl::Duration answerDelay_ = absl::ZeroDuration();
  // All processing and transfer rates are divided by this factor.
  double slowdown_ = 1.0;
  CountedFault loseReply_;
  CountedFault refuse_;
  int refuseStatus_ = 0;
  // Every n-th cache event is dropped; 0 drops none.
  std::uint32_t gapsEvery_ = 0;
  bool full_ = false;
  bool leaving_ = false;
};

// Activates the fault described by the JSON body of a request. Returns false if
// the fault's name is unknown; throws if the body is not valid JSON.
bool
ApplyFault(Faults& aFaults, const std::string& aBody);

} // namespace lycheeplank::standin

#endif
