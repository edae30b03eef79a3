#ifndef LYCHEEPLANK_SRC_REDUCER_INTERNAL_H
#define LYCHEEPLANK_SRC_REDUCER_INTERNAL_H

#include "lycheeplank/reducer.h"

// Functions that the source files of the reducer share.
namespace lycheeplank::reducer::detail {

// The state, time and effects of one step.
struct Context
{
  State& state_;
  absl::Time now_;
  std::uint64_t random_ = 0;
  std::vector<Effect>& effects_;
  // Pools that may have free slots. Their waiting requests start at the end of
  // the step.
  std::vector<Pool*> poolsToStart_;
};

// requests.cc: requests from arrival to final answer.
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
// Starts waiting requests of all pools in poolsToStart_ while slots are free.
void
StartWaitingRequests(Context& aContext);
// Answers waiting and running requests whose deadline can't be met any more.
void
ExpireRequests(Context& aContext);
// Removes a request that has its final answer and frees its slot.
void
EndRequest(Context& aContext, RequestId aId);
// Returns whether the attempts before the current one may have run.
core::RunState
RunStateOf(const RequestState& aRequest);
// Ends a request with an error.
void
Refuse(Context& aContext, RequestId aId, core::Error aError);

// run-results.cc: updates from the results of runs.
// Updates target health, retry budgets and the moving averages after a complete
// answer, and reports the run to the steward.
void
RecordCompletion(Context& aContext,
                 RequestState& aRequest,
                 const AttemptEnded& aEvent);
// Reports to the homes of a prompt which blocks the run's engine will hold, and
// which blocks a store failed to deliver.
void
ReportRunBlocks(Context& aContext,
                RequestState& aRequest,
                const AttemptStarted& aEvent);

// routing.cc: the choice of a target for an attempt.
// Returns the weight version for a new attempt; empty if no target serves one.
std::string
ChooseVersion(const Context& aContext, const RequestState& aRequest);
// Returns the names of a pool's targets that may get an attempt of the request
// now. Targets of earlier attempts are returned only if there are no others.
std::vector<std::string>
UsableTargets(const Context& aContext,
              const Pool& aPool,
              const RequestState& aRequest);
// Returns the work that this host sent to a target after its last report was
// measured.
placement::UnreportedWork
OwnWorkOf(const TargetState& aTarget, absl::Time aNow);
// Returns how many leading blocks each store holds, from the directory's list
// of holders.
std::vector<StoreHolding>
StoreHoldingsOf(const std::vector<directory::Holder>& aHolders);
// Chooses a target and sends the attempt there, or refuses the request if no
// target is usable.
void
PlaceAttempt(Context& aContext,
             RequestState& aRequest,
             const std::vector<directory::Holder>& aHolders);

// Returns whether the configuration, the target's health and the platform's
// list allow an attempt of the request at a target. Ignores the target's own
// reports.
bool
IsAllowed(const Context& aContext,
          const Pool& aPool,
          const RequestState& aRequest,
          const std::string& aName);
// Returns whether an attempt of the request may go to a target now, also by the
// target's own reports.
bool
IsUsable(const Context& aContext,
         const Pool& aPool,
         const RequestState& aRequest,
         const std::string& aName);

// loads.cc: load queries to targets that this host doesn't follow.
// Returns whether this host may query a target's load for a request.
bool
MayQueryLoad(const TargetState& aTarget, absl::Time aNow);
// Queries the load of some targets before an attempt begins, if no target with
// a current report can take it. Returns false if no query was sent.
bool
QueryAnyTargets(Context& aContext, RequestState& aRequest);
// Returns whether the last report of a target is recent enough to send work
// there.
bool
HasCurrentReport(const TargetState& aTarget, absl::Time aNow);
// Places an attempt. First queries the load of targets that hold more of the
// prompt than any target with a current report.
void
QueryHoldersAndPlace(Context& aContext,
                     RequestState& aRequest,
                     std::vector<directory::Holder> aHolders);
// Records which of the queried targets did not report.
void
RecordUnansweredQueries(Context& aContext, const RequestState& aRequest);

// targets.cc: reports of targets and stores, and the configuration in force.
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
// Reports to the homes of blocks which ones a holder has or lacks; with
// aInventory the sightings list all blocks of the holder.
void
ReportBlocks(Context& aContext,
             const directory::HolderId& aHolder,
             const std::vector<directory::Sighting>& aSightings,
             bool aInventory);
// Updates which targets this host follows, and its rank among the followers of
// each target.
void
RankFollowers(Context& aContext);
// Updates how many requests of a pool may run at a time.
void
UpdateSlots(Context& aContext, Pool& aPool);

// claimed-calls.cc: calls that must run at most once, under a claim.
// Requests the claim of a call that has a slot.
void
BeginClaim(Context& aContext, RequestState& aRequest);
// Withdraws the claim of a call that was never sent, and answers with an error.
void
AbandonUnsentCall(Context& aContext,
                  RequestState& aRequest,
                  core::Error aError);
// Ends a call that was sent and got no usable answer: its outcome is recorded
// as unknown before the caller gets the error.
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
// Runs a step of the claims module and forwards its effects.
void
StepClaims(Context& aContext, const claims::Event& aEvent);
// Sends heartbeats to the homes of claims whose calls still run.
void
SendClaimHeartbeats(Context& aContext);

// live-hosts.cc: the other entry hosts.
// Runs a step of the membership module, forwards its effects and adapts to
// changes of the live hosts.
void
StepMembership(Context& aContext, decltype(membership::Event::body_) aBody);

// config-sync.cc: the configuration in force.
// Runs a step of the configuration module and forwards its effects.
void
StepConfig(Context& aContext, config::EventBody aBody);

// Returns the pool of a request, which has to exist.
Pool&
PoolOf(State& aState, const NewRequest& aRequest);

// Adds an effect that adds one to a counter.
void
AddCount(Context& aContext,
         absl::string_view aName,
         absl::string_view aLabel,
         absl::string_view aValue);
// Adds an effect that records a decision about a request.
void
AddTrace(Context& aContext,
         const NewRequest& aRequest,
         absl::string_view aEvent,
         std::string aDetail);

} // namespace lycheeplank::reducer::detail

#endif
