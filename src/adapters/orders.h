#ifndef LYCHEEPLANK_ADAPTERS_ORDERS_H
#define LYCHEEPLANK_ADAPTERS_ORDERS_H

#include <cstdint>
#include <functional>
#include <string>

#include <absl/types/optional.h>

#include "lycheeplank/net.h"

namespace lycheeplank::adapters {

// An order to an engine to load a weight version.
struct LoadWeightsOrder
{
  std::string version_;
  // Fencing token; the engine refuses an order with an older one.
  std::uint64_t fence_ = 0;
};

// Returns the call that sends an order. aMaySend runs on a client thread just
// before the call is sent; if it returns false, the call is sent with an empty
// body, which the engine refuses.
net::Call
SendLoadWeightsOrder(const std::string& aUrl,
                     const LoadWeightsOrder& aOrder,
                     std::function<bool()> aMaySend);

// Returns whether the engine refused an order because it has received a newer
// fencing token.
bool
IsStaleFence(const net::Answer& aAnswer);

// Returns the call that queries an engine's weight status.
net::Call
QueryWeightStatus(const std::string& aUrl);

// Weight version that an engine serves, and whether it is loading another.
struct WeightStatus
{
  std::string weightVersion_;
  bool loading_ = false;
};

// Parses a weight status; returns nothing if it is malformed.
absl::optional<WeightStatus>
ReadWeightStatus(const std::string& aBody);

} // namespace lycheeplank::adapters

#endif
