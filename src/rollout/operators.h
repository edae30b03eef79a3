#ifndef LYCHEEPLANK_SRC_ROLLOUT_OPERATORS_H
#define LYCHEEPLANK_SRC_ROLLOUT_OPERATORS_H

#include <functional>
#include <string>
#include <vector>

#include <absl/types/optional.h>

#include "lycheeplank/rollout.h"

// Operators' access to rollouts: lists, starts and stops them.
namespace lycheeplank::rollout {

// Sends a command to the platform and calls the callback with its reply.
using CommandExecutor =
  std::function<void(const platform::Command& aCommand,
                     std::function<void(platform::Reply)>)>;

// The records, or the error if they could not be listed. Records that could not
// be read are missing.
struct RolloutList
{
  std::vector<Record> records_;
  absl::optional<core::Error> error_;
};

// Called with the error, or with nothing on success.
using OnDone = std::function<void(absl::optional<core::Error>)>;

// Reads all records, sorted by model name.
void
ListRollouts(const CommandExecutor& aExecute,
             const std::function<void(RolloutList)>& aOnList);

// Starts a rollout, which replaces any other rollout of the model. Has no
// effect while a rollout of the same version runs.
void
StartRollout(const CommandExecutor& aExecute,
             const std::string& aModel,
             const std::string& aVersion,
             const OnDone& aOnDone);

// Stops the rollout of a model. Fails if the model has no rollout; has no
// effect if the rollout has failed or was stopped.
void
StopRollout(const CommandExecutor& aExecute,
            const std::string& aModel,
            const OnDone& aOnDone);

} // namespace lycheeplank::rollout

#endif
