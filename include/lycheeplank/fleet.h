#ifndef LYCHEEPLANK_FLEET_H
#define LYCHEEPLANK_FLEET_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/core.h"

// The state of the targets as one host knows it: identity, load and health, and
// the choice of the target for a request.
namespace lycheeplank::fleet {

enum class TargetState
{
  Ready,
  // Shuts down or has shut down; gets no new requests.
  Leaving,
};

// A target as described by its own entry.
struct Target
{
  // Unique for each start of a target.
  std::string id_;
  std::string service_;
  std::string address_;
  std::string dataCentre_;
  std::uint32_t slots_ = 1;
  TargetState state_ = TargetState::Ready;
  // Weight version by model.
  absl::flat_hash_map<std::string, std::uint64_t> weights_;
  // Start time in milliseconds since 1970; distinguishes two starts under the
  // same id.
  std::int64_t bornMs_ = 0;
  // Time for which the target was still cold when it wrote the entry; no value
  // if the entry doesn't say.
  absl::optional<absl::Duration> warmup_;

  bool operator==(const Target&) const = default;
};

// The load that a target reports in its answers.
struct Load
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  // How long work takes at this moment, 1 as usual; only of targets that report
  // it.
  absl::optional<double> slowness_;
};

// Calls of another host to a target that have not ended, as sent between hosts.
struct PeerLoad
{
  // See IdHash.
  std::uint32_t target_ = 0;
  std::uint32_t inFlight_ = 0;
  // Prompt tokens of calls without a first event: of urgent requests, which
  // targets read first, and of all others.
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
};

// The newest load that a target has reported to any host, as sent between
// hosts.
struct ReportedLoad
{
  // See IdHash.
  std::uint32_t target_ = 0;
  Load load_;
  absl::Duration age_;
};

// Returns the hash that identifies a process of a target in messages between
// hosts, so that what they say of one process isn't taken for its successor's.
// aStartedAtMs: see Target::bornMs_.
std::uint32_t
IdHash(absl::string_view aTarget, std::int64_t aStartedAtMs = 0);

struct PeerUsage
{
  std::uint32_t inFlight_ = 0;
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  absl::Time reportedAt_ = absl::InfinitePast();
};

// The state of one target as this host knows it.
struct Member
{
  Target target_;
  std::uint32_t idHash_ = 0;
  // Position in the key-value service's history of the last change of its
  // entry.
  core::Position position_;
  // When this host first listed the target.
  absl::Time firstListedAt_ = absl::InfinitePast();
  // Set when the entry disappears from a list that may be incomplete. The
  // target is used until this time and removed then, unless its entry returns.
  absl::Time expiresAt_ = absl::InfiniteFuture();

  Load load_;
  absl::Time loadReportedAt_ = absl::InfinitePast();
  // When this host received the load, and whether it came in an answer to this
  // host rather than from another host.
  absl::Time loadReceivedAt_ = absl::InfinitePast();
  bool isOwnLoad_ = false;
  // The load came from a host whose loads this one collects.
  bool isCollectedLoad_ = false;
  // Calls of this host that have not ended.
  std::uint32_t inFlight_ = 0;
  // Prompt tokens of this host's calls without a first event.
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
  // Tokens that this host's calls hold in the target's memory, prompts and
  // answers.
  std::uint64_t heldTokens_ = 0;
  // The part of heldTokens_ that was sent within kPeerReportDelay, and the time
  // of the first of these sends. Other hosts' calls of that time are not known
  // yet.
  std::uint64_t recentTokens_ = 0;
  absl::Time recentSince_ = absl::InfinitePast();
  // Last reported loads of the other hosts of the data centre, by host.
  absl::flat_hash_map<std::string, PeerUsage> peers_;

  // Moving average of the ratio of measured to expected time until an answer or
  // a first event. The expected time includes the slowness that the target
  // reports.
  double slowness_ = 1.0;
  // Moving average of the slowness that the target reports.
  double usualSlowness_ = 1.0;
  // Moving average of the share of failed calls.
  double failureShare_ = 0.0;
  std::uint32_t consecutiveFailures_ = 0;
  absl::Time quarantinedUntil_ = absl::InfinitePast();
  std::uint32_t quarantineCount_ = 0;
  // A probe call is under way after a quarantine.
  bool probing_ = false;
  // Number of other hosts' reports that the target is unreachable, the time of
  // the last report, the end of the quarantine that they caused, and the time
  // of the last answer to this host.
  std::uint32_t downReports_ = 0;
  absl::Time downReportedAt_ = absl::InfinitePast();
  absl::Time downUntil_ = absl::InfinitePast();
  absl::Time answeredAt_ = absl::InfinitePast();
  // Time of the last part of an answer to this host, and the end of a
  // quarantine by a notice of a crash.
  absl::Time heardAt_ = absl::InfinitePast();
  absl::Time noticeUntil_ = absl::InfinitePast();
  // The target has asked this host to send no requests until this time.
  absl::Time closedUntil_ = absl::InfinitePast();
  // Limit of its requests per second from all hosts together; requests need a
  // permit while there is one.
  absl::optional<double> requestsPerSecond_;
  // The limit holds because the target is cold.
  bool isCold_ = false;
  // No permit will be issued before this time.
  absl::Time noPermitUntil_ = absl::InfinitePast();
  // A load of new weights keeps the target from starting requests until about
  // this time.
  absl::Time weightLoadUntil_ = absl::InfinitePast();
};

using Members = absl::btree_map<std::string, Member>;

// Data centres whose targets get no requests, with the time at which that ends;
// it doesn't end before the entry is removed here.
using Evacuations = absl::flat_hash_map<std::string, absl::Time>;

// Returns whether a target is in an evacuated data centre.
inline bool
IsEvacuated(const Evacuations& aEvacuations, const Member& aMember)
{
  return aEvacuations.contains(aMember.target_.dataCentre_);
}

// Removes the evacuations that have ended and returns their data centres.
std::vector<std::string>
RemoveEndedEvacuations(Evacuations& aEvacuations, absl::Time aNow);

// The cost of a prompt at targets with one version of the weights.
struct PromptCost
{
  std::uint64_t weights_ = 0;
  // Time since newer weights were published; zero for the newest version.
  absl::Duration outdatedFor_ = absl::ZeroDuration();
  // Prompt tokens to compute because no cache store holds them for these
  // weights, and tokens to read from a cache store.
  std::uint64_t computedTokens_ = 0;
  std::uint64_t readTokens_ = 0;
  // Shared tokens that no store holds, though other hosts may have requested
  // them just now.
  std::uint64_t uncachedTokens_ = 0;
};

// The properties of a request that decide which target it is sent to.
struct RequestSpec
{
  absl::string_view service_;
  absl::string_view dataCentre_;
  // Empty for plain services.
  absl::string_view model_;
  // One for each weight version that targets have.
  std::vector<PromptCost> costs_;
  // Id of the prompt's last shared part, so that all hosts prefer the same
  // target for it without communication; empty without one.
  absl::string_view affinity_;
  // Tokens that the request holds in a target's memory while it runs, and the
  // size of that memory; 0 if not known.
  std::uint64_t heldTokens_ = 0;
  std::uint64_t memoryTokens_ = 0;
  // Number of hosts with requests that wait for memory, this host included; 0
  // if none waits. When a target returns or frees memory, all these hosts send
  // their waiting requests at once, several times what it can hold.
  std::size_t hostsWaiting_ = 0;
  // Estimated tokens per target that other hosts have sent and not reported
  // yet, see EstimateUnreportedTokens.
  double unreportedTokens_ = 0.0;
  // Targets read the prompts of urgent requests first and evict requests that
  // are not urgent to make room for them.
  bool isUrgent_ = false;
  // Waits for memory by priority: also an urgent request waits at a target
  // whose memory is full of requests that are as urgent.
  bool waitsByPriority_ = false;
  // Tokens per target that it leaves to more urgent requests, see
  // EstimateReserve, and the share of a target's held tokens that belongs to
  // less urgent ones, which the target evicts first.
  double reservedTokens_ = 0.0;
  double yieldingShare_ = 0.0;
  // Share of the memory of all targets of the service that is held, see
  // HeldShare.
  double heldShare_ = 1.0;
  // Bytes sent to the target and back.
  std::uint64_t bytes_ = 0;
  // Limit of this host's concurrent calls to one target; 0 for no limit.
  std::uint32_t maxCalls_ = 0;
  // The only target to consider; empty for all.
  absl::string_view onlyTarget_;
  // Considers no targets whose requests need a permit.
  bool avoidsLimited_ = false;
  // Targets in these data centres are not considered, also as a last resort;
  // null if none is evacuated.
  const Evacuations* evacuations_ = nullptr;
  // Targets that this request has been sent to.
  const std::vector<std::string>* tried_ = nullptr;
  // Requests must start on old weights within this time after newer ones were
  // published.
  absl::Duration oldWeightsLimit_ = absl::InfiniteDuration();
  // Desired time until the start of the answer.
  absl::Duration goal_ = absl::Seconds(1);
  // Random seed that breaks ties.
  std::uint64_t seed_ = 0;
  // Considers only a random sample of targets. Loads are reported some hundred
  // milliseconds late, so many hosts that consider all targets would all choose
  // the one that was the least busy.
  bool useSampling_ = false;
};

// Sample sizes in the host's own data centre and elsewhere, in addition to the
// preferred targets of the prompt. Two or more random samples keep the longest
// queue short; larger samples would make hosts with the same outdated state
// choose alike.
inline constexpr std::size_t kNearSamples = 3;
inline constexpr std::size_t kFarSamples = 2;

// Speed of an engine, for estimates.
struct EngineSpeed
{
  double promptTokensPerSecond_ = 60000.0;
  double cacheTokensPerSecond_ = 250000.0;
  // Time from the send to the first event of an idle engine, without the
  // prompt.
  double startSeconds_ = 0.025;
};

// Time after new weights were published in which old weights cost nothing.
// After it, a target with new weights is worth a wait.
inline constexpr absl::Duration kOldWeightsGrace = absl::Milliseconds(1200);
// All costs are shares of the value of a request to its caller. kLateCost is
// the loss of an answer after the goal; the users' sheets assign a fifth to it.
inline constexpr double kLateCost = 0.8;
// Loss of a request on old weights after kOldWeightsGrace.
inline constexpr double kOldWeightsCost = 0.2;
// Cost of a byte sent to another data centre, from the users' prices.
inline constexpr double kRemoteByteCost = 8e-6;
// Cost of a token read from a cache store instead of the target's own memory,
// from the users' prices.
inline constexpr double kReadTokenCost = 2e-6;
// Cost of a shared token that no store holds at other than the preferred
// targets of its part, which may be computing it for other requests at this
// moment.
inline constexpr double kUncachedTokenCost = 1e-4;
// Mean share of its output limit that a run holds in memory: usage grows
// evenly, and few answers reach the limit.
inline constexpr double kMeanOutputShare = 0.4;
// Time until another host's call to a target becomes known.
inline constexpr absl::Duration kPeerReportDelay = absl::Milliseconds(120);
// While requests wait, each other host is expected to have sent a target this
// share of what this host sent within kPeerReportDelay.
inline constexpr double kSimilarSendShare = 0.7;
// Cost per second of wait, besides the lateness of the request itself: a
// waiting request delays those behind it.
inline constexpr double kWaitCost = 0.2;
// Number of preferred targets for a shared part, ranked by the hash of the
// part's id.
inline constexpr std::size_t kAffinityTargets = 2;
// Maximum age at which a target's reported load is used.
inline constexpr absl::Duration kMaxLoadAge = absl::Milliseconds(500);

// Time in which a target's reported slowness loses most of its weight against
// the average. The figure changes many times a second, so one of this age says
// little about the moment at which a new request starts.
inline constexpr absl::Duration kSlownessDecay = absl::Milliseconds(200);

// Maximum age at which the reported load of another host is used.
inline constexpr absl::Duration kMaxPeerLoadAge = absl::Seconds(1);

// Consecutive failures, or share of failures, that quarantine a target.
inline constexpr std::uint32_t kQuarantineFailures = 3;
inline constexpr double kQuarantineFailureShare = 0.35;
// Weight of the newest call in the moving averages.
inline constexpr double kCallAverageWeight = 0.1;
// Duration of the first quarantine; it doubles each time up to kMaxQuarantine.
inline constexpr absl::Duration kMinQuarantine = absl::Milliseconds(700);
inline constexpr absl::Duration kMaxQuarantine = absl::Seconds(5);
// A replaced target stays in quarantine until its entry is removed, which takes
// some of its heartbeats.
inline constexpr absl::Duration kReplacedQuarantine = absl::Seconds(10);

// The chosen target and the reasons for the choice, for the log.
struct Choice
{
  std::string id_;
  double waitSeconds_ = 0.0;
  // The wait at a target of average speed.
  double nominalSeconds_ = 0.0;
  absl::Duration loadAge_ = absl::InfiniteDuration();
  // Estimated work at the target: prompt tokens that it reads first, tokens in
  // its memory, and running calls.
  std::uint64_t backlogTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  double running_ = 0.0;
  std::uint32_t candidates_ = 0;
  // The target has no memory for the request until other runs end.
  bool memoryFull_ = false;
  // All eligible targets were in quarantine or loading weights.
  bool lastResort_ = false;
  // The earliest time at which a target that has asked for no requests accepts
  // them again.
  absl::Time backoffEndsAt_ = absl::InfiniteFuture();
  // The target for which a permit can be issued first, if that is why a target
  // wasn't considered.
  std::string nextPermitTarget_;
  // The service has targets in use, and all of them are in evacuated data
  // centres.
  bool allEvacuated_ = false;
};

// Why a target of the service isn't considered for a request.
enum class Exclusion
{
  None,
  // It leaves or its entry is gone.
  NotInUse,
  // Its data centre is evacuated.
  Evacuated,
  // Another target was asked for.
  NotNamed,
  // Its requests need a permit, which this request doesn't ask for.
  Limited,
  // The request was sent to it before.
  Tried,
  // This host's connections to it are all in use.
  Connections,
  // Its weights are, or will be, outdated for too long, or aren't known.
  OldWeights,
  // It has asked for no requests for some time.
  Closed,
  // No permit for it will be issued for some time.
  NoPermit,
  // The following are used if there is no other target.
  Quarantined,
  LoadingWeights,
};

inline constexpr std::array<core::Named<Exclusion>, 12> kExclusions{ {
  { Exclusion::None, "" },
  { Exclusion::NotInUse, "not_in_use" },
  { Exclusion::Evacuated, "evacuated" },
  { Exclusion::NotNamed, "not_named" },
  { Exclusion::Limited, "limited" },
  { Exclusion::Tried, "tried" },
  { Exclusion::Connections, "connections" },
  { Exclusion::OldWeights, "old_weights" },
  { Exclusion::Closed, "closed" },
  { Exclusion::NoPermit, "no_permit" },
  { Exclusion::Quarantined, "quarantined" },
  { Exclusion::LoadingWeights, "loading_weights" },
} };

// Returns the cost of the prompt at the weights that the target has.
const PromptCost&
PromptCostAt(const Member& aMember, const RequestSpec& aRequest);

// Returns the distinct versions of a model's weights among the targets of a
// service.
std::vector<std::uint64_t>
WeightVersions(const Members& aMembers,
               absl::string_view aService,
               absl::string_view aModel);

// The estimated time until a target starts to answer, in seconds.
struct Estimate
{
  // At a target of average speed, and at this target.
  double nominalSeconds_ = 0.0;
  double waitSeconds_ = 0.0;
  // Estimated work at the target, see Choice.
  std::uint64_t backlogTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  double running_ = 0.0;
  // The target has no memory for the request until other runs end.
  bool memoryFull_ = false;
};

// Returns how many times as long as at an average target work is expected to
// take: the reported slowness if it is recent, and the more of the averages the
// older it is.
double
ExpectedSlowness(const Member& aMember, absl::Time aNow);

// Returns the estimated time until a target would start to answer.
Estimate
EstimateWait(const Member& aMember,
             const RequestSpec& aRequest,
             const EngineSpeed& aSpeed,
             absl::Time aNow);

// Returns the share of the memory of a service's usable targets that requests
// hold.
double
HeldShare(const Members& aMembers,
          absl::string_view aService,
          std::uint64_t aMemoryTokens,
          absl::Time aNow);

// Chooses a target; the id is empty if no target of the service may be used.
Choice
ChooseTarget(const Members& aMembers,
             const RequestSpec& aRequest,
             const EngineSpeed& aSpeed,
             absl::Time aNow);

// The eligible targets of a data centre that can start an answer within a goal.
struct DataCentreTargets
{
  std::string dataCentre_;
  std::size_t targets_ = 0;
  // Mean slots and slowness of these targets.
  double slots_ = 0.0;
  double slowness_ = 1.0;
  // Some target of the data centre reports its slowness.
  bool reportsSlowness_ = false;
};

// Returns the targets that may get the request, by data centre, without those
// that take more than aMaxSlowness times as long as an average one.
std::vector<DataCentreTargets>
TargetsByDataCentre(const Members& aMembers,
                    const RequestSpec& aRequest,
                    double aMaxSlowness,
                    absl::Time aNow);

// A target of the requested service as a choice sees it.
struct Candidate
{
  std::string id_;
  std::string dataCentre_;
  Exclusion exclusion_ = Exclusion::None;
  Estimate estimate_;
  // The cost by which targets are compared; the lowest one is chosen.
  double cost_ = 0.0;
  double slowness_ = 1.0;
};

struct Explanation
{
  Choice choice_;
  // All targets of the service, those that are considered first, by cost.
  std::vector<Candidate> candidates_;
};

// Returns the choice of ChooseTarget with all targets that it compares or
// leaves out. With sampling the choice is one of several possible ones.
Explanation
ExplainChoice(const Members& aMembers,
              const RequestSpec& aRequest,
              const EngineSpeed& aSpeed,
              absl::Time aNow);

// The result of one call to a target, as far as it concerns the target's
// health.
enum class CallResult
{
  Answered,
  // Refused without a run, or answered with an error of the target's own.
  Refused,
  Failed,
  // No connection could be made.
  Unreachable,
  // Another target answers at its address, so this target is gone.
  Replaced,
  // The caller left or the deadline passed; not counted for the target's
  // health.
  Abandoned,
};

// Numbers of reports that a target is unreachable, by IdHash. Without them,
// when a quarter of the targets fails, each of some hundred hosts would try
// each failed target in turn.
using DownReports = absl::flat_hash_map<std::uint32_t, std::uint32_t>;

// Number of reports within kDownReportWindow that quarantine a target at hosts
// that have not tried it. Two are required because one reporting host may be
// cut off itself.
inline constexpr absl::Duration kDownReportWindow = absl::Milliseconds(1500);
inline constexpr std::uint32_t kMinDownReports = 2;
// Reports are ignored for a target that has answered this host within this
// time.
inline constexpr absl::Duration kRecentAnswerAge = absl::Milliseconds(300);
// Quarantine after reports, multiplied by a random factor between 1 and
// kDownQuarantineSpread, so that few hosts probe the target first and report
// the result to the others.
inline constexpr absl::Duration kDownQuarantine = absl::Milliseconds(1500);
inline constexpr double kDownQuarantineSpread = 4.0;

// Adds reports of other hosts; returns the targets that are quarantined by
// them.
std::vector<std::string>
ApplyDownReports(Members& aMembers,
                 const DownReports& aReports,
                 std::uint64_t aSeed,
                 absl::Time aNow);

// Returns whether a target is in quarantine for failures.
bool
IsQuarantined(const Member& aMember, absl::Time aNow);

// Replaces the reported loads of another host; a target that is not listed has
// no calls of that host.
void
SetPeerLoads(Members& aMembers,
             const std::string& aHost,
             const std::vector<PeerLoad>& aLoads,
             absl::Time aNow);

// Returns the calls of this host at each target, plus the reported loads of the
// given hosts.
std::vector<PeerLoad>
SumLoads(const Members& aMembers,
         const std::vector<std::string>& aHosts,
         absl::Time aNow);

// The rate at which this host sends requests to the targets of a service.
struct SendRate
{
  // Moving averages of the held tokens of all calls of a second, and of one
  // call.
  double tokensPerSecond_ = 0.0;
  double tokensPerCall_ = 0.0;
  absl::Time sentAt_ = absl::InfinitePast();
};

// Averaging time of a send rate.
inline constexpr absl::Duration kSendRateWindow = absl::Seconds(2);

void
RecordSend(SendRate& aRate, std::uint64_t aHeldTokens, absl::Time aNow);

// Returns the tokens sent each second; the rate decays while nothing is sent.
double
TokensPerSecond(const SendRate& aRate, absl::Time aNow);

// Returns an estimate of the tokens that other hosts have sent to a target and
// not reported yet: the mean plus one standard deviation, under the assumption
// that all hosts send at this host's rate. In a large fleet, loads are reported
// some hundred milliseconds late; hosts that rely on them alone overfill the
// memory of the targets.
double
EstimateUnreportedTokens(const SendRate& aRate,
                         std::size_t aHosts,
                         std::size_t aTargets,
                         absl::Duration aReportDelay,
                         absl::Time aNow);

// The requests of one service at this host by priority; 0 is the most urgent.
struct PriorityLoads
{
  // Requests that arrived, also those that wait or were refused.
  absl::btree_map<std::uint32_t, SendRate> arrivals_;
  // Shares of the recent sends in held tokens, as a moving average.
  absl::btree_map<std::uint32_t, double> sentTokens_;
  // The last result of HeldShare and its time.
  double heldShare_ = 0.0;
  absl::Time heldShareAt_ = absl::InfinitePast();
};

// Time for whose arrivals of more urgent requests a less urgent one leaves
// room: a full target frees room for a long prompt in about 200 ms, and loads
// are reported up to 300 ms late.
inline constexpr absl::Duration kReserveTime = absl::Milliseconds(300);

void
RecordArrival(PriorityLoads& aLoads,
              std::uint32_t aPriority,
              std::uint64_t aHeldTokens,
              absl::Time aNow);

void
RecordPrioritySend(PriorityLoads& aLoads,
                   std::uint32_t aPriority,
                   std::uint64_t aHeldTokens);

// Returns an estimate of the tokens of more urgent requests that all hosts send
// to a target within kReserveTime, if they receive as many as this host.
double
EstimateReserve(const PriorityLoads& aLoads,
                std::uint32_t aPriority,
                std::size_t aHosts,
                std::size_t aTargets,
                absl::Time aNow);

// Returns the tokens of requests that arrive each second and are more urgent
// than aPriority.
double
MoreUrgentPerSecond(const PriorityLoads& aLoads,
                    std::uint32_t aPriority,
                    absl::Time aNow);

// Returns the share of less urgent requests among the tokens that targets hold,
// if other hosts send the same mix as this one.
double
YieldingShare(const PriorityLoads& aLoads, std::uint32_t aPriority);

// The size of one call.
struct CallSize
{
  std::uint64_t promptTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  bool isUrgent_ = false;
};

// Records the start of a call to a target.
void
RecordCallStart(Member& aMember, const CallSize& aSize, absl::Time aNow);

// Records a load that the target reported to this host at aReportedAt; ignores
// it if a newer one is known. Returns whether it was recorded.
bool
RecordLoad(Member& aMember, const Load& aLoad, absl::Time aReportedAt);

// Ids of targets by IdHash.
using TargetIds = absl::flat_hash_map<std::uint32_t, std::string>;

TargetIds
IdsByHash(const Members& aMembers);

// Records loads that other hosts have received from targets. A collector gets
// more than a thousand such messages a second with a few loads each, so the
// targets are looked up in aIds. aSentAt: when the ages were true.
// aIsCollected: they come from a host whose loads this one collects.
void
ApplyReportedLoads(Members& aMembers,
                   const TargetIds& aIds,
                   const std::vector<ReportedLoad>& aLoads,
                   absl::Time aSentAt,
                   absl::Time aNow,
                   bool aIsCollected = false);

// Which reported loads a host sends to others.
struct ReportedLoadQuery
{
  // Loads that were received later than this.
  absl::Time since_ = absl::InfinitePast();
  // Only loads that came in answers to this host, and with includesCollected_
  // also those from hosts whose loads it collects.
  bool isOwnOnly_ = false;
  // Loads of this data centre's targets come first; with isNearOnly_, no others
  // are sent.
  absl::string_view dataCentre_;
  bool isNearOnly_ = false;
  bool includesCollected_ = false;
};

// Maximum number of reported loads in one message, which fits into a packet.
// Without the limit, the collector of a data centre of 75 hosts and 750 targets
// would send each of them the loads of all targets some times a second.
inline constexpr std::size_t kMaxReportedLoads = 128;

// Returns the newest reported loads for a message, of targets that report their
// slowness.
std::vector<ReportedLoad>
NewestReportedLoads(const Members& aMembers,
                    const ReportedLoadQuery& aQuery,
                    absl::Time aNow);

// Records the first byte of an answer; the target has read the prompt by then.
// aReportedSlowness: the slowness in the head of the answer. It explains its
// part of the measured time, which therefore isn't added to the average.
void
RecordFirstByte(Member& aMember,
                const CallSize& aSize,
                absl::Duration aTook,
                double aNominalSeconds,
                double aReportedSlowness = 1.0);

// Records the end of a call; returns true if it quarantines the target.
bool
RecordCallEnd(Member& aMember,
              const CallSize& aSize,
              CallResult aResult,
              absl::Time aNow);

// Updates a target from its entry. A new start under the same id resets its
// state. The first entry of a new era may be older than the known one: from an
// earlier start, or with a state and weights that the same start has already
// left.
void
UpdateTarget(Members& aMembers,
             Target aTarget,
             const core::Position& aPosition,
             absl::Time aNow);

// Marks a target whose entry is gone for removal at aUntil, at once if it is
// leaving. Returns false if the target is not known.
bool
ExpireTarget(Members& aMembers, absl::string_view aId, absl::Time aUntil);

// Returns whether new requests may be sent to the target. An expired one gets
// none, also before it is removed.
bool
IsInUse(const Member& aMember, absl::Time aNow);

// Removes expired targets and returns them.
std::vector<Target>
RemoveExpired(Members& aMembers, absl::Time aNow);

} // namespace lycheeplank::fleet

#endif
