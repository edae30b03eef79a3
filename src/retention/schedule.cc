#include "lycheeplank/retention.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace lycheeplank::retention {

namespace {

// Factor by which work may take longer than estimated.
constexpr double kEstimateMargin = 1.5;
constexpr absl::Duration kStartSlack = absl::Seconds(30);

// Returns the priority of a transfer; the lowest number goes first.
int
PriorityOf(const Transfer& aTransfer, bool aExportsBelowShare, absl::Time aNow)
{
  switch (aTransfer.kind_) {
    case TransferKind::InteractiveImport:
      return 1;
    case TransferKind::BatchImport:
      return aNow >= aTransfer.latestStart_ ? 1 : 3;
    case TransferKind::Export:
      break;
  }
  return aExportsBelowShare ? 0 : 2;
}

bool
AreExportsBelowShare(const LinkTraffic& aUse)
{
  const auto total = static_cast<double>(aUse.importBytes_ + aUse.exportBytes_);
  return static_cast<double>(aUse.exportBytes_) < kMinExportShare * total;
}

} // namespace

absl::optional<std::size_t>
NextTransfer(const std::vector<Transfer>& aWaiting,
             const LinkTraffic& aUse,
             absl::Time aNow)
{
  const bool exportsBelowShare = AreExportsBelowShare(aUse);
  const auto sortKeyOf = [&](const Transfer& aTransfer) {
    const bool byDeadline = aTransfer.kind_ == TransferKind::BatchImport;
    return std::tuple(PriorityOf(aTransfer, exportsBelowShare, aNow),
                      -aTransfer.valuePerByte_,
                      byDeadline ? aTransfer.latestStart_
                                 : aTransfer.queuedAt_);
  };
  const auto next =
    std::min_element(aWaiting.begin(),
                     aWaiting.end(),
                     [&](const Transfer& aLeft, const Transfer& aRight) {
                       return sortKeyOf(aLeft) < sortKeyOf(aRight);
                     });
  if (next == aWaiting.end()) {
    return absl::nullopt;
  }
  return static_cast<std::size_t>(next - aWaiting.begin());
}

absl::Time
LatestStart(absl::Time aDeadline, absl::Duration aEstimate)
{
  return aDeadline - aEstimate * kEstimateMargin - kStartSlack;
}

std::vector<absl::Time>
LatestStarts(const std::vector<BatchRun>& aRuns)
{
  std::vector<std::size_t> order(aRuns.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aRuns[aLeft].deadline_ < aRuns[aRight].deadline_;
    });
  std::vector<absl::Time> starts(aRuns.size());
  absl::Time next = absl::InfiniteFuture();
  for (auto index = order.rbegin(); index != order.rend(); ++index) {
    const auto& run = aRuns[*index];
    const auto alone = LatestStart(run.deadline_, run.estimate_);
    starts[*index] = std::min(alone, next - run.estimate_ * kEstimateMargin);
    next = starts[*index];
  }
  return starts;
}

bool
MayStartBatch(absl::Time aLatestStart,
              double aInteractiveUse,
              std::uint32_t aInteractiveWaiting,
              absl::Time aNow)
{
  return aNow >= aLatestStart ||
         (aInteractiveWaiting == 0 && aInteractiveUse < kMaxIdleSlotUse);
}

} // namespace lycheeplank::retention
