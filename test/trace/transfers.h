#ifndef LYCHEEPLANK_TEST_TRACE_TRANSFERS_H
#define LYCHEEPLANK_TEST_TRACE_TRANSFERS_H

#include "engines.h"

// Handles the ends of transfers.
namespace lycheeplank::trace {

// Weight of the latest transfer in the moving average of a link's rate.
constexpr double kNewestWeight = 0.3;
// Lower limit, in seconds, of the duration from which a rate is calculated;
// shorter durations are too inaccurate.
constexpr double kMinTransferSeconds = 0.001;

inline void
UpdateReportedRate(double& aReported, double aRate)
{
  aReported = aReported <= 0.0
                ? aRate
                : (1.0 - kNewestWeight) * aReported + kNewestWeight * aRate;
}

inline void
EndImport(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  Run& run = aTrace.runs_[store.currentJob_.run_];
  const auto prompt = aTrace.workload_->arrivals_[run.arrival_].prompt_;
  for (std::uint32_t i = 0; store.alive_ && i < run.requestedImports_; ++i) {
    const auto found =
      store.blocks_.find(MakeBlockId(prompt, run.firstImport_ + i));
    if (found == store.blocks_.end()) {
      break;
    }
    ++run.imported_;
  }
  if (IsMeasured(aTrace) && store.alive_) {
    aTrace.outcome_.importedGigabytes_ +=
      static_cast<double>(store.current_.bytes_) / kBytesPerGigabyte;
  }
  Enqueue(aTrace, store.currentJob_.run_);
}

inline void
EndExport(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  if (!store.alive_) {
    return;
  }
  if (IsMeasured(aTrace)) {
    aTrace.outcome_.exportedGigabytes_ +=
      static_cast<double>(store.current_.bytes_) / kBytesPerGigabyte;
  }
  const auto blocks = store.currentJob_.blocks_;
  const auto engine = store.currentJob_.engine_;
  for (const auto block : blocks) {
    if (!aTrace.engines_[engine].cache_.contains(block)) {
      break;
    }
    AddStored(aTrace, aStore, block);
  }
}

inline void
OnTransferEnd(Trace& aTrace, std::uint32_t aStore)
{
  Store& store = aTrace.stores_[aStore];
  store.busy_ = false;
  QueuedBytesOf(store, store.current_.kind_) -= store.current_.bytes_;
  const double took = aTrace.now_ - store.currentStart_;
  if (store.alive_) {
    UpdateReportedRate(aTrace.linkRates_[aStore],
                       static_cast<double>(store.current_.bytes_) /
                         std::max(took, kMinTransferSeconds));
  }
  if (store.current_.kind_ == retention::TransferKind::Export) {
    store.use_.exportBytes_ += store.current_.bytes_;
    EndExport(aTrace, aStore);
  } else {
    store.use_.importBytes_ += store.current_.bytes_;
    EndImport(aTrace, aStore);
  }
  StartTransfer(aTrace, aStore);
}

} // namespace lycheeplank::trace

#endif
