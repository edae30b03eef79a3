#ifndef LYCHEEPLANK_RETRY_H
#define LYCHEEPLANK_RETRY_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

#include "lycheeplank/catalog.h"
#include "lycheeplank/core.h"

// The decision about the next step after an attempt to have a request answered
// by a target.
namespace lycheeplank::retry {

// The end of one attempt, as far as the request may have been run by it.
enum class AttemptEnd
{
  // No byte of the request was sent.
  NotSent,
  // The target reports that it has not run the request and will not run it.
  NotRun,
  // The target answered with an error of its own.
  Error,
  // The target answered with a status that promises that the request has not
  // run, but doesn't state so; the request may have been run.
  UnprovenRefusal,
  // No answer or an unusable one; the request may have been run.
  Failed,
  // No answer within the usual time.
  Silent,
  // The run had not started when the target's weights became too old.
  Outdated,
  // Part of the answer has been sent to the caller.
  CutAnswer,
};

inline constexpr std::array<core::Named<AttemptEnd>, 8> kAttemptEnds{ {
  { AttemptEnd::NotSent, "not_sent" },
  { AttemptEnd::NotRun, "not_run" },
  { AttemptEnd::Error, "error" },
  { AttemptEnd::UnprovenRefusal, "unproven_refusal" },
  { AttemptEnd::Failed, "failed" },
  { AttemptEnd::Silent, "silent" },
  { AttemptEnd::Outdated, "outdated" },
  { AttemptEnd::CutAnswer, "cut_answer" },
} };

// The attempts of one request so far.
struct History
{
  // Number of times that the request was written to a target, and of those
  // after which it may have been run.
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  // Number of all attempts, failed connections included.
  std::uint32_t tries_ = 0;
};

enum class NextStep
{
  // Try another target. If the request was written before, this takes one
  // resend from the retry budget.
  TryAgain,
  // Answer that the request was not run and when to retry.
  Refuse,
  // Forward the target's own error.
  PassOn,
  // Answer that the request failed.
  Fail,
  // Cut the answer off.
  Cut,
};

inline constexpr std::array<core::Named<NextStep>, 5> kNextSteps{ {
  { NextStep::TryAgain, "try_again" },
  { NextStep::Refuse, "refuse" },
  { NextStep::PassOn, "pass_on" },
  { NextStep::Fail, "fail" },
  { NextStep::Cut, "cut" },
} };

// Maximum number of attempts of one request, and of times that it is written to
// a target. A request that finds this many targets full would find all of them
// full.
inline constexpr std::uint32_t kMaxTries = 6;
inline constexpr std::uint32_t kMaxSends = 4;
// Minimum time left that is worth another attempt.
inline constexpr absl::Duration kMinTimeLeft = absl::Milliseconds(30);

// Returns how long a started stream waits for its next event before it
// continues at another target; infinite if it may not.
absl::Duration
GapLimit(const catalog::Route& aRoute, const History& aHistory);

// Bytes of a non-stream answer that count as progress, and the minimum rate of
// an answer of known length: a tenth of the slowest links of the hosts. Single
// bytes now and then do not count as progress.
inline constexpr std::size_t kProgressBytes = 16U << 10U;
inline constexpr double kMinBytesPerSecond = 1e6 / 8.0;

// Returns the maximum time for the rest of an answer before its request goes to
// another target; infinite if it may not. aLength: bytes of the answer, 0 if
// not known.
absl::Duration
BodyTimeLimit(const catalog::Route& aRoute,
              const History& aHistory,
              std::uint64_t aLength);

// Returns the next step. aBudgetLeft: the retry budget allows a resend.
NextStep
DecideNextStep(const catalog::Route& aRoute,
               const History& aHistory,
               AttemptEnd aEnd,
               absl::Duration aTimeLeft,
               bool aBudgetLeft);

// Returns how long, beyond the expected time of the target, a request waits for
// the first event of an answer before it goes to another target; infinite if it
// may not. The history includes the current attempt.
absl::Duration
SilenceLimit(const catalog::Route& aRoute, const History& aHistory);

} // namespace lycheeplank::retry

#endif
