#include "lycheeplank/admission.h"

#include <algorithm>

#include "admission/token-bucket.h"

namespace lycheeplank::admission {

namespace {

// Refills a retry budget over time, up to its floor.
void
RefillFloor(TokenBucket& aBucket, const RetryBudget& aBudget, absl::Time aNow)
{
  if (aBucket.refilled_ == absl::InfinitePast()) {
    // A host that has just started may use the whole floor at once.
    aBucket.tokens_ = std::max(aBucket.tokens_, aBudget.floorTokens_);
  }
  const double max = std::max(aBucket.tokens_, aBudget.floorTokens_);
  Refill(aBucket, aBudget.floorPerSecond_, max, aNow);
}

// Adds tokens to a retry budget, up to its limit.
void
AddTokens(TokenBucket& aBucket, const RetryBudget& aBudget, double aTokens)
{
  aBucket.tokens_ = std::min(aBudget.maxTokens_, aBucket.tokens_ + aTokens);
}

// Returns whether a retry is allowed; takes nothing from the budgets.
RetryVerdict
CheckRetry(const State& aState,
           const TokenBucket& aWorkspaceRetries,
           const FailedAttempt& aAttempt,
           const config::Limits& aLimits,
           absl::Time aNow)
{
  if (aNow + aAttempt.cost_ >= aAttempt.deadline_) {
    return RetryVerdict::DeadlineTooNear;
  }
  if (aAttempt.attempts_ >= aLimits.maxAttempts_) {
    return RetryVerdict::TooManyAttempts;
  }
  if (aState.retryBudget_.tokens_ < 1.0) {
    return RetryVerdict::HostBudgetSpent;
  }
  if (aWorkspaceRetries.tokens_ < 1.0) {
    return RetryVerdict::WorkspaceBudgetSpent;
  }
  return RetryVerdict::Allowed;
}

// Returns the retry budget of a workspace; creates its state if there is none.
TokenBucket&
RetryBudgetOf(State& aState, absl::string_view aWorkspace, absl::Time aNow)
{
  const auto [found, isNew] = aState.workspaces_.try_emplace(aWorkspace);
  if (isNew) {
    found->second.virtualStart_ = aState.virtualTime_;
    found->second.rateLimit_.tokens_ = 1.0;
    found->second.retryBudget_ = MakeRetryBudget(kWorkspaceRetries);
  }
  found->second.lastUsed_ = aNow;
  return found->second.retryBudget_;
}

} // namespace

void
Refill(TokenBucket& aBucket, double aPerSecond, double aMax, absl::Time aNow)
{
  if (aBucket.refilled_ == absl::InfinitePast()) {
    aBucket.refilled_ = aNow;
  }
  const double passed = absl::ToDoubleSeconds(aNow - aBucket.refilled_);
  const double tokens = aBucket.tokens_ + aPerSecond * std::max(passed, 0.0);
  aBucket.tokens_ = std::min(aMax, tokens);
  aBucket.refilled_ = std::max(aNow, aBucket.refilled_);
}

TokenBucket
MakeRetryBudget(const RetryBudget& aBudget)
{
  return { aBudget.floorTokens_, absl::InfinitePast() };
}

void
RecordSuccess(State& aState,
              absl::string_view aWorkspace,
              const config::Limits& aLimits,
              absl::Time aNow)
{
  AddTokens(aState.retryBudget_, kHostRetries, aLimits.retryShare_);
  AddTokens(RetryBudgetOf(aState, aWorkspace, aNow),
            kWorkspaceRetries,
            aLimits.retryShare_);
}

RetryVerdict
TakeRetry(State& aState,
          const FailedAttempt& aAttempt,
          const config::Limits& aLimits,
          absl::Time aNow)
{
  auto& workspace = RetryBudgetOf(aState, aAttempt.workspace_, aNow);
  RefillFloor(aState.retryBudget_, kHostRetries, aNow);
  RefillFloor(workspace, kWorkspaceRetries, aNow);
  const auto verdict = CheckRetry(aState, workspace, aAttempt, aLimits, aNow);
  ++aState.counters_.verdicts_[static_cast<std::size_t>(verdict)];
  if (verdict != RetryVerdict::Allowed) {
    return verdict;
  }
  aState.retryBudget_.tokens_ -= 1.0;
  workspace.tokens_ -= 1.0;
  ++aState.counters_.retries_[static_cast<std::size_t>(aAttempt.reason_)];
  return verdict;
}

} // namespace lycheeplank::admission
