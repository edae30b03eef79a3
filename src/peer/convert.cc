#include "peer/convert.h"

#include <cstring>

namespace lycheeplank::peer {

namespace {

struct VerdictRow
{
  claims::Verdict verdict_;
  ClaimStatus status_;
};

constexpr std::array<VerdictRow, 7> kVerdictRows{ {
  { claims::Verdict::Granted, CLAIM_STATUS_GRANTED },
  { claims::Verdict::Done, CLAIM_STATUS_DONE },
  { claims::Verdict::InProgress, CLAIM_STATUS_IN_PROGRESS },
  { claims::Verdict::Unknown, CLAIM_STATUS_UNKNOWN },
  { claims::Verdict::Mismatch, CLAIM_STATUS_MISMATCH },
  { claims::Verdict::Expired, CLAIM_STATUS_EXPIRED },
  { claims::Verdict::Unavailable, CLAIM_STATUS_UNAVAILABLE },
} };

struct OutcomeRow
{
  claims::AttemptOutcome outcome_;
  OutcomeKind kind_;
};

constexpr std::array<OutcomeRow, 3> kOutcomeRows{ {
  { claims::AttemptOutcome::Done, OUTCOME_KIND_DONE },
  { claims::AttemptOutcome::Withdrawn, OUTCOME_KIND_WITHDRAWN },
  { claims::AttemptOutcome::Unknown, OUTCOME_KIND_UNKNOWN },
} };

struct StatusRow
{
  membership::Status status_;
  HostStatus wire_;
};

constexpr std::array<StatusRow, 4> kStatusRows{ {
  { membership::Status::Alive, HOST_STATUS_ALIVE },
  { membership::Status::Suspect, HOST_STATUS_SUSPECT },
  { membership::Status::Leaving, HOST_STATUS_LEAVING },
  { membership::Status::Dead, HOST_STATUS_DEAD },
} };

void
HostToWire(const membership::HostState& aHost, HostState& aMessage)
{
  aMessage.set_name(aHost.name_);
  aMessage.set_peer_address(aHost.peerAddress_);
  aMessage.set_http_address(aHost.httpAddress_);
  aMessage.set_data_centre(aHost.dataCentre_);
  for (const auto& row : kStatusRows) {
    if (row.status_ == aHost.status_) {
      aMessage.set_status(row.wire_);
    }
  }
  aMessage.set_incarnation(aHost.incarnation_);
  aMessage.set_config_revision(aHost.configRevision_);
  aMessage.set_load_permille(aHost.loadPermille_);
}

membership::HostState
HostFromWire(const HostState& aMessage)
{
  membership::HostState host;
  host.name_ = aMessage.name();
  host.peerAddress_ = aMessage.peer_address();
  host.httpAddress_ = aMessage.http_address();
  host.dataCentre_ = aMessage.data_centre();
  for (const auto& row : kStatusRows) {
    if (row.wire_ == aMessage.status()) {
      host.status_ = row.status_;
    }
  }
  host.incarnation_ = aMessage.incarnation();
  host.configRevision_ = aMessage.config_revision();
  host.loadPermille_ = aMessage.load_permille();
  return host;
}

// Writes the fields that a probe's request and reply have in common.
template<typename Wire>
void
FillProbe(const membership::Message& aMessage, Wire& aWire)
{
  for (const auto& update : aMessage.updates_) {
    HostToWire(update, *aWire.add_updates());
  }
  aWire.set_host_list_revision(aMessage.listRevision_);
}

// Reads a probe's request or reply, whose fields for the sender have different
// names.
template<typename Wire>
membership::Message
ReadProbe(const HostState& aSender, const Wire& aWire)
{
  membership::Message message;
  message.sender_ = HostFromWire(aSender);
  for (const auto& update : aWire.updates()) {
    message.updates_.push_back(HostFromWire(update));
  }
  message.listRevision_ = aWire.host_list_revision();
  return message;
}

// Appends the low half of a key. The directory stores and looks up blocks by
// the low halves of their keys, so only these are sent.
void
AppendShortKey(std::string& aKeys, const core::BlockKey& aKey)
{
  aKeys.append(reinterpret_cast<const char*>(&aKey.low_), sizeof(aKey.low_));
}

// Reads the keys that AppendShortKey wrote; returns none if the length is not a
// multiple of 8 bytes.
std::vector<std::uint64_t>
ReadShortKeys(const std::string& aKeys)
{
  std::vector<std::uint64_t> keys;
  if (aKeys.size() % sizeof(std::uint64_t) == 0) {
    keys.resize(aKeys.size() / sizeof(std::uint64_t));
    std::memcpy(keys.data(), aKeys.data(), aKeys.size());
  }
  return keys;
}

bool
EqualExceptBlock(const directory::Sighting& aLeft,
                 const directory::Sighting& aRight)
{
  return aLeft.root_ == aRight.root_ && aLeft.present_ == aRight.present_ &&
         aLeft.tier_ == aRight.tier_ &&
         aLeft.generation_ == aRight.generation_ &&
         aLeft.bytes_ == aRight.bytes_;
}

// Writes all fields but the block. The root is written only if it differs from
// that of the previous sighting.
void
FillSighting(const directory::Sighting* aPrevious,
             const directory::Sighting& aSighting,
             BlockSighting& aItem)
{
  if (aPrevious == nullptr || aPrevious->root_ != aSighting.root_) {
    aItem.set_root(KeyToBytes(aSighting.root_));
  }
  aItem.set_present(aSighting.present_);
  aItem.set_on_disk(aSighting.tier_ == directory::Tier::Disk);
  aItem.set_generation(aSighting.generation_);
  aItem.set_bytes(aSighting.bytes_);
}

} // namespace

std::string
KeyToBytes(const core::BlockKey& aKey)
{
  std::string bytes(sizeof(aKey.high_) + sizeof(aKey.low_), '\0');
  std::memcpy(bytes.data(), &aKey.high_, sizeof(aKey.high_));
  std::memcpy(bytes.data() + sizeof(aKey.high_), &aKey.low_, sizeof(aKey.low_));
  return bytes;
}

core::BlockKey
KeyFromBytes(const std::string& aBytes)
{
  core::BlockKey key;
  if (aBytes.size() == sizeof(key.high_) + sizeof(key.low_)) {
    std::memcpy(&key.high_, aBytes.data(), sizeof(key.high_));
    std::memcpy(&key.low_, aBytes.data() + sizeof(key.high_), sizeof(key.low_));
  }
  return key;
}

ClaimRequest
ToWire(const claims::ClaimRequest& aAsk)
{
  ClaimRequest message;
  message.set_workspace(aAsk.workspace_);
  message.set_idempotency_key(aAsk.key_);
  message.set_attempt(aAsk.attempt_);
  message.set_holder(aAsk.holder_);
  message.set_request_digest(aAsk.requestDigest_);
  return message;
}

claims::ClaimRequest
FromWire(const ClaimRequest& aMessage)
{
  claims::ClaimRequest ask;
  ask.workspace_ = aMessage.workspace();
  ask.key_ = aMessage.idempotency_key();
  ask.attempt_ = aMessage.attempt();
  ask.holder_ = aMessage.holder();
  ask.requestDigest_ = aMessage.request_digest();
  return ask;
}

ClaimReply
ToWire(const claims::ClaimResponse& aAnswer)
{
  ClaimReply message;
  for (const auto& row : kVerdictRows) {
    if (row.verdict_ == aAnswer.verdict_) {
      message.set_status(row.status_);
    }
  }
  message.set_answer_status(aAnswer.answer_.status_);
  message.set_answer_content_type(aAnswer.answer_.contentType_);
  message.set_answer(aAnswer.answer_.body_);
  message.set_retry_after_ms(absl::ToInt64Milliseconds(aAnswer.retryAfter_));
  return message;
}

claims::ClaimResponse
FromWire(const ClaimReply& aMessage)
{
  claims::ClaimResponse answer;
  for (const auto& row : kVerdictRows) {
    if (row.status_ == aMessage.status()) {
      answer.verdict_ = row.verdict_;
    }
  }
  answer.answer_ = { aMessage.answer_status(),
                     aMessage.answer_content_type(),
                     aMessage.answer() };
  answer.retryAfter_ = absl::Milliseconds(aMessage.retry_after_ms());
  return answer;
}

OutcomeRequest
ToWire(const claims::OutcomeReport& aReport)
{
  OutcomeRequest message;
  message.set_workspace(aReport.workspace_);
  message.set_idempotency_key(aReport.key_);
  message.set_attempt(aReport.attempt_);
  for (const auto& row : kOutcomeRows) {
    if (row.outcome_ == aReport.outcome_) {
      message.set_kind(row.kind_);
    }
  }
  message.set_answer_status(aReport.answer_.status_);
  message.set_answer_content_type(aReport.answer_.contentType_);
  message.set_answer(aReport.answer_.body_);
  return message;
}

claims::OutcomeReport
FromWire(const OutcomeRequest& aMessage)
{
  claims::OutcomeReport report;
  report.workspace_ = aMessage.workspace();
  report.key_ = aMessage.idempotency_key();
  report.attempt_ = aMessage.attempt();
  for (const auto& row : kOutcomeRows) {
    if (row.kind_ == aMessage.kind()) {
      report.outcome_ = row.outcome_;
    }
  }
  report.answer_ = { aMessage.answer_status(),
                     aMessage.answer_content_type(),
                     aMessage.answer() };
  return report;
}

ClaimRunningRequest
ToWire(const claims::Heartbeat& aRunning)
{
  ClaimRunningRequest message;
  message.set_workspace(aRunning.workspace_);
  message.set_idempotency_key(aRunning.key_);
  message.set_attempt(aRunning.attempt_);
  return message;
}

claims::Heartbeat
FromWire(const ClaimRunningRequest& aMessage)
{
  return { aMessage.workspace(),
           aMessage.idempotency_key(),
           aMessage.attempt(),
           absl::InfinitePast() };
}

LocateRequest
LocateToWire(const std::vector<core::BlockKey>& aChain)
{
  LocateRequest message;
  std::string& keys = *message.add_blocks();
  for (const auto& block : aChain) {
    AppendShortKey(keys, block);
  }
  return message;
}

std::vector<core::BlockKey>
FromWire(const LocateRequest& aMessage)
{
  std::vector<core::BlockKey> chain;
  for (const auto& keys : aMessage.blocks()) {
    for (const auto low : ReadShortKeys(keys)) {
      chain.push_back({ 0, low });
    }
  }
  return chain;
}

LocateReply
ToWire(const std::vector<directory::Holder>& aHolders)
{
  LocateReply message;
  for (const auto& holder : aHolders) {
    Holder& item = *message.add_holders();
    item.set_name(holder.id_.name_);
    item.set_is_store(holder.id_.kind_ == directory::HolderKind::Store);
    item.set_on_disk(holder.onDisk_);
    item.set_leading_blocks(holder.leadingBlocks_);
    item.set_blocks_after_gap(holder.blocksAfterGap_);
    for (const auto generation : holder.generations_) {
      item.add_generations(generation);
    }
  }
  return message;
}

std::vector<directory::Holder>
FromWire(const LocateReply& aMessage)
{
  std::vector<directory::Holder> holders;
  for (const auto& item : aMessage.holders()) {
    directory::Holder holder;
    holder.id_ = { item.name(),
                   item.is_store() ? directory::HolderKind::Store
                                   : directory::HolderKind::Engine };
    holder.onDisk_ = item.on_disk();
    holder.leadingBlocks_ = item.leading_blocks();
    holder.blocksAfterGap_ = item.blocks_after_gap();
    holder.generations_.assign(item.generations().begin(),
                               item.generations().end());
    holders.push_back(std::move(holder));
  }
  return holders;
}

ReportBlocksRequest
ToWire(const directory::HolderId& aHolder,
       const std::vector<directory::Sighting>& aSightings,
       bool aInventory)
{
  ReportBlocksRequest message;
  message.set_holder(aHolder.name_);
  message.set_is_store(aHolder.kind_ == directory::HolderKind::Store);
  message.set_inventory(aInventory);
  BlockSighting* item = nullptr;
  const directory::Sighting* previous = nullptr;
  for (const auto& sighting : aSightings) {
    if (previous == nullptr || !EqualExceptBlock(*previous, sighting)) {
      item = message.add_sightings();
      FillSighting(previous, sighting, *item);
    }
    AppendShortKey(*item->mutable_block(), sighting.block_);
    previous = &sighting;
  }
  return message;
}

directory::HolderId
HolderFromWire(const ReportBlocksRequest& aMessage)
{
  return { aMessage.holder(),
           aMessage.is_store() ? directory::HolderKind::Store
                               : directory::HolderKind::Engine };
}

std::vector<directory::Sighting>
SightingsFromWire(const ReportBlocksRequest& aMessage)
{
  std::vector<directory::Sighting> sightings;
  core::BlockKey root;
  for (const auto& item : aMessage.sightings()) {
    if (!item.root().empty()) {
      root = KeyFromBytes(item.root());
    }
    if (root == core::BlockKey()) {
      continue;
    }
    for (const auto low : ReadShortKeys(item.block())) {
      sightings.push_back(
        { { root.high_, low },
          root,
          item.present(),
          item.on_disk() ? directory::Tier::Disk : directory::Tier::Memory,
          item.generation(),
          item.bytes() });
    }
  }
  return sightings;
}

FetchChunksReply
ToWire(const config::ServedChunks& aServed)
{
  FetchChunksReply message;
  message.set_revision(aServed.revision_);
  message.set_head(aServed.head_);
  for (const auto& chunk : aServed.chunks_) {
    Chunk& item = *message.add_chunks();
    item.set_digest(chunk.digest_);
    item.set_content(chunk.content_);
  }
  return message;
}

ProbeRequest
ProbeToWire(const membership::Message& aMessage)
{
  ProbeRequest wire;
  HostToWire(aMessage.sender_, *wire.mutable_sender());
  FillProbe(aMessage, wire);
  return wire;
}

ProbeReply
ProbeReplyToWire(const membership::Message& aMessage)
{
  ProbeReply wire;
  HostToWire(aMessage.sender_, *wire.mutable_receiver());
  FillProbe(aMessage, wire);
  return wire;
}

membership::Message
FromWire(const ProbeRequest& aMessage)
{
  return ReadProbe(aMessage.sender(), aMessage);
}

membership::Message
FromWire(const ProbeReply& aMessage)
{
  return ReadProbe(aMessage.receiver(), aMessage);
}

} // namespace lycheeplank::peer
