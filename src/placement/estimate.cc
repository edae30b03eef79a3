#include "placement/estimate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace lycheeplank::placement {

namespace {

constexpr double kTokensPerThousand = 1e3;
constexpr double kBytesPerMegabyte = 1e6;
// Part of the weight of time that counts for work that isn't interactive.
constexpr double kBatchTtftShare = 0.1;
// Factor by which an estimate may be exceeded without missing the deadline.
constexpr double kSafetyFactor = 1.5;
// Seconds by which an import delays later ones, for each second of its transfer
// and each second of wait on the link: a longer wait means that more come.
constexpr double kDelayOfLaterImports = 0.5;
// Part of the blocks pushed out of a cache that would have been used again.
constexpr double kEvictedReuse = 0.1;

// Seconds until the prefill that the report shows has drained.
double
PrefillWait(const Candidate& aCandidate)
{
  const auto& load = aCandidate.load_;
  return static_cast<double>(load.queuedPrefillTokens_) /
         aCandidate.prefillTokensPerSecond_;
}

// Seconds until a slot is free, as of the report.
double
SlotWait(const Candidate& aCandidate)
{
  const std::uint64_t runs = std::uint64_t{ aCandidate.load_.running_ } +
                             aCandidate.load_.waiting_ +
                             aCandidate.unreported_.runs_;
  if (runs < aCandidate.maxRuns_) {
    return 0.0;
  }
  const auto ahead = static_cast<double>(runs - aCandidate.maxRuns_ + 1);
  return ahead * absl::ToDoubleSeconds(aCandidate.meanSlotTime_) /
         aCandidate.maxRuns_;
}

// What imports from one source do to the cost of a run on one candidate.
struct ImportTerms
{
  std::uint32_t source_ = 0;
  std::uint32_t maxBlocks_ = 0;
  double linkWaitSeconds_ = 0.0;
  double secondsPerBlock_ = 0.0;
};

ImportTerms
TermsOf(const PlacementRequest& aRequest,
        const Candidate& aCandidate,
        const std::vector<ImportSource>& aSources,
        std::uint32_t aSourceIndex)
{
  const ImportSource& source = aSources[aSourceIndex];
  const std::uint32_t held = std::min(source.leadingBlocks_, aRequest.blocks_);
  ImportTerms terms{ aSourceIndex };
  if (held <= aCandidate.cachedBlocks_ || source.linkBytesPerSecond_ <= 0.0) {
    return terms;
  }
  const double rate =
    source.onDisk_ && source.diskBytesPerSecond_ > 0.0
      ? std::min(source.linkBytesPerSecond_, source.diskBytesPerSecond_)
      : source.linkBytesPerSecond_;
  const double blockBytes = static_cast<double>(aRequest.blockTokens_) *
                            static_cast<double>(aRequest.kvBytesPerToken_);
  terms.maxBlocks_ = held - aCandidate.cachedBlocks_;
  terms.linkWaitSeconds_ =
    static_cast<double>(source.queuedBytes_) / source.linkBytesPerSecond_;
  terms.secondsPerBlock_ = blockBytes / rate;
  return terms;
}

// Weights of the objective that hold for this question.
config::Objective
WeightsFor(const PlacementRequest& aRequest)
{
  config::Objective weights = aRequest.objective_;
  if (!aRequest.interactive_) {
    weights.ttftWeight_ *= kBatchTtftShare;
  }
  return weights;
}

std::uint64_t
TokensToCompute(const PlacementRequest& aRequest,
                const Candidate& aCandidate,
                std::uint32_t aImportBlocks)
{
  const std::uint64_t presentBlocks =
    std::min(aCandidate.cachedBlocks_, aRequest.blocks_) + aImportBlocks;
  return aRequest.promptTokens_ -
         std::min(aRequest.promptTokens_,
                  presentBlocks * aRequest.blockTokens_);
}

// Estimates the time to first token, where the import runs during the wait.
Estimate
EstimateWith(const Candidate& aCandidate,
             double aQueueSeconds,
             const ImportTerms& aTerms,
             std::uint32_t aBlocks,
             std::uint64_t aTokens)
{
  Estimate estimate;
  estimate.oneWaySeconds_ = absl::ToDoubleSeconds(aCandidate.oneWayDelay_);
  estimate.queueSeconds_ = aQueueSeconds;
  if (aBlocks > 0) {
    estimate.importSeconds_ =
      aTerms.linkWaitSeconds_ + aBlocks * aTerms.secondsPerBlock_;
  }
  estimate.prefillSeconds_ =
    static_cast<double>(aTokens) / aCandidate.prefillTokensPerSecond_;
  estimate.ttftSeconds_ =
    estimate.oneWaySeconds_ +
    std::max(estimate.queueSeconds_, estimate.importSeconds_) +
    estimate.prefillSeconds_;
  return estimate;
}

// Returns the cost with aBlocks imported over the given terms.
CandidateCost
CostWith(const PlacementRequest& aRequest,
         const Candidate& aCandidate,
         double aQueueSeconds,
         const ImportTerms& aTerms,
         std::uint32_t aBlocks)
{
  const auto weights = WeightsFor(aRequest);
  CandidateCost cost;
  cost.computedTokens_ = TokensToCompute(aRequest, aCandidate, aBlocks);
  cost.importBlocks_ = aBlocks;
  if (aBlocks > 0) {
    cost.source_ = aTerms.source_;
  }
  cost.estimate_ = EstimateWith(
    aCandidate, aQueueSeconds, aTerms, aBlocks, cost.computedTokens_);
  const double laterDelay = kDelayOfLaterImports * aTerms.linkWaitSeconds_ *
                            aBlocks * aTerms.secondsPerBlock_;
  const double evictedTokens =
    kEvictedReuse * aCandidate.expectedEvictions_ * aRequest.blockTokens_;
  const double importedBytes =
    static_cast<double>(aRequest.kvBytesPerToken_) *
    (static_cast<double>(aBlocks) * aRequest.blockTokens_);
  cost.cost_ =
    weights.ttftWeight_ * (cost.estimate_.ttftSeconds_ + laterDelay) +
    weights.recomputeWeight_ *
      (static_cast<double>(cost.computedTokens_) + evictedTokens) /
      kTokensPerThousand +
    weights.linkWeight_ * importedBytes / kBytesPerMegabyte;
  return cost;
}

// Returns the number of blocks that can be imported within the queue wait.
std::uint32_t
BlocksWithinWait(const ImportTerms& aTerms, double aQueueSeconds)
{
  const double spare = aQueueSeconds - aTerms.linkWaitSeconds_;
  if (spare <= 0.0 || aTerms.secondsPerBlock_ <= 0.0) {
    return 0;
  }
  const double blocks = std::floor(spare / aTerms.secondsPerBlock_);
  return blocks < aTerms.maxBlocks_ ? static_cast<std::uint32_t>(blocks)
                                    : aTerms.maxBlocks_;
}

// Returns the largest number of blocks with which the deadline is safe, where
// an import is slower than computing the same blocks.
std::uint32_t
BlocksWithinDeadline(const PlacementRequest& aRequest,
                     const Candidate& aCandidate,
                     const ImportTerms& aTerms)
{
  const auto without = CostWith(aRequest, aCandidate, 0.0, aTerms, 0);
  const double slack =
    absl::ToDoubleSeconds(aRequest.remaining_) / kSafetyFactor -
    aTerms.linkWaitSeconds_ - without.estimate_.ttftSeconds_;
  const double slower =
    aTerms.secondsPerBlock_ - static_cast<double>(aRequest.blockTokens_) /
                                aCandidate.prefillTokensPerSecond_;
  if (slack <= 0.0) {
    return 0;
  }
  const double blocks = slower > 0.0 ? std::floor(slack / slower) : HUGE_VAL;
  return blocks < aTerms.maxBlocks_ ? static_cast<std::uint32_t>(blocks)
                                    : aTerms.maxBlocks_;
}

// The cost is linear in the number of blocks on either side of the count that
// the queue wait hides, so that one of these counts is the best; the last one
// matters if the others miss the deadline.
std::array<std::uint32_t, 4>
CountsToTry(const PlacementRequest& aRequest,
            const Candidate& aCandidate,
            const ImportTerms& aTerms,
            double aQueueSeconds)
{
  const std::uint32_t all = aTerms.maxBlocks_;
  if (aRequest.policy_ == config::Policy::AlwaysImport) {
    return { all, all, all, all };
  }
  const std::uint32_t hidden = BlocksWithinWait(aTerms, aQueueSeconds);
  return { hidden,
           std::min(hidden + 1, all),
           all,
           BlocksWithinDeadline(aRequest, aCandidate, aTerms) };
}

// Whether one cost is better than another; the deadline goes first.
bool
IsCheaper(const PlacementRequest& aRequest,
          const CandidateCost& aLeft,
          const CandidateCost& aRight)
{
  return std::pair(LatenessOf(aRequest, aLeft), aLeft.cost_) <
         std::pair(LatenessOf(aRequest, aRight), aRight.cost_);
}

} // namespace

QueueWait
EstimateWait(const Candidate& aCandidate, const Tuning& aTuning)
{
  const auto& own = aCandidate.unreported_;
  QueueWait wait;
  const double ownSeconds = static_cast<double>(own.prefillTokens_) /
                            aCandidate.prefillTokensPerSecond_;
  if (aCandidate.load_.age_ == absl::InfiniteDuration()) {
    const double drained = absl::ToDoubleSeconds(own.meanAge_);
    wait.ownSeconds_ = std::max(0.0, ownSeconds - drained);
    return wait;
  }
  const double age = absl::ToDoubleSeconds(aCandidate.load_.age_);
  const double reported = PrefillWait(aCandidate);
  const double slot = std::max(0.0, SlotWait(aCandidate) - age);
  wait.reportedSeconds_ = std::max(slot, reported - age);
  const double ownDrain =
    std::max(0.0, absl::ToDoubleSeconds(own.meanAge_) - reported);
  wait.ownSeconds_ = std::max(0.0, ownSeconds - ownDrain);
  wait.trust_ =
    std::exp(-age / absl::ToDoubleSeconds(aTuning.reportDecayTime_));
  return wait;
}

double
MeanWait(const std::vector<QueueWait>& aWaits)
{
  double sum = 0.0;
  double trust = 0.0;
  for (const auto& wait : aWaits) {
    sum += wait.trust_ * wait.reportedSeconds_;
    trust += wait.trust_;
  }
  return trust > 0.0 ? sum / trust : 0.0;
}

double
BlendedWait(const QueueWait& aWait, double aMeanSeconds)
{
  return aWait.trust_ * aWait.reportedSeconds_ +
         (1.0 - aWait.trust_) * aMeanSeconds + aWait.ownSeconds_;
}

Lateness
LatenessOf(const PlacementRequest& aRequest, const CandidateCost& aCost)
{
  const double remaining = absl::ToDoubleSeconds(aRequest.remaining_);
  const double ttft = aCost.estimate_.ttftSeconds_;
  if (ttft * kSafetyFactor <= remaining) {
    return Lateness::Safe;
  }
  return ttft <= remaining ? Lateness::InTime : Lateness::Late;
}

CandidateCost
CostOf(const PlacementRequest& aRequest,
       const Candidate& aCandidate,
       double aQueueSeconds,
       const std::vector<ImportSource>& aSources)
{
  CandidateCost best =
    CostWith(aRequest, aCandidate, aQueueSeconds, ImportTerms(), 0);
  const bool always = aRequest.policy_ == config::Policy::AlwaysImport;
  for (std::uint32_t i = 0; i < aSources.size(); ++i) {
    const auto terms = TermsOf(aRequest, aCandidate, aSources, i);
    if (terms.maxBlocks_ == 0) {
      continue;
    }
    for (const auto blocks :
         CountsToTry(aRequest, aCandidate, terms, aQueueSeconds)) {
      if (blocks == 0) {
        continue;
      }
      const auto cost =
        CostWith(aRequest, aCandidate, aQueueSeconds, terms, blocks);
      if (IsCheaper(aRequest, cost, best) || (always && !best.source_)) {
        best = cost;
      }
    }
  }
  return best;
}

} // namespace lycheeplank::placement
