#ifndef LYCHEEPLANK_REQUEST_QUEUE_H
#define LYCHEEPLANK_REQUEST_QUEUE_H

#include <cstdint>
#include <vector>

#include <absl/time/time.h>
#include <absl/types/optional.h>

// Requests that wait at a host until a target has memory for them.
//
// The pattern: long prompts come faster than targets finish them for some
// seconds, as when a part of the targets is gone or new weights have made all
// kept prompts useless. Sent on at once, they fill the targets' memory and push
// each other out, which costs their prompts again. First come, first served,
// all of them would be late; so while the oldest has missed its goal, the
// newest goes first, and the old ones take what is left.
//
// Another pattern: short prompts come between the long ones. A short one fits
// into what is left of a target's memory when a long one doesn't, delays the
// long ones little, and is worth no less; so the short ones don't wait behind.
namespace lycheeplank::request_queue {

struct QueuedRequest
{
  std::uint64_t id_ = 0;
  absl::Time arrivedAt_;
  // Until then an answer is worth most.
  absl::Time goalAt_;
  // After that the caller won't wait any more.
  absl::Time callerLeavesAt_;
  // It takes little memory.
  bool isSmall_ = false;
};

struct Queue
{
  // In the order of arrival.
  std::vector<QueuedRequest> entries_;
  // Moving average of the time between two starts, in seconds.
  double startInterval_ = 0.0;
  absl::Time startedAt_ = absl::InfinitePast();
  // When the first of those that wait came.
  absl::Time nonEmptySince_ = absl::InfinitePast();
};

inline constexpr double kIntervalAverageWeight = 0.2;
// Part of a target's memory up to which a request is small; tens of them take
// the room of a few long prompts.
inline constexpr double kSmallRequestShare = 1.0 / 32.0;

// Adds a request, unless so many wait that it could not start before its caller
// leaves; then it returns when a place is expected instead.
absl::optional<absl::Duration>
Enqueue(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow);

// Returns the request to start next, without taking it out.
absl::optional<std::uint64_t>
NextToStart(const Queue& aQueue, absl::Time aNow);

// Returns the small requests, which may start before the others, in the order
// of their arrival.
std::vector<std::uint64_t>
SmallRequests(const Queue& aQueue);

// Takes out a request that starts.
void
StartRequest(Queue& aQueue, std::uint64_t aId, absl::Time aNow);

// Takes out a request that has ended otherwise; false if it doesn't wait.
bool
RemoveRequest(Queue& aQueue, std::uint64_t aId);

// Takes out and returns the requests whose callers won't wait any more.
std::vector<std::uint64_t>
RemoveExpired(Queue& aQueue, absl::Time aNow);

} // namespace lycheeplank::request_queue

#endif
