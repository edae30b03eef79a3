#ifndef LYCHEEPLANK_ENTRY_OPEN_REQUESTS_H
#define LYCHEEPLANK_ENTRY_OPEN_REQUESTS_H

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

// A request that isn't fully answered yet, as the traffic threads see it: the
// caller's connection and the fields that the reducer doesn't need.
struct OpenRequest
{
  // Set by OpenRequests::Add.
  reducer::RequestId id_ = 0;
  // Id that the caller sees, in X-Request-Id.
  std::string publicId_;
  std::string workspace_;
  std::string modelOrService_;
  // Call of a plain service; empty for a completion.
  std::string callName_;
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
  // The only attempt whose data may be sent to the caller; 0 if there is none.
  std::uint32_t currentAttempt_ ABSL_GUARDED_BY(mutex_) = 0;
  net::CallId callId_ ABSL_GUARDED_BY(mutex_) = 0;
  std::string targetUrl_ ABSL_GUARDED_BY(mutex_);
  std::string runId_ ABSL_GUARDED_BY(mutex_);
  // True if a part of the answer was sent to the caller.
  bool responseBegun_ ABSL_GUARDED_BY(mutex_) = false;
};

using OpenRequestPtr = std::shared_ptr<OpenRequest>;

// All open requests by id. Thread-safe.
class OpenRequests
{
public:
  // Assigns the next id to a request and adds it.
  void Add(const OpenRequestPtr& aOpenRequest);
  // Returns a request, or null if it was removed.
  OpenRequestPtr Find(reducer::RequestId aId) const;
  // Removes a request. Returns false if it was already removed.
  bool Remove(reducer::RequestId aId);
  std::size_t Size() const;

private:
  mutable absl::Mutex mutex_;
  reducer::RequestId nextId_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::flat_hash_map<reducer::RequestId, OpenRequestPtr> openRequests_
    ABSL_GUARDED_BY(mutex_);
};

} // namespace lycheeplank::entry

#endif
