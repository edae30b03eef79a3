#ifndef LYCHEEPLANK_SRC_REDUCER_INTERNAL_H
#define LYCHEEPLANK_SRC_REDUCER_INTERNAL_H

#include "lycheeplank/reducer.h"

// Parts of the reducer, one file each.
namespace lycheeplank::reducer::detail {

// State, time and effects of one step.
struct Context
{
  State& state_;
  absl::Time now_;
  std::uint64_t random_ = 0;
  std::vector<Effect>& effects_;
  // Pools with free slots; their requests start at the end of the step.
  std::vector<Pool*> poolsToStart_;
};

// requests.cc: the way of a request from arrival to its end.
void
OnArrived(Context& aContext, const NewRequest& aRequest);
void
OnCallerDisconnected(Context& aContext, RequestId aId);
void
OnAttemptStarted(Context& aContext, const AttemptStarted& aEvent);
void
OnAttemptEnded(Context& aContext, const AttemptEnded& aEvent);
void
OnHoldersLocated(Context& aContext, const HoldersLocated& aEvent);
void
OnLoadsCollected(Context& aContext, const LoadsCollected& aEvent);
// Starts waiting requests of all pools that were marked.
void
StartWaitingRequests(Context& aContext);
// Answers waiting and running requests whose time is over.
void
ExpireRequests(Context& aContext);
// Drops a request that has its final answer; its slot becomes free.
void
EndRequest(Context& aContext, RequestId aId);
// Ends a request with an error.
void
Refuse(Context& aContext, RequestId aId, core::Error aError);

// learning.cc: what runs teach.
// Learns from a whole answer, and reports a run whose blocks may be kept.
void
RecordCompletion(Context& aContext,
                 RequestState& aRequest,
                 const AttemptEnded& aEvent);
// Tells the homes of a prompt what a run found out.
void
ReportRunBlocks(Context& aContext,
                RequestState& aRequest,
                const AttemptStarted& aEvent);

// routing.cc: which target an attempt goes to.
// Picks the weight version of a new attempt; empty if no target serves one.
std::string
ChooseVersion(const Context& aContext, const RequestState& aRequest);
// Names of a pool's targets that may get an attempt of the request now.
std::vector<std::string>
UsableTargets(const Context& aContext,
              const Pool& aPool,
              const RequestState& aRequest);
// Returns this host's work at a target that the last report can't show.
placement::UnreportedWork
OwnWorkOf(const TargetState& aTarget, absl::Time aNow);
// Returns what the directory says that stores hold.
std::vector<StoreHolding>
StoreHoldingsOf(const std::vector<directory::Holder>& aHolders);
// Chooses the target and sends the attempt, or refuses the request.
void
PlaceAttempt(Context& aContext,
             RequestState& aRequest,
             const std::vector<directory::Holder>& aHolders);

// Whether config, health and the platform's list let an attempt of the request
// go to a target, whatever the target says of itself.
bool
IsAllowed(const Context& aContext,
          const Pool& aPool,
          const RequestState& aRequest,
          const std::string& aName);
// Whether an attempt of the request may go to a target now.
bool
IsUsable(const Context& aContext,
         const Pool& aPool,
         const RequestState& aRequest,
         const std::string& aName);

// loads.cc: the load of targets that this host doesn't follow.
// Whether this host may ask a target for its load when a request needs it.
bool
MayQueryLoad(const TargetState& aTarget, absl::Time aNow);
// Asks some targets before an attempt begins, if no report at hand is of one
// that can take it; false if there is nothing to wait for.
bool
QueryAnyTargets(Context& aContext, RequestState& aRequest);
// Whether the last report of a target is recent enough to send work there.
bool
HasCurrentReport(const TargetState& aTarget, absl::Time aNow);
// Places an attempt; first asks for the load of better holders than those whose
// reports are at hand.
void
QueryHoldersAndPlace(Context& aContext,
                     RequestState& aRequest,
                     std::vector<directory::Holder> aHolders);
// Notes which of the asked targets stayed silent.
void
RecordUnansweredQueries(Context& aContext, const RequestState& aRequest);

// targets.cc: what is known of targets, stores and hosts.
void
OnTargetReported(Context& aContext, const TargetReported& aEvent);
void
OnCacheReported(Context& aContext, const CacheReported& aEvent);
void
OnStoreReported(Context& aContext, const StoreReported& aEvent);
void
OnStoreInventory(Context& aContext, const StoreInventory& aEvent);
void
OnConfigInForce(Context& aContext, const ConfigInForce& aEvent);
// Tells the homes of blocks what was seen at a holder.
void
ReportBlocks(Context& aContext,
             const directory::HolderId& aHolder,
             const std::vector<directory::Sighting>& aSightings,
             bool aInventory);
// Works out which targets this host follows, and its rank among the followers
// of each target.
void
RankFollowers(Context& aContext);
// Sets how many runs a pool may have at once.
void
UpdateSlots(Context& aContext, Pool& aPool);

// calls.cc: calls that must not run twice.
// Asks for the claim of a call that has a slot.
void
BeginClaim(Context& aContext, RequestState& aRequest);
// Gives up a call whose claim was asked for and that was never sent.
void
AbandonUnsentCall(Context& aContext,
                  RequestState& aRequest,
                  core::Error aError);
// Ends a call that was sent and whose answer did not come in time.
void
AbandonSentCall(Context& aContext, RequestState& aRequest, core::Error aError);
void
OnClaimedCallEnded(Context& aContext, const ClaimedCallEnded& aEvent);
void
OnClaimAnswered(Context& aContext, const ClaimAnswered& aEvent);
void
OnOutcomeReportAnswered(Context& aContext, const OutcomeReportAnswered& aEvent);
void
OnPeerRequestsClaim(Context& aContext, const PeerRequestsClaim& aEvent);
void
OnPeerReportsOutcome(Context& aContext, const PeerReportsOutcome& aEvent);
// Runs the claims module and carries its effects on.
void
StepClaims(Context& aContext, const claims::Event& aEvent);
// Tells the homes of claims which calls still run.
void
SendClaimHeartbeats(Context& aContext);

// hosts.cc: the other entry hosts.
void
StepMembership(Context& aContext, decltype(membership::Event::body_) aBody);

// sync.cc: the configuration that is in force.
void
StepConfig(Context& aContext, config::EventBody aBody);

// Returns the pool of a request; it has to exist.
Pool&
PoolOf(State& aState, const NewRequest& aRequest);

// Adds an effect that raises a counter.
void
AddCount(Context& aContext,
         absl::string_view aName,
         absl::string_view aLabel,
         absl::string_view aValue);
// Adds an effect that notes a decision about a request.
void
AddTrace(Context& aContext,
         const NewRequest& aRequest,
         absl::string_view aWhat,
         std::string aDetail);

} // namespace lycheeplank::reducer::detail

#endif
