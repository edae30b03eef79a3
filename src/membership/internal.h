#ifndef LYCHEEPLANK_SRC_MEMBERSHIP_INTERNAL_H
#define LYCHEEPLANK_SRC_MEMBERSHIP_INTERNAL_H

#include <vector>

#include "lycheeplank/membership.h"

namespace lycheeplank::membership {

using Effects = std::vector<Effect>;

// Whether a state was told by the host itself or by a third one.
enum class Source
{
  Direct,
  Gossip,
};

// Makes the state of a host news that is passed on.
void
StartRumour(State& aState, const std::string& aName);

// Passes nothing on any more.
void
StopRumours(State& aState);

// Returns what to tell a host now; what it should know of itself goes first.
Message
MakeMessage(State& aState, absl::string_view aTo, absl::Time aNow);

// Returns a message without news, for a host that may not get it.
Message
MakeShortMessage(const State& aState, absl::string_view aTo);

// Returns the revision of the platform's list that this host's view rests on,
// its own reading or that of a peer; 0 if it doesn't know all hosts.
std::uint64_t
ViewRevision(const State& aState);

// Returns a message with all known hosts, for one that knows too few.
Message
MakeWholeMessage(const State& aState);

// Takes over the hosts that a peer with the whole view counts as dead: they
// have to be known, or the others would be taken for all.
void
TakeDeadHosts(State& aState, const Message& aMessage, absl::Time aNow);

// Takes over what a message says.
void
TakeMessage(State& aState,
            const Message& aMessage,
            absl::Time aNow,
            Effects& aEffects);

// Takes over one state if it is newer than what is known.
void
TakeHostState(State& aState,
              const HostState& aNews,
              Source aSource,
              absl::Time aNow,
              Effects& aEffects);

// What the platform's list of a revision says of a target or store.
struct TargetNews
{
  std::string name_;
  bool leaving_ = false;
  std::uint64_t listRevision_ = 0;
};

// Notes that a target or store leaves or is back.
void
TakeTarget(State& aState,
           const TargetNews& aNews,
           absl::Time aNow,
           Effects& aEffects);

// Changes what this host thinks of another one; the caller decides whether
// that is news.
void
SetStatus(State& aState,
          Member& aMember,
          Status aStatus,
          absl::Time aNow,
          Effects& aEffects);

// Takes over a list of hosts of the platform.
void
TakeHostList(State& aState,
             const HostListRead& aList,
             absl::Time aNow,
             Effects& aEffects);

// Reads the list if this host is one of its readers and it is time.
void
ReadListIfDue(State& aState, absl::Time aNow, Effects& aEffects);

// Starts to drain.
void
BeginDrain(State& aState, absl::Time aNow);

// Ends a probe that was answered.
void
TakeAnswer(State& aState,
           const ProbeAnswered& aAnswer,
           absl::Time aNow,
           Effects& aEffects);

// Ends a probe that failed; asks other hosts before suspecting.
void
TakeFailure(State& aState,
            std::uint64_t aId,
            absl::Time aNow,
            Effects& aEffects);

void
TakeIndirectAnswer(State& aState,
                   const IndirectAnswered& aAnswer,
                   absl::Time aNow,
                   Effects& aEffects);

// Probes a suspect for another host.
void
RelayProbe(State& aState,
           const IndirectAsked& aAsked,
           absl::Time aNow,
           Effects& aEffects);

// Does all probing that is due.
void
ProbeIfDue(State& aState, absl::Time aNow, Effects& aEffects);

// Gives up all probes under way, whose answers a pause may have hidden.
void
ForgetProbes(State& aState, absl::Time aNow);

// Whether the platform or a peer was reached lately.
bool
HasContact(const State& aState, absl::Time aNow);

// Whether this host sees enough of the known hosts.
bool
HasQuorum(const State& aState);

} // namespace lycheeplank::membership

#endif
