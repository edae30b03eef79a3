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

// An ask that was not answered yet.
struct Waiting
{
  std::uint64_t ticket_ = 0;
  Fingerprint key_;
  Fingerprint attempt_;
  std::uint64_t request_ = 0;
  std::string holder_;
  absl::Time since_;
  // Number of the event that it came with.
  std::uint64_t event_ = 0;
  // A write that contains the claim was sent.
  bool sent_ = false;
  // The stored answer is being read.
  bool fetching_ = false;
  absl::Time fetchAt_ = absl::InfinitePast();
  // What is known of the answer while its body is read.
  StoredAnswer answer_;
};

// A report that is not durable yet.
struct Recording
{
  std::uint64_t id_ = 0;
  // 0 for a withdrawal in the background, and once it was answered.
  std::uint64_t ticket_ = 0;
  absl::Time ticketSince_;
  Record record_;
  absl::Time since_;
  // Number of the event that it came with.
  std::uint64_t event_ = 0;
  // Its large answer is stored, or there is none.
  bool ready_ = true;
  bool writing_ = false;
  absl::Time writeAt_ = absl::InfinitePast();
};

enum class ReplacementStage
{
  None,
  Reading,
  Writing,
  Ready,
};

// A new segment that is to take the place of open records or of smaller
// segments. It is given up whenever another host's register is adopted: a
// clean-up may delete unnamed segments once it has written the register.
struct Replacement
{
  ReplacementStage stage_ = ReplacementStage::None;
  std::uint64_t id_ = 0;
  SegmentRef ref_;
  Segment segment_;
  // Position after the last record to merge.
  std::uint64_t end_ = 0;
  absl::Time retryAt_ = absl::InfinitePast();
};

// Deletes objects that no register names.
struct Sweep
{
  absl::Time at_ = absl::InfinitePast();
  bool listing_ = false;
  std::vector<std::string> found_;
  // Unnamed segments; may be deleted after the next write of the register.
  std::vector<std::string> garbage_;
  bool writeSent_ = false;
};

// Failures in a row of one kind of command.
struct Backoff
{
  std::uint32_t failures_ = 0;
  absl::Time since_ = absl::InfiniteFuture();
  absl::Time retryAt_ = absl::InfinitePast();
};

// An attempt that a holder may be running.
struct Run
{
  Fingerprint attempt_;
  // The latest word of its holder, or when a repeat first met its claim here.
  absl::Time heard_;
  // The holder spoke, at least by asking for the claim.
  bool said_ = false;
};

// What one host knows of one shard.
struct Shard
{
  std::uint32_t number_ = 0;

  // The register as last seen.
  bool known_ = false;
  std::uint64_t version_ = 0;
  Tail tail_;
  // The view contains all that was written before the event of this number.
  std::uint64_t viewEvent_ = 0;
  bool refresh_ = false;

  // Everything before this position is in the index.
  std::uint64_t applied_ = 0;
  Index index_;
  // Attempts that a holder may be running, by key.
  absl::flat_hash_map<Fingerprint, Run> running_;
  // Attempts that were answered with anything but a grant or a stored answer,
  // and when.
  absl::flat_hash_map<Fingerprint, absl::Time> refused_;
  absl::Time forgetAt_ = absl::InfinitePast();

  std::vector<Waiting> asks_;
  std::vector<Recording> reports_;
  // An ask waits for a report to become durable.
  bool reportsUrgent_ = false;

  // One read or write of the register or load of a segment at a time.
  bool busy_ = false;
  Tail proposal_;
  absl::Time nextWriteAt_ = absl::InfinitePast();

  // Of reading the register and its segments.
  Backoff reads_;
  // Of writing the register; reads may succeed meanwhile.
  Backoff writes_;
  // Version of a register that names a segment which was not found.
  absl::optional<std::uint64_t> missingAt_;
  bool loadCounted_ = false;

  Replacement replacement_;
  Sweep sweep_;
  // Commands without a reply.
  std::uint32_t flights_ = 0;
  absl::Time used_;
};

// What every function that can act is given.
struct Context
{
  State& state_;
  // Never goes back; for timeouts and intervals.
  absl::Time now_;
  // May be set back; for the retention.
  absl::Time wallClock_;
  std::vector<Effect>& effects_;
};

// Sends a command and remembers what for.
void
Send(const Context& aContext, Flight aFlight, platform::Command aCommand);

void
Raise(const Context& aContext, Counter aCounter);

// Returns the key of a shard's register.
std::string
TailKey(const Shard& aShard);

// Returns the prefix of a shard's immutable objects.
std::string
ObjectPrefix(const Shard& aShard);

// Returns the key of an immutable object.
std::string
ObjectKey(const Shard& aShard, absl::string_view aName);

// Returns a name that no other object has or had.
std::string
NewObjectName(const Context& aContext, absl::string_view aKind);

// Whether the index contains the whole register as last seen.
bool
IsLoaded(const Shard& aShard);

// Answers what can be answered and sends the shard's next command.
void
Pump(const Context& aContext, Shard& aShard);

// Answers that the attempt was not run and sees to it that it never is.
void
Refuse(const Context& aContext, Shard& aShard, const Waiting& aAsk);

// Refuses the asks and answers the reports that have waited too long.
void
ExpireWaiting(const Context& aContext, Shard& aShard);

// Whether a new claim can't be expected to be written in time.
bool
IsFailing(const Context& aContext, const Shard& aShard);

void
OnTailRead(const Context& aContext,
           Shard& aShard,
           const Flight& aFlight,
           const platform::Reply& aReply);
void
OnTailWritten(const Context& aContext,
              Shard& aShard,
              const Flight& aFlight,
              const platform::Reply& aReply);
void
OnSegmentLoaded(const Context& aContext,
                Shard& aShard,
                const platform::Reply& aReply);

// Answers asks and settles reports by the current view (resolve.cc).
void
Resolve(const Context& aContext, Shard& aShard);

// Whether the view contains all that was written before an event.
bool
IsFresh(const Shard& aShard, std::uint64_t aEvent);

// Large answers (answers.cc).

// Gives the stored answer or starts to read it; whether it was given.
bool
TryGiveAnswer(const Context& aContext, Shard& aShard, Waiting& aAsk);
void
OnAnswerSegment(const Context& aContext,
                Shard& aShard,
                const Flight& aFlight,
                const platform::Reply& aReply);
void
OnAnswerObject(const Context& aContext,
               Shard& aShard,
               const Flight& aFlight,
               const platform::Reply& aReply);
void
StoreAnswers(const Context& aContext, Shard& aShard);
void
OnAnswerStored(const Context& aContext,
               Shard& aShard,
               const Flight& aFlight,
               const platform::Reply& aReply);

// First parts of the names of objects.
inline constexpr absl::string_view kSegmentKind = "segment";
inline constexpr absl::string_view kAnswerKind = "answer";

// Sealing, merging and dropping of segments (upkeep.cc).
void
Maintain(const Context& aContext, Shard& aShard);
bool
HasExpiredSegment(const Context& aContext, const Shard& aShard);
void
DropExpired(const Context& aContext, Tail& aTail);
void
ApplyReplacement(Shard& aShard, Tail& aTail);
void
DeleteReplaced(const Context& aContext, Shard& aShard, const Tail& aBefore);
void
OnMergeSource(const Context& aContext,
              Shard& aShard,
              const Flight& aFlight,
              const platform::Reply& aReply);
void
OnSegmentWritten(const Context& aContext,
                 Shard& aShard,
                 const Flight& aFlight,
                 const platform::Reply& aReply);

// Finding and deleting of objects that nothing names (sweep.cc).
void
MaintainSweep(const Context& aContext, Shard& aShard);
void
DeleteGarbage(const Context& aContext, Shard& aShard);
void
Delete(const Context& aContext, const Shard& aShard, const std::string& aName);
bool
IsNamed(const Tail& aTail, absl::string_view aName);
void
OnListed(const Context& aContext, Shard& aShard, const platform::Reply& aReply);

} // namespace lycheeplank::claims

#endif
