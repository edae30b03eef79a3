#ifndef LYCHEEPLANK_WAITING_H
#define LYCHEEPLANK_WAITING_H

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
namespace lycheeplank::waiting {

struct Entry
{
  std::uint64_t id_ = 0;
  absl::Time arrivedAt_;
  // Until then an answer is worth most.
  absl::Time goalAt_;
  // After that the caller won't wait any more.
  absl::Time leavesAt_;
};

struct Queue
{
  // In the order of arrival.
  std::vector<Entry> entries_;
  // Moving average of the time between two starts, in seconds.
  double startInterval_ = 0.0;
  absl::Time startedAt_ = absl::InfinitePast();
  // When the first of those that wait came.
  absl::Time filledAt_ = absl::InfinitePast();
};

inline constexpr double kNewestInterval = 0.2;

// Adds a request, unless so many wait that it could not start before its caller
// leaves; then it returns when a place is expected instead.
absl::optional<absl::Duration>
Add(Queue& aQueue, const Entry& aEntry, absl::Time aNow);

// Returns the request to start next, without taking it out.
absl::optional<std::uint64_t>
Next(const Queue& aQueue, absl::Time aNow);

// Takes out a request that starts.
void
Start(Queue& aQueue, std::uint64_t aId, absl::Time aNow);

// Takes out a request that has ended otherwise; false if it doesn't wait.
bool
Remove(Queue& aQueue, std::uint64_t aId);

// Takes out and returns the requests whose callers won't wait any more.
std::vector<std::uint64_t>
TakeExpired(Queue& aQueue, absl::Time aNow);

} // namespace lycheeplank::waiting

#endif
