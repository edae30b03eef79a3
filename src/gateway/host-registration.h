#ifndef LYCHEEPLANK_SRC_GATEWAY_HOST_REGISTRATION_H
#define LYCHEEPLANK_SRC_GATEWAY_HOST_REGISTRATION_H

#include <memory>

#include "gateway/host.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

// Keeps this host's entry in the key-value service for as long as the process
// lives, under a lease.
class HostRegistration : public std::enable_shared_from_this<HostRegistration>
{
public:
  explicit HostRegistration(Host& aHost);

  void Start();
  // Writes again that this host takes no more callers.
  void MarkLeaving();
  // Writes the entry again under a new lease: the service has come back from a
  // copy of its data, where the old lease may be another host's.
  void Reregister();
  // Deletes the entry, at the end of the process.
  void Unregister();

private:
  void Grant();
  void Write();
  void Keep();
  void Later(absl::Duration aPause, void (HostRegistration::*aStep)());
  // Renews the lease after its period, or does a failed step again.
  void GoOn(StoreOutcome aOutcome, void (HostRegistration::*aAgain)());
  void RetryLater(void (HostRegistration::*aStep)());
  std::string Value() const;

  Host& host_;
  Timer timer_;
  std::uint64_t lease_ = 0;
  // Differs for each lease that is asked for; answers to calls for others don't
  // count.
  std::uint64_t term_ = 0;
  unsigned failures_ = 0;
};

} // namespace lycheeplank::gateway

#endif
