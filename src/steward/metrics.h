#ifndef LYCHEEPLANK_STEWARD_METRICS_H
#define LYCHEEPLANK_STEWARD_METRICS_H

#include "lycheeplank/metrics.h"
#include "lycheeplank/rollout.h"

namespace lycheeplank::steward {

// Copies the counters of the rollout reducer into the metrics.
void
UpdateRolloutMetrics(const rollout::State& aState, metrics::Registry& aMetrics);

} // namespace lycheeplank::steward

#endif
