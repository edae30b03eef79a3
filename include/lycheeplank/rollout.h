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

// Loads a weight version on all targets of a model, a few targets at a time.
// Models are divided into partitions, and each partition is owned by one
// steward.
namespace lycheeplank::rollout {

// Number of partitions that stewards own. It is constant, so that the number of
// calls to the platform doesn't grow with the number of hosts.
inline constexpr std::uint32_t kPartitionCount = 4;

// Platform keys: the prefix of records, which the model follows, the key of the
// slots, and the prefix of owner keys, which the partition follows.
inline constexpr absl::string_view kRecordPrefix = "rollouts/";
inline constexpr absl::string_view kSlotsKey = "rollout-slots";
inline constexpr absl::string_view kOwnerPrefix = "rollout-owners/";

enum class RolloutState
{
  Running,
  // All targets served the version. A target that serves another version later
  // is still updated.
  Done,
  // The first failure has stopped the rollout.
  Failed,
  // An operator has stopped the rollout, or its record was deleted.
  Stopped,
};

inline constexpr std::array<core::Named<RolloutState>, 4> kRolloutStates{ {
  { RolloutState::Running, "running" },
  { RolloutState::Done, "done" },
  { RolloutState::Failed, "failed" },
  { RolloutState::Stopped, "stopped" },
} };

// The rollout of one model, as stored in the platform.
struct Record
{
  std::string model_;
  std::string version_;
  RolloutState state_ = RolloutState::Running;
  // Number of targets that serve the version, and number of all targets of the
  // model.
  std::uint32_t doneTargets_ = 0;
  std::uint32_t totalTargets_ = 0;
  // Reason of the failure, or the condition that the rollout waits for.
  std::string detail_;
};

// Returns the platform key of a model's record.
std::string
RecordKey(absl::string_view aModel);

// Formats a record as JSON.
std::string
FormatRecord(const Record& aRecord);

// Parses a record. Returns nothing if the text is not a valid record.
absl::optional<Record>
ParseRecord(absl::string_view aText);

// Permission of one target to load weights. The slots of all owners are stored
// under one key of the platform. There are at most limits_.maxLoading_ slots.
struct Slot
{
  std::string target_;
  std::string model_;

  friend bool operator==(const Slot& aLeft, const Slot& aRight)
  {
    return aLeft.target_ == aRight.target_ && aLeft.model_ == aRight.model_;
  }
};

// Formats slots as JSON.
std::string
FormatSlots(const std::vector<Slot>& aSlots);

// Parses slots. An empty text has no slots. Returns nothing if the text is
// malformed.
absl::optional<std::vector<Slot>>
ParseSlots(absl::string_view aText);

// Returns the index of the partition that a model belongs to.
std::uint32_t
PartitionOf(absl::string_view aModel);

// Periods, timeouts and limits of a steward.
struct Settings
{
  absl::Duration leaseDuration_ = absl::Seconds(15);
  absl::Duration leaseRenewalPeriod_ = absl::Seconds(3);
  // Time for which the lease has to remain valid when an order is sent to a
  // target with fencing or without. It is longer than an order can take to
  // arrive.
  absl::Duration fencedMargin_ = absl::Seconds(6);
  absl::Duration unfencedMargin_ = absl::Seconds(8);
  // Time for which an order without an answer may still arrive.
  absl::Duration maxOrderDelay_ = absl::Seconds(5);
  // Longest duration of one watch of an owner key.
  absl::Duration maxWatchTime_ = absl::Seconds(10);
  absl::Duration recordListPeriod_ = absl::Seconds(2);
  absl::Duration slotsReadPeriod_ = absl::Seconds(10);
  // Delay before a candidate acquires a free partition, for each candidate of a
  // better rank.
  absl::Duration delayPerRank_ = absl::Milliseconds(500);
  absl::Duration retryPeriod_ = absl::Seconds(1);
  // Period at which the state of a target with a slot is read.
  absl::Duration pollPeriod_ = absl::Milliseconds(250);
  // Periods at which the other targets of a model are read while its rollout
  // runs, and otherwise.
  absl::Duration runningReadPeriod_ = absl::Seconds(5);
  absl::Duration idleReadPeriod_ = absl::Seconds(30);
  // Time that a target may take after an order until it reports that it loads.
  absl::Duration loadReportDelay_ = absl::Milliseconds(300);
  absl::Duration progressWritePeriod_ = absl::Seconds(2);
  // Longest time from the acceptance of an order until the target serves the
  // new version.
  absl::Duration loadTimeout_ = absl::Minutes(3);
  // Limit of concurrent reads of targets. Targets with a slot are exempt.
  std::uint32_t maxPendingReads_ = 32;
  // Orders that are sent to one target without effect before the rollout fails.
  std::uint32_t maxOrderAttempts_ = 3;
  // Number of hosts that may acquire one partition.
  std::uint32_t candidatesPerPartition_ = 3;
};

// Relation of this steward to one partition.
enum class Phase
{
  // The partition is free or another steward owns it.
  Waiting,
  // The write of the owner key is pending.
  Acquiring,
  // The reply to the write was lost, and the owner key is read back.
  Verifying,
  // This steward owns the partition, but has not written the slots since it
  // acquired the partition. It must not send orders yet.
  Synchronising,
  // This steward owns the partition and may send orders.
  Owned,
  // This steward waits until its orders are settled, then deletes the owner
  // key.
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

// State of one partition in this steward.
struct Partition
{
  Phase phase_ = Phase::Waiting;
  // Fencing token of orders: the version of the owner key while this steward
  // owns the partition, 0 otherwise.
  std::uint64_t fence_ = 0;
  // Last known version of the owner key, 0 if the key is absent. Nothing if the
  // key has to be read first.
  absl::optional<std::uint64_t> seenVersion_;
  bool commandPending_ = false;
  absl::Time acquiredAt_ = absl::InfinitePast();
  absl::Time nextTry_ = absl::InfinitePast();
};

// Rollout on one target of a model that this steward owns.
struct TargetRollout
{
  // The result of the last read. The members up to loading_ are valid only if
  // the target has been read.
  bool hasBeenRead_ = false;
  bool reachable_ = false;
  bool leaving_ = false;
  std::string version_;
  bool loading_ = false;
  absl::Time readAt_ = absl::InfinitePast();
  // Send time of the last read that has ended; its result is not older.
  absl::Time readSentAt_ = absl::InfinitePast();
  bool readPending_ = false;
  absl::Time nextRead_ = absl::InfinitePast();
  // Whether the slots of the platform contain this target.
  bool hasSlot_ = false;
  bool orderPending_ = false;
  // Version of the accepted order that the target carries out; empty if there
  // is none.
  std::string acceptedVersion_;
  absl::Time acceptedAt_ = absl::InfinitePast();
  // Number of orders sent since the target last served the version, or since
  // the rollout changed or ended.
  std::uint32_t orderAttempts_ = 0;
  // Reads that were sent before this time may not show the effect of the last
  // slot or order.
  absl::Time effectVisibleAt_ = absl::InfinitePast();
  // Time until which no order is sent and the slot is not released, since an
  // order without an answer may still arrive.
  absl::Time holdUntil_ = absl::InfinitePast();
};

// A rollout of a model that this steward owns.
struct ModelRollout
{
  Record record_;
  // Version of the record in the platform, 0 if the platform has no record.
  std::uint64_t recordVersion_ = 0;
  bool writePending_ = false;
  // Reason of the first failure. It is set before the failure is written to the
  // record; empty if there is none.
  std::string failure_;
  absl::Time nextProgressWrite_ = absl::InfinitePast();
  absl::btree_map<std::string, TargetRollout> targets_;
};

// The slots in the platform, and the changes that this steward requests.
struct SlotTable
{
  // Whether the last reply contained the current slots. Orders are sent only
  // while this is true.
  bool fresh_ = false;
  // Whether the slots have to be written even without changes. A new owner
  // writes the slots once before it relies on them, so that a delayed write of
  // the previous owner fails with a version conflict.
  bool barrierNeeded_ = true;
  bool commandPending_ = false;
  std::uint64_t version_ = 0;
  std::vector<Slot> slots_;
  // Requested changes.
  std::vector<Slot> toAcquire_;
  std::vector<Slot> toRelease_;
  // The slots after the pending write, if it succeeds.
  std::vector<Slot> pendingSlots_;
  absl::Time nextTry_ = absl::InfinitePast();
  absl::Time nextRead_ = absl::InfinitePast();
};

// Purpose of a platform command; selects the handler of its reply.
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
  // The value that was written, to recognise it after a lost reply, or the
  // lease that the command names.
  std::string value_;
  absl::Time sent_;
};

// An order to a target whose result is not known yet.
struct PendingOrder
{
  std::string model_;
  std::string target_;
  std::string version_;
  std::uint64_t fence_ = 0;
};

// A read of a target's state that has not ended yet.
struct PendingRead
{
  std::string model_;
  std::string target_;
  absl::Time sent_;
};

// Counters for the metrics of a steward.
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

// State of the rollouts in one steward.
struct State
{
  Settings settings_;
  // Name of this steward's host.
  std::string name_;
  config::ConfigPtr config_;
  // Names of the live hosts.
  std::vector<std::string> hosts_;
  bool stopping_ = false;
  // Identifier of the lease; empty if this steward has none.
  std::string lease_;
  // Time until which the lease is certainly valid.
  absl::Time leaseValidUntil_ = absl::InfinitePast();
  bool leasePending_ = false;
  absl::Time nextLeaseCall_ = absl::InfinitePast();
  std::array<Partition, kPartitionCount> partitions_;
  SlotTable slots_;
  bool listPending_ = false;
  absl::Time nextList_ = absl::InfinitePast();
  // Position and result of a listing of records that takes several pages: the
  // last listed key, and the models listed so far.
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

// Periodic event, posted about every 100 ms.
struct Tick
{};

// A new revision of the configuration was received.
struct ConfigChanged
{
  config::ConfigPtr config_;
};

// The current live hosts, from which the candidates of a partition are chosen.
struct HostsChanged
{
  std::vector<std::string> hosts_;
};

// The reply to a platform command.
struct PlatformReplied
{
  platform::Reply reply_;
};

// Result of a read of a target's state.
struct TargetRead
{
  std::uint64_t id_ = 0;
  bool reachable_ = false;
  std::string version_;
  bool loading_ = false;
  bool leaving_ = false;
};

// Result of an order to a target.
enum class OrderResult
{
  Accepted,
  // The target has received an order with a higher fence.
  StaleFence,
  // The target refused the order for another reason.
  Refused,
  // No answer was received. The order may have arrived or may still arrive.
  Lost,
  // The order was not sent, for instance since notAfter_ had passed.
  NotSent,
};

inline constexpr std::array<core::Named<OrderResult>, 5> kOrderResults{ {
  { OrderResult::Accepted, "accepted" },
  { OrderResult::StaleFence, "stale_fence" },
  { OrderResult::Refused, "refused" },
  { OrderResult::Lost, "lost" },
  { OrderResult::NotSent, "not_sent" },
} };

// Reports the result of an order.
struct OrderEnded
{
  std::uint64_t id_ = 0;
  OrderResult result_ = OrderResult::Lost;
  std::string detail_;
};

// Requests that this steward releases its partitions and its lease.
struct StopRequested
{};

// An event and the time at which it occurred.
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

// Effect: sends an order to load weights, unless notAfter_ has passed.
struct SendOrder
{
  std::uint64_t id_ = 0;
  std::string target_;
  std::string url_;
  std::string version_;
  std::uint64_t fence_ = 0;
  absl::Time notAfter_;
};

// Effect: reads the state of a target.
struct ReadTarget
{
  std::uint64_t id_ = 0;
  std::string target_;
  std::string url_;
};

// Effect: logs a line of key=value pairs.
struct Log
{
  std::string line_;
};

using Effect = std::variant<platform::Command, SendOrder, ReadTarget, Log>;

// Returns the initial state of the steward on the host aName.
State
InitialState(absl::string_view aName, const Settings& aSettings);

// Applies one event to the state and returns the effects to carry out.
std::vector<Effect>
Step(State& aState, const Event& aEvent);

// Returns whether a stop was requested and the steward has released its lease,
// and its partitions with it.
bool
IsStopped(const State& aState);

} // namespace lycheeplank::rollout

#endif
