#ifndef LYCHEEPLANK_LOAD_CLOSED_LOOP_H
#define LYCHEEPLANK_LOAD_CLOSED_LOOP_H

#include <cstdint>
#include <functional>
#include <vector>

#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/net.h"

namespace lycheeplank::load {

// What was seen of one call.
struct CallTimes
{
  absl::Time startedAt_;
  absl::optional<absl::Time> firstTokenAt_;
  absl::Time endedAt_;
  std::uint64_t tokens_ = 0;
  bool ok_ = false;
};

// Returns the n-th call.
using MakeCall = std::function<net::Call(std::uint32_t)>;

// Makes a number of calls, so many at a time, and waits for all of them.
std::vector<CallTimes>
RunClosedLoop(net::Client& aClient,
              std::uint32_t aCalls,
              std::uint32_t aParallel,
              const MakeCall& aMakeCall);

} // namespace lycheeplank::load

#endif
