#ifndef LYCHEEPLANK_CLAIMS_H
#define LYCHEEPLANK_CLAIMS_H

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"
#include "lycheeplank/platform.h"

// Makes non-idempotent calls run at most once: an attempt may run only after
// its claim on the idempotency key is durable in the platform service.
//
// The contract with the holder, the host that runs an attempt:
// - an attempt id is new for each try and is asked for once, at one host;
// - the holder runs an attempt at most once, and only when it was granted;
// - when the answer is unavailable, or none comes in time, the holder gives the
//   attempt up and reports it withdrawn until that is recorded;
// - once a byte was sent to a target, only done or unknown may be reported.
//
// The time of an event is the clock of the host that handles it.
namespace lycheeplank::claims {

// What an ask for a claim is answered with.
enum class Verdict
{
  // The attempt holds the claim and may run.
  Granted,
  // An earlier attempt ran; its answer is given.
  Done,
  // The holder of an earlier attempt said lately that it is running it.
  InProgress,
  // An earlier attempt may or may not have run.
  Unknown,
  // The key was used for another request.
  Mismatch,
  // The key's own time is older than the retention.
  Expired,
  // The claim could not be made durable; the attempt must not run.
  Unavailable,
};

inline constexpr std::array<core::Named<Verdict>, 7> kVerdicts{ {
  { Verdict::Granted, "granted" },
  { Verdict::Done, "done" },
  { Verdict::InProgress, "in_progress" },
  { Verdict::Unknown, "unknown" },
  { Verdict::Mismatch, "mismatch" },
  { Verdict::Expired, "expired" },
  { Verdict::Unavailable, "unavailable" },
} };

// What became of a granted attempt.
enum class AttemptOutcome
{
  Done,
  // No byte was sent to a target, and none will be.
  Withdrawn,
  Unknown,
};

inline constexpr std::array<core::Named<AttemptOutcome>, 3> kAttemptOutcomes{ {
  { AttemptOutcome::Done, "done" },
  { AttemptOutcome::Withdrawn, "withdrawn" },
  { AttemptOutcome::Unknown, "unknown" },
} };

// The answer of a call, kept for repeats.
struct StoredAnswer
{
  std::uint32_t status_ = 0;
  std::string contentType_;
  std::string body_;

  friend bool operator==(const StoredAnswer& aLeft,
                         const StoredAnswer& aRight) = default;
};

struct Settings
{
  // Random and new for each start of a process; part of object names.
  std::string instance_;
  // Used by the first host ever to start; later the stored number counts.
  std::uint32_t shards_ = 8;
  absl::Duration retention_ = absl::Hours(24);
  // Longest time that clocks of hosts and callers are taken to differ.
  absl::Duration clockMargin_ = absl::Minutes(5);
  // Longest time until an ask or a report is answered.
  absl::Duration askTimeout_ = absl::Seconds(1);
  // Shortest time between two writes of one shard's register.
  absl::Duration writeInterval_ = absl::Milliseconds(100);
  // Longest time that an outcome waits for a claim to share its write.
  absl::Duration outcomeDelay_ = absl::Milliseconds(500);
  // How long a holder's word that it is running an attempt counts.
  absl::Duration runningFresh_ = absl::Seconds(5);
  absl::Duration firstBackoff_ = absl::Milliseconds(50);
  absl::Duration maxBackoff_ = absl::Seconds(2);
  // A shard without work is dropped from memory after this time.
  absl::Duration idleTimeout_ = absl::Minutes(10);
  absl::Duration sweepInterval_ = absl::Hours(1);
  // Open records move to a segment once they are larger than this.
  std::uint32_t maxOpenBytes_ = 16U << 10U;
  // Larger answers become objects of their own.
  std::uint32_t inlineAnswerBytes_ = 4U << 10U;
  std::uint32_t maxSegmentBytes_ = 800U << 10U;
  // Neighbouring segments of similar size that are merged into one.
  std::uint32_t mergeCount_ = 6;
  // Asks that wait in one shard before new ones are refused.
  std::uint32_t maxWaiting_ = 2000;
};

// A caller's request needs the claim of its key.
struct ClaimRequest
{
  // Chosen by the sender, above 0, never used twice; the answer carries it.
  std::uint64_t ticket_ = 0;
  std::string workspace_;
  std::string key_;
  std::string attempt_;
  std::string holder_;
  std::string requestDigest_;
  absl::Time now_;
};

// The holder reports what became of its attempt.
struct OutcomeReport
{
  std::uint64_t ticket_ = 0;
  std::string workspace_;
  std::string key_;
  std::string attempt_;
  AttemptOutcome outcome_ = AttemptOutcome::Unknown;
  StoredAnswer answer_;
  absl::Time now_;
};

// The holder says that it is still running its attempt.
struct Heartbeat
{
  std::string workspace_;
  std::string key_;
  std::string attempt_;
  absl::Time now_;
};

// The adapter gives exactly one reply for each command.
struct PlatformReplied
{
  platform::Reply reply_;
  absl::Time now_;
};

// Comes every few milliseconds.
struct Tick
{
  absl::Time now_;
};

struct SettingsChanged
{
  Settings settings_;
};

using Event = std::variant<ClaimRequest,
                           OutcomeReport,
                           Heartbeat,
                           PlatformReplied,
                           Tick,
                           SettingsChanged>;

// Answers an ask.
struct ClaimResponse
{
  std::uint64_t ticket_ = 0;
  Verdict verdict_ = Verdict::Unavailable;
  // Only with Verdict::Done.
  StoredAnswer answer_;
  // When a repeat may learn more; zero if it won't.
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Answers a report; one that is not durable yet is still being recorded.
struct ReportResponse
{
  std::uint64_t ticket_ = 0;
  bool durable_ = false;
};

// Events that operators count.
enum class Counter
{
  Granted,
  Repeated,
  InProgress,
  Unknown,
  Mismatch,
  Expired,
  Unavailable,
  // Another host wrote the register first.
  Conflict,
  // A reply was lost or refused.
  PlatformFailure,
  // A value of the platform could not be decoded or went backwards.
  Corrupt,
  // A report went against what is recorded and was dropped.
  Contradiction,
  // An answer was too large to be kept; the outcome is unknown to repeats.
  AnswerTooLarge,
  // An attempt was withdrawn because its ask was answered too late.
  BackgroundWithdrawal,
  ShardLoaded,
  SegmentWritten,
  ObjectDeleted,
  // The configured number of shards differs from the stored one.
  LayoutDiffers,
};

inline constexpr std::array<core::Named<Counter>, 17> kCounters{ {
  { Counter::Granted, "granted" },
  { Counter::Repeated, "repeated" },
  { Counter::InProgress, "in_progress" },
  { Counter::Unknown, "unknown" },
  { Counter::Mismatch, "mismatch" },
  { Counter::Expired, "expired" },
  { Counter::Unavailable, "unavailable" },
  { Counter::Conflict, "conflict" },
  { Counter::PlatformFailure, "platform_failure" },
  { Counter::Corrupt, "corrupt" },
  { Counter::Contradiction, "contradiction" },
  { Counter::AnswerTooLarge, "answer_too_large" },
  { Counter::BackgroundWithdrawal, "background_withdrawal" },
  { Counter::ShardLoaded, "shard_loaded" },
  { Counter::SegmentWritten, "segment_written" },
  { Counter::ObjectDeleted, "object_deleted" },
  { Counter::LayoutDiffers, "layout_differs" },
} };

struct Count
{
  Counter counter_ = Counter::Granted;
};

// A platform::Command is carried out by an adapter; its id is unique within
// one State.
using Effect =
  std::variant<platform::Command, ClaimResponse, ReportResponse, Count>;

// Defined in src/claims/shard.h.
struct Shard;

// What a command in flight was sent for.
enum class Purpose
{
  ReadLayout,
  CreateLayout,
  ReadTail,
  WriteTail,
  LoadSegment,
  ReadMergeSource,
  WriteSegment,
  WriteAnswer,
  ReadAnswerSegment,
  ReadAnswerObject,
  List,
  Delete,
};

struct Flight
{
  Purpose purpose_ = Purpose::ReadLayout;
  std::uint32_t shard_ = 0;
  // Ticket of an ask or id of a report, where the purpose has one.
  std::uint64_t subject_ = 0;
  // Number of the event that made it be sent.
  std::uint64_t event_ = 0;
};

// An ask or report that came before the number of shards was known.
struct Early
{
  Event event_;
  absl::Time since_;
};

// Everything one host knows of claims; starts empty after a restart.
struct State
{
  Settings settings_;
  // The stored number of shards; 0 until it was read.
  std::uint32_t shards_ = 0;
  bool layoutAsked_ = false;
  absl::Time layoutRetryAt_ = absl::InfinitePast();
  std::vector<Early> early_;
  // Ordered, so that equal events have equal effects.
  absl::btree_map<std::uint32_t, std::shared_ptr<Shard>> loaded_;
  absl::flat_hash_map<std::uint64_t, Flight> flights_;
  std::uint64_t lastCommand_ = 0;
  std::uint64_t lastObject_ = 0;
  std::uint64_t lastReport_ = 0;
  std::uint64_t lastEvent_ = 0;
  // Time of the latest event, and how far the clock was set back in all.
  absl::Time wallClock_ = absl::InfinitePast();
  absl::Duration setBack_ = absl::ZeroDuration();
  // Never goes back.
  absl::Time now_ = absl::InfinitePast();
};

// Handles one event and returns what has to be done.
std::vector<Effect>
Step(State& aState, const Event& aEvent);

// Returns the error that tells a caller of a verdict other than granted and
// done. Its run state is about the caller's request, or about the key where an
// earlier request with it may have run.
core::Error
ToError(const ClaimResponse& aAnswer);

// Returns the shard of a key among a number of shards.
std::uint32_t
ShardOf(absl::string_view aWorkspace,
        absl::string_view aKey,
        std::uint32_t aShards);

// Returns the time within a UUIDv7, or nothing for other keys.
absl::optional<absl::Time>
KeyTime(absl::string_view aKey);

// Memory and contents of one host's shards.
struct Usage
{
  std::uint32_t shards_ = 0;
  std::uint64_t claims_ = 0;
  // Memory of the index tables.
  std::uint64_t indexBytes_ = 0;
  // Asks without an answer, and outcomes that are not durable yet; a host that
  // shuts down should wait for both to reach 0.
  std::uint64_t waiting_ = 0;
  std::uint64_t unrecorded_ = 0;
};

// Returns what the loaded shards hold.
Usage
UsageOf(const State& aState);

} // namespace lycheeplank::claims

#endif
