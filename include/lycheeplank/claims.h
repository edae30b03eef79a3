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

// Ensures that a non-idempotent call runs at most once: an attempt may run only
// after its claim on the idempotency key is durable in the platform service.
//
// The contract with the holder, the host that runs an attempt:
// - Each try uses a new attempt id and requests its claim once, from one host.
// - The holder runs an attempt at most once, and only after it was granted.
// - If the verdict is unavailable, or no response arrives in time, the holder
//   abandons the attempt and reports it as withdrawn until that report is
//   durable.
// - After the first byte was sent to a target, the holder may report only done
//   or unknown.
//
// The time of an event is read from the clock of the host that handles it.
namespace lycheeplank::claims {

// The result of a claim request.
enum class Verdict
{
  // The attempt holds the claim and may run.
  Granted,
  // An earlier attempt ran; the response carries its answer.
  Done,
  // An earlier attempt holds the claim and is presumed to be running: its
  // holder sent a claim request or heartbeat recently, or this host still waits
  // for the first heartbeat.
  InProgress,
  // An earlier attempt may have run; its outcome is unknown.
  Unknown,
  // The key was used with a different request.
  Mismatch,
  // The timestamp within the key is older than the retention.
  Expired,
  // The claim could not be made durable in time; the attempt must not run.
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

// The outcome of an attempt, as its holder reports it.
enum class AttemptOutcome
{
  Done,
  // No byte was sent to a target, and none will be sent.
  Withdrawn,
  Unknown,
};

inline constexpr std::array<core::Named<AttemptOutcome>, 3> kAttemptOutcomes{ {
  { AttemptOutcome::Done, "done" },
  { AttemptOutcome::Withdrawn, "withdrawn" },
  { AttemptOutcome::Unknown, "unknown" },
} };

// The answer of a completed call, stored for repeated requests.
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
  // Random value, new for each start of the process; part of object names.
  std::string instance_;
  // Number of shards. Only the first host to start stores it; all later starts
  // use the stored number.
  std::uint32_t shards_ = 8;
  // Minimum time for which records are kept; older segments expire.
  absl::Duration retention_ = absl::Hours(24);
  // Maximum assumed difference between the clocks of hosts and callers.
  absl::Duration clockMargin_ = absl::Minutes(5);
  // Maximum time until a claim request or an outcome report is answered.
  absl::Duration requestTimeout_ = absl::Seconds(1);
  // Minimum time between two writes of one shard's register.
  absl::Duration writeInterval_ = absl::Milliseconds(100);
  // Maximum time that an outcome waits to share a write with a claim.
  absl::Duration outcomeDelay_ = absl::Milliseconds(500);
  // Time without a heartbeat after which an attempt is no longer assumed to be
  // running.
  absl::Duration heartbeatTimeout_ = absl::Seconds(5);
  absl::Duration firstBackoff_ = absl::Milliseconds(50);
  absl::Duration maxBackoff_ = absl::Seconds(2);
  // Time without work after which a shard is evicted from memory.
  absl::Duration idleTimeout_ = absl::Minutes(10);
  // Time between two searches for unreferenced objects of a shard.
  absl::Duration sweepInterval_ = absl::Hours(1);
  // Size in bytes above which the open records are sealed into a segment.
  std::uint32_t maxOpenBytes_ = 16U << 10U;
  // Answers with larger bodies are stored as separate objects.
  std::uint32_t maxInlineAnswerBytes_ = 4U << 10U;
  std::uint32_t maxSegmentBytes_ = 800U << 10U;
  // Number of adjacent segments of similar size that are merged into one.
  std::uint32_t mergeCount_ = 6;
  // Maximum number of pending claim requests of one shard; further ones are
  // refused.
  std::uint32_t maxPendingRequests_ = 2000;
};

// Requests the claim on an idempotency key for one attempt.
struct ClaimRequest
{
  // Correlation id: chosen by the sender, above 0, never reused. The response
  // carries it.
  std::uint64_t ticket_ = 0;
  std::string workspace_;
  std::string key_;
  std::string attempt_;
  std::string holder_;
  std::string requestDigest_;
  absl::Time now_;
};

// Reports the outcome of an attempt; sent by its holder.
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

// Reports that an attempt is still running; sent by its holder.
struct Heartbeat
{
  std::string workspace_;
  std::string key_;
  std::string attempt_;
  absl::Time now_;
};

// Carries the reply to a platform command. The adapter delivers exactly one
// reply for each command.
struct PlatformReplied
{
  platform::Reply reply_;
  absl::Time now_;
};

// Drives timeouts and retries; sent every few milliseconds.
struct Tick
{
  absl::Time now_;
};

// Replaces the settings of a running process, except for its instance.
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

// Answers a claim request.
struct ClaimResponse
{
  std::uint64_t ticket_ = 0;
  Verdict verdict_ = Verdict::Unavailable;
  // Set only with Verdict::Done.
  StoredAnswer answer_;
  // Delay after which a repeated request may get a different verdict; zero if
  // it will not.
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Answers an outcome report. If the outcome is not durable yet, it is still
// being recorded, unless it contradicts the log and was dropped.
struct ReportResponse
{
  std::uint64_t ticket_ = 0;
  bool durable_ = false;
};

// Events that are counted in a metric.
enum class Counter
{
  Granted,
  // A repeated request got the stored answer.
  Repeated,
  InProgress,
  Unknown,
  Mismatch,
  Expired,
  Unavailable,
  // Another host wrote the register first.
  Conflict,
  // A platform command was lost or refused.
  PlatformFailure,
  // A value read from the platform could not be decoded, or its version or log
  // position went back.
  Corrupt,
  // An outcome report contradicts the log and was dropped.
  Contradiction,
  // An answer was too large to be stored; repeated requests get the verdict
  // unknown.
  AnswerTooLarge,
  // This host withdrew an attempt itself, because its claim request was refused
  // after a write of the claim had been sent.
  BackgroundWithdrawal,
  ShardLoaded,
  SegmentWritten,
  ObjectDeleted,
  // The configured number of shards differs from the stored number.
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

// Increments a counter by 1.
struct Count
{
  Counter counter_ = Counter::Granted;
};

// An output of Step. An adapter executes each platform::Command; the id of a
// command is unique within one State.
using Effect =
  std::variant<platform::Command, ClaimResponse, ReportResponse, Count>;

// Defined in src/claims/shard.h.
struct Shard;

// The reason why a platform command was sent; selects the handler of its reply.
enum class CommandPurpose
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

// A platform command without a reply.
struct PendingCommand
{
  CommandPurpose purpose_ = CommandPurpose::ReadLayout;
  std::uint32_t shard_ = 0;
  // Ticket of the claim request, id of the report or id of the segment
  // replacement that the command serves; 0 for other purposes.
  std::uint64_t subject_ = 0;
  // Number of the event during which the command was sent.
  std::uint64_t eventNumber_ = 0;
};

// A claim request or outcome report that arrived before the number of shards
// was known.
struct DeferredEvent
{
  Event event_;
  absl::Time since_;
};

// The claim state of one host; it starts empty after a restart.
struct State
{
  Settings settings_;
  // The stored number of shards; 0 until it has been read.
  std::uint32_t shards_ = 0;
  bool layoutRequested_ = false;
  absl::Time layoutRetryAt_ = absl::InfinitePast();
  std::vector<DeferredEvent> deferred_;
  // Ordered, so that the effects of an event are deterministic.
  absl::btree_map<std::uint32_t, std::shared_ptr<Shard>> loadedShards_;
  absl::flat_hash_map<std::uint64_t, PendingCommand> pendingCommands_;
  std::uint64_t lastCommandId_ = 0;
  std::uint64_t lastObjectNumber_ = 0;
  std::uint64_t lastReportId_ = 0;
  std::uint64_t lastEventNumber_ = 0;
  // Time of the latest event, and the total by which the clock was set back.
  absl::Time wallClock_ = absl::InfinitePast();
  absl::Duration clockSetBack_ = absl::ZeroDuration();
  // Monotonic time.
  absl::Time now_ = absl::InfinitePast();
};

// Handles one event and returns its effects.
std::vector<Effect>
Step(State& aState, const Event& aEvent);

// Returns the error for a verdict other than granted and done. The run state of
// the error refers to the caller's request or, if an earlier request with the
// key may have run, to the key.
core::Error
ToError(const ClaimResponse& aResponse);

// Returns the number of the shard, below aShards, that stores a key.
std::uint32_t
ShardOf(absl::string_view aWorkspace,
        absl::string_view aKey,
        std::uint32_t aShards);

// Returns the timestamp of a UUIDv7 key, or nullopt for other keys.
absl::optional<absl::Time>
KeyTime(absl::string_view aKey);

// Memory use and contents of the shards of one host.
struct Usage
{
  std::uint32_t shards_ = 0;
  std::uint64_t claims_ = 0;
  // Memory used by the index tables.
  std::uint64_t indexBytes_ = 0;
  // Unanswered claim requests, and outcomes that are not durable yet. A host
  // should drain both to 0 before it shuts down.
  std::uint64_t pendingRequests_ = 0;
  std::uint64_t unrecorded_ = 0;
};

// Returns the usage of the loaded shards and of deferred events.
Usage
UsageOf(const State& aState);

} // namespace lycheeplank::claims

#endif
