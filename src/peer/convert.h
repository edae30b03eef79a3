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
ToWire(const claims::ClaimRequest& aAsk);
claims::ClaimRequest
FromWire(const ClaimRequest& aMessage);
ClaimReply
ToWire(const claims::ClaimResponse& aAnswer);
claims::ClaimResponse
FromWire(const ClaimReply& aMessage);
OutcomeRequest
ToWire(const claims::OutcomeReport& aReport);
claims::OutcomeReport
FromWire(const OutcomeRequest& aMessage);
ClaimRunningRequest
ToWire(const claims::Heartbeat& aRunning);
claims::Heartbeat
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
ToWire(const config::ServedChunks& aServed);
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
KeyBytes(const core::BlockKey& aKey);
// Reads 16 bytes; a key of zeros if there are more or fewer.
core::BlockKey
KeyFromBytes(const std::string& aBytes);

} // namespace lycheeplank::peer

#endif
