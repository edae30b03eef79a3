#include "membership/internal.h"

#include <algorithm>

namespace lycheeplank::membership {

namespace {

// The state of a listed target is kept for this time after its last change.
constexpr absl::Duration kListedTargetLifetime = absl::Hours(24);
constexpr absl::Duration kForgetPeriod = absl::Seconds(10);

bool
IsWithin(absl::Time aThen, absl::Duration aBound, absl::Time aNow)
{
  return aThen != absl::InfinitePast() && aNow - aThen <= aBound;
}

// Returns whether a host that has been dead or leaving for long is to be
// forgotten. Without a quorum this host keeps the dead ones, since otherwise
// the few live hosts would count as all hosts.
bool
ShouldForget(const State& aState,
             const Member& aMember,
             bool aHasQuorum,
             absl::Time aNow)
{
  const Status status = aMember.state_.status_;
  const bool out =
    status == Status::Leaving || (status == Status::Dead && aHasQuorum);
  return out && aNow > aMember.changedAt_ + aState.settings_.forgetAfter_;
}

// Forgets hosts that have been dead or leaving for long, and old states of
// listed targets.
void
ForgetOldEntries(State& aState, absl::Time aNow)
{
  if (aNow < aState.nextForget_) {
    return;
  }
  aState.nextForget_ = aNow + kForgetPeriod;
  const std::size_t before = aState.members_.size();
  const bool hasQuorum = HasQuorum(aState);
  absl::erase_if(aState.members_, [&](const auto& aEntry) {
    return ShouldForget(aState, aEntry.second, hasQuorum, aNow);
  });
  absl::erase_if(aState.targets_, [&](const auto& aEntry) {
    return aNow > aEntry.second.changedAt_ + kListedTargetLifetime;
  });
  aState.fingersStale_ |= aState.members_.size() != before;
}

void
Handle(State& aState, const Tick&, absl::Time aNow, Effects& aEffects)
{
  const bool paused =
    aState.lastTick_ != absl::InfinitePast() &&
    aNow > aState.lastTick_ + aState.settings_.pauseThreshold_;
  aState.lastTick_ = aNow;
  if (paused) {
    DropPendingProbes(aState, aNow);
  }
  ReadListIfDue(aState, aNow, aEffects);
  ProbeIfDue(aState, aNow, aEffects);
  ForgetOldEntries(aState, aNow);
}

void
Handle(State& aState,
       const ProbeAnswered& aAnswer,
       absl::Time aNow,
       Effects& aEffects)
{
  HandleProbeAnswer(aState, aAnswer, aNow, aEffects);
}

void
Handle(State& aState,
       const ProbeFailed& aFailure,
       absl::Time aNow,
       Effects& aEffects)
{
  HandleProbeFailure(aState, aFailure.id_, aNow, aEffects);
}

void
Handle(State& aState,
       const IndirectProbeAnswered& aAnswer,
       absl::Time aNow,
       Effects& aEffects)
{
  HandleIndirectAnswer(aState, aAnswer, aNow, aEffects);
}

void
Handle(State& aState,
       const ProbeReceived& aProbe,
       absl::Time aNow,
       Effects& aEffects)
{
  ApplyMessage(aState, aProbe.message_, aNow, aEffects);
  const bool hasPartialView =
    aProbe.message_.listRevision_ == 0 && ViewRevision(aState) > 0;
  aEffects.push_back(AnswerProbe{
    aProbe.id_,
    hasPartialView
      ? MakeFullMessage(aState)
      : MakeMessage(aState, aProbe.message_.sender_.name_, aNow) });
}

void
Handle(State& aState,
       const IndirectProbeRequested& aRequest,
       absl::Time aNow,
       Effects& aEffects)
{
  RelayProbe(aState, aRequest, aNow, aEffects);
}

void
Handle(State& aState,
       const HostListRead& aList,
       absl::Time aNow,
       Effects& aEffects)
{
  ApplyHostList(aState, aList, aNow, aEffects);
}

void
Handle(State& aState, const PlatformReached&, absl::Time aNow, Effects&)
{
  aState.lastPlatformContact_ = std::max(aState.lastPlatformContact_, aNow);
}

void
Handle(State& aState, const DrainStarted&, absl::Time aNow, Effects&)
{
  BeginDrain(aState, aNow);
}

// Raises the incarnation when this host becomes overloaded or is relieved, so
// that the change spreads as a rumour.
void
UpdateOwnOverload(State& aState, absl::Time aNow)
{
  const auto& settings = aState.settings_;
  const std::uint32_t load = aState.self_.loadPermille_;
  const bool overloaded = load >= settings.overloadedPermille_;
  const bool relieved = load < settings.relievedPermille_;
  const bool changed = aState.selfOverloaded_ ? relieved : overloaded;
  if (!changed || aNow < aState.lastLoadUpdate_ + settings.loadUpdatePeriod_) {
    return;
  }
  aState.selfOverloaded_ = overloaded;
  aState.lastLoadUpdate_ = aNow;
  ++aState.self_.incarnation_;
}

void
Handle(State& aState, const OwnStateChanged& aChange, absl::Time aNow, Effects&)
{
  aState.self_.loadPermille_ = aChange.loadPermille_;
  UpdateOwnOverload(aState, aNow);
  if (aChange.configRevision_ > aState.self_.configRevision_) {
    aState.self_.configRevision_ = aChange.configRevision_;
    aState.pushPending_ = true;
  }
}

} // namespace

void
BeginDrain(State& aState, absl::Time aNow)
{
  if (aState.self_.status_ == Status::Leaving) {
    return;
  }
  aState.self_.status_ = Status::Leaving;
  ++aState.self_.incarnation_;
  aState.drainStarted_ = aNow;
  aState.pushPending_ = true;
}

bool
HasContact(const State& aState, absl::Time aNow)
{
  const absl::Duration bound = aState.settings_.probePeriod_ * 3;
  return IsWithin(aState.lastPeerContact_, bound, aNow) ||
         IsWithin(aState.lastPlatformContact_, bound, aNow);
}

bool
HasQuorum(const State& aState)
{
  std::size_t known = 1;
  std::size_t seen = 1;
  for (const auto& [name, member] : aState.members_) {
    const Status status = member.state_.status_;
    known += status == Status::Leaving ? 0 : 1;
    seen += status == Status::Alive ? 1 : 0;
  }
  return double(seen) > aState.settings_.minPeerShare_ * double(known);
}

State
MakeInitialState(const HostState& aSelf,
                 const Settings& aSettings,
                 absl::Time aNow,
                 const std::vector<std::string>& aSeeds)
{
  State state;
  state.settings_ = aSettings;
  state.self_ = aSelf;
  state.self_.status_ = Status::Alive;
  state.lastReconnect_ = aSelf.name_;
  state.self_.incarnation_ =
    static_cast<std::uint64_t>(absl::ToUnixMillis(aNow));
  for (const auto& seed : aSeeds) {
    if (seed != aSelf.peerAddress_) {
      state.seeds_.push_back(seed);
    }
  }
  return state;
}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  Effects effects;
  absl::visit(
    [&](const auto& aBody) { Handle(aState, aBody, aEvent.at_, effects); },
    aEvent.body_);
  return effects;
}

bool
MayServe(const State& aState, absl::Time aNow)
{
  const absl::Duration bound = aState.settings_.isolationTimeout_;
  if (IsWithin(aState.lastPlatformContact_, bound, aNow)) {
    return true;
  }
  return ViewRevision(aState) > 0 &&
         IsWithin(aState.lastPeerContact_, bound, aNow) && HasQuorum(aState);
}

bool
IsTargetLeaving(const State& aState, absl::string_view aName)
{
  const auto found = aState.targets_.find(aName);
  return found != aState.targets_.end() && found->second.leaving_;
}

absl::Time
DrainedAfter(const State& aState)
{
  return aState.drainStarted_ + aState.settings_.leaveSpreadTime_ +
         aState.settings_.entriesTtl_;
}

} // namespace lycheeplank::membership
