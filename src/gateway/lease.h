#ifndef LYCHEEPLANK_SRC_GATEWAY_LEASE_H
#define LYCHEEPLANK_SRC_GATEWAY_LEASE_H

#include <cstdint>
#include <functional>

#include "gateway/host.h"

// Calls about leases of the key-value service.
namespace lycheeplank::gateway {

// Asks for a lease that lives so long without a renewal, or as long as the
// service wants at least. Hands over the lease; 0 if none was granted.
void
GrantLease(Host& aHost,
           absl::Duration aLife,
           std::function<void(std::uint64_t)> aOnLease);

// Renews a lease, or gives the call up after a time.
void
KeepLease(Host& aHost,
          std::uint64_t aLease,
          absl::Duration aTimeout,
          std::function<void(StoreOutcome)> aOnOutcome);

// Ends a lease; if the call is lost, the lease lapses.
void
EndLease(Host& aHost, std::uint64_t aLease);

} // namespace lycheeplank::gateway

#endif
