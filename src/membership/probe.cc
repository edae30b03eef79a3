#include "membership/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace lycheeplank::membership {

namespace {

// Time that a reply may take from the network to the reducer.
constexpr absl::Duration kProbeGrace = absl::Milliseconds(500);
// Random part of the probe period, so that hosts don't synchronise.
constexpr double kPeriodJitter = 0.2;

bool
IsProbed(const Member& aMember)
{
  return aMember.state_.status_ != Status::Dead && !aMember.unreachable_;
}

// A host and its place in the ring, which is ordered by hash.
struct RingEntry
{
  std::uint64_t hash_ = 0;
  std::string name_;
};

// Returns this host and all hosts that are probed, in ring order.
std::vector<RingEntry>
Ring(const State& aState)
{
  std::vector<RingEntry> ring;
  ring.reserve(aState.members_.size() + 1);
  const auto& self = aState.self_.name_;
  ring.push_back({ core::StableHash(self), self });
  for (const auto& [name, member] : aState.members_) {
    if (IsProbed(member)) {
      ring.push_back({ core::StableHash(name), name });
    }
  }
  std::sort(ring.begin(),
            ring.end(),
            [](const RingEntry& aLeft, const RingEntry& aRight) {
              return aLeft.hash_ != aRight.hash_ ? aLeft.hash_ < aRight.hash_
                                                 : aLeft.name_ < aRight.name_;
            });
  return ring;
}

// Sets the fingers to the hosts at the distances 1, 2, 4, ... in the ring, if
// the membership has changed.
void
UpdateFingers(State& aState)
{
  if (!aState.fingersStale_) {
    return;
  }
  aState.fingersStale_ = false;
  aState.fingers_.clear();
  const auto ring = Ring(aState);
  const auto own =
    std::find_if(ring.begin(), ring.end(), [&](const RingEntry& aEntry) {
      return aEntry.name_ == aState.self_.name_;
    });
  const auto position = static_cast<std::size_t>(own - ring.begin());
  for (std::size_t distance = 1; distance < ring.size(); distance *= 2) {
    const auto& place = ring[(position + distance) % ring.size()];
    aState.fingers_.push_back(place.name_);
  }
}

// Returns whether a direct probe of a host is open.
bool
IsProbePending(const State& aState, const std::string& aName)
{
  return std::any_of(
    aState.pending_.begin(), aState.pending_.end(), [&](const auto& aEntry) {
      return aEntry.second.name_ == aName &&
             aEntry.second.kind_ == ProbeKind::Direct;
    });
}

// Sends a probe and returns its id.
std::uint64_t
StartProbe(State& aState, SendProbe aProbe, absl::Time aNow, Effects& aEffects)
{
  const std::uint64_t id = aState.nextId_++;
  auto& pending = aState.pending_[id];
  pending.name_ = aProbe.name_;
  pending.deadline_ = aNow + aState.settings_.probeTimeout_ + kProbeGrace;
  ++aState.counters_.probes_;
  aProbe.id_ = id;
  aProbe.timeout_ = aState.settings_.probeTimeout_;
  aEffects.push_back(std::move(aProbe));
  return id;
}

// Probes a host that is likely to be alive; the probe carries rumours.
void
ProbeWithRumours(State& aState,
                 const std::string& aName,
                 absl::Time aNow,
                 Effects& aEffects)
{
  const auto found = aState.members_.find(aName);
  if (found == aState.members_.end()) {
    return;
  }
  SendProbe probe;
  probe.name_ = aName;
  probe.address_ = found->second.state_.peerAddress_;
  probe.message_ = MakeMessage(aState, aName, aNow);
  StartProbe(aState, std::move(probe), aNow, aEffects);
}

// Probes a host that may not answer, without rumours, unless a probe of it is
// open.
void
ProbeAgain(State& aState,
           const std::string& aName,
           absl::Time aNow,
           Effects& aEffects)
{
  const auto found = aState.members_.find(aName);
  if (found == aState.members_.end() || IsProbePending(aState, aName)) {
    return;
  }
  SendProbe probe;
  probe.name_ = aName;
  probe.address_ = found->second.state_.peerAddress_;
  probe.message_ = MakeShortMessage(aState, aName);
  StartProbe(aState, std::move(probe), aNow, aEffects);
}

// Handles a host that neither this host nor its helpers could reach. A host
// without any contact suspects no other.
void
HandleUnreachedHost(State& aState,
                    const std::string& aName,
                    absl::Time aNow,
                    Effects& aEffects)
{
  const auto found = aState.members_.find(aName);
  if (found == aState.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (member.state_.status_ == Status::Leaving) {
    member.unreachable_ = true;
    aState.fingersStale_ = true;
    return;
  }
  if (member.state_.status_ == Status::Alive && HasContact(aState, aNow)) {
    SetStatus(aState, member, Status::Suspect, aNow, aEffects);
    StartRumour(aState, aName);
  }
}

// Returns the live hosts that should probe a suspect for this host.
std::vector<std::string>
PickHelpers(const State& aState, const std::string& aSuspect, std::uint64_t aId)
{
  std::vector<std::string> names;
  for (const auto& [name, member] : aState.members_) {
    if (name != aSuspect && member.state_.status_ == Status::Alive) {
      names.push_back(name);
    }
  }
  return core::RendezvousPick(absl::StrCat(aState.self_.name_, "/", aId),
                              names,
                              aState.settings_.indirectProbes_);
}

// Requests indirect probes of a host that didn't answer. Returns false if none
// can be requested.
bool
RequestIndirectProbes(State& aState,
                      std::uint64_t aId,
                      PendingProbe& aPending,
                      absl::Time aNow,
                      Effects& aEffects)
{
  const auto suspect = aState.members_.find(aPending.name_);
  if (suspect == aState.members_.end() ||
      suspect->second.state_.status_ != Status::Alive) {
    return false;
  }
  const auto helpers = PickHelpers(aState, aPending.name_, aId);
  for (const auto& helper : helpers) {
    aEffects.push_back(
      RequestIndirectProbe{ aId,
                            aState.members_.at(helper).state_.peerAddress_,
                            aPending.name_,
                            suspect->second.state_.peerAddress_,
                            aState.settings_.indirectTimeout_ });
  }
  aState.counters_.indirectProbes_ += helpers.size();
  aPending.indirectLeft_ = static_cast<std::uint32_t>(helpers.size());
  aPending.deadline_ = aNow + aState.settings_.indirectTimeout_ + kProbeGrace;
  return !helpers.empty();
}

absl::Duration
JitteredPeriod(const State& aState)
{
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step =
    core::StableHash(aState.self_.name_, aState.nextId_) % kSteps;
  const double part = double(step) / double(kSteps) - 0.5;
  return aState.settings_.probePeriod_ * (1.0 + kPeriodJitter * part);
}

void
ProbeNextFinger(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (aNow < aState.nextProbe_) {
    return;
  }
  aState.nextProbe_ = aNow + JitteredPeriod(aState);
  UpdateFingers(aState);
  if (aState.fingers_.empty()) {
    return;
  }
  aState.nextFinger_ = (aState.nextFinger_ + 1) % aState.fingers_.size();
  const std::string name = aState.fingers_[aState.nextFinger_];
  if (!IsProbePending(aState, name)) {
    ProbeWithRumours(aState, name, aNow, aEffects);
  }
}

// Probes the seeds in turn as long as this host doesn't know all hosts.
void
ProbeNextSeed(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (aState.seeds_.empty() || ViewRevision(aState) > 0 ||
      aNow < aState.nextSeedProbe_) {
    return;
  }
  aState.nextSeedProbe_ = aNow + aState.settings_.probePeriod_;
  SendProbe probe;
  probe.address_ = aState.seeds_[aState.nextSeed_++ % aState.seeds_.size()];
  probe.message_ = MakeShortMessage(aState, "");
  StartProbe(aState, std::move(probe), aNow, aEffects);
}

// Probes the dead hosts in turn, to detect their return.
void
ProbeDead(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (aNow < aState.nextReconnect_) {
    return;
  }
  aState.nextReconnect_ = aNow + aState.settings_.reconnectPeriod_;
  const auto& members = aState.members_;
  auto at = members.upper_bound(aState.lastReconnect_);
  for (std::size_t i = 0; i < members.size(); ++i, ++at) {
    if (at == members.end()) {
      at = members.begin();
    }
    if (at->second.state_.status_ == Status::Dead) {
      aState.lastReconnect_ = at->first;
      ProbeAgain(aState, at->first, aNow, aEffects);
      return;
    }
  }
}

bool
IsRecheckDue(const State& aState,
             const std::string& aName,
             const Member& aMember,
             absl::Time aNow)
{
  if (aNow < aMember.nextRecheck_) {
    return false;
  }
  const auto& fingers = aState.fingers_;
  const bool last =
    aNow > aMember.suspectUntil_ - aState.settings_.finalRecheckWindow_;
  return last || std::count(fingers.begin(), fingers.end(), aName) > 0;
}

// Probes suspects again, and declares those dead that did not refute the
// suspicion in time.
void
CheckSuspects(State& aState, absl::Time aNow, Effects& aEffects)
{
  const std::vector<std::string> names(aState.suspects_.begin(),
                                       aState.suspects_.end());
  std::uint32_t rechecks = 0;
  for (const auto& name : names) {
    auto& member = aState.members_.at(name);
    if (aNow >= member.suspectUntil_) {
      SetStatus(aState, member, Status::Dead, aNow, aEffects);
      continue;
    }
    if (rechecks < aState.settings_.maxRechecks_ &&
        IsRecheckDue(aState, name, member, aNow)) {
      ++rechecks;
      member.nextRecheck_ = aNow + aState.settings_.recheckPeriod_;
      ProbeAgain(aState, name, aNow, aEffects);
    }
  }
}

// Probes all fingers at once if an urgent rumour is pending.
void
PushIfPending(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (!aState.pushPending_ || aNow < aState.nextPush_) {
    return;
  }
  aState.pushPending_ = false;
  aState.nextPush_ = aNow + aState.settings_.pushPeriod_;
  UpdateFingers(aState);
  const auto fingers = aState.fingers_;
  for (const auto& name : fingers) {
    ProbeWithRumours(aState, name, aNow, aEffects);
  }
}

// Fails all probes whose deadline has passed.
void
FailOverdueProbes(State& aState, absl::Time aNow, Effects& aEffects)
{
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, pending] : aState.pending_) {
    if (aNow >= pending.deadline_) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    HandleProbeFailure(aState, id, aNow, aEffects);
  }
}

} // namespace

void
HandleProbeAnswer(State& aState,
                  const ProbeAnswered& aAnswer,
                  absl::Time aNow,
                  Effects& aEffects)
{
  // All probes sent so far carried list revision zero, so this answer contains
  // all hosts.
  if (ViewRevision(aState) == 0 && aAnswer.message_.listRevision_ > 0) {
    aState.peerListRevision_ = aAnswer.message_.listRevision_;
    AddDeadHosts(aState, aAnswer.message_, aNow);
    aEffects.push_back(Log{ absl::StrCat("event=hosts_heard from=",
                                         aAnswer.message_.sender_.name_,
                                         " list_revision=",
                                         aState.peerListRevision_) });
  }
  ApplyMessage(aState, aAnswer.message_, aNow, aEffects);
  const auto found = aState.pending_.find(aAnswer.id_);
  if (found == aState.pending_.end()) {
    return;
  }
  if (found->second.kind_ == ProbeKind::Relayed) {
    aEffects.push_back(AnswerIndirectProbe{ found->second.relayFor_, true });
  }
  aState.pending_.erase(found);
}

void
HandleProbeFailure(State& aState,
                   std::uint64_t aId,
                   absl::Time aNow,
                   Effects& aEffects)
{
  const auto found = aState.pending_.find(aId);
  if (found == aState.pending_.end()) {
    return;
  }
  ++aState.counters_.failedProbes_;
  auto& pending = found->second;
  if (pending.kind_ == ProbeKind::Relayed) {
    aEffects.push_back(AnswerIndirectProbe{ pending.relayFor_, false });
    aState.pending_.erase(found);
    return;
  }
  aState.nextProbe_ =
    std::min(aState.nextProbe_, aNow + aState.settings_.quickProbePeriod_);
  const bool first = pending.indirectLeft_ == 0;
  if (first && RequestIndirectProbes(aState, aId, pending, aNow, aEffects)) {
    return;
  }
  const std::string name = pending.name_;
  aState.pending_.erase(found);
  HandleUnreachedHost(aState, name, aNow, aEffects);
}

void
HandleIndirectAnswer(State& aState,
                     const IndirectProbeAnswered& aAnswer,
                     absl::Time aNow,
                     Effects& aEffects)
{
  const auto found = aState.pending_.find(aAnswer.id_);
  if (found == aState.pending_.end() || found->second.indirectLeft_ == 0) {
    return;
  }
  if (aAnswer.reached_) {
    aState.lastPeerContact_ = std::max(aState.lastPeerContact_, aNow);
    aState.pending_.erase(found);
    return;
  }
  if (--found->second.indirectLeft_ > 0) {
    return;
  }
  const std::string name = found->second.name_;
  aState.pending_.erase(found);
  HandleUnreachedHost(aState, name, aNow, aEffects);
}

void
RelayProbe(State& aState,
           const IndirectProbeRequested& aRequest,
           absl::Time aNow,
           Effects& aEffects)
{
  SendProbe probe;
  probe.name_ = aRequest.suspect_;
  probe.address_ = aRequest.address_;
  probe.message_ = MakeShortMessage(aState, aRequest.suspect_);
  const std::uint64_t id = StartProbe(aState, std::move(probe), aNow, aEffects);
  auto& pending = aState.pending_.at(id);
  pending.kind_ = ProbeKind::Relayed;
  pending.relayFor_ = aRequest.id_;
}

void
ProbeIfDue(State& aState, absl::Time aNow, Effects& aEffects)
{
  FailOverdueProbes(aState, aNow, aEffects);
  ProbeNextFinger(aState, aNow, aEffects);
  ProbeNextSeed(aState, aNow, aEffects);
  ProbeDead(aState, aNow, aEffects);
  CheckSuspects(aState, aNow, aEffects);
  PushIfPending(aState, aNow, aEffects);
}

void
DropPendingProbes(State& aState, absl::Time aNow)
{
  aState.pending_.clear();
  for (const auto& name : aState.suspects_) {
    aState.members_.at(name).suspectUntil_ =
      aNow + aState.settings_.suspicionTimeout_;
  }
}

} // namespace lycheeplank::membership
