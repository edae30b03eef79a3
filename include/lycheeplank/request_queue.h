#ifndef LYCHEEPLANK_REQUEST_QUEUE_H
#define LYCHEEPLANK_REQUEST_QUEUE_H

#include <cstdint>
#include <vector>

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
};

inline constexpr double kIntervalAverageWeight = 0.2;
// Share of a target's memory up to which a request counts as small; tens of
// small requests take the memory of a few long prompts.
inline constexpr double kSmallRequestShare = 1.0 / 32.0;

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

} // namespace lycheeplank::request_queue

#endif
