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
// Failed fetches of one head's chunks after which the platform is asked.
constexpr std::uint32_t kPeerTries = 3;
// How long a peer that failed is passed over.
constexpr absl::Duration kAvoidPeer = absl::Seconds(1);

std::uint64_t
NewestKnown(const SyncState& aState)
{
  return std::max(RevisionOf(aState),
                  aState.pending_ ? aState.pending_->head_.revision_ : 0);
}

// Returns the best peer that has at least a revision, or nothing.
absl::optional<PeerAddress>
PickPeer(Context& aContext, std::uint64_t aRevision)
{
  absl::optional<PeerAddress> best;
  std::uint64_t bestRevision = 0;
  std::uint64_t bestDraw = 0;
  for (const auto& [name, peer] : aContext.state_.peers_) {
    if (peer.revision_ < aRevision || peer.avoidUntil_ > aContext.now_) {
      continue;
    }
    // Equal peers share the load.
    const std::uint64_t draw =
      core::RendezvousScore(aContext.state_.host_, name);
    if (!best || peer.revision_ > bestRevision ||
        (peer.revision_ == bestRevision && draw > bestDraw)) {
      best = PeerAddress{ name, peer.address_ };
      bestRevision = peer.revision_;
      bestDraw = draw;
    }
  }
  return best;
}

void
FetchPeer(Context& aContext,
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

// Asks the best peer for its head if it is newer than all that is known here.
void
ChaseNewerHead(Context& aContext)
{
  const auto& state = aContext.state_;
  const bool listening = !state.inForce_ && aContext.now_ - *state.startedAt_ <
                                              state.options_.startWindow_;
  if (listening || InFlight(state, RequestKind::PeerHead) > 0) {
    return;
  }
  if (const auto peer = PickPeer(aContext, NewestKnown(state) + 1)) {
    FetchPeer(aContext, RequestKind::PeerHead, *peer, {});
  }
}

// Returns the missing chunks that no request is out for.
std::vector<std::string>
Unrequested(const SyncState& aState)
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
RequestChunks(Context& aContext)
{
  auto& state = aContext.state_;
  std::vector<std::string> digests = Unrequested(state);
  if (digests.empty() || InFlight(state, RequestKind::PeerChunks) > 0) {
    return;
  }
  const auto& pending = *state.pending_;
  if (pending.peerFailures_ < kPeerTries) {
    if (const auto peer = PickPeer(aContext, pending.head_.revision_)) {
      digests.resize(std::min(digests.size(), kChunksPerPeerFetch));
      FetchPeer(aContext, RequestKind::PeerChunks, *peer, std::move(digests));
      return;
    }
  }
  for (const auto& digest : digests) {
    if (InFlight(state, RequestKind::PlatformChunk) >= kParallelChunkReads) {
      return;
    }
    Count(aContext, SyncCount::PlatformChunkReads);
    SendRead(
      aContext, RequestKind::PlatformChunk, absl::StrCat(kChunkPrefix, digest));
  }
}

// Puts the texts of a head's sections together from their chunks.
std::vector<Section>
Assemble(const SyncState& aState, const Head& aHead)
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
CheckPending(Context& aContext)
{
  auto& pending = *aContext.state_.pending_;
  PendingRequest request;
  request.kind_ = RequestKind::CheckPending;
  request.deadline_ = absl::InfiniteFuture();
  pending.checkId_ = AddRequest(aContext, std::move(request));
  aContext.effects_.emplace_back(
    CheckDocument{ pending.checkId_,
                   pending.head_.revision_,
                   Assemble(aContext.state_, pending.head_),
                   aContext.state_.inForce_ });
}

// Drops the chunks that neither the head in force nor the pending one names.
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
      << "a chunk of the configuration differs from its digest";
  }
}

void
PutInForce(Context& aContext, ConfigPtr aConfig)
{
  auto& state = aContext.state_;
  auto accepted = std::make_shared<Accepted>();
  accepted->head_ = std::move(state.pending_->head_);
  accepted->headText_ = std::move(state.pending_->text_);
  accepted->sections_ = Assemble(state, accepted->head_);
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
OnPeerFailed(Context& aContext, const PendingRequest& aRequest)
{
  auto& state = aContext.state_;
  Count(aContext, SyncCount::FailedPeerFetches);
  if (const auto peer = state.peers_.find(aRequest.peer_);
      peer != state.peers_.end()) {
    peer->second.avoidUntil_ = aContext.now_ + kAvoidPeer;
  }
  if (aRequest.kind_ == RequestKind::PeerChunks && state.pending_) {
    ++state.pending_->peerFailures_;
  }
}

// Forgets a head that can't be completed and reads the current one.
void
GiveUpPending(Context& aContext)
{
  auto& state = aContext.state_;
  state.pending_.reset();
  state.nextPoll_ = aContext.now_ + state.options_.retryPause_;
  state.behindSince_ = absl::InfinitePast();
}

} // namespace

void
LearnHead(Context& aContext, const std::string& aText)
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
  if (head->revision_ <= NewestKnown(state)) {
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
AddChunk(Context& aContext, ChunkContent aChunk)
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
AdvanceFetch(Context& aContext)
{
  auto& state = aContext.state_;
  ChaseNewerHead(aContext);
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
OnPeerAnswer(Context& aContext,
             const PendingRequest& aRequest,
             const PeerReply& aAnswer)
{
  if (!aAnswer.reached_) {
    OnPeerFailed(aContext, aRequest);
    return;
  }
  const std::uint64_t known = NewestKnown(aContext.state_);
  if (!aAnswer.head_.empty()) {
    LearnHead(aContext, aAnswer.head_);
  }
  bool useful = NewestKnown(aContext.state_) > known;
  for (const auto& chunk : aAnswer.chunks_) {
    const std::size_t before = aContext.state_.chunks_.size();
    AddChunk(aContext, chunk);
    useful = useful || aContext.state_.chunks_.size() > before;
  }
  if (!useful) {
    OnPeerFailed(aContext, aRequest);
  }
}

void
OnPlatformChunk(Context& aContext,
                const PendingRequest& aRequest,
                const platform::Reply& aReply)
{
  auto& state = aContext.state_;
  const std::string digest(
    absl::StripPrefix(aRequest.digests_.front(), kChunkPrefix));
  const bool wanted =
    state.pending_ && state.pending_->missing_.contains(digest);
  if (aReply.outcome_ == platform::Outcome::Ok) {
    AddChunk(aContext, { digest, aReply.value_ });
  } else if (aReply.outcome_ == platform::Outcome::Absent && wanted) {
    Count(aContext, SyncCount::MissingChunks);
    GiveUpPending(aContext);
  } else if (wanted) {
    // The platform fails too; the peers get another turn.
    state.pending_->peerFailures_ = 0;
  }
}

void
OnPendingChecked(Context& aContext, const DocumentChecked& aChecked)
{
  auto& state = aContext.state_;
  if (!state.pending_ || state.pending_->checkId_ != aChecked.id_) {
    return;
  }
  if (!aChecked.problems_.empty()) {
    // Accepted by a host of another version; stay with what can be read.
    Count(aContext, SyncCount::UnreadableDocuments);
    return;
  }
  PutInForce(aContext, aChecked.config_);
}

} // namespace lycheeplank::config
