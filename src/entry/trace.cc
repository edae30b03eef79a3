#include "entry/trace.h"

namespace lycheeplank::entry {

namespace {

constexpr std::size_t kMaxRequests = 4096;
constexpr std::size_t kMaxEventsPerRequest = 32;

} // namespace

void
RequestTraces::Add(const reducer::TraceDecision& aDecision)
{
  const absl::MutexLock lock(&mutex_);
  const auto [found, added] = requests_.try_emplace(aDecision.request_);
  if (added) {
    insertionOrder_.push_back(aDecision.request_);
    found->second.workspace_ = aDecision.workspace_;
    found->second.kind_ = aDecision.kind_;
  }
  if (found->second.events_.size() < kMaxEventsPerRequest) {
    found->second.events_.push_back(
      { absl::Now(), aDecision.event_, aDecision.detail_ });
  }
  if (insertionOrder_.size() > kMaxRequests) {
    requests_.erase(insertionOrder_.front());
    insertionOrder_.pop_front();
  }
}

RequestTrace
RequestTraces::Find(const std::string& aRequest) const
{
  const absl::MutexLock lock(&mutex_);
  const auto found = requests_.find(aRequest);
  return found == requests_.end() ? RequestTrace() : found->second;
}

} // namespace lycheeplank::entry
