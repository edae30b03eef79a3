#include "rollout/internal.h"

#include <algorithm>

namespace lycheeplank::rollout {

namespace {

void
Handle(State& aState, const Tick&, absl::Time aNow, Effects& aEffects)
{
  if (!aState.config_) {
    return;
  }
  AdvanceOwnership(aState, aNow, aEffects);
  AdvanceSlots(aState, aNow, aEffects);
  AdvanceRecords(aState, aNow, aEffects);
  AdvanceTargets(aState, aNow, aEffects);
}

void
Handle(State& aState, const ConfigChanged& aChange, absl::Time, Effects&)
{
  aState.config_ = aChange.config_;
}

void
Handle(State& aState, const HostsChanged& aChange, absl::Time, Effects&)
{
  aState.hosts_ = aChange.hosts_;
}

void
Handle(State& aState,
       const PlatformReplied& aReplied,
       absl::Time aNow,
       Effects& aEffects)
{
  const auto& reply = aReplied.reply_;
  const auto found = aState.pendingCommands_.find(reply.id_);
  if (found == aState.pendingCommands_.end()) {
    return;
  }
  const PendingCommand command = found->second;
  aState.pendingCommands_.erase(found);
  switch (command.purpose_) {
    case Purpose::GrantLease:
    case Purpose::KeepLease:
    case Purpose::DropLease:
      HandleLeaseReply(aState, command, reply, aNow, aEffects);
      return;
    case Purpose::WatchOwnerKey:
    case Purpose::WriteOwnerKey:
    case Purpose::VerifyOwnerKey:
    case Purpose::DeleteOwnerKey:
      HandleOwnerKeyReply(aState, command, reply, aNow, aEffects);
      return;
    case Purpose::ReadSlots:
    case Purpose::WriteSlots:
      HandleSlotsReply(aState, command, reply, aNow, aEffects);
      return;
    case Purpose::ListRecords:
    case Purpose::ReadRecord:
    case Purpose::WriteRecord:
      HandleRecordReply(aState, command, reply, aNow, aEffects);
      return;
  }
}

void
Handle(State& aState, const TargetRead& aRead, absl::Time aNow, Effects&)
{
  HandleTargetRead(aState, aRead, aNow);
}

void
Handle(State& aState,
       const OrderEnded& aEnded,
       absl::Time aNow,
       Effects& aEffects)
{
  HandleOrderEnded(aState, aEnded, aNow, aEffects);
}

void
Handle(State& aState, const StopRequested&, absl::Time, Effects&)
{
  aState.stopping_ = true;
}

} // namespace

State
InitialState(absl::string_view aName, const Settings& aSettings)
{
  State state;
  state.settings_ = aSettings;
  state.name_ = std::string(aName);
  return state;
}

std::vector<Effect>
Step(State& aState, const Event& aEvent)
{
  Effects effects;
  std::visit(
    [&](const auto& aBody) { Handle(aState, aBody, aEvent.at_, effects); },
    aEvent.body_);
  return effects;
}

bool
IsStopped(const State& aState)
{
  const bool leaseCommandPending =
    std::any_of(aState.pendingCommands_.begin(),
                aState.pendingCommands_.end(),
                [](const auto& aEntry) {
                  return aEntry.second.purpose_ == Purpose::DropLease ||
                         aEntry.second.purpose_ == Purpose::GrantLease;
                });
  return aState.stopping_ && aState.lease_.empty() && !leaseCommandPending;
}

void
SendCommand(State& aState,
            platform::Command aCommand,
            PendingCommand aPending,
            absl::Time aNow,
            Effects& aEffects)
{
  const std::uint64_t id = aState.nextId_++;
  aCommand.id_ = id;
  aPending.sent_ = aNow;
  aState.pendingCommands_[id] = std::move(aPending);
  ++aState.counters_.platformCalls_;
  aEffects.push_back(std::move(aCommand));
}

} // namespace lycheeplank::rollout
