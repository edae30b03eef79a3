#ifndef LYCHEEPLANK_SRC_GATEWAY_LEASE_H
#define LYCHEEPLANK_SRC_GATEWAY_LEASE_H

#include <cstdint>
#include <functional>

#include "gateway/host.h"

// Calls that create, renew and end leases of the key-value service.
namespace lycheeplank::gateway {

// Requests a lease that expires aLife after its last renewal, or after the
// service's minimum if that is longer. Passes the lease's number to aOnLease,
// or 0 if the service granted none.
void
GrantLease(Host& aHost,
           absl::Duration aLife,
           std::function<void(std::uint64_t)> aOnLease);

// Renews a lease. The call fails with StoreOutcome::Lost after aTimeout.
void
KeepLease(Host& aHost,
          std::uint64_t aLease,
          absl::Duration aTimeout,
          std::function<void(StoreOutcome)> aOnOutcome);

// Ends a lease. If the call fails, the lease expires by itself.
void
EndLease(Host& aHost, std::uint64_t aLease);

} // namespace lycheeplank::gateway

#endif
