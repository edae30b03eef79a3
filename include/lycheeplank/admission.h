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

// Decides which requests wait, start or are refused, which failures are
// retried, and which targets are left out after failures.
namespace lycheeplank::admission {

// Whether a caller waits for the answer or lets it come later.
enum class Priority
{
  Interactive,
  Batch,
};

inline constexpr std::array<core::Named<Priority>, 2> kPriorities{ {
  { Priority::Interactive, "interactive" },
  { Priority::Batch, "batch" },
} };

// Why a request was refused or given up before it started.
enum class Refusal
{
  // The deadline lies before the estimated end of the run.
  DeadlineUnreachable,
  // The request waited until its deadline could no longer be met.
  WaitedTooLong,
  // The deadline passed while the request waited.
  DeadlinePassed,
  // The queue of the workspace is at its limit.
  QueueFull,
  // The workspace sends more requests a second than its limit.
  RateLimit,
  // The host has no slot and expects none.
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

// Why a failed attempt is to be repeated.
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

// What the retry budgets say to one retry.
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

// How often each decision was taken, indexed by the enums above.
struct Counters
{
  std::uint64_t started_ = 0;
  std::uint64_t queued_ = 0;
  std::uint64_t promoted_ = 0;
  std::array<std::uint64_t, kRefusals.size()> refusals_{};
  std::array<std::uint64_t, kRetryReasons.size()> retries_{};
  std::array<std::uint64_t, kRetryVerdicts.size()> verdicts_{};
};

// What one host allows a workspace.
struct Quota
{
  double share_ = 1.0;
  std::uint32_t maxRunning_ = 64;
  std::uint32_t maxWaiting_ = 256;
  double requestsPerSecond_ = 1000.0;
};

// Returns the part of a workspace's limits that one of aHosts hosts keeps.
Quota
QuotaOf(const config::Workspace& aWorkspace, std::uint32_t aHosts);

// A request that asks to be started.
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

// Position of a waiting request: the latest start first, then the order of
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
  absl::Duration work_ = absl::ZeroDuration();
};

// A bucket whose tokens are refilled over time or by successes.
struct TokenBucket
{
  double tokens_ = 0.0;
  absl::Time refilled_ = absl::InfinitePast();
};

// State of one workspace; kept only while it has something to remember.
struct WorkspaceState
{
  Quota quota_;
  // One queue for each priority.
  std::array<Queue, kPriorities.size()> queues_;
  std::uint32_t running_ = 0;
  // Its share counts in the sum of the active ones.
  bool active_ = false;
  // Service received so far, divided by the share (start tag of start-time
  // fair queueing).
  double virtualStart_ = 0.0;
  TokenBucket rateLimit_;
  TokenBucket retryBudget_;
  // Until when the callers refused so far were asked to stay away.
  absl::Time nextRetry_ = absl::InfinitePast();
  absl::Time lastUsed_ = absl::InfinitePast();
};

// A workspace that could start a request, ordered by its virtual start.
using ReadyKey = std::pair<double, std::string>;

// A request that runs, and when it started.
struct RunningRequest
{
  std::string workspace_;
  absl::Duration cost_;
  absl::Time started_;
};

// Where a waiting request stands.
struct QueuePosition
{
  std::string workspace_;
  Priority priority_ = Priority::Interactive;
  WaitingKey key_;
  // When a batch request starts to count as interactive.
  absl::Time promotion_ = absl::InfiniteFuture();
};

// A time at which something is due for a waiting request.
using Timer = std::pair<absl::Time, std::uint64_t>;

// All that one host knows of its waiting and running requests.
struct State
{
  // Runs that may be started at once; follows the free capacity of targets.
  std::uint32_t slots_ = 0;
  absl::flat_hash_map<std::string, WorkspaceState> workspaces_;
  absl::flat_hash_map<std::uint64_t, RunningRequest> running_;
  absl::flat_hash_map<std::uint64_t, QueuePosition> positions_;
  // Workspaces with a waiting request and room to run it, by priority.
  std::array<absl::btree_set<ReadyKey>, kPriorities.size()> ready_;
  absl::btree_set<Timer> latestStarts_;
  absl::btree_set<Timer> promotions_;
  // Estimated work of the waiting requests, by priority.
  std::array<absl::Duration, kPriorities.size()> work_{};
  absl::Duration runningWork_ = absl::ZeroDuration();
  double virtualTime_ = 0.0;
  // Sum of the shares of workspaces that wait or run.
  double activeShare_ = 0.0;
  // Moving average of measured over estimated cost.
  double costRatio_ = 1.0;
  std::uint64_t nextSequence_ = 0;
  TokenBucket retryBudget_;
  Counters counters_;
  absl::Time lastSweep_ = absl::InfinitePast();
};

// What happened to a request that asked to be started.
enum class Verdict
{
  // Waits; Next hands it out.
  Queued,
  Refused,
};

struct Decision
{
  Verdict verdict_ = Verdict::Queued;
  // Both only of a refusal.
  Refusal refusal_ = Refusal::QueueFull;
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Queues a request or refuses it at once.
Decision
Admit(State& aState,
      const Request& aRequest,
      const Quota& aQuota,
      absl::Time aNow);

// Takes the request to start next out of its queue and counts it as running,
// or returns nothing if no slot is free or none may start.
absl::optional<Request>
StartNext(State& aState, absl::Time aNow);

// Ends a running request; its slot becomes free.
void
FinishRequest(State& aState, std::uint64_t aId, absl::Time aNow);

// Takes a waiting request out because its caller has gone; false if it
// doesn't wait.
bool
Withdraw(State& aState, std::uint64_t aId);

// A waiting request that is given up.
struct ExpiredRequest
{
  Request request_;
  Refusal refusal_ = Refusal::DeadlinePassed;
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Takes out all waiting requests that can no longer meet their deadlines, and
// moves batch requests near their latest start to the interactive queue.
std::vector<ExpiredRequest>
Expire(State& aState, absl::Time aNow);

// Returns when Expire has something to do next.
absl::Time
NextExpiry(const State& aState);

// Returns how long a new request of the workspace would wait for its start.
absl::Duration
EstimatedWait(const State& aState, const Request& aRequest);

// Returns when a refused caller shall come back. Each refusal reserves a later
// time, so that refused callers don't come back together.
absl::Duration
RetryAfter(State& aState,
           const Request& aRequest,
           Refusal aRefusal,
           absl::Time aNow);

// Forgets workspaces that neither wait nor run nor have spent tokens.
void
RemoveIdleWorkspaces(State& aState, absl::Time aNow);

// An attempt that failed and might be repeated.
struct FailedAttempt
{
  std::string workspace_;
  RetryReason reason_ = RetryReason::ConnectFailed;
  // Number of attempts so far.
  std::uint32_t attempts_ = 1;
  absl::Time deadline_ = absl::InfiniteFuture();
  absl::Duration cost_ = absl::ZeroDuration();
};

// Pays a success into the retry budgets of the host and of the workspace.
void
RecordSuccess(State& aState,
              absl::string_view aWorkspace,
              const config::Limits& aLimits,
              absl::Time aNow);

// Takes one retry from both budgets, if both have one.
RetryVerdict
TakeRetry(State& aState,
          const FailedAttempt& aAttempt,
          const config::Limits& aLimits,
          absl::Time aNow);

// What is known of the failures of one target.
struct TargetHealth
{
  std::uint32_t consecutiveFailures_ = 0;
  // Moving averages over the last requests.
  double errorRate_ = 0.0;
  std::uint32_t samples_ = 0;
  bool ejected_ = false;
  absl::Time ejectedUntil_ = absl::InfinitePast();
  // How often it was put aside without a long good time between.
  std::uint32_t ejections_ = 0;
  absl::Time probeStarted_ = absl::InfinitePast();
};

// The targets that serve one model or plain service.
struct TargetPool
{
  absl::btree_map<std::string, TargetHealth> targets_;
  // Number of targets put aside.
  std::size_t ejectedCount_ = 0;
  // Spreads the times of different hosts; any number that differs by host.
  std::uint64_t seed_ = 0;
};

// Whether a target may get a request.
enum class Availability
{
  Usable,
  // One request may find out whether it works again.
  Probe,
  Ejected,
};

// Sets which targets belong to a pool; what is known of the others goes.
void
SetTargets(TargetPool& aPool, const std::vector<std::string>& aNames);

// Tells whether a target may get a request now.
Availability
AvailabilityOf(const TargetPool& aPool,
               absl::string_view aTarget,
               absl::Time aNow);

// Notes that a request goes to a target; it counts as the probe if one is due.
void
RecordDispatch(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow);

// Notes an answer of a target; a target that was aside is used again.
void
RecordAnswer(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow);

// Notes a failure of a target; returns true if that puts it aside.
bool
RecordFailure(TargetPool& aPool, absl::string_view aTarget, absl::Time aNow);

} // namespace lycheeplank::admission

#endif
