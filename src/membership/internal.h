#ifndef LYCHEEPLANK_SRC_MEMBERSHIP_INTERNAL_H
#define LYCHEEPLANK_SRC_MEMBERSHIP_INTERNAL_H

#include <vector>

#include "lycheeplank/membership.h"

namespace lycheeplank::membership {

using Effects = std::vector<Effect>;

// Whether a state came from the host itself or from a third host.
enum class Source
{
  Direct,
  Gossip,
};

// Starts to spread the state of a host, or of a target of the platform's list,
// as a rumour.
void
StartRumour(State& aState, const std::string& aName);

// Stops spreading all rumours.
void
StopRumours(State& aState);

// Returns the next message for a host, with rumours and repeated states. A bad
// status of the receiver itself comes first, so that it can refute it.
Message
MakeMessage(State& aState, absl::string_view aTo, absl::Time aNow);

// Returns a message without rumours, for a host that may not receive it.
Message
MakeShortMessage(const State& aState, absl::string_view aTo);

// Returns the revision of the platform's list that this host's view is based
// on, read by this host or by a peer; zero if this host doesn't know all hosts.
std::uint64_t
ViewRevision(const State& aState);

// Returns a message with all known hosts, for a host that doesn't know them
// all.
Message
MakeFullMessage(const State& aState);

// Adds the dead hosts of a peer that knows all hosts. Without them the live
// hosts would count as all hosts, and HasQuorum would hold too easily.
void
AddDeadHosts(State& aState, const Message& aMessage, absl::Time aNow);

// Applies the states in a message.
void
ApplyMessage(State& aState,
             const Message& aMessage,
             absl::Time aNow,
             Effects& aEffects);

// Applies one state if it is newer than the known one.
void
ApplyHostState(State& aState,
               const HostState& aUpdate,
               Source aSource,
               absl::Time aNow,
               Effects& aEffects);

// The state of a target or store in one revision of the platform's list.
struct TargetUpdate
{
  std::string name_;
  bool leaving_ = false;
  std::uint64_t listRevision_ = 0;
};

// Records whether a target or store is leaving.
void
ApplyTargetUpdate(State& aState,
                  const TargetUpdate& aUpdate,
                  absl::Time aNow,
                  Effects& aEffects);

// Sets the status of another host. The caller decides whether to spread it as a
// rumour.
void
SetStatus(State& aState,
          Member& aMember,
          Status aStatus,
          absl::Time aNow,
          Effects& aEffects);

// Applies the platform's list of hosts.
void
ApplyHostList(State& aState,
              const HostListRead& aList,
              absl::Time aNow,
              Effects& aEffects);

// Reads the platform's list if a read is due and this host is one of its
// readers or lacks a sufficient view.
void
ReadListIfDue(State& aState, absl::Time aNow, Effects& aEffects);

// Starts to drain this host; does nothing if it already drains.
void
BeginDrain(State& aState, absl::Time aNow);

// Ends an answered probe and applies its message.
void
HandleProbeAnswer(State& aState,
                  const ProbeAnswered& aAnswer,
                  absl::Time aNow,
                  Effects& aEffects);

// Ends a failed probe. The probed host becomes suspect only after indirect
// probes through other hosts failed too.
void
HandleProbeFailure(State& aState,
                   std::uint64_t aId,
                   absl::Time aNow,
                   Effects& aEffects);

// Ends one indirect probe of a host.
void
HandleIndirectAnswer(State& aState,
                     const IndirectProbeAnswered& aAnswer,
                     absl::Time aNow,
                     Effects& aEffects);

// Probes a suspect on behalf of another host.
void
RelayProbe(State& aState,
           const IndirectProbeRequested& aRequest,
           absl::Time aNow,
           Effects& aEffects);

// Runs all probe work that is due.
void
ProbeIfDue(State& aState, absl::Time aNow, Effects& aEffects);

// Drops all open probes after a pause of this process, which may have missed
// their answers, and restarts the suspicion timeouts.
void
DropPendingProbes(State& aState, absl::Time aNow);

// Returns whether the platform or a peer was reached recently.
bool
HasContact(const State& aState, absl::Time aNow);

// Returns whether enough of the known hosts are alive in this host's view.
bool
HasQuorum(const State& aState);

} // namespace lycheeplank::membership

#endif
