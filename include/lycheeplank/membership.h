#ifndef LYCHEEPLANK_MEMBERSHIP_H
#define LYCHEEPLANK_MEMBERSHIP_H

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>
#include <absl/types/variant.h>

#include "lycheeplank/core.h"
#include "lycheeplank/platform.h"

// Which entry hosts are live: failure detection by probes (SWIM), spread by
// gossip, joined with the platform's list of hosts.
namespace lycheeplank::membership {

// What is thought of a host; at equal incarnation the later value wins.
enum class Status
{
  Alive,
  Suspect,
  Dead,
  // Drains, or was taken off the platform's list.
  Leaving,
};

inline constexpr std::array<core::Named<Status>, 4> kStatuses{ {
  { Status::Alive, "alive" },
  { Status::Suspect, "suspect" },
  { Status::Dead, "dead" },
  { Status::Leaving, "leaving" },
} };

// What one message says of one host. Addresses are left out where the receiver
// is likely to know them. The state of a name that is no known host, without
// an address, speaks of a target or store of the platform's list; its
// incarnation is the revision of that list.
struct HostState
{
  std::string name_;
  std::string peerAddress_;
  std::string httpAddress_;
  std::string dataCentre_;
  Status status_ = Status::Alive;
  // Raised by the host alone, to refute a suspicion or to tell a change.
  std::uint64_t incarnation_ = 0;
  std::uint64_t configRevision_ = 0;
  // Share of the host's capacity in use, in thousandths.
  std::uint32_t loadPermille_ = 0;
};

// What two hosts tell each other in a probe and in its answer.
struct Message
{
  HostState sender_;
  std::vector<HostState> updates_;
  // Revision of the platform's list that the sender's view rests on. 0: it
  // doesn't know all hosts; who does answers it with all of them.
  std::uint64_t listRevision_ = 0;
};

// Periods and bounds; the same on all hosts.
struct Settings
{
  absl::Duration probePeriod_ = absl::Seconds(1);
  absl::Duration probeTimeout_ = absl::Milliseconds(300);
  absl::Duration indirectTimeout_ = absl::Milliseconds(700);
  std::uint32_t indirectProbes_ = 3;
  // Time in which a suspect host may refute.
  absl::Duration suspicion_ = absl::Seconds(3);
  // A suspect host is probed again this often, by those that probe it anyway,
  // and by all others in the last part of the suspicion.
  absl::Duration recheckPeriod_ = absl::Milliseconds(500);
  absl::Duration lastRecheck_ = absl::Milliseconds(1500);
  // Most suspects that are probed again in one tick.
  std::uint32_t maxRechecks_ = 2;
  // One dead host is probed this often, to notice that it is back.
  absl::Duration reconnectPeriod_ = absl::Seconds(5);
  // The same after one that was thought dead has answered.
  absl::Duration quickReconnectPeriod_ = absl::Milliseconds(100);
  // Time to the next probe after one that failed.
  absl::Duration quickProbePeriod_ = absl::Milliseconds(300);
  // Dead and left hosts are forgotten after this time.
  absl::Duration forgetAfter_ = absl::Minutes(10);
  std::uint32_t listReaders_ = 3;
  absl::Duration listPeriod_ = absl::Seconds(1);
  // Period of the list reads of a host that is no reader but sees too few of
  // the hosts, or that has found no list after its first attempts.
  absl::Duration isolatedListPeriod_ = absl::Seconds(5);
  std::uint32_t firstListReads_ = 5;
  // Most news in one message.
  std::uint32_t maxRumours_ = 32;
  // Known states in one message beside the news.
  std::uint32_t repeatedStates_ = 2;
  // News is passed on this many times the logarithm of the number of hosts.
  std::uint32_t rumourFactor_ = 2;
  // News of a host carries its addresses for so long after it was found.
  absl::Duration addressNews_ = absl::Minutes(1);
  // Shortest time between two rounds of probes to all fingers.
  absl::Duration pushPeriod_ = absl::Milliseconds(300);
  // A host without platform and peers for so long takes no new work.
  absl::Duration isolationBound_ = absl::Seconds(10);
  // Without the platform, a host takes new work only if it sees more than this
  // part of the known hosts.
  double minPeerShare_ = 0.5;
  // Load from which a host is moved back in lists, and at which it returns.
  std::uint32_t overloadedPermille_ = 900;
  std::uint32_t relievedPermille_ = 750;
  // Shortest time between two incarnations that tell of the load.
  absl::Duration loadNewsPeriod_ = absl::Seconds(5);
  // Life of an answer of EntriesFor.
  absl::Duration entriesTtl_ = absl::Seconds(15);
  // Time in which all hosts learn that one leaves.
  absl::Duration leaveSpread_ = absl::Seconds(3);
  // A longer time between two ticks means that this process was paused.
  absl::Duration pauseBound_ = absl::Seconds(2);
};

// What this host knows of another one.
struct Member
{
  HostState state_;
  absl::Time since_ = absl::InfinitePast();
  // When its addresses became known.
  absl::Time found_ = absl::InfinitePast();
  absl::Time suspectUntil_ = absl::InfiniteFuture();
  absl::Time recheck_ = absl::InfinitePast();
  // Was on a list that this host has read.
  bool listed_ = false;
  bool overloaded_ = false;
  // A leaving host that no longer answers.
  bool gone_ = false;
};

// What the platform's list last said of a target or store that leaves.
struct TargetNote
{
  bool leaving_ = false;
  std::uint64_t listRevision_ = 0;
  absl::Time since_ = absl::InfinitePast();
};

enum class ProbeKind
{
  Direct,
  // Sent for another host.
  Relayed,
};

// A probe under way, or its indirect probes.
struct PendingProbe
{
  std::string name_;
  ProbeKind kind_ = ProbeKind::Direct;
  // Request of the host for which the probe was relayed.
  std::uint64_t relayFor_ = 0;
  absl::Time deadline_;
  // Indirect probes without an answer; zero while the direct one runs.
  std::uint32_t indirectLeft_ = 0;
};

struct Counters
{
  std::uint64_t probes_ = 0;
  std::uint64_t failedProbes_ = 0;
  std::uint64_t indirectProbes_ = 0;
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
  std::uint64_t refutations_ = 0;
  std::uint64_t listReads_ = 0;
};

// Order in which news is told: what leaves first, then what was told least.
struct RumourKey
{
  bool urgent_ = false;
  std::uint32_t timesTold_ = 0;
  std::string name_;

  friend bool operator<(const RumourKey& aLeft, const RumourKey& aRight)
  {
    if (aLeft.urgent_ != aRight.urgent_) {
      return aLeft.urgent_;
    }
    return aLeft.timesTold_ != aRight.timesTold_
             ? aLeft.timesTold_ < aRight.timesTold_
             : aLeft.name_ < aRight.name_;
  }
};

// All that one host knows of the others.
struct State
{
  Settings settings_;
  HostState self_;
  absl::btree_map<std::string, Member> members_;
  absl::btree_map<std::string, TargetNote> targets_;
  // News that is still passed on.
  absl::btree_set<RumourKey> rumours_;
  absl::flat_hash_map<std::string, RumourKey> rumourKeys_;
  // Host after which the repeated states go on.
  std::string repeatAfter_;
  absl::btree_set<std::string> suspects_;
  // Hosts that this one probes, in turn.
  std::vector<std::string> fingers_;
  bool fingersStale_ = true;
  std::size_t nextFinger_ = 0;
  std::string lastReconnect_;
  absl::btree_map<std::uint64_t, PendingProbe> pending_;
  std::uint64_t nextId_ = 1;
  std::uint64_t listRevision_ = 0;
  // Revision of the list that the answer of a peer with all hosts rested on.
  std::uint64_t heardListRevision_ = 0;
  // Peer addresses asked for all hosts while neither list nor peers told them.
  std::vector<std::string> seeds_;
  std::size_t nextSeed_ = 0;
  absl::Time nextSeedProbe_ = absl::InfinitePast();
  bool listedSelf_ = false;
  bool ownOverloaded_ = false;
  bool pushWanted_ = false;
  absl::Time nextProbe_ = absl::InfinitePast();
  absl::Time nextListRead_ = absl::InfinitePast();
  absl::Time nextReconnect_ = absl::InfinitePast();
  absl::Time nextPush_ = absl::InfinitePast();
  absl::Time nextForget_ = absl::InfinitePast();
  absl::Time lastTick_ = absl::InfinitePast();
  absl::Time lastPlatform_ = absl::InfinitePast();
  absl::Time lastPeer_ = absl::InfinitePast();
  absl::Time lastLoadNews_ = absl::InfinitePast();
  absl::Time drainStarted_ = absl::InfiniteFuture();
  Counters counters_;
};

// Time has passed; comes about every 100 ms.
struct Tick
{};

// A probe of this host was answered.
struct ProbeAnswered
{
  std::uint64_t id_ = 0;
  Message message_;
};

// A probe of this host got no answer within its timeout.
struct ProbeFailed
{
  std::uint64_t id_ = 0;
};

// A host that was asked to probe a suspect has answered or failed.
struct IndirectAnswered
{
  std::uint64_t id_ = 0;
  bool reached_ = false;
};

// Another host probes this one; AnswerProbe carries the same id.
struct ProbeReceived
{
  std::uint64_t id_ = 0;
  Message message_;
};

// Another host asks to probe a suspect; AnswerIndirect carries the same id.
struct IndirectAsked
{
  std::uint64_t id_ = 0;
  std::string suspect_;
  std::string address_;
};

// The platform's list of hosts was read, or could not be.
struct HostListRead
{
  bool ok_ = false;
  std::uint64_t revision_ = 0;
  std::vector<platform::Host> hosts_;
};

// Any other call to the platform has succeeded.
struct PlatformReached
{};

// This host starts to drain.
struct DrainStarted
{};

// The configuration in force here, or the load, is now another.
struct OwnStateChanged
{
  std::uint64_t configRevision_ = 0;
  std::uint32_t loadPermille_ = 0;
};

struct Event
{
  absl::Time at_;
  absl::variant<Tick,
                ProbeAnswered,
                ProbeFailed,
                IndirectAnswered,
                ProbeReceived,
                IndirectAsked,
                HostListRead,
                PlatformReached,
                DrainStarted,
                OwnStateChanged>
    body_;
};

// Probe a host; ends with ProbeAnswered or ProbeFailed.
struct SendProbe
{
  std::uint64_t id_ = 0;
  std::string name_;
  std::string address_;
  absl::Duration timeout_;
  Message message_;
};

// Ask a host to probe a suspect; ends with IndirectAnswered.
struct AskIndirect
{
  std::uint64_t id_ = 0;
  std::string viaAddress_;
  std::string suspect_;
  std::string suspectAddress_;
  absl::Duration timeout_;
};

struct AnswerProbe
{
  std::uint64_t id_ = 0;
  Message message_;
};

struct AnswerIndirect
{
  std::uint64_t id_ = 0;
  bool reached_ = false;
};

// Read the platform's list of hosts; ends with HostListRead.
struct ReadHostList
{};

// A peer has a newer configuration in force; comes with each message until
// OwnStateChanged tells that it was taken over.
struct ConfigHeard
{
  std::uint64_t revision_ = 0;
  std::string peerAddress_;
};

// The platform's list says that this host has to go.
struct DrainAsked
{};

// The platform's list says that a target or store leaves or is back.
struct TargetChanged
{
  std::string name_;
  bool leaving_ = false;
};

// A line of key=value pairs for the log.
struct Log
{
  std::string line_;
};

using Effect = absl::variant<SendProbe,
                             AskIndirect,
                             AnswerProbe,
                             AnswerIndirect,
                             ReadHostList,
                             ConfigHeard,
                             DrainAsked,
                             TargetChanged,
                             Log>;

// Returns the state of a host that starts now. Its incarnation is the time in
// milliseconds, so that it is above the one of its predecessor of that name.
// aSeeds are peer addresses to ask for all hosts if the platform can't be
// reached; its own one among them is left out.
State
Start(const HostState& aSelf,
      const Settings& aSettings,
      absl::Time aNow,
      const std::vector<std::string>& aSeeds = {});

// Takes one event and returns what has to be done.
std::vector<Effect>
Step(State& aState, const Event& aEvent);

// Tells whether this host may take new work. Without the platform it has to
// see enough peers, since the configuration may change without it, and to know
// all hosts, or it would take the few that it knows for enough.
bool
MayServe(const State& aState, absl::Time aNow);

// Returns the hosts that take new work, this one included, in order of name.
std::vector<HostState>
LiveHosts(const State& aState);

// Returns all known hosts, for operators.
std::vector<HostState>
AllHosts(const State& aState);

// Returns whether the platform's list says that a target or store leaves.
bool
IsTargetLeaving(const State& aState, absl::string_view aName);

// Which hosts a workspace's callers shall use, best first, and for how long.
struct Entries
{
  std::vector<HostState> hosts_;
  absl::Duration ttl_;
};

// Ranks the live hosts for a workspace; overloaded ones come last.
Entries
EntriesFor(const State& aState,
           absl::string_view aWorkspace,
           std::size_t aCount);

// Returns when the last answer that names this draining host has expired; the
// infinite future if it doesn't drain.
absl::Time
DrainedAfter(const State& aState);

} // namespace lycheeplank::membership

#endif
