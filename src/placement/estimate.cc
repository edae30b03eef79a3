#include "placement/estimate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace lycheeplank::placement {

namespace {

constexpr double kTokensPerThousand = 1e3;
constexpr double kBytesPerMegabyte = 1e6;
// Part of the objective's weight of time that applies to batch work.
constexpr double kBatchTtftShare = 0.1;
// An estimate is safe if the deadline is met even when the actual time exceeds
// the estimate by this factor.
constexpr double kDeadlineSafetyFactor = 1.5;
// Seconds by which an import delays later imports, for each second of its own
// transfer and each second of wait on the link. A long wait indicates that many
// more imports will follow.
constexpr double kLaterImportDelayFactor = 0.5;
// Part of the evicted blocks that would have been reused.
constexpr double kEvictedReuseShare = 0.1;

// Returns the seconds, counted from the report, until the reported prefill has
// drained.
double
PrefillWait(const Candidate& aCandidate)
{
  const auto& load = aCandidate.load_;
  return static_cast<double>(load.queuedPrefillTokens_) /
         aCandidate.prefillTokensPerSecond_;
}

// Returns the seconds, counted from the report, until a slot is free.
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

// What the cost of an import from one source to one candidate depends on.
struct ImportTerms
{
  std::uint32_t sourceIndex_ = 0;
  std::uint32_t maxBlocks_ = 0;
  double linkWaitSeconds_ = 0.0;
  double secondsPerBlock_ = 0.0;
};

ImportTerms
ImportTermsOf(const PlacementRequest& aRequest,
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

// Returns the objective's weights for this request.
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

// Estimates the time to first token. The import overlaps with the queue wait.
Estimate
EstimateTtft(const Candidate& aCandidate,
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

// Returns the cost of a run that imports aBlocks blocks on the given terms.
CandidateCost
CostWithImport(const PlacementRequest& aRequest,
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
    cost.sourceIndex_ = aTerms.sourceIndex_;
  }
  cost.estimate_ = EstimateTtft(
    aCandidate, aQueueSeconds, aTerms, aBlocks, cost.computedTokens_);
  const double laterDelay = kLaterImportDelayFactor * aTerms.linkWaitSeconds_ *
                            aBlocks * aTerms.secondsPerBlock_;
  const double evictedTokens =
    kEvictedReuseShare * aCandidate.expectedEvictions_ * aRequest.blockTokens_;
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

// Returns the largest number of blocks to import with which the deadline is
// still met safely. It is below the maximum only where importing a block takes
// longer than computing it.
std::uint32_t
BlocksWithinDeadline(const PlacementRequest& aRequest,
                     const Candidate& aCandidate,
                     const ImportTerms& aTerms)
{
  const auto withoutImport =
    CostWithImport(aRequest, aCandidate, 0.0, aTerms, 0);
  const double slack =
    absl::ToDoubleSeconds(aRequest.remaining_) / kDeadlineSafetyFactor -
    aTerms.linkWaitSeconds_ - withoutImport.estimate_.ttftSeconds_;
  const double extraSecondsPerBlock =
    aTerms.secondsPerBlock_ - static_cast<double>(aRequest.blockTokens_) /
                                aCandidate.prefillTokensPerSecond_;
  if (slack <= 0.0) {
    return 0;
  }
  const double blocks = extraSecondsPerBlock > 0.0
                          ? std::floor(slack / extraSecondsPerBlock)
                          : HUGE_VAL;
  return blocks < aTerms.maxBlocks_ ? static_cast<std::uint32_t>(blocks)
                                    : aTerms.maxBlocks_;
}

// Returns the numbers of imported blocks to compare. The cost is linear in this
// number both below and above the number whose import fits into the queue wait,
// so the optimum is at one of these ends. The last number matters if the others
// miss the deadline.
std::array<std::uint32_t, 4>
ImportSizesToTry(const PlacementRequest& aRequest,
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

// Returns whether aLeft is preferred: first by deadline, then by cost.
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
EstimateQueueWait(const Candidate& aCandidate, const Tuning& aTuning)
{
  const auto& unreported = aCandidate.unreported_;
  QueueWait wait;
  const double unreportedSeconds =
    static_cast<double>(unreported.prefillTokens_) /
    aCandidate.prefillTokensPerSecond_;
  if (aCandidate.load_.age_ == absl::InfiniteDuration()) {
    const double drained = absl::ToDoubleSeconds(unreported.meanAge_);
    wait.unreportedSeconds_ = std::max(0.0, unreportedSeconds - drained);
    return wait;
  }
  const double age = absl::ToDoubleSeconds(aCandidate.load_.age_);
  const double reportedPrefill = PrefillWait(aCandidate);
  const double slot = std::max(0.0, SlotWait(aCandidate) - age);
  wait.reportedSeconds_ = std::max(slot, reportedPrefill - age);
  const double unreportedDrained =
    std::max(0.0, absl::ToDoubleSeconds(unreported.meanAge_) - reportedPrefill);
  wait.unreportedSeconds_ =
    std::max(0.0, unreportedSeconds - unreportedDrained);
  wait.confidence_ =
    std::exp(-age / absl::ToDoubleSeconds(aTuning.reportDecayTime_));
  return wait;
}

double
MeanReportedWait(const std::vector<QueueWait>& aWaits)
{
  double sum = 0.0;
  double confidence = 0.0;
  for (const auto& wait : aWaits) {
    sum += wait.confidence_ * wait.reportedSeconds_;
    confidence += wait.confidence_;
  }
  return confidence > 0.0 ? sum / confidence : 0.0;
}

double
BlendWithMean(const QueueWait& aWait, double aMeanSeconds)
{
  return aWait.confidence_ * aWait.reportedSeconds_ +
         (1.0 - aWait.confidence_) * aMeanSeconds + aWait.unreportedSeconds_;
}

Lateness
LatenessOf(const PlacementRequest& aRequest, const CandidateCost& aCost)
{
  const double remaining = absl::ToDoubleSeconds(aRequest.remaining_);
  const double ttft = aCost.estimate_.ttftSeconds_;
  if (ttft * kDeadlineSafetyFactor <= remaining) {
    return Lateness::Safe;
  }
  return ttft <= remaining ? Lateness::InTime : Lateness::Late;
}

CandidateCost
CheapestCost(const PlacementRequest& aRequest,
             const Candidate& aCandidate,
             double aQueueSeconds,
             const std::vector<ImportSource>& aSources)
{
  CandidateCost best =
    CostWithImport(aRequest, aCandidate, aQueueSeconds, ImportTerms(), 0);
  const bool always = aRequest.policy_ == config::Policy::AlwaysImport;
  for (std::uint32_t i = 0; i < aSources.size(); ++i) {
    const auto terms = ImportTermsOf(aRequest, aCandidate, aSources, i);
    if (terms.maxBlocks_ == 0) {
      continue;
    }
    for (const auto blocks :
         ImportSizesToTry(aRequest, aCandidate, terms, aQueueSeconds)) {
      if (blocks == 0) {
        continue;
      }
      const auto cost =
        CostWithImport(aRequest, aCandidate, aQueueSeconds, terms, blocks);
      if (IsCheaper(aRequest, cost, best) || (always && !best.sourceIndex_)) {
        best = cost;
      }
    }
  }
  return best;
}

} // namespace lycheeplank::placement
