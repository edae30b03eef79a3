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

// Which shared parts of prompts lie in which cache store, where a part is to
// be read from, and where a part that is read for the first time is kept.
namespace lycheeplank::cache_index {

// A part of a prompt that several requests share.
struct Part
{
  std::string id_;
  std::uint32_t tokens_ = 0;
};

// One change that a store tells.
struct Change
{
  bool added_ = true;
  std::string scope_;
  std::string part_;
  std::uint32_t tokens_ = 0;
};

// Whether what is believed of a store may be used.
enum class SyncState
{
  // Nothing is known of what it holds.
  Unknown,
  // What it holds is known, up to changes on their way.
  Following,
  // It answers no more.
  Lost,
};

struct StoreState
{
  catalog::CacheStore settings_;
  SyncState syncState_ = SyncState::Unknown;
  // Changes when the store starts anew, empty.
  std::uint64_t epoch_ = 0;
  // Number of the first change that is not known yet.
  std::uint64_t next_ = 0;
  // When it last answered, and when its present epoch was first seen.
  absl::Time lastAnswerAt_ = absl::InfinitePast();
  absl::Time epochSeenAt_ = absl::InfinitePast();
  // Tokens by part and scope.
  absl::flat_hash_map<std::string, std::uint32_t> parts_;
  // Tokens of room that its parts take.
  std::uint64_t usedTokens_ = 0;
  // Moving average of the reads that came too late.
  double lateReadShare_ = 0.0;
  // Part of the reads that go to the store; falls while the store is slower
  // than the others, so that the reads that remain come in time.
  double readShare_ = 1.0;
  // When both were last changed by a read.
  absl::Time lastReadAt_ = absl::InfinitePast();
  // When the share of reads last changed by what other hosts tell.
  absl::Time peerStepAt_ = absl::InfinitePast();
};

struct Index
{
  absl::btree_map<std::string, StoreState> stores_;
  // The stores' and targets' common clock less ours.
  absl::optional<absl::Duration> clockOffset_;
};

// A store that started anew is written to only after all hosts that believed
// in its old content have heard of the start: what is believed without word,
// and the time of a read that began last.
inline constexpr absl::Duration kEpochSettleTime = absl::Seconds(3);
// What is believed of a store without word from it may be used for so long.
inline constexpr absl::Duration kMaxStateAge = absl::Seconds(2);
// Room goes by blocks of so many tokens (the engines' sheet).
inline constexpr std::uint64_t kBlockTokens = 16;
// Part of a store's room that is filled; parts that others save meanwhile
// need some.
inline constexpr double kMaxFillShare = 0.95;

// Sets which stores there are; what is known of the others goes.
void
SetStores(Index& aIndex, const std::vector<catalog::CacheStore>& aStores);

// Takes in an answer to a question for changes.
void
ApplyChanges(StoreState& aStore,
             std::uint64_t aEpoch,
             std::uint64_t aNext,
             const std::vector<Change>& aChanges,
             absl::Time aNow);

// Takes in a whole list of what a store holds.
void
ReplaceContents(StoreState& aStore,
                std::uint64_t aEpoch,
                std::uint64_t aNext,
                const std::vector<Change>& aHeld,
                absl::Time aNow);

// Returns the changes that lead from what is known of a store to all that it
// holds.
std::vector<Change>
DiffContents(const StoreState& aStore, const std::vector<Change>& aHeld);

// Notes that a store doesn't answer.
void
MarkUnreachable(StoreState& aStore);

// Where one part comes from and goes to; empty for nowhere.
struct PartPlan
{
  std::string readFrom_;
  std::string storeAt_;
};

struct Plan
{
  // One for each part asked for.
  std::vector<PartPlan> parts_;
  std::uint64_t readTokens_ = 0;
  std::uint64_t computedTokens_ = 0;
};

// A read is late if its prompt began to be answered only after the time for
// reading, and by so much of that time later than was expected.
inline constexpr double kLateReadMargin = 0.5;
bool
IsLateRead(absl::Duration aTook,
           absl::Duration aExpected,
           absl::Duration aReadTime);
// Weight of the newest read in the average. A host of many reads from a store
// less than once a second.
inline constexpr double kReadAverageWeight = 0.2;
// A store is slow if its share of late reads is so much above that of the best
// quarter of the stores. Targets that are busy delay the reads from all alike.
inline constexpr double kSlowStoreMargin = 0.3;
inline constexpr double kBaselineQuantile = 0.25;
// Steps of a store's share of reads after a late one of a slow store and after
// another one.
inline constexpr double kReadShareDecrease = 0.7;
inline constexpr double kReadShareIncrease = 0.1;
inline constexpr double kMinReadShare = 0.1;

// What is known of a slow store is half forgotten after this time, so that one
// that few reads of this host go to is read from again. Slow times of stores
// last some seconds.
inline constexpr absl::Duration kSlownessHalfLife = absl::Seconds(3);

// Returns the part of the reads that go to a store now.
double
ReadShareAt(const StoreState& aStore, absl::Time aNow);

// Notes whether a prompt came late that was read from the store with an
// address; returns the store, or null.
const StoreState*
RecordRead(Index& aIndex,
           absl::string_view aAddress,
           bool aIsLate,
           absl::Time aNow);

// Reads from one store that hosts tell each other. The pattern: one of many
// stores turns slow, and each of some hundred hosts reads from it so seldom
// that none finds out by itself before it has passed.
struct ReadCount
{
  std::uint32_t reads_ = 0;
  std::uint32_t late_ = 0;
};

// By short name of the store, see ShortName.
using ReadCounts = absl::flat_hash_map<std::uint32_t, ReadCount>;

// Returns the short name of a store among hosts.
std::uint32_t
NameHash(absl::string_view aStore);

// Adds one read from the store with an address.
void
CountRead(ReadCounts& aCounts,
          const Index& aIndex,
          absl::string_view aAddress,
          bool aIsLate);

void
MergeReadCounts(ReadCounts& aSum, const ReadCounts& aCounts);

// Shares of reads change by what others tell once in this time: word of the
// change has to come back first.
inline constexpr absl::Duration kPeerStepInterval = absl::Milliseconds(250);

// Takes in what other hosts have counted.
void
ApplyPeerReadCounts(Index& aIndex, const ReadCounts& aCounts, absl::Time aNow);

// Plans the shared parts of one prompt for a target in a data centre. A part
// is read from a store only if it lies there whole by what the store told, and
// if aDraw, between 0 and 1, lies below the store's share of reads.
Plan
PlanParts(const Index& aIndex,
          absl::string_view aScope,
          const std::vector<Part>& aParts,
          absl::string_view aDataCentre,
          double aDraw,
          absl::Time aNow);

// Returns all that a store holds.
std::vector<Change>
ContentsOf(const StoreState& aStore);

// Takes parts out that a store of that epoch has freed; some of its changes
// never arrive.
void
RemoveParts(StoreState& aStore,
            std::uint64_t aEpoch,
            const std::vector<Change>& aParts);

// Returns a moment on the stores' clock in milliseconds; 0 while that is not
// known.
std::int64_t
StoreClockMs(const Index& aIndex, absl::Time aTime);

// Returns the parts of a store that were made by weights of a model that are
// older than a version.
std::vector<Change>
PartsOfOldWeights(const StoreState& aStore,
                  absl::string_view aModel,
                  std::uint64_t aVersion);

// Returns the scope of cached prompts: equal only for requests that may share
// them.
std::string
ScopeOf(const catalog::Workspace* aWorkspace,
        absl::string_view aModel,
        std::uint64_t aWeights);

} // namespace lycheeplank::cache_index

#endif
