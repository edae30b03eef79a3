#include "entry/ticket.h"

namespace lycheeplank::entry {

void
Tickets::Add(const TicketPtr& aTicket)
{
  const absl::MutexLock lock(&mutex_);
  aTicket->id_ = next_++;
  tickets_.emplace(aTicket->id_, aTicket);
}

TicketPtr
Tickets::Find(reducer::RequestId aId) const
{
  const absl::MutexLock lock(&mutex_);
  const auto found = tickets_.find(aId);
  return found == tickets_.end() ? nullptr : found->second;
}

bool
Tickets::Remove(reducer::RequestId aId)
{
  const absl::MutexLock lock(&mutex_);
  return tickets_.erase(aId) > 0;
}

std::size_t
Tickets::Size() const
{
  const absl::MutexLock lock(&mutex_);
  return tickets_.size();
}

} // namespace lycheeplank::entry
