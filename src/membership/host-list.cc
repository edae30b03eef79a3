#include "membership/internal.h"

#include <algorithm>

namespace lycheeplank::membership {

namespace {

constexpr absl::string_view kEntryRole = "entry";

// Rendezvous key for the choice of the list's readers.
constexpr absl::string_view kReadersKey = "host-list";

HostState
StateOf(const platform::Host& aHost)
{
  HostState state;
  state.name_ = aHost.name_;
  state.peerAddress_ = aHost.peerAddress_;
  state.httpAddress_ = aHost.httpAddress_;
  state.dataCentre_ = aHost.dataCentre_;
  return state;
}

// Drains this host if the list marks it as leaving and it doesn't drain yet.
void
DrainIfLeaving(State& aState, bool aLeaving, absl::Time aNow, Effects& aEffects)
{
  if (aLeaving && aState.self_.status_ != Status::Leaving) {
    aEffects.push_back(DrainRequired{});
    BeginDrain(aState, aNow);
  }
}

// Applies one entry host of the list.
void
ApplyEntryHost(State& aState,
               const platform::Host& aHost,
               absl::Time aNow,
               Effects& aEffects)
{
  if (aHost.name_ == aState.self_.name_) {
    aState.selfListed_ = true;
    DrainIfLeaving(aState, aHost.leaving_, aNow, aEffects);
    return;
  }
  if (aState.members_.count(aHost.name_) == 0 && !aHost.leaving_) {
    ApplyHostState(aState, StateOf(aHost), Source::Gossip, aNow, aEffects);
  }
  const auto found = aState.members_.find(aHost.name_);
  if (found == aState.members_.end()) {
    return;
  }
  found->second.listed_ = true;
  if (aHost.leaving_ && found->second.state_.status_ != Status::Leaving) {
    SetStatus(aState, found->second, Status::Leaving, aNow, aEffects);
    StartRumour(aState, aHost.name_);
  }
}

// Marks hosts as leaving that were on an earlier list and are not on this one.
void
MarkUnlistedLeaving(State& aState,
                    const absl::btree_set<std::string>& aListed,
                    absl::Time aNow,
                    Effects& aEffects)
{
  for (auto& [name, member] : aState.members_) {
    if (!member.listed_ || aListed.count(name) > 0) {
      continue;
    }
    member.listed_ = false;
    if (member.state_.status_ != Status::Leaving) {
      SetStatus(aState, member, Status::Leaving, aNow, aEffects);
      StartRumour(aState, name);
    }
  }
  const bool wasListed = aState.selfListed_;
  if (wasListed && aListed.count(aState.self_.name_) == 0) {
    aState.selfListed_ = false;
    DrainIfLeaving(aState, true, aNow, aEffects);
  }
}

// Returns whether this host is one of the list's readers, which spread its
// content to the others.
bool
ReadsHostList(const State& aState)
{
  std::vector<std::string> names{ aState.self_.name_ };
  for (const auto& [name, member] : aState.members_) {
    if (member.state_.status_ == Status::Alive) {
      names.push_back(name);
    }
  }
  const auto readers =
    core::RendezvousPick(kReadersKey, names, aState.settings_.listReaders_);
  return std::count(readers.begin(), readers.end(), aState.self_.name_) > 0;
}

} // namespace

void
ApplyHostList(State& aState,
              const HostListRead& aList,
              absl::Time aNow,
              Effects& aEffects)
{
  if (!aList.ok_) {
    return;
  }
  aState.lastPlatformContact_ = std::max(aState.lastPlatformContact_, aNow);
  if (aList.revision_ < aState.listRevision_) {
    return;
  }
  const bool first = aState.listRevision_ == 0;
  aState.listRevision_ = aList.revision_;
  absl::btree_set<std::string> listed;
  for (const auto& host : aList.hosts_) {
    if (host.role_ == kEntryRole) {
      listed.insert(host.name_);
      ApplyEntryHost(aState, host, aNow, aEffects);
    } else {
      ApplyTargetUpdate(
        aState, { host.name_, host.leaving_, aList.revision_ }, aNow, aEffects);
    }
  }
  MarkUnlistedLeaving(aState, listed, aNow, aEffects);
  if (first) {
    // Every host reads the list when it starts, so its first content needs no
    // rumours.
    StopRumours(aState);
  }
}

void
ReadListIfDue(State& aState, absl::Time aNow, Effects& aEffects)
{
  if (aNow < aState.nextListRead_) {
    return;
  }
  const auto& settings = aState.settings_;
  const bool hasList = aState.listRevision_ > 0;
  const bool reads =
    hasList ? ReadsHostList(aState)
            : aState.counters_.listReads_ < settings.initialListReads_;
  aState.nextListRead_ =
    aNow + (reads ? settings.listPeriod_ : settings.isolatedListPeriod_);
  if (!reads && hasList && HasQuorum(aState)) {
    // This host may become a reader before the longer period has passed.
    aState.nextListRead_ = aNow + settings.listPeriod_;
    return;
  }
  ++aState.counters_.listReads_;
  aEffects.push_back(ReadHostList{});
}

} // namespace lycheeplank::membership
