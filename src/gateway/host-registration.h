#ifndef LYCHEEPLANK_SRC_GATEWAY_HOST_REGISTRATION_H
#define LYCHEEPLANK_SRC_GATEWAY_HOST_REGISTRATION_H

#include <memory>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Registers this host: keeps its entry in the key-value service under a lease
// while the process lives.
class HostRegistration : public std::enable_shared_from_this<HostRegistration>
{
public:
  explicit HostRegistration(Host& aHost);

  void Start();
  // Rewrites the entry, which then says that this host accepts no more callers.
  void MarkLeaving();
  // Writes the entry again under a new lease after the service was restored
  // from a backup, where the old lease may belong to another host.
  void Reregister();
  // Deletes the entry, at the end of the process.
  void Unregister();

private:
  void AcquireLease();
  void WriteEntry();
  void KeepAlive();
  void ScheduleStep(absl::Duration aPause, void (HostRegistration::*aStep)());
  // Schedules the next renewal of the lease, acquires a new one if it has
  // expired, or retries a failed step.
  void OnOutcome(StoreOutcome aOutcome, void (HostRegistration::*aRetryStep)());
  void RetryLater(void (HostRegistration::*aStep)());
  std::string EntryValue() const;

  Host& host_;
  Timer timer_;
  std::uint64_t lease_ = 0;
  // Number of the last lease request. Replies to calls that belong to earlier
  // requests are ignored.
  std::uint64_t leaseRequest_ = 0;
  unsigned failures_ = 0;
};

} // namespace lycheeplank::gateway

#endif
