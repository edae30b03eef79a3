#ifndef LYCHEEPLANK_SRC_ADMISSION_TOKEN_BUCKET_H
#define LYCHEEPLANK_SRC_ADMISSION_TOKEN_BUCKET_H

#include <absl/time/time.h>

#include "lycheeplank/admission.h"

namespace lycheeplank::admission {

// The limits of a retry budget.
struct RetryBudget
{
  // Most retries that can be saved up by successes.
  double maxTokens_ = 0.0;
  // Retries that are refilled over time, without any success, so that the
  // failures of a workspace with few requests can be retried too.
  double floorTokens_ = 0.0;
  double floorPerSecond_ = 0.0;
};

inline constexpr RetryBudget kWorkspaceRetries{ 10.0, 2.0, 0.1 };
inline constexpr RetryBudget kHostRetries{ 100.0, 10.0, 1.0 };

// Adds tokens for the time since the last refill, up to aMax tokens.
void
Refill(TokenBucket& aBucket, double aPerSecond, double aMax, absl::Time aNow);

// Returns a bucket that is filled to the floor of a budget.
TokenBucket
MakeRetryBudget(const RetryBudget& aBudget);

} // namespace lycheeplank::admission

#endif
