#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <glog/logging.h>

#include "config/sync_internal.h"
#include "lycheeplank/core.h"

namespace lycheeplank::config {

namespace {

constexpr std::size_t kChunksPerPeerFetch = 16;
constexpr std::size_t kParallelChunkReads = 4;
// After this many failed fetches from peers, the chunks of a head are read from
// the platform.
constexpr std::uint32_t kMaxPeerFailures = 3;
// How long a peer is not used after a failed fetch.
constexpr absl::Duration kPeerAvoidance = absl::Seconds(1);

// Returns the higher of the revision in force and the pending one.
std::uint64_t
NewestKnownRevision(const SyncState& aState)
{
  return std::max(RevisionOf(aState),
                  aState.pending_ ? aState.pending_->head_.revision_ : 0);
}

// Returns the available peer with the highest revision, which must be at least
// aRevision, or nothing.
absl::optional<PeerAddress>
PickPeer(StepContext& aContext, std::uint64_t aRevision)
{
  absl::optional<PeerAddress> best;
  std::uint64_t bestRevision = 0;
  std::uint64_t bestScore = 0;
  for (const auto& [name, peer] : aContext.state_.peers_) {
    if (peer.revision_ < aRevision || peer.avoidUntil_ > aContext.now_) {
      continue;
    }
    // The score differs by host, which spreads the load over peers with the
    // same revision.
    const std::uint64_t score =
      core::RendezvousScore(aContext.state_.host_, name);
    if (!best || peer.revision_ > bestRevision ||
        (peer.revision_ == bestRevision && score > bestScore)) {
      best = PeerAddress{ name, peer.address_ };
      bestRevision = peer.revision_;
      bestScore = score;
    }
  }
  return best;
}

void
SendPeerFetch(StepContext& aContext,
              RequestKind aKind,
              const PeerAddress& aPeer,
              std::vector<std::string> aDigests)
{
  Count(aContext, SyncCount::PeerFetches);
  PendingRequest request;
  request.kind_ = aKind;
  request.deadline_ = aContext.now_ + aContext.state_.options_.requestTimeout_;
  request.peer_ = aPeer.name_;
  request.digests_ = aDigests;
  const std::uint64_t id = AddRequest(aContext, std::move(request));
  aContext.effects_.emplace_back(
    FetchFromPeer{ id, aPeer, std::move(aDigests) });
}

// Fetches the head of the best peer if its revision is newer than the newest
// one known to this host.
void
FetchNewerHead(StepContext& aContext)
{
  const auto& state = aContext.state_;
  const bool discovering =
    !state.inForce_ &&
    aContext.now_ - *state.startedAt_ < state.options_.startWindow_;
  if (discovering || CountInFlight(state, RequestKind::PeerHead) > 0) {
    return;
  }
  if (const auto peer = PickPeer(aContext, NewestKnownRevision(state) + 1)) {
    SendPeerFetch(aContext, RequestKind::PeerHead, *peer, {});
  }
}

// Returns the missing chunks that are not being fetched.
std::vector<std::string>
UnrequestedChunks(const SyncState& aState)
{
  absl::btree_set<std::string> requested;
  for (const auto& [id, request] : aState.requests_) {
    if (request.kind_ == RequestKind::PeerChunks ||
        request.kind_ == RequestKind::PlatformChunk) {
      requested.insert(request.digests_.begin(), request.digests_.end());
    }
  }
  std::vector<std::string> digests;
  for (const auto& digest : aState.pending_->missing_) {
    if (!requested.contains(digest) &&
        !requested.contains(absl::StrCat(kChunkPrefix, digest))) {
      digests.push_back(digest);
    }
  }
  return digests;
}

void
RequestChunks(StepContext& aContext)
{
  auto& state = aContext.state_;
  std::vector<std::string> digests = UnrequestedChunks(state);
  if (digests.empty() || CountInFlight(state, RequestKind::PeerChunks) > 0) {
    return;
  }
  const auto& pending = *state.pending_;
  if (pending.peerFailures_ < kMaxPeerFailures) {
    if (const auto peer = PickPeer(aContext, pending.head_.revision_)) {
      digests.resize(std::min(digests.size(), kChunksPerPeerFetch));
      SendPeerFetch(
        aContext, RequestKind::PeerChunks, *peer, std::move(digests));
      return;
    }
  }
  for (const auto& digest : digests) {
    if (CountInFlight(state, RequestKind::PlatformChunk) >=
        kParallelChunkReads) {
      return;
    }
    Count(aContext, SyncCount::PlatformChunkReads);
    SendRead(
      aContext, RequestKind::PlatformChunk, absl::StrCat(kChunkPrefix, digest));
  }
}

// Assembles the texts of a head's sections from their chunks.
std::vector<Section>
AssembleSections(const SyncState& aState, const Head& aHead)
{
  std::vector<Section> sections;
  for (const auto& entry : aHead.sections_) {
    if (entry.chunks_.empty()) {
      continue;
    }
    Section section{ entry.name_, entry.owner_ };
    for (const auto& digest : entry.chunks_) {
      section.text_ += *aState.chunks_.at(digest);
    }
    sections.push_back(std::move(section));
  }
  return sections;
}

void
CheckPending(StepContext& aContext)
{
  auto& pending = *aContext.state_.pending_;
  PendingRequest request;
  request.kind_ = RequestKind::CheckPending;
  request.deadline_ = absl::InfiniteFuture();
  pending.checkId_ = AddRequest(aContext, std::move(request));
  aContext.effects_.emplace_back(
    CheckDocument{ pending.checkId_,
                   pending.head_.revision_,
                   AssembleSections(aContext.state_, pending.head_),
                   aContext.state_.inForce_ });
}

// Removes the chunks that neither the head in force nor the pending head
// references.
void
DropUnusedChunks(SyncState& aState)
{
  absl::btree_set<std::string> used = DigestsOf(aState.inForce_->head_);
  if (aState.pending_) {
    const auto more = DigestsOf(aState.pending_->head_);
    used.insert(more.begin(), more.end());
  }
  for (auto chunk = aState.chunks_.begin(); chunk != aState.chunks_.end();) {
    chunk = used.contains(chunk->first) ? std::next(chunk)
                                        : aState.chunks_.erase(chunk);
  }
}

void
CheckDigests(const SyncState& aState, const Head& aHead)
{
  for (const auto& digest : DigestsOf(aHead)) {
    CHECK_EQ(core::Sha256Hex(*aState.chunks_.at(digest)), digest)
      << "a chunk of the configuration does not match its digest";
  }
}

void
PutInForce(StepContext& aContext, ConfigPtr aConfig)
{
  auto& state = aContext.state_;
  auto accepted = std::make_shared<Accepted>();
  accepted->head_ = std::move(state.pending_->head_);
  accepted->headText_ = std::move(state.pending_->text_);
  accepted->sections_ = AssembleSections(state, accepted->head_);
  accepted->config_ = std::move(aConfig);
  state.pending_.reset();
  CHECK_GT(accepted->head_.revision_, RevisionOf(state));
  CHECK_EQ(accepted->config_->revision_, accepted->head_.revision_);
  CheckDigests(state, accepted->head_);
  state.inForce_ = std::move(accepted);
  DropUnusedChunks(state);
  aContext.effects_.emplace_back(Publish{ state.inForce_ });
}

void
OnPeerFailed(StepContext& aContext, const PendingRequest& aRequest)
{
  auto& state = aContext.state_;
  Count(aContext, SyncCount::FailedPeerFetches);
  if (const auto peer = state.peers_.find(aRequest.peer_);
      peer != state.peers_.end()) {
    peer->second.avoidUntil_ = aContext.now_ + kPeerAvoidance;
  }
  if (aRequest.kind_ == RequestKind::PeerChunks && state.pending_) {
    ++state.pending_->peerFailures_;
  }
}

// Drops a pending head whose chunks are gone and schedules a read of the
// current head.
void
AbandonPendingHead(StepContext& aContext)
{
  auto& state = aContext.state_;
  state.pending_.reset();
  state.nextPoll_ = aContext.now_ + state.options_.retryPause_;
  state.behindSince_ = absl::InfinitePast();
}

} // namespace

void
RecordHead(StepContext& aContext, const std::string& aText)
{
  auto& state = aContext.state_;
  auto head = ParseHead(aText);
  if (!head) {
    Count(aContext, SyncCount::MalformedHeads);
    return;
  }
  if (head->revision_ < RevisionOf(state)) {
    Count(aContext, SyncCount::StaleHeads);
  }
  if (head->revision_ <= NewestKnownRevision(state)) {
    return;
  }
  PendingHead pending;
  for (const auto& digest : DigestsOf(*head)) {
    if (!state.chunks_.contains(digest)) {
      pending.missing_.insert(digest);
    }
  }
  pending.head_ = *std::move(head);
  pending.text_ = aText;
  state.pending_ = std::move(pending);
}

void
AddChunk(StepContext& aContext, ChunkContent aChunk)
{
  auto& state = aContext.state_;
  if (!state.pending_ || !state.pending_->missing_.contains(aChunk.digest_)) {
    return;
  }
  if (core::Sha256Hex(aChunk.content_) != aChunk.digest_) {
    Count(aContext, SyncCount::WrongDigests);
    return;
  }
  state.pending_->missing_.erase(aChunk.digest_);
  state.chunks_[aChunk.digest_] =
    std::make_shared<const std::string>(std::move(aChunk.content_));
}

void
AdvanceFetch(StepContext& aContext)
{
  auto& state = aContext.state_;
  FetchNewerHead(aContext);
  if (!state.pending_ || state.pending_->checkId_ != 0) {
    return;
  }
  if (state.pending_->missing_.empty()) {
    CheckPending(aContext);
  } else {
    RequestChunks(aContext);
  }
}

void
OnPeerReply(StepContext& aContext,
            const PendingRequest& aRequest,
            const PeerReply& aPeerReply)
{
  if (!aPeerReply.reached_) {
    OnPeerFailed(aContext, aRequest);
    return;
  }
  const std::uint64_t known = NewestKnownRevision(aContext.state_);
  if (!aPeerReply.head_.empty()) {
    RecordHead(aContext, aPeerReply.head_);
  }
  bool useful = NewestKnownRevision(aContext.state_) > known;
  for (const auto& chunk : aPeerReply.chunks_) {
    const std::size_t before = aContext.state_.chunks_.size();
    AddChunk(aContext, chunk);
    useful = useful || aContext.state_.chunks_.size() > before;
  }
  if (!useful) {
    OnPeerFailed(aContext, aRequest);
  }
}

void
OnPlatformChunk(StepContext& aContext,
                const PendingRequest& aRequest,
                const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  const std::string digest(
    absl::StripPrefix(aRequest.digests_.front(), kChunkPrefix));
  const bool isMissing =
    state.pending_ && state.pending_->missing_.contains(digest);
  if (aReply.outcome_ == platform::Outcome::Ok) {
    AddChunk(aContext, { digest, aReply.value_ });
  } else if (aReply.outcome_ == platform::Outcome::Absent && isMissing) {
    Count(aContext, SyncCount::MissingChunks);
    AbandonPendingHead(aContext);
  } else if (isMissing) {
    // The platform failed too, so fetches from peers are tried again.
    state.pending_->peerFailures_ = 0;
  }
}

void
OnPendingChecked(StepContext& aContext, const DocumentChecked& aChecked)
{
  auto& state = aContext.state_;
  if (!state.pending_ || state.pending_->checkId_ != aChecked.id_) {
    return;
  }
  if (!aChecked.problems_.empty()) {
    // A host of another software version has accepted the document. The current
    // configuration stays in force.
    Count(aContext, SyncCount::UnreadableDocuments);
    return;
  }
  PutInForce(aContext, aChecked.config_);
}

} // namespace lycheeplank::config
