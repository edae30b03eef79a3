#include "entry/trace.h"

namespace lycheeplank::entry {

namespace {

constexpr std::size_t kMaxRequests = 4096;
constexpr std::size_t kMaxEvents = 32;

} // namespace

void
Trace::Add(const reducer::TraceDecision& aNote)
{
  const absl::MutexLock lock(&mutex_);
  const auto [found, added] = requests_.try_emplace(aNote.request_);
  if (added) {
    order_.push_back(aNote.request_);
    found->second.workspace_ = aNote.workspace_;
    found->second.kind_ = aNote.kind_;
  }
  if (found->second.events_.size() < kMaxEvents) {
    found->second.events_.push_back(
      { absl::Now(), aNote.event_, aNote.detail_ });
  }
  if (order_.size() > kMaxRequests) {
    requests_.erase(order_.front());
    order_.pop_front();
  }
}

RequestTrace
Trace::Find(const std::string& aRequest) const
{
  const absl::MutexLock lock(&mutex_);
  const auto found = requests_.find(aRequest);
  return found == requests_.end() ? RequestTrace() : found->second;
}

} // namespace lycheeplank::entry
