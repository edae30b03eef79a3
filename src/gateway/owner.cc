#include "gateway/owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

#include "gateway/clock.h"
#include "gateway/lease.h"
#include "gateway/peers.h"
#include "gateway/permits.h"

namespace lycheeplank::gateway {

namespace {

// Another host can take over this long after the owner's last renewal.
constexpr absl::Duration kLeaseTimeToLive = absl::Milliseconds(2000);
constexpr absl::Duration kKeepAlivePeriod = absl::Milliseconds(500);
constexpr absl::Duration kRetryPause = absl::Milliseconds(150);
// Ownership ends this much before the lease. The margin covers orders in
// transit, and the 300 ms that the platform grants a process that wakes from a
// freeze.
constexpr absl::Duration kLeaseMargin = absl::Milliseconds(500);
// Delay between the claims of hosts with successive ranks, so that usually only
// the first of them claims.
constexpr absl::Duration kClaimPausePerRank = absl::Milliseconds(120);
// Period at which a host that may not claim checks whether it may.
constexpr absl::Duration kRecheckPause = absl::Milliseconds(500);
constexpr absl::Duration kStepPeriod = absl::Milliseconds(100);
// Hosts send no requests to an ordered target for this time, or until they
// receive the notice that it has loaded the weights.
constexpr absl::Duration kOrderPause = absl::Seconds(3);
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(1000);
constexpr absl::Duration kReportTimeout = absl::Milliseconds(500);
// Age that a report may have; reports are some hundred milliseconds old.
constexpr absl::Duration kMaxReportAge = absl::Milliseconds(700);
constexpr absl::Duration kRefusedOrderPause = absl::Milliseconds(300);
// Low bits of a fencing token, which hold the revision; the era is above them,
// so the token grows with both. Forty bits of revisions last for years at the
// service's rate of writes.
constexpr unsigned kRevisionBits = 40;

std::uint64_t
FenceOf(const core::Position& aClaimedAt)
{
  return (aClaimedAt.era_ << kRevisionBits) | aClaimedAt.revision_;
}

// Tells all hosts of the present processes of targets. aPause: how long they
// send no requests there.
void
Tell(Host& aHost,
     Notice::Kind aKind,
     const std::vector<std::string>& aTargets,
     const std::string& aModel,
     std::uint64_t aVersion,
     absl::Duration aPause)
{
  std::vector<Notice> notices;
  notices.reserve(aTargets.size());
  for (const auto& target : aTargets) {
    if (const auto start = StartOf(aHost, target)) {
      notices.push_back({ aKind, target, aModel, aVersion, aPause, *start });
    }
  }
  if (!notices.empty()) {
    BroadcastNotices(aHost, notices);
  }
}

void
TellLoadOrdered(Host& aHost,
                const std::vector<std::string>& aTargets,
                const std::string& aModel,
                std::uint64_t aVersion,
                absl::Duration aPause = kOrderPause)
{
  Tell(aHost, Notice::Kind::LoadOrdered, aTargets, aModel, aVersion, aPause);
}

void
TellLoaded(Host& aHost,
           const std::string& aTarget,
           const std::string& aModel,
           std::uint64_t aVersion)
{
  Tell(aHost,
       Notice::Kind::WeightsLoaded,
       { aTarget },
       aModel,
       aVersion,
       absl::ZeroDuration());
}

} // namespace

Owner::Owner(Host& aHost)
  : host_(aHost)
  , claimTimer_(aHost.loop_)
  , keepAliveTimer_(aHost.loop_)
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
Owner::CanSendOrders() const
{
  const auto now = Now();
  return phase_ == Phase::Owning && !host_.stopping_ && now < validUntil_ &&
         now >= FirstOrderTime();
}

absl::Time
Owner::FirstOrderTime() const
{
  // The owner of the previous era renewed its lease for the last time before
  // the service failed.
  return host_.store_.eraSeenAt_ + kLeaseTimeToLive;
}

void
Owner::OnChange()
{
  if (!started_ || host_.stopping_) {
    return;
  }
  const auto* known = replica::Find(host_.replica_, kOwnerKey);
  if (phase_ == Phase::Claiming && !claimValue_.empty() && known != nullptr &&
      known->item_.value_ == claimValue_) {
    // The reply to the claim was lost, but the claim was committed.
    BecomeOwner({ known->item_.era_, known->item_.created_ });
    return;
  }
  if (phase_ == Phase::Waiting && known == nullptr) {
    ScheduleClaim();
  }
}

void
Owner::ScheduleClaim()
{
  const auto rank = relays::ClaimRank(
    host_.hosts_, host_.settings_.name_, host_.replica_.newest_.revision_);
  if (!rank) {
    claimTimer_.Set(Jitter(host_, kRecheckPause),
                    [self = shared_from_this()] { self->OnChange(); });
    return;
  }
  claimTimer_.Set(
    kClaimPausePerRank * static_cast<std::int64_t>(*rank),
    [self = shared_from_this()] {
      if (self->phase_ == Phase::Waiting && !self->host_.stopping_ &&
          replica::Find(self->host_.replica_, kOwnerKey) == nullptr) {
        self->AcquireLease();
      }
    });
}

void
Owner::AcquireLease()
{
  phase_ = Phase::Claiming;
  // An earlier claim that is done late is bound to an earlier lease, which this
  // host no longer renews.
  claimValue_.clear();
  const auto askedAt = Now();
  const auto claim = ++claimId_;
  GrantLease(host_,
             kLeaseTimeToLive,
             [self = shared_from_this(), askedAt, claim](std::uint64_t aLease) {
               if (self->claimId_ != claim) {
                 return;
               }
               if (aLease == 0) {
                 self->StepDown("no_lease");
                 return;
               }
               self->lease_ = aLease;
               self->validUntil_ = askedAt + kLeaseTimeToLive - kLeaseMargin;
               self->CommitClaim();
             });
}

void
Owner::CommitClaim()
{
  claimValue_ = absl::StrCat(host_.settings_.name_, "/", host_.random_());
  StoreCommand command;
  command.operation_ = StoreOperation::Commit;
  command.key_ = std::string(kOwnerKey);
  command.expect_ = 0;
  command.value_ = claimValue_;
  command.lease_ = lease_;
  CallStore(
    host_,
    command,
    kStoreCallTimeout,
    [self = shared_from_this(), claim = claimId_](const StoreReply& aReply) {
      if (self->phase_ != Phase::Claiming || self->claimId_ != claim) {
        return;
      }
      if (aReply.outcome_ == StoreOutcome::Ok) {
        self->BecomeOwner({ aReply.era_.value_or(0), aReply.revision_ });
      } else {
        self->StepDown(core::NameOf(kStoreOutcomes, aReply.outcome_));
      }
    });
}

void
Owner::BecomeOwner(const core::Position& aClaimedAt)
{
  phase_ = Phase::Owning;
  fence_ = FenceOf(aClaimedAt);
  rollouts_.clear();
  oldestWeights_.clear();
  host_.log_.Write(Line("owner_begins")
                     .Number("fence", fence_)
                     .Number("era", aClaimedAt.era_)
                     .Number("revision", aClaimedAt.revision_)
                     .Age("orders_in_ms", FirstOrderTime() - Now()));
  ScheduleKeepAlive();
  Step();
}

void
Owner::ScheduleKeepAlive()
{
  keepAliveTimer_.Set(kKeepAlivePeriod,
                      [self = shared_from_this()] { self->KeepAlive(); });
}

void
Owner::KeepAlive()
{
  if (phase_ != Phase::Owning) {
    return;
  }
  const auto askedAt = Now();
  KeepLease(host_,
            lease_,
            kStoreCallTimeout,
            [self = shared_from_this(), askedAt, claim = claimId_](
              StoreOutcome aOutcome) {
              if (self->phase_ != Phase::Owning || self->claimId_ != claim) {
                return;
              }
              if (aOutcome == StoreOutcome::Ok) {
                self->validUntil_ = askedAt + kLeaseTimeToLive - kLeaseMargin;
              } else if (aOutcome == StoreOutcome::Absent) {
                self->StepDown("lease_lapsed");
                return;
              }
              self->ScheduleKeepAlive();
            });
}

void
Owner::StepDown(absl::string_view aReason)
{
  host_.log_.Write(
    Line(phase_ == Phase::Owning ? "owner_ends" : "owner_claim_failed")
      .Text("reason", aReason)
      .Number("fence", fence_));
  phase_ = Phase::Waiting;
  ++claimId_;
  stepTimer_.Cancel();
  keepAliveTimer_.Cancel();
  claimTimer_.Set(Jitter(host_, kRetryPause),
                  [self = shared_from_this()] { self->OnChange(); });
}

void
Owner::OnNewEra()
{
  if (phase_ != Phase::Waiting) {
    StepDown("new_era");
  }
}

void
Owner::Resign()
{
  if (phase_ != Phase::Owning) {
    return;
  }
  StepDown("stopping");
  claimTimer_.Cancel();
  EndLease(host_, lease_);
}

weights::TargetProgress*
Owner::FindWork(const std::string& aModel, const std::string& aTarget)
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
  if (CanSendOrders()) {
    for (const auto& [model, published] : host_.weights_) {
      auto& rollout = rollouts_[model];
      rollout.version_ = weights::NewestVersion(published);
      AdvanceRollout(model, rollout);
    }
    FreeOldParts();
  }
  stepTimer_.Set(kStepPeriod, [self = shared_from_this()] { self->Step(); });
}

void
Owner::AdvanceRollout(const std::string& aModel, weights::Rollout& aRollout)
{
  const auto now = Now();
  ReleaseSilent(aModel, aRollout);
  const bool wasSlowed = weights::IsSlowed(aRollout);
  const auto ids = weights::NextTargets(aRollout, host_.members_, aModel, now);
  if (const bool isSlowed = weights::IsSlowed(aRollout);
      isSlowed != wasSlowed) {
    host_.log_.Write(Line(isSlowed ? "rollout_slowed" : "rollout_resumed")
                       .Text("model", aModel)
                       .Number("version", aRollout.version_)
                       .Number("loss_moments", aRollout.lossMoments_)
                       .Age("last_loss_age_ms", now - aRollout.lastLossAt_));
  }
  if (!ids.empty()) {
    TellLoadOrdered(host_, ids, aModel, aRollout.version_);
    for (const auto& id : ids) {
      const auto timer = std::make_shared<Timer>(host_.loop_);
      // The other hosts receive the notice before the target gets the order.
      timer->Set(NoticePropagationTime(host_),
                 [self = shared_from_this(), timer, aModel, id, now] {
                   self->OnAnnounced(aModel, id, now);
                 });
    }
  }
  for (const auto& id : weights::TargetsToPoll(aRollout, now)) {
    FetchReport(aModel, id);
  }
}

void
Owner::ReleaseSilent(const std::string& aModel, weights::Rollout& aRollout)
{
  std::vector<std::string> unordered;
  for (const auto& released : weights::ReleaseSilent(aRollout, Now())) {
    const auto& id = released.target_;
    host_.metrics_.Count("rollout_silent_targets_total");
    host_.log_.Write(
      Line("rollout_target_silent")
        .Text("target", id)
        .Text("model", aModel)
        .Number("version", aRollout.version_)
        .Text("progress",
              core::NameOf(weights::kProgresses, released.progress_))
        .Flag("ordered", released.isOrdered_)
        .Number("started_ms", aRollout.targets_.at(id).bornMs_)
        .Age("silence_ms", released.silence_));
    if (!released.isOrdered_) {
      unordered.push_back(id);
    }
  }
  // Other hosts may reach them.
  TellLoadOrdered(
    host_, unordered, aModel, aRollout.version_, absl::ZeroDuration());
}

void
Owner::OnAnnounced(const std::string& aModel,
                   const std::string& aTarget,
                   absl::Time aAnnouncedAt)
{
  const auto* work = FindWork(aModel, aTarget);
  // The target may have started again and been announced once more.
  if (work != nullptr && work->progress_ == weights::Progress::Announced &&
      work->since_ == aAnnouncedAt) {
    SendOrder(aModel, aTarget);
  }
}

void
Owner::SendOrder(const std::string& aModel, const std::string& aTarget)
{
  const auto member = host_.members_.find(aTarget);
  auto* work = FindWork(aModel, aTarget);
  if (work == nullptr) {
    return;
  }
  // The entry may have vanished, and another process may have written it since.
  const bool isPresent = member != host_.members_.end() &&
                         member->second.target_.bornMs_ == work->bornMs_;
  if (!isPresent || !CanSendOrders()) {
    work->progress_ = weights::Progress::Waiting;
    return;
  }
  const auto now = Now();
  if (!work->orders_) {
    // An order is conditional on the number of orders that the target has
    // accepted, which its report shows.
    work->progress_ = weights::Progress::Unconfirmed;
    work->since_ = now - weights::kConfirmDelay;
    work->polledAt_ = now;
    FetchReport(aModel, aTarget);
    return;
  }
  work->progress_ = weights::Progress::Ordering;
  work->since_ = now;
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
                     .Age("valid_ms", validUntil_ - now));
  CallTarget(
    member->second.target_,
    host_.adapter_.writeOrder_(order),
    kOrderTimeout,
    [self = shared_from_this(), aModel, aTarget, version = order.weights_](
      const http::Answer& aAnswer) {
      self->OnOrderOutcome(aModel,
                           aTarget,
                           version,
                           self->host_.adapter_.readOrderOutcome_(aAnswer));
    });
}

void
Owner::CallTarget(const fleet::Target& aTarget,
                  http::Call aCall,
                  absl::Duration aTimeout,
                  std::function<void(const http::Answer&)> aOnAnswer)
{
  aCall.maxAnswerBytes_ = kMaxShortAnswerBytes;
  Fetch(host_.callPool_,
        host_.loop_,
        aTarget.address_,
        aCall,
        aTimeout,
        [self = shared_from_this(),
         id = aTarget.id_,
         startedAtMs = aTarget.bornMs_,
         onAnswer = std::move(aOnAnswer)](const http::Answer& aAnswer) {
          // Work at a target that isn't listed at the moment goes on.
          if (StartOf(self->host_, id).value_or(startedAtMs) == startedAtMs) {
            onAnswer(aAnswer);
            return;
          }
          self->host_.log_.Write(Line("answer_of_earlier_start")
                                   .Text("target", id)
                                   .Number("started_ms", startedAtMs));
        });
}

void
Owner::OnOrderOutcome(const std::string& aModel,
                      const std::string& aTarget,
                      std::uint64_t aVersion,
                      OrderOutcome aOutcome)
{
  host_.log_.Write(Line("order_outcome")
                     .Text("target", aTarget)
                     .Number("version", aVersion)
                     .Text("outcome", core::NameOf(kOrderOutcomes, aOutcome)));
  auto* work = FindWork(aModel, aTarget);
  if (work == nullptr || phase_ != Phase::Owning) {
    return;
  }
  const auto now = Now();
  work->since_ = now;
  if (aOutcome != OrderOutcome::Lost) {
    weights::NoteAnswer(*work, now);
  }
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      work->progress_ = weights::Progress::Loading;
      return;
    case OrderOutcome::Done:
      TellLoaded(host_, aTarget, aModel, aVersion);
      // A newer version may have been published meanwhile.
      work->progress_ = weights::Progress::Waiting;
      return;
    case OrderOutcome::Conflict:
    case OrderOutcome::Lost:
      work->progress_ = weights::Progress::Unconfirmed;
      ++work->failures_;
      return;
    case OrderOutcome::Fenced:
      StepDown("fenced");
      return;
    case OrderOutcome::Refused:
      work->progress_ = weights::Progress::Waiting;
      work->notBefore_ = now + kRefusedOrderPause;
      ++work->failures_;
      return;
  }
}

void
Owner::FetchReport(const std::string& aModel, const std::string& aTarget)
{
  if (NeedsPermit(host_, aTarget)) {
    AskPermit(host_,
              aTarget,
              false,
              [self = shared_from_this(), aModel, aTarget](
                const target_limits::Permit& aPermit) {
                if (target_limits::MaySend(aPermit)) {
                  self->CallForReport(aModel, aTarget);
                }
              });
    return;
  }
  CallForReport(aModel, aTarget);
}

void
Owner::CallForReport(const std::string& aModel, const std::string& aTarget)
{
  const auto member = host_.members_.find(aTarget);
  if (member == host_.members_.end()) {
    return;
  }
  CallTarget(
    member->second.target_,
    host_.adapter_.writeReportCall_(),
    kReportTimeout,
    [self = shared_from_this(), aModel, aTarget](const http::Answer& aAnswer) {
      if (const auto report = self->host_.adapter_.readReport_(aAnswer)) {
        self->OnReport(aModel, aTarget, *report);
      } else {
        self->host_.log_.Write(Line("account_lost")
                                 .Text("target", aTarget)
                                 .Number("status", aAnswer.status_));
      }
    });
}

void
Owner::OnReport(const std::string& aModel,
                const std::string& aTarget,
                const TargetReport& aReport)
{
  auto* work = FindWork(aModel, aTarget);
  if (work == nullptr || phase_ != Phase::Owning) {
    return;
  }
  if (aReport.bornMs_ != 0 && aReport.bornMs_ != work->bornMs_) {
    // Another process has the address, or the target has started again.
    host_.log_.Write(Line("account_foreign")
                       .Text("target", aTarget)
                       .Number("born_ms", aReport.bornMs_)
                       .Number("expected_ms", work->bornMs_));
    return;
  }
  const auto now = Now();
  const bool wasSilent = weights::NoteAnswer(*work, now);
  const auto version = rollouts_[aModel].version_;
  const auto loaded = aReport.weights_.find(aModel);
  if (loaded != aReport.weights_.end() && loaded->second >= version) {
    TellLoaded(host_, aTarget, aModel, version);
    return;
  }
  if (wasSilent) {
    host_.log_.Write(Line("rollout_target_answers")
                       .Text("target", aTarget)
                       .Text("model", aModel)
                       .Number("version", version)
                       .Flag("busy", aReport.isBusy_));
    work->orders_ = aReport.orders_;
    if (aReport.isBusy_) {
      work->progress_ = weights::Progress::Loading;
    }
    return;
  }
  if (!weights::AwaitsReport(*work)) {
    return;
  }
  if (!work->orders_ && !aReport.isBusy_) {
    work->orders_ = aReport.orders_;
    SendOrder(aModel, aTarget);
    return;
  }
  const bool isReportCurrent = now - work->since_ > kMaxReportAge;
  if (aReport.isBusy_ || !isReportCurrent) {
    if (now - work->since_ > kOrderPause / 2) {
      // The target's requests take long to finish, so its pause is prolonged.
      work->since_ = now;
      TellLoadOrdered(host_, { aTarget }, aModel, version);
    }
    return;
  }
  // The target neither loads nor has the weights: it didn't accept the order,
  // or the order was for older weights.
  work->orders_ = aReport.orders_;
  work->progress_ = weights::Progress::Waiting;
  work->notBefore_ = now;
  ++work->failures_;
}

} // namespace lycheeplank::gateway
