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

// Accepts each change of the configuration exactly once and distributes it to
// all hosts. Step makes all decisions and performs no I/O: time, random bits
// and replies are passed to it as events, and it returns the actions to perform
// as effects.
namespace lycheeplank::config {

// Keys in the platform's key-value service.
inline constexpr absl::string_view kHeadKey = "config/head";
inline constexpr absl::string_view kChunkPrefix = "config/chunk/";

// Maximum size of a chunk, well below the platform's limit of 1 MB per value.
inline constexpr std::size_t kMaxChunkBytes = 128UL << 10U;
// Maximum number of changes in a head's history.
inline constexpr std::size_t kMaxHistory = 64;

// The entry of a section in a head. The entry of a removed section stays,
// without chunks, so that an edit based on an older revision is detected as a
// conflict.
struct SectionHead
{
  std::string name_;
  std::string owner_;
  // Revision of the section's last change.
  std::uint64_t revision_ = 0;
  // SHA-256 digests of the chunks of the section's text, in order.
  std::vector<std::string> chunks_;
};

// One accepted change.
struct Change
{
  std::uint64_t revision_ = 0;
  // Contains random bits, so that the host that wrote the change can recognise
  // it after a lost reply.
  std::string id_;
  std::string author_;
  std::int64_t unixMs_ = 0;
  std::vector<std::string> sections_;
};

// A chunk that the head no longer references. unixMs_ is when an edit removed
// the last reference.
struct RetiredChunk
{
  std::string digest_;
  std::int64_t unixMs_ = 0;
};

// The description of the accepted configuration. It is stored under kHeadKey. A
// change is accepted when a compare-and-swap replaces the stored head.
struct Head
{
  std::uint64_t revision_ = 0;
  // Number of clean-ups announced so far; see docs/design/configuration.md.
  std::uint64_t cleanups_ = 0;
  std::vector<SectionHead> sections_;
  // Oldest first.
  std::vector<Change> history_;
  std::vector<RetiredChunk> retired_;
};

// Serialises a head as JSON, its stored form.
std::string
FormatHead(const Head& aHead);

// Parses a stored head. Returns nothing if it is malformed.
absl::optional<Head>
ParseHead(absl::string_view aText);

// Returns the entry of a section, or null if the head has none.
const SectionHead*
FindSection(const Head& aHead, absl::string_view aName);

// Splits a text into chunks of at most kMaxChunkBytes. The boundaries follow
// lines chosen by their hash, so that an edit changes only the chunks near it.
std::vector<std::string>
SplitIntoChunks(absl::string_view aText);

// A chunk and its SHA-256 digest.
struct ChunkContent
{
  std::string digest_;
  std::string content_;
};

// An accepted configuration that is in force on this host.
struct Accepted
{
  Head head_;
  std::string headText_;
  std::vector<Section> sections_;
  ConfigPtr config_;
};

using AcceptedPtr = std::shared_ptr<const Accepted>;

// The name and network address of another host.
struct PeerAddress
{
  std::string name_;
  std::string address_;
};

// The new text of one section, and the revision of the document that the edit
// is based on. An empty text removes the section.
struct SectionEdit
{
  std::string name_;
  std::string text_;
  std::uint64_t baseRevision_ = 0;
};

// Event: time has passed. Sent several times a second.
struct Tick
{};

// Event: the set of hosts that poll the platform's service changed.
struct PollersChanged
{
  bool self_ = false;
  std::vector<PeerAddress> others_;
};

// Event: a probe returned the revision in force on a peer.
struct PeerRevisionReceived
{
  PeerAddress peer_;
  std::uint64_t revision_ = 0;
};

// Event: the reply to FetchFromPeer. reached_ is false if the call failed.
struct PeerReply
{
  std::uint64_t id_ = 0;
  bool reached_ = false;
  std::string head_;
  std::vector<ChunkContent> chunks_;
};

// Event: an operator requests an edit.
struct EditRequested
{
  std::string id_;
  std::string author_;
  std::vector<SectionEdit> sections_;
};

// Event: the result of CheckDocument.
struct DocumentChecked
{
  std::uint64_t id_ = 0;
  ConfigPtr config_;
  std::vector<Problem> problems_;
};

// Event: this host starts one pass of the clean-up of unreferenced chunks.
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

// An event with the current time and new random bits.
struct Event
{
  absl::Time now_;
  std::uint64_t random_ = 0;
  EventBody body_;
};

// Effect: send a platform command. Its reply is passed to Step as an event.
// Command ids are unique within this module only.
struct SendCommand
{
  platform::Command command_;
};

// Effect: fetch the head and the given chunks from a peer. Without digests,
// only the head is fetched.
struct FetchFromPeer
{
  std::uint64_t id_ = 0;
  PeerAddress peer_;
  std::vector<std::string> digests_;
};

// Effect: probe a peer for its revision. The result is passed to Step as
// PeerRevisionReceived.
struct RequestRevision
{
  PeerAddress peer_;
};

// Effect: call RunCheck, outside the control thread if the document is long.
struct CheckDocument
{
  std::uint64_t id_ = 0;
  std::uint64_t revision_ = 0;
  std::vector<Section> sections_;
  // A configuration that is likely to differ little from the sections, so that
  // only the differences have to be parsed; or null.
  AcceptedPtr basis_;
};

// Effect: put a configuration in force on this host.
struct Publish
{
  AcceptedPtr accepted_;
};

// Effect: reply to an operator's edit with the revision that contains it, or
// with an error.
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

// Runs a check that Step requested.
DocumentChecked
RunCheck(const CheckDocument& aCheck);

// Counters of this module, exported as metrics under the names in kSyncCounts.
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

// Timing of the protocol. Each interval is jittered by up to a quarter in
// either direction.
struct SyncOptions
{
  // Time between two reads of the head by a poller.
  absl::Duration pollInterval_ = absl::Seconds(3);
  // Time between two revision requests to a poller.
  absl::Duration revisionRequestInterval_ = absl::Seconds(2);
  // A host polls the platform itself if it has received no revision from a
  // poller for this long.
  absl::Duration pollerTimeout_ = absl::Seconds(5);
  absl::Duration fallbackInterval_ = absl::Seconds(5);
  // How long a host without a configuration collects the revisions of its peers
  // before it fetches the highest one.
  absl::Duration startWindow_ = absl::Seconds(2);
  // Timeout for a reply of the platform's service or of a peer.
  absl::Duration requestTimeout_ = absl::Seconds(2);
  absl::Duration retryPause_ = absl::Milliseconds(300);
  // Time after which an unfinished edit fails.
  absl::Duration editDeadline_ = absl::Seconds(30);
  // How long a chunk is kept after the last head that references it is
  // replaced.
  absl::Duration chunkRetention_ = absl::Hours(6);
};

// The purpose of a request.
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

// A request that waits for its reply.
struct PendingRequest
{
  RequestKind kind_ = RequestKind::PollHead;
  absl::Time deadline_;
  std::string peer_;
  // The digests of the chunks requested from a peer, or the key of a platform
  // command.
  std::vector<std::string> digests_;
};

// The last reported state of a peer.
struct PeerState
{
  std::string address_;
  std::uint64_t revision_ = 0;
  absl::Time seenAt_;
  // No fetch is sent to the peer before this time, because a fetch failed.
  absl::Time avoidUntil_ = absl::InfinitePast();
};

// A newer head whose chunks are not yet all fetched and checked.
struct PendingHead
{
  Head head_;
  std::string text_;
  absl::btree_set<std::string> missing_;
  // Failed chunk fetches from peers.
  std::uint32_t peerFailures_ = 0;
  // Request id of the check, or 0 if it has not started.
  std::uint64_t checkId_ = 0;
};

// The steps of an edit, in their usual order.
enum class EditPhase
{
  ReadHead,
  AwaitInForce,
  Check,
  WriteChunks,
  WriteHead,
};

// An edit that is in progress or queued.
struct PendingEdit
{
  EditRequested request_;
  absl::Time deadline_;
  EditPhase phase_ = EditPhase::ReadHead;
  absl::Time pausedUntil_ = absl::InfinitePast();
  std::string changeId_;
  // The head that the proposal replaces, and its version in the platform's
  // service.
  Head baseHead_;
  std::uint64_t baseVersion_ = 0;
  // All sections after the edit, and the names of those that it changes.
  std::vector<Section> merged_;
  std::vector<std::string> changed_;
  Head proposal_;
  std::string proposalText_;
  // The chunks of the changed sections by digest, and the digests of those that
  // are not written yet.
  absl::btree_map<std::string, std::string> chunks_;
  absl::btree_set<std::string> unwritten_;
  // Whether a head write was sent whose outcome is unknown.
  bool headWriteUnresolved_ = false;
  // The value of headWriteUnresolved_ before the latest head write.
  bool earlierWriteUnresolved_ = false;
};

// An unreferenced chunk: its version, and since when clean-ups have found it
// unreferenced in this version.
struct GarbageChunk
{
  std::uint64_t version_ = 0;
  absl::Time since_;
};

// A clean-up pass in progress.
struct CleanupPass
{
  std::vector<platform::Entry> listed_;
  std::vector<platform::Entry> toDelete_;
};

// The state of this module on one host. It is lost by a restart.
struct SyncState
{
  std::string host_;
  SyncOptions options_;
  // The time of the first event.
  absl::optional<absl::Time> startedAt_;
  bool poller_ = false;
  std::vector<PeerAddress> pollers_;
  absl::btree_map<std::string, PeerState> peers_;
  AcceptedPtr inForce_;
  absl::optional<PendingHead> pending_;
  // Chunks of the configuration in force and of the pending one.
  absl::btree_map<std::string, std::shared_ptr<const std::string>> chunks_;
  // When a revision was last received from a poller or the platform.
  absl::Time lastContactAt_;
  // Since when a peer has a newer revision in force than this host.
  absl::Time behindSince_ = absl::InfiniteFuture();
  absl::Time nextPoll_;
  absl::Time nextRevisionRequest_;
  absl::btree_map<std::uint64_t, PendingRequest> requests_;
  std::uint64_t lastRequest_ = 0;
  absl::optional<PendingEdit> edit_;
  std::deque<PendingEdit> waitingEdits_;
  absl::optional<CleanupPass> cleanup_;
  // The key after which the next clean-up pass continues its listing.
  std::string cleanupCursor_;
  absl::btree_map<std::string, GarbageChunk> garbage_;
  std::array<std::uint64_t, kSyncCounts.size()> counts_{};
};

// Returns the revision in force on this host, or 0 if there is none.
std::uint64_t
RevisionOf(const SyncState& aState);

// Returns when a revision was last received from a poller or the platform. If
// that is long ago, the configuration in force on this host may be outdated.
absl::Time
LastContact(const SyncState& aState);

// Processes one event and returns the effects to perform.
std::vector<Effect>
Step(SyncState& aState, const Event& aEvent);

// The response to a peer's FetchFromPeer: the head in force and chunks.
struct ServedChunks
{
  std::uint64_t revision_ = 0;
  std::string head_;
  std::vector<ChunkContent> chunks_;
};

// Returns the response to a peer's request. Chunks that this host does not have
// or that exceed the size limit of a response are omitted.
ServedChunks
ServeChunks(const SyncState& aState, const std::vector<std::string>& aDigests);

} // namespace lycheeplank::config

#endif
