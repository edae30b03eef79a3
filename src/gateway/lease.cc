#include "gateway/lease.h"

#include <algorithm>
#include <utility>

namespace lycheeplank::gateway {

void
GrantLease(Host& aHost,
           absl::Duration aLife,
           std::function<void(std::uint64_t)> aOnLease)
{
  StoreCommand command;
  command.operation_ = StoreOperation::GrantLease;
  command.wait_ = std::max(aLife, aHost.settings_.leastLease_);
  CallStore(aHost,
            command,
            kStoreCallTimeout,
            [onLease = std::move(aOnLease)](const StoreReply& aReply) {
              onLease(aReply.outcome_ == StoreOutcome::Ok ? aReply.lease_ : 0);
            });
}

void
KeepLease(Host& aHost,
          std::uint64_t aLease,
          absl::Duration aTimeout,
          std::function<void(StoreOutcome)> aOnOutcome)
{
  StoreCommand command;
  command.operation_ = StoreOperation::KeepLease;
  command.lease_ = aLease;
  CallStore(aHost,
            command,
            aTimeout,
            [onOutcome = std::move(aOnOutcome)](const StoreReply& aReply) {
              onOutcome(aReply.outcome_);
            });
}

void
EndLease(Host& aHost, std::uint64_t aLease)
{
  StoreCommand command;
  command.operation_ = StoreOperation::EndLease;
  command.lease_ = aLease;
  CallStore(aHost, command, kStoreCallTimeout, [](const StoreReply&) {});
}

} // namespace lycheeplank::gateway
