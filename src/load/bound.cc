#include "load/bound.h"

#include <algorithm>
#include <limits>

#include <absl/container/btree_map.h>

namespace lycheeplank::load {

namespace {

constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

// Returns, for each arrival, the index of the next arrival that uses the same
// document, or kNever.
std::vector<std::size_t>
NextUses(const Trace& aTrace)
{
  std::vector<std::size_t> next(aTrace.arrivals_.size(), kNever);
  std::vector<std::size_t> upcoming(aTrace.documents_.size(), kNever);
  for (std::size_t at = aTrace.arrivals_.size(); at > 0; --at) {
    const Arrival& arrival = aTrace.arrivals_[at - 1];
    if (TraitsOf(arrival.task_).service_.empty()) {
      next[at - 1] = upcoming[arrival.document_];
      upcoming[arrival.document_] = at - 1;
    }
  }
  return next;
}

// A cache that evicts the document whose next use is farthest in the future.
struct ClairvoyantCache
{
  std::uint64_t capacity_ = 0;
  std::uint64_t used_ = 0;
  // Block counts of the cached documents, by index of the next use and
  // document.
  absl::btree_map<std::pair<std::size_t, std::uint32_t>, std::uint32_t>
    documents_;
};

// Removes a document whose next use is the current arrival. Returns false if it
// was not cached.
bool
RemoveFromCache(ClairvoyantCache& aCache,
                std::size_t aArrivalIndex,
                std::uint32_t aDocument)
{
  const auto found = aCache.documents_.find({ aArrivalIndex, aDocument });
  if (found == aCache.documents_.end()) {
    return false;
  }
  aCache.used_ -= found->second;
  aCache.documents_.erase(found);
  return true;
}

// Caches a document until its next use and evicts others if the cache is full.
void
AddToCache(ClairvoyantCache& aCache,
           std::size_t aNextUse,
           std::uint32_t aDocument,
           std::uint32_t aBlocks)
{
  if (aNextUse == kNever) {
    return;
  }
  aCache.documents_[{ aNextUse, aDocument }] = aBlocks;
  aCache.used_ += aBlocks;
  while (aCache.used_ > aCache.capacity_) {
    const auto last = std::prev(aCache.documents_.end());
    aCache.used_ -= last->second;
    aCache.documents_.erase(last);
  }
}

// Adds the cost of a document that is not cached: it is imported or computed,
// whichever is faster; a new document can only be computed.
void
ImportOrCompute(BoundStep& aStep,
                std::uint64_t aDocumentTokens,
                const Hardware& aHardware,
                bool aReused)
{
  const std::uint64_t bytes = aDocumentTokens * aHardware.kvBytesPerToken_;
  const absl::Duration import =
    absl::Seconds(static_cast<double>(bytes) / aHardware.linkBytesPerSecond_);
  const absl::Duration compute = absl::Seconds(
    static_cast<double>(aDocumentTokens) / aHardware.prefillTokensPerSecond_);
  if (aReused && import < compute) {
    aStep.origin_ = Origin::Import;
    aStep.firstToken_ += import;
    aStep.linkBytes_ = bytes;
    return;
  }
  aStep.origin_ = aReused ? Origin::Recompute : Origin::New;
  aStep.firstToken_ += compute;
  aStep.recomputedTokens_ = aReused ? aDocumentTokens : 0;
}

BoundStep
ComputeStep(const Trace& aTrace,
            std::size_t aIndex,
            const Hardware& aHardware,
            ClairvoyantCache& aCache)
{
  const Arrival& arrival = aTrace.arrivals_[aIndex];
  const std::uint64_t documentTokens =
    std::uint64_t{ aTrace.documents_[arrival.document_].blocks_ } *
    aHardware.blockTokens_;
  BoundStep step;
  step.at_ = arrival.at_;
  step.task_ = arrival.task_;
  step.promptTokens_ =
    core::CountTokens(PromptOf(aTrace, arrival, aHardware.blockTokens_));
  step.firstToken_ =
    absl::Seconds(static_cast<double>(step.promptTokens_ - documentTokens) /
                  aHardware.prefillTokensPerSecond_);
  if (RemoveFromCache(aCache, aIndex, arrival.document_)) {
    step.origin_ = Origin::Memory;
  } else {
    ImportOrCompute(step,
                    documentTokens,
                    aHardware,
                    arrival.reuseGap_ > absl::ZeroDuration());
  }
  return step;
}

} // namespace

std::vector<BoundStep>
ClairvoyantBound(const Trace& aTrace, const Hardware& aHardware)
{
  const std::vector<std::size_t> nextUses = NextUses(aTrace);
  ClairvoyantCache cache{ aHardware.cacheBlocks_ };
  std::vector<BoundStep> steps;
  for (std::size_t at = 0; at < aTrace.arrivals_.size(); ++at) {
    const Arrival& arrival = aTrace.arrivals_[at];
    if (!TraitsOf(arrival.task_).service_.empty()) {
      continue;
    }
    steps.push_back(ComputeStep(aTrace, at, aHardware, cache));
    AddToCache(cache,
               nextUses[at],
               arrival.document_,
               aTrace.documents_[arrival.document_].blocks_);
  }
  return steps;
}

BoundSummary
SummariseBound(const std::vector<BoundStep>& aSteps, absl::Duration aWarmUp)
{
  BoundSummary summary;
  std::vector<double> milliseconds;
  std::uint64_t recomputed = 0;
  std::uint64_t prompts = 0;
  for (const BoundStep& step : aSteps) {
    if (step.at_ >= aWarmUp) {
      milliseconds.push_back(absl::ToDoubleMilliseconds(step.firstToken_));
    }
    recomputed += step.recomputedTokens_;
    prompts += step.promptTokens_;
    summary.linkBytes_ += step.linkBytes_;
  }
  summary.firstToken_ = Summarise(std::move(milliseconds));
  summary.recomputedShare_ = prompts == 0 ? 0.0
                                          : static_cast<double>(recomputed) /
                                              static_cast<double>(prompts);
  return summary;
}

} // namespace lycheeplank::load
