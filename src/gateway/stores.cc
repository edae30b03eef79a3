#include "gateway/stores.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Longest that a store lets a call wait for changes.
constexpr absl::Duration kWaitTime = absl::Seconds(1);
// A store that answers nothing for so long after that is lost.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(400);
// A list of all that a store holds is large.
constexpr absl::Duration kListTime = absl::Seconds(1);
// Changes that come within this time are told in one answer. A part that was
// just kept is computed again by whoever asks for it meanwhile.
constexpr absl::Duration kGatherTime = absl::Milliseconds(120);
// Least time between two lists that are read for a few changes that never came:
// a list holds its store up, a part that isn't known is computed again.
constexpr absl::Duration kListPause = absl::Seconds(2);
// The same for each part of the list, some thirty bytes: so much that lists
// take a small part of a host's link.
constexpr absl::Duration kListPausePerPart = absl::Milliseconds(5);
constexpr absl::Duration kRetryFirst = absl::Milliseconds(150);
// A store that other hosts follow already lets no more hosts wait; more calls
// would only take the others' places.
constexpr int kTooMany = 429;
constexpr absl::Duration kCrowdedPause = absl::Seconds(2);
constexpr unsigned kMostDoublings = 2;

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
  const auto found = host_.kept_.stores_.find(name_);
  return stopped_ || found == host_.kept_.stores_.end() ? nullptr
                                                        : &found->second;
}

void
StoreFollower::Later(absl::Duration aPause)
{
  timer_.Set(aPause, [self = shared_from_this()] { self->Ask(false); });
}

void
StoreFollower::Ask(bool aWhole)
{
  const auto* state = State();
  if (state == nullptr) {
    return;
  }
  const auto& adapter = host_.adapter_;
  Fetch(host_.calls_,
        host_.loop_,
        state->settings_.address_,
        aWhole ? adapter.writeHoldingsCall_()
               : adapter.writeChangesCall_(state->next_, kWaitTime),
        aWhole ? kListTime : kWaitTime + kAnswerTime,
        [self = shared_from_this(), aWhole, askedAt = Now()](
          const http::Answer& aAnswer) {
          self->OnAnswer(aAnswer, aWhole, askedAt);
        });
}

bool
StoreFollower::IsListDue(const StoreChanges& aChanges, std::uint64_t aFrom)
{
  if (aFrom != 0 && aChanges.next_ > aFrom + aChanges.told_) {
    missed_ += aChanges.next_ - aFrom - aChanges.told_;
  }
  if (!Uses(host_, mechanisms::Mechanism::MissedChanges)) {
    return aChanges.gap_;
  }
  const auto parts = static_cast<double>(State()->parts_.size());
  const auto pause = std::max(kListPause, kListPausePerPart * parts);
  return aChanges.gap_ || (missed_ > 0 && Now() - listedAt_ > pause);
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
  Publish(host_, StoreNews{ name_, true });
  const auto first = aStatus == kTooMany ? kCrowdedPause : kRetryFirst;
  Later(Jitter(host_, first * (1U << std::min(failures_, kMostDoublings))));
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
  const auto heardSince = HeardSince(host_.pulse_, aAskedAt, Now());
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
    host_.kept_.clockOffset_ = absl::FromUnixMillis(*changes->clockMs_) - Now();
  }
  if (aWhole && !isNew && !afterGap_ &&
      state->syncState_ == cache_index::SyncState::Synced) {
    // The other hosts know most of it.
    auto news = *changes;
    news.changes_ = cache_index::DiffContents(*state, changes->changes_);
    cache_index::ApplyChanges(
      *state, news.epoch_, news.next_, news.changes_, heardSince);
    Tell(news, false);
    Later(kGatherTime);
    return;
  }
  if (aWhole) {
    cache_index::ReplaceContents(
      *state, changes->epoch_, changes->next_, changes->changes_, heardSince);
    Tell(*changes, true);
    Later(kGatherTime);
    return;
  }
  if (isNew && state->next_ != 0) {
    // The number asked from belongs to the store's life before.
    cache_index::ApplyChanges(*state, changes->epoch_, 0, {}, heardSince);
    Tell({ changes->epoch_ }, true);
    Ask(false);
    return;
  }
  const auto from = isNew ? 0 : state->next_;
  cache_index::ApplyChanges(
    *state, changes->epoch_, changes->next_, changes->changes_, heardSince);
  if (isNew || !changes->changes_.empty()) {
    Tell(*changes, false);
  }
  if (IsListDue(*changes, from)) {
    host_.log_.Write(Line("cache_store_gap")
                       .Text("store", name_)
                       .Number("missed", missed_)
                       .Flag("lost", changes->gap_));
    missed_ = 0;
    listedAt_ = Now();
    afterGap_ = changes->gap_;
    Ask(true);
    return;
  }
  Later(kGatherTime);
}

void
StoreFollower::Tell(const StoreChanges& aChanges, bool aWhole)
{
  Publish(host_,
          StoreNews{ name_,
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
        host_.kept_.stores_.contains(at->first)) {
      ++at;
    } else {
      at->second->Stop();
      followers_.erase(at++);
    }
  }
  if (host_.role_ != Role::Direct) {
    return;
  }
  for (const auto& [name, state] : host_.kept_.stores_) {
    if (!followers_.contains(name)) {
      const auto follower = std::make_shared<StoreFollower>(host_, name);
      followers_[name] = follower;
      follower->Start();
    }
  }
}

} // namespace lycheeplank::gateway
