#include "entry/open-requests.h"

namespace lycheeplank::entry {

void
OpenRequests::Add(const OpenRequestPtr& aOpenRequest)
{
  const absl::MutexLock lock(&mutex_);
  aOpenRequest->id_ = nextId_++;
  openRequests_.emplace(aOpenRequest->id_, aOpenRequest);
}

OpenRequestPtr
OpenRequests::Find(reducer::RequestId aId) const
{
  const absl::MutexLock lock(&mutex_);
  const auto found = openRequests_.find(aId);
  return found == openRequests_.end() ? nullptr : found->second;
}

bool
OpenRequests::Remove(reducer::RequestId aId)
{
  const absl::MutexLock lock(&mutex_);
  return openRequests_.erase(aId) > 0;
}

std::size_t
OpenRequests::Size() const
{
  const absl::MutexLock lock(&mutex_);
  return openRequests_.size();
}

} // namespace lycheeplank::entry
