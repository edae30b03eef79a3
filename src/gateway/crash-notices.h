#ifndef LYCHEEPLANK_SRC_GATEWAY_CRASH_NOTICES_H
#define LYCHEEPLANK_SRC_GATEWAY_CRASH_NOTICES_H

#include <cstdint>
#include <string>

#include "gateway/host.h"

// Tells the other hosts at once that a target has crashed, see crash_evidence.
// Only for targets of services with catalog::Service::coldFor_: such a target
// may crash again if it gets too many requests after its return.
namespace lycheeplank::gateway {

// Records that a call to a target was lost or couldn't be connected.
void
NoteTargetLoss(Host& aHost, const std::string& aTarget);

// Records that a target has sent a part of an answer, and sends notices about
// the crashes that it proves.
void
NoteTargetBytes(Host& aHost,
                const std::string& aTarget,
                std::int64_t aStartedAtMs);

// Sets the targets aside that another host's notice names.
void
ApplyCrashNotice(Host& aHost, const target_limits::Message& aNotice);

} // namespace lycheeplank::gateway

#endif
