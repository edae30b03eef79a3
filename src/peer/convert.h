#ifndef LYCHEEPLANK_PEER_CONVERT_H
#define LYCHEEPLANK_PEER_CONVERT_H

#include <vector>

#include "lycheeplank/claims.h"
#include "lycheeplank/config_sync.h"
#include "lycheeplank/core.h"
#include "lycheeplank/directory.h"
#include "lycheeplank/membership.h"
#include "proto/peer.pb.h"

// Calls between entry hosts over gRPC.
namespace lycheeplank::peer {

// Translates between the messages on the wire and the types of the decisions.
ClaimRequest
ToWire(const claims::Ask& aAsk);
claims::Ask
FromWire(const ClaimRequest& aMessage);
ClaimReply
ToWire(const claims::Answered& aAnswer);
claims::Answered
FromWire(const ClaimReply& aMessage);
OutcomeRequest
ToWire(const claims::Report& aReport);
claims::Report
FromWire(const OutcomeRequest& aMessage);
ClaimRunningRequest
ToWire(const claims::Running& aRunning);
claims::Running
FromWire(const ClaimRunningRequest& aMessage);
LocateRequest
LocateToWire(const std::vector<core::BlockKey>& aChain);
std::vector<core::BlockKey>
FromWire(const LocateRequest& aMessage);
LocateReply
ToWire(const std::vector<directory::Holder>& aHolders);
std::vector<directory::Holder>
FromWire(const LocateReply& aMessage);
ReportBlocksRequest
ToWire(const directory::HolderId& aHolder,
       const std::vector<directory::Sighting>& aSightings,
       bool aInventory);
directory::HolderId
HolderFromWire(const ReportBlocksRequest& aMessage);
std::vector<directory::Sighting>
SightingsFromWire(const ReportBlocksRequest& aMessage);
FetchChunksReply
ToWire(const config::Served& aServed);
ProbeRequest
ProbeToWire(const membership::Message& aMessage);
ProbeReply
ProbeReplyToWire(const membership::Message& aMessage);
membership::Message
FromWire(const ProbeRequest& aMessage);
membership::Message
FromWire(const ProbeReply& aMessage);

// Returns a block key as 16 bytes.
std::string
KeyToBytes(const core::BlockKey& aKey);
// Reads 16 bytes; a key of zeros if there are more or fewer.
core::BlockKey
KeyFromBytes(const std::string& aBytes);

} // namespace lycheeplank::peer

#endif
