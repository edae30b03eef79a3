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

// Exports blocks from engines to stores and frees blocks of full stores. Runs
// the reducer of exports on its own thread. Pending calls refer to this object,
// so it has to exist until the process ends.
class ExportService
{
public:
  ExportService(const Settings& aSettings,
                net::Client& aClient,
                metrics::Registry& aMetrics);

  void Start();
  // Forwards the configuration and the live hosts from events of rollouts.
  void HandleRolloutEvent(const EventBody& aBody);
  // Answers HTTP requests for health, metrics and reports of finished runs. May
  // be called from any thread.
  void HandleRequest(const std::shared_ptr<net::Exchange>& aExchange);

private:
  void Handle(const offload::EventBody& aBody);
  void Post(offload::EventBody aBody);
  // Queues as many runs as the limit of queued events allows; drops and counts
  // the rest.
  void PostRuns(std::vector<offload::FinishedRun> aRuns);
  // Checks and queues the finished runs that the entry host reports.
  void ReceiveRuns(net::Exchange& aExchange);

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
