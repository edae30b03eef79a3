#include "lycheeplank/claims.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "claims/events.h"

namespace lycheeplank::claims {

namespace {

// Events from several threads may be out of order by less than this; a larger
// step back means that the clock was set back.
constexpr absl::Duration kMaxEventDisorder = absl::Seconds(1);
// Time for which a refused attempt is kept, so that a duplicate of its claim
// request is not granted.
constexpr absl::Duration kRefusedRetention = absl::Minutes(10);
constexpr absl::Duration kPurgeInterval = absl::Minutes(1);

void
OnShardReply(const Context& aContext,
             Shard& aShard,
             const PendingCommand& aPending,
             const platform::Reply& aReply)
{
  switch (aPending.purpose_) {
    case CommandPurpose::ReadTail:
      return OnTailRead(aContext, aShard, aPending, aReply);
    case CommandPurpose::WriteTail:
      return OnTailWritten(aContext, aShard, aPending, aReply);
    case CommandPurpose::LoadSegment:
      return OnSegmentLoaded(aContext, aShard, aReply);
    case CommandPurpose::ReadMergeSource:
      return OnMergeSourceRead(aContext, aShard, aPending, aReply);
    case CommandPurpose::WriteSegment:
      return OnSegmentWritten(aContext, aShard, aPending, aReply);
    case CommandPurpose::WriteAnswer:
      return OnAnswerStored(aContext, aShard, aPending, aReply);
    case CommandPurpose::ReadAnswerSegment:
      return OnAnswerSegmentRead(aContext, aShard, aPending, aReply);
    case CommandPurpose::ReadAnswerObject:
      return OnAnswerObjectRead(aContext, aShard, aPending, aReply);
    case CommandPurpose::List:
      return OnListed(aContext, aShard, aReply);
    case CommandPurpose::ReadLayout:
    case CommandPurpose::CreateLayout:
    case CommandPurpose::Delete:
      // A failed deletion is repeated by the next sweep.
      return;
  }
}

void
Handle(const Context& aContext, const ClaimRequest& aRequest)
{
  OnClaimRequest(aContext, aRequest);
}

void
Handle(const Context& aContext, const OutcomeReport& aReport)
{
  OnOutcomeReport(aContext, aReport);
}

void
Handle(const Context& aContext, const Heartbeat& aHeartbeat)
{
  OnHeartbeat(aContext, aHeartbeat);
}

void
Handle(const Context& aContext, const PlatformReplied& aReplied)
{
  auto& state = aContext.state_;
  const auto found = state.pendingCommands_.find(aReplied.reply_.id_);
  if (found == state.pendingCommands_.end()) {
    return;
  }
  const PendingCommand pending = found->second;
  state.pendingCommands_.erase(found);
  if (pending.purpose_ == CommandPurpose::ReadLayout ||
      pending.purpose_ == CommandPurpose::CreateLayout) {
    return OnLayoutReply(aContext, pending.purpose_, aReplied.reply_);
  }
  auto& shard = *state.loadedShards_.at(pending.shard_);
  --shard.commandsInFlight_;
  OnShardReply(aContext, shard, pending, aReplied.reply_);
}

void
PurgeRefused(const Context& aContext, Shard& aShard)
{
  if (aContext.now_ < aShard.nextPurgeAt_) {
    return;
  }
  aShard.nextPurgeAt_ = aContext.now_ + kPurgeInterval;
  absl::erase_if(aShard.refusedAttempts_, [&](const auto& aEntry) {
    return aContext.now_ - aEntry.second >= kRefusedRetention;
  });
}

bool
IsIdle(const Context& aContext, const Shard& aShard)
{
  return aShard.requests_.empty() && aShard.reports_.empty() &&
         aShard.commandsInFlight_ == 0 &&
         aContext.now_ - aShard.lastUsed_ >=
           aContext.state_.settings_.idleTimeout_;
}

void
Handle(const Context& aContext, const Tick& /*aTick*/)
{
  ReadLayout(aContext);
  ExpireDeferred(aContext);
  for (auto& [number, shard] : aContext.state_.loadedShards_) {
    Advance(aContext, *shard);
    ExpirePending(aContext, *shard);
    Maintain(aContext, *shard);
    PurgeRefused(aContext, *shard);
  }
  auto& loaded = aContext.state_.loadedShards_;
  for (auto at = loaded.begin(); at != loaded.end();) {
    at = IsIdle(aContext, *at->second) ? loaded.erase(at) : std::next(at);
  }
}

void
Handle(const Context& aContext, const SettingsChanged& aChange)
{
  auto& settings = aContext.state_.settings_;
  // The instance is part of object names and does not change within a process.
  auto instance = settings.instance_;
  settings = aChange.settings_;
  if (!instance.empty()) {
    settings.instance_ = std::move(instance);
  }
  if (const auto shards = aContext.state_.shards_;
      shards != 0 && shards != settings.shards_) {
    IncrementCounter(aContext, Counter::LayoutDiffers);
  }
}

// Returns the time of an event or, if it has none, of the previous event.
absl::Time
EventTime(const State& aState, const Event& aEvent)
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

// Advances the monotonic time, which continues from its last value if the clock
// was set back.
void
AdvanceClock(State& aState, absl::Time aWallClock)
{
  if (aWallClock < aState.wallClock_ - kMaxEventDisorder) {
    aState.clockSetBack_ += aState.wallClock_ - aWallClock;
  }
  aState.wallClock_ = aWallClock;
  aState.now_ = std::max(aState.now_, aWallClock + aState.clockSetBack_);
}

} // namespace

void
Send(const Context& aContext,
     PendingCommand aPending,
     platform::Command aCommand)
{
  auto& state = aContext.state_;
  aCommand.id_ = ++state.lastCommandId_;
  aPending.eventNumber_ = state.lastEventNumber_;
  if (const auto shard = state.loadedShards_.find(aPending.shard_);
      aPending.purpose_ != CommandPurpose::ReadLayout &&
      aPending.purpose_ != CommandPurpose::CreateLayout) {
    ++shard->second->commandsInFlight_;
  }
  state.pendingCommands_.emplace(aCommand.id_, aPending);
  aContext.effects_.emplace_back(std::move(aCommand));
}

void
IncrementCounter(const Context& aContext, Counter aCounter)
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
                      ++state.lastObjectNumber_);
}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  std::vector<Effect> effects;
  ++aState.lastEventNumber_;
  AdvanceClock(aState, EventTime(aState, aEvent));
  const Context context{ aState, aState.now_, aState.wallClock_, effects };
  std::visit([&](const auto& aSpecific) { Handle(context, aSpecific); },
             aEvent);
  return effects;
}

Usage
UsageOf(const State& aState)
{
  Usage usage;
  for (const auto& [number, shard] : aState.loadedShards_) {
    ++usage.shards_;
    usage.claims_ += shard->index_.claims_.size();
    usage.indexBytes_ += MemoryBytes(shard->index_);
    usage.pendingRequests_ += shard->requests_.size();
    usage.unrecorded_ += shard->reports_.size();
  }
  for (const auto& deferred : aState.deferred_) {
    const bool isClaimRequest =
      std::holds_alternative<ClaimRequest>(deferred.event_);
    usage.pendingRequests_ += isClaimRequest ? 1 : 0;
    usage.unrecorded_ += isClaimRequest ? 0 : 1;
  }
  return usage;
}

} // namespace lycheeplank::claims
