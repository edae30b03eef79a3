#ifndef LYCHEEPLANK_SRC_ROLLOUT_INTERNAL_H
#define LYCHEEPLANK_SRC_ROLLOUT_INTERNAL_H

#include <vector>

#include "lycheeplank/rollout.h"

namespace lycheeplank::rollout {

using Effects = std::vector<Effect>;

// Sends a command to the platform and remembers what it is for.
void
SendCommand(State& aState,
            platform::Command aCommand,
            PendingCommand aPending,
            absl::Time aNow,
            Effects& aEffects);

// Ownership: lease and owner keys.

void
RunOwnership(State& aState, absl::Time aNow, Effects& aEffects);

void
TakeLeaseReply(State& aState,
               const PendingCommand& aCommand,
               const platform::Reply& aReply,
               absl::Time aNow,
               Effects& aEffects);

void
TakeOwnerReply(State& aState,
               const PendingCommand& aCommand,
               const platform::Reply& aReply,
               absl::Time aNow,
               Effects& aEffects);

// Changes the phase of a partition.
void
SetPhase(State& aState,
         std::uint32_t aPartition,
         Phase aPhase,
         Effects& aEffects);

// Gives a partition up, so that it can be taken under a higher fence.
void
ReleasePartition(State& aState,
                 std::uint32_t aPartition,
                 absl::Time aNow,
                 Effects& aEffects);

// Forgets the models of a partition that this steward no longer owns.
void
ForgetPartition(State& aState, std::uint32_t aPartition);

// Whether this steward may act on a model.
bool
IsOwned(const State& aState, absl::string_view aModel);

// Slots.

void
RunSlots(State& aState, absl::Time aNow, Effects& aEffects);

void
TakeSlotsReply(State& aState,
               const PendingCommand& aCommand,
               const platform::Reply& aReply,
               absl::Time aNow,
               Effects& aEffects);

// Records.

void
RunRecords(State& aState, absl::Time aNow, Effects& aEffects);

void
TakeRecordReply(State& aState,
                const PendingCommand& aCommand,
                const platform::Reply& aReply,
                absl::Time aNow,
                Effects& aEffects);

// Targets.

void
RunTargets(State& aState, absl::Time aNow, Effects& aEffects);

void
TakeTargetRead(State& aState, const TargetRead& aRead, absl::Time aNow);

void
TakeOrderEnd(State& aState,
             const OrderEnded& aEnd,
             absl::Time aNow,
             Effects& aEffects);

// Returns the names of a model's targets in the configuration.
std::vector<std::string>
TargetsOf(const State& aState, absl::string_view aModel);

// Notes the first failure of a rollout, which ends it.
void
Fail(ModelRollout& aWork, std::string aReason, Effects& aEffects);

} // namespace lycheeplank::rollout

#endif
