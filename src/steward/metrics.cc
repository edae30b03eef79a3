#include "steward/metrics.h"

#include <algorithm>

namespace lycheeplank::steward {

void
UpdateRolloutMetrics(const rollout::State& aState, metrics::Registry& aMetrics)
{
  const auto& counters = aState.counters_;
  aMetrics.Set("orders_sent", double(counters.sentOrders_));
  aMetrics.Set("orders_lost", double(counters.lostOrders_));
  aMetrics.Set("orders_stale", double(counters.staleOrders_));
  aMetrics.Set("target_reads", double(counters.targetReads_));
  aMetrics.Set("platform_calls", double(counters.platformCalls_));
  aMetrics.Set("partition_takeovers", double(counters.takeovers_));
  aMetrics.Set("slot_conflicts", double(counters.slotConflicts_));
  const auto owned =
    std::count_if(aState.partitions_.begin(),
                  aState.partitions_.end(),
                  [](const rollout::Partition& aPartition) {
                    return aPartition.phase_ == rollout::Phase::Owned;
                  });
  aMetrics.Set("partitions_owned", double(owned));
}

} // namespace lycheeplank::steward
