#include "lycheeplank/claims.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "claims/events.h"

namespace lycheeplank::claims {

namespace {

// Events of several threads may be out of order by less than this.
constexpr absl::Duration kMaxEventDisorder = absl::Seconds(1);
// How long a refused attempt is remembered to check that it isn't granted.
constexpr absl::Duration kRefusedKept = absl::Minutes(10);
constexpr absl::Duration kForgetInterval = absl::Minutes(1);

void
OnShardReply(const Context& aContext,
             Shard& aShard,
             const Flight& aFlight,
             const platform::Reply& aReply)
{
  switch (aFlight.purpose_) {
    case Purpose::ReadTail:
      return OnTailRead(aContext, aShard, aFlight, aReply);
    case Purpose::WriteTail:
      return OnTailWritten(aContext, aShard, aFlight, aReply);
    case Purpose::LoadSegment:
      return OnSegmentLoaded(aContext, aShard, aReply);
    case Purpose::ReadMergeSource:
      return OnMergeSource(aContext, aShard, aFlight, aReply);
    case Purpose::WriteSegment:
      return OnSegmentWritten(aContext, aShard, aFlight, aReply);
    case Purpose::WriteAnswer:
      return OnAnswerStored(aContext, aShard, aFlight, aReply);
    case Purpose::ReadAnswerSegment:
      return OnAnswerSegment(aContext, aShard, aFlight, aReply);
    case Purpose::ReadAnswerObject:
      return OnAnswerObject(aContext, aShard, aFlight, aReply);
    case Purpose::List:
      return OnListed(aContext, aShard, aReply);
    case Purpose::ReadLayout:
    case Purpose::CreateLayout:
    case Purpose::Delete:
      // A deletion that failed is repeated by the next sweep.
      return;
  }
}

void
Handle(const Context& aContext, const ClaimRequest& aAsk)
{
  OnAsk(aContext, aAsk);
}

void
Handle(const Context& aContext, const OutcomeReport& aReport)
{
  OnReport(aContext, aReport);
}

void
Handle(const Context& aContext, const Heartbeat& aRunning)
{
  OnRunning(aContext, aRunning);
}

void
Handle(const Context& aContext, const PlatformReplied& aReplied)
{
  auto& state = aContext.state_;
  const auto found = state.flights_.find(aReplied.reply_.id_);
  if (found == state.flights_.end()) {
    return;
  }
  const Flight flight = found->second;
  state.flights_.erase(found);
  if (flight.purpose_ == Purpose::ReadLayout ||
      flight.purpose_ == Purpose::CreateLayout) {
    return OnLayoutReply(aContext, flight.purpose_, aReplied.reply_);
  }
  auto& shard = *state.loaded_.at(flight.shard_);
  --shard.flights_;
  OnShardReply(aContext, shard, flight, aReplied.reply_);
}

void
ForgetRefused(const Context& aContext, Shard& aShard)
{
  if (aContext.now_ < aShard.forgetAt_) {
    return;
  }
  aShard.forgetAt_ = aContext.now_ + kForgetInterval;
  absl::erase_if(aShard.refused_, [&](const auto& aEntry) {
    return aContext.now_ - aEntry.second >= kRefusedKept;
  });
}

bool
IsIdle(const Context& aContext, const Shard& aShard)
{
  return aShard.asks_.empty() && aShard.reports_.empty() &&
         aShard.flights_ == 0 &&
         aContext.now_ - aShard.used_ >= aContext.state_.settings_.idleTimeout_;
}

void
Handle(const Context& aContext, const Tick& /*aTick*/)
{
  ReadLayout(aContext);
  ExpireEarly(aContext);
  for (auto& [number, shard] : aContext.state_.loaded_) {
    Pump(aContext, *shard);
    ExpireWaiting(aContext, *shard);
    Maintain(aContext, *shard);
    ForgetRefused(aContext, *shard);
  }
  auto& loaded = aContext.state_.loaded_;
  for (auto at = loaded.begin(); at != loaded.end();) {
    at = IsIdle(aContext, *at->second) ? loaded.erase(at) : std::next(at);
  }
}

void
Handle(const Context& aContext, const SettingsChanged& aChange)
{
  auto& settings = aContext.state_.settings_;
  // Object names of this process keep their instance.
  auto instance = settings.instance_;
  settings = aChange.settings_;
  if (!instance.empty()) {
    settings.instance_ = std::move(instance);
  }
  if (const auto shards = aContext.state_.shards_;
      shards != 0 && shards != settings.shards_) {
    Raise(aContext, Counter::LayoutDiffers);
  }
}

// Returns the time that an event carries, or else that of the one before.
absl::Time
TimeOf(const State& aState, const Event& aEvent)
{
  return std::visit(
    [&](const auto& aSpecific) {
      if constexpr (requires { aSpecific.now_; }) {
        return aSpecific.now_;
      } else {
        return aState.wallClock_;
      }
    },
    aEvent);
}

// Lets the time for timeouts go on from where it was if the clock was set back.
void
AdvanceClock(State& aState, absl::Time aWallClock)
{
  if (aWallClock < aState.wallClock_ - kMaxEventDisorder) {
    aState.setBack_ += aState.wallClock_ - aWallClock;
  }
  aState.wallClock_ = aWallClock;
  aState.now_ = std::max(aState.now_, aWallClock + aState.setBack_);
}

} // namespace

void
Send(const Context& aContext, Flight aFlight, platform::Command aCommand)
{
  auto& state = aContext.state_;
  aCommand.id_ = ++state.lastCommand_;
  aFlight.event_ = state.lastEvent_;
  if (const auto shard = state.loaded_.find(aFlight.shard_);
      aFlight.purpose_ != Purpose::ReadLayout &&
      aFlight.purpose_ != Purpose::CreateLayout) {
    ++shard->second->flights_;
  }
  state.flights_.emplace(aCommand.id_, aFlight);
  aContext.effects_.emplace_back(std::move(aCommand));
}

void
Raise(const Context& aContext, Counter aCounter)
{
  aContext.effects_.emplace_back(Count{ aCounter });
}

std::string
NewObjectName(const Context& aContext, absl::string_view aKind)
{
  auto& state = aContext.state_;
  return absl::StrCat(aKind,
                      "-",
                      absl::ToUnixMillis(aContext.wallClock_),
                      "-",
                      state.settings_.instance_,
                      "-",
                      ++state.lastObject_);
}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  std::vector<Effect> effects;
  ++aState.lastEvent_;
  AdvanceClock(aState, TimeOf(aState, aEvent));
  const Context context{ aState, aState.now_, aState.wallClock_, effects };
  std::visit([&](const auto& aSpecific) { Handle(context, aSpecific); },
             aEvent);
  return effects;
}

Usage
UsageOf(const State& aState)
{
  Usage usage;
  for (const auto& [number, shard] : aState.loaded_) {
    ++usage.shards_;
    usage.claims_ += shard->index_.claims_.size();
    usage.indexBytes_ += MemoryOf(shard->index_);
    usage.waiting_ += shard->asks_.size();
    usage.unrecorded_ += shard->reports_.size();
  }
  for (const auto& early : aState.early_) {
    const bool isAsk = std::holds_alternative<ClaimRequest>(early.event_);
    usage.waiting_ += isAsk ? 1 : 0;
    usage.unrecorded_ += isAsk ? 0 : 1;
  }
  return usage;
}

} // namespace lycheeplank::claims
