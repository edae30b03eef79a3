#ifndef LYCHEEPLANK_POISON_H
#define LYCHEEPLANK_POISON_H

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"

// Finds traits of requests that crash each target which begins to answer a
// request with them, and blocks such requests on all hosts. Hosts share their
// evidence, because each of them sees few of the crashes.
//
// Evidence against a trait: a target's process is lost while requests with the
// trait wait there for the begin of their answers. It counts the more, the
// fewer of the other requests are lost. Evidence for a trait: an answer to a
// request with it begins.
namespace lycheeplank::poison {

// What requests can have in common.
enum class TraitKind
{
  // A part of a prompt, which different requests share.
  Part,
  // The contents of a request, which all attempts at it share.
  Request,
};

// Sorted ids of traits.
using Traits = std::vector<std::string>;

// Returns the id of the trait that all attempts at one request share.
// aFingerprint: hash of the request's contents.
std::string
RequestTrait(absl::string_view aFingerprint);

TraitKind
KindOf(absl::string_view aTrait);

// One start of a target.
struct Start
{
  std::string target_;
  // In milliseconds since 1970.
  std::int64_t startedAtMs_ = 0;

  friend bool operator==(const Start& aLeft, const Start& aRight)
  {
    return aLeft.target_ == aRight.target_ &&
           aLeft.startedAtMs_ == aRight.startedAtMs_;
  }
};

// Answers of one group of comparable requests that have begun, and requests
// that were lost before. Both decay with kTrafficTime.
struct Traffic
{
  double begun_ = 0.0;
  double lost_ = 0.0;
  absl::Time at_ = absl::InfinitePast();
};
using TrafficByGroup = absl::btree_map<std::string, Traffic>;

// A request that was lost before its answer began.
struct Loss
{
  Start start_;
  // Hash of the request's id.
  std::uint64_t request_ = 0;
  // Host that sent the request.
  std::string host_;
  // Without traits with which answers have just begun at that host.
  Traits traits_;
  absl::Time at_ = absl::InfinitePast();
  // Group of comparable requests, see GroupOf.
  std::string group_;
};

// Returns the group of a service's requests of one route.
std::string
GroupOf(absl::string_view aService, absl::string_view aRoute);

// Traits whose requests are blocked if they have all of them.
struct Block
{
  Traits traits_;
  // Number of crashes that led to the block, and times of the first and the
  // last of them.
  std::uint64_t crashes_ = 0;
  absl::Time firstCrashAt_ = absl::InfinitePast();
  absl::Time lastCrashAt_ = absl::InfinitePast();
  // Negative logarithm of the chance of these losses if the traits were sound.
  double surprise_ = 0.0;
};

// The last time at which an answer to a request with a trait began.
struct Begin
{
  std::string trait_;
  absl::Time at_ = absl::InfinitePast();
};

// The last time at which a start of a target is known to have sent bytes.
struct Sighting
{
  Start start_;
  absl::Time at_ = absl::InfinitePast();
};

// The last time at which a request with a suspected trait was tried again.
struct Trial
{
  std::string trait_;
  absl::Time at_ = absl::InfinitePast();
};

// A datagram between hosts. Clocks of hosts differ, so it carries ages instead
// of times.
struct Message
{
  std::string sender_;
  // The sender has just started and asks for all blocks.
  bool asksForBlocks_ = false;
  std::vector<Loss> losses_;
  std::vector<Begin> begins_;
  std::vector<Sighting> sightings_;
  std::vector<Block> blocks_;
  // Requests that the sender has tried again after many crashes.
  std::vector<Trial> trials_;
  // Traffic of the sender.
  TrafficByGroup traffic_;
};

// Encodes a message that is sent at aNow. ReadMessage returns nothing if the
// text isn't a message; aSentAt is the earliest time at which it may have been
// sent.
std::string
WriteMessage(const Message& aMessage, absl::Time aNow);
absl::optional<Message>
ReadMessage(absl::string_view aText, absl::Time aSentAt);

// Returns whether a datagram is one of these messages.
bool
IsMessage(absl::string_view aText);

// The loss of one start of a target with the requests that waited there.
struct Crash
{
  Start start_;
  // Time of the first loss.
  absl::Time at_ = absl::InfinitePast();
  std::vector<Loss> losses_;
  // When the crash was first evaluated, the traffic of all hosts then, and that
  // of each host which lost requests.
  absl::Time evaluatedAt_ = absl::InfinitePast();
  absl::optional<TrafficByGroup> traffic_;
  absl::btree_map<std::string, TrafficByGroup> trafficByHost_;
};

// Times at which answers with traits of one kind last began, in two
// generations; the older one is dropped when the newer one is full.
struct BeginTimes
{
  absl::flat_hash_map<std::string, absl::Time> newer_;
  absl::flat_hash_map<std::string, absl::Time> older_;
};

// What one host knows.
struct State
{
  std::string self_;
  // Number of known hosts, and of ticks with more than one.
  std::size_t hosts_ = 1;
  int ticks_ = 0;
  std::vector<Crash> crashes_;
  std::vector<Block> blocks_;
  // Last bytes of the starts at which requests were lost, by target.
  absl::flat_hash_map<std::string, Sighting> sightings_;
  // By kind: fingerprints are far more numerous than parts and would displace
  // them.
  absl::btree_map<TraitKind, BeginTimes> begins_;
  struct Suspicion
  {
    absl::Time lostAt_ = absl::InfinitePast();
    absl::Time triedAt_ = absl::InfinitePast();
    // Lost requests since an answer began, as far as this host knows.
    std::size_t losses_ = 0;
    // The last begin that all hosts were told of, and the moments of crashes
    // since: their number and the first and the last of them.
    absl::Time toldBeginAt_ = absl::InfinitePast();
    std::size_t moments_ = 0;
    absl::Time firstMomentAt_ = absl::InfinitePast();
    absl::Time lastMomentAt_ = absl::InfinitePast();
    // How often the wait between attempts has doubled, and the time of the loss
    // that set it.
    int doublings_ = 0;
    absl::Time waitSetAt_ = absl::InfinitePast();
  };
  // Traits of lost requests and of blocks.
  absl::btree_map<std::string, Suspicion> suspects_;
  // When the evidence has to be evaluated next.
  absl::Time evaluateAt_ = absl::InfiniteFuture();
  // Traffic of this host and the last reports of the others.
  TrafficByGroup ownTraffic_;
  absl::flat_hash_map<std::string, TrafficByGroup> peerTraffic_;
  // This host has lost requests since it last told its traffic.
  bool hasNewLosses_ = false;
  absl::Time trafficToldAt_ = absl::InfinitePast();
  // Time of the last message to all hosts.
  absl::Time toldAt_ = absl::InfinitePast();

  // News for the other hosts, with the number of messages that will still
  // contain each.
  struct NewLoss
  {
    Loss loss_;
    int repeats_ = 0;
  };
  std::vector<NewLoss> newLosses_;
  absl::btree_map<std::string, int> newBegins_;
  absl::btree_map<std::string, int> newSightings_;
  absl::btree_map<std::string, int> newBlocks_;
};

// Crashes of distinct moments that block traits with which no answer has begun
// before, and such with which one has.
inline constexpr std::size_t kMinMoments = 3;
inline constexpr std::size_t kMinMomentsAfterSuccess = 6;
// The moments of the former at which no known block explains the crash.
inline constexpr std::size_t kMinUnexplained = 2;
// Surprise that a block needs: the chance that so many requests with a sound
// trait are lost in a row is one in 20,000. What one moment can contribute is
// bounded, so that no block rests on fewer than three.
inline constexpr double kMinSurprise = 10.0;
inline constexpr double kMaxSurprisePerMoment = 4.605;
// Causes that would have to coincide if a trait was sound that is lost only
// with other traits which might be the cause.
inline constexpr std::size_t kMinCauses = 4;
// Traffic counts half as much after 0.7 of this time.
inline constexpr absl::Duration kTrafficTime = absl::Seconds(10);
// Evidence that comes within this time goes into one message.
inline constexpr absl::Duration kTellPeriod = absl::Milliseconds(180);
// Evidence that has been told is repeated after this time at the latest.
inline constexpr absl::Duration kRepeatPeriod = absl::Milliseconds(380);
// Losses after this time without messages are told without waiting for others.
inline constexpr absl::Duration kQuietTime = absl::Seconds(1);
// A host finds all requests that it has lost in one crash within this time.
inline constexpr absl::Duration kLossTime = absl::Milliseconds(5);
// A host that loses requests tells its traffic this often.
inline constexpr absl::Duration kTrafficPeriod = absl::Seconds(1);
// A trait with which an answer has begun this long ago at a host isn't
// suspected by that host.
inline constexpr absl::Duration kProvenTime = absl::Seconds(2);
// Moments after which the other hosts are told that answers with a trait begin.
// Must be less than kMinMoments.
inline constexpr std::size_t kTellMoments = 2;
// Crashes within this time count as one moment: when many targets are lost
// together, a trait that waits at several of them has no chance to begin in
// between.
inline constexpr absl::Duration kMomentTime = absl::Milliseconds(100);
// What differs between the kinds of traits.
struct KindLimits
{
  TraitKind kind_ = TraitKind::Part;
  // Different requests, and hosts that sent them if there are several hosts,
  // that must have been lost. One host may lose its requests because it is cut
  // off, so its own traffic decides if it is the only one.
  std::size_t minRequests_ = 1;
  std::size_t minHosts_ = 1;
  // Losses that make it the likely cause of a crash in which requests without
  // it are lost.
  std::size_t suspectLosses_ = 1;
  // Moments of crashes after which requests with the trait wait until the
  // crashes are evaluated, before their first send and after they have been
  // lost themselves, and after which they wait longer and longer.
  std::size_t waitMoments_ = 1;
  std::size_t resendMoments_ = 1;
  std::size_t backoffMoments_ = 1;
};

inline constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();
inline constexpr std::array<KindLimits, 2> kKindLimits{ {
  // One request may crash targets whatever its parts are.
  { TraitKind::Part, 2, 2, kMinMoments, kNever, 2, kNever },
  { TraitKind::Request, 1, 1, 2, 1, 2, 3 },
} };
// First time of the exponential backoff, and its longest.
inline constexpr absl::Duration kMinBackoff = absl::Seconds(2);
inline constexpr absl::Duration kMaxBackoff = absl::Seconds(30);
// Evidence is used when it is this old, so that contrary evidence of other
// hosts has arrived.
inline constexpr absl::Duration kSettleTime = absl::Milliseconds(250);
// Bytes of a target may arrive this long after its connections were reset.
inline constexpr absl::Duration kLateBytesTime = absl::Milliseconds(50);
// A block ends this long after the last crash under its traits. Each trial of
// the traits would cost a target, so there are none before.
inline constexpr absl::Duration kBlockTime = absl::Minutes(10);
inline constexpr absl::Duration kEvidenceTime = absl::Minutes(1);
inline constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
// Crashes are evaluated within this time on all hosts.
inline const absl::Duration kEvaluationTime =
  kSettleTime + kTellPeriod + kTickPeriod;
// Ticks after the start in which a host asks for blocks, each time another
// host, and draws no conclusions of its own, because it doesn't know which
// answers began before its start; and ticks after which each host sends its
// blocks to a random one, so that hosts learn them that were cut off or lost
// messages.
inline constexpr int kAskingTicks = 20;
inline constexpr int kBlockTicks = 5;
// Retry-After of blocked requests: longer than callers wait as a rule.
inline constexpr absl::Duration kRetryAfter = absl::Seconds(30);
// Bounds of a host's memory; the oldest evidence is dropped first.
inline constexpr std::size_t kMaxCrashes = 256;
inline constexpr std::size_t kMaxLossesPerCrash = 32;
// The last lost requests of a trait that are evaluated.
inline constexpr std::size_t kMaxCases = 64;
inline constexpr std::size_t kMaxTraits = 17;
inline constexpr std::size_t kMaxSoundTraits = 4096;
inline constexpr std::size_t kMaxBlocks = 32;
inline constexpr std::size_t kMaxSuspects = 4096;
// Items of one kind per message, so that it fits into one packet or few.
inline constexpr std::size_t kMaxItems = 16;
inline constexpr std::size_t kMaxGroups = 16;
// Losses that wait to be told.
inline constexpr std::size_t kMaxNewLosses = 64;
// Number of messages that contain each item, so that some may be lost.
inline constexpr int kRepeats = 3;
inline constexpr int kLossRepeats = 2;

// Records that a request of this host was lost before its answer began.
void
RecordLoss(State& aState,
           const Start& aStart,
           std::uint64_t aRequest,
           const Traits& aTraits,
           absl::Time aNow,
           const std::string& aGroup = {});

// Records that an answer to a request with these traits has begun, and bytes of
// a target. aSentAt: the earliest time at which the target may have sent them.
void
RecordBegin(State& aState,
            const Traits& aTraits,
            absl::Time aSentAt,
            const std::string& aGroup = {});
void
RecordBytes(State& aState,
            absl::string_view aTarget,
            std::int64_t aStartedAtMs,
            absl::Time aSentAt);

// Returns the block that a request with these traits falls under, or nullptr.
const Block*
FindBlock(const State& aState, const Traits& aTraits, absl::Time aNow);

struct Delay
{
  absl::Duration time_ = absl::ZeroDuration();
  // Many crashes have proved nothing yet, so the request is tried again only
  // after longer and longer times, and refused meanwhile.
  bool isBackoff_ = false;
};

// Returns how long a request with these traits must not be sent: until the
// crashes of a trait that may be their cause are evaluated, or until it may be
// tried again. aIsResend: the request itself has been lost.
Delay
SendDelay(const State& aState,
          const Traits& aTraits,
          bool aIsResend,
          absl::Time aNow);

enum class Change
{
  // Requests with the traits are blocked from now on.
  Blocked,
  // Fewer traits than before are needed for a block, because the others proved
  // sound.
  Narrowed,
  // An answer with the traits has begun, or the time is over.
  Ended,
};

inline constexpr std::array<core::Named<Change>, 3> kChanges{ {
  { Change::Blocked, "blocked" },
  { Change::Narrowed, "narrowed" },
  { Change::Ended, "ended" },
} };

struct BlockChange
{
  Change change_ = Change::Blocked;
  Block block_;
};

// Result of a step: what has changed, and the messages to send to all other
// hosts, to a random one, and to the sender of the received message.
struct Step
{
  std::vector<BlockChange> changes_;
  absl::optional<Message> toAll_;
  absl::optional<Message> toAny_;
  absl::optional<Message> reply_;
};

// Records that a request with these traits is sent. Returns a message to all
// other hosts if it is tried again after many crashes, so that no two hosts try
// it at the same time.
absl::optional<Message>
RecordSend(State& aState, const Traits& aTraits, absl::Time aNow);

// Returns a message to all other hosts with new losses unless the last one was
// sent within kQuietTime. Call it kLossTime after a loss.
absl::optional<Message>
TellLosses(State& aState, absl::Time aNow);

// Evaluates the evidence. Call it every kTickPeriod.
Step
Tick(State& aState, absl::Time aNow);

// Records another host's message.
Step
Receive(State& aState, const Message& aMessage, absl::Time aNow);

} // namespace lycheeplank::poison

#endif
