#include "gateway/follower.h"

#include <algorithm>
#include <utility>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Longest that one call waits for changes. Each call is charged; a connection
// that went silent is found out by its probes.
constexpr absl::Duration kWatchTime = absl::Seconds(10);
// Pause before the next call, in which changes that come together are
// gathered; a part of the time that a leaving target may get work.
constexpr absl::Duration kWatchPause = absl::Milliseconds(200);
// Pause of a starting host after its list: hosts that start together are
// registered then, and each call is charged.
constexpr absl::Duration kStartPause = absl::Milliseconds(700);
// Pauses after failures: the first, and the longest.
constexpr absl::Duration kRetryFirst = absl::Milliseconds(60);
constexpr absl::Duration kRetryLongest = absl::Milliseconds(500);
constexpr unsigned kMostDoublings = 4;

} // namespace

Follower::Follower(Host& aHost, std::string aPrefix)
  : host_(aHost)
  , prefix_(std::move(aPrefix))
  , timer_(aHost.loop_)
{
}

void
Follower::RetryLater(void (Follower::*aStep)())
{
  const auto pause = std::min(
    kRetryLongest, kRetryFirst * (1U << std::min(failures_, kMostDoublings)));
  ++failures_;
  timer_.Set(Jitter(host_, pause),
             [self = shared_from_this(), aStep] { ((*self).*aStep)(); });
}

void
Follower::Resume()
{
  if (std::exchange(resting_, false)) {
    failures_ = 0;
    List();
  }
}

void
Follower::Restart()
{
  if (!resting_) {
    failures_ = 0;
    List();
  }
}

void
Follower::Renew(absl::Time aBackAt)
{
  if (call_ != 0 && calledAt_ < aBackAt) {
    failures_ = 0;
    List();
  }
}

void
Follower::Call(const StoreCommand& aCommand,
               absl::Duration aTimeout,
               void (Follower::*aOnReply)(const StoreReply&))
{
  call_ = ++lastCall_;
  calledAt_ = Now();
  CallStore(host_,
            aCommand,
            aTimeout,
            [self = shared_from_this(), call = call_, aOnReply](
              const StoreReply& aReply) {
              if (self->call_ == call) {
                self->call_ = 0;
                ((*self).*aOnReply)(aReply);
              }
            });
}

void
Follower::List()
{
  if (host_.role_ == Role::Relayed) {
    resting_ = true;
    return;
  }
  page_.clear();
  lastKey_.clear();
  listedFrom_ = absl::nullopt;
  StoreCommand command;
  command.operation_ = StoreOperation::List;
  command.key_ = prefix_;
  Call(command, kStoreCallTimeout, &Follower::OnPage);
}

void
Follower::OnPage(const StoreReply& aReply)
{
  if (aReply.outcome_ != StoreOutcome::Ok) {
    RetryLater(&Follower::List);
    return;
  }
  if (!listedFrom_) {
    listedFrom_ = { aReply.era_.value_or(0), aReply.revision_ };
    listedAt_ = calledAt_;
  }
  if (!aReply.items_.empty()) {
    lastKey_ = aReply.items_.back().key_;
  }
  page_.insert(page_.end(), aReply.items_.begin(), aReply.items_.end());
  if (aReply.more_) {
    StoreCommand command;
    command.operation_ = StoreOperation::List;
    command.key_ = prefix_;
    command.afterKey_ = lastKey_;
    Call(command, kStoreCallTimeout, &Follower::OnPage);
    return;
  }
  failures_ = 0;
  // Pages are no snapshot: changes made while they were read come again.
  revision_ = listedFrom_->revision_;
  ApplyList(host_, prefix_, page_, *listedFrom_, knownUntil_);
  knownUntil_ = listedAt_;
  page_.clear();
  if (host_.role_ == Role::Starting && CanServe(host_)) {
    timer_.Set(kStartPause, [self = shared_from_this()] { self->Watch(); });
  } else {
    Watch();
  }
}

void
Follower::Watch()
{
  if (host_.role_ == Role::Relayed) {
    resting_ = true;
    return;
  }
  StoreCommand command;
  command.operation_ = StoreOperation::Watch;
  command.key_ = prefix_;
  command.afterRevision_ = revision_;
  command.wait_ = kWatchTime;
  Call(command, kWatchTime + kStoreCallTimeout, &Follower::OnEvents);
}

void
Follower::OnEvents(const StoreReply& aReply)
{
  if (aReply.outcome_ == StoreOutcome::Compacted) {
    host_.log_.Write(Line("store_history_gone")
                       .Text("prefix", prefix_)
                       .Number("revision", revision_));
    List();
    return;
  }
  if (aReply.outcome_ != StoreOutcome::Ok) {
    // Changes may have been missed without a sign: a cut wait may have been
    // deaf before, and a new one goes on after them.
    RetryLater(&Follower::List);
    return;
  }
  failures_ = 0;
  revision_ = std::max(revision_, aReply.revision_);
  const auto heardSince = HeardSince(host_.loopGaps_, calledAt_, Now());
  knownUntil_ = heardSince;
  ApplyItems(host_, aReply.items_, "watch", heardSince);
  timer_.Set(kWatchPause, [self = shared_from_this()] { self->Watch(); });
}

} // namespace lycheeplank::gateway
