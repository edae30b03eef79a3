#ifndef LYCHEEPLANK_CLAIMS_SHARD_H
#define LYCHEEPLANK_CLAIMS_SHARD_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "claims/index.h"
#include "claims/records.h"
#include "lycheeplank/claims.h"

namespace lycheeplank::claims {

// A claim request without a response.
struct PendingRequest
{
  std::uint64_t ticket_ = 0;
  Fingerprint key_;
  Fingerprint attempt_;
  std::uint64_t requestHash_ = 0;
  std::string holder_;
  absl::Time since_;
  // Number of the event that delivered it.
  std::uint64_t eventNumber_ = 0;
  // A register write that contains the claim was sent.
  bool claimSent_ = false;
  // A read of the stored answer is in flight.
  bool fetchingAnswer_ = false;
  absl::Time nextFetchAt_ = absl::InfinitePast();
  // Status and content type of the answer while its body is read.
  StoredAnswer answer_;
};

// An outcome that is not durable yet.
struct PendingReport
{
  std::uint64_t id_ = 0;
  // 0 for a withdrawal by this host itself, and after the report was answered.
  std::uint64_t ticket_ = 0;
  absl::Time ticketSince_;
  Record record_;
  absl::Time since_;
  // Number of the event that delivered it.
  std::uint64_t eventNumber_ = 0;
  // The answer is stored as an object, or is small enough to be part of the
  // record.
  bool answerStored_ = true;
  bool writingAnswer_ = false;
  absl::Time nextAnswerWriteAt_ = absl::InfinitePast();
};

// The progress of a replacement: the segments to merge are being read, the new
// segment is being written, or it is ready to be referenced.
enum class ReplacementStage
{
  None,
  Reading,
  Writing,
  Ready,
};

// A new segment that will replace the open records or several smaller segments.
// It is abandoned whenever a register written by another host is adopted,
// because the sweep of that host may delete unreferenced segments after its
// write of the register.
struct Replacement
{
  ReplacementStage stage_ = ReplacementStage::None;
  std::uint64_t id_ = 0;
  SegmentRef ref_;
  Segment segment_;
  // Position after the last record to merge; unused when open records are
  // sealed.
  std::uint64_t end_ = 0;
  absl::Time retryAt_ = absl::InfinitePast();
};

// State of the periodic sweep, which deletes objects that the register does not
// reference.
struct Sweep
{
  absl::Time nextAt_ = absl::InfinitePast();
  // A listing of the shard's objects is in progress.
  bool listing_ = false;
  std::vector<std::string> listedNames_;
  // Unreferenced segments, which may be deleted only after the next write of
  // the register.
  std::vector<std::string> garbage_;
  // A register write was sent after which garbage_ may be deleted.
  bool writeSent_ = false;
};

// Consecutive failures of one kind of command.
struct Backoff
{
  std::uint32_t failures_ = 0;
  absl::Time failingSince_ = absl::InfiniteFuture();
  absl::Time retryAt_ = absl::InfinitePast();
};

// An attempt that its holder may be running.
struct RunningAttempt
{
  Fingerprint attempt_;
  // Time of the latest grant or heartbeat, or else of the first claim request
  // of another attempt that found the open claim on this host.
  absl::Time lastActivity_;
  // This host granted the claim or received a heartbeat for it.
  bool holderConfirmed_ = false;
};

// The state of one shard on one host. A shard is a log of records; its
// register, a platform value with compare-and-swap, holds the newest records
// and references the segments with the older ones.
struct Shard
{
  std::uint32_t number_ = 0;

  // The latest adopted version of the register.
  bool tailKnown_ = false;
  std::uint64_t version_ = 0;
  Tail tail_;
  // The adopted register contains all writes that completed before the event of
  // this number.
  std::uint64_t freshAsOfEvent_ = 0;
  bool needsRefresh_ = false;

  // All records before this position are in the index.
  std::uint64_t appliedEnd_ = 0;
  Index index_;
  // Attempts that their holders may be running, by key.
  absl::flat_hash_map<Fingerprint, RunningAttempt> runningAttempts_;
  // Attempts whose claim requests got a verdict other than granted and done,
  // with the time of the response.
  absl::flat_hash_map<Fingerprint, absl::Time> refusedAttempts_;
  absl::Time nextPurgeAt_ = absl::InfinitePast();

  std::vector<PendingRequest> requests_;
  std::vector<PendingReport> reports_;
  // A claim request waits for a report to become durable.
  bool reportsUrgent_ = false;

  // A read or write of the register or a load of a segment is in flight; there
  // is at most one.
  bool busy_ = false;
  // The register content of the write in flight.
  Tail proposedTail_;
  absl::Time nextWriteAt_ = absl::InfinitePast();

  // Backoff for reads of the register and its segments.
  Backoff readBackoff_;
  // Backoff for writes of the register, which may fail while reads succeed.
  Backoff writeBackoff_;
  // Version of the register whose referenced segment was not found.
  absl::optional<std::uint64_t> missingSegmentVersion_;
  // Counter::ShardLoaded was incremented.
  bool loadCounted_ = false;

  Replacement replacement_;
  Sweep sweep_;
  // Number of commands without a reply.
  std::uint32_t commandsInFlight_ = 0;
  absl::Time lastUsed_;
};

// Passed to every function that reads the time or emits effects.
struct Context
{
  State& state_;
  // Monotonic; for timeouts and intervals.
  absl::Time now_;
  // Not monotonic; for the retention.
  absl::Time wallClock_;
  std::vector<Effect>& effects_;
};

// Sends a command and registers it as pending.
void
Send(const Context& aContext,
     PendingCommand aPending,
     platform::Command aCommand);

void
IncrementCounter(const Context& aContext, Counter aCounter);

// Returns the platform key of a shard's register.
std::string
TailKey(const Shard& aShard);

// Returns the platform key prefix of a shard's immutable objects.
std::string
ObjectPrefix(const Shard& aShard);

// Returns the platform key of an immutable object.
std::string
ObjectKey(const Shard& aShard, absl::string_view aName);

// Returns a unique object name that starts with the kind.
std::string
NewObjectName(const Context& aContext, absl::string_view aKind);

// Returns whether the index contains all records of the adopted register.
bool
IsLoaded(const Shard& aShard);

// Answers all requests and reports that can be answered and sends the shard's
// next command.
void
Advance(const Context& aContext, Shard& aShard);

// Answers a claim request with Verdict::Unavailable and ensures that the
// attempt is never granted: withdraws it if a write of its claim was sent.
void
Refuse(const Context& aContext, Shard& aShard, const PendingRequest& aRequest);

// Refuses the claim requests and answers the reports whose timeout has passed.
void
ExpirePending(const Context& aContext, Shard& aShard);

// Returns whether reads or writes have failed for so long that a new claim is
// unlikely to be written in time.
bool
IsFailing(const Context& aContext, const Shard& aShard);

void
OnTailRead(const Context& aContext,
           Shard& aShard,
           const PendingCommand& aPending,
           const platform::Reply& aReply);
void
OnTailWritten(const Context& aContext,
              Shard& aShard,
              const PendingCommand& aPending,
              const platform::Reply& aReply);
void
OnSegmentLoaded(const Context& aContext,
                Shard& aShard,
                const platform::Reply& aReply);

// Answers claim requests and settles reports from the adopted register
// (resolve.cc).
void
ResolvePending(const Context& aContext, Shard& aShard);

// Returns whether the adopted register contains all writes that completed
// before the event of this number.
bool
IsFresh(const Shard& aShard, std::uint64_t aEventNumber);

// Stored answers (answers.cc).

// Sends the stored answer or starts to read it. Returns whether it was sent.
bool
TrySendStoredAnswer(const Context& aContext,
                    Shard& aShard,
                    PendingRequest& aRequest);
void
OnAnswerSegmentRead(const Context& aContext,
                    Shard& aShard,
                    const PendingCommand& aPending,
                    const platform::Reply& aReply);
void
OnAnswerObjectRead(const Context& aContext,
                   Shard& aShard,
                   const PendingCommand& aPending,
                   const platform::Reply& aReply);
void
StoreAnswers(const Context& aContext, Shard& aShard);
void
OnAnswerStored(const Context& aContext,
               Shard& aShard,
               const PendingCommand& aPending,
               const platform::Reply& aReply);

// Prefixes of object names.
inline constexpr absl::string_view kSegmentKind = "segment";
inline constexpr absl::string_view kAnswerKind = "answer";

// Sealing, merging and expiry of segments (upkeep.cc).
// Starts a due sweep, and a seal or a merge if one is needed.
void
Maintain(const Context& aContext, Shard& aShard);
// Returns whether the oldest segment has expired.
bool
HasExpiredSegment(const Context& aContext, const Shard& aShard);
// Removes the references to expired segments.
void
DropExpired(const Context& aContext, Tail& aTail);
// Puts a replacement that is ready in the place of what it replaces.
void
ApplyReplacement(Shard& aShard, Tail& aTail);
// Deletes the segments that the tail aBefore referenced and the adopted one
// does not, and then the garbage of the sweep.
void
DeleteReplacedSegments(const Context& aContext,
                       Shard& aShard,
                       const Tail& aBefore);
void
OnMergeSourceRead(const Context& aContext,
                  Shard& aShard,
                  const PendingCommand& aPending,
                  const platform::Reply& aReply);
void
OnSegmentWritten(const Context& aContext,
                 Shard& aShard,
                 const PendingCommand& aPending,
                 const platform::Reply& aReply);

// Deletion of objects that the register does not reference (sweep.cc).
void
StartSweepIfDue(const Context& aContext, Shard& aShard);
// Deletes the unreferenced segments after a write of the register.
void
DeleteGarbage(const Context& aContext, Shard& aShard);
void
DeleteObject(const Context& aContext,
             const Shard& aShard,
             const std::string& aName);
// Returns whether a register references a segment.
bool
IsReferenced(const Tail& aTail, absl::string_view aName);
void
OnListed(const Context& aContext, Shard& aShard, const platform::Reply& aReply);

} // namespace lycheeplank::claims

#endif
