#ifndef LYCHEEPLANK_ROLLOUT_H
#define LYCHEEPLANK_ROLLOUT_H

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"
#include "lycheeplank/platform.h"

// Brings a weight version onto all targets of a model, step by step, with one
// owner for each partition of the models.
namespace lycheeplank::rollout {

// Number of partitions that stewards own; constant, so that the calls to the
// platform don't grow with the hosts.
inline constexpr std::uint32_t kPartitionCount = 4;

inline constexpr absl::string_view kRecordPrefix = "rollouts/";
inline constexpr absl::string_view kSlotsKey = "rollout-slots";
inline constexpr absl::string_view kOwnerPrefix = "rollout-owners/";

enum class RolloutState
{
  Running,
  Done,
  // Stopped by the first failure.
  Failed,
  // Stopped by an operator.
  Stopped,
};

inline constexpr std::array<core::Named<RolloutState>, 4> kRolloutStates{ {
  { RolloutState::Running, "running" },
  { RolloutState::Done, "done" },
  { RolloutState::Failed, "failed" },
  { RolloutState::Stopped, "stopped" },
} };

// What the platform keeps of the rollout of one model.
struct Record
{
  std::string model_;
  std::string version_;
  RolloutState state_ = RolloutState::Running;
  // Targets that serve the version, of all targets of the model.
  std::uint32_t doneTargets_ = 0;
  std::uint32_t totalTargets_ = 0;
  // Why it failed or what it waits for.
  std::string detail_;
};

// Returns the key of a model's record.
std::string
RecordKey(absl::string_view aModel);

// Returns a record as JSON.
std::string
FormatRecord(const Record& aRecord);

// Reads a record; nothing if the text is none.
absl::optional<Record>
ParseRecord(absl::string_view aText);

// A target that may load weights. The slots of all owners are kept in one key
// of the platform; there are at most limits_.maxLoading_ of them.
struct Slot
{
  std::string target_;
  std::string model_;

  friend bool operator==(const Slot& aLeft, const Slot& aRight)
  {
    return aLeft.target_ == aRight.target_ && aLeft.model_ == aRight.model_;
  }
};

std::string
FormatSlots(const std::vector<Slot>& aSlots);

// Reads slots; an empty text has none.
absl::optional<std::vector<Slot>>
ParseSlots(absl::string_view aText);

// Returns the partition of a model.
std::uint32_t
PartitionOf(absl::string_view aModel);

struct Settings
{
  absl::Duration leaseDuration_ = absl::Seconds(15);
  absl::Duration leaseRenewalPeriod_ = absl::Seconds(3);
  // An order is sent only if the lease lasts so much longer, which outlasts
  // its way through the network.
  absl::Duration fencedMargin_ = absl::Seconds(6);
  absl::Duration unfencedMargin_ = absl::Seconds(8);
  // An order without an answer may still arrive for so long.
  absl::Duration maxOrderDelay_ = absl::Seconds(5);
  // Longest wait of one watch of an owner key.
  absl::Duration maxWatchTime_ = absl::Seconds(10);
  absl::Duration recordListPeriod_ = absl::Seconds(2);
  absl::Duration slotsReadPeriod_ = absl::Seconds(10);
  // Wait of a candidate for each one that ranks before it.
  absl::Duration delayPerRank_ = absl::Milliseconds(500);
  absl::Duration retryPeriod_ = absl::Seconds(1);
  // Period at which a target with a slot is read.
  absl::Duration pollPeriod_ = absl::Milliseconds(250);
  // Period at which the other targets are read while a rollout runs, and else.
  absl::Duration runningReadPeriod_ = absl::Seconds(5);
  absl::Duration idleReadPeriod_ = absl::Seconds(30);
  // Time that a target may take to show that it loads.
  absl::Duration loadReportDelay_ = absl::Milliseconds(300);
  absl::Duration progressWritePeriod_ = absl::Seconds(2);
  // Longest time from an accepted order to the new version.
  absl::Duration loadTimeout_ = absl::Minutes(3);
  std::uint32_t maxPendingReads_ = 32;
  // Orders to one target without an answer before the rollout fails.
  std::uint32_t maxOrderAttempts_ = 3;
  // Hosts that stand by to own one partition.
  std::uint32_t candidatesPerPartition_ = 3;
};

// What this steward has to do with one partition.
enum class Phase
{
  // Another steward owns it, or this one is no candidate.
  Waiting,
  // The write of the owner key is under way.
  Acquiring,
  // The write's reply was lost; the key is read back.
  Verifying,
  // This steward owns it, but has not read the slots since.
  Synchronising,
  Owned,
  // The owner key is being deleted.
  Releasing,
};

inline constexpr std::array<core::Named<Phase>, 6> kPhases{ {
  { Phase::Waiting, "waiting" },
  { Phase::Acquiring, "taking" },
  { Phase::Verifying, "verifying" },
  { Phase::Synchronising, "entering" },
  { Phase::Owned, "owned" },
  { Phase::Releasing, "leaving" },
} };

struct Partition
{
  Phase phase_ = Phase::Waiting;
  // Version of the owner key while this steward owns it.
  std::uint64_t fence_ = 0;
  // Version of the owner key that was seen last, 0 if it was absent; nothing
  // if it was not read yet.
  absl::optional<std::uint64_t> seenVersion_;
  bool commandPending_ = false;
  absl::Time acquiredAt_ = absl::InfinitePast();
  absl::Time nextTry_ = absl::InfinitePast();
};

// What this steward knows of one target of a model that it owns.
struct TargetRollout
{
  // From the last read.
  bool hasBeenRead_ = false;
  bool reachable_ = false;
  bool leaving_ = false;
  std::string version_;
  bool loading_ = false;
  absl::Time readAt_ = absl::InfinitePast();
  // When the last answered read was sent; what it tells is not older.
  absl::Time readSentAt_ = absl::InfinitePast();
  bool readPending_ = false;
  absl::Time nextRead_ = absl::InfinitePast();
  // The slots of the platform name it.
  bool hasSlot_ = false;
  bool orderPending_ = false;
  // Version of the accepted order under way; empty if there is none.
  std::string acceptedVersion_;
  absl::Time acceptedAt_ = absl::InfinitePast();
  std::uint32_t orderAttempts_ = 0;
  // When something was last done; only later reads tell of its effect.
  absl::Time effectVisibleAt_ = absl::InfinitePast();
  // No order and no release of the slot before this time.
  absl::Time holdUntil_ = absl::InfinitePast();
};

// A rollout of a model that this steward owns.
struct ModelRollout
{
  Record record_;
  std::uint64_t recordVersion_ = 0;
  bool writePending_ = false;
  // Set when a failure is not yet in the record.
  std::string failure_;
  absl::Time nextProgressWrite_ = absl::InfinitePast();
  absl::btree_map<std::string, TargetRollout> targets_;
};

// The slots as the platform has them, and what this steward wants to change.
struct SlotTable
{
  // The last reply told what the slots are; no order relies on them else.
  bool fresh_ = false;
  // A new owner writes the slots once before it relies on them, so that a
  // write of its predecessor that is still on its way finds another version.
  bool barrierNeeded_ = true;
  bool commandPending_ = false;
  std::uint64_t version_ = 0;
  std::vector<Slot> slots_;
  std::vector<Slot> toAcquire_;
  std::vector<Slot> toRelease_;
  // What the write under way would make of it.
  std::vector<Slot> pendingSlots_;
  absl::Time nextTry_ = absl::InfinitePast();
  absl::Time nextRead_ = absl::InfinitePast();
};

enum class Purpose
{
  GrantLease,
  KeepLease,
  DropLease,
  WatchOwnerKey,
  WriteOwnerKey,
  VerifyOwnerKey,
  DeleteOwnerKey,
  ReadSlots,
  WriteSlots,
  ListRecords,
  ReadRecord,
  WriteRecord,
};

// A platform command without a reply yet.
struct PendingCommand
{
  Purpose purpose_ = Purpose::ListRecords;
  std::uint32_t partition_ = 0;
  std::string model_;
  // Value that was written, to recognise it after a lost reply.
  std::string value_;
  absl::Time sent_;
};

struct PendingOrder
{
  std::string model_;
  std::string target_;
  std::string version_;
  std::uint64_t fence_ = 0;
};

struct PendingRead
{
  std::string model_;
  std::string target_;
  absl::Time sent_;
};

struct Counters
{
  std::uint64_t sentOrders_ = 0;
  std::uint64_t lostOrders_ = 0;
  std::uint64_t staleOrders_ = 0;
  std::uint64_t targetReads_ = 0;
  std::uint64_t platformCalls_ = 0;
  std::uint64_t takeovers_ = 0;
  std::uint64_t slotConflicts_ = 0;
};

// All that one steward knows of rollouts.
struct State
{
  Settings settings_;
  std::string name_;
  config::ConfigPtr config_;
  std::vector<std::string> hosts_;
  bool stopping_ = false;
  std::string lease_;
  // Until when the lease surely lasts.
  absl::Time leaseValidUntil_ = absl::InfinitePast();
  bool leasePending_ = false;
  absl::Time nextLeaseCall_ = absl::InfinitePast();
  std::array<Partition, kPartitionCount> partitions_;
  SlotTable slots_;
  bool listPending_ = false;
  absl::Time nextList_ = absl::InfinitePast();
  // Where a list that comes in parts goes on, and what it has shown so far.
  std::string listAfter_;
  absl::btree_set<std::string> listedModels_;
  absl::btree_set<std::string> pendingRecordReads_;
  absl::btree_map<std::string, ModelRollout> models_;
  absl::btree_map<std::uint64_t, PendingCommand> pendingCommands_;
  absl::btree_map<std::uint64_t, PendingOrder> pendingOrders_;
  absl::btree_map<std::uint64_t, PendingRead> pendingReads_;
  std::uint64_t nextId_ = 1;
  Counters counters_;
};

// Time has passed; comes about every 100 ms.
struct Tick
{};

struct ConfigChanged
{
  config::ConfigPtr config_;
};

// The live hosts, by which the candidates of a partition are chosen.
struct HostsChanged
{
  std::vector<std::string> hosts_;
};

struct PlatformReplied
{
  platform::Reply reply_;
};

// A target's state was read, or could not be.
struct TargetRead
{
  std::uint64_t id_ = 0;
  bool reachable_ = false;
  std::string version_;
  bool loading_ = false;
  bool leaving_ = false;
};

enum class OrderResult
{
  Accepted,
  StaleFence,
  // Refused for another reason.
  Refused,
  // No answer; the order may have arrived or may still do.
  Lost,
  // It was too late to send it.
  NotSent,
};

inline constexpr std::array<core::Named<OrderResult>, 5> kOrderResults{ {
  { OrderResult::Accepted, "accepted" },
  { OrderResult::StaleFence, "stale_fence" },
  { OrderResult::Refused, "refused" },
  { OrderResult::Lost, "lost" },
  { OrderResult::NotSent, "not_sent" },
} };

struct OrderEnded
{
  std::uint64_t id_ = 0;
  OrderResult result_ = OrderResult::Lost;
  std::string detail_;
};

// This steward shall end: it gives up what it owns.
struct StopRequested
{};

struct Event
{
  absl::Time at_;
  std::variant<Tick,
               ConfigChanged,
               HostsChanged,
               PlatformReplied,
               TargetRead,
               OrderEnded,
               StopRequested>
    body_;
};

// Send an order to load weights, unless notAfter_ has passed.
struct SendOrder
{
  std::uint64_t id_ = 0;
  std::string target_;
  std::string url_;
  std::string version_;
  std::uint64_t fence_ = 0;
  absl::Time notAfter_;
};

struct ReadTarget
{
  std::uint64_t id_ = 0;
  std::string target_;
  std::string url_;
};

// A line of key=value pairs for the log.
struct Log
{
  std::string line_;
};

using Effect = std::variant<platform::Command, SendOrder, ReadTarget, Log>;

// Returns the state of a steward that starts now.
State
InitialState(absl::string_view aName, const Settings& aSettings);

// Takes one event and returns what has to be done.
std::vector<Effect>
Step(State& aState, const Event& aEvent);

// Tells whether a steward that was asked to stop has given up all it owned.
bool
IsStopped(const State& aState);

} // namespace lycheeplank::rollout

#endif
