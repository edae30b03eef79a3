#ifndef LYCHEEPLANK_PLACEMENT_H
#define LYCHEEPLANK_PLACEMENT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"
#include "lycheeplank/core.h"

// Chooses the target of a run and assigns to each host the targets that it
// follows, i.e. whose load it polls. All functions are pure; names are views
// into the caller's snapshot.
namespace lycheeplank::placement {

// The run to place.
struct PlacementRequest
{
  std::uint64_t promptTokens_ = 0;
  // Number of full blocks of the prompt; only full blocks can be cached or
  // imported.
  std::uint32_t blocks_ = 0;
  std::uint32_t blockTokens_ = 1;
  std::uint64_t kvBytesPerToken_ = 0;
  config::Objective objective_;
  config::Policy policy_ = config::Policy::Estimate;
  // Time left until the caller's deadline.
  absl::Duration remaining_ = absl::InfiniteDuration();
  // False for digests and other batch work.
  bool interactive_ = true;
  // Breaks ties. Round robin uses the host's running count of runs instead.
  std::uint64_t seed_ = 0;
  // Stable hash of the prompt's first block; sticky placement depends on it.
  std::uint64_t promptHash_ = 0;
};

// A target's last load report.
struct LoadReport
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  // Time since the target measured these values; infinite if the host has no
  // report.
  absl::Duration age_ = absl::InfiniteDuration();
};

// Work that this host sent to a target after the target's last report, so that
// the report doesn't include it.
struct UnreportedWork
{
  std::uint64_t prefillTokens_ = 0;
  std::uint32_t runs_ = 0;
  // Mean time since the runs were sent.
  absl::Duration meanAge_ = absl::ZeroDuration();
};

// A run that this host sent to a target.
struct SentRun
{
  absl::Time sentAt_;
  std::uint64_t prefillTokens_ = 0;
};

// Sums up the runs that were sent after aReportedAt, the time of the report.
UnreportedWork
UnreportedWorkSince(const std::vector<SentRun>& aSent,
                    absl::Time aReportedAt,
                    absl::Time aNow);

// A target that could take the run.
struct Candidate
{
  absl::string_view name_;
  absl::string_view dataCentre_;
  // Network time from this host to the target, one way.
  absl::Duration oneWayDelay_ = absl::ZeroDuration();
  LoadReport load_;
  UnreportedWork unreported_;
  std::uint32_t maxRuns_ = 1;
  double prefillTokensPerSecond_ = 1.0;
  // Mean time for which a run occupies one of the target's slots.
  absl::Duration meanSlotTime_ = absl::ZeroDuration();
  // Position of this host among the target's followers; 0 is the first.
  std::uint32_t followerRank_ = 0;
  // Leading blocks of the prompt that the directory lists in the target's
  // cache.
  std::uint32_t cachedBlocks_ = 0;
  // Cached blocks of other prompts that the run is expected to evict.
  std::uint32_t expectedEvictions_ = 0;
};

// A store that holds leading blocks of the prompt.
struct ImportSource
{
  absl::string_view store_;
  std::uint32_t leadingBlocks_ = 0;
  // Generation of each leading block.
  std::vector<std::uint64_t> generations_;
  bool onDisk_ = false;
  double linkBytesPerSecond_ = 0.0;
  double diskBytesPerSecond_ = 0.0;
  // Bytes that the store's link transfers before a new import, this host's own
  // imports included. Waiting exports don't count: imports overtake them.
  std::uint64_t queuedBytes_ = 0;
};

// A host's estimate of the transfers queued on a store's link.
struct LinkQueue
{
  // Bytes queued according to the store's last report.
  std::uint64_t reportedBytes_ = 0;
  // Time at which the imports that the host ordered since that report would end
  // if the link carried nothing else.
  absl::Time ownImportsEndAt_ = absl::InfinitePast();
};

// Records a store's report. The report includes all earlier imports of this
// host, which therefore no longer count separately.
void
RecordLinkReport(LinkQueue& aQueue, std::uint64_t aBytes);

// Records an import that the host orders.
void
RecordImport(LinkQueue& aQueue,
             std::uint64_t aBytes,
             double aBytesPerSecond,
             absl::Time aNow);

// Returns the estimated number of queued bytes. The host's own imports drain at
// the link's rate; other traffic is assumed to stay as reported.
std::uint64_t
QueuedBytes(const LinkQueue& aQueue, double aBytesPerSecond, absl::Time aNow);

// Components of the estimated time to first token.
struct Estimate
{
  double oneWaySeconds_ = 0.0;
  double queueSeconds_ = 0.0;
  // Wait for the link and transfer; they overlap with the queue wait.
  double importSeconds_ = 0.0;
  double prefillSeconds_ = 0.0;
  double ttftSeconds_ = 0.0;
};

// An import of the blocks [firstBlock_, firstBlock_ + blocks_) from a store.
struct Import
{
  std::string store_;
  std::uint32_t firstBlock_ = 0;
  std::uint32_t blocks_ = 0;
  std::vector<std::uint64_t> generations_;
  std::uint64_t bytes_ = 0;
};

// The cost of a run on one candidate with the best import for it.
struct CandidateCost
{
  // Index in the list of candidates.
  std::uint32_t candidateIndex_ = 0;
  double cost_ = 0.0;
  Estimate estimate_;
  std::uint64_t computedTokens_ = 0;
  std::uint32_t importBlocks_ = 0;
  // Index in the list of import sources; unset without an import.
  absl::optional<std::uint32_t> sourceIndex_;
};

// The chosen target, with the estimates behind the choice.
struct Decision
{
  std::string target_;
  absl::optional<Import> import_;
  Estimate estimate_;
  std::uint32_t cachedBlocks_ = 0;
  std::uint64_t computedTokens_ = 0;
  bool meetsDeadline_ = true;
  // Costs of all candidates, in their order.
  std::vector<CandidateCost> costs_;
};

// Settings that prevent hosts that decide at the same time from all choosing
// the same target.
struct Tuning
{
  // Seconds of penalty for each position of the host in the list of followers
  // and each second of the report's age. Leads hosts to different idle targets.
  double rankPenalty_ = 0.1;
  // Time constant with which the weight of an ageing report decays in favour of
  // the mean over all candidates: a report of this age has a weight of 1/e.
  absl::Duration reportDecayTime_ = absl::Seconds(5);
};

// Chooses the target and the import of a run. Returns nullopt if there is no
// candidate.
absl::optional<Decision>
ChooseTarget(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aCandidates,
             const std::vector<ImportSource>& aSources,
             const Tuning& aTuning = Tuning());

// Formats a decision as "target=... ttft=..." with the cost of each candidate,
// for logs and for the explanations that operators request.
std::string
Explain(const Decision& aDecision, const std::vector<Candidate>& aCandidates);

// An entry host that can follow targets.
struct Follower
{
  std::string name_;
  std::string dataCentre_;
};

// Minimum number of targets that a host follows on average, if there are so
// many.
inline constexpr std::uint32_t kMinFollowedTargets = 24;
// Minimum number of followers of a target, so that losing some of them is
// harmless.
inline constexpr std::uint32_t kMinFollowers = 3;

// Upper limit of the load requests that a host sends to targets in a second, so
// that its control traffic doesn't grow with the number of targets.
inline constexpr double kMaxLoadRequestsPerSecond = 24.0;
// Part of that limit reserved for holders of a prompt's blocks that the host
// doesn't follow.
inline constexpr std::size_t kHolderLoadRequestsPerSecond = 10;

// Returns how many load requests a host may send in a second to the aFollowed
// targets that it follows. A host that follows all targets reserves nothing for
// other holders.
double
FollowedLoadRequestsPerSecond(std::size_t aFollowed, std::size_t aTargets);

// Returns how many hosts follow each target.
std::size_t
FollowerCount(std::size_t aHosts, std::size_t aTargets);

// Returns the names of the hosts that follow a target in the order of their
// rendezvous hashes, hosts in the target's data centre before all others.
std::vector<std::string>
Followers(absl::string_view aTarget,
          absl::string_view aDataCentre,
          const std::vector<Follower>& aHosts,
          std::size_t aCount);

// Adds aSelf to the hosts if it is missing and the list isn't empty. A host
// that drains is no longer listed but serves for some time, so it has to keep
// following its targets.
std::vector<Follower>
IncludeSelf(std::vector<Follower> aHosts, const Follower& aSelf);

// Returns whether the host is one of the target's followers.
bool
IsFollower(absl::string_view aTarget,
           absl::string_view aDataCentre,
           absl::string_view aHost,
           const std::vector<Follower>& aHosts,
           std::size_t aTargets);

// Largest number of targets that one decision compares.
inline constexpr std::size_t kMaxCandidates = 48;

// A target that holds leading blocks of the prompt.
struct HolderRef
{
  // Index in the caller's snapshot of targets.
  std::uint32_t target_ = 0;
  std::uint32_t leadingBlocks_ = 0;
};

// Returns the indexes of the targets to compare: the holders with most leading
// blocks, then followed targets, without duplicates. If not all followed
// targets fit, the seed determines which ones are left out.
std::vector<std::uint32_t>
Shortlist(const std::vector<std::uint32_t>& aFollowed,
          const std::vector<HolderRef>& aHolders,
          std::uint64_t aSeed,
          std::size_t aLimit = kMaxCandidates);

} // namespace lycheeplank::placement

#endif
