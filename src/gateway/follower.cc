#include "gateway/follower.h"

#include <algorithm>
#include <utility>

#include "gateway/clock.h"
#include "gateway/long-poll.h"

namespace lycheeplank::gateway {

namespace {

// Longest time that one watch call waits for changes. Each call is charged, but
// reads from cache stores need items of a limited age, see
// part_use::kMaxReadAge.
constexpr absl::Duration kWatchTimeout = absl::Seconds(2);
// Pause before the next watch call, so that one call returns changes that are
// made in quick succession. It prolongs the time in which a leaving target may
// still get requests.
constexpr absl::Duration kWatchPause = absl::Milliseconds(200);
// Pause of a starting host between its list and its first watch. Hosts that
// start together register during it, so one watch returns them all; each call
// is charged.
constexpr absl::Duration kStartPause = absl::Milliseconds(700);
// Limits of the exponential backoff after failures.
constexpr absl::Duration kFirstRetryPause = absl::Milliseconds(60);
constexpr absl::Duration kLongestRetryPause = absl::Milliseconds(500);
constexpr unsigned kMaxDoublings = 4;

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
  const auto pause =
    std::min(kLongestRetryPause,
             kFirstRetryPause * (1U << std::min(failures_, kMaxDoublings)));
  ++failures_;
  timer_.Set(Jitter(host_, pause),
             [self = shared_from_this(), aStep] { ((*self).*aStep)(); });
}

void
Follower::Resume()
{
  if (std::exchange(paused_, false)) {
    failures_ = 0;
    List();
  }
}

void
Follower::Restart()
{
  if (!paused_) {
    failures_ = 0;
    List();
  }
}

void
Follower::RetryStaleCall(absl::Time aBackAt)
{
  if (currentCall_ != 0 && calledAt_.at_ < aBackAt && !call_.IsReceiving()) {
    failures_ = 0;
    if (listPosition_) {
      ListPage();
    } else {
      List();
    }
  }
}

void
Follower::Call(const StoreCommand& aCommand,
               absl::Duration aTimeout,
               void (Follower::*aOnReply)(const StoreReply&))
{
  call_.Cancel();
  currentCall_ = ++lastCall_;
  calledAt_ = MomentAt(host_.stallDetector_, Now());
  call_ = CallStore(host_,
                    aCommand,
                    aTimeout,
                    [self = shared_from_this(), call = currentCall_, aOnReply](
                      const StoreReply& aReply) {
                      if (self->currentCall_ == call) {
                        self->currentCall_ = 0;
                        ((*self).*aOnReply)(aReply);
                      }
                    });
}

void
Follower::List()
{
  page_.clear();
  lastKey_.clear();
  listPosition_ = absl::nullopt;
  ListPage();
}

void
Follower::ListPage()
{
  if (host_.role_ == Role::Relayed) {
    paused_ = true;
    return;
  }
  StoreCommand command;
  command.operation_ = StoreOperation::List;
  command.key_ = prefix_;
  command.afterKey_ = lastKey_;
  Call(command, kStoreCallTimeout, &Follower::OnPage);
}

void
Follower::OnPage(const StoreReply& aReply)
{
  if (aReply.outcome_ != StoreOutcome::Ok) {
    RetryLater(&Follower::ListPage);
    return;
  }
  if (!listPosition_) {
    listPosition_ = { aReply.era_.value_or(0), aReply.revision_ };
    listedAt_ = calledAt_;
  }
  if (!aReply.items_.empty()) {
    lastKey_ = aReply.items_.back().key_;
  }
  page_.insert(page_.end(), aReply.items_.begin(), aReply.items_.end());
  if (aReply.more_) {
    ListPage();
    return;
  }
  failures_ = 0;
  // The pages aren't a consistent snapshot: the watch starts at the revision of
  // the first page and returns all changes that were made during the list.
  revision_ = listPosition_->revision_;
  ApplyList(host_, prefix_, page_, *listPosition_, completeAsOf_);
  completeAsOf_ = listedAt_;
  NotePrefixComplete(host_, prefix_, listedAt_.at_, Now());
  listPosition_ = absl::nullopt;
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
    paused_ = true;
    return;
  }
  StoreCommand command;
  command.operation_ = StoreOperation::Watch;
  command.key_ = prefix_;
  command.afterRevision_ = revision_;
  command.wait_ = kWatchTimeout;
  Call(command, kWatchTimeout + kStoreCallTimeout, &Follower::OnEvents);
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
    // Changes may have been missed: the failed watch may have stopped receiving
    // them before it was cut, and a new watch would skip them. So the follower
    // lists all items again.
    RetryLater(&Follower::List);
    return;
  }
  failures_ = 0;
  revision_ = std::max(revision_, aReply.revision_);
  const auto times =
    DatePoll(host_.stallDetector_, completeAsOf_.at_, calledAt_.at_, Now());
  completeAsOf_ = { times.completeAt_, calledAt_.stalled_ };
  ApplyItems(host_, aReply.items_, "watch", times.changedSince_);
  // The reply may have been long under way, but is no older than its call.
  NotePrefixComplete(host_, prefix_, calledAt_.at_, absl::InfinitePast());
  timer_.Set(kWatchPause, [self = shared_from_this()] { self->Watch(); });
}

} // namespace lycheeplank::gateway
