#ifndef LYCHEEPLANK_STEWARD_EXPORTS_H
#define LYCHEEPLANK_STEWARD_EXPORTS_H

#include <memory>
#include <vector>

#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
#include "lycheeplank/offload.h"
#include "process/event-thread.h"
#include "steward/control.h"
#include "steward/settings.h"

namespace lycheeplank::steward {

// Exports blocks from engines to stores and frees blocks of full stores. Owns
// the state on a thread of its own; calls under way refer to it until the
// process ends.
class Exports
{
public:
  Exports(const Settings& aSettings,
          net::Client& aClient,
          metrics::Registry& aMetrics);

  void Start();
  // Takes over configuration and live hosts from the events of rollouts.
  void Follow(const EventBody& aBody);
  // Answers the entry host and whoever reads the counters, from any thread.
  void Serve(const std::shared_ptr<net::Exchange>& aExchange);

private:
  void Handle(const offload::EventBody& aBody);
  void Post(offload::EventBody aBody);
  // Adds runs to the events, as many as there is room for.
  void PostRuns(std::vector<offload::FinishedRun> aRuns);
  void TakeRuns(net::Exchange& aExchange);

  void Perform(const offload::StartExport& aEffect);
  void Perform(const offload::PollExport& aEffect);
  void Perform(const offload::PollStore& aEffect);
  void Perform(const offload::ReportSightings& aEffect);
  void Perform(const offload::FetchInventory& aEffect);
  void Perform(const offload::FreeBlock& aEffect);
  void Perform(const offload::Log& aEffect);
  void Perform(const offload::Count& aEffect);

  const Settings& settings_;
  net::Client& client_;
  metrics::Registry& metrics_;
  offload::State state_;
  process::EventThread<offload::EventBody> thread_;
};

} // namespace lycheeplank::steward

#endif
