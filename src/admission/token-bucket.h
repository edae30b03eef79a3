#ifndef LYCHEEPLANK_SRC_ADMISSION_TOKEN_BUCKET_H
#define LYCHEEPLANK_SRC_ADMISSION_TOKEN_BUCKET_H

#include <absl/time/time.h>

#include "lycheeplank/admission.h"

namespace lycheeplank::admission {

// Size of a retry budget.
struct RetryBudget
{
  // Most retries that successes can pay in.
  double maxTokens_ = 0.0;
  // Retries that time alone pays in, so that a rare request may be retried.
  double floorTokens_ = 0.0;
  double floorPerSecond_ = 0.0;
};

inline constexpr RetryBudget kWorkspaceRetries{ 10.0, 2.0, 0.1 };
inline constexpr RetryBudget kHostRetries{ 100.0, 10.0, 1.0 };

// Adds tokens for the time since the last refill, up to aMax.
void
Refill(TokenBucket& aBucket, double aPerSecond, double aMax, absl::Time aNow);

// Returns a bucket that holds the floor of a budget.
TokenBucket
MakeRetryBudget(const RetryBudget& aBudget);

} // namespace lycheeplank::admission

#endif
