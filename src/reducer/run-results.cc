#include "reducer/internal.h"

#include <algorithm>

namespace lycheeplank::reducer::detail {

namespace {

// Weight of the newest value in moving averages.
constexpr double kSmoothing = 0.1;
// One run in this many reports all blocks to the homes of its prompt.
constexpr RequestId kFullReportInterval = 16;

double
UpdateAverage(double aAverage, double aValue)
{
  return aAverage + kSmoothing * (aValue - aAverage);
}

// Reports to the homes which blocks of an import the store failed to deliver,
// and clears the recorded holdings of the request. Blocks that the engine had
// cached in the meantime were not requested from the store, so they are not
// reported.
void
ReportMissedImports(Context& aContext,
                    RequestState& aRequest,
                    const AttemptStarted& aEvent)
{
  const placement::Import& import = *aRequest.import_;
  const std::size_t reused = aEvent.cachedBlocks_ + aEvent.importedBlocks_;
  const std::size_t first = import.firstBlock_;
  const auto gone =
    directory::MissingAfterImport(aRequest.chain_,
                                  first,
                                  import.generations_,
                                  std::max(reused, first) - first);
  if (gone.empty()) {
    return;
  }
  ReportBlocks(
    aContext, { import.store_, directory::HolderKind::Store }, gone, false);
  // Whether the store still holds the later blocks is unknown too.
  aRequest.holdings_.reset();
}

} // namespace

void
RecordCompletion(Context& aContext,
                 RequestState& aRequest,
                 const AttemptEnded& aEvent)
{
  Pool& pool = PoolOf(aContext.state_, aRequest.request_);
  admission::RecordAnswer(pool.health_, aRequest.target_, aContext.now_);
  admission::RecordSuccess(pool.admission_,
                           aRequest.request_.workspace_,
                           aContext.state_.config_->limits_,
                           aContext.now_);
  const double seconds = absl::ToDoubleSeconds(aContext.now_ - aRequest.sent_);
  pool.secondsPerRun_ = UpdateAverage(pool.secondsPerRun_, seconds);
  if (aEvent.tokens_ > 1 && aRequest.started_ < aContext.now_) {
    const double decode =
      absl::ToDoubleSeconds(aContext.now_ - aRequest.started_);
    pool.secondsPerToken_ = UpdateAverage(
      pool.secondsPerToken_, decode / static_cast<double>(aEvent.tokens_));
  }
  if (!aRequest.chain_.empty()) {
    aContext.effects_.emplace_back(ReportRun{ aRequest.request_.workspace_,
                                              aRequest.request_.modelOrService_,
                                              aRequest.weightVersion_,
                                              aRequest.target_,
                                              aRequest.chain_,
                                              aRequest.cachedBlocks_,
                                              aRequest.holdings_,
                                              aContext.now_ - aRequest.sent_ });
  }
}

void
ReportRunBlocks(Context& aContext,
                RequestState& aRequest,
                const AttemptStarted& aEvent)
{
  const auto& chain = aRequest.chain_;
  if (aRequest.import_) {
    ReportMissedImports(aContext, aRequest, aEvent);
  }
  // The engine will hold the whole prompt once it is computed. Blocks that the
  // queried home already lists are reported only by some runs, in case the
  // other home misses them.
  const bool whole = aRequest.request_.id_ % kFullReportInterval == 0;
  const std::size_t first = whole ? 0 : aRequest.directoryBlocks_;
  std::vector<directory::Sighting> sightings;
  for (std::size_t i = first; i < chain.size(); ++i) {
    sightings.push_back({ chain[i], chain[0] });
  }
  ReportBlocks(aContext,
               { aRequest.target_, directory::HolderKind::Engine },
               sightings,
               false);
}

} // namespace lycheeplank::reducer::detail
