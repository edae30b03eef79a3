#include "gateway/presence.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/lease.h"

namespace lycheeplank::gateway {

namespace {

// A host that dies is off the lists after this time; callers that meet it
// before find another address by themselves.
constexpr absl::Duration kLeaseLife = absl::Milliseconds(5000);
// Two renewals in a row may be lost.
constexpr absl::Duration kKeepPeriod = absl::Milliseconds(1600);
// A relay finds out by its renewals that the service is silent: its watch may
// wait for ten seconds, and a configuration has to be in force within two.
// Renewals cost a tenth of a read.
constexpr absl::Duration kRelayKeepPeriod = absl::Milliseconds(600);
// A service that is slow answers within some hundred milliseconds.
constexpr absl::Duration kKeepTimeout = absl::Milliseconds(700);
// Pauses after failures: the first, and the longest. Each call is charged.
constexpr absl::Duration kRetryFirst = absl::Milliseconds(200);
constexpr absl::Duration kRetryLongest = absl::Milliseconds(1600);
constexpr unsigned kMostDoublings = 3;
// All hosts write their entries again after a return of the service, spread
// over about this time so that they keep to its rates. Entries that lack are
// believed for longer.
constexpr absl::Duration kRenewSpread = absl::Milliseconds(250);

} // namespace

Presence::Presence(Host& aHost)
  : host_(aHost)
  , timer_(aHost.loop_)
{
}

std::string
Presence::Value() const
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
Presence::Later(absl::Duration aPause, void (Presence::*aStep)())
{
  timer_.Set(aPause,
             [self = shared_from_this(), aStep] { ((*self).*aStep)(); });
}

void
Presence::GoOn(StoreOutcome aOutcome, void (Presence::*aAgain)())
{
  switch (aOutcome) {
    case StoreOutcome::Ok:
      failures_ = 0;
      Later(host_.role_ == Role::Direct ? kRelayKeepPeriod : kKeepPeriod,
            &Presence::Keep);
      return;
    case StoreOutcome::Absent:
      host_.log_.Write(Line("own_lease_lapsed"));
      Grant();
      return;
    default:
      RetryLater(aAgain);
  }
}

void
Presence::RetryLater(void (Presence::*aStep)())
{
  const auto pause = std::min(
    kRetryLongest, kRetryFirst * (1U << std::min(failures_, kMostDoublings)));
  ++failures_;
  Later(Jitter(host_, pause), aStep);
}

void
Presence::Start()
{
  Grant();
}

void
Presence::Renew()
{
  if (term_ == 0) {
    return;
  }
  ++term_;
  lease_ = 0;
  failures_ = 0;
  Later(Jitter(host_, kRenewSpread), &Presence::Grant);
}

void
Presence::Grant()
{
  const auto term = ++term_;
  GrantLease(
    host_, kLeaseLife, [self = shared_from_this(), term](std::uint64_t aLease) {
      if (self->term_ != term) {
        return;
      }
      if (aLease == 0) {
        self->RetryLater(&Presence::Grant);
        return;
      }
      self->lease_ = aLease;
      self->Write();
    });
}

void
Presence::Write()
{
  StoreCommand command;
  command.operation_ = StoreOperation::Commit;
  command.key_ = absl::StrCat(kHostPrefix, host_.settings_.name_);
  command.value_ = Value();
  command.lease_ = lease_;
  CallStore(
    host_,
    command,
    kStoreTimeout,
    [self = shared_from_this(), term = term_](const StoreReply& aReply) {
      if (self->term_ == term) {
        self->GoOn(aReply.outcome_, &Presence::Write);
      }
    });
}

void
Presence::Keep()
{
  KeepLease(host_,
            lease_,
            kKeepTimeout,
            [self = shared_from_this(), term = term_](StoreOutcome aOutcome) {
              if (self->term_ == term) {
                self->GoOn(aOutcome, &Presence::Keep);
              }
            });
}

void
Presence::Leave()
{
  if (lease_ != 0) {
    Write();
  }
}

void
Presence::End()
{
  if (lease_ != 0) {
    EndLease(host_, lease_);
  }
}

} // namespace lycheeplank::gateway
