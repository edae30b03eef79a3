#include "gateway/host-registration.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/lease.h"

namespace lycheeplank::gateway {

namespace {

// A host that dies is removed from the host lists after this time. Until then
// callers that can't reach it try another address.
constexpr absl::Duration kLeaseTimeToLive = absl::Milliseconds(5000);
// The lease survives the loss of two renewals in a row.
constexpr absl::Duration kKeepAlivePeriod = absl::Milliseconds(1600);
// A relay detects by its renewals that the service doesn't answer: its watch
// may wait for seconds, but a configuration has to take effect within two.
// A renewal costs a tenth of a read.
constexpr absl::Duration kRelayKeepAlivePeriod = absl::Milliseconds(600);
// Even a slow service answers within some hundred milliseconds.
constexpr absl::Duration kKeepAliveTimeout = absl::Milliseconds(700);
// Limits of the exponential backoff after failures; each call is charged.
constexpr absl::Duration kFirstRetryPause = absl::Milliseconds(200);
constexpr absl::Duration kLongestRetryPause = absl::Milliseconds(1600);
constexpr unsigned kMaxDoublings = 3;
// After the service was restored, all hosts write their entries again, spread
// over about this time to stay within its rate limits. Hosts keep entries that
// the backup lacks for longer than that.
constexpr absl::Duration kReregisterSpread = absl::Milliseconds(250);

} // namespace

HostRegistration::HostRegistration(Host& aHost)
  : host_(aHost)
  , timer_(aHost.loop_)
{
}

std::string
HostRegistration::EntryValue() const
{
  const auto& settings = host_.settings_;
  return entry_hosts::WriteHost({ settings.name_,
                                  settings.dataCentre_,
                                  settings.callerAddress_,
                                  settings.peerAddress_,
                                  settings.cores_,
                                  host_.stopping_ });
}

void
HostRegistration::ScheduleStep(absl::Duration aPause,
                               void (HostRegistration::*aStep)())
{
  timer_.Set(aPause,
             [self = shared_from_this(), aStep] { ((*self).*aStep)(); });
}

void
HostRegistration::OnOutcome(StoreOutcome aOutcome,
                            void (HostRegistration::*aRetryStep)())
{
  switch (aOutcome) {
    case StoreOutcome::Ok:
      failures_ = 0;
      ScheduleStep(host_.role_ == Role::Direct ? kRelayKeepAlivePeriod
                                               : kKeepAlivePeriod,
                   &HostRegistration::KeepAlive);
      return;
    case StoreOutcome::Absent:
      host_.log_.Write(Line("own_lease_lapsed"));
      AcquireLease();
      return;
    default:
      RetryLater(aRetryStep);
  }
}

void
HostRegistration::RetryLater(void (HostRegistration::*aStep)())
{
  const auto pause =
    std::min(kLongestRetryPause,
             kFirstRetryPause * (1U << std::min(failures_, kMaxDoublings)));
  ++failures_;
  ScheduleStep(Jitter(host_, pause), aStep);
}

void
HostRegistration::Start()
{
  AcquireLease();
}

void
HostRegistration::Reregister()
{
  if (leaseRequest_ == 0) {
    return;
  }
  ++leaseRequest_;
  lease_ = 0;
  failures_ = 0;
  ScheduleStep(Jitter(host_, kReregisterSpread),
               &HostRegistration::AcquireLease);
}

void
HostRegistration::AcquireLease()
{
  const auto request = ++leaseRequest_;
  GrantLease(host_,
             kLeaseTimeToLive,
             [self = shared_from_this(), request](std::uint64_t aLease) {
               if (self->leaseRequest_ != request) {
                 return;
               }
               if (aLease == 0) {
                 self->RetryLater(&HostRegistration::AcquireLease);
                 return;
               }
               self->lease_ = aLease;
               self->WriteEntry();
             });
}

void
HostRegistration::WriteEntry()
{
  StoreCommand command;
  command.operation_ = StoreOperation::Commit;
  command.key_ = absl::StrCat(kHostPrefix, host_.settings_.name_);
  command.value_ = EntryValue();
  command.lease_ = lease_;
  CallStore(host_,
            command,
            kStoreCallTimeout,
            [self = shared_from_this(),
             request = leaseRequest_](const StoreReply& aReply) {
              if (self->leaseRequest_ == request) {
                self->OnOutcome(aReply.outcome_, &HostRegistration::WriteEntry);
              }
            });
}

void
HostRegistration::KeepAlive()
{
  KeepLease(host_,
            lease_,
            kKeepAliveTimeout,
            [self = shared_from_this(),
             request = leaseRequest_](StoreOutcome aOutcome) {
              if (self->leaseRequest_ == request) {
                self->OnOutcome(aOutcome, &HostRegistration::KeepAlive);
              }
            });
}

void
HostRegistration::MarkLeaving()
{
  if (lease_ != 0) {
    WriteEntry();
  }
}

void
HostRegistration::Unregister()
{
  if (lease_ != 0) {
    EndLease(host_, lease_);
  }
}

} // namespace lycheeplank::gateway
