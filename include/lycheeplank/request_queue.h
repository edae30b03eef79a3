#ifndef LYCHEEPLANK_REQUEST_QUEUE_H
#define LYCHEEPLANK_REQUEST_QUEUE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

// The queue of requests that wait at a host until a target has memory for them.
// For some seconds long prompts may arrive faster than targets finish them, for
// example when some targets are gone or new weights have invalidated all cached
// prompts. Sent at once, the requests would fill the targets' memory and evict
// each other, and their prompts would have to be computed again. In order of
// arrival all requests would be late. So while the oldest request has missed
// its goal, requests that can still meet theirs go first, and the late ones
// take the remaining capacity, newest first.
// Short prompts may pass long ones. A short prompt fits into free memory that
// is too small for a long one, delays the long ones little, and is worth as
// much.
// Deployments with priority scheduling use StartOrder instead: the most urgent
// requests go first, the workspaces of one priority in turn, and a short prompt
// passes more urgent ones only where room is left for them.
namespace lycheeplank::request_queue {

struct QueuedRequest
{
  std::uint64_t id_ = 0;
  absl::Time arrivedAt_;
  // Time until which an answer is worth most.
  absl::Time goalAt_;
  // Time after which the caller no longer waits.
  absl::Time callerLeavesAt_;
  // The request needs little memory.
  bool isSmall_ = false;
  // The remaining fields are used by StartOrder only.
  std::string service_;
  std::string workspace_;
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  // Tokens that the request holds in a target's memory.
  std::uint64_t tokens_ = 0;
};

// The state of start-time fair queueing among the workspaces of one service and
// priority, in tokens.
struct Turns
{
  // Start tag of the request that started last.
  double virtualTime_ = 0.0;
  // Finish tag of the last request, and all tokens that have started, by
  // workspace.
  absl::flat_hash_map<std::string, double> finish_;
  absl::flat_hash_map<std::string, double> started_;
};

// The rate at which requests of a service start while others of it wait: sums
// of tokens and of time that decay with kThroughputWindow.
struct Throughput
{
  double tokens_ = 0.0;
  double seconds_ = 0.0;
  // Time up to which the sums are complete, and time of the last start.
  absl::Time countedTo_ = absl::InfinitePast();
  absl::Time startedAt_ = absl::InfinitePast();
};

struct Queue
{
  // In order of arrival.
  std::vector<QueuedRequest> entries_;
  // Moving average of the time between two starts, in seconds.
  double startInterval_ = 0.0;
  absl::Time startedAt_ = absl::InfinitePast();
  // Time at which the queue last became non-empty.
  absl::Time nonEmptySince_ = absl::InfinitePast();
  // By service, and by service and priority.
  absl::flat_hash_map<std::string, Throughput> throughputs_;
  absl::btree_map<std::pair<std::string, std::uint32_t>, Turns> turns_;
};

inline constexpr double kIntervalAverageWeight = 0.2;
// Share of a target's memory up to which a request counts as small; tens of
// small requests take the memory of a few long prompts.
inline constexpr double kSmallRequestShare = 1.0 / 32.0;

// Averaging time of a throughput, the shortest time with waiting requests from
// which it is known, and the time without a start after which it is forgotten:
// targets may have come or gone meanwhile.
inline constexpr absl::Duration kThroughputWindow = absl::Seconds(2);
inline constexpr absl::Duration kMinThroughputTime = absl::Milliseconds(500);
inline constexpr absl::Duration kThroughputLife = absl::Seconds(5);

// Adds a request. If so many wait that it could not start before its caller
// leaves, returns instead the time until a place is expected.
absl::optional<absl::Duration>
Enqueue(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow);

// Returns the request to start next without removing it.
absl::optional<std::uint64_t>
NextToStart(const Queue& aQueue, absl::Time aNow);

// Returns the small requests in order of arrival; they may start before the
// others.
std::vector<std::uint64_t>
SmallRequests(const Queue& aQueue);

// Removes a request that starts and updates the start interval.
void
StartRequest(Queue& aQueue, std::uint64_t aId, absl::Time aNow);

// Removes a request that ended without a start; returns false if it is not in
// the queue.
bool
RemoveRequest(Queue& aQueue, std::uint64_t aId);

// Removes and returns the requests whose callers no longer wait.
std::vector<std::uint64_t>
RemoveExpired(Queue& aQueue, absl::Time aNow);

// Adds a request without an estimate of its start.
void
AddRequest(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow);

// Records the start of a request that hasn't waited, which counts for the
// throughput and for its workspace.
void
RecordStart(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow);

// Returns the waiting requests in the order in which they are to start: first
// those that can still meet their goals, by priority, and then the late ones,
// by priority. Within one priority the workspaces take turns by tokens. Within
// one workspace the newest goes first: the oldest ones in time mostly start so
// late that their answers are late. In simulations the oldest first met fewer
// goals where long prompts are urgent, and up to 2% more where short ones are.
std::vector<QueuedRequest>
StartOrder(const Queue& aQueue, absl::Time aNow);

// The requests of one service that found no room in one pass over the queue.
struct Blocked
{
  // Lowest priority number of the small ones; no value without one.
  absl::optional<std::uint32_t> smallPriority_;
};

// By service.
using Pass = absl::flat_hash_map<std::string, Blocked>;

// Returns whether a request may use room that the requests before it could not:
// a small one may, unless a small one before it is as urgent. It leaves room
// for those that go before it, see LargestBefore.
bool
MayPass(const Pass& aPass, const QueuedRequest& aRequest);

void
RecordBlocked(Pass& aPass, const QueuedRequest& aRequest);

// Returns whether a request that arrives has to wait behind others that go
// before it.
bool
MustWait(const Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow);

// Returns the tokens of the largest waiting request of the same service that
// can still meet its goal and for which a request leaves room: it is more
// urgent, or the request itself is late. 0 if there is none.
std::uint64_t
LargestBefore(const Queue& aQueue,
              const QueuedRequest& aRequest,
              absl::Time aNow);

// Returns the tokens of a service that start each second while requests of it
// wait; no value if that is not known. A few starts vary by chance, so the
// estimate includes one more start of aTokens.
absl::optional<double>
TokensPerSecond(const Queue& aQueue,
                const std::string& aService,
                std::uint64_t aTokens,
                absl::Time aNow);

// Returns the tokens that start before a request, which may be in the queue or
// not.
std::uint64_t
TokensBefore(const Queue& aQueue,
             const QueuedRequest& aRequest,
             absl::Time aNow);

// Returns the share of a workspace in the starts of its service and priority
// while requests waited, as a multiple of an equal share: 0 if none of its
// requests has started, 1 if it has had as much as the others, also if nothing
// has started.
double
WorkspaceShare(const Queue& aQueue, const QueuedRequest& aRequest);

} // namespace lycheeplank::request_queue

#endif
