#include "gateway/owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

#include "gateway/clock.h"
#include "gateway/lease.h"
#include "gateway/peers.h"

namespace lycheeplank::gateway {

namespace {

// An owner that dies is replaced after this time.
constexpr absl::Duration kLeaseLife = absl::Milliseconds(2000);
constexpr absl::Duration kKeepPeriod = absl::Milliseconds(500);
constexpr absl::Duration kRetryPause = absl::Milliseconds(150);
// The right ends this much before the lease: orders on their way, and the time
// that the platform grants a process that wakes from a freeze (300 ms).
constexpr absl::Duration kLeaseMargin = absl::Milliseconds(500);
// Pause between the hosts that might claim the right, so that mostly the first
// of them does.
constexpr absl::Duration kClaimStep = absl::Milliseconds(120);
// A host that isn't one of those that claim looks again after this time.
constexpr absl::Duration kLookPause = absl::Milliseconds(500);
constexpr absl::Duration kStepPeriod = absl::Milliseconds(100);
// Hosts keep requests off an ordered target for at most this time, unless they
// hear that it has loaded.
constexpr absl::Duration kOrderedTime = absl::Seconds(3);
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(1000);
constexpr absl::Duration kAccountTimeout = absl::Milliseconds(500);
// Accounts are some hundred milliseconds old.
constexpr absl::Duration kAccountPeriod = absl::Milliseconds(250);
constexpr absl::Duration kAccountAge = absl::Milliseconds(700);
constexpr absl::Duration kRefusedPause = absl::Milliseconds(300);
// A fence holds the era above the revision, so that it grows with both. Forty
// bits of revisions last for years at the service's rate of writes.
constexpr unsigned kRevisionBits = 40;

std::uint64_t
FenceOf(const core::Position& aClaimedAt)
{
  return (aClaimedAt.era_ << kRevisionBits) | aClaimedAt.revision_;
}

} // namespace

Owner::Owner(Host& aHost)
  : host_(aHost)
  , claimTimer_(aHost.loop_)
  , keepTimer_(aHost.loop_)
  , stepTimer_(aHost.loop_)
{
}

void
Owner::Start()
{
  started_ = true;
  OnChange();
}

bool
Owner::IsValid() const
{
  const auto now = Now();
  return phase_ == Phase::Owning && !host_.stopping_ && now < validUntil_ &&
         now >= OrdersFrom();
}

absl::Time
Owner::OrdersFrom() const
{
  // The owner of the era before renewed its lease before the service was away.
  return host_.store_.eraSeenAt_ + kLeaseLife;
}

void
Owner::OnChange()
{
  if (!started_ || host_.stopping_) {
    return;
  }
  const auto* known = replica::Find(host_.replica_, kOwnerKey);
  if (phase_ == Phase::Claiming && known != nullptr &&
      known->item_.value_ == value_) {
    // The answer to the claim was lost; its effect wasn't.
    TakeOffice({ known->item_.era_, known->item_.created_ });
    return;
  }
  if (phase_ == Phase::Waiting && known == nullptr) {
    ClaimLater();
  }
}

void
Owner::ClaimLater()
{
  const auto turn = relays::ClaimTurn(
    host_.hosts_, host_.settings_.name_, host_.replica_.newest_.revision_);
  if (!turn) {
    claimTimer_.Set(Jitter(host_, kLookPause),
                    [self = shared_from_this()] { self->OnChange(); });
    return;
  }
  claimTimer_.Set(
    kClaimStep * static_cast<std::int64_t>(*turn), [self = shared_from_this()] {
      if (self->phase_ == Phase::Waiting && !self->host_.stopping_ &&
          replica::Find(self->host_.replica_, kOwnerKey) == nullptr) {
        self->Grant();
      }
    });
}

void
Owner::Grant()
{
  phase_ = Phase::Claiming;
  const auto askedAt = Now();
  const auto claim = ++claim_;
  GrantLease(host_,
             kLeaseLife,
             [self = shared_from_this(), askedAt, claim](std::uint64_t aLease) {
               if (self->claim_ != claim) {
                 return;
               }
               if (aLease == 0) {
                 self->Lose("no_lease");
                 return;
               }
               self->lease_ = aLease;
               self->validUntil_ = askedAt + kLeaseLife - kLeaseMargin;
               self->Claim();
             });
}

void
Owner::Claim()
{
  value_ = absl::StrCat(host_.settings_.name_, "/", host_.random_());
  StoreCommand command;
  command.operation_ = StoreOperation::Commit;
  command.key_ = std::string(kOwnerKey);
  command.expect_ = 0;
  command.value_ = value_;
  command.lease_ = lease_;
  CallStore(
    host_,
    command,
    kStoreTimeout,
    [self = shared_from_this(), claim = claim_](const StoreReply& aReply) {
      if (self->phase_ != Phase::Claiming || self->claim_ != claim) {
        return;
      }
      if (aReply.outcome_ == StoreOutcome::Ok) {
        self->TakeOffice({ aReply.era_.value_or(0), aReply.revision_ });
      } else {
        self->Lose(core::NameOf(kStoreOutcomes, aReply.outcome_));
      }
    });
}

void
Owner::TakeOffice(const core::Position& aClaimedAt)
{
  phase_ = Phase::Owning;
  fence_ = FenceOf(aClaimedAt);
  rollouts_.clear();
  readAt_.clear();
  oldest_.clear();
  host_.log_.Write(Line("owner_begins")
                     .Number("fence", fence_)
                     .Number("era", aClaimedAt.era_)
                     .Number("revision", aClaimedAt.revision_)
                     .Age("orders_in_ms", OrdersFrom() - Now()));
  KeepLater();
  Step();
}

void
Owner::KeepLater()
{
  keepTimer_.Set(kKeepPeriod, [self = shared_from_this()] { self->Keep(); });
}

void
Owner::Keep()
{
  if (phase_ != Phase::Owning) {
    return;
  }
  const auto askedAt = Now();
  KeepLease(host_,
            lease_,
            kStoreTimeout,
            [self = shared_from_this(), askedAt, claim = claim_](
              StoreOutcome aOutcome) {
              if (self->phase_ != Phase::Owning || self->claim_ != claim) {
                return;
              }
              if (aOutcome == StoreOutcome::Ok) {
                self->validUntil_ = askedAt + kLeaseLife - kLeaseMargin;
              } else if (aOutcome == StoreOutcome::Absent) {
                self->Lose("lease_lapsed");
                return;
              }
              self->KeepLater();
            });
}

void
Owner::Lose(absl::string_view aReason)
{
  host_.log_.Write(
    Line(phase_ == Phase::Owning ? "owner_ends" : "owner_claim_failed")
      .Text("reason", aReason)
      .Number("fence", fence_));
  phase_ = Phase::Waiting;
  ++claim_;
  stepTimer_.Cancel();
  keepTimer_.Cancel();
  claimTimer_.Set(Jitter(host_, kRetryPause),
                  [self = shared_from_this()] { self->OnChange(); });
}

void
Owner::OnEra()
{
  if (phase_ != Phase::Waiting) {
    Lose("new_era");
  }
}

void
Owner::Leave()
{
  if (phase_ != Phase::Owning) {
    return;
  }
  Lose("stopping");
  claimTimer_.Cancel();
  EndLease(host_, lease_);
}

weights::TargetProgress*
Owner::Find(const std::string& aModel, const std::string& aTarget)
{
  const auto rollout = rollouts_.find(aModel);
  if (rollout == rollouts_.end()) {
    return nullptr;
  }
  const auto work = rollout->second.targets_.find(aTarget);
  return work == rollout->second.targets_.end() ? nullptr : &work->second;
}

void
Owner::Step()
{
  if (phase_ != Phase::Owning) {
    return;
  }
  if (IsValid()) {
    for (const auto& [model, namings] : host_.weights_) {
      auto& rollout = rollouts_[model];
      rollout.version_ = weights::NewestVersion(namings);
      StepModel(model, rollout);
    }
    FreeOldParts();
  }
  stepTimer_.Set(kStepPeriod, [self = shared_from_this()] { self->Step(); });
}

void
Owner::StepModel(const std::string& aModel, weights::Rollout& aRollout)
{
  const auto now = Now();
  const auto ids = weights::NextTargets(aRollout, host_.members_, aModel, now);
  if (!ids.empty()) {
    std::vector<Notice> notices;
    notices.reserve(ids.size());
    for (const auto& id : ids) {
      notices.push_back(
        { Notice::Kind::Ordered, id, aModel, aRollout.version_, kOrderedTime });
    }
    TellPeers(host_, notices);
    for (const auto& id : ids) {
      const auto timer = std::make_shared<Timer>(host_.loop_);
      // The other hosts hear of an order before the target does.
      timer->Set(NoticeTime(host_),
                 [self = shared_from_this(), timer, aModel, id] {
                   self->SendOrder(aModel, id);
                 });
    }
  }
  for (const auto& id : weights::TargetsToPoll(aRollout, now)) {
    if (auto& readAt = readAt_[id]; now - readAt > kAccountPeriod) {
      readAt = now;
      ReadAccount(aModel, id);
    }
  }
}

void
Owner::SendOrder(const std::string& aModel, const std::string& aTarget)
{
  const auto member = host_.members_.find(aTarget);
  auto* work = Find(aModel, aTarget);
  if (work == nullptr || member == host_.members_.end()) {
    return;
  }
  if (!IsValid()) {
    work->progress_ = weights::Progress::Waiting;
    return;
  }
  if (!work->orders_) {
    // The order shall count only if no other one comes before it.
    work->progress_ = weights::Progress::Unconfirmed;
    work->since_ = Now() - weights::kConfirmDelay;
    ReadAccount(aModel, aTarget);
    return;
  }
  work->progress_ = weights::Progress::Ordering;
  ++work->sent_;
  WeightsOrder order;
  order.targetId_ = aTarget;
  order.model_ = aModel;
  order.weights_ = rollouts_[aModel].version_;
  order.owner_ = host_.settings_.name_;
  order.fence_ = fence_;
  order.expectOrders_ = work->orders_;
  host_.log_.Write(Line("order")
                     .Text("target", aTarget)
                     .Text("model", aModel)
                     .Number("version", order.weights_)
                     .Number("fence", fence_)
                     .Number("expect_orders", *order.expectOrders_)
                     .Number("running", member->second.load_.running_)
                     .Age("valid_ms", validUntil_ - Now()));
  Fetch(
    host_.calls_,
    host_.loop_,
    member->second.target_.address_,
    host_.adapter_.writeOrder_(order),
    kOrderTimeout,
    [self = shared_from_this(), aModel, aTarget](const http::Answer& aAnswer) {
      self->OnOutcome(
        aModel, aTarget, self->host_.adapter_.readOrderOutcome_(aAnswer));
    });
}

void
Owner::OnOutcome(const std::string& aModel,
                 const std::string& aTarget,
                 OrderOutcome aOutcome)
{
  host_.log_.Write(Line("order_outcome")
                     .Text("target", aTarget)
                     .Text("outcome", core::NameOf(kOrderOutcomes, aOutcome)));
  auto* work = Find(aModel, aTarget);
  if (work == nullptr || phase_ != Phase::Owning) {
    return;
  }
  const auto now = Now();
  work->since_ = now;
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      work->progress_ = weights::Progress::Loading;
      return;
    case OrderOutcome::Done:
      TellPeers(host_,
                { { Notice::Kind::Loaded,
                    aTarget,
                    aModel,
                    rollouts_[aModel].version_ } });
      return;
    case OrderOutcome::Conflict:
    case OrderOutcome::Lost:
      work->progress_ = weights::Progress::Unconfirmed;
      return;
    case OrderOutcome::Fenced:
      Lose("fenced");
      return;
    case OrderOutcome::Refused:
      work->progress_ = weights::Progress::Waiting;
      work->notBefore_ = now + kRefusedPause;
      return;
  }
}

void
Owner::ReadAccount(const std::string& aModel, const std::string& aTarget)
{
  const auto member = host_.members_.find(aTarget);
  if (member == host_.members_.end()) {
    return;
  }
  Fetch(
    host_.calls_,
    host_.loop_,
    member->second.target_.address_,
    host_.adapter_.writeReportCall_(),
    kAccountTimeout,
    [self = shared_from_this(), aModel, aTarget](const http::Answer& aAnswer) {
      if (const auto report = self->host_.adapter_.readReport_(aAnswer)) {
        self->OnAccount(aModel, aTarget, *report);
      } else {
        self->host_.log_.Write(Line("account_lost")
                                 .Text("target", aTarget)
                                 .Number("status", aAnswer.status_));
      }
    });
}

void
Owner::OnAccount(const std::string& aModel,
                 const std::string& aTarget,
                 const TargetReport& aReport)
{
  auto* work = Find(aModel, aTarget);
  if (work == nullptr || phase_ != Phase::Owning) {
    return;
  }
  const auto now = Now();
  const auto version = rollouts_[aModel].version_;
  const auto loaded = aReport.weights_.find(aModel);
  if (loaded != aReport.weights_.end() && loaded->second >= version) {
    TellPeers(host_, { { Notice::Kind::Loaded, aTarget, aModel, version } });
    return;
  }
  if (!work->orders_ && !aReport.isBusy_) {
    work->orders_ = aReport.orders_;
    SendOrder(aModel, aTarget);
    return;
  }
  const bool accountIsNew = now - work->since_ > kAccountAge;
  if (aReport.isBusy_ || !accountIsNew) {
    if (now - work->since_ > kOrderedTime / 2) {
      // Its runs take long to end.
      work->since_ = now;
      TellPeers(
        host_,
        { { Notice::Kind::Ordered, aTarget, aModel, version, kOrderedTime } });
    }
    return;
  }
  // Neither loading nor loaded: the order was not taken, or was for weights
  // that are old by now.
  work->orders_ = aReport.orders_;
  work->progress_ = weights::Progress::Waiting;
  work->notBefore_ = now;
}

} // namespace lycheeplank::gateway
