#ifndef LYCHEEPLANK_STEWARD_DUTIES_H
#define LYCHEEPLANK_STEWARD_DUTIES_H

#include <functional>
#include <memory>

#include "adapters/platform.h"
#include "lycheeplank/net.h"
#include "steward/control.h"
#include "steward/settings.h"

// The work of a steward: one function for each duty. A duty that needs an
// owner for each piece of its work takes it from the platform as rollouts do.
namespace lycheeplank::steward {

// What all duties use.
struct DutyContext
{
  const Settings& settings_;
  net::Client& client_;
  adapters::PlatformClient& platform_;
  std::function<void(const EventBody&)> post_;
};

// Carries out one effect of the rollout reducer.
void
PerformRollout(const DutyContext& aContext, const rollout::Effect& aEffect);

// Follows the configuration of the entry host on the same host.
class ConfigFollower
{
public:
  explicit ConfigFollower(const DutyContext& aContext);

  // Asks for the configuration if it is time.
  void AskIfDue();

private:
  struct Shared;
  const DutyContext& context_;
  std::shared_ptr<Shared> shared_;
  absl::Time next_ = absl::InfinitePast();
};

} // namespace lycheeplank::steward

#endif
