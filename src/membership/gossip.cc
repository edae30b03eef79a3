#include "membership/internal.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace lycheeplank::membership {

namespace {

// Returns how often a piece of news is passed on.
std::uint32_t
RumourLimit(const State& aState)
{
  const double hosts = double(aState.members_.size() + 1);
  const double rounds = std::ceil(std::log2(hosts + 1.0));
  return aState.settings_.rumourFactor_ * static_cast<std::uint32_t>(rounds);
}

// Returns what is known of a host, or of a target of the platform's list.
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

// Leaves the addresses out of news of a host that all know.
HostState
Shorten(const State& aState, const HostState& aFull, absl::Time aNow)
{
  const auto found = aState.members_.find(aFull.name_);
  if (found == aState.members_.end() || aFull.status_ == Status::Leaving ||
      aNow < found->second.found_ + aState.settings_.addressNews_) {
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
PutRumour(State& aState, const RumourKey& aKey)
{
  StopRumour(aState, aKey.name_);
  aState.rumourKeys_[aKey.name_] = aKey;
  aState.rumours_.insert(aKey);
}

// Returns the next news for a host.
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

// Adds news; what was told often enough is passed on no more.
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
    aMessage.updates_.push_back(Shorten(aState, *state, aNow));
    if (++key.timesTold_ < limit) {
      PutRumour(aState, key);
    }
  }
}

// Adds states in turn, so that lost news arrives in the end.
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

// Tells whether a state is newer than what is known.
bool
IsNewer(const HostState& aNews, const HostState& aKnown)
{
  if (aNews.incarnation_ != aKnown.incarnation_) {
    return aNews.incarnation_ > aKnown.incarnation_;
  }
  return aNews.status_ > aKnown.status_;
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

// Answers what others think of this host.
void
TakeOwnState(State& aState,
             const HostState& aNews,
             absl::Time aNow,
             Effects& aEffects)
{
  auto& self = aState.self_;
  if (aNews.incarnation_ < self.incarnation_ ||
      aNews.status_ == Status::Alive || aNews.status_ == self.status_) {
    return;
  }
  if (aNews.status_ == Status::Leaving) {
    aEffects.push_back(DrainAsked{});
    BeginDrain(aState, aNow);
    return;
  }
  self.incarnation_ = aNews.incarnation_ + 1;
  ++aState.counters_.refutations_;
  aEffects.push_back(Log{ absl::StrCat("event=refuted status=",
                                       core::NameOf(kStatuses, aNews.status_),
                                       " incarnation=",
                                       self.incarnation_) });
}

// Adds a host that was not known before.
void
AddMember(State& aState,
          const HostState& aNews,
          absl::Time aNow,
          Effects& aEffects)
{
  if (aNews.status_ == Status::Dead) {
    return;
  }
  auto& member = aState.members_[aNews.name_];
  member.state_ = aNews;
  member.state_.status_ = Status::Alive;
  member.since_ = aNow;
  member.found_ = aNow;
  UpdateOverload(aState.settings_, member);
  aState.fingersStale_ = true;
  if (aNews.status_ != Status::Alive) {
    SetStatus(aState, member, aNews.status_, aNow, aEffects);
  }
  StartRumour(aState, aNews.name_);
  aEffects.push_back(
    Log{ absl::StrCat("event=host_found host=", aNews.name_) });
}

void
HearRevision(State& aState, const HostState& aNews, Effects& aEffects)
{
  if (aNews.configRevision_ > aState.self_.configRevision_) {
    aEffects.push_back(
      ConfigHeard{ aNews.configRevision_, aNews.peerAddress_ });
  }
}

// Copies the known addresses into a state that came without them.
HostState
WithAddresses(const HostState& aNews, const HostState& aKnown)
{
  HostState state = aNews;
  if (state.peerAddress_.empty()) {
    state.peerAddress_ = aKnown.peerAddress_;
    state.httpAddress_ = aKnown.httpAddress_;
    state.dataCentre_ = aKnown.dataCentre_;
  }
  return state;
}

// Takes over a newer state of a known host; it is news if it changes which
// hosts are used.
void
ReplaceState(State& aState,
             Member& aMember,
             const HostState& aNews,
             absl::Time aNow,
             Effects& aEffects)
{
  const HostState before = aMember.state_;
  const bool overloaded = aMember.overloaded_;
  aMember.state_ = aNews;
  aMember.state_.status_ = before.status_;
  aMember.gone_ = false;
  UpdateOverload(aState.settings_, aMember);
  if (before.peerAddress_ != aNews.peerAddress_) {
    aMember.found_ = aNow;
    StartRumour(aState, aNews.name_);
  }
  if (overloaded != aMember.overloaded_) {
    StartRumour(aState, aNews.name_);
  }
  if (before.status_ == Status::Dead && aNews.status_ == Status::Alive) {
    aState.nextReconnect_ = std::min(
      aState.nextReconnect_, aNow + aState.settings_.quickReconnectPeriod_);
  }
  if (before.status_ != aNews.status_) {
    SetStatus(aState, aMember, aNews.status_, aNow, aEffects);
    StartRumour(aState, aNews.name_);
  }
}

// Takes over what a message says of a known host.
void
TakeMember(State& aState,
           Member& aMember,
           const HostState& aNews,
           Source aSource,
           absl::Time aNow,
           Effects& aEffects)
{
  auto& known = aMember.state_;
  if (IsNewer(aNews, known)) {
    ReplaceState(aState, aMember, aNews, aNow, aEffects);
    return;
  }
  known.configRevision_ =
    std::max(known.configRevision_, aNews.configRevision_);
  if (aNews.incarnation_ < known.incarnation_) {
    if (aNews.status_ != Status::Alive) {
      // The sender has missed the refutation.
      StartRumour(aState, known.name_);
    }
    return;
  }
  if (aSource == Source::Direct) {
    known.loadPermille_ = aNews.loadPermille_;
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
    PutRumour(aState, { urgent, 0, aName });
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
  return std::max(aState.listRevision_, aState.heardListRevision_);
}

Message
MakeWholeMessage(const State& aState)
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
TakeDeadHosts(State& aState, const Message& aMessage, absl::Time aNow)
{
  for (const auto& update : aMessage.updates_) {
    if (update.status_ != Status::Dead || update.peerAddress_.empty() ||
        update.name_ == aState.self_.name_ ||
        aState.members_.count(update.name_) > 0) {
      continue;
    }
    auto& member = aState.members_[update.name_];
    member.state_ = update;
    member.since_ = aNow;
    member.found_ = aNow;
  }
}

void
TakeMessage(State& aState,
            const Message& aMessage,
            absl::Time aNow,
            Effects& aEffects)
{
  if (aMessage.sender_.name_ == aState.self_.name_) {
    // This host's own address is among those that it asks: no contact.
    return;
  }
  aState.lastPeer_ = std::max(aState.lastPeer_, aNow);
  TakeHostState(aState, aMessage.sender_, Source::Direct, aNow, aEffects);
  for (const auto& update : aMessage.updates_) {
    TakeHostState(aState, update, Source::Gossip, aNow, aEffects);
  }
}

void
TakeHostState(State& aState,
              const HostState& aNews,
              Source aSource,
              absl::Time aNow,
              Effects& aEffects)
{
  if (aNews.name_ == aState.self_.name_) {
    TakeOwnState(aState, aNews, aNow, aEffects);
    return;
  }
  const auto found = aState.members_.find(aNews.name_);
  if (found != aState.members_.end()) {
    const auto news = WithAddresses(aNews, found->second.state_);
    HearRevision(aState, news, aEffects);
    TakeMember(aState, found->second, news, aSource, aNow, aEffects);
    return;
  }
  if (!aNews.peerAddress_.empty()) {
    HearRevision(aState, aNews, aEffects);
    AddMember(aState, aNews, aNow, aEffects);
    return;
  }
  const bool leaving = aNews.status_ == Status::Leaving;
  TakeTarget(
    aState, { aNews.name_, leaving, aNews.incarnation_ }, aNow, aEffects);
}

void
TakeTarget(State& aState,
           const TargetNews& aNews,
           absl::Time aNow,
           Effects& aEffects)
{
  const auto found = aState.targets_.find(aNews.name_);
  const bool known = found != aState.targets_.end();
  const bool leaving = known && found->second.leaving_;
  if (aNews.leaving_ == leaving ||
      (known && aNews.listRevision_ <= found->second.listRevision_)) {
    return;
  }
  aState.targets_[aNews.name_] = { aNews.leaving_, aNews.listRevision_, aNow };
  aState.pushWanted_ = true;
  StartRumour(aState, aNews.name_);
  aEffects.push_back(TargetChanged{ aNews.name_, aNews.leaving_ });
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
  aMember.since_ = aNow;
  aMember.recheck_ = aNow;
  aState.suspects_.erase(state.name_);
  if (aStatus == Status::Suspect) {
    aMember.suspectUntil_ = aNow + aState.settings_.suspicion_;
    aState.suspects_.insert(state.name_);
    ++aState.counters_.suspicions_;
  }
  aState.counters_.deaths_ += aStatus == Status::Dead ? 1 : 0;
  aState.pushWanted_ |= aStatus == Status::Leaving;
  aState.fingersStale_ = true;
}

} // namespace lycheeplank::membership
