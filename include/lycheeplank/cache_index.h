#ifndef LYCHEEPLANK_CACHE_INDEX_H
#define LYCHEEPLANK_CACHE_INDEX_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/catalog.h"

// An index of the shared prompt parts in the cache stores. It decides which
// store a part is read from, and where a part that was computed for the first
// time is stored.
namespace lycheeplank::cache_index {

// A part of a prompt that several requests share.
struct Part
{
  std::string id_;
  std::uint32_t tokens_ = 0;
};

// One change of a store's contents.
struct Change
{
  bool added_ = true;
  std::string scope_;
  std::string part_;
  std::uint32_t tokens_ = 0;
};

// Whether the indexed contents of a store may be used.
enum class SyncState
{
  // The contents are not known.
  Unknown,
  // The contents are known, except for changes that are not received yet.
  Synced,
  // The store no longer answers.
  Unreachable,
};

struct StoreState
{
  catalog::CacheStore settings_;
  SyncState syncState_ = SyncState::Unknown;
  // Number of the store's start; a store starts empty.
  std::uint64_t epoch_ = 0;
  // Number of the next change to request.
  std::uint64_t next_ = 0;
  // Time of the store's last answer, and the time at which its current epoch
  // was first seen.
  absl::Time lastAnswerAt_ = absl::InfinitePast();
  absl::Time epochSeenAt_ = absl::InfinitePast();
  // Tokens by scope and part.
  absl::flat_hash_map<std::string, std::uint32_t> parts_;
  // Capacity in tokens that the parts take.
  std::uint64_t usedTokens_ = 0;
  // Moving average of the share of late reads.
  double lateReadShare_ = 0.0;
  // Share of reads that go to the store. It falls while the store is slower
  // than the others, so that the remaining reads are in time.
  double readShare_ = 1.0;
  // Time of the last read that changed lateReadShare_ and readShare_.
  absl::Time lastReadAt_ = absl::InfinitePast();
  // Time of the last change of readShare_ by read counts of other hosts.
  absl::Time peerStepAt_ = absl::InfinitePast();
};

struct Index
{
  absl::btree_map<std::string, StoreState> stores_;
  // Offset of the clock that stores and targets share from this host's clock;
  // empty while not known.
  absl::optional<absl::Duration> clockOffset_;
};

// Maximum time since a store's last answer in which its indexed contents are
// used.
inline constexpr absl::Duration kMaxStateAge = absl::Seconds(2);
// Maximum time of a read, whatever the goal of the request's route.
inline constexpr absl::Duration kMaxReadTime = absl::Milliseconds(700);
// A target checks the end of a read, and may be silent this long afterwards
// before it goes on.
inline constexpr absl::Duration kMaxSilence = absl::Milliseconds(1500);
// Covers the error of the stores' clock and the transit of calls.
inline constexpr absl::Duration kClockMargin = absl::Milliseconds(300);
// Time after the start of a read in which it ends.
inline const absl::Duration kReadEndTime =
  kMaxReadTime + kMaxSilence + kClockMargin;
// A restarted store is written to only after this time, when no target reads
// its old contents any more.
inline const absl::Duration kEpochSettleTime = kMaxStateAge + kReadEndTime;
// Block size in tokens by which stores allocate (from the engines' sheet).
inline constexpr std::uint64_t kBlockTokens = 16;
// Maximum share of a store's capacity that is filled; parts that other hosts
// store meanwhile need the rest.
inline constexpr double kMaxFillShare = 0.95;

// Sets the list of stores and drops the state of all others.
void
SetStores(Index& aIndex, const std::vector<catalog::CacheStore>& aStores);

// Applies the changes that a store has returned.
void
ApplyChanges(StoreState& aStore,
             std::uint64_t aEpoch,
             std::uint64_t aNext,
             const std::vector<Change>& aChanges,
             absl::Time aNow);

// Replaces the contents of a store by a complete list.
void
ReplaceContents(StoreState& aStore,
                std::uint64_t aEpoch,
                std::uint64_t aNext,
                const std::vector<Change>& aHeld,
                absl::Time aNow);

// Returns the changes that turn the indexed contents of a store into the given
// ones.
std::vector<Change>
DiffContents(const StoreState& aStore, const std::vector<Change>& aHeld);

// Records that a store does not answer.
void
MarkUnreachable(StoreState& aStore);

// The addresses of the stores that a part is read from and stored at; empty for
// none.
struct PartPlan
{
  std::string readFrom_;
  std::string storeAt_;
};

struct Plan
{
  // One for each requested part.
  std::vector<PartPlan> parts_;
  std::uint64_t readTokens_ = 0;
  std::uint64_t computedTokens_ = 0;
};

// A read is late if the answer to its prompt starts after the read time limit
// and exceeds the expected time by more than this share of the limit.
inline constexpr double kLateReadMargin = 0.5;
bool
IsLateRead(absl::Duration aTook,
           absl::Duration aExpected,
           absl::Duration aReadTime);
// Weight of the newest read in the average. A host of a large fleet reads from
// a store less than once a second.
inline constexpr double kReadAverageWeight = 0.2;
// A store is slow if its share of late reads exceeds that of the best quarter
// of the stores by this margin. The comparison cancels out busy targets, which
// delay the reads from all stores alike.
inline constexpr double kSlowStoreMargin = 0.3;
inline constexpr double kBaselineQuantile = 0.25;
// Factor on a store's read share after a late read of a slow store, and the
// increase after reads of a store that is not slow.
inline constexpr double kReadShareDecrease = 0.7;
inline constexpr double kReadShareIncrease = 0.1;
inline constexpr double kMinReadShare = 0.1;

// Half-life of the recorded slowness, so that a store with few reads of this
// host is read from again. Stores are slow for some seconds at a time.
inline constexpr absl::Duration kSlownessHalfLife = absl::Seconds(3);

// Returns the current share of reads that go to a store.
double
ReadShareAt(const StoreState& aStore, absl::Time aNow);

// Records a read from the store with the given address; returns the store, or
// null if there is none.
const StoreState*
RecordRead(Index& aIndex,
           absl::string_view aAddress,
           bool aIsLate,
           absl::Time aNow);

// Number of reads from one store, shared between hosts. Each of some hundred
// hosts reads from one store so seldom that no host alone detects a slow store
// before it recovers.
struct ReadCount
{
  std::uint32_t reads_ = 0;
  std::uint32_t late_ = 0;
};

// By NameHash of the store.
using ReadCounts = absl::flat_hash_map<std::uint32_t, ReadCount>;

// Returns the hash of a store's name that identifies it in messages between
// hosts.
std::uint32_t
NameHash(absl::string_view aStore);

// Counts one read from the store with the given address.
void
CountRead(ReadCounts& aCounts,
          const Index& aIndex,
          absl::string_view aAddress,
          bool aIsLate);

void
MergeReadCounts(ReadCounts& aSum, const ReadCounts& aCounts);

// Minimum interval between changes of a read share by other hosts' counts: the
// effect of a change has to be reported back first.
inline constexpr absl::Duration kPeerStepInterval = absl::Milliseconds(250);

// Applies the read counts of other hosts.
void
ApplyPeerReadCounts(Index& aIndex, const ReadCounts& aCounts, absl::Time aNow);

// A draw with which no part is read.
inline constexpr double kReadNone = 1.0;

// Plans the shared parts of one prompt for a target in a data centre. A part is
// read from a store only if the store has reported it complete, and if aDraw, a
// random number between 0 and 1, is below the store's read share.
Plan
PlanParts(const Index& aIndex,
          absl::string_view aScope,
          const std::vector<Part>& aParts,
          absl::string_view aDataCentre,
          double aDraw,
          absl::Time aNow);

// Returns the indexed contents of a store.
std::vector<Change>
ContentsOf(const StoreState& aStore);

// Removes parts that a store has freed in the given epoch; some of its change
// messages never arrive.
void
RemoveParts(StoreState& aStore,
            std::uint64_t aEpoch,
            const std::vector<Change>& aParts);

// Converts a time to the stores' clock in milliseconds; 0 while the offset is
// not known.
std::int64_t
StoreClockMs(const Index& aIndex, absl::Time aTime);

// Returns the parts in a store that weights of a model older than aVersion have
// computed.
std::vector<Change>
PartsOfOldWeights(const StoreState& aStore,
                  absl::string_view aModel,
                  std::uint64_t aVersion);

// Returns the scope of cached prompts, which is equal only for requests that
// may share them.
std::string
ScopeOf(const catalog::Workspace* aWorkspace,
        absl::string_view aModel,
        std::uint64_t aWeights);

} // namespace lycheeplank::cache_index

#endif
