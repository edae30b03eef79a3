#ifndef LYCHEEPLANK_PLACEMENT_ESTIMATE_H
#define LYCHEEPLANK_PLACEMENT_ESTIMATE_H

#include "lycheeplank/placement.h"

// Estimates the queue wait of a candidate and the cost of a run on it.
namespace lycheeplank::placement {

// Wait for a slot and for the prefill of earlier runs, in seconds.
struct QueueWait
{
  // Wait according to the report, less the time since then.
  double reportedSeconds_ = 0.0;
  // Wait for the runs that this host has sent since the report.
  double unreportedSeconds_ = 0.0;
  // Weight of the report, from 0 (no report) to 1 (just measured).
  double confidence_ = 0.0;
};

// Estimates how long a new run would wait on a candidate.
QueueWait
EstimateQueueWait(const Candidate& aCandidate, const Tuning& aTuning);

// Returns the mean of the reported waits, weighted by confidence, in seconds.
double
MeanReportedWait(const std::vector<QueueWait>& aWaits);

// Returns a candidate's wait in seconds. The older its report, the more the
// mean wait of all candidates replaces the reported one.
double
BlendWithMean(const QueueWait& aWait, double aMeanSeconds);

// How an estimated time to first token compares with the deadline.
enum class Lateness
{
  // In time even if the actual time exceeds the estimate by half.
  Safe,
  InTime,
  Late,
};

// Compares an estimate with the deadline.
Lateness
LatenessOf(const PlacementRequest& aRequest, const CandidateCost& aCost);

// Returns the cost of a run on a candidate with the best import for it.
CandidateCost
CheapestCost(const PlacementRequest& aRequest,
             const Candidate& aCandidate,
             double aQueueSeconds,
             const std::vector<ImportSource>& aSources);

} // namespace lycheeplank::placement

#endif
