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

// Choosing the target of one run, and which hosts follow which targets.
// All functions are pure; names are views into the caller's snapshot.
namespace lycheeplank::placement {

// What has to be placed.
struct PlacementRequest
{
  std::uint64_t promptTokens_ = 0;
  // Full blocks of the prompt; only these can be cached or imported.
  std::uint32_t blocks_ = 0;
  std::uint32_t blockTokens_ = 1;
  std::uint64_t kvBytesPerToken_ = 0;
  config::Objective objective_;
  config::Policy policy_ = config::Policy::Estimate;
  // Time left until the caller's deadline.
  absl::Duration remaining_ = absl::InfiniteDuration();
  // Digests and other batch work are not interactive.
  bool interactive_ = true;
  // Breaks ties; for round robin the host's running number.
  std::uint64_t seed_ = 0;
  // Stable hash of the prompt's first block, for sticky placement.
  std::uint64_t promptHash_ = 0;
};

// A target's last load report.
struct LoadReport
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t queuedPrefillTokens_ = 0;
  // Time since the target took these values; infinite if there is no report.
  absl::Duration age_ = absl::InfiniteDuration();
};

// Work that this host sent to a target and that its report can't show yet.
struct UnreportedWork
{
  std::uint64_t prefillTokens_ = 0;
  std::uint32_t runs_ = 0;
  // Mean time since the work was sent.
  absl::Duration meanAge_ = absl::ZeroDuration();
};

// One run sent to a target.
struct SentRun
{
  absl::Time sentAt_;
  std::uint64_t prefillTokens_ = 0;
};

// Returns the part of the runs that a report taken at aReportedAt can't show.
UnreportedWork
UnreportedWorkSince(const std::vector<SentRun>& aSent,
                    absl::Time aReportedAt,
                    absl::Time aNow);

// A target that could take the run.
struct Candidate
{
  absl::string_view name_;
  absl::string_view dataCentre_;
  // One-way time from this host to the target.
  absl::Duration oneWayDelay_ = absl::ZeroDuration();
  LoadReport load_;
  UnreportedWork unreported_;
  std::uint32_t maxRuns_ = 1;
  double prefillTokensPerSecond_ = 1.0;
  // Mean time for which a run holds one of the target's slots.
  absl::Duration meanSlotTime_ = absl::ZeroDuration();
  // Position of this host among the target's followers, from 0 on.
  std::uint32_t followerRank_ = 0;
  // Leading blocks of the prompt in the target's cache, by the directory.
  std::uint32_t cachedBlocks_ = 0;
  // Cached blocks of other prompts that the run is expected to push out.
  std::uint32_t expectedEvictions_ = 0;
};

// A store that holds leading blocks of the prompt.
struct ImportSource
{
  absl::string_view store_;
  std::uint32_t leadingBlocks_ = 0;
  // One for each leading block.
  std::vector<std::uint64_t> generations_;
  bool onDisk_ = false;
  double linkBytesPerSecond_ = 0.0;
  double diskBytesPerSecond_ = 0.0;
  // Bytes that go before a new import on the store's link, own requests
  // included; exports that wait don't.
  std::uint64_t queuedBytes_ = 0;
};

// What goes before a new import on a store's link, as far as a host knows.
struct LinkQueue
{
  // As of the store's report.
  std::uint64_t reportedBytes_ = 0;
  // When the imports that the host ordered since then would end if the link
  // carried nothing else.
  absl::Time ownImportsEndAt_ = absl::InfinitePast();
};

// Takes in a store's report, which shows all earlier imports.
void
RecordLinkReport(LinkQueue& aQueue, std::uint64_t aBytes);

// Takes in an import that the host orders.
void
RecordImport(LinkQueue& aQueue,
             std::uint64_t aBytes,
             double aBytesPerSecond,
             absl::Time aNow);

// Returns the bytes that wait. The host's own imports drain; other traffic is
// taken to go on as it was reported.
std::uint64_t
QueuedBytes(const LinkQueue& aQueue, double aBytesPerSecond, absl::Time aNow);

// Estimated parts of the time to first token.
struct Estimate
{
  double oneWaySeconds_ = 0.0;
  double queueSeconds_ = 0.0;
  // Link wait and transfer; overlaps with the queue.
  double importSeconds_ = 0.0;
  double prefillSeconds_ = 0.0;
  double ttftSeconds_ = 0.0;
};

// Blocks to import from a store: [firstBlock_, firstBlock_ + blocks_).
struct Import
{
  std::string store_;
  std::uint32_t firstBlock_ = 0;
  std::uint32_t blocks_ = 0;
  std::vector<std::uint64_t> generations_;
  std::uint64_t bytes_ = 0;
};

// What one candidate would cost, with its best import.
struct CandidateCost
{
  // Position in the list of candidates.
  std::uint32_t candidateIndex_ = 0;
  double cost_ = 0.0;
  Estimate estimate_;
  std::uint64_t computedTokens_ = 0;
  std::uint32_t importBlocks_ = 0;
  // Position in the list of offers, if there is an import.
  absl::optional<std::uint32_t> source_;
};

struct Decision
{
  std::string target_;
  absl::optional<Import> import_;
  Estimate estimate_;
  std::uint32_t cachedBlocks_ = 0;
  std::uint64_t computedTokens_ = 0;
  bool meetsDeadline_ = true;
  // One for each candidate, in their order.
  std::vector<CandidateCost> costs_;
};

// How concurrent deciders are kept from all choosing the same target.
struct Tuning
{
  // Seconds of preference for the first follower over the next one, for each
  // second of the report's age; keeps hosts to different idle targets.
  double rankPenalty_ = 0.1;
  // Time in which a report loses about two thirds of its value against the
  // mean over all candidates.
  absl::Duration reportDecayTime_ = absl::Seconds(5);
};

// Chooses the target and the import of a run; nothing without a candidate.
absl::optional<Decision>
ChooseTarget(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aCandidates,
             const std::vector<ImportSource>& aSources,
             const Tuning& aTuning = Tuning());

// Returns "target=... ttft=..." with the cost of each candidate, for logs and
// for the operators' explanations.
std::string
Explain(const Decision& aDecision, const std::vector<Candidate>& aCandidates);

// An entry host as far as following targets is concerned.
struct Follower
{
  std::string name_;
  std::string dataCentre_;
};

// Targets that a host follows at least, as long as there are as many.
inline constexpr std::uint32_t kMinFollowedTargets = 24;
// Hosts that follow a target at least, so that the loss of some is harmless.
inline constexpr std::uint32_t kMinFollowers = 3;

// Questions for load that a host asks in a second at most, so that its control
// traffic doesn't grow with the targets.
inline constexpr double kMaxLoadRequestsPerSecond = 24.0;
// Those of them that are kept for holders that the host doesn't follow.
inline constexpr std::size_t kHolderLoadRequestsPerSecond = 10;

// Returns how many questions in a second a host may ask the targets that it
// follows, out of all targets.
double
FollowedLoadRequestsPerSecond(std::size_t aFollowed, std::size_t aTargets);

// Returns how many hosts follow each target.
std::size_t
FollowerCount(std::size_t aHosts, std::size_t aTargets);

// Returns the names of the hosts that follow a target, best first: by
// rendezvous hash, those in its own data centre before the others.
std::vector<std::string>
Followers(absl::string_view aTarget,
          absl::string_view aDataCentre,
          const std::vector<Follower>& aHosts,
          std::size_t aCount);

// Returns the hosts with the given one among them, unless there are none. A
// host that has left the lists serves for some time yet, so it goes on
// following.
std::vector<Follower>
IncludeSelf(std::vector<Follower> aHosts, const Follower& aSelf);

// Whether the host is one of the target's followers.
bool
IsFollower(absl::string_view aTarget,
           absl::string_view aDataCentre,
           absl::string_view aHost,
           const std::vector<Follower>& aHosts,
           std::size_t aTargets);

// Largest number of targets that one decision compares.
inline constexpr std::size_t kMaxCandidates = 48;

// A target that holds leading blocks of the prompt, as a position in the
// caller's snapshot of targets.
struct HolderRef
{
  std::uint32_t target_ = 0;
  std::uint32_t leadingBlocks_ = 0;
};

// Returns positions of the targets to compare: the best holders, then followed
// targets, without duplicates. IsFollower targets that don't fit are left out
// in turn, starting at a place that the seed gives.
std::vector<std::uint32_t>
Shortlist(const std::vector<std::uint32_t>& aFollowed,
          const std::vector<HolderRef>& aHolders,
          std::uint64_t aSeed,
          std::size_t aLimit = kMaxCandidates);

} // namespace lycheeplank::placement

#endif
