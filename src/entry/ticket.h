#ifndef LYCHEEPLANK_ENTRY_TICKET_H
#define LYCHEEPLANK_ENTRY_TICKET_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "lycheeplank/net.h"
#include "lycheeplank/reducer.h"
#include "lycheeplank/resume.h"

namespace lycheeplank::entry {

// What the traffic threads keep for one request: the caller's connection and
// the parts of the request that the decisions don't need.
struct Ticket
{
  reducer::RequestId id_ = 0;
  std::string name_;
  std::string workspace_;
  std::string serves_;
  std::string call_;
  std::string adapter_;
  std::shared_ptr<const std::string> prompt_;
  std::string body_;
  std::string contentType_;
  std::string idempotencyKey_;
  std::uint32_t maxTokens_ = 0;
  bool interactive_ = true;
  bool stream_ = false;
  absl::Time arrived_;
  std::shared_ptr<net::Exchange> exchange_;

  absl::Mutex mutex_;
  // The only attempt whose data may reach the caller; 0 after the end.
  std::uint32_t attempt_ ABSL_GUARDED_BY(mutex_) = 0;
  net::CallId callId_ ABSL_GUARDED_BY(mutex_) = 0;
  std::string targetUrl_ ABSL_GUARDED_BY(mutex_);
  std::string runId_ ABSL_GUARDED_BY(mutex_);
  bool answering_ ABSL_GUARDED_BY(mutex_) = false;
};

using TicketPtr = std::shared_ptr<Ticket>;

// All open tickets by number.
class Tickets
{
public:
  // Gives a ticket the next number and keeps it.
  void Add(const TicketPtr& aTicket);
  // Returns a ticket, or null once it was taken out.
  TicketPtr Find(reducer::RequestId aId) const;
  // Takes a ticket out; false if it was out already.
  bool Remove(reducer::RequestId aId);
  std::size_t Size() const;

private:
  mutable absl::Mutex mutex_;
  reducer::RequestId next_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::flat_hash_map<reducer::RequestId, TicketPtr> tickets_
    ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::entry

#endif
