#include "gateway/stores.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Time for which a store holds a long poll for changes.
constexpr absl::Duration kPollTimeout = absl::Seconds(1);
// A store that doesn't answer within this time after the long poll counts as
// lost.
constexpr absl::Duration kPollAnswerMargin = absl::Milliseconds(400);
// Timeout of a call for the full list, which is large.
constexpr absl::Duration kListTimeout = absl::Seconds(1);
// Pause between polls, so that one answer carries the changes of this time.
// Hosts receive a saved part this much later; requests that need it meanwhile
// compute it again.
constexpr absl::Duration kBatchPause = absl::Milliseconds(120);
// Minimum time between two lists that are read because of missing changes: a
// list delays its store, while an unknown part only costs its computation.
constexpr absl::Duration kListPause = absl::Seconds(2);
// The same per part of the list, some thirty bytes, so that lists use a small
// part of a host's link.
constexpr absl::Duration kListPausePerPart = absl::Milliseconds(5);
// Limit of a list or of changes. Some dozen stores are followed, and all of
// them may fail at the same time.
constexpr std::size_t kMaxStoreAnswerBytes = 4U << 20U;
constexpr absl::Duration kRetryFirst = absl::Milliseconds(150);
// Status of a store that rejects the call because enough other hosts follow it;
// more calls would only displace them.
constexpr int kTooManyRequests = 429;
constexpr absl::Duration kRejectedPause = absl::Seconds(2);
constexpr unsigned kMaxDoublings = 2;

} // namespace

StoreFollower::StoreFollower(Host& aHost, std::string aName)
  : host_(aHost)
  , name_(std::move(aName))
  , timer_(aHost.loop_)
{
}

void
StoreFollower::Stop()
{
  stopped_ = true;
  timer_.Cancel();
}

cache_index::StoreState*
StoreFollower::State()
{
  const auto found = host_.cacheIndex_.stores_.find(name_);
  return stopped_ || found == host_.cacheIndex_.stores_.end() ? nullptr
                                                              : &found->second;
}

void
StoreFollower::PollLater(absl::Duration aPause)
{
  timer_.Set(aPause, [self = shared_from_this()] { self->Request(false); });
}

void
StoreFollower::Request(bool aWhole)
{
  const auto* state = State();
  if (state == nullptr) {
    return;
  }
  const auto& adapter = host_.adapter_;
  auto call = aWhole ? adapter.writeHoldingsCall_()
                     : adapter.writeChangesCall_(state->next_, kPollTimeout);
  call.maxAnswerBytes_ = kMaxStoreAnswerBytes;
  Fetch(host_.callPool_,
        host_.loop_,
        state->settings_.address_,
        call,
        aWhole ? kListTimeout : kPollTimeout + kPollAnswerMargin,
        [self = shared_from_this(), aWhole, askedAt = Now()](
          const http::Answer& aAnswer) {
          self->OnAnswer(aAnswer, aWhole, askedAt);
        });
}

bool
StoreFollower::IsListDue(const StoreChanges& aChanges, std::uint64_t aFrom)
{
  if (aFrom != 0 && aChanges.next_ > aFrom + aChanges.reported_) {
    missedChanges_ += aChanges.next_ - aFrom - aChanges.reported_;
  }
  if (!Uses(host_, mechanisms::Mechanism::MissedChanges)) {
    return aChanges.gap_;
  }
  const auto parts = static_cast<double>(State()->parts_.size());
  const auto pause = std::max(kListPause, kListPausePerPart * parts);
  return aChanges.gap_ || (missedChanges_ > 0 && Now() - listedAt_ > pause);
}

void
StoreFollower::Fail(int aStatus)
{
  auto& state = *State();
  if (state.syncState_ != cache_index::SyncState::Unreachable) {
    host_.log_.Write(Line("cache_store_lost")
                       .Text("store", name_)
                       .Number("status", aStatus)
                       .Number("parts", state.parts_.size())
                       .Age("heard_ms", Now() - state.lastAnswerAt_));
  }
  cache_index::MarkUnreachable(state);
  Publish(host_, StoreUpdate{ name_, true });
  const auto first = aStatus == kTooManyRequests ? kRejectedPause : kRetryFirst;
  PollLater(Jitter(host_, first * (1U << std::min(failures_, kMaxDoublings))));
  ++failures_;
}

void
StoreFollower::OnAnswer(const http::Answer& aAnswer,
                        bool aWhole,
                        absl::Time aAskedAt)
{
  auto* state = State();
  if (state == nullptr) {
    return;
  }
  const auto changes = host_.adapter_.readChanges_(aAnswer);
  if (!changes) {
    Fail(aAnswer.status_);
    return;
  }
  failures_ = 0;
  const auto heardSince =
    EarliestSendTime(host_.stallDetector_, aAskedAt, Now());
  const bool isNew = state->epoch_ != changes->epoch_;
  if (isNew || state->syncState_ == cache_index::SyncState::Unreachable) {
    host_.log_.Write(Line("cache_store_followed")
                       .Text("store", name_)
                       .Text("data_centre", state->settings_.dataCentre_)
                       .Flag("started_anew", isNew)
                       .Number("epoch", changes->epoch_)
                       .Number("changes", changes->changes_.size()));
  }
  if (changes->clockMs_) {
    host_.cacheIndex_.clockOffset_ =
      absl::FromUnixMillis(*changes->clockMs_) - Now();
  }
  if (aWhole && !isNew && !afterGap_ &&
      state->syncState_ == cache_index::SyncState::Synced) {
    // The other hosts have most of the list, so only the differences are
    // relayed.
    auto update = *changes;
    update.changes_ = cache_index::DiffContents(*state, changes->changes_);
    cache_index::ApplyChanges(
      *state, update.epoch_, update.next_, update.changes_, heardSince);
    Relay(update, false);
    PollLater(kBatchPause);
    return;
  }
  if (aWhole) {
    cache_index::ReplaceContents(
      *state, changes->epoch_, changes->next_, changes->changes_, heardSince);
    Relay(*changes, true);
    PollLater(kBatchPause);
    return;
  }
  if (isNew && state->next_ != 0) {
    // The requested change number belongs to the store's previous epoch.
    cache_index::ApplyChanges(*state, changes->epoch_, 0, {}, heardSince);
    Relay({ changes->epoch_ }, true);
    Request(false);
    return;
  }
  const auto from = isNew ? 0 : state->next_;
  cache_index::ApplyChanges(
    *state, changes->epoch_, changes->next_, changes->changes_, heardSince);
  if (isNew || !changes->changes_.empty()) {
    Relay(*changes, false);
  }
  if (IsListDue(*changes, from)) {
    host_.log_.Write(Line("cache_store_gap")
                       .Text("store", name_)
                       .Number("missed", missedChanges_)
                       .Flag("lost", changes->gap_));
    missedChanges_ = 0;
    listedAt_ = Now();
    afterGap_ = changes->gap_;
    Request(true);
    return;
  }
  PollLater(kBatchPause);
}

void
StoreFollower::Relay(const StoreChanges& aChanges, bool aWhole)
{
  Publish(host_,
          StoreUpdate{ name_,
                       false,
                       aWhole,
                       aChanges.epoch_,
                       aChanges.next_,
                       aChanges.changes_ });
}

void
StoreFollowers::Update()
{
  for (auto at = followers_.begin(); at != followers_.end();) {
    if (host_.role_ == Role::Direct &&
        host_.cacheIndex_.stores_.contains(at->first)) {
      ++at;
    } else {
      at->second->Stop();
      followers_.erase(at++);
    }
  }
  if (host_.role_ != Role::Direct) {
    return;
  }
  for (const auto& [name, state] : host_.cacheIndex_.stores_) {
    if (!followers_.contains(name)) {
      const auto follower = std::make_shared<StoreFollower>(host_, name);
      followers_[name] = follower;
      follower->Start();
    }
  }
}

} // namespace lycheeplank::gateway
