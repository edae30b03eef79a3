#include "membership/internal.h"

#include <algorithm>

namespace lycheeplank::membership {

namespace {

constexpr absl::string_view kEntryRole = "entry";

// Key by which the readers of the list are chosen.
constexpr absl::string_view kReadersItem = "host-list";

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

// Asks this host to drain once the list says that it leaves.
void
TakeOwnEntry(State& aState, bool aLeaves, absl::Time aNow, Effects& aEffects)
{
  if (aLeaves && aState.self_.status_ != Status::Leaving) {
    aEffects.push_back(DrainAsked{});
    BeginDrain(aState, aNow);
  }
}

void
TakeEntryHost(State& aState,
              const platform::Host& aHost,
              absl::Time aNow,
              Effects& aEffects)
{
  if (aHost.name_ == aState.self_.name_) {
    aState.listedSelf_ = true;
    TakeOwnEntry(aState, aHost.leaving_, aNow, aEffects);
    return;
  }
  if (aState.members_.count(aHost.name_) == 0 && !aHost.leaving_) {
    TakeHostState(aState, StateOf(aHost), Source::Gossip, aNow, aEffects);
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

// Treats hosts that were on an earlier list and are not on this one as
// leaving.
void
TakeUnlisted(State& aState,
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
  const bool wasListed = aState.listedSelf_;
  if (wasListed && aListed.count(aState.self_.name_) == 0) {
    aState.listedSelf_ = false;
    TakeOwnEntry(aState, true, aNow, aEffects);
  }
}

// Tells whether this host reads the list for the others.
bool
IsReader(const State& aState)
{
  std::vector<std::string> names{ aState.self_.name_ };
  for (const auto& [name, member] : aState.members_) {
    if (member.state_.status_ == Status::Alive) {
      names.push_back(name);
    }
  }
  const auto readers =
    core::RendezvousPick(kReadersItem, names, aState.settings_.listReaders_);
  return std::count(readers.begin(), readers.end(), aState.self_.name_) > 0;
}

} // namespace

void
TakeHostList(State& aState,
             const HostListRead& aList,
             absl::Time aNow,
             Effects& aEffects)
{
  if (!aList.ok_) {
    return;
  }
  aState.lastPlatform_ = std::max(aState.lastPlatform_, aNow);
  if (aList.revision_ < aState.listRevision_) {
    return;
  }
  const bool first = aState.listRevision_ == 0;
  aState.listRevision_ = aList.revision_;
  absl::btree_set<std::string> listed;
  for (const auto& host : aList.hosts_) {
    if (host.role_ == kEntryRole) {
      listed.insert(host.name_);
      TakeEntryHost(aState, host, aNow, aEffects);
    } else {
      TakeTarget(
        aState, { host.name_, host.leaving_, aList.revision_ }, aNow, aEffects);
    }
  }
  TakeUnlisted(aState, listed, aNow, aEffects);
  if (first) {
    // Each host reads the list when it starts, so none of it is news.
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
  const bool reads = hasList
                       ? IsReader(aState)
                       : aState.counters_.listReads_ < settings.firstListReads_;
  aState.nextListRead_ =
    aNow + (reads ? settings.listPeriod_ : settings.isolatedListPeriod_);
  if (!reads && hasList && HasQuorum(aState)) {
    // The readers may change before the longer period has passed.
    aState.nextListRead_ = aNow + settings.listPeriod_;
    return;
  }
  ++aState.counters_.listReads_;
  aEffects.push_back(ReadHostList{});
}

} // namespace lycheeplank::membership
