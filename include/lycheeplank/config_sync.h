#ifndef LYCHEEPLANK_CONFIG_SYNC_H
#define LYCHEEPLANK_CONFIG_SYNC_H

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>
#include <absl/types/variant.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"
#include "lycheeplank/platform.h"

// How a change of the configuration is accepted once and reaches every host.
// All decisions are in Step; time, randomness and replies come as events, and
// what has to be done is returned as effects.
namespace lycheeplank::config {

// Keys in the platform's service.
inline constexpr absl::string_view kHeadKey = "config/head";
inline constexpr absl::string_view kChunkPrefix = "config/chunk/";

// Longest chunk of a section's text, well under the platform's 1 MB.
inline constexpr std::size_t kMaxChunkBytes = 128UL << 10U;
// Changes that a head remembers.
inline constexpr std::size_t kMaxHistory = 64;

// One section in a head. A removed section keeps its entry without chunks, so
// that an edit based on an older revision is still noticed.
struct SectionHead
{
  std::string name_;
  std::string owner_;
  // Revision of the section's last change.
  std::uint64_t revision_ = 0;
  // SHA-256 digests of the pieces of the section's text.
  std::vector<std::string> chunks_;
};

// One accepted change.
struct Change
{
  std::uint64_t revision_ = 0;
  // Random; lets the author of a change recognise it after a lost reply.
  std::string id_;
  std::string author_;
  std::int64_t unixMs_ = 0;
  std::vector<std::string> sections_;
};

// A chunk that the head named until a while ago.
struct RetiredChunk
{
  std::string digest_;
  std::int64_t unixMs_ = 0;
};

// The one value that decides which configuration is accepted.
struct Head
{
  std::uint64_t revision_ = 0;
  // Clean-ups announced so far; see docs/design/configuration.md.
  std::uint64_t cleanups_ = 0;
  std::vector<SectionHead> sections_;
  // Oldest first.
  std::vector<Change> history_;
  std::vector<RetiredChunk> retired_;
};

// Returns a head as it is stored.
std::string
FormatHead(const Head& aHead);

// Reads a stored head; nothing if it is malformed.
absl::optional<Head>
ParseHead(absl::string_view aText);

// Returns the entry of a section, or null.
const SectionHead*
FindSection(const Head& aHead, absl::string_view aName);

// Cuts a text into chunks at lines chosen by their content, so that an edit
// changes only the chunks around it.
std::vector<std::string>
SplitIntoChunks(absl::string_view aText);

// A chunk with its digest.
struct ChunkContent
{
  std::string digest_;
  std::string content_;
};

// An accepted configuration that this host has in force.
struct Accepted
{
  Head head_;
  std::string headText_;
  std::vector<Section> sections_;
  ConfigPtr config_;
};

using AcceptedPtr = std::shared_ptr<const Accepted>;

// Another host.
struct PeerAddress
{
  std::string name_;
  std::string address_;
};

// One section of an edit and the revision of the document it was based on.
// An empty text removes the section.
struct SectionEdit
{
  std::string name_;
  std::string text_;
  std::uint64_t baseRevision_ = 0;
};

// Time has passed; sent a few times a second.
struct Tick
{};

// Which hosts poll the platform's service changed.
struct PollersChanged
{
  bool self_ = false;
  std::vector<PeerAddress> others_;
};

// A probe told the revision that a peer has in force.
struct PeerRevisionReceived
{
  PeerAddress peer_;
  std::uint64_t revision_ = 0;
};

// Answer to FetchFromPeer.
struct PeerReply
{
  std::uint64_t id_ = 0;
  bool reached_ = false;
  std::string head_;
  std::vector<ChunkContent> chunks_;
};

// An operator's edit.
struct EditRequested
{
  std::string id_;
  std::string author_;
  std::vector<SectionEdit> sections_;
};

// Answer to CheckDocument.
struct DocumentChecked
{
  std::uint64_t id_ = 0;
  ConfigPtr config_;
  std::vector<Problem> problems_;
};

// This host shall run one pass of the clean-up of old chunks.
struct CleanupDue
{};

using EventBody = absl::variant<Tick,
                                PollersChanged,
                                PeerRevisionReceived,
                                PeerReply,
                                platform::Reply,
                                EditRequested,
                                DocumentChecked,
                                CleanupDue>;

// Something that happened, with the time and fresh random bits.
struct Event
{
  absl::Time now_;
  std::uint64_t random_ = 0;
  EventBody body_;
};

// Carry out a platform command; its reply comes back as an event. Ids are
// unique within this module only.
struct SendCommand
{
  platform::Command command_;
};

// Fetch chunks from a peer, or its head only if no digests are given.
struct FetchFromPeer
{
  std::uint64_t id_ = 0;
  PeerAddress peer_;
  std::vector<std::string> digests_;
};

// Probe a peer for its revision; the answer comes as PeerRevisionReceived.
struct RequestRevision
{
  PeerAddress peer_;
};

// Run Check, away from the control thread if the document is long.
struct CheckDocument
{
  std::uint64_t id_ = 0;
  std::uint64_t revision_ = 0;
  std::vector<Section> sections_;
  // What the sections are likely to differ little from, or null.
  AcceptedPtr basis_;
};

// Put a configuration in force on this host.
struct Publish
{
  AcceptedPtr accepted_;
};

// Answer an operator's edit: with the revision that has it, or an error.
struct AnswerEdit
{
  std::string id_;
  std::uint64_t revision_ = 0;
  absl::optional<core::Error> error_;
  std::vector<Problem> problems_;
};

using Effect = absl::variant<SendCommand,
                             FetchFromPeer,
                             RequestRevision,
                             CheckDocument,
                             Publish,
                             AnswerEdit>;

// Carries out a check that Step asked for.
DocumentChecked
RunCheck(const CheckDocument& aOrder);

// What this module counts.
enum class SyncCount
{
  Polls,
  FallbackPolls,
  FailedPolls,
  PeerFetches,
  FailedPeerFetches,
  WrongDigests,
  PlatformChunkReads,
  MissingChunks,
  MalformedHeads,
  StaleHeads,
  UnreadableDocuments,
  HeadWrites,
  LostHeadWrites,
  EditsAccepted,
  EditsMergedAgain,
  EditsConflicting,
  EditsInvalid,
  EditsUnavailable,
  EditsUnknown,
  EditsQueueFull,
  ChunksDeleted,
};

inline constexpr std::array<core::Named<SyncCount>, 21> kSyncCounts{ {
  { SyncCount::Polls, "polls" },
  { SyncCount::FallbackPolls, "fallback_polls" },
  { SyncCount::FailedPolls, "failed_polls" },
  { SyncCount::PeerFetches, "peer_fetches" },
  { SyncCount::FailedPeerFetches, "failed_peer_fetches" },
  { SyncCount::WrongDigests, "wrong_digests" },
  { SyncCount::PlatformChunkReads, "platform_chunk_reads" },
  { SyncCount::MissingChunks, "missing_chunks" },
  { SyncCount::MalformedHeads, "malformed_heads" },
  { SyncCount::StaleHeads, "lower_heads" },
  { SyncCount::UnreadableDocuments, "unreadable_documents" },
  { SyncCount::HeadWrites, "head_writes" },
  { SyncCount::LostHeadWrites, "lost_head_writes" },
  { SyncCount::EditsAccepted, "edits_accepted" },
  { SyncCount::EditsMergedAgain, "edits_merged_again" },
  { SyncCount::EditsConflicting, "edits_conflicting" },
  { SyncCount::EditsInvalid, "edits_invalid" },
  { SyncCount::EditsUnavailable, "edits_unavailable" },
  { SyncCount::EditsUnknown, "edits_unknown" },
  { SyncCount::EditsQueueFull, "edits_queue_full" },
  { SyncCount::ChunksDeleted, "chunks_deleted" },
} };

// Times of the protocol; intervals are jittered by a quarter either way.
struct SyncOptions
{
  // Between reads of the head by a poller.
  absl::Duration pollInterval_ = absl::Seconds(3);
  // Between questions to a poller for its revision.
  absl::Duration revisionRequestInterval_ = absl::Seconds(2);
  // Without news of a poller for so long, a host polls by itself.
  absl::Duration pollerTimeout_ = absl::Seconds(5);
  absl::Duration fallbackInterval_ = absl::Seconds(5);
  // How long a host without a configuration listens to its peers before it
  // takes the highest revision among them.
  absl::Duration startWindow_ = absl::Seconds(2);
  // Wait for a reply of the platform's service or of a peer.
  absl::Duration requestTimeout_ = absl::Seconds(2);
  absl::Duration retryPause_ = absl::Milliseconds(300);
  // Time within which an edit is settled or given up.
  absl::Duration editDeadline_ = absl::Seconds(30);
  // How long chunks are kept after the last head that named them.
  absl::Duration chunkRetention_ = absl::Hours(6);
};

// What a request in progress is for.
enum class RequestKind
{
  PollHead,
  PeerHead,
  PeerChunks,
  PlatformChunk,
  CheckPending,
  EditReadHead,
  EditWriteChunk,
  EditWriteHead,
  EditCheck,
  CleanupList,
  CleanupReadHead,
  CleanupAnnounce,
  CleanupDelete,
};

// A request whose reply is awaited.
struct PendingRequest
{
  RequestKind kind_ = RequestKind::PollHead;
  absl::Time deadline_;
  std::string peer_;
  std::vector<std::string> digests_;
};

// What is known of a peer.
struct PeerState
{
  std::string address_;
  std::uint64_t revision_ = 0;
  absl::Time seenAt_;
  // A peer that failed is passed over until then.
  absl::Time avoidUntil_ = absl::InfinitePast();
};

// A newer head whose document is not yet whole and checked.
struct PendingHead
{
  Head head_;
  std::string text_;
  absl::btree_set<std::string> missing_;
  std::uint32_t peerFailures_ = 0;
  // Request of the check in progress, 0 for none.
  std::uint64_t checkId_ = 0;
};

enum class EditPhase
{
  ReadHead,
  AwaitInForce,
  Check,
  WriteChunks,
  WriteHead,
};

// An edit in progress.
struct PendingEdit
{
  EditRequested request_;
  absl::Time deadline_;
  EditPhase phase_ = EditPhase::ReadHead;
  absl::Time pausedUntil_ = absl::InfinitePast();
  std::string changeId_;
  // The head that the proposal replaces and its version in the platform.
  Head baseHead_;
  std::uint64_t baseVersion_ = 0;
  std::vector<Section> merged_;
  std::vector<std::string> changed_;
  Head proposal_;
  std::string proposalText_;
  absl::btree_map<std::string, std::string> chunks_;
  absl::btree_set<std::string> unwritten_;
  // A head write was sent whose effect is not known.
  bool headWriteUnresolved_ = false;
  bool earlierWriteUnresolved_ = false;
};

// A chunk that no head names, as the last clean-up saw it.
struct GarbageChunk
{
  std::uint64_t version_ = 0;
  absl::Time since_;
};

// A clean-up in progress.
struct CleanupPass
{
  std::vector<platform::Entry> listed_;
  std::vector<platform::Entry> toDelete_;
};

// All that one host knows; empty after a restart.
struct SyncState
{
  std::string host_;
  SyncOptions options_;
  // Unset until the first event.
  absl::optional<absl::Time> startedAt_;
  bool poller_ = false;
  std::vector<PeerAddress> pollers_;
  absl::btree_map<std::string, PeerState> peers_;
  AcceptedPtr inForce_;
  absl::optional<PendingHead> pending_;
  // Chunks of the configuration in force and of the pending one.
  absl::btree_map<std::string, std::shared_ptr<const std::string>> chunks_;
  // The last time a poller or the platform told its revision.
  absl::Time lastContactAt_;
  // Since when a peer has had a newer revision in force than this host.
  absl::Time behindSince_ = absl::InfiniteFuture();
  absl::Time nextPoll_;
  absl::Time nextRevisionRequest_;
  absl::btree_map<std::uint64_t, PendingRequest> requests_;
  std::uint64_t lastRequest_ = 0;
  absl::optional<PendingEdit> edit_;
  std::deque<PendingEdit> waitingEdits_;
  absl::optional<CleanupPass> cleanup_;
  // The clean-up goes on after this key.
  std::string cleanupCursor_;
  absl::btree_map<std::string, GarbageChunk> garbage_;
  std::array<std::uint64_t, kSyncCounts.size()> counts_{};
};

// Returns the revision in force on a host, 0 for none.
std::uint64_t
RevisionOf(const SyncState& aState);

// Returns when a poller or the platform last told its revision; a host that
// has heard of neither for long can't know which configuration is in force.
absl::Time
LastContact(const SyncState& aState);

// Takes one event and returns what has to be done.
std::vector<Effect>
Step(SyncState& aState, const Event& aEvent);

// What a host gives to a peer that asks for chunks.
struct ServedChunks
{
  std::uint64_t revision_ = 0;
  std::string head_;
  std::vector<ChunkContent> chunks_;
};

// Answers a peer's request; chunks that this host does not have are left out.
ServedChunks
ServeChunks(const SyncState& aState, const std::vector<std::string>& aDigests);

} // namespace lycheeplank::config

#endif
