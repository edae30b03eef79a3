#ifndef LYCHEEPLANK_STEWARD_EXPORTS_H
#define LYCHEEPLANK_STEWARD_EXPORTS_H

#include <memory>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "lycheeplank/keeper.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
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
  ~Exports();
  Exports(const Exports&) = delete;
  Exports& operator=(const Exports&) = delete;

  void Start();
  // Takes over configuration and live hosts from the events of rollouts.
  void Follow(const EventBody& aBody);
  // Answers the entry host and whoever reads the counters, from any thread.
  void Serve(const std::shared_ptr<net::Exchange>& aExchange);

private:
  void Run();
  std::vector<keeper::EventBody> TakeEvents();
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
  absl::Mutex mutex_;
  std::vector<keeper::EventBody> events_ ABSL_GUARDED_BY(mutex_);
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time nextTick_ = absl::InfinitePast();
  std::thread thread_;
};

} // namespace lycheeplank::steward

#endif
