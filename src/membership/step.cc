#include "membership/internal.h"

#include <algorithm>

namespace lycheeplank::membership {

namespace {

// Life of a note on a target that has left.
constexpr absl::Duration kTargetNoteLife = absl::Hours(24);
constexpr absl::Duration kForgetPeriod = absl::Seconds(10);

bool
IsWithin(absl::Time aThen, absl::Duration aBound, absl::Time aNow)
{
  return aThen != absl::InfinitePast() && aNow - aThen <= aBound;
}

// Tells whether a host that doesn't come back counts no more. A host that sees
// too few others keeps the dead ones, or it would take the few for all.
bool
IsForgotten(const State& aState,
            const Member& aMember,
            bool aHasQuorum,
            absl::Time aNow)
{
  const Status status = aMember.state_.status_;
  const bool out =
    status == Status::Leaving || (status == Status::Dead && aHasQuorum);
  return out && aNow > aMember.since_ + aState.settings_.forgetAfter_;
}

// Forgets hosts that have been dead or gone for long, and old notes.
void
ForgetOld(State& aState, absl::Time aNow)
{
  if (aNow < aState.nextForget_) {
    return;
  }
  aState.nextForget_ = aNow + kForgetPeriod;
  const std::size_t before = aState.members_.size();
  const bool hasQuorum = HasQuorum(aState);
  absl::erase_if(aState.members_, [&](const auto& aEntry) {
    return IsForgotten(aState, aEntry.second, hasQuorum, aNow);
  });
  absl::erase_if(aState.targets_, [&](const auto& aEntry) {
    return aNow > aEntry.second.since_ + kTargetNoteLife;
  });
  aState.fingersStale_ |= aState.members_.size() != before;
}

void
On(State& aState, const Tick&, absl::Time aNow, Effects& aEffects)
{
  const bool paused = aState.lastTick_ != absl::InfinitePast() &&
                      aNow > aState.lastTick_ + aState.settings_.pauseBound_;
  aState.lastTick_ = aNow;
  if (paused) {
    ForgetProbes(aState, aNow);
  }
  ReadListIfDue(aState, aNow, aEffects);
  ProbeIfDue(aState, aNow, aEffects);
  ForgetOld(aState, aNow);
}

void
On(State& aState,
   const ProbeAnswered& aAnswer,
   absl::Time aNow,
   Effects& aEffects)
{
  TakeAnswer(aState, aAnswer, aNow, aEffects);
}

void
On(State& aState,
   const ProbeFailed& aFailure,
   absl::Time aNow,
   Effects& aEffects)
{
  TakeFailure(aState, aFailure.id_, aNow, aEffects);
}

void
On(State& aState,
   const IndirectAnswered& aAnswer,
   absl::Time aNow,
   Effects& aEffects)
{
  TakeIndirectAnswer(aState, aAnswer, aNow, aEffects);
}

void
On(State& aState,
   const ProbeReceived& aProbe,
   absl::Time aNow,
   Effects& aEffects)
{
  TakeMessage(aState, aProbe.message_, aNow, aEffects);
  const bool knowsTooFew =
    aProbe.message_.listRevision_ == 0 && ViewRevision(aState) > 0;
  aEffects.push_back(AnswerProbe{
    aProbe.id_,
    knowsTooFew ? MakeWholeMessage(aState)
                : MakeMessage(aState, aProbe.message_.sender_.name_, aNow) });
}

void
On(State& aState,
   const IndirectAsked& aAsked,
   absl::Time aNow,
   Effects& aEffects)
{
  RelayProbe(aState, aAsked, aNow, aEffects);
}

void
On(State& aState, const HostListRead& aList, absl::Time aNow, Effects& aEffects)
{
  TakeHostList(aState, aList, aNow, aEffects);
}

void
On(State& aState, const PlatformReached&, absl::Time aNow, Effects&)
{
  aState.lastPlatform_ = std::max(aState.lastPlatform_, aNow);
}

void
On(State& aState, const DrainStarted&, absl::Time aNow, Effects&)
{
  BeginDrain(aState, aNow);
}

// Tells all hosts at once when this one becomes overloaded or is relieved.
void
TellLoad(State& aState, absl::Time aNow)
{
  const auto& settings = aState.settings_;
  const std::uint32_t load = aState.self_.loadPermille_;
  const bool overloaded = load >= settings.overloadedPermille_;
  const bool relieved = load < settings.relievedPermille_;
  const bool changed = aState.ownOverloaded_ ? relieved : overloaded;
  if (!changed || aNow < aState.lastLoadNews_ + settings.loadNewsPeriod_) {
    return;
  }
  aState.ownOverloaded_ = overloaded;
  aState.lastLoadNews_ = aNow;
  ++aState.self_.incarnation_;
}

void
On(State& aState, const OwnStateChanged& aChange, absl::Time aNow, Effects&)
{
  aState.self_.loadPermille_ = aChange.loadPermille_;
  TellLoad(aState, aNow);
  if (aChange.configRevision_ > aState.self_.configRevision_) {
    aState.self_.configRevision_ = aChange.configRevision_;
    aState.pushWanted_ = true;
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
  aState.pushWanted_ = true;
}

bool
HasContact(const State& aState, absl::Time aNow)
{
  const absl::Duration bound = aState.settings_.probePeriod_ * 3;
  return IsWithin(aState.lastPeer_, bound, aNow) ||
         IsWithin(aState.lastPlatform_, bound, aNow);
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
Start(const HostState& aSelf,
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
    [&](const auto& aBody) { On(aState, aBody, aEvent.at_, effects); },
    aEvent.body_);
  return effects;
}

bool
MayServe(const State& aState, absl::Time aNow)
{
  const absl::Duration bound = aState.settings_.isolationBound_;
  if (IsWithin(aState.lastPlatform_, bound, aNow)) {
    return true;
  }
  return ViewRevision(aState) > 0 && IsWithin(aState.lastPeer_, bound, aNow) &&
         HasQuorum(aState);
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
  return aState.drainStarted_ + aState.settings_.leaveSpread_ +
         aState.settings_.entriesTtl_;
}

} // namespace lycheeplank::membership
