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
  std::uint64_t fence_ = 0;
};

// Returns the call that gives an order. aMaySend is asked just before it
// leaves; if it returns false, the call is made void, and the engine refuses
// it.
net::Call
SendLoadWeightsOrder(const std::string& aUrl,
                     const LoadWeightsOrder& aOrder,
                     std::function<bool()> aMaySend);

// Whether an answer says that the fencing number is older than one seen.
bool
IsStaleFence(const net::Answer& aAnswer);

// Returns the call that asks what an engine serves and loads.
net::Call
QueryWeightStatus(const std::string& aUrl);

// What an engine serves and loads.
struct WeightStatus
{
  std::string weightVersion_;
  bool loading_ = false;
};

absl::optional<WeightStatus>
ReadWeightStatus(const std::string& aBody);

} // namespace lycheeplank::adapters

#endif
