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

// Faults of the stand-ins that an experiment causes at a fixed time of a trace.
namespace lycheeplank::load {

enum class FaultKind
{
  None,
  // One store answers nobody any more.
  StoreDead,
  // One store's link has a tenth of its rate.
  SlowLink,
  // A third of the engines answer nobody any more.
  EnginesGone,
};

inline constexpr std::array<core::Named<FaultKind>, 4> kFaultKinds{ {
  { FaultKind::None, "none" },
  { FaultKind::StoreDead, "store-dead" },
  { FaultKind::SlowLink, "slow-link" },
  { FaultKind::EnginesGone, "engines-gone" },
} };

struct FaultOptions
{
  FaultKind kind_ = FaultKind::None;
  // Time since the trace's start.
  absl::Duration at_ = absl::ZeroDuration();
};

// What a member of the cluster is told at `POST /fault`.
struct FaultOrder
{
  Member member_;
  std::string body_;
};

// Returns the orders that cause a fault; the seed chooses the members. An error
// if the cluster is too small for the fault.
core::Result<std::vector<FaultOrder>>
PlanFault(const Cluster& aCluster, FaultKind aKind, std::uint64_t aSeed);

// Returns orders that end the faults of the same members.
std::vector<FaultOrder>
PlanRepair(const std::vector<FaultOrder>& aOrders);

// Sends orders and returns the names of the members that didn't confirm them.
std::vector<std::string>
SendOrders(net::Client& aClient, const std::vector<FaultOrder>& aOrders);

} // namespace lycheeplank::load

#endif
