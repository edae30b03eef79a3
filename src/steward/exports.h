#ifndef LYCHEEPLANK_STEWARD_EXPORTS_H
#define LYCHEEPLANK_STEWARD_EXPORTS_H

#include <memory>
#include <vector>

#include "lycheeplank/keeper.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
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
  void Handle(const keeper::EventBody& aBody);
  void Post(keeper::EventBody aBody);
  // Adds runs to the events, as many as there is room for.
  void PostRuns(std::vector<keeper::FinishedRun> aRuns);
  void TakeRuns(net::Exchange& aExchange);

  void Perform(const keeper::StartExport& aEffect);
  void Perform(const keeper::AskExport& aEffect);
  void Perform(const keeper::AskStore& aEffect);
  void Perform(const keeper::TellSightings& aEffect);
  void Perform(const keeper::FetchInventory& aEffect);
  void Perform(const keeper::FreeBlock& aEffect);
  void Perform(const keeper::Log& aEffect);
  void Perform(const keeper::Count& aEffect);

  const Settings& settings_;
  net::Client& client_;
  metrics::Registry& metrics_;
  keeper::State state_;
  process::EventThread<keeper::EventBody> thread_;
};

} // namespace lycheeplank::steward

#endif
