#ifndef LYCHEEPLANK_TARGET_LIMITS_H
#define LYCHEEPLANK_TARGET_LIMITS_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"
#include "lycheeplank/entry_hosts.h"
#include "lycheeplank/fleet.h"

// Limits on requests per second that targets name for all hosts together. One
// host per target, its issuer, keeps a token bucket; the others ask it for a
// permit before each request. A share of the limit for each host would not do:
// with hundreds of hosts, one request of each is already too many.
//
// A cold target has a limit in the same way, which ends by itself. Hosts learn
// that a target is cold from its entry, from the end of an evacuation or from
// evidence of a crash, and don't tell each other its rate or end.
namespace lycheeplank::target_limits {

// What a host says of a target's limit.
struct Statement
{
  std::string target_;
  // Start time of the target's process, in milliseconds since 1970.
  std::int64_t startedAtMs_ = 0;
  // No value: the target names no limit any more.
  absl::optional<double> perSecond_;
  // Time since the answer that named the limit, or since the request was sent
  // whose answer named none.
  absl::Duration age_ = absl::ZeroDuration();
  // In asks: the sender's limit holds because the target is cold, and the
  // revision of the target's entry that the sender has.
  bool isCold_ = false;
  std::uint64_t entryRevision_ = 0;
};

enum class MessageKind
{
  // A target has named a limit, changed it or ended it.
  Statement,
  // The sender issues the permits for the targets.
  Announcement,
  // Asks the issuer for a permit.
  Ask,
  Reply,
  // Targets have crashed. Their limits don't matter; see crash_evidence.
  Crash,
};

inline constexpr std::array<core::Named<MessageKind>, 5> kMessageKinds{ {
  { MessageKind::Statement, "statement" },
  { MessageKind::Announcement, "announcement" },
  { MessageKind::Ask, "ask" },
  { MessageKind::Reply, "reply" },
  { MessageKind::Crash, "crash" },
} };

enum class Verdict
{
  Granted,
  Denied,
  // The target has no limit any more.
  Unlimited,
  // The asked host doesn't issue the target's permits, or doesn't answer.
  NoIssuer,
};

inline constexpr std::array<core::Named<Verdict>, 4> kVerdicts{ {
  { Verdict::Granted, "granted" },
  { Verdict::Denied, "denied" },
  { Verdict::Unlimited, "unlimited" },
  { Verdict::NoIssuer, "no_issuer" },
} };

struct Permit
{
  Verdict verdict_ = Verdict::NoIssuer;
  // Time until the next permit can be issued.
  absl::Duration nextPermit_ = absl::ZeroDuration();
  // Time after which a refused caller may retry; differs from caller to caller.
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

inline bool
MaySend(const Permit& aPermit)
{
  return aPermit.verdict_ == Verdict::Granted ||
         aPermit.verdict_ == Verdict::Unlimited;
}

// A datagram between hosts.
struct Message
{
  MessageKind kind_ = MessageKind::Statement;
  std::string sender_;
  std::string dataCentre_;
  // Number of the ask, in asks and replies.
  std::uint64_t ask_ = 0;
  // The request is refused if this permit is denied.
  bool isLastChoice_ = false;
  Permit permit_;
  std::vector<Statement> limits_;
};

// Encodes a message; ReadMessage returns nothing if the text isn't one.
std::string
WriteMessage(const Message& aMessage);
absl::optional<Message>
ReadMessage(absl::string_view aText);

// What this host knows of the limit of one target, and its part in issuing
// permits.
struct Record
{
  std::int64_t startedAtMs_ = 0;
  std::string dataCentre_;
  absl::optional<double> perSecond_;
  absl::Time statedAt_ = absl::InfinitePast();
  // Limit while the target is cold, and the time at which it ends. If the
  // target names a limit as well, the lower one applies.
  absl::optional<double> warmupPerSecond_;
  absl::Time warmupUntil_ = absl::InfinitePast();

  // This host issues the permits.
  bool issues_ = false;
  double tokens_ = 0.0;
  absl::Time refilledAt_ = absl::InfinitePast();
  // Latest time at which a refused caller was told to retry.
  absl::Time bookedUntil_ = absl::InfinitePast();
  // Cold targets: hosts that were denied a permit and told when to ask again,
  // in units of permits.
  double denied_ = 0.0;
  absl::Time announcedAt_ = absl::InfinitePast();

  // The best-placed host that recently announced that it issues the permits.
  std::string issuer_;
  absl::Time issuerHeardAt_ = absl::InfinitePast();
  // Last announcement of a host that precedes this one.
  absl::Time precedingHeardAt_ = absl::InfinitePast();
  // Since when no preceding host has announced itself.
  absl::Time silentSince_ = absl::InfinitePast();
};

struct State
{
  std::string self_;
  // By id of the target.
  absl::btree_map<std::string, Record> records_;
  absl::Time tickedAt_ = absl::InfinitePast();
};

// Period of an issuer's announcements, and the silence after which the next
// host takes over: two lost announcements in a row.
inline constexpr absl::Duration kAnnouncePeriod = absl::Milliseconds(500);
inline constexpr absl::Duration kIssuerSilence = absl::Milliseconds(1500);
// Additional silence for each further host in the order of succession, so that
// one of them announces itself before the next one takes over.
inline constexpr absl::Duration kSuccessionStep = absl::Seconds(1);
// Period of Tick, and the gap between two ticks that counts as a freeze of this
// host.
inline constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
inline constexpr absl::Duration kMaxTickGap = absl::Milliseconds(500);
// An answer without a limit ends it only if its request was sent this long
// after the last answer with one: answers on different connections overtake
// each other, and hosts hear of them at different times.
inline constexpr absl::Duration kEndMargin = absl::Milliseconds(500);
// Permits that an idle target accumulates beyond one.
inline constexpr absl::Duration kBurstTime = absl::Milliseconds(200);
// Rate for targets that name a lower one; an answer of the target is the only
// way to find out that its limit has ended.
inline constexpr double kMinPerSecond = 0.1;
// Longest Retry-After.
inline constexpr absl::Duration kMaxRetryAfter = absl::Seconds(10);
// Time until the next ask if there is no issuer.
inline constexpr absl::Duration kNoIssuerPause = absl::Milliseconds(100);
// Hosts that were denied a permit for a cold target ask again after pauses that
// make this many of them ask per permit. When many targets return at once, all
// hosts want all of them, and asks would use up the processors of small hosts.
// More than one asks because some have no request by then.
inline constexpr double kColdAsksPerPermit = 2.0;
inline constexpr absl::Duration kMaxColdPause = absl::Seconds(4);
// Records without a limit, or of unknown targets, are kept for this long.
inline constexpr absl::Duration kRetention = absl::Minutes(1);

enum class Change
{
  None,
  Named,
  Changed,
  Ended,
};

inline constexpr std::array<core::Named<Change>, 4> kChanges{ {
  { Change::None, "none" },
  { Change::Named, "named" },
  { Change::Changed, "changed" },
  { Change::Ended, "ended" },
} };

// Records that a target names a limit, or none, and updates its member. aAt:
// time of the answer that names it, or time at which the request was sent whose
// answer names none.
Change
Note(State& aState,
     fleet::Member& aMember,
     absl::optional<double> aPerSecond,
     absl::Time aAt,
     absl::Time aNow);

// Records that a target is cold until a time, and updates its member. Never
// shortens the time, since evidence may be older than what is known. Returns
// whether the target wasn't cold before.
bool
NoteCold(State& aState,
         fleet::Member& aMember,
         double aPerSecond,
         absl::Time aUntil,
         absl::Time aNow);

// Sets the limit of a member after it was updated from the target's entry.
void
Apply(const State& aState, fleet::Member& aMember);

// Records that a host issues the permits of a target.
void
NoteIssuer(State& aState,
           const entry_hosts::Hosts& aHosts,
           const std::string& aTarget,
           const std::string& aHost,
           absl::string_view aDataCentre,
           absl::Time aNow);

// Ends the limits of targets that aren't cold any more, starts or stops issuing
// permits, and returns the targets whose permits this host has to announce now.
// Call it every kTickPeriod.
std::vector<std::string>
Tick(State& aState,
     const entry_hosts::Hosts& aHosts,
     fleet::Members& aMembers,
     absl::Time aNow);

// Returns the targets whose permits this host issues.
std::vector<std::string>
IssuedTargets(const State& aState);

// Returns the host to ask for a permit; empty if there is none.
std::string
IssuerOf(const State& aState,
         const entry_hosts::Hosts& aHosts,
         const std::string& aTarget,
         absl::Time aNow);

// Decides as the issuer about a request to a target. aIsLastChoice: the request
// is refused if the permit is denied.
Permit
Issue(State& aState,
      const std::string& aTarget,
      bool aIsLastChoice,
      absl::Time aNow);

// Answers another host's ask for a permit. If the sender takes the target for
// cold and this host doesn't, this host's knowledge decides only if its entry
// of the target isn't older.
Permit
IssueFor(State& aState,
         const fleet::Members& aMembers,
         const Statement& aAsk,
         bool aIsLastChoice,
         absl::Time aNow);

// Returns the statement that goes with an ask for a permit.
Statement
AskOf(const State& aState, const fleet::Member& aMember, absl::Time aNow);

// Returns the statement of a target's limit; nothing if no limit is known.
absl::optional<Statement>
StatementOf(const State& aState, const std::string& aTarget, absl::Time aNow);

} // namespace lycheeplank::target_limits

#endif
