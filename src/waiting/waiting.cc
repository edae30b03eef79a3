#include "lycheeplank/waiting.h"

#include <algorithm>

namespace lycheeplank::waiting {

namespace {

auto
FindEntry(Queue& aQueue, std::uint64_t aId)
{
  return std::find_if(aQueue.entries_.begin(),
                      aQueue.entries_.end(),
                      [aId](const Entry& aEntry) { return aEntry.id_ == aId; });
}

} // namespace

absl::optional<absl::Duration>
Add(Queue& aQueue, const Entry& aEntry, absl::Time aNow)
{
  const auto wait = absl::Seconds(aQueue.startInterval_ *
                                  static_cast<double>(aQueue.entries_.size()));
  // The newest may go first, so only a queue that is longer than all its
  // callers' patience is full.
  if (wait > aEntry.leavesAt_ - aNow) {
    return wait - (aEntry.leavesAt_ - aNow) / 2;
  }
  if (aQueue.entries_.empty()) {
    aQueue.filledAt_ = aNow;
  }
  aQueue.entries_.push_back(aEntry);
  return absl::nullopt;
}

absl::optional<std::uint64_t>
Next(const Queue& aQueue, absl::Time aNow)
{
  if (aQueue.entries_.empty()) {
    return absl::nullopt;
  }
  const auto& oldest = aQueue.entries_.front();
  if (oldest.goalAt_ > aNow) {
    return oldest.id_;
  }
  // The oldest of those that can still meet their goals, then the newest.
  for (const auto& entry : aQueue.entries_) {
    if (entry.goalAt_ > aNow) {
      return entry.id_;
    }
  }
  return aQueue.entries_.back().id_;
}

std::vector<std::uint64_t>
SmallOnes(const Queue& aQueue)
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
Start(Queue& aQueue, std::uint64_t aId, absl::Time aNow)
{
  if (!Remove(aQueue, aId)) {
    return;
  }
  // Times in which nobody waited say nothing of the rate.
  const auto since = std::max(aQueue.startedAt_, aQueue.filledAt_);
  const auto interval = aNow - since;
  if (since != absl::InfinitePast()) {
    aQueue.startInterval_ +=
      kNewestInterval *
      (absl::ToDoubleSeconds(interval) - aQueue.startInterval_);
  }
  aQueue.startedAt_ = aNow;
}

bool
Remove(Queue& aQueue, std::uint64_t aId)
{
  const auto found = FindEntry(aQueue, aId);
  if (found == aQueue.entries_.end()) {
    return false;
  }
  aQueue.entries_.erase(found);
  return true;
}

std::vector<std::uint64_t>
TakeExpired(Queue& aQueue, absl::Time aNow)
{
  std::vector<std::uint64_t> expired;
  auto& entries = aQueue.entries_;
  for (const auto& entry : entries) {
    if (entry.leavesAt_ <= aNow) {
      expired.push_back(entry.id_);
    }
  }
  entries.erase(std::remove_if(entries.begin(),
                               entries.end(),
                               [aNow](const Entry& aEntry) {
                                 return aEntry.leavesAt_ <= aNow;
                               }),
                entries.end());
  return expired;
}

} // namespace lycheeplank::waiting
