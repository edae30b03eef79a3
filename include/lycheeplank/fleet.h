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

#include "lycheeplank/core.h"

// What a host believes of the targets: who they are, how busy, how healthy,
// and which of them a request should go to.
namespace lycheeplank::fleet {

enum class TargetState
{
  Ready,
  // Says that it leaves, or has left; gets no new work.
  Leaving,
};

// A target as it describes itself.
struct Target
{
  // Differs for each start of a target.
  std::string id_;
  std::string service_;
  std::string address_;
  std::string dataCentre_;
  std::uint32_t slots_ = 1;
  TargetState state_ = TargetState::Ready;
  // Weight version by model.
  absl::flat_hash_map<std::string, std::uint64_t> weights_;
  // When it started, in milliseconds since 1970; tells two starts with one
  // name apart.
  std::int64_t bornMs_ = 0;
};

// A target's own count of its work, from one of its answers.
struct Load
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
};

// What another host has under way at a target.
struct PeerLoad
{
  // Stable hash of the target's id.
  std::uint32_t target_ = 0;
  std::uint32_t inFlight_ = 0;
  // Prompt tokens of calls without a first event: those of urgent requests,
  // which targets read first, and the others.
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
};

// Returns the short name of a target among hosts.
std::uint32_t
IdHash(absl::string_view aTarget);

struct PeerUsage
{
  std::uint32_t inFlight_ = 0;
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  absl::Time reportedAt_ = absl::InfinitePast();
};

// What a host knows of one target.
struct Member
{
  Target target_;
  std::uint32_t idHash_ = 0;
  // Where in the service's history its entry was last changed.
  core::Position position_;
  // Its entry has vanished while the list could not be relied on; it is used
  // until then unless the entry comes back.
  absl::Time expiresAt_ = absl::InfiniteFuture();

  Load load_;
  absl::Time loadReportedAt_ = absl::InfinitePast();
  // This host's own calls that it has not answered.
  std::uint32_t inFlight_ = 0;
  // Prompt tokens of own calls without a first event.
  std::uint64_t urgentTokens_ = 0;
  std::uint64_t otherTokens_ = 0;
  // Tokens that own calls hold in its memory, prompts and answers.
  std::uint64_t heldTokens_ = 0;
  // Of these, what was sent lately, and when the first of it was: the other
  // hosts' calls of that time aren't known yet.
  std::uint64_t recentTokens_ = 0;
  absl::Time recentSince_ = absl::InfinitePast();
  // What other hosts of the data centre have said of theirs, by host.
  absl::flat_hash_map<std::string, PeerUsage> peers_;

  // Moving average of the time to its answers or first events, in seconds,
  // over what the call was expected to take.
  double slowness_ = 1.0;
  // Moving average of failed calls.
  double failureShare_ = 0.0;
  std::uint32_t consecutiveFailures_ = 0;
  absl::Time quarantinedUntil_ = absl::InfinitePast();
  std::uint32_t quarantineCount_ = 0;
  // A call that finds out whether it works again.
  bool probing_ = false;
  // Reports of other hosts that it can't be reached, the last of them, until
  // when it is believed, and when the target last answered this host.
  std::uint32_t downReports_ = 0;
  absl::Time downReportedAt_ = absl::InfinitePast();
  absl::Time downUntil_ = absl::InfinitePast();
  absl::Time answeredAt_ = absl::InfinitePast();
  // It has asked this host for no requests until then.
  absl::Time closedUntil_ = absl::InfinitePast();
  // An order keeps it from starting requests until about then.
  absl::Time weightLoadUntil_ = absl::InfinitePast();
};

using Members = absl::btree_map<std::string, Member>;

// What a request meets at a target with given weights.
struct PromptCost
{
  std::uint64_t weights_ = 0;
  // How long ago newer weights were named; zero for the newest.
  absl::Duration outdatedFor_ = absl::ZeroDuration();
  // Prompt tokens that no cache store holds for these weights, and those that
  // one does.
  std::uint64_t computedTokens_ = 0;
  std::uint64_t readTokens_ = 0;
  // Shared tokens that no store holds, though other hosts may have asked for
  // them just now.
  std::uint64_t uncachedTokens_ = 0;
};

// What is asked of a target.
struct RequestSpec
{
  absl::string_view service_;
  absl::string_view dataCentre_;
  // Empty for plain services.
  absl::string_view model_;
  // One for each version of the weights that targets have.
  std::vector<PromptCost> costs_;
  // Names the prompt's last shared part, so that hosts prefer the same target
  // for it without talking; empty without one.
  absl::string_view affinity_;
  // Tokens that it holds in a target's memory while it runs, and that memory; 0
  // if it isn't known.
  std::uint64_t heldTokens_ = 0;
  std::uint64_t memoryTokens_ = 0;
  // Hosts whose requests wait for memory as this host's do; 0 if none waits.
  // The pattern: a target comes back or has room again, and all hosts that see
  // it send what waits there at once, several times what it can hold.
  std::size_t hostsWaiting_ = 0;
  // Tokens that other hosts have likely sent to each target and not told yet,
  // see UnheardTokens.
  double unreportedTokens_ = 0.0;
  // Targets read its prompt before those that aren't urgent, and push such ones
  // out of their memory for it.
  bool isUrgent_ = false;
  // Bytes that cross to the target and back.
  std::uint64_t bytes_ = 0;
  // Calls that this host may have at one target at once; 0 for any number.
  std::uint32_t maxCalls_ = 0;
  // Targets that this request has been at.
  const std::vector<std::string>* tried_ = nullptr;
  // Requests have to begin on old weights within so long after newer ones were
  // named.
  absl::Duration oldWeightsLimit_ = absl::InfiniteDuration();
  // Time until the answer should begin.
  absl::Duration goal_ = absl::Seconds(1);
  // Spreads equal choices.
  std::uint64_t seed_ = 0;
  // Looks only at some targets drawn by chance. The pattern: many hosts that
  // hear of loads some hundred milliseconds late would all send to the target
  // that was the least busy one.
  bool useSampling_ = false;
};

// Targets drawn in the own data centre and elsewhere, beside those that keep
// the prompt. Two and more drawn by chance keep the longest queue short; more
// would make hosts with the same old news choose alike.
inline constexpr std::size_t kNearSamples = 3;
inline constexpr std::size_t kFarSamples = 2;

// Speed of an engine, for estimates.
struct EngineSpeed
{
  double promptTokensPerSecond_ = 60000.0;
  double cacheTokensPerSecond_ = 250000.0;
  // From the send to the first event of an idle engine, without the prompt.
  double startSeconds_ = 0.025;
};

// Requests go to old weights without loss for so long after new ones were
// named; from then on a target with new weights is worth a wait.
inline constexpr absl::Duration kOldWeightsGrace = absl::Milliseconds(1200);
// The costs of a choice are shares of what a request is worth to its caller.
// What an answer after the goal loses; the users' sheets give a fifth for it.
inline constexpr double kLateCost = 0.8;
// What a request on old weights loses once that time has passed.
inline constexpr double kOldWeightsCost = 0.2;
// What a byte over the boundary of a data centre costs, from the users' prices.
inline constexpr double kRemoteByteCost = 8e-6;
// What a token costs that comes from a cache store and not from the target's
// own memory, from the users' prices.
inline constexpr double kReadTokenCost = 2e-6;
// What a shared token costs that no store holds, away from the target where
// others that ask for it meet: some of them have it computed at this moment.
inline constexpr double kUncachedTokenCost = 1e-4;
// What a run holds of the memory for its answer on average, as part of the most
// that it may take: its memory grows evenly, and few answers are the longest.
inline constexpr double kMeanOutputShare = 0.4;
// Time in which another host's call to a target becomes known.
inline constexpr absl::Duration kPeerReportDelay = absl::Milliseconds(120);
// While requests wait, each other host is expected to have sent a target this
// part of what this host has sent within that time.
inline constexpr double kSimilarSendShare = 0.7;
// A second of wait, beside its own lateness: what waits delays those behind it.
inline constexpr double kWaitCost = 0.2;
// Targets of a part that are preferred, in the order of its name.
inline constexpr std::size_t kAffinityTargets = 2;
// A target's own count is used as long as this.
inline constexpr absl::Duration kMaxLoadAge = absl::Milliseconds(500);

// What another host has said of its own calls is used as long as this.
inline constexpr absl::Duration kMaxPeerLoadAge = absl::Seconds(1);

// Failures in a row, and share of failures, that put a target aside.
inline constexpr std::uint32_t kQuarantineFailures = 3;
inline constexpr double kQuarantineFailureShare = 0.35;
// Weight of the newest call in the moving averages.
inline constexpr double kCallAverageWeight = 0.1;
// Time aside after the first time; it doubles up to the longest.
inline constexpr absl::Duration kMinQuarantine = absl::Milliseconds(700);
inline constexpr absl::Duration kMaxQuarantine = absl::Seconds(5);
// A target that was replaced stays aside until its entry is gone, which takes
// some of its heartbeats.
inline constexpr absl::Duration kReplacedQuarantine = absl::Seconds(10);

// Why a target was chosen, for the log.
struct Choice
{
  std::string id_;
  double waitSeconds_ = 0.0;
  // The same for a target of usual speed.
  double nominalSeconds_ = 0.0;
  absl::Duration loadAge_ = absl::InfiniteDuration();
  // Work believed to be at the target: prompt tokens that it reads first,
  // tokens in its memory, and running calls.
  std::uint64_t backlogTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  double running_ = 0.0;
  std::uint32_t candidates_ = 0;
  // It has no memory for the request before others end.
  bool memoryFull_ = false;
  // All that could be used were put aside for failures.
  bool lastResort_ = false;
  // When the first target opens that has asked for no requests.
  absl::Time backoffEndsAt_ = absl::InfiniteFuture();
};

// Returns what the request costs a target, by the weights that it has.
const PromptCost&
PromptCostAt(const Member& aMember, const RequestSpec& aRequest);

// Returns the versions of a model's weights that targets of a service have.
std::vector<std::uint64_t>
WeightVersions(const Members& aMembers,
               absl::string_view aService,
               absl::string_view aModel);

// Time until a target starts to answer, in seconds.
struct Estimate
{
  // At a target of usual speed, and at this one.
  double nominalSeconds_ = 0.0;
  double waitSeconds_ = 0.0;
  // Work believed to be there, see Choice.
  std::uint64_t backlogTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  double running_ = 0.0;
  // It has no memory for the request before others end.
  bool memoryFull_ = false;
};

// Returns the time until a target would start to answer.
Estimate
EstimateWait(const Member& aMember,
             const RequestSpec& aRequest,
             const EngineSpeed& aSpeed,
             absl::Time aNow);

// Chooses a target; empty id if no target of the service may be used.
Choice
ChooseTarget(const Members& aMembers,
             const RequestSpec& aRequest,
             const EngineSpeed& aSpeed,
             absl::Time aNow);

// How one call to a target ended, as far as its health is concerned.
enum class CallResult
{
  Answered,
  // Refused without being run, or answered with an error of its own.
  Refused,
  Failed,
  // No connection could be made.
  Unreachable,
  // Another target has its address: it is gone.
  Replaced,
  // The caller left or the deadline came; says nothing.
  Abandoned,
};

// Reports that targets can't be reached, by short name. The pattern: a quarter
// of the targets falls silent, and each of some hundred hosts would try each of
// them in turn.
using DownReports = absl::flat_hash_map<std::uint32_t, std::uint32_t>;

// Reports within this time that put a target aside at hosts that haven't tried
// it: two, since one host may be cut off itself.
inline constexpr absl::Duration kDownReportWindow = absl::Milliseconds(1500);
inline constexpr std::uint32_t kMinDownReports = 2;
// A target that has answered this host so lately is not believed to be down.
inline constexpr absl::Duration kRecentAnswerAge = absl::Milliseconds(300);
// Time aside by reports, times one to kDownSpread by chance, so that few hosts
// find out first whether it works again, and tell the others if not.
inline constexpr absl::Duration kDownQuarantine = absl::Milliseconds(1500);
inline constexpr double kDownQuarantineSpread = 4.0;

// Takes in reports of other hosts; returns the targets that are put aside.
std::vector<std::string>
ApplyDownReports(Members& aMembers,
                 const DownReports& aReports,
                 std::uint64_t aSeed,
                 absl::Time aNow);

// Returns whether a target is put aside for failures now.
bool
IsQuarantined(const Member& aMember, absl::Time aNow);

// Takes in all that another host has under way; what it doesn't name has ended.
void
SetPeerLoads(Members& aMembers,
             const std::string& aHost,
             const std::vector<PeerLoad>& aLoads,
             absl::Time aNow);

// Returns what this host has under way at targets, and the sums of what the
// named hosts have told.
std::vector<PeerLoad>
SumLoads(const Members& aMembers,
         const std::vector<std::string>& aHosts,
         absl::Time aNow);

// What this host sends to the targets of a service.
struct SendRate
{
  // Moving averages: tokens held by the calls of a second, and by one call.
  double tokensPerSecond_ = 0.0;
  double tokensPerCall_ = 0.0;
  absl::Time sentAt_ = absl::InfinitePast();
};

// Time over which the rate of an outflow is averaged.
inline constexpr absl::Duration kSendRateWindow = absl::Seconds(2);

void
RecordSend(SendRate& aRate, std::uint64_t aHeldTokens, absl::Time aNow);

// Returns the tokens that other hosts have likely sent to a target and not told
// yet, if they send as this one does: the mean, and a standard deviation of it.
// The pattern: in a large fleet news of loads are some hundred milliseconds
// old, and hosts that trust them fill each target's memory beyond what it has.
double
EstimateUnreportedTokens(const SendRate& aRate,
                         std::size_t aHosts,
                         std::size_t aTargets,
                         absl::Duration aReportDelay,
                         absl::Time aNow);

// What one call brings to a target.
struct CallSize
{
  std::uint64_t promptTokens_ = 0;
  std::uint64_t heldTokens_ = 0;
  bool isUrgent_ = false;
};

// Notes that a call goes to a target.
void
RecordCallStart(Member& aMember, const CallSize& aSize, absl::Time aNow);

// Notes the first byte of an answer: the prompt is read by then.
void
RecordFirstByte(Member& aMember,
                const CallSize& aSize,
                absl::Duration aTook,
                double aUsualSeconds);

// Notes the end of a call; returns true if the target is put aside by it.
bool
RecordCallEnd(Member& aMember,
              const CallSize& aSize,
              CallResult aResult,
              absl::Time aNow);

// Takes in what a target says of itself. A new start under an old name loses
// what was known of it. The first entry of a new era may be older than what is
// known: an earlier start, or a state and weights that the same start has left.
void
UpdateTarget(Members& aMembers,
             Target aTarget,
             const core::Position& aPosition,
             absl::Time aNow);

// Takes out a target whose entry is gone; if the list isn't to be relied on,
// only at aUntil. Returns false if it isn't known.
bool
ExpireTarget(Members& aMembers, absl::string_view aId, absl::Time aUntil);

// Takes out targets whose time has come; returns their ids.
std::vector<std::string>
RemoveExpired(Members& aMembers, absl::Time aNow);

} // namespace lycheeplank::fleet

#endif
