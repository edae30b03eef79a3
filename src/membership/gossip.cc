#include "membership/internal.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace lycheeplank::membership {

namespace {

// Returns how many times a rumour is sent.
std::uint32_t
RumourLimit(const State& aState)
{
  const double hosts = double(aState.members_.size() + 1);
  const double rounds = std::ceil(std::log2(hosts + 1.0));
  return aState.settings_.rumourFactor_ * static_cast<std::uint32_t>(rounds);
}

// Returns the known state of a host, or of a target of the platform's list.
absl::optional<HostState>
StateOf(const State& aState, const std::string& aName)
{
  if (const auto found = aState.members_.find(aName);
      found != aState.members_.end()) {
    return found->second.state_;
  }
  const auto found = aState.targets_.find(aName);
  if (found == aState.targets_.end()) {
    return absl::nullopt;
  }
  HostState state;
  state.name_ = aName;
  state.status_ = found->second.leaving_ ? Status::Leaving : Status::Alive;
  state.incarnation_ = found->second.listRevision_;
  return state;
}

// Returns a state without its addresses if all hosts are likely to know them.
HostState
WithoutKnownAddresses(const State& aState,
                      const HostState& aFull,
                      absl::Time aNow)
{
  const auto found = aState.members_.find(aFull.name_);
  if (found == aState.members_.end() || aFull.status_ == Status::Leaving ||
      aNow < found->second.addressesKnownSince_ +
               aState.settings_.addressRumourTime_) {
    return aFull;
  }
  HostState state = aFull;
  state.peerAddress_.clear();
  state.httpAddress_.clear();
  state.dataCentre_.clear();
  return state;
}

void
StopRumour(State& aState, const std::string& aName)
{
  const auto found = aState.rumourKeys_.find(aName);
  if (found != aState.rumourKeys_.end()) {
    aState.rumours_.erase(found->second);
    aState.rumourKeys_.erase(found);
  }
}

void
StoreRumour(State& aState, const RumourKey& aKey)
{
  StopRumour(aState, aKey.name_);
  aState.rumourKeys_[aKey.name_] = aKey;
  aState.rumours_.insert(aKey);
}

// Returns the rumours to send to a host next.
std::vector<RumourKey>
PickRumours(const State& aState, absl::string_view aTo)
{
  std::vector<RumourKey> picked;
  for (const auto& key : aState.rumours_) {
    if (picked.size() >= aState.settings_.maxRumours_) {
      break;
    }
    if (key.name_ != aTo) {
      picked.push_back(key);
    }
  }
  return picked;
}

// Adds rumours to a message, and stops those that were sent often enough.
void
AddRumours(State& aState,
           absl::string_view aTo,
           absl::Time aNow,
           Message& aMessage)
{
  const std::uint32_t limit = RumourLimit(aState);
  for (auto key : PickRumours(aState, aTo)) {
    StopRumour(aState, key.name_);
    const auto state = StateOf(aState, key.name_);
    if (!state) {
      continue;
    }
    aMessage.updates_.push_back(WithoutKnownAddresses(aState, *state, aNow));
    if (++key.timesSent_ < limit) {
      StoreRumour(aState, key);
    }
  }
}

// Adds known states in turn, so that the content of lost messages still
// arrives.
void
AddRepeated(State& aState, Message& aMessage)
{
  const auto& members = aState.members_;
  const std::size_t count =
    std::min<std::size_t>(aState.settings_.repeatedStates_, members.size());
  auto at = members.upper_bound(aState.repeatAfter_);
  for (std::size_t i = 0; i < count; ++i) {
    if (at == members.end()) {
      at = members.begin();
    }
    aMessage.updates_.push_back(at->second.state_);
    aState.repeatAfter_ = at->first;
    ++at;
  }
}

// Returns whether a state is newer than the known one.
bool
IsNewer(const HostState& aUpdate, const HostState& aKnown)
{
  if (aUpdate.incarnation_ != aKnown.incarnation_) {
    return aUpdate.incarnation_ > aKnown.incarnation_;
  }
  return aUpdate.status_ > aKnown.status_;
}

void
UpdateOverload(const Settings& aSettings, Member& aMember)
{
  const std::uint32_t load = aMember.state_.loadPermille_;
  if (load >= aSettings.overloadedPermille_) {
    aMember.overloaded_ = true;
  } else if (load < aSettings.relievedPermille_) {
    aMember.overloaded_ = false;
  }
}

// Reacts to the status of this host in another host's view: refutes a suspicion
// or death, and drains if the status is leaving.
void
HandleOwnState(State& aState,
               const HostState& aUpdate,
               absl::Time aNow,
               Effects& aEffects)
{
  auto& self = aState.self_;
  if (aUpdate.incarnation_ < self.incarnation_ ||
      aUpdate.status_ == Status::Alive || aUpdate.status_ == self.status_) {
    return;
  }
  if (aUpdate.status_ == Status::Leaving) {
    aEffects.push_back(DrainRequired{});
    BeginDrain(aState, aNow);
    return;
  }
  self.incarnation_ = aUpdate.incarnation_ + 1;
  ++aState.counters_.refutations_;
  aEffects.push_back(Log{ absl::StrCat("event=refuted status=",
                                       core::NameOf(kStatuses, aUpdate.status_),
                                       " incarnation=",
                                       self.incarnation_) });
}

// Adds a host that was not known before; ignores it if it is dead.
void
AddMember(State& aState,
          const HostState& aUpdate,
          absl::Time aNow,
          Effects& aEffects)
{
  if (aUpdate.status_ == Status::Dead) {
    return;
  }
  auto& member = aState.members_[aUpdate.name_];
  member.state_ = aUpdate;
  member.state_.status_ = Status::Alive;
  member.changedAt_ = aNow;
  member.addressesKnownSince_ = aNow;
  UpdateOverload(aState.settings_, member);
  aState.fingersStale_ = true;
  if (aUpdate.status_ != Status::Alive) {
    SetStatus(aState, member, aUpdate.status_, aNow, aEffects);
  }
  StartRumour(aState, aUpdate.name_);
  aEffects.push_back(
    Log{ absl::StrCat("event=host_found host=", aUpdate.name_) });
}

// Adds an effect if a host has a newer configuration than this one.
void
ReportNewerConfig(State& aState, const HostState& aUpdate, Effects& aEffects)
{
  if (aUpdate.configRevision_ > aState.self_.configRevision_) {
    aEffects.push_back(
      NewerConfigFound{ aUpdate.configRevision_, aUpdate.peerAddress_ });
  }
}

// Copies the known addresses into a state that was sent without them.
HostState
WithAddresses(const HostState& aUpdate, const HostState& aKnown)
{
  HostState state = aUpdate;
  if (state.peerAddress_.empty()) {
    state.peerAddress_ = aKnown.peerAddress_;
    state.httpAddress_ = aKnown.httpAddress_;
    state.dataCentre_ = aKnown.dataCentre_;
  }
  return state;
}

// Applies a newer state of a known host. Spreads it as a rumour if it changes
// which hosts are used.
void
ReplaceState(State& aState,
             Member& aMember,
             const HostState& aUpdate,
             absl::Time aNow,
             Effects& aEffects)
{
  const HostState before = aMember.state_;
  const bool overloaded = aMember.overloaded_;
  aMember.state_ = aUpdate;
  aMember.state_.status_ = before.status_;
  aMember.unreachable_ = false;
  UpdateOverload(aState.settings_, aMember);
  if (before.peerAddress_ != aUpdate.peerAddress_) {
    aMember.addressesKnownSince_ = aNow;
    StartRumour(aState, aUpdate.name_);
  }
  if (overloaded != aMember.overloaded_) {
    StartRumour(aState, aUpdate.name_);
  }
  if (before.status_ == Status::Dead && aUpdate.status_ == Status::Alive) {
    aState.nextReconnect_ = std::min(
      aState.nextReconnect_, aNow + aState.settings_.quickReconnectPeriod_);
  }
  if (before.status_ != aUpdate.status_) {
    SetStatus(aState, aMember, aUpdate.status_, aNow, aEffects);
    StartRumour(aState, aUpdate.name_);
  }
}

// Applies the state of a known host from a message.
void
ApplyMemberState(State& aState,
                 Member& aMember,
                 const HostState& aUpdate,
                 Source aSource,
                 absl::Time aNow,
                 Effects& aEffects)
{
  auto& known = aMember.state_;
  if (IsNewer(aUpdate, known)) {
    ReplaceState(aState, aMember, aUpdate, aNow, aEffects);
    return;
  }
  known.configRevision_ =
    std::max(known.configRevision_, aUpdate.configRevision_);
  if (aUpdate.incarnation_ < known.incarnation_) {
    if (aUpdate.status_ != Status::Alive) {
      // The sender missed the refutation.
      StartRumour(aState, known.name_);
    }
    return;
  }
  if (aSource == Source::Direct) {
    known.loadPermille_ = aUpdate.loadPermille_;
    UpdateOverload(aState.settings_, aMember);
  }
}

} // namespace

void
StartRumour(State& aState, const std::string& aName)
{
  const auto state = StateOf(aState, aName);
  if (state) {
    const bool isHost = aState.members_.count(aName) > 0;
    const bool urgent = !isHost || state->status_ == Status::Leaving;
    StoreRumour(aState, { urgent, 0, aName });
  }
}

void
StopRumours(State& aState)
{
  aState.rumours_.clear();
  aState.rumourKeys_.clear();
}

Message
MakeShortMessage(const State& aState, absl::string_view aTo)
{
  Message message;
  message.sender_ = aState.self_;
  message.listRevision_ = ViewRevision(aState);
  const auto found = aState.members_.find(aTo);
  if (found != aState.members_.end() &&
      found->second.state_.status_ != Status::Alive) {
    message.updates_.push_back(found->second.state_);
  }
  return message;
}

Message
MakeMessage(State& aState, absl::string_view aTo, absl::Time aNow)
{
  Message message = MakeShortMessage(aState, aTo);
  AddRumours(aState, aTo, aNow, message);
  AddRepeated(aState, message);
  return message;
}

std::uint64_t
ViewRevision(const State& aState)
{
  return std::max(aState.listRevision_, aState.peerListRevision_);
}

Message
MakeFullMessage(const State& aState)
{
  Message message;
  message.sender_ = aState.self_;
  message.listRevision_ = ViewRevision(aState);
  for (const auto& [name, member] : aState.members_) {
    message.updates_.push_back(member.state_);
  }
  for (const auto& [name, note] : aState.targets_) {
    message.updates_.push_back(*StateOf(aState, name));
  }
  return message;
}

void
AddDeadHosts(State& aState, const Message& aMessage, absl::Time aNow)
{
  for (const auto& update : aMessage.updates_) {
    if (update.status_ != Status::Dead || update.peerAddress_.empty() ||
        update.name_ == aState.self_.name_ ||
        aState.members_.count(update.name_) > 0) {
      continue;
    }
    auto& member = aState.members_[update.name_];
    member.state_ = update;
    member.changedAt_ = aNow;
    member.addressesKnownSince_ = aNow;
  }
}

void
ApplyMessage(State& aState,
             const Message& aMessage,
             absl::Time aNow,
             Effects& aEffects)
{
  if (aMessage.sender_.name_ == aState.self_.name_) {
    // One of the seeds is this host's own address; that is no contact with a
    // peer.
    return;
  }
  aState.lastPeerContact_ = std::max(aState.lastPeerContact_, aNow);
  ApplyHostState(aState, aMessage.sender_, Source::Direct, aNow, aEffects);
  for (const auto& update : aMessage.updates_) {
    ApplyHostState(aState, update, Source::Gossip, aNow, aEffects);
  }
}

void
ApplyHostState(State& aState,
               const HostState& aUpdate,
               Source aSource,
               absl::Time aNow,
               Effects& aEffects)
{
  if (aUpdate.name_ == aState.self_.name_) {
    HandleOwnState(aState, aUpdate, aNow, aEffects);
    return;
  }
  const auto found = aState.members_.find(aUpdate.name_);
  if (found != aState.members_.end()) {
    const auto update = WithAddresses(aUpdate, found->second.state_);
    ReportNewerConfig(aState, update, aEffects);
    ApplyMemberState(aState, found->second, update, aSource, aNow, aEffects);
    return;
  }
  if (!aUpdate.peerAddress_.empty()) {
    ReportNewerConfig(aState, aUpdate, aEffects);
    AddMember(aState, aUpdate, aNow, aEffects);
    return;
  }
  const bool leaving = aUpdate.status_ == Status::Leaving;
  ApplyTargetUpdate(
    aState, { aUpdate.name_, leaving, aUpdate.incarnation_ }, aNow, aEffects);
}

void
ApplyTargetUpdate(State& aState,
                  const TargetUpdate& aUpdate,
                  absl::Time aNow,
                  Effects& aEffects)
{
  const auto found = aState.targets_.find(aUpdate.name_);
  const bool known = found != aState.targets_.end();
  const bool leaving = known && found->second.leaving_;
  if (aUpdate.leaving_ == leaving ||
      (known && aUpdate.listRevision_ <= found->second.listRevision_)) {
    return;
  }
  aState.targets_[aUpdate.name_] = { aUpdate.leaving_,
                                     aUpdate.listRevision_,
                                     aNow };
  aState.pushPending_ = true;
  StartRumour(aState, aUpdate.name_);
  aEffects.push_back(TargetChanged{ aUpdate.name_, aUpdate.leaving_ });
}

void
SetStatus(State& aState,
          Member& aMember,
          Status aStatus,
          absl::Time aNow,
          Effects& aEffects)
{
  auto& state = aMember.state_;
  aEffects.push_back(Log{ absl::StrCat("event=host_status host=",
                                       state.name_,
                                       " from=",
                                       core::NameOf(kStatuses, state.status_),
                                       " to=",
                                       core::NameOf(kStatuses, aStatus)) });
  state.status_ = aStatus;
  aMember.changedAt_ = aNow;
  aMember.nextRecheck_ = aNow;
  aState.suspects_.erase(state.name_);
  if (aStatus == Status::Suspect) {
    aMember.suspectUntil_ = aNow + aState.settings_.suspicionTimeout_;
    aState.suspects_.insert(state.name_);
    ++aState.counters_.suspicions_;
  }
  aState.counters_.deaths_ += aStatus == Status::Dead ? 1 : 0;
  aState.pushPending_ |= aStatus == Status::Leaving;
  aState.fingersStale_ = true;
}

} // namespace lycheeplank::membership
