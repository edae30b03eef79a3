#include "load/bound.h"

#include <algorithm>
#include <limits>

#include <absl/container/btree_map.h>

namespace lycheeplank::load {

namespace {

constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

// Returns for each arrival the position of the next one with the same
// document.
std::vector<std::size_t>
NextUses(const Trace& aTrace)
{
  std::vector<std::size_t> next(aTrace.arrivals_.size(), kNever);
  std::vector<std::size_t> later(aTrace.documents_.size(), kNever);
  for (std::size_t at = aTrace.arrivals_.size(); at > 0; --at) {
    const Arrival& arrival = aTrace.arrivals_[at - 1];
    if (TraitsOf(arrival.task_).service_.empty()) {
      next[at - 1] = later[arrival.document_];
      later[arrival.document_] = at - 1;
    }
  }
  return next;
}

// A cache that evicts the document that returns last.
struct ClairvoyantCache
{
  std::uint64_t capacity_ = 0;
  std::uint64_t used_ = 0;
  // Blocks of the cached documents by next use and document.
  absl::btree_map<std::pair<std::size_t, std::uint32_t>, std::uint32_t>
    documents_;
};

// Takes a document out; false if it was not cached.
bool
Take(ClairvoyantCache& aCache, std::size_t aNow, std::uint32_t aDocument)
{
  const auto found = aCache.documents_.find({ aNow, aDocument });
  if (found == aCache.documents_.end()) {
    return false;
  }
  aCache.used_ -= found->second;
  aCache.documents_.erase(found);
  return true;
}

void
Keep(ClairvoyantCache& aCache,
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

// Chooses the way of a document that is not in memory.
void
FetchOrCompute(BoundStep& aStep,
               std::uint64_t aDocumentTokens,
               const Hardware& aHardware,
               bool aReturns)
{
  const std::uint64_t bytes = aDocumentTokens * aHardware.kvBytesPerToken_;
  const absl::Duration import =
    absl::Seconds(static_cast<double>(bytes) / aHardware.linkBytesPerSecond_);
  const absl::Duration compute = absl::Seconds(
    static_cast<double>(aDocumentTokens) / aHardware.prefillTokensPerSecond_);
  if (aReturns && import < compute) {
    aStep.origin_ = Origin::Import;
    aStep.firstToken_ += import;
    aStep.linkBytes_ = bytes;
    return;
  }
  aStep.origin_ = aReturns ? Origin::Recompute : Origin::New;
  aStep.firstToken_ += compute;
  aStep.recomputedTokens_ = aReturns ? aDocumentTokens : 0;
}

BoundStep
StepOf(const Trace& aTrace,
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
  if (Take(aCache, aIndex, arrival.document_)) {
    step.origin_ = Origin::Memory;
  } else {
    FetchOrCompute(
      step, documentTokens, aHardware, arrival.gap_ > absl::ZeroDuration());
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
    steps.push_back(StepOf(aTrace, at, aHardware, cache));
    Keep(cache,
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
