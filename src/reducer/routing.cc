#include "reducer/internal.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace lycheeplank::reducer::detail {

namespace {

constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
// One-way latency to a target in another data centre.
constexpr absl::Duration kRemoteLatency = absl::Milliseconds(1);

const config::Target&
TargetConfigOf(const State& aState, const std::string& aTarget)
{
  return aState.config_->targets_.at(aTarget);
}

// Returns a target with its load and its cached blocks as a placement
// candidate.
placement::Candidate
MakeCandidate(const Context& aContext,
              const Pool& aPool,
              const std::string& aName,
              const std::vector<directory::Holder>& aHolders)
{
  const State& state = aContext.state_;
  const auto& [name, target] = *state.targets_.find(aName);
  const config::Target& settings = TargetConfigOf(state, aName);
  placement::Candidate candidate;
  candidate.name_ = name;
  candidate.dataCentre_ = settings.dataCentre_;
  candidate.oneWayDelay_ = settings.dataCentre_ == state.self_.dataCentre_
                             ? absl::ZeroDuration()
                             : kRemoteLatency;
  candidate.load_.running_ = target.running_;
  candidate.load_.waiting_ = target.waiting_;
  candidate.load_.queuedPrefillTokens_ = target.queuedPrefillTokens_;
  candidate.load_.age_ = target.reported_ ? aContext.now_ - target.measuredAt_
                                          : absl::InfiniteDuration();
  candidate.unreported_ = OwnWorkOf(target, aContext.now_);
  candidate.maxRuns_ = settings.maxRuns_;
  candidate.prefillTokensPerSecond_ = settings.prefillTokensPerSecond_;
  candidate.meanSlotTime_ = absl::Seconds(aPool.secondsPerRun_);
  candidate.followerRank_ = target.followerRank_;
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ == directory::HolderKind::Engine &&
        holder.id_.name_ == aName) {
      candidate.cachedBlocks_ = holder.leadingBlocks_;
    }
  }
  return candidate;
}

// Returns the link rate that a store reports, or the configured one if it
// reports none.
double
LinkRateOf(const config::Store& aSettings, const StoreState& aStore)
{
  return aStore.linkBytesPerSecond_ > 0.0 ? aStore.linkBytesPerSecond_
                                          : aSettings.linkBytesPerSecond_;
}

// Returns the imports that reachable stores can offer.
std::vector<placement::ImportSource>
MakeOffers(const State& aState,
           const std::vector<directory::Holder>& aHolders,
           absl::Time aNow)
{
  std::vector<placement::ImportSource> offers;
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ != directory::HolderKind::Store) {
      continue;
    }
    const auto settings = aState.config_->stores_.find(holder.id_.name_);
    const auto store = aState.stores_.find(holder.id_.name_);
    if (settings == aState.config_->stores_.end() ||
        store == aState.stores_.end() || !store->second.reached_) {
      continue;
    }
    placement::ImportSource offer;
    offer.store_ = settings->first;
    offer.leadingBlocks_ = holder.leadingBlocks_;
    offer.generations_ = holder.generations_;
    offer.onDisk_ = holder.onDisk_;
    offer.linkBytesPerSecond_ = LinkRateOf(settings->second, store->second);
    offer.diskBytesPerSecond_ = settings->second.diskBytesPerSecond_;
    offer.queuedBytes_ = placement::QueuedBytes(
      store->second.linkQueue_, offer.linkBytesPerSecond_, aNow);
    offers.push_back(std::move(offer));
  }
  return offers;
}

placement::PlacementRequest
MakePlacementInput(const Context& aContext,
                   Pool& aPool,
                   const RequestState& aRequest)
{
  placement::PlacementRequest input;
  const NewRequest& request = aRequest.request_;
  input.promptTokens_ = request.promptTokens_;
  input.remaining_ = request.deadline_ - aContext.now_;
  input.interactive_ = request.priority_ == admission::Priority::Interactive;
  // Round robin uses the seed as its counter; hosts start at different values.
  input.seed_ = aContext.state_.seed_ + aPool.decisions_++;
  if (request.kind_ == RequestKind::ServiceCall) {
    input.policy_ = config::Policy::LeastLoaded;
    return input;
  }
  const config::Model& model =
    aContext.state_.config_->models_.at(request.modelOrService_);
  input.blocks_ = static_cast<std::uint32_t>(aRequest.chain_.size());
  input.blockTokens_ = model.blockTokens_;
  input.kvBytesPerToken_ = model.kvBytesPerToken_;
  input.objective_ = model.objective_;
  input.policy_ = model.policy_;
  input.promptHash_ =
    request.blockHashes_.empty() ? 0 : request.blockHashes_[0].low_;
  return input;
}

// Adds the store and the block keys of the attempt's import, if it has one.
void
AddImport(const State& aState,
          const RequestState& aRequest,
          Dispatch& aDispatch)
{
  if (!aRequest.import_) {
    return;
  }
  const placement::Import& import = *aRequest.import_;
  aDispatch.importUrl_ = aState.config_->stores_.at(import.store_).url_;
  const auto first = aRequest.chain_.begin() + import.firstBlock_;
  aDispatch.importKeys_.assign(first, first + import.blocks_);
  aDispatch.importGenerations_ = import.generations_;
}

// Sends an attempt to its chosen target.
void
SendAttempt(Context& aContext,
            RequestState& aRequest,
            std::uint64_t aComputedTokens)
{
  State& state = aContext.state_;
  const NewRequest& request = aRequest.request_;
  TargetState& target = state.targets_[aRequest.target_];
  target.ownAttempts_.push_back(
    { request.id_, { aContext.now_, aComputedTokens } });
  Pool& pool = PoolOf(state, request);
  admission::RecordDispatch(pool.health_, aRequest.target_, aContext.now_);
  aRequest.sent_ = aContext.now_;
  Dispatch dispatch;
  dispatch.id_ = request.id_;
  dispatch.attempt_ = aRequest.attempt_;
  dispatch.target_ = aRequest.target_;
  dispatch.url_ = TargetConfigOf(state, aRequest.target_).url_;
  dispatch.weightVersion_ = aRequest.weightVersion_;
  dispatch.deadline_ = request.deadline_;
  dispatch.sendOnce_ = !request.repeatable_;
  AddImport(state, aRequest, dispatch);
  AddCount(aContext, "dispatches_total", "target", aRequest.target_);
  aContext.effects_.emplace_back(std::move(dispatch));
}

// Refuses a request for which no target is usable.
void
RefuseWithoutTarget(Context& aContext, RequestState& aRequest)
{
  const bool once = !aRequest.request_.repeatable_;
  // NoTarget promises that the request wasn't started.
  core::Error error{ aRequest.mayHaveRun_ ? core::ErrorKind::TargetFailed
                                          : core::ErrorKind::NoTarget,
                     absl::StrCat("no usable target for ",
                                  aRequest.request_.modelOrService_),
                     "",
                     RunStateOf(aRequest),
                     kDefaultRetryAfter };
  if (once) {
    // Earlier attempts were never sent; otherwise the call would not have been
    // retried.
    AbandonUnsentCall(aContext, aRequest, std::move(error));
  } else {
    Refuse(aContext, aRequest.request_.id_, std::move(error));
  }
}

} // namespace

placement::UnreportedWork
OwnWorkOf(const TargetState& aTarget, absl::Time aNow)
{
  std::vector<placement::SentRun> sent;
  sent.reserve(aTarget.ownAttempts_.size());
  for (const auto& work : aTarget.ownAttempts_) {
    sent.push_back(work.run_);
  }
  return placement::UnreportedWorkSince(sent, aTarget.measuredAt_, aNow);
}

bool
IsAllowed(const Context& aContext,
          const Pool& aPool,
          const RequestState& aRequest,
          const std::string& aName)
{
  const State& state = aContext.state_;
  const auto found = state.targets_.find(aName);
  if (found == state.targets_.end() || found->second.listedAsLeaving_) {
    return false;
  }
  const config::Target& settings = TargetConfigOf(state, aName);
  return admission::AvailabilityOf(aPool.health_, aName, aContext.now_) !=
           admission::Availability::Ejected &&
         config::IsAllowed(*state.config_,
                           aRequest.request_.workspace_,
                           settings.kind_,
                           settings.serves_,
                           settings.dataCentre_);
}

bool
IsUsable(const Context& aContext,
         const Pool& aPool,
         const RequestState& aRequest,
         const std::string& aName)
{
  const State& state = aContext.state_;
  const auto found = state.targets_.find(aName);
  if (found == state.targets_.end()) {
    return false;
  }
  const TargetState& target = found->second;
  const bool completion = aRequest.request_.kind_ == RequestKind::Completion;
  if (!HasCurrentReport(target, aContext.now_) || target.leaving_ ||
      (completion && target.weightVersion_ != aRequest.weightVersion_)) {
    return false;
  }
  return IsAllowed(aContext, aPool, aRequest, aName);
}

std::string
ChooseVersion(const Context& aContext, const RequestState& aRequest)
{
  const State& state = aContext.state_;
  const config::Model& model =
    state.config_->models_.at(aRequest.request_.modelOrService_);
  const auto isServed = [&](const std::string& aVersion) {
    return std::any_of(
      state.targets_.begin(), state.targets_.end(), [&](const auto& aTarget) {
        return HasCurrentReport(aTarget.second, aContext.now_) &&
               aTarget.second.weightVersion_ == aVersion;
      });
  };
  double total = 0.0;
  for (const auto& version : model.versions_) {
    total += isServed(version.name_) ? version.share_ : 0.0;
  }
  // A prompt keeps its version as long as the shares don't change, so that its
  // cached blocks can be reused.
  const auto& contents = aRequest.request_.blockHashes_;
  const std::string name =
    contents.empty() ? aRequest.request_.publicId_ : core::ToHex(contents[0]);
  constexpr double kHashRange = 18446744073709551616.0;
  double point =
    static_cast<double>(core::StableHash(name)) / kHashRange * total;
  std::string chosen;
  for (const auto& version : model.versions_) {
    if (!isServed(version.name_) || version.share_ <= 0.0) {
      continue;
    }
    chosen = version.name_;
    point -= version.share_;
    if (point < 0.0) {
      break;
    }
  }
  return chosen;
}

std::vector<std::string>
UsableTargets(const Context& aContext,
              const Pool& aPool,
              const RequestState& aRequest)
{
  std::vector<std::string> usable;
  std::vector<std::string> tried;
  for (const auto& name : aPool.targets_) {
    if (!IsUsable(aContext, aPool, aRequest, name)) {
      continue;
    }
    const auto& before = aRequest.triedTargets_;
    const bool failed =
      std::find(before.begin(), before.end(), name) != before.end();
    (failed ? tried : usable).push_back(name);
  }
  return usable.empty() ? tried : usable;
}

std::vector<StoreHolding>
StoreHoldingsOf(const std::vector<directory::Holder>& aHolders)
{
  std::vector<StoreHolding> holdings;
  for (const auto& holder : aHolders) {
    if (holder.id_.kind_ == directory::HolderKind::Store) {
      holdings.push_back({ holder.id_.name_, holder.leadingBlocks_ });
    }
  }
  return holdings;
}

void
PlaceAttempt(Context& aContext,
             RequestState& aRequest,
             const std::vector<directory::Holder>& aHolders)
{
  State& state = aContext.state_;
  Pool& pool = PoolOf(state, aRequest.request_);
  const auto usable = UsableTargets(aContext, pool, aRequest);
  std::vector<placement::Candidate> candidates;
  candidates.reserve(usable.size());
  for (const auto& name : usable) {
    candidates.push_back(MakeCandidate(aContext, pool, name, aHolders));
  }
  const auto decision =
    placement::ChooseTarget(MakePlacementInput(aContext, pool, aRequest),
                            candidates,
                            MakeOffers(state, aHolders, aContext.now_));
  if (!decision) {
    RefuseWithoutTarget(aContext, aRequest);
    return;
  }
  aRequest.target_ = decision->target_;
  aRequest.import_ = decision->import_;
  aRequest.directoryBlocks_ = decision->cachedBlocks_;
  if (aRequest.import_) {
    const placement::Import& import = *aRequest.import_;
    StoreState& store = state.stores_[import.store_];
    placement::RecordImport(
      store.linkQueue_,
      import.bytes_,
      LinkRateOf(state.config_->stores_.at(import.store_), store),
      aContext.now_);
  }
  AddTrace(aContext,
           aRequest.request_,
           "placed",
           placement::Explain(*decision, candidates));
  SendAttempt(aContext, aRequest, decision->computedTokens_);
}

} // namespace lycheeplank::reducer::detail
