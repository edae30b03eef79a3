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

// All decisions of an entry host: events come in, effects come out as data.
namespace lycheeplank::reducer {

// Number of a request within one process.
using RequestId = std::uint64_t;
// Number of a call that a peer makes to this host.
using PeerCallId = std::uint64_t;

// When an event is handled, and fresh random bits for the decisions.
struct StepInput
{
  absl::Time now_;
  std::uint64_t random_ = 0;
};

// Whose command to the platform a reply belongs to.
enum class Module
{
  Config,
  Claims,
  Membership,
};

enum class RequestKind
{
  Completion,
  ServiceCall,
};

inline constexpr std::array<core::Named<RequestKind>, 2> kRequestKinds{ {
  { RequestKind::Completion, "completion" },
  { RequestKind::ServiceCall, "service_call" },
} };

// A request that was read and whose workspace may use what it asks for.
struct NewRequest
{
  RequestId id_ = 0;
  // Unique over all hosts; shown to the caller.
  std::string publicId_;
  RequestKind kind_ = RequestKind::Completion;
  std::string workspace_;
  // Model or plain service.
  std::string modelOrService_;
  std::string callName_;
  std::string adapter_;
  std::uint64_t promptTokens_ = 0;
  std::uint32_t maxTokens_ = 0;
  // Hashes of the prompt's full blocks, see core::BlockContents.
  std::vector<core::BlockKey> blockHashes_;
  admission::Priority priority_ = admission::Priority::Interactive;
  absl::Time deadline_ = absl::InfiniteFuture();
  // A call that must not run twice, with the key that stands for it.
  bool repeatable_ = true;
  std::string idempotencyKey_;
  std::string digest_;
};

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

// How an attempt ended.
enum class AttemptResult
{
  // The whole answer has arrived.
  Completed,
  // No byte was sent, so it can't have run.
  NeverSent,
  // Refused by the target before it ran.
  Refused,
  // Refused because the target serves another weight version.
  WrongVersion,
  // Sent, but no whole answer came.
  Broken,
  // As Broken, after parts of the answer had gone to the caller.
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

struct AttemptEnded
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  AttemptResult result_ = AttemptResult::Broken;
  std::string detail_;
  // Version that the target says it serves, if it said so.
  std::string weightVersion_;
  // Generated tokens of a whole answer.
  std::uint64_t tokens_ = 0;
};

// The home of a prompt has told who holds its blocks.
struct HoldersLocated
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::vector<directory::Holder> holders_;
  // A home has answered.
  bool homeAnswered_ = true;
};

// All targets that AskLoads named have reported, or their time is over.
struct LoadsCollected
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
};

// A batch of an engine's cache events, or its whole inventory.
struct CacheReported
{
  std::string target_;
  bool inventory_ = false;
  // Numbers of the events, in order; none for an inventory.
  std::vector<std::uint64_t> sequences_;
  std::uint64_t lastSequence_ = 0;
  std::vector<directory::Sighting> sightings_;
};

// What a store holds now.
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

// Another host has seen blocks whose home is this host.
struct PeerReportsBlocks
{
  directory::HolderId holder_;
  std::vector<directory::Sighting> sightings_;
  // The sightings are all that the holder has of this host's prompts.
  bool inventory_ = false;
};

// A store's own report, or the failure to get one.
struct StoreReported
{
  std::string store_;
  bool reached_ = false;
  std::uint64_t linkBacklogBytes_ = 0;
  double linkBytesPerSecond_ = 0.0;
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
  // Differs between two starts of the store; zero if it doesn't say.
  std::uint64_t instance_ = 0;
};

// A target's own report, or the failure to get one.
struct TargetReported
{
  std::string target_;
  bool reached_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  std::string weightVersion_;
  bool leaving_ = false;
  // How old the report was when it arrived.
  absl::Duration age_ = absl::ZeroDuration();
};

// A reply of the platform's service.
struct PlatformReplied
{
  Module module_ = Module::Config;
  platform::Reply reply_;
};

// Something about the configuration: an edit, an answer of a peer, a checked
// document.
struct ConfigEvent
{
  config::EventBody body_;
};

// Something about the other hosts: a probe or an answer to one.
struct MembershipEvent
{
  decltype(membership::Event::body_) body_;
};

// This host shall finish its requests and end.
struct DrainRequested
{};

// The answer of a call that must not run twice, or the lack of one.
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

// The home of a claim has answered, or could not be reached.
struct ClaimAnswered
{
  RequestId id_ = 0;
  // Which ask this answers.
  std::uint32_t claimTry_ = 0;
  bool reached_ = false;
  claims::Answered answer_;
};

// The home of a claim has recorded an outcome, or could not be reached.
struct OutcomeReportAnswered
{
  RequestId id_ = 0;
  claims::Report report_;
  bool reached_ = false;
  bool durable_ = false;
};

// A peer asks this host, as the home of a claim.
struct PeerRequestsClaim
{
  PeerCallId callId_ = 0;
  claims::Ask ask_;
};

// A peer reports an outcome to this host, as the home of the claim.
struct PeerReportsOutcome
{
  PeerCallId callId_ = 0;
  claims::Report report_;
};

// A peer says that it still runs a call whose claim this host keeps.
struct PeerSendsClaimHeartbeat
{
  claims::Running running_;
};

// A peer asks this host, as a home of a prompt, who holds its blocks.
struct PeerLocatesBlocks
{
  PeerCallId callId_ = 0;
  std::vector<core::BlockKey> chain_;
};

// A peer asks for the configuration's head or chunks.
struct PeerFetchesConfig
{
  PeerCallId callId_ = 0;
  std::vector<std::string> digests_;
};

// A configuration is in force from now on.
struct ConfigInForce
{
  config::ConfigPtr config_;
};

// Time has passed.
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
  // The call must not be sent twice by any layer below.
  bool sendOnce_ = false;
  std::string importUrl_;
  std::vector<core::BlockKey> importKeys_;
  // One for each key.
  std::vector<std::uint64_t> importGenerations_;
};

// Forgets a request whose caller has gone.
struct ForgetRequest
{
  RequestId id_ = 0;
};

// Asks the homes of a prompt, in this order, who holds its blocks.
struct QueryHomes
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::vector<std::string> homes_;
  std::vector<core::BlockKey> chain_;
};

// Asks targets that this host doesn't follow for their load reports, since they
// hold blocks of the request's prompt or since none of its own can take it.
struct QueryLoads
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
  std::vector<std::string> targets_;
  // Time that they have for their reports.
  absl::Duration timeout_ = absl::ZeroDuration();
};

// Tells a home what was seen at a holder.
struct ReportBlocksToHome
{
  std::string host_;
  directory::HolderId holder_;
  bool inventory_ = false;
  std::vector<directory::Sighting> sightings_;
};

// Fetches all blocks that an engine caches, after a gap in its events.
struct FetchInventory
{
  std::string target_;
};

// Fetches all blocks that a store holds.
struct FetchStoreInventory
{
  std::string store_;
};

// Leading blocks of a prompt that a store holds, as the directory says.
struct StoreHolding
{
  std::string store_;
  std::uint32_t blocks_ = 0;
};

// Reports a run whose blocks may be worth keeping in a store.
struct ReportRun
{
  std::string workspace_;
  std::string model_;
  std::string weightVersion_;
  std::string target_;
  std::vector<core::BlockKey> chain_;
  std::uint32_t reusedBlocks_ = 0;
  // What stores held when the run was placed; nothing if that isn't known.
  absl::optional<std::vector<StoreHolding>> holdings_;
  // Time since it was placed.
  absl::Duration age_ = absl::ZeroDuration();
};

// Answers a request with an error; nothing more happens to it.
struct Refuse
{
  RequestId id_ = 0;
  core::Error error_;
};

// Ends an attempt whose answer is no longer wanted.
struct CancelAttempt
{
  RequestId id_ = 0;
  std::uint32_t attempt_ = 0;
};

// Answers a call of a plain service with a stored answer.
struct AnswerCall
{
  RequestId id_ = 0;
  claims::StoredAnswer answer_;
};

// Asks the home of a claim for it.
struct RequestClaim
{
  RequestId id_ = 0;
  std::uint32_t claimTry_ = 0;
  std::string host_;
  claims::Ask claim_;
};

// Reports an outcome to the home of its claim.
struct ReportOutcome
{
  RequestId id_ = 0;
  std::string host_;
  claims::Report report_;
};

// Tells the home of a claim that its call still runs.
struct SendClaimHeartbeat
{
  std::string host_;
  claims::Running running_;
};

struct ReplyClaim
{
  PeerCallId callId_ = 0;
  claims::Answered answer_;
};

struct ReplyOutcomeReport
{
  PeerCallId callId_ = 0;
  bool durable_ = false;
};

struct ReplyHolders
{
  PeerCallId callId_ = 0;
  std::vector<directory::Holder> holders_;
};

struct ReplyConfig
{
  PeerCallId callId_ = 0;
  config::Served served_;
};

// Carries out a command to the platform's service.
struct SendCommand
{
  Module module_ = Module::Config;
  platform::Command command_;
};

// Shows a configuration to the traffic threads.
struct PublishConfig
{
  config::AcceptedPtr accepted_;
};

// Shows the other live hosts to the traffic threads.
struct PublishHosts
{
  std::vector<membership::HostState> liveHosts_;
};

// Shows the traffic threads whether this host takes requests.
struct PublishServing
{
  bool isolated_ = false;
  bool draining_ = false;
  // When the last answer that names this host has expired.
  absl::Time drainedAfter_ = absl::InfiniteFuture();
};

// Writes a line of key=value pairs to the log.
struct LogLine
{
  std::string line_;
};

// Raises a counter.
struct IncrementCounter
{
  std::string name_;
  std::string label_;
  std::string value_;
};

// Writes down what was decided about a request and why.
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
                             membership::AskIndirect,
                             membership::AnswerProbe,
                             membership::AnswerIndirect,
                             config::FetchFromPeer,
                             config::AskRevision,
                             config::CheckDocument,
                             config::AnswerEdit,
                             IncrementCounter,
                             TraceDecision>;

// Work that this host has sent to a target.
struct SentAttempt
{
  RequestId id_ = 0;
  placement::SentRun run_;
};

// What this host knows of one target.
struct TargetState
{
  bool reported_ = false;
  bool reached_ = false;
  bool leaving_ = false;
  bool listedAsLeaving_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  std::string weightVersion_;
  // When the state that the report describes was taken.
  absl::Time measuredAt_ = absl::InfinitePast();
  // Attempts of this host that are not over.
  std::vector<SentAttempt> ownAttempts_;
  directory::EventCursor cursor_;
  // This host asks for the target's reports all the time.
  bool followed_ = false;
  // Position of this host among the target's followers.
  std::uint32_t followerRank_ = 0;
  // The target did not answer; it is not asked before this time.
  absl::Time noQueryUntil_ = absl::InfinitePast();
};

// What this host knows of one store.
struct StoreState
{
  bool reached_ = false;
  std::uint64_t linkBacklogBytes_ = 0;
  // As the store reports it; zero if it doesn't.
  double linkBytesPerSecond_ = 0.0;
  std::uint64_t memoryUsed_ = 0;
  std::uint64_t diskUsed_ = 0;
  absl::Time measuredAt_ = absl::InfinitePast();
  // Questions in a row without an answer, and which start of the store has
  // answered last; zero if it doesn't say.
  std::uint32_t missedReports_ = 0;
  std::uint64_t instance_ = 0;
  placement::LinkQueue linkQueue_;
};

// Where a request stands.
enum class Phase
{
  Waiting,
  // Has a slot; waits for the home of its prompt.
  Locating,
  // Has a slot; waits for the load of targets that this host doesn't follow.
  QueryingLoads,
  // Has a slot; waits for the claim on its idempotency key.
  Claiming,
  Running,
  // The outcome is known and waits to be recorded before it is told.
  Recording,
};

struct RequestState
{
  NewRequest request_;
  Phase phase_ = Phase::Waiting;
  std::uint32_t attempt_ = 0;
  std::string target_;
  std::string weightVersion_;
  // Block keys under the weight version of the attempt.
  std::vector<core::BlockKey> chain_;
  // What stores hold of it; nothing if no home has said.
  absl::optional<std::vector<StoreHolding>> holdings_;
  // Leading blocks that the directory says the attempt's target holds.
  std::uint32_t directoryBlocks_ = 0;
  // Store and blocks of the attempt's import.
  absl::optional<placement::Import> import_;
  std::vector<std::string> triedTargets_;
  // Holders of its blocks and those whose load was asked for, while it waits.
  std::vector<directory::Holder> holders_;
  std::vector<std::string> queriedTargets_;
  // The attempt begins when these have reported.
  bool beginsAfterQuery_ = false;
  std::uint32_t cachedBlocks_ = 0;
  absl::Time arrived_;
  absl::Time sent_;
  absl::Time started_ = absl::InfiniteFuture();
  admission::Request admissionRequest_;
  // Asks for a claim so far, and the name of the latest one.
  std::uint32_t claimTries_ = 0;
  std::string claimAttemptId_;
  std::string claimHome_;
  // The last time that the home heard that the call runs.
  absl::Time lastHeartbeat_ = absl::InfinitePast();
  // What the caller gets once the outcome is recorded.
  claims::StoredAnswer answer_;
  absl::optional<core::Error> error_;
};

// Whom an answer of the claims is for.
struct ClaimTicket
{
  // A request of this host, or a call of a peer.
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
  // Moving average of the time for one token.
  double secondsPerToken_ = 0.02;
  // Moving average of the time that a run holds a slot.
  double secondsPerRun_ = 1.0;
  std::uint64_t decisions_ = 0;
};

// Names a pool.
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

// All control state of one entry host.
struct State
{
  // Name and data centre of this host.
  placement::Follower self_;
  config::ConfigPtr config_;
  absl::btree_map<PoolKey, Pool> pools_;
  absl::btree_map<std::string, TargetState> targets_;
  absl::btree_map<std::string, StoreState> stores_;
  absl::flat_hash_map<RequestId, RequestState> requests_;
  // Requests that run or wait for a home, by deadline.
  std::set<std::pair<absl::Time, RequestId>> deadlines_;
  directory::State directory_;
  directory::HostSet homeHosts_;
  std::vector<placement::Follower> liveHosts_;
  // When targets that this host doesn't follow were asked, within a second.
  std::deque<absl::Time> recentQueries_;
  membership::State membership_;
  // What the traffic threads were told last.
  PublishServing serving_;
  config::SyncState configSync_;
  claims::State claims_;
  absl::flat_hash_map<std::uint64_t, ClaimTicket> claimTickets_;
  // Requests that run under a claim.
  std::set<RequestId> claimedRequests_;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t seed_ = 0;
};

// Takes one event and returns what has to be done because of it.
std::vector<Effect>
Step(State& aState, const StepInput& aInput, const Event& aEvent);

} // namespace lycheeplank::reducer

#endif
