#ifndef LYCHEEPLANK_LOAD_FLIGHT_H
#define LYCHEEPLANK_LOAD_FLIGHT_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load/cluster.h"
#include "load/entry-book.h"
#include "load/outcome.h"
#include "load/workload.h"
#include "lycheeplank/net.h"
#include "standin/loop.h"

// One request of a trace, with the repeats and resumes of a caller.
namespace lycheeplank::load {

// What all requests of a run share.
struct FlightContext
{
  net::Client& client_;
  EntryBook& entries_;
  // Runs what has to wait.
  standin::Loop& loop_;
  const Cluster& cluster_;
  std::string model_;
  std::vector<std::string> weightVersions_;
  // Makes the idempotency keys of this run unlike those of any other.
  std::string runName_;
};

// A request to send.
struct FlightPlan
{
  Arrival arrival_;
  // Position in the trace.
  std::size_t index_ = 0;
  std::string prompt_;
};

using OnLanded = std::function<void(Outcome&&)>;

// Sends a completion and calls back once its outcome is certain.
void
StartCompletion(FlightContext& aContext, FlightPlan aPlan, OnLanded aOnLanded);

// Sends a service call and calls back once its outcome is certain.
void
StartServiceCall(FlightContext& aContext, FlightPlan aPlan, OnLanded aOnLanded);

} // namespace lycheeplank::load

#endif
