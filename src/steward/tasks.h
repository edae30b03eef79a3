#ifndef LYCHEEPLANK_STEWARD_TASKS_H
#define LYCHEEPLANK_STEWARD_TASKS_H

#include <functional>
#include <memory>

#include "adapters/platform.h"
#include "lycheeplank/net.h"
#include "steward/control.h"
#include "steward/settings.h"

// The background tasks of a steward. A task that needs one owner for each part
// of its work determines the owner through the platform, as rollouts do.
namespace lycheeplank::steward {

// The objects that all tasks use. They outlive the tasks.
struct TaskContext
{
  const Settings& settings_;
  net::Client& client_;
  adapters::PlatformClient& platform_;
  std::function<void(const EventBody&)> post_;
};

// Carries out one effect of the rollout reducer.
void
PerformRollout(const TaskContext& aContext, const rollout::Effect& aEffect);

// Fetches the configuration and the live hosts from the entry host on the same
// host and posts changes as events.
class ConfigFollower
{
public:
  explicit ConfigFollower(const TaskContext& aContext);

  // Fetches the configuration if the period has passed and no fetch is pending.
  void FetchIfDue();

private:
  struct SharedState;
  const TaskContext& context_;
  std::shared_ptr<SharedState> state_;
  absl::Time nextFetch_ = absl::InfinitePast();
};

} // namespace lycheeplank::steward

#endif
