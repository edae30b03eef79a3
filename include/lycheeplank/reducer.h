#ifndef LYCHEEPLANK_REDUCER_H
#define LYCHEEPLANK_REDUCER_H

#include <array>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>
#include <absl/types/variant.h>

#include "lycheeplank/admission.h"
#include "lycheeplank/claims.h"
#include "lycheeplank/config.h"
#include "lycheeplank/config_sync.h"
#include "lycheeplank/core.h"
#include "lycheeplank/directory.h"
#include "lycheeplank/membership.h"
#include "lycheeplank/placement.h"
#include "lycheeplank/platform.h"

// The control logic of an entry host. Step takes one event, updates the state
// and returns effects as data; it does no I/O and reads no clock.
namespace lycheeplank::reducer {

// Identifies a request within one process.
using RequestId = std::uint64_t;
// Identifies a call that a peer makes to this host.
using PeerCallId = std::uint64_t;

// The time at which an event is handled, and random bits for the decisions.
struct StepInput
{
  absl::Time now_;
  std::uint64_t random_ = 0;
};

// The module that sent a command to the platform and gets its reply.
enum class Module
{
  Config,
  Claims,
  Membership,
};

enum class RequestKind
{
  // A prompt for a model.
  Completion,
  // A call of a plain service.
  ServiceCall,
};

inline constexpr std::array<core::Named<RequestKind>, 2> kRequestKinds{ {
  { RequestKind::Completion, "completion" },
  { RequestKind::ServiceCall, "service_call" },
} };

// A parsed and authorised request.
struct NewRequest
{
  RequestId id_ = 0;
  // Unique across hosts; the caller sees it.
  std::string publicId_;
  RequestKind kind_ = RequestKind::Completion;
  std::string workspace_;
  // Name of the model or plain service.
  std::string modelOrService_;
  std::string callName_;
  std::string adapter_;
  std::uint64_t promptTokens_ = 0;
  std::uint32_t maxTokens_ = 0;
  // Hashes of the prompt's full blocks, see core::BlockContents.
  std::vector<core::BlockKey> blockHashes_;
  admission::Priority priority_ = admission::Priority::Interactive;
  absl::Time deadline_ = absl::InfiniteFuture();
  // False for a call that must run at most once. Such a call has an idempotency
  // key, and a digest that tells its request from others with the same key.
  bool repeatable_ = true;
  std::string idempotencyKey_;
  std::string digest_;
};

// A caller sent a request.
struct RequestArrived
{
  NewRequest request_;
};

// The caller closed its connection.
struct CallerDisconnected
{
  RequestId id_ = 0;
};

// The target accepted an attempt.
struct AttemptStarted
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::string weightVersion_;
  std::uint32_t cachedBlocks_ = 0;
  std::uint32_t importedBlocks_ = 0;
};

// The result of one attempt.
enum class AttemptResult
{
  // The complete answer arrived.
  Completed,
  // No byte was sent, so the attempt can't have run.
  NeverSent,
  // The target refused the attempt before running it.
  Refused,
  // The target refused the attempt because it serves another weight version.
  WrongVersion,
  // The attempt was sent, but no complete answer arrived.
  Broken,
  // As Broken, but the caller has already received parts of the answer.
  BrokenMidway,
};

inline constexpr std::array<core::Named<AttemptResult>, 6> kAttemptResults{ {
  { AttemptResult::Completed, "whole" },
  { AttemptResult::NeverSent, "never_sent" },
  { AttemptResult::Refused, "refused" },
  { AttemptResult::WrongVersion, "wrong_version" },
  { AttemptResult::Broken, "broken" },
  { AttemptResult::BrokenMidway, "broken_midway" },
} };

// An attempt ended, with or without an answer.
struct AttemptEnded
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  AttemptResult result_ = AttemptResult::Broken;
  std::string detail_;
  // The version that the target reports to serve; empty if it reported none.
  std::string weightVersion_;
  // Number of generated tokens; only of a complete answer.
  std::uint64_t tokens_ = 0;
};

// A home of a prompt reported which targets and stores hold its blocks.
struct HoldersLocated
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::vector<directory::Holder> holders_;
  // False if no home answered.
  bool homeAnswered_ = true;
};

// All targets of a QueryLoads effect reported, or its timeout passed.
struct LoadsCollected
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
};

// A batch of an engine's cache events, or its full inventory of blocks.
struct CacheReported
{
  std::string target_;
  bool inventory_ = false;
  // Sequence numbers of the events, in order; empty for an inventory.
  std::vector<std::uint64_t> sequences_;
  std::uint64_t lastSequence_ = 0;
  std::vector<directory::Sighting> sightings_;
};

// The full inventory of a store.
struct StoreInventory
{
  std::string store_;
  std::vector<directory::Sighting> sightings_;
};

// Blocks were exported to a store or freed there.
struct StoreBlocksChanged
{
  std::string store_;
  std::vector<directory::Sighting> sightings_;
};

// A peer reports cached or missing blocks whose home is this host.
struct PeerReportsBlocks
{
  directory::HolderId holder_;
  std::vector<directory::Sighting> sightings_;
  // True if the sightings list all blocks that the holder has of prompts whose
  // home is this host.
  bool inventory_ = false;
};

// A store's status report, or a failed poll of the store.
struct StoreReported
{
  std::string store_;
  bool reached_ = false;
  std::uint64_t linkBacklogBytes_ = 0;
  double linkBytesPerSecond_ = 0.0;
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
  // Changes with each start of the store; zero if the store doesn't report it.
  std::uint64_t instance_ = 0;
};

// A target's load report, or a failed poll of the target.
struct TargetReported
{
  std::string target_;
  bool reached_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  std::string weightVersion_;
  bool leaving_ = false;
  // Age of the report when it arrived.
  absl::Duration age_ = absl::ZeroDuration();
};

// The platform replied to a command.
struct PlatformReplied
{
  Module module_ = Module::Config;
  platform::Reply reply_;
};

// An event for the configuration module: an edit, a peer's answer or a checked
// document.
struct ConfigEvent
{
  config::EventBody body_;
};

// An event for the membership module: a probe or the answer to one.
struct MembershipEvent
{
  decltype(membership::Event::body_) body_;
};

// This host is to drain: finish its requests, then exit.
struct DrainRequested
{};

// A call that runs under a claim ended, with or without an answer.
struct ClaimedCallEnded
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  bool complete_ = false;
  // No byte was sent, so the call can't have run.
  bool neverSent_ = false;
  claims::StoredAnswer answer_;
  std::string detail_;
};

// The home of a claim answered, or could not be reached.
struct ClaimAnswered
{
  RequestId id_ = 0;
  // The try that this answers, see RequestState::claimTries_.
  std::uint32_t claimTry_ = 0;
  bool reached_ = false;
  claims::ClaimResponse answer_;
};

// The home of a claim answered an outcome report, or could not be reached.
struct OutcomeReportAnswered
{
  RequestId id_ = 0;
  claims::OutcomeReport report_;
  bool reached_ = false;
  bool durable_ = false;
};

// A peer requests a claim from this host, its home.
struct PeerRequestsClaim
{
  PeerCallId callId_ = 0;
  claims::ClaimRequest ask_;
};

// A peer reports the outcome of a claimed call to this host, the claim's home.
struct PeerReportsOutcome
{
  PeerCallId callId_ = 0;
  claims::OutcomeReport report_;
};

// A peer reports that it still runs a call whose claim this host keeps.
struct PeerSendsClaimHeartbeat
{
  claims::Heartbeat running_;
};

// A peer queries this host, a home of a prompt, for the holders of its blocks.
struct PeerLocatesBlocks
{
  PeerCallId callId_ = 0;
  std::vector<core::BlockKey> chain_;
};

// A peer fetches the configuration's head or chunks from this host.
struct PeerFetchesConfig
{
  PeerCallId callId_ = 0;
  std::vector<std::string> digests_;
};

// A configuration takes effect.
struct ConfigInForce
{
  config::ConfigPtr config_;
};

// Comes at short intervals and drives everything that depends on time.
struct Tick
{};

using Event = absl::variant<RequestArrived,
                            CallerDisconnected,
                            AttemptStarted,
                            AttemptEnded,
                            HoldersLocated,
                            LoadsCollected,
                            TargetReported,
                            CacheReported,
                            StoreReported,
                            StoreInventory,
                            StoreBlocksChanged,
                            PeerReportsBlocks,
                            PlatformReplied,
                            ConfigEvent,
                            MembershipEvent,
                            DrainRequested,
                            ClaimedCallEnded,
                            ClaimAnswered,
                            OutcomeReportAnswered,
                            PeerRequestsClaim,
                            PeerReportsOutcome,
                            PeerSendsClaimHeartbeat,
                            PeerLocatesBlocks,
                            PeerFetchesConfig,
                            ConfigInForce,
                            Tick>;

// Sends one attempt of a request to a target.
struct Dispatch
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::string target_;
  std::string url_;
  std::string weightVersion_;
  absl::Time deadline_;
  // No lower layer may send the call a second time.
  bool sendOnce_ = false;
  // The store and the block keys to import before the run, if any.
  std::string importUrl_;
  std::vector<core::BlockKey> importKeys_;
  // One generation for each import key.
  std::vector<std::uint64_t> importGenerations_;
};

// Forgets a request whose caller disconnected.
struct ForgetRequest
{
  RequestId id_ = 0;
};

// Queries the homes of a prompt for the holders of its blocks. The homes are
// tried in order until one answers.
struct QueryHomes
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::vector<std::string> homes_;
  std::vector<core::BlockKey> chain_;
};

// Queries the load of targets that this host doesn't follow, either because
// they hold blocks of the prompt or because no followed target can take the
// request.
struct QueryLoads
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::vector<std::string> targets_;
  // Longest time to wait for the reports.
  absl::Duration timeout_ = absl::ZeroDuration();
};

// Reports to a home which blocks were found or missed at a holder.
struct ReportBlocksToHome
{
  std::string host_;
  directory::HolderId holder_;
  bool inventory_ = false;
  std::vector<directory::Sighting> sightings_;
};

// Fetches the list of all blocks that an engine caches, after a gap in its
// cache events.
struct FetchInventory
{
  std::string target_;
};

// Fetches the list of all blocks that a store holds.
struct FetchStoreInventory
{
  std::string store_;
};

// The number of leading blocks of a prompt that the directory lists for a
// store.
struct StoreHolding
{
  std::string store_;
  std::uint32_t blocks_ = 0;
};

// Reports a completed run to the steward, which decides whether to keep its
// blocks in a store.
struct ReportRun
{
  std::string workspace_;
  std::string model_;
  std::string weightVersion_;
  std::string target_;
  std::vector<core::BlockKey> chain_;
  std::uint32_t reusedBlocks_ = 0;
  // Blocks that stores held when the run was placed; not set if unknown.
  absl::optional<std::vector<StoreHolding>> holdings_;
  // Time since the run was placed.
  absl::Duration age_ = absl::ZeroDuration();
};

// Answers a request with an error and ends it.
struct Refuse
{
  RequestId id_ = 0;
  core::Error error_;
};

// Cancels an attempt whose answer is no longer needed.
struct CancelAttempt
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
};

// Answers a call of a plain service with its stored answer.
struct AnswerCall
{
  RequestId id_ = 0;
  claims::StoredAnswer answer_;
};

// Requests a claim from its home.
struct RequestClaim
{
  RequestId id_ = 0;
  std::uint32_t claimTry_ = 0;
  std::string host_;
  claims::ClaimRequest claim_;
};

// Reports the outcome of a claimed call to the home of its claim.
struct ReportOutcome
{
  RequestId id_ = 0;
  std::string host_;
  claims::OutcomeReport report_;
};

// Reports to the home of a claim that its call still runs.
struct SendClaimHeartbeat
{
  std::string host_;
  claims::Heartbeat running_;
};

// Answers a PeerRequestsClaim event.
struct ReplyClaim
{
  PeerCallId callId_ = 0;
  claims::ClaimResponse answer_;
};

// Answers a PeerReportsOutcome event.
struct ReplyOutcomeReport
{
  PeerCallId callId_ = 0;
  bool durable_ = false;
};

// Answers a PeerLocatesBlocks event.
struct ReplyHolders
{
  PeerCallId callId_ = 0;
  std::vector<directory::Holder> holders_;
};

// Answers a PeerFetchesConfig event.
struct ReplyConfig
{
  PeerCallId callId_ = 0;
  config::ServedChunks served_;
};

// Sends a command to the platform.
struct SendCommand
{
  Module module_ = Module::Config;
  platform::Command command_;
};

// Hands a new configuration to the traffic threads.
struct PublishConfig
{
  config::AcceptedPtr accepted_;
};

// Hands the list of live hosts to the traffic threads.
struct PublishHosts
{
  std::vector<membership::HostState> liveHosts_;
};

// Updates the traffic threads on whether this host takes requests.
struct PublishServing
{
  bool isolated_ = false;
  bool draining_ = false;
  // When the last list of entry hosts that includes this host expires.
  absl::Time drainedAfter_ = absl::InfiniteFuture();
};

// Writes a line of key=value pairs to the log.
struct LogLine
{
  std::string line_;
};

// Adds one to a metric counter.
struct IncrementCounter
{
  std::string name_;
  std::string label_;
  std::string value_;
};

// Records a decision about a request and its reason, for operators.
struct TraceDecision
{
  std::string request_;
  std::string workspace_;
  RequestKind kind_ = RequestKind::Completion;
  std::string event_;
  std::string detail_;
};

using Effect = absl::variant<Dispatch,
                             Refuse,
                             CancelAttempt,
                             ForgetRequest,
                             QueryHomes,
                             QueryLoads,
                             ReportBlocksToHome,
                             FetchInventory,
                             FetchStoreInventory,
                             ReportRun,
                             AnswerCall,
                             RequestClaim,
                             ReportOutcome,
                             SendClaimHeartbeat,
                             ReplyClaim,
                             ReplyOutcomeReport,
                             ReplyHolders,
                             ReplyConfig,
                             SendCommand,
                             PublishConfig,
                             PublishHosts,
                             PublishServing,
                             LogLine,
                             membership::SendProbe,
                             membership::RequestIndirectProbe,
                             membership::AnswerProbe,
                             membership::AnswerIndirectProbe,
                             config::FetchFromPeer,
                             config::RequestRevision,
                             config::CheckDocument,
                             config::AnswerEdit,
                             IncrementCounter,
                             TraceDecision>;

// An attempt that this host sent to a target and that hasn't ended.
struct SentAttempt
{
  RequestId id_ = 0;
  placement::SentRun run_;
};

// The state of one target as this host received it.
struct TargetState
{
  // At least one report has arrived.
  bool reported_ = false;
  // The latest poll succeeded.
  bool reached_ = false;
  // The target reports that it drains.
  bool leaving_ = false;
  // The platform's list of targets marks it as leaving.
  bool listedAsLeaving_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  std::string weightVersion_;
  // When the target measured the reported load.
  absl::Time measuredAt_ = absl::InfinitePast();
  // Attempts of this host that haven't ended.
  std::vector<SentAttempt> ownAttempts_;
  directory::EventCursor cursor_;
  // This host polls the target continuously.
  bool followed_ = false;
  // Position of this host among the target's followers.
  std::uint32_t followerRank_ = 0;
  // After a query without an answer the target is not queried before this time.
  absl::Time noQueryUntil_ = absl::InfinitePast();
};

// The state of one store as this host received it.
struct StoreState
{
  bool reached_ = false;
  std::uint64_t linkBacklogBytes_ = 0;
  // Zero if the store doesn't report it.
  double linkBytesPerSecond_ = 0.0;
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
  absl::Time measuredAt_ = absl::InfinitePast();
  // Consecutive failed polls.
  std::uint32_t missedReports_ = 0;
  // Identifies the store process that reported last; zero if unknown.
  std::uint64_t instance_ = 0;
  placement::LinkQueue linkQueue_;
};

// The stage that a request has reached.
enum class Phase
{
  // Waits in the admission queue.
  Waiting,
  // Has a slot; waits for a home of its prompt.
  Locating,
  // Has a slot; waits for the load of targets that this host doesn't follow.
  QueryingLoads,
  // Has a slot; waits for the claim on its idempotency key.
  Claiming,
  Running,
  // Waits until the outcome of the call is recorded; the caller gets its answer
  // afterwards.
  Recording,
};

// The state of one request, from arrival to the final answer.
struct RequestState
{
  NewRequest request_;
  Phase phase_ = Phase::Waiting;
  // Number of the current attempt, from 1 on.
  std::uint32_t attempt_ = 0;
  std::string target_;
  std::string weightVersion_;
  // Block keys under the weight version of the attempt.
  std::vector<core::BlockKey> chain_;
  // Leading blocks that stores hold; not set if no home reported them.
  absl::optional<std::vector<StoreHolding>> holdings_;
  // Leading blocks that the directory lists for the attempt's target.
  std::uint32_t directoryBlocks_ = 0;
  // Store and blocks of the attempt's import.
  absl::optional<placement::Import> import_;
  // Targets of earlier attempts, which failed.
  std::vector<std::string> triedTargets_;
  // An earlier attempt may have run.
  bool mayHaveRun_ = false;
  // While load queries are open: the holders of its blocks and the queried
  // targets.
  std::vector<directory::Holder> holders_;
  std::vector<std::string> queriedTargets_;
  // No target with a current report could take the request, so the attempt
  // begins only after the queries.
  bool beginsAfterQuery_ = false;
  std::uint32_t cachedBlocks_ = 0;
  absl::Time arrived_;
  absl::Time sent_;
  absl::Time started_ = absl::InfiniteFuture();
  admission::Request admissionRequest_;
  // Number of claim requests so far; the attempt id and home of the latest one.
  std::uint32_t claimTries_ = 0;
  std::string claimAttemptId_;
  std::string claimHome_;
  // When the last claim heartbeat was sent.
  absl::Time lastHeartbeat_ = absl::InfinitePast();
  // What the caller gets after the outcome is recorded: the error if set, else
  // the answer.
  claims::StoredAnswer answer_;
  absl::optional<core::Error> error_;
};

// The recipient of a reply of the claims module.
struct ClaimTicket
{
  // A request of this host, or, if peerCallId_ isn't zero, a peer's call.
  RequestId request_ = 0;
  std::uint32_t claimTry_ = 0;
  PeerCallId peerCallId_ = 0;
};

// The requests and targets of one model or plain service.
struct Pool
{
  admission::State admission_;
  admission::TargetPool health_;
  std::vector<std::string> targets_;
  config::Policy policy_ = config::Policy::Estimate;
  // Moving average of the decode time for one token.
  double secondsPerToken_ = 0.02;
  // Moving average of the time that a run holds a slot.
  double secondsPerRun_ = 1.0;
  // Number of placements so far.
  std::uint64_t decisions_ = 0;
};

// Identifies a pool.
struct PoolKey
{
  RequestKind kind_ = RequestKind::Completion;
  std::string modelOrService_;

  friend bool operator<(const PoolKey& aLeft, const PoolKey& aRight)
  {
    return aLeft.kind_ != aRight.kind_
             ? aLeft.kind_ < aRight.kind_
             : aLeft.modelOrService_ < aRight.modelOrService_;
  }
};

// The whole control state of one entry host.
struct State
{
  // Name and data centre of this host.
  placement::Follower self_;
  config::ConfigPtr config_;
  absl::btree_map<PoolKey, Pool> pools_;
  absl::btree_map<std::string, TargetState> targets_;
  absl::btree_map<std::string, StoreState> stores_;
  absl::flat_hash_map<RequestId, RequestState> requests_;
  // Requests that hold a slot, by deadline.
  std::set<std::pair<absl::Time, RequestId>> deadlines_;
  directory::State directory_;
  // Hosts among which the homes of prompts are chosen.
  directory::HostSet homeHosts_;
  std::vector<placement::Follower> liveHosts_;
  // Times of the load queries of the last second, for the rate limit.
  std::deque<absl::Time> recentQueries_;
  membership::State membership_;
  // The serving state that was published last.
  PublishServing serving_;
  config::SyncState configSync_;
  claims::State claims_;
  absl::flat_hash_map<std::uint64_t, ClaimTicket> claimTickets_;
  // Requests that run under a claim.
  std::set<RequestId> claimedRequests_;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t seed_ = 0;
};

// Handles one event and returns the effects to carry out, in order.
std::vector<Effect>
Step(State& aState, const StepInput& aInput, const Event& aEvent);

} // namespace lycheeplank::reducer

#endif
