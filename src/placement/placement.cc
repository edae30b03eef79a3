#include "lycheeplank/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "placement/estimate.h"

namespace lycheeplank::placement {

namespace {

using config::Policy;

// Hashes a seed and a number to a uniform number with the splitmix64 finaliser.
std::uint64_t
MixBits(std::uint64_t aSeed, std::uint64_t aNumber)
{
  std::uint64_t mixed = aSeed + (aNumber + 1) * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

// Returns the seconds added to a candidate's cost, so that hosts whose reports
// are equally old choose different targets.
double
RankPenaltySeconds(const Candidate& aCandidate, const Tuning& aTuning)
{
  if (aCandidate.load_.age_ == absl::InfiniteDuration()) {
    return 0.0;
  }
  return aTuning.rankPenalty_ * aCandidate.followerRank_ *
         absl::ToDoubleSeconds(aCandidate.load_.age_);
}

std::vector<CandidateCost>
CostAll(const PlacementRequest& aRequest,
        const std::vector<Candidate>& aCandidates,
        const std::vector<ImportSource>& aSources,
        const Tuning& aTuning)
{
  std::vector<QueueWait> waits;
  waits.reserve(aCandidates.size());
  for (const auto& candidate : aCandidates) {
    waits.push_back(EstimateQueueWait(candidate, aTuning));
  }
  const double mean = MeanReportedWait(waits);
  std::vector<CandidateCost> costs;
  costs.reserve(aCandidates.size());
  for (std::uint32_t i = 0; i < aCandidates.size(); ++i) {
    const double wait = BlendWithMean(waits[i], mean);
    costs.push_back(CheapestCost(aRequest, aCandidates[i], wait, aSources));
    costs.back().candidateIndex_ = i;
  }
  return costs;
}

// Returns the index of the preferred candidate: first by how safely it meets
// the deadline, then by cost.
std::uint32_t
PickCheapest(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aCandidates,
             const std::vector<CandidateCost>& aCosts,
             const Tuning& aTuning)
{
  struct Rank
  {
    Lateness lateness_ = Lateness::Late;
    double cost_ = std::numeric_limits<double>::infinity();
    std::uint64_t tie_ = 0;
    std::uint32_t index_ = 0;
  };
  Rank best;
  for (std::uint32_t i = 0; i < aCosts.size(); ++i) {
    const Rank rank{ LatenessOf(aRequest, aCosts[i]),
                     aCosts[i].cost_ +
                       aRequest.objective_.ttftWeight_ *
                         RankPenaltySeconds(aCandidates[i], aTuning),
                     MixBits(aRequest.seed_, i),
                     i };
    if (std::tie(rank.lateness_, rank.cost_, rank.tie_) <
        std::tie(best.lateness_, best.cost_, best.tie_)) {
      best = rank;
    }
  }
  return best.index_;
}

std::uint32_t
PickLeastLoaded(const PlacementRequest& aRequest,
                const std::vector<Candidate>& aCandidates)
{
  const auto loadOf = [&](std::uint32_t aIndex) {
    const auto& candidate = aCandidates[aIndex];
    const auto runs = candidate.load_.running_ + candidate.load_.waiting_ +
                      candidate.unreported_.runs_;
    return std::pair(static_cast<double>(runs) / candidate.maxRuns_,
                     MixBits(aRequest.seed_, aIndex));
  };
  std::uint32_t best = 0;
  for (std::uint32_t i = 1; i < aCandidates.size(); ++i) {
    if (loadOf(i) < loadOf(best)) {
      best = i;
    }
  }
  return best;
}

std::uint32_t
PickSticky(const PlacementRequest& aRequest,
           const std::vector<Candidate>& aCandidates)
{
  const auto scoreOf = [&](std::uint32_t aIndex) {
    return core::StableHash(aCandidates[aIndex].name_, aRequest.promptHash_);
  };
  std::uint32_t best = 0;
  for (std::uint32_t i = 1; i < aCandidates.size(); ++i) {
    if (scoreOf(i) > scoreOf(best)) {
      best = i;
    }
  }
  return best;
}

std::uint32_t
PickByPolicy(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aCandidates,
             const std::vector<CandidateCost>& aCosts,
             const Tuning& aTuning)
{
  switch (aRequest.policy_) {
    case Policy::RoundRobin:
      return static_cast<std::uint32_t>(aRequest.seed_ % aCandidates.size());
    case Policy::LeastLoaded:
      return PickLeastLoaded(aRequest, aCandidates);
    case Policy::Sticky:
      return PickSticky(aRequest, aCandidates);
    case Policy::Estimate:
    case Policy::AlwaysImport:
    case Policy::NeverImport:
      break;
  }
  return PickCheapest(aRequest, aCandidates, aCosts, aTuning);
}

bool
AllowsImports(Policy aPolicy)
{
  return aPolicy == Policy::Estimate || aPolicy == Policy::AlwaysImport;
}

absl::optional<Import>
MakeImport(const PlacementRequest& aRequest,
           const Candidate& aCandidate,
           const CandidateCost& aCost,
           const std::vector<ImportSource>& aSources)
{
  if (!aCost.sourceIndex_ || aCost.importBlocks_ == 0) {
    return absl::nullopt;
  }
  const ImportSource& source = aSources[*aCost.sourceIndex_];
  Import import;
  import.store_ = std::string(source.store_);
  import.firstBlock_ = aCandidate.cachedBlocks_;
  import.blocks_ = aCost.importBlocks_;
  import.bytes_ = std::uint64_t{ import.blocks_ } * aRequest.blockTokens_ *
                  aRequest.kvBytesPerToken_;
  const std::size_t end = import.firstBlock_ + import.blocks_;
  for (std::size_t i = import.firstBlock_;
       i < std::min(end, source.generations_.size());
       ++i) {
    import.generations_.push_back(source.generations_[i]);
  }
  return import;
}

} // namespace

absl::optional<Decision>
ChooseTarget(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aCandidates,
             const std::vector<ImportSource>& aSources,
             const Tuning& aTuning)
{
  if (aCandidates.empty()) {
    return absl::nullopt;
  }
  static const std::vector<ImportSource> kNoSources;
  Decision decision;
  decision.costs_ =
    CostAll(aRequest,
            aCandidates,
            AllowsImports(aRequest.policy_) ? aSources : kNoSources,
            aTuning);
  const auto picked =
    PickByPolicy(aRequest, aCandidates, decision.costs_, aTuning);
  const CandidateCost& cost = decision.costs_[picked];
  const Candidate& target = aCandidates[picked];
  decision.target_ = std::string(target.name_);
  decision.import_ = MakeImport(aRequest, target, cost, aSources);
  decision.estimate_ = cost.estimate_;
  decision.cachedBlocks_ = std::min(target.cachedBlocks_, aRequest.blocks_);
  decision.computedTokens_ = cost.computedTokens_;
  decision.meetsDeadline_ = LatenessOf(aRequest, cost) != Lateness::Late;
  return decision;
}

std::string
Explain(const Decision& aDecision, const std::vector<Candidate>& aCandidates)
{
  const auto& estimate = aDecision.estimate_;
  std::string text = absl::StrFormat(
    "target=%s ttft=%.3fs queue=%.3fs import=%.3fs prefill=%.3fs cached=%d "
    "computed_tokens=%d",
    aDecision.target_,
    estimate.ttftSeconds_,
    estimate.queueSeconds_,
    estimate.importSeconds_,
    estimate.prefillSeconds_,
    aDecision.cachedBlocks_,
    aDecision.computedTokens_);
  if (const auto& import = aDecision.import_) {
    absl::StrAppend(&text,
                    " import_from=",
                    import->store_,
                    " import_blocks=",
                    import->blocks_,
                    " import_bytes=",
                    import->bytes_);
  }
  for (const auto& cost : aDecision.costs_) {
    absl::StrAppendFormat(&text,
                          " cost.%s=%.3f",
                          aCandidates[cost.candidateIndex_].name_,
                          cost.cost_);
  }
  return text;
}

} // namespace lycheeplank::placement
