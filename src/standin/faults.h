#ifndef LYCHEEPLANK_STANDIN_FAULTS_H
#define LYCHEEPLANK_STANDIN_FAULTS_H

#include <array>
#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "lycheeplank/core.h"

namespace lycheeplank::standin {

// What POST /fault can ask for.
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

// A fault that meets the next calls whose path contains a text.
struct CountedFault
{
  std::uint32_t count_ = 0;
  std::string match_;
};

// Returns whether the fault meets the path, and counts it if so.
bool
Take(CountedFault& aFault, absl::string_view aPath);

// The faults in force.
struct Faults
{
  absl::Time downUntil_ = absl::InfinitePast();
  absl::Duration answerDelay_ = absl::ZeroDuration();
  // All rates are divided by it.
  double slowdown_ = 1.0;
  CountedFault loseReply_;
  CountedFault refuse_;
  int refuseStatus_ = 0;
  // Every n-th cache event is dropped; 0: none.
  std::uint32_t gapsEvery_ = 0;
  bool full_ = false;
  bool leaving_ = false;
};

// Puts the fault of a request's JSON body in force; false if it has no known
// name.
bool
ApplyFault(Faults& aFaults, const std::string& aBody);

} // namespace lycheeplank::standin

#endif
