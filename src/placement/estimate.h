#ifndef LYCHEEPLANK_PLACEMENT_ESTIMATE_H
#define LYCHEEPLANK_PLACEMENT_ESTIMATE_H

#include "lycheeplank/placement.h"

// Estimates of one candidate's queue and of one import.
namespace lycheeplank::placement {

// Wait for a slot and for the prefill of earlier runs, in seconds.
struct QueueWait
{
  // From the report, less what has drained since.
  double reportedSeconds_ = 0.0;
  // From this host's own runs since the report.
  double ownSeconds_ = 0.0;
  // How far the report can be trusted, from 0 (unknown) to 1 (just taken).
  double trust_ = 0.0;
};

// Estimates the wait in front of a run on a candidate.
QueueWait
EstimateWait(const Candidate& aCandidate, const Tuning& aTuning);

// Returns the mean reported wait over all candidates, weighted by trust.
double
MeanWait(const std::vector<QueueWait>& aWaits);

// Returns the wait of one candidate, where an old report counts less and the
// mean more.
double
BlendedWait(const QueueWait& aWait, double aMeanSeconds);

// How sure it is that the first token comes within the deadline.
enum class Lateness
{
  // Also if the estimate is exceeded by half.
  Safe,
  InTime,
  Late,
};

// Compares an estimate with the deadline.
Lateness
LatenessOf(const PlacementRequest& aRequest, const CandidateCost& aCost);

// Returns the cost of a run on a candidate with its best import.
CandidateCost
CostOf(const PlacementRequest& aRequest,
       const Candidate& aCandidate,
       double aQueueSeconds,
       const std::vector<ImportSource>& aSources);

} // namespace lycheeplank::placement

#endif
