#ifndef LYCHEEPLANK_LOAD_FAULT_H
#define LYCHEEPLANK_LOAD_FAULT_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "load/cluster.h"
#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

// Faults that an experiment injects into stand-ins at a fixed time of a trace.
namespace lycheeplank::load {

enum class FaultKind
{
  None,
  // One store stops answering.
  StoreDown,
  // One store's link drops to a tenth of its rate.
  SlowLink,
  // A third of the engines stop answering.
  EnginesDown,
};

inline constexpr std::array<core::Named<FaultKind>, 4> kFaultKinds{ {
  { FaultKind::None, "none" },
  { FaultKind::StoreDown, "store-dead" },
  { FaultKind::SlowLink, "slow-link" },
  { FaultKind::EnginesDown, "engines-gone" },
} };

// The fault to inject and its time.
struct FaultOptions
{
  FaultKind kind_ = FaultKind::None;
  // Time from the start of the trace.
  absl::Duration at_ = absl::ZeroDuration();
};

// A request body for `POST /fault` and the cluster member that receives it.
struct FaultCommand
{
  Member member_;
  std::string body_;
};

// Returns the commands that inject a fault. The seed selects the members. Fails
// if the cluster is too small for the fault.
core::Result<std::vector<FaultCommand>>
PlanFault(const Cluster& aCluster, FaultKind aKind, std::uint64_t aSeed);

// Returns the commands that end the faults of the same members.
std::vector<FaultCommand>
PlanRecovery(const std::vector<FaultCommand>& aCommands);

// Sends the commands and returns the names of the members that didn't confirm
// theirs.
std::vector<std::string>
SendFaultCommands(net::Client& aClient,
                  const std::vector<FaultCommand>& aCommands);

} // namespace lycheeplank::load

#endif
