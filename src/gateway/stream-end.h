#ifndef LYCHEEPLANK_SRC_GATEWAY_STREAM_END_H
#define LYCHEEPLANK_SRC_GATEWAY_STREAM_END_H

#include <array>

#include <absl/time/time.h>
#include <absl/types/optional.h>

#include "gateway/socket.h"
#include "lycheeplank/core.h"

// Decides whether a stream that ended with its connection is whole. The end of
// a process closes its connections in the same way as the end of an answer
// does, so the state of the target's process has to be found out.
namespace lycheeplank::gateway {

// Time after the end of a stream in which the other connections of a process
// that ended are closed as well.
inline constexpr absl::Duration kSettleTime = absl::Milliseconds(20);

// What a host knows of a target's process kSettleTime after a stream of it has
// ended between two events.
struct EndEvidence
{
  // Another connection to the target is open.
  bool isConnected_ = false;
  // The target has lost another call within kSettleTime of the end.
  bool hasLostCall_ = false;
  // The target is in use, so that it has to accept connections.
  bool isListed_ = false;
  // How a new connection to the target ended; no value before one was tried.
  absl::optional<ConnectEnd> connect_;
};

enum class EndVerdict
{
  Whole,
  // The target died, so the stream may lack events.
  Broken,
  // A new connection would tell whether the target lives.
  NeedsConnection,
};

inline constexpr std::array<core::Named<EndVerdict>, 3> kEndVerdicts{ {
  { EndVerdict::Whole, "whole" },
  { EndVerdict::Broken, "broken" },
  { EndVerdict::NeedsConnection, "needs_connection" },
} };

// Without evidence that the target died, the stream is whole.
EndVerdict
JudgeEnd(const EndEvidence& aEvidence);

} // namespace lycheeplank::gateway

#endif
