#include "config/sync_internal.h"

#include <algorithm>

#include <glog/logging.h>

#include "lycheeplank/core.h"

namespace lycheeplank::config {

namespace {

// A peer is removed if no revision was received from it for this long.
constexpr absl::Duration kPeerExpiry = absl::Minutes(1);
// Maximum size of the chunks in one response, below gRPC's limit of 4 MB.
constexpr std::size_t kMaxServedBytes = 2UL << 20U;

// Initialises the times of the state on the first event.
void
StartTimers(StepContext& aContext)
{
  auto& state = aContext.state_;
  if (state.startedAt_) {
    return;
  }
  state.startedAt_ = aContext.now_;
  state.lastContactAt_ = aContext.now_;
  state.nextPoll_ = aContext.now_;
  state.nextRevisionRequest_ = aContext.now_;
}

void
OnEvent(StepContext& /*aContext*/, const Tick& /*aTick*/)
{
}

void
OnEvent(StepContext& aContext, const PollersChanged& aPollers)
{
  aContext.state_.poller_ = aPollers.self_;
  aContext.state_.pollers_ = aPollers.others_;
}

bool
IsPoller(const SyncState& aState, const std::string& aName)
{
  for (const auto& poller : aState.pollers_) {
    if (poller.name_ == aName) {
      return true;
    }
  }
  return false;
}

void
OnEvent(StepContext& aContext, const PeerRevisionReceived& aReport)
{
  auto& state = aContext.state_;
  if (aReport.peer_.name_ == state.host_) {
    return;
  }
  auto& peer = state.peers_[aReport.peer_.name_];
  peer.address_ = aReport.peer_.address_;
  peer.revision_ = aReport.revision_;
  peer.seenAt_ = aContext.now_;
  if (IsPoller(state, aReport.peer_.name_)) {
    state.lastContactAt_ = aContext.now_;
  }
}

// Removes and returns the pending request with an id, or returns nothing.
absl::optional<PendingRequest>
TakeRequest(StepContext& aContext, std::uint64_t aId)
{
  auto& requests = aContext.state_.requests_;
  const auto found = requests.find(aId);
  if (found == requests.end()) {
    return absl::nullopt;
  }
  PendingRequest request = std::move(found->second);
  requests.erase(found);
  return request;
}

void
OnEvent(StepContext& aContext, const PeerReply& aPeerReply)
{
  if (const auto request = TakeRequest(aContext, aPeerReply.id_)) {
    OnPeerReply(aContext, *request, aPeerReply);
  }
}

void
OnPolled(StepContext& aContext, const platform::Reply& aReply)
{
  if (aReply.outcome_ != platform::Outcome::Ok &&
      aReply.outcome_ != platform::Outcome::Absent) {
    Count(aContext, SyncCount::FailedPolls);
    return;
  }
  aContext.state_.lastContactAt_ = aContext.now_;
  if (aReply.outcome_ == platform::Outcome::Ok) {
    RecordHead(aContext, aReply.value_);
  }
}

void
DispatchReply(StepContext& aContext,
              const PendingRequest& aRequest,
              const platform::Reply& aReply)
{
  switch (aRequest.kind_) {
    case RequestKind::PollHead:
      OnPolled(aContext, aReply);
      break;
    case RequestKind::PlatformChunk:
      OnPlatformChunk(aContext, aRequest, aReply);
      break;
    case RequestKind::EditReadHead:
      OnEditHead(aContext, aReply);
      break;
    case RequestKind::EditWriteChunk:
      OnEditChunkWritten(aContext, aRequest, aReply);
      break;
    case RequestKind::EditWriteHead:
      OnEditHeadWritten(aContext, aReply);
      break;
    case RequestKind::CleanupList:
    case RequestKind::CleanupReadHead:
    case RequestKind::CleanupAnnounce:
    case RequestKind::CleanupDelete:
      OnCleanupReply(aContext, aRequest.kind_, aReply);
      break;
    case RequestKind::PeerHead:
    case RequestKind::PeerChunks:
    case RequestKind::CheckPending:
    case RequestKind::EditCheck:
      break;
  }
}

void
OnEvent(StepContext& aContext, const platform::Reply& aReply)
{
  if (const auto request = TakeRequest(aContext, aReply.id_)) {
    DispatchReply(aContext, *request, aReply);
  }
}

void
OnEvent(StepContext& aContext, const EditRequested& aEdit)
{
  OnEditRequested(aContext, aEdit);
}

void
OnEvent(StepContext& aContext, const DocumentChecked& aChecked)
{
  const auto request = TakeRequest(aContext, aChecked.id_);
  if (!request) {
    return;
  }
  if (request->kind_ == RequestKind::CheckPending) {
    OnPendingChecked(aContext, aChecked);
  } else {
    OnEditChecked(aContext, aChecked);
  }
}

void
OnEvent(StepContext& aContext, const CleanupDue& /*aDue*/)
{
  OnCleanupDue(aContext);
}

// Handles each request past its deadline as if its reply were lost.
void
ExpireRequests(StepContext& aContext)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, request] : aContext.state_.requests_) {
    if (request.deadline_ <= aContext.now_) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    const auto request = TakeRequest(aContext, id);
    if (!request) {
      continue;
    }
    if (request->kind_ == RequestKind::PeerHead ||
        request->kind_ == RequestKind::PeerChunks) {
      OnPeerReply(aContext, *request, PeerReply{ id });
    } else {
      DispatchReply(aContext, *request, platform::Reply{ id });
    }
  }
}

// Updates since when a peer has a newer revision in force than this host.
void
UpdateBehindSince(StepContext& aContext)
{
  auto& state = aContext.state_;
  std::uint64_t newest = 0;
  for (const auto& [name, peer] : state.peers_) {
    newest = std::max(newest, peer.revision_);
  }
  if (newest <= RevisionOf(state)) {
    state.behindSince_ = absl::InfiniteFuture();
  } else {
    state.behindSince_ = std::min(state.behindSince_, aContext.now_);
  }
}

// Returns whether a host that is not a poller has to poll: because it receives
// no revisions from the pollers, has no configuration, or can't get a newer one
// from its peers.
bool
NeedsFallbackPoll(const StepContext& aContext)
{
  const auto& state = aContext.state_;
  const absl::Time bound = aContext.now_ - state.options_.pollerTimeout_;
  return state.lastContactAt_ <= bound || state.behindSince_ <= bound ||
         (!state.inForce_ && *state.startedAt_ <= bound);
}

void
PollIfDue(StepContext& aContext)
{
  auto& state = aContext.state_;
  const bool shouldPoll = state.poller_ || NeedsFallbackPoll(aContext);
  if (!shouldPoll || aContext.now_ < state.nextPoll_ ||
      CountInFlight(state, RequestKind::PollHead) > 0) {
    return;
  }
  Count(aContext, state.poller_ ? SyncCount::Polls : SyncCount::FallbackPolls);
  const auto interval = state.poller_ ? state.options_.pollInterval_
                                      : state.options_.fallbackInterval_;
  state.nextPoll_ = aContext.now_ + Jittered(aContext, interval);
  SendRead(aContext, RequestKind::PollHead, std::string(kHeadKey));
}

void
RequestRevisionIfDue(StepContext& aContext)
{
  auto& state = aContext.state_;
  if (aContext.now_ < state.nextRevisionRequest_ || state.pollers_.empty()) {
    return;
  }
  state.nextRevisionRequest_ =
    aContext.now_ + Jittered(aContext, state.options_.revisionRequestInterval_);
  const std::size_t index = RandomBelow(aContext, state.pollers_.size());
  aContext.effects_.emplace_back(RequestRevision{ state.pollers_[index] });
}

void
RemoveExpiredPeers(StepContext& aContext)
{
  auto& peers = aContext.state_.peers_;
  for (auto peer = peers.begin(); peer != peers.end();) {
    peer = aContext.now_ - peer->second.seenAt_ > kPeerExpiry
             ? peers.erase(peer)
             : std::next(peer);
  }
}

} // namespace

void
Count(StepContext& aContext, SyncCount aCount)
{
  ++aContext.state_.counts_[static_cast<std::size_t>(aCount)];
}

std::uint64_t
RandomBelow(StepContext& aContext, std::uint64_t aBound)
{
  const auto* const bytes = reinterpret_cast<const char*>(&aContext.random_);
  aContext.random_ = core::StableHash(
    absl::string_view(bytes, sizeof(aContext.random_)), aBound);
  return aContext.random_ % aBound;
}

absl::Duration
Jittered(StepContext& aContext, absl::Duration aInterval)
{
  constexpr std::uint64_t kSteps = 1000;
  constexpr double kMinFactor = 0.75;
  constexpr double kFactorRange = 0.5;
  const double fraction = static_cast<double>(RandomBelow(aContext, kSteps)) /
                          static_cast<double>(kSteps);
  return aInterval * (kMinFactor + kFactorRange * fraction);
}

std::uint64_t
AddRequest(StepContext& aContext, PendingRequest aRequest)
{
  const std::uint64_t id = ++aContext.state_.lastRequest_;
  aContext.state_.requests_.emplace(id, std::move(aRequest));
  return id;
}

void
Send(StepContext& aContext, RequestKind aKind, platform::Command aCommand)
{
  PendingRequest request;
  request.kind_ = aKind;
  request.deadline_ = aContext.now_ + aContext.state_.options_.requestTimeout_;
  request.digests_ = { aCommand.key_ };
  aCommand.id_ = AddRequest(aContext, std::move(request));
  aContext.effects_.emplace_back(SendCommand{ std::move(aCommand) });
}

void
SendRead(StepContext& aContext, RequestKind aKind, std::string aKey)
{
  platform::Command command;
  command.operation_ = platform::Operation::Read;
  command.key_ = std::move(aKey);
  Send(aContext, aKind, std::move(command));
}

std::size_t
CountInFlight(const SyncState& aState, RequestKind aKind)
{
  std::size_t count = 0;
  for (const auto& [id, request] : aState.requests_) {
    count += request.kind_ == aKind ? 1 : 0;
  }
  return count;
}

absl::btree_set<std::string>
DigestsOf(const Head& aHead)
{
  absl::btree_set<std::string> digests;
  for (const auto& section : aHead.sections_) {
    digests.insert(section.chunks_.begin(), section.chunks_.end());
  }
  return digests;
}

std::uint64_t
RevisionOf(const SyncState& aState)
{
  return aState.inForce_ ? aState.inForce_->head_.revision_ : 0;
}

absl::Time
LastContact(const SyncState& aState)
{
  return aState.startedAt_ ? aState.lastContactAt_ : absl::InfinitePast();
}

DocumentChecked
RunCheck(const CheckDocument& aCheck)
{
  CheckResult result = aCheck.basis_ ? CheckChanges(aCheck.sections_,
                                                    aCheck.basis_->sections_,
                                                    *aCheck.basis_->config_)
                                     : Check(aCheck.sections_);
  result.config_.revision_ = aCheck.revision_;
  return { aCheck.id_,
           std::make_shared<const Config>(std::move(result.config_)),
           std::move(result.problems_) };
}

std::vector<Effect>
Step(SyncState& aState, const Event& aEvent)
{
  std::vector<Effect> effects;
  StepContext context{ aState, aEvent.now_, aEvent.random_, effects };
  const std::uint64_t before = RevisionOf(aState);
  StartTimers(context);
  absl::visit([&](const auto& aBody) { OnEvent(context, aBody); },
              aEvent.body_);
  ExpireRequests(context);
  RemoveExpiredPeers(context);
  RequestRevisionIfDue(context);
  UpdateBehindSince(context);
  PollIfDue(context);
  AdvanceFetch(context);
  AdvanceEdit(context);
  CHECK_GE(RevisionOf(aState), before) << "the revision in force decreased";
  return effects;
}

ServedChunks
ServeChunks(const SyncState& aState, const std::vector<std::string>& aDigests)
{
  ServedChunks response;
  if (!aState.inForce_) {
    return response;
  }
  response.revision_ = aState.inForce_->head_.revision_;
  response.head_ = aState.inForce_->headText_;
  std::size_t bytes = 0;
  for (const auto& digest : aDigests) {
    const auto found = aState.chunks_.find(digest);
    if (found == aState.chunks_.end()) {
      continue;
    }
    bytes += found->second->size();
    if (bytes > kMaxServedBytes) {
      break;
    }
    CHECK_EQ(core::Sha256Hex(*found->second), digest);
    response.chunks_.push_back({ digest, *found->second });
  }
  return response;
}

} // namespace lycheeplank::config
