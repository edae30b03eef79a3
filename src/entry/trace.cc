#include "entry/trace.h"

namespace lycheeplank::entry {

namespace {

constexpr std::size_t kMaxRequests = 4096;
constexpr std::size_t kMaxEvents = 32;

} // namespace

void
Trace::Add(const reducer::Note& aNote)
{
  const absl::MutexLock lock(&mutex_);
  const auto [found, added] = events_.try_emplace(aNote.request_);
  if (added) {
    order_.push_back(aNote.request_);
  }
  if (found->second.size() < kMaxEvents) {
    found->second.push_back({ absl::Now(), aNote.what_, aNote.detail_ });
  }
  if (order_.size() > kMaxRequests) {
    events_.erase(order_.front());
    order_.pop_front();
  }
}

std::vector<TraceEvent>
Trace::Find(const std::string& aRequest) const
{
  const absl::MutexLock lock(&mutex_);
  const auto found = events_.find(aRequest);
  return found == events_.end() ? std::vector<TraceEvent>() : found->second;
}

} // namespace lycheeplank::entry
