#ifndef LYCHEEPLANK_LOAD_CLOSED_LOOP_H
#define LYCHEEPLANK_LOAD_CLOSED_LOOP_H

#include <cstdint>
#include <functional>
#include <vector>

#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "lycheeplank/net.h"

namespace lycheeplank::load {

// Times and result of one call, as seen by the client.
struct CallTimes
{
  absl::Time startedAt_;
  absl::optional<absl::Time> firstTokenAt_;
  absl::Time endedAt_;
  std::uint64_t tokens_ = 0;
  bool ok_ = false;
};

// Returns the call with the given index.
using MakeCall = std::function<net::Call(std::uint32_t)>;

// Makes aCalls calls, at most aParallel of them at a time, and waits until all
// have ended.
std::vector<CallTimes>
RunClosedLoop(net::Client& aClient,
              std::uint32_t aCalls,
              std::uint32_t aParallel,
              const MakeCall& aMakeCall);

} // namespace lycheeplank::load

#endif
