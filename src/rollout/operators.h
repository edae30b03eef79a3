#ifndef LYCHEEPLANK_SRC_ROLLOUT_OPERATORS_H
#define LYCHEEPLANK_SRC_ROLLOUT_OPERATORS_H

#include <functional>
#include <string>
#include <vector>

#include <absl/types/optional.h>

#include "lycheeplank/rollout.h"

// What operators do with rollouts: list, start and stop them.
namespace lycheeplank::rollout {

// Carries out a command to the platform and hands over its reply.
using CommandExecutor =
  std::function<void(const platform::Command& aCommand,
                     std::function<void(platform::Reply)>)>;

// The records, or why they could not be read.
struct RolloutList
{
  std::vector<Record> records_;
  absl::optional<core::Error> error_;
};

// Nothing if it was done.
using OnDone = std::function<void(absl::optional<core::Error>)>;

// Reads all records, in order of the models' names.
void
ListRollouts(const CommandExecutor& aExecute,
             const std::function<void(RolloutList)>& aOnListing);

// Starts a rollout in place of any other one of the model. Repeating it while
// it runs changes nothing.
void
StartRollout(const CommandExecutor& aExecute,
             const std::string& aModel,
             const std::string& aVersion,
             const OnDone& aOnDone);

// Stops the rollout of a model.
void
StopRollout(const CommandExecutor& aExecute,
            const std::string& aModel,
            const OnDone& aOnDone);

} // namespace lycheeplank::rollout

#endif
