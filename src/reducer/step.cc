#include "reducer/internal.h"

#include <glog/logging.h>

namespace lycheeplank::reducer {

namespace detail {

namespace {

membership::HostListRead
MakeHostListRead(const platform::Reply& aReply)
{
  return { aReply.outcome_ == platform::Outcome::Ok,
           aReply.version_,
           aReply.hosts_ };
}

// Calls the handler of each kind of event.
struct EventDispatcher
{
  Context& context_;

  void operator()(const RequestArrived& aEvent)
  {
    OnArrived(context_, aEvent.request_);
  }
  void operator()(const CallerDisconnected& aEvent)
  {
    OnCallerDisconnected(context_, aEvent.id_);
  }
  void operator()(const AttemptStarted& aEvent)
  {
    OnAttemptStarted(context_, aEvent);
  }
  void operator()(const AttemptEnded& aEvent)
  {
    OnAttemptEnded(context_, aEvent);
  }
  void operator()(const HoldersLocated& aEvent)
  {
    OnHoldersLocated(context_, aEvent);
  }
  void operator()(const LoadsCollected& aEvent)
  {
    OnLoadsCollected(context_, aEvent);
  }
  void operator()(const TargetReported& aEvent)
  {
    OnTargetReported(context_, aEvent);
  }
  void operator()(const CacheReported& aEvent)
  {
    OnCacheReported(context_, aEvent);
  }
  void operator()(const StoreReported& aEvent)
  {
    OnStoreReported(context_, aEvent);
  }
  void operator()(const StoreInventory& aEvent)
  {
    OnStoreInventory(context_, aEvent);
  }
  void operator()(const StoreBlocksChanged& aEvent)
  {
    ReportBlocks(context_,
                 { aEvent.store_, directory::HolderKind::Store },
                 aEvent.sightings_,
                 false);
  }
  void operator()(const PeerReportsBlocks& aEvent)
  {
    if (aEvent.inventory_) {
      directory::ApplyInventory(
        context_.state_.directory_, aEvent.holder_, aEvent.sightings_);
      return;
    }
    for (const auto& sighting : aEvent.sightings_) {
      directory::Apply(context_.state_.directory_, aEvent.holder_, sighting);
    }
  }
  void operator()(const ConfigInForce& aEvent)
  {
    OnConfigInForce(context_, aEvent);
  }
  void operator()(const PlatformReplied& aEvent)
  {
    if (aEvent.module_ != Module::Membership &&
        aEvent.reply_.outcome_ != platform::Outcome::Lost &&
        aEvent.reply_.outcome_ != platform::Outcome::Refused) {
      StepMembership(context_, membership::PlatformReached{});
    }
    switch (aEvent.module_) {
      case Module::Config:
        StepConfig(context_, aEvent.reply_);
        return;
      case Module::Claims:
        StepClaims(context_,
                   claims::PlatformReplied{ aEvent.reply_, context_.now_ });
        return;
      case Module::Membership:
        StepMembership(context_, MakeHostListRead(aEvent.reply_));
        return;
    }
  }
  void operator()(const ConfigEvent& aEvent)
  {
    StepConfig(context_, aEvent.body_);
  }
  void operator()(const MembershipEvent& aEvent)
  {
    StepMembership(context_, aEvent.body_);
  }
  void operator()(const DrainRequested&)
  {
    StepMembership(context_, membership::DrainStarted{});
  }
  void operator()(const ClaimedCallEnded& aEvent)
  {
    OnClaimedCallEnded(context_, aEvent);
  }
  void operator()(const ClaimAnswered& aEvent)
  {
    OnClaimAnswered(context_, aEvent);
  }
  void operator()(const OutcomeReportAnswered& aEvent)
  {
    OnOutcomeReportAnswered(context_, aEvent);
  }
  void operator()(const PeerRequestsClaim& aEvent)
  {
    OnPeerRequestsClaim(context_, aEvent);
  }
  void operator()(const PeerReportsOutcome& aEvent)
  {
    OnPeerReportsOutcome(context_, aEvent);
  }
  void operator()(const PeerSendsClaimHeartbeat& aEvent)
  {
    StepClaims(context_, aEvent.running_);
  }
  void operator()(const PeerLocatesBlocks& aEvent)
  {
    context_.effects_.emplace_back(ReplyHolders{
      aEvent.callId_,
      directory::LocateHolders(context_.state_.directory_, aEvent.chain_) });
  }
  void operator()(const PeerFetchesConfig& aEvent)
  {
    context_.effects_.emplace_back(ReplyConfig{
      aEvent.callId_,
      config::ServeChunks(context_.state_.configSync_, aEvent.digests_) });
  }
  void operator()(const Tick&)
  {
    ExpireRequests(context_);
    StepMembership(context_, membership::Tick{});
    StepConfig(context_, config::Tick{});
    StepClaims(context_, claims::Tick{ context_.now_ });
    SendClaimHeartbeats(context_);
  }
};

} // namespace

Pool&
PoolOf(State& aState, const NewRequest& aRequest)
{
  const auto found =
    aState.pools_.find({ aRequest.kind_, aRequest.modelOrService_ });
  CHECK(found != aState.pools_.end())
    << "no pool for " << aRequest.modelOrService_
    << " although a request for it was admitted";
  return found->second;
}

void
AddCount(Context& aContext,
         absl::string_view aName,
         absl::string_view aLabel,
         absl::string_view aValue)
{
  aContext.effects_.emplace_back(IncrementCounter{
    std::string(aName), std::string(aLabel), std::string(aValue) });
}

void
AddTrace(Context& aContext,
         const NewRequest& aRequest,
         absl::string_view aEvent,
         std::string aDetail)
{
  aContext.effects_.emplace_back(TraceDecision{ aRequest.publicId_,
                                                aRequest.workspace_,
                                                aRequest.kind_,
                                                std::string(aEvent),
                                                std::move(aDetail) });
}

} // namespace detail

std::vector<Effect>
Step(State& aState, const StepInput& aInput, const Event& aEvent)
{
  std::vector<Effect> effects;
  detail::Context context{ aState, aInput.now_, aInput.random_, effects, {} };
  absl::visit(detail::EventDispatcher{ context }, aEvent);
  detail::StartWaitingRequests(context);
  return effects;
}

} // namespace lycheeplank::reducer
