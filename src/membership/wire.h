#ifndef LYCHEEPLANK_SRC_MEMBERSHIP_WIRE_H
#define LYCHEEPLANK_SRC_MEMBERSHIP_WIRE_H

#include "lycheeplank/membership.h"
#include "peer.pb.h"

// Conversion of membership messages to and from the peer protocol.
namespace lycheeplank::membership {

peer::ProbeRequest
ToProbeRequest(const Message& aMessage);

peer::ProbeReply
ToProbeReply(const Message& aMessage);

Message
FromProbeRequest(const peer::ProbeRequest& aRequest);

Message
FromProbeReply(const peer::ProbeReply& aReply);

} // namespace lycheeplank::membership

#endif
