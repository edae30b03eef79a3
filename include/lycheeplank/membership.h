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

// Membership of the entry hosts: failure detection by probes (SWIM), whose
// results spread by gossip, combined with the platform's list of hosts.
namespace lycheeplank::membership {

// The status of a host. At equal incarnation the later enumerator wins.
enum class Status
{
  Alive,
  Suspect,
  Dead,
  // The host drains, or was removed from the platform's list.
  Leaving,
};

inline constexpr std::array<core::Named<Status>, 4> kStatuses{ {
  { Status::Alive, "alive" },
  { Status::Suspect, "suspect" },
  { Status::Dead, "dead" },
  { Status::Leaving, "leaving" },
} };

// The state of one host in a message. Addresses are omitted if the receiver is
// likely to know them. A state without an address, whose name is no known host,
// describes a target or store of the platform's list; its incarnation is then
// the revision of that list.
struct HostState
{
  std::string name_;
  std::string peerAddress_;
  std::string httpAddress_;
  std::string dataCentre_;
  Status status_ = Status::Alive;
  // Only the host itself raises it, to refute a suspicion or to announce a
  // change.
  std::uint64_t incarnation_ = 0;
  std::uint64_t configRevision_ = 0;
  // Share of the host's capacity in use, in thousandths.
  std::uint32_t loadPermille_ = 0;
};

// The content of a probe and of its answer.
struct Message
{
  HostState sender_;
  std::vector<HostState> updates_;
  // Revision of the platform's list that the sender's view is based on. Zero if
  // the sender doesn't know all hosts; a receiver that does then answers with
  // all of them.
  std::uint64_t listRevision_ = 0;
};

// Periods and limits; the same on all hosts.
struct Settings
{
  absl::Duration probePeriod_ = absl::Seconds(1);
  absl::Duration probeTimeout_ = absl::Milliseconds(300);
  absl::Duration indirectTimeout_ = absl::Milliseconds(700);
  std::uint32_t indirectProbes_ = 3;
  // Time in which a suspect host may refute the suspicion.
  absl::Duration suspicionTimeout_ = absl::Seconds(3);
  // A suspect host is probed again this often by the hosts that have it as a
  // finger and, in the final window before the suspicion ends, by all others.
  absl::Duration recheckPeriod_ = absl::Milliseconds(500);
  absl::Duration finalRecheckWindow_ = absl::Milliseconds(1500);
  // Largest number of suspects that are probed again in one tick.
  std::uint32_t maxRechecks_ = 2;
  // One dead host is probed this often, to detect its return.
  absl::Duration reconnectPeriod_ = absl::Seconds(5);
  // Time to the next probe of a dead host after another one has returned.
  absl::Duration quickReconnectPeriod_ = absl::Milliseconds(100);
  // Time to the next probe after a failed one.
  absl::Duration quickProbePeriod_ = absl::Milliseconds(300);
  // Dead and leaving hosts are forgotten after this time.
  absl::Duration forgetAfter_ = absl::Minutes(10);
  std::uint32_t listReaders_ = 3;
  absl::Duration listPeriod_ = absl::Seconds(1);
  // Period of the list reads of a host that is no reader but sees too few live
  // hosts, or whose initial reads found no list.
  absl::Duration isolatedListPeriod_ = absl::Seconds(5);
  std::uint32_t initialListReads_ = 5;
  // Largest number of rumours in one message.
  std::uint32_t maxRumours_ = 32;
  // Other known states in one message.
  std::uint32_t repeatedStates_ = 2;
  // A rumour is sent this many times the binary logarithm of the number of
  // hosts.
  std::uint32_t rumourFactor_ = 2;
  // Rumours about a host carry its addresses for this time after they became
  // known.
  absl::Duration addressRumourTime_ = absl::Minutes(1);
  // Shortest time between two rounds of probes to all fingers.
  absl::Duration pushPeriod_ = absl::Milliseconds(300);
  // A host that has reached neither the platform nor a peer for this time takes
  // no new work.
  absl::Duration isolationTimeout_ = absl::Seconds(10);
  // Without the platform, a host takes new work only if more than this part of
  // the known hosts is alive in its view.
  double minPeerShare_ = 0.5;
  // Load from which a host is ranked last in EntriesFor, and below which it is
  // ranked normally again.
  std::uint32_t overloadedPermille_ = 900;
  std::uint32_t relievedPermille_ = 750;
  // Shortest time between two incarnations that announce a change of the load.
  absl::Duration loadUpdatePeriod_ = absl::Seconds(5);
  // Lifetime of an answer of EntriesFor.
  absl::Duration entriesTtl_ = absl::Seconds(15);
  // Time in which the status of a leaving host reaches all hosts.
  absl::Duration leaveSpreadTime_ = absl::Seconds(3);
  // After a longer time between two ticks this process counts as having been
  // paused.
  absl::Duration pauseThreshold_ = absl::Seconds(2);
};

// The state of another host in this host's view.
struct Member
{
  HostState state_;
  // When its status last changed.
  absl::Time changedAt_ = absl::InfinitePast();
  // When its addresses became known.
  absl::Time addressesKnownSince_ = absl::InfinitePast();
  absl::Time suspectUntil_ = absl::InfiniteFuture();
  absl::Time nextRecheck_ = absl::InfinitePast();
  // The host was on the last list that this host read.
  bool listed_ = false;
  bool overloaded_ = false;
  // The host is leaving and no longer answers.
  bool unreachable_ = false;
};

// The state of a target or store in the platform's list, kept once it has been
// leaving.
struct ListedTarget
{
  bool leaving_ = false;
  std::uint64_t listRevision_ = 0;
  absl::Time changedAt_ = absl::InfinitePast();
};

enum class ProbeKind
{
  Direct,
  // Sent on behalf of another host.
  Relayed,
};

// A probe without a result yet, or the indirect probes that followed it.
struct PendingProbe
{
  std::string name_;
  ProbeKind kind_ = ProbeKind::Direct;
  // Id of the request of the host for which the probe is relayed.
  std::uint64_t relayFor_ = 0;
  absl::Time deadline_;
  // Indirect probes without an answer; zero while the direct probe is open.
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

// Orders the rumours for sending: leaving hosts and list changes of targets
// come first, then the rumours that were sent least often.
struct RumourKey
{
  bool urgent_ = false;
  std::uint32_t timesSent_ = 0;
  std::string name_;

  friend bool operator<(const RumourKey& aLeft, const RumourKey& aRight)
  {
    if (aLeft.urgent_ != aRight.urgent_) {
      return aLeft.urgent_;
    }
    return aLeft.timesSent_ != aRight.timesSent_
             ? aLeft.timesSent_ < aRight.timesSent_
             : aLeft.name_ < aRight.name_;
  }
};

// The whole membership state of one host.
struct State
{
  Settings settings_;
  HostState self_;
  absl::btree_map<std::string, Member> members_;
  absl::btree_map<std::string, ListedTarget> targets_;
  // Rumours that are still spread.
  absl::btree_set<RumourKey> rumours_;
  absl::flat_hash_map<std::string, RumourKey> rumourKeys_;
  // The last host whose state was repeated; the next message continues after
  // it.
  std::string repeatAfter_;
  absl::btree_set<std::string> suspects_;
  // Hosts that this one probes in turn, at the ring distances 1, 2, 4, ...
  std::vector<std::string> fingers_;
  bool fingersStale_ = true;
  std::size_t nextFinger_ = 0;
  std::string lastReconnect_;
  absl::btree_map<std::uint64_t, PendingProbe> pending_;
  std::uint64_t nextId_ = 1;
  std::uint64_t listRevision_ = 0;
  // Revision of the list on which a peer's answer with all hosts was based.
  std::uint64_t peerListRevision_ = 0;
  // Peer addresses that are probed for the list of all hosts while neither the
  // platform nor a peer has supplied it.
  std::vector<std::string> seeds_;
  std::size_t nextSeed_ = 0;
  absl::Time nextSeedProbe_ = absl::InfinitePast();
  bool selfListed_ = false;
  bool selfOverloaded_ = false;
  bool pushPending_ = false;
  absl::Time nextProbe_ = absl::InfinitePast();
  absl::Time nextListRead_ = absl::InfinitePast();
  absl::Time nextReconnect_ = absl::InfinitePast();
  absl::Time nextPush_ = absl::InfinitePast();
  absl::Time nextForget_ = absl::InfinitePast();
  absl::Time lastTick_ = absl::InfinitePast();
  absl::Time lastPlatformContact_ = absl::InfinitePast();
  absl::Time lastPeerContact_ = absl::InfinitePast();
  absl::Time lastLoadUpdate_ = absl::InfinitePast();
  absl::Time drainStarted_ = absl::InfiniteFuture();
  Counters counters_;
};

// Comes about every 100 ms and drives everything that depends on time.
struct Tick
{};

// A probe that this host sent was answered.
struct ProbeAnswered
{
  std::uint64_t id_ = 0;
  Message message_;
};

// A probe that this host sent got no answer within its timeout.
struct ProbeFailed
{
  std::uint64_t id_ = 0;
};

// A helper answered a RequestIndirectProbe, or could not be reached.
struct IndirectProbeAnswered
{
  std::uint64_t id_ = 0;
  bool reached_ = false;
};

// Another host probes this one. The AnswerProbe effect carries the same id.
struct ProbeReceived
{
  std::uint64_t id_ = 0;
  Message message_;
};

// Another host requests that this one probe a suspect. The AnswerIndirectProbe
// effect carries the same id.
struct IndirectProbeRequested
{
  std::uint64_t id_ = 0;
  std::string suspect_;
  std::string address_;
};

// The platform's list of hosts was read, or the read failed.
struct HostListRead
{
  bool ok_ = false;
  std::uint64_t revision_ = 0;
  std::vector<platform::Host> hosts_;
};

// A call to the platform other than a list read succeeded.
struct PlatformReached
{};

// This host starts to drain.
struct DrainStarted
{};

// The configuration revision or the load of this host changed.
struct OwnStateChanged
{
  std::uint64_t configRevision_ = 0;
  std::uint32_t loadPermille_ = 0;
};

// One input of Step and the time at which it is handled.
struct Event
{
  absl::Time at_;
  absl::variant<Tick,
                ProbeAnswered,
                ProbeFailed,
                IndirectProbeAnswered,
                ProbeReceived,
                IndirectProbeRequested,
                HostListRead,
                PlatformReached,
                DrainStarted,
                OwnStateChanged>
    body_;
};

// Probes a host. The result is a ProbeAnswered or ProbeFailed event.
struct SendProbe
{
  std::uint64_t id_ = 0;
  std::string name_;
  std::string address_;
  absl::Duration timeout_;
  Message message_;
};

// Requests that another host probe a suspect. The result is an
// IndirectProbeAnswered event.
struct RequestIndirectProbe
{
  std::uint64_t id_ = 0;
  std::string viaAddress_;
  std::string suspect_;
  std::string suspectAddress_;
  absl::Duration timeout_;
};

// Answers a ProbeReceived event.
struct AnswerProbe
{
  std::uint64_t id_ = 0;
  Message message_;
};

// Answers an IndirectProbeRequested event.
struct AnswerIndirectProbe
{
  std::uint64_t id_ = 0;
  bool reached_ = false;
};

// Reads the platform's list of hosts. The result is a HostListRead event.
struct ReadHostList
{};

// A peer has a newer configuration in force. Repeated with each message until
// OwnStateChanged reports that this host uses that configuration.
struct NewerConfigFound
{
  std::uint64_t revision_ = 0;
  std::string peerAddress_;
};

// This host has to drain: the platform's list marks it as leaving or no longer
// contains it, or a peer reports it as leaving.
struct DrainRequired
{};

// A target or store is marked as leaving in the platform's list, or no longer
// is.
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
                             RequestIndirectProbe,
                             AnswerProbe,
                             AnswerIndirectProbe,
                             ReadHostList,
                             NewerConfigFound,
                             DrainRequired,
                             TargetChanged,
                             Log>;

// Returns the state of a host that starts now. Its incarnation is the time in
// milliseconds, so that it is higher than that of an earlier process of the
// same name. aSeeds are peer addresses to query for all hosts if the platform
// can't be reached; the host's own address among them is ignored.
State
MakeInitialState(const HostState& aSelf,
                 const Settings& aSettings,
                 absl::Time aNow,
                 const std::vector<std::string>& aSeeds = {});

// Handles one event and returns the effects to carry out, in order.
std::vector<Effect>
Step(State& aState, const Event& aEvent);

// Returns whether this host may take new work. Without the platform it has to
// see enough live peers, since otherwise the configuration may change without
// its notice. It also has to know all hosts, since otherwise the few that it
// knows would count as enough.
bool
MayServe(const State& aState, absl::Time aNow);

// Returns the hosts that take new work, including this one, ordered by name.
std::vector<HostState>
LiveHosts(const State& aState);

// Returns all known hosts ordered by name, for operators.
std::vector<HostState>
AllHosts(const State& aState);

// Returns whether the platform's list marks a target or store as leaving.
bool
IsTargetLeaving(const State& aState, absl::string_view aName);

// The entry hosts that a workspace's callers should use, best first, and how
// long the list is valid.
struct Entries
{
  std::vector<HostState> hosts_;
  absl::Duration ttl_;
};

// Returns the aCount best live hosts for a workspace; overloaded hosts come
// last.
Entries
EntriesFor(const State& aState,
           absl::string_view aWorkspace,
           std::size_t aCount);

// Returns when the last answer of EntriesFor with this draining host has
// expired; the infinite future if this host doesn't drain.
absl::Time
DrainedAfter(const State& aState);

} // namespace lycheeplank::membership

#endif
