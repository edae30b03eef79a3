#include "lycheeplank/request_queue.h"

#include <algorithm>

namespace lycheeplank::request_queue {

namespace {

auto
FindRequest(Queue& aQueue, std::uint64_t aId)
{
  return std::find_if(
    aQueue.entries_.begin(),
    aQueue.entries_.end(),
    [aId](const QueuedRequest& aRequest) { return aRequest.id_ == aId; });
}

} // namespace

absl::optional<absl::Duration>
Enqueue(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow)
{
  const auto wait = absl::Seconds(aQueue.startInterval_ *
                                  static_cast<double>(aQueue.entries_.size()));
  // The newest request may start first, so the queue is full only if its
  // expected wait exceeds the time that the caller waits.
  if (wait > aRequest.callerLeavesAt_ - aNow) {
    return wait - (aRequest.callerLeavesAt_ - aNow) / 2;
  }
  if (aQueue.entries_.empty()) {
    aQueue.nonEmptySince_ = aNow;
  }
  aQueue.entries_.push_back(aRequest);
  return absl::nullopt;
}

absl::optional<std::uint64_t>
NextToStart(const Queue& aQueue, absl::Time aNow)
{
  if (aQueue.entries_.empty()) {
    return absl::nullopt;
  }
  const auto& oldest = aQueue.entries_.front();
  if (oldest.goalAt_ > aNow) {
    return oldest.id_;
  }
  // The oldest request that can still meet its goal, or else the newest one.
  for (const auto& entry : aQueue.entries_) {
    if (entry.goalAt_ > aNow) {
      return entry.id_;
    }
  }
  return aQueue.entries_.back().id_;
}

std::vector<std::uint64_t>
SmallRequests(const Queue& aQueue)
{
  std::vector<std::uint64_t> ids;
  for (const auto& entry : aQueue.entries_) {
    if (entry.isSmall_) {
      ids.push_back(entry.id_);
    }
  }
  return ids;
}

void
StartRequest(Queue& aQueue, std::uint64_t aId, absl::Time aNow)
{
  if (!RemoveRequest(aQueue, aId)) {
    return;
  }
  // Times with an empty queue do not count for the start rate.
  const auto since = std::max(aQueue.startedAt_, aQueue.nonEmptySince_);
  const auto interval = aNow - since;
  if (since != absl::InfinitePast()) {
    aQueue.startInterval_ +=
      kIntervalAverageWeight *
      (absl::ToDoubleSeconds(interval) - aQueue.startInterval_);
  }
  aQueue.startedAt_ = aNow;
}

bool
RemoveRequest(Queue& aQueue, std::uint64_t aId)
{
  const auto found = FindRequest(aQueue, aId);
  if (found == aQueue.entries_.end()) {
    return false;
  }
  aQueue.entries_.erase(found);
  return true;
}

std::vector<std::uint64_t>
RemoveExpired(Queue& aQueue, absl::Time aNow)
{
  std::vector<std::uint64_t> expired;
  auto& entries = aQueue.entries_;
  for (const auto& entry : entries) {
    if (entry.callerLeavesAt_ <= aNow) {
      expired.push_back(entry.id_);
    }
  }
  entries.erase(std::remove_if(entries.begin(),
                               entries.end(),
                               [aNow](const QueuedRequest& aRequest) {
                                 return aRequest.callerLeavesAt_ <= aNow;
                               }),
                entries.end());
  return expired;
}

} // namespace lycheeplank::request_queue
