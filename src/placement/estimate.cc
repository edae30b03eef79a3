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
                             aCandidate.load_.waiting_ + aCandidate.own_.runs_;
  if (runs < aCandidate.maxRuns_) {
    return 0.0;
  }
  const auto ahead = static_cast<double>(runs - aCandidate.maxRuns_ + 1);
  return ahead * absl::ToDoubleSeconds(aCandidate.meanDecode_) /
         aCandidate.maxRuns_;
}

// What imports from one offer do to the cost of a run on one candidate.
struct ImportTerms
{
  std::uint32_t offer_ = 0;
  std::uint32_t maxBlocks_ = 0;
  double linkWaitSeconds_ = 0.0;
  double secondsPerBlock_ = 0.0;
};

ImportTerms
TermsOf(const Question& aQuestion,
        const Candidate& aCandidate,
        const std::vector<Offer>& aOffers,
        std::uint32_t aOffer)
{
  const Offer& offer = aOffers[aOffer];
  const std::uint32_t held = std::min(offer.leadingBlocks_, aQuestion.blocks_);
  ImportTerms terms{ aOffer };
  if (held <= aCandidate.cachedBlocks_ || offer.linkBytesPerSecond_ <= 0.0) {
    return terms;
  }
  const double rate =
    offer.onDisk_ && offer.diskBytesPerSecond_ > 0.0
      ? std::min(offer.linkBytesPerSecond_, offer.diskBytesPerSecond_)
      : offer.linkBytesPerSecond_;
  const double blockBytes = static_cast<double>(aQuestion.blockTokens_) *
                            static_cast<double>(aQuestion.kvBytesPerToken_);
  terms.maxBlocks_ = held - aCandidate.cachedBlocks_;
  terms.linkWaitSeconds_ =
    static_cast<double>(offer.queuedBytes_) / offer.linkBytesPerSecond_;
  terms.secondsPerBlock_ = blockBytes / rate;
  return terms;
}

// Weights of the objective that hold for this question.
config::Objective
WeightsFor(const Question& aQuestion)
{
  config::Objective weights = aQuestion.objective_;
  if (!aQuestion.interactive_) {
    weights.ttftWeight_ *= kBatchTtftShare;
  }
  return weights;
}

std::uint64_t
TokensToCompute(const Question& aQuestion,
                const Candidate& aCandidate,
                std::uint32_t aImportBlocks)
{
  const std::uint64_t presentBlocks =
    std::min(aCandidate.cachedBlocks_, aQuestion.blocks_) + aImportBlocks;
  return aQuestion.promptTokens_ -
         std::min(aQuestion.promptTokens_,
                  presentBlocks * aQuestion.blockTokens_);
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
  estimate.distanceSeconds_ = absl::ToDoubleSeconds(aCandidate.distance_);
  estimate.queueSeconds_ = aQueueSeconds;
  if (aBlocks > 0) {
    estimate.importSeconds_ =
      aTerms.linkWaitSeconds_ + aBlocks * aTerms.secondsPerBlock_;
  }
  estimate.prefillSeconds_ =
    static_cast<double>(aTokens) / aCandidate.prefillTokensPerSecond_;
  estimate.ttftSeconds_ =
    estimate.distanceSeconds_ +
    std::max(estimate.queueSeconds_, estimate.importSeconds_) +
    estimate.prefillSeconds_;
  return estimate;
}

// Returns the cost with aBlocks imported over the given terms.
CandidateCost
CostWith(const Question& aQuestion,
         const Candidate& aCandidate,
         double aQueueSeconds,
         const ImportTerms& aTerms,
         std::uint32_t aBlocks)
{
  const auto weights = WeightsFor(aQuestion);
  CandidateCost cost;
  cost.computedTokens_ = TokensToCompute(aQuestion, aCandidate, aBlocks);
  cost.importBlocks_ = aBlocks;
  if (aBlocks > 0) {
    cost.offer_ = aTerms.offer_;
  }
  cost.estimate_ = EstimateWith(
    aCandidate, aQueueSeconds, aTerms, aBlocks, cost.computedTokens_);
  const double laterDelay = kDelayOfLaterImports * aTerms.linkWaitSeconds_ *
                            aBlocks * aTerms.secondsPerBlock_;
  const double evictedTokens =
    kEvictedReuse * aCandidate.expectedEvictions_ * aQuestion.blockTokens_;
  const double importedBytes =
    static_cast<double>(aQuestion.kvBytesPerToken_) *
    (static_cast<double>(aBlocks) * aQuestion.blockTokens_);
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
BlocksWithinDeadline(const Question& aQuestion,
                     const Candidate& aCandidate,
                     const ImportTerms& aTerms)
{
  const auto without = CostWith(aQuestion, aCandidate, 0.0, aTerms, 0);
  const double slack =
    absl::ToDoubleSeconds(aQuestion.remaining_) / kSafetyFactor -
    aTerms.linkWaitSeconds_ - without.estimate_.ttftSeconds_;
  const double slower =
    aTerms.secondsPerBlock_ - static_cast<double>(aQuestion.blockTokens_) /
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
CountsToTry(const Question& aQuestion,
            const Candidate& aCandidate,
            const ImportTerms& aTerms,
            double aQueueSeconds)
{
  const std::uint32_t all = aTerms.maxBlocks_;
  if (aQuestion.policy_ == config::Policy::AlwaysImport) {
    return { all, all, all, all };
  }
  const std::uint32_t hidden = BlocksWithinWait(aTerms, aQueueSeconds);
  return { hidden,
           std::min(hidden + 1, all),
           all,
           BlocksWithinDeadline(aQuestion, aCandidate, aTerms) };
}

// Whether one cost is better than another; the deadline goes first.
bool
IsCheaper(const Question& aQuestion,
          const CandidateCost& aLeft,
          const CandidateCost& aRight)
{
  return std::pair(LatenessOf(aQuestion, aLeft), aLeft.cost_) <
         std::pair(LatenessOf(aQuestion, aRight), aRight.cost_);
}

} // namespace

QueueWait
EstimateWait(const Candidate& aCandidate, const Tuning& aTuning)
{
  const auto& own = aCandidate.own_;
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
  wait.trust_ = std::exp(-age / absl::ToDoubleSeconds(aTuning.reportMemory_));
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
LatenessOf(const Question& aQuestion, const CandidateCost& aCost)
{
  const double remaining = absl::ToDoubleSeconds(aQuestion.remaining_);
  const double ttft = aCost.estimate_.ttftSeconds_;
  if (ttft * kSafetyFactor <= remaining) {
    return Lateness::Safe;
  }
  return ttft <= remaining ? Lateness::InTime : Lateness::Late;
}

CandidateCost
CostOf(const Question& aQuestion,
       const Candidate& aCandidate,
       double aQueueSeconds,
       const std::vector<Offer>& aOffers)
{
  CandidateCost best =
    CostWith(aQuestion, aCandidate, aQueueSeconds, ImportTerms(), 0);
  const bool always = aQuestion.policy_ == config::Policy::AlwaysImport;
  for (std::uint32_t i = 0; i < aOffers.size(); ++i) {
    const auto terms = TermsOf(aQuestion, aCandidate, aOffers, i);
    if (terms.maxBlocks_ == 0) {
      continue;
    }
    for (const auto blocks :
         CountsToTry(aQuestion, aCandidate, terms, aQueueSeconds)) {
      if (blocks == 0) {
        continue;
      }
      const auto cost =
        CostWith(aQuestion, aCandidate, aQueueSeconds, terms, blocks);
      if (IsCheaper(aQuestion, cost, best) || (always && !best.offer_)) {
        best = cost;
      }
    }
  }
  return best;
}

} // namespace lycheeplank::placement
