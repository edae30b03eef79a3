#ifndef LYCHEEPLANK_PEER_CONVERT_H
#define LYCHEEPLANK_PEER_CONVERT_H

#include <vector>

#include "lycheeplank/claims.h"
#include "lycheeplank/config_sync.h"
#include "lycheeplank/core.h"
#include "lycheeplank/directory.h"
#include "lycheeplank/membership.h"
#include "proto/peer.pb.h"

// gRPC server and client for calls between entry hosts.
namespace lycheeplank::peer {

// Convert between protobuf messages and the types of the decision logic. A
// member keeps its default if the message has an unknown enumerator for it.
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
// Leaves now_ for the receiver to set.
claims::Heartbeat
FromWire(const ClaimRunningRequest& aMessage);
// Writes only the low halves of the block keys.
LocateRequest
LocateToWire(const std::vector<core::BlockKey>& aChain);
// Returns keys whose high half is zero; skips malformed items.
std::vector<core::BlockKey>
FromWire(const LocateRequest& aMessage);
LocateReply
ToWire(const std::vector<directory::Holder>& aHolders);
std::vector<directory::Holder>
FromWire(const LocateReply& aMessage);
// aInventory is true if the sightings are all that the holder has of the
// receiver's prompts. Consecutive sightings that differ only in the block share
// an item.
ReportBlocksRequest
ToWire(const directory::HolderId& aHolder,
       const std::vector<directory::Sighting>& aSightings,
       bool aInventory);
directory::HolderId
HolderFromWire(const ReportBlocksRequest& aMessage);
// Takes the high half of each block's key from its root; skips malformed items.
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
KeyToBytes(const core::BlockKey& aKey);
// Reads a block key from 16 bytes; returns an all-zero key for any other
// length.
core::BlockKey
KeyFromBytes(const std::string& aBytes);

} // namespace lycheeplank::peer

#endif
