#ifndef LYCHEEPLANK_SRC_ROLLOUT_INTERNAL_H
#define LYCHEEPLANK_SRC_ROLLOUT_INTERNAL_H

#include <vector>

#include "lycheeplank/rollout.h"

namespace lycheeplank::rollout {

using Effects = std::vector<Effect>;

// Adds the effect that sends a command to the platform, and records the pending
// command for its reply.
void
SendCommand(State& aState,
            platform::Command aCommand,
            PendingCommand aPending,
            absl::Time aNow,
            Effects& aEffects);

// Ownership: the lease and the owner keys of partitions.

// Requests, keeps or drops the lease, and watches, acquires or releases
// partitions.
void
AdvanceOwnership(State& aState, absl::Time aNow, Effects& aEffects);

void
HandleLeaseReply(State& aState,
                 const PendingCommand& aCommand,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects);

void
HandleOwnerKeyReply(State& aState,
                    const PendingCommand& aCommand,
                    const platform::Reply& aReply,
                    absl::Time aNow,
                    Effects& aEffects);

// Changes the phase of a partition and logs the change.
void
SetPhase(State& aState,
         std::uint32_t aPartition,
         Phase aPhase,
         Effects& aEffects);

// Starts to release a partition, so that it can be acquired with a higher
// fence.
void
ReleasePartition(State& aState,
                 std::uint32_t aPartition,
                 absl::Time aNow,
                 Effects& aEffects);

// Erases the models and the slot requests of a partition that this steward no
// longer owns.
void
ErasePartitionModels(State& aState, std::uint32_t aPartition);

// Returns whether this steward owns the partition of a model.
bool
IsOwned(const State& aState, absl::string_view aModel);

// Slots: the targets that may load weights.

// Reads the slots or writes the requested changes if due.
void
AdvanceSlots(State& aState, absl::Time aNow, Effects& aEffects);

void
HandleSlotsReply(State& aState,
                 const PendingCommand& aCommand,
                 const platform::Reply& aReply,
                 absl::Time aNow,
                 Effects& aEffects);

// Records: the stored state of rollouts.

// Lists the records if due, and writes those that have changed.
void
AdvanceRecords(State& aState, absl::Time aNow, Effects& aEffects);

void
HandleRecordReply(State& aState,
                  const PendingCommand& aCommand,
                  const platform::Reply& aReply,
                  absl::Time aNow,
                  Effects& aEffects);

// Targets: reads of their states, and orders.

// Reads targets, sends orders and requests slots for all owned models.
void
AdvanceTargets(State& aState, absl::Time aNow, Effects& aEffects);

void
HandleTargetRead(State& aState, const TargetRead& aRead, absl::Time aNow);

void
HandleOrderEnded(State& aState,
                 const OrderEnded& aEnded,
                 absl::Time aNow,
                 Effects& aEffects);

// Returns the names of the engines that serve a model in the configuration.
std::vector<std::string>
TargetsOf(const State& aState, absl::string_view aModel);

// Records and logs the first failure of a rollout. Later failures are ignored.
void
FailRollout(ModelRollout& aRollout, std::string aReason, Effects& aEffects);

} // namespace lycheeplank::rollout

#endif
