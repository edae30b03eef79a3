#ifndef LYCHEEPLANK_RETRY_H
#define LYCHEEPLANK_RETRY_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

#include "lycheeplank/catalog.h"
#include "lycheeplank/core.h"

// What follows after an attempt to have a request answered by a target.
namespace lycheeplank::retry {

// How one attempt ended, as far as the request may have been run by it.
enum class AttemptEnd
{
  // No byte of the request left this host.
  NotSent,
  // The target says that it has not run the request and won't.
  NotRun,
  // The target answered with an error of its own.
  Error,
  // No answer, or none that can be used; the request may have been run.
  Failed,
  // No answer in the time in which one is usual.
  Silent,
  // It hadn't begun when the target's weights became too old.
  Outdated,
  // Some of the answer has reached the caller.
  CutAnswer,
};

inline constexpr std::array<core::Named<AttemptEnd>, 7> kAttemptEnds{ {
  { AttemptEnd::NotSent, "not_sent" },
  { AttemptEnd::NotRun, "not_run" },
  { AttemptEnd::Error, "error" },
  { AttemptEnd::Failed, "failed" },
  { AttemptEnd::Silent, "silent" },
  { AttemptEnd::Outdated, "outdated" },
  { AttemptEnd::CutAnswer, "cut_answer" },
} };

// A request's history.
struct History
{
  // Requests written to targets, and those of them that may have been run.
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  // Attempts of any kind, connections that failed included.
  std::uint32_t tries_ = 0;
};

enum class NextStep
{
  // At another target; takes one second send out of the budget if it was sent.
  TryAgain,
  // Answer that it was not run and when to come back.
  Refuse,
  // Answer with the target's own error.
  PassOn,
  // Answer that it failed.
  Fail,
  // Break the answer off.
  Cut,
};

inline constexpr std::array<core::Named<NextStep>, 5> kNextSteps{ {
  { NextStep::TryAgain, "try_again" },
  { NextStep::Refuse, "refuse" },
  { NextStep::PassOn, "pass_on" },
  { NextStep::Fail, "fail" },
  { NextStep::Cut, "cut" },
} };

// Targets that one request is brought to at most, and times that it is written
// to one; a request that finds so many full finds them all full.
inline constexpr std::uint32_t kMaxTries = 6;
inline constexpr std::uint32_t kMaxSends = 4;
// Less time than that is not worth another attempt.
inline constexpr absl::Duration kMinTimeLeft = absl::Milliseconds(30);

// Returns how long a stream that has begun waits for its next event before it
// goes on at another target; infinite if it can't.
absl::Duration
GapLimit(const catalog::Route& aRoute, const History& aHistory);

// Bytes of an answer that isn't a stream that count as progress, and the rate
// at which one of known length comes at least: a tenth of the slowest links
// that hosts have. Single bytes now and then are none.
inline constexpr std::size_t kProgressBytes = 16U << 10U;
inline constexpr double kMinBytesPerSecond = 1e6 / 8.0;

// Returns how long the rest of an answer of some length may take before its
// request goes to another target; infinite if it can't. aLength: 0 if it isn't
// known.
absl::Duration
BodyTimeLimit(const catalog::Route& aRoute,
              const History& aHistory,
              std::uint64_t aLength);

// Decides the next step. aBudgetLeft: a second send may be made.
NextStep
DecideNextStep(const catalog::Route& aRoute,
               const History& aHistory,
               AttemptEnd aEnd,
               absl::Duration aTimeLeft,
               bool aBudgetLeft);

// Returns how long a request waits for the first sign of an answer, beyond the
// time that its target is expected to take, before it goes to another target;
// infinite if it can't. The history includes the attempt that waits.
absl::Duration
SilenceLimit(const catalog::Route& aRoute, const History& aHistory);

} // namespace lycheeplank::retry

#endif
