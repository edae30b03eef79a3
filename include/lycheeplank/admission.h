#ifndef LYCHEEPLANK_ADMISSION_H
#define LYCHEEPLANK_ADMISSION_H

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"

// Admission control: queues, starts or refuses requests, limits retries by
// budgets, and ejects failing targets.
namespace lycheeplank::admission {

// Whether a caller waits for the answer (interactive) or can take it later
// (batch).
enum class Priority
{
  Interactive,
  Batch,
};

inline constexpr std::array<core::Named<Priority>, 2> kPriorities{ {
  { Priority::Interactive, "interactive" },
  { Priority::Batch, "batch" },
} };

// Why a request was refused, or dropped from the queue, before it started.
enum class Refusal
{
  // The estimated end of the run lies after the deadline.
  DeadlineUnreachable,
  // The request waited until it could no longer meet its deadline.
  WaitedTooLong,
  // The deadline passed while the request waited.
  DeadlinePassed,
  // The queue of the workspace is at its limit.
  QueueFull,
  // The workspace sends more requests a second than its limit.
  RateLimit,
  // The host has no slot and none is due to become free.
  NoCapacity,
};

inline constexpr std::array<core::Named<Refusal>, 6> kRefusals{ {
  { Refusal::DeadlineUnreachable, "deadline_unreachable" },
  { Refusal::WaitedTooLong, "waited_too_long" },
  { Refusal::DeadlinePassed, "deadline_passed" },
  { Refusal::QueueFull, "queue_full" },
  { Refusal::RateLimit, "rate_limit" },
  { Refusal::NoCapacity, "no_capacity" },
} };

// Returns the kind of error that a caller gets for a refusal.
core::ErrorKind
ErrorKindOf(Refusal aRefusal);

// Why an attempt failed and may be retried.
enum class RetryReason
{
  ConnectFailed,
  TargetRefused,
  TargetError,
  StreamCut,
  TimedOut,
  TargetLeaving,
  WrongVersion,
};

inline constexpr std::array<core::Named<RetryReason>, 7> kRetryReasons{ {
  { RetryReason::ConnectFailed, "connect_failed" },
  { RetryReason::TargetRefused, "target_refused" },
  { RetryReason::TargetError, "target_error" },
  { RetryReason::StreamCut, "stream_cut" },
  { RetryReason::TimedOut, "timed_out" },
  { RetryReason::TargetLeaving, "target_leaving" },
  { RetryReason::WrongVersion, "wrong_version" },
} };

// Whether a retry is allowed, and if not, which limit denies it.
enum class RetryVerdict
{
  Allowed,
  HostBudgetSpent,
  WorkspaceBudgetSpent,
  TooManyAttempts,
  DeadlineTooNear,
};

inline constexpr std::array<core::Named<RetryVerdict>, 5> kRetryVerdicts{ {
  { RetryVerdict::Allowed, "allowed" },
  { RetryVerdict::HostBudgetSpent, "host_budget_spent" },
  { RetryVerdict::WorkspaceBudgetSpent, "workspace_budget_spent" },
  { RetryVerdict::TooManyAttempts, "too_many_attempts" },
  { RetryVerdict::DeadlineTooNear, "deadline_too_near" },
} };

// Number of times that each decision was taken. The arrays are indexed by the
// enumerations above.
struct Counters
{
  std::uint64_t started_ = 0;
  std::uint64_t queued_ = 0;
  std::uint64_t promoted_ = 0;
  std::array<std::uint64_t, kRefusals.size()> refusals_{};
  std::array<std::uint64_t, kRetryReasons.size()> retries_{};
  std::array<std::uint64_t, kRetryVerdicts.size()> verdicts_{};
};

// The limits of a workspace on one host.
struct Quota
{
  // Weight of the workspace when workspaces compete for slots.
  double share_ = 1.0;
  std::uint32_t maxRunning_ = 64;
  std::uint32_t maxWaiting_ = 256;
  double requestsPerSecond_ = 1000.0;
};

// Returns the quota of a workspace on one of aHosts hosts. Counts and rates are
// divided by the number of hosts, counts rounded up.
Quota
QuotaOf(const config::Workspace& aWorkspace, std::uint32_t aHosts);

// A request to admit.
struct Request
{
  // Chosen by the caller, unique among waiting and running requests.
  std::uint64_t id_ = 0;
  std::string workspace_;
  Priority priority_ = Priority::Interactive;
  absl::Time deadline_ = absl::InfiniteFuture();
  // Estimated time that the run occupies a slot.
  absl::Duration cost_ = absl::Seconds(1);
};

// Orders the requests of a queue by their latest possible start, then by
// arrival.
struct WaitingKey
{
  absl::Time latestStart_;
  std::uint64_t sequence_ = 0;

  friend bool operator<(const WaitingKey& aLeft, const WaitingKey& aRight)
  {
    return aLeft.latestStart_ != aRight.latestStart_
             ? aLeft.latestStart_ < aRight.latestStart_
             : aLeft.sequence_ < aRight.sequence_;
  }
};

// The waiting requests of one priority in one workspace.
struct Queue
{
  absl::btree_map<WaitingKey, Request> waiting_;
  // Sum of the estimated costs.
  absl::Duration work_ = absl::ZeroDuration();
};

// A token bucket that is refilled over time or by successful requests.
struct TokenBucket
{
  double tokens_ = 0.0;
  absl::Time refilled_ = absl::InfinitePast();
};

// The state of one workspace. RemoveIdleWorkspaces drops it when unused.
struct WorkspaceState
{
  Quota quota_;
  // One queue for each priority.
  std::array<Queue, kPriorities.size()> queues_;
  std::uint32_t running_ = 0;
  // True if its share is part of State::activeShare_.
  bool active_ = false;
  // Start tag of start-time fair queueing: the service received so far, in
  // seconds, divided by the share.
  double virtualStart_ = 0.0;
  // Requests that the rate limit still allows.
  TokenBucket rateLimit_;
  // Retries that the workspace may still use.
  TokenBucket retryBudget_;
  // Latest retry time that a refused caller was given.
  absl::Time nextRetry_ = absl::InfinitePast();
  absl::Time lastUsed_ = absl::InfinitePast();
};

// A workspace that could start a request; ordered by virtual start.
using ReadyKey = std::pair<double, std::string>;

// A running request.
struct RunningRequest
{
  std::string workspace_;
  absl::Duration cost_;
  absl::Time started_;
};

// Locates a waiting request in its queue.
struct QueuePosition
{
  std::string workspace_;
  Priority priority_ = Priority::Interactive;
  WaitingKey key_;
  // When a batch request is moved to the interactive queue.
  absl::Time promotion_ = absl::InfiniteFuture();
};

// A time at which a waiting request is due, and the request's id.
using Timer = std::pair<absl::Time, std::uint64_t>;

// The waiting and running requests of one host for one model or service.
struct State
{
  // Number of requests that may run at a time; the caller sets it from the free
  // capacity of the targets.
  std::uint32_t slots_ = 0;
  absl::flat_hash_map<std::string, WorkspaceState> workspaces_;
  absl::flat_hash_map<std::uint64_t, RunningRequest> running_;
  // Positions of the waiting requests.
  absl::flat_hash_map<std::uint64_t, QueuePosition> positions_;
  // Workspaces with a waiting request and fewer running requests than their
  // limit, by priority.
  std::array<absl::btree_set<ReadyKey>, kPriorities.size()> ready_;
  absl::btree_set<Timer> latestStarts_;
  absl::btree_set<Timer> promotions_;
  // Sum of the estimated costs of the waiting requests, by priority.
  std::array<absl::Duration, kPriorities.size()> work_{};
  // Sum of the estimated costs of the running requests.
  absl::Duration runningWork_ = absl::ZeroDuration();
  // Largest virtual start at which a request was started.
  double virtualTime_ = 0.0;
  // Sum of the shares of workspaces with waiting or running requests.
  double activeShare_ = 0.0;
  // Moving average of the measured cost divided by the estimated cost.
  double costRatio_ = 1.0;
  std::uint64_t nextSequence_ = 0;
  // Retries that the whole host may still use.
  TokenBucket retryBudget_;
  Counters counters_;
  absl::Time lastSweep_ = absl::InfinitePast();
};

// Whether a request was admitted.
enum class Verdict
{
  // The request waits until StartNext returns it.
  Queued,
  Refused,
};

// The result of Admit.
struct Decision
{
  Verdict verdict_ = Verdict::Queued;
  // These two are valid only if the request was refused.
  Refusal refusal_ = Refusal::QueueFull;
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Queues a request or refuses it at once.
Decision
Admit(State& aState,
      const Request& aRequest,
      const Quota& aQuota,
      absl::Time aNow);

// Takes the next request out of its queue, counts it as running and returns it.
// Returns nothing if no slot is free or no waiting request may start.
absl::optional<Request>
StartNext(State& aState, absl::Time aNow);

// Ends a running request and frees its slot.
void
FinishRequest(State& aState, std::uint64_t aId, absl::Time aNow);

// Removes a waiting request, for instance because its caller disconnected.
// Returns false if the request isn't waiting.
bool
Withdraw(State& aState, std::uint64_t aId);

// A waiting request that can no longer meet its deadline.
struct ExpiredRequest
{
  Request request_;
  Refusal refusal_ = Refusal::DeadlinePassed;
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Removes and returns all waiting requests that can no longer meet their
// deadlines, and moves batch requests near their latest start to the
// interactive queue.
std::vector<ExpiredRequest>
Expire(State& aState, absl::Time aNow);

// Returns the time of the next expiry or promotion of a waiting request.
absl::Time
NextExpiry(const State& aState);

// Estimates how long a new request would wait for its start; infinite if the
// host has no slots.
absl::Duration
EstimatedWait(const State& aState, const Request& aRequest);

// Returns the time after which a refused caller may retry. Each refusal
// reserves a later time, so that refused callers don't retry together.
absl::Duration
RetryAfter(State& aState,
           const Request& aRequest,
           Refusal aRefusal,
           absl::Time aNow);

// Drops the state of workspaces that have been idle for a while and whose
// refused callers have passed their retry times. Most calls return at once: a
// scan runs only every few seconds.
void
RemoveIdleWorkspaces(State& aState, absl::Time aNow);

// A failed attempt that may be retried.
struct FailedAttempt
{
  std::string workspace_;
  RetryReason reason_ = RetryReason::ConnectFailed;
  // Number of attempts so far, including this one.
  std::uint32_t attempts_ = 1;
  absl::Time deadline_ = absl::InfiniteFuture();
  absl::Duration cost_ = absl::ZeroDuration();
};

// Credits a successful request to the retry budgets of the host and of the
// workspace.
void
RecordSuccess(State& aState,
              absl::string_view aWorkspace,
              const config::Limits& aLimits,
              absl::Time aNow);

// Takes one retry from the budgets of the host and of the workspace, if both
// have one left and the attempt limit and the deadline allow it.
RetryVerdict
TakeRetry(State& aState,
          const FailedAttempt& aAttempt,
          const config::Limits& aLimits,
          absl::Time aNow);

// Recent failures of one target, and whether it is ejected.
struct TargetHealth
{
  std::uint32_t consecutiveFailures_ = 0;
  // Moving average over the last requests.
  double errorRate_ = 0.0;
  // Requests in the error rate.
  std::uint32_t samples_ = 0;
  bool ejected_ = false;
  absl::Time ejectedUntil_ = absl::InfinitePast();
  // Ejections in close succession; they double the length of the next one.
  std::uint32_t ejections_ = 0;
  // When the probe request was sent; infinite past if none is outstanding.
  absl::Time probeStarted_ = absl::InfinitePast();
};

// The health of the targets that serve one model or plain service.
struct TargetPool
{
  absl::btree_map<std::string, TargetHealth> targets_;
  // Number of ejected targets.
  std::size_t ejectedCount_ = 0;
  // Makes ejection times differ between hosts; any number that differs by host.
  std::uint64_t seed_ = 0;
};

// Whether a target may get a request.
enum class Availability
{
  Usable,
  // One request may be sent to probe whether the target has recovered.
  Probe,
  Ejected,
};

// Sets the targets of a pool and drops the health records of all others.
void
SetTargets(TargetPool& aPool, const std::vector<std::string>& aNames);

// Returns whether a target may get a request now.
Availability
AvailabilityOf(const TargetPool& aPool,
               absl::string_view aTarget,
               absl::Time aNow);

// Records that a request is sent to a target. It counts as the probe if one is
// due.
void
RecordDispatch(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow);

// Records an answer of a target. An ejected target that answers its probe is
// readmitted.
void
RecordAnswer(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow);

// Records a failure of a target. Returns true if the failure ejects it.
bool
RecordFailure(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow);

} // namespace lycheeplank::admission

#endif
