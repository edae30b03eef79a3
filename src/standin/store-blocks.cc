#include "standin/store.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kBeginSuffix = "/begin";
constexpr absl::string_view kCommitSuffix = "/commit";
constexpr int kConflict = 409;
// The reasons for a conflict, as sent to the caller.
constexpr absl::string_view kGenerationConflict = "generation";
constexpr absl::string_view kPinnedConflict = "pinned";
// Writes not committed within this time are discarded.
constexpr absl::Duration kWriteTimeout = absl::Seconds(60);

std::uint64_t&
UsedBytes(Store& aStore, Tier aTier)
{
  return aTier == Tier::Memory ? aStore.memoryUsed_ : aStore.diskUsed_;
}

bool
IsPinned(const Store& aStore,
         const std::string& aKey,
         std::uint64_t aGeneration)
{
  return std::any_of(
    aStore.pins_.begin(), aStore.pins_.end(), [&](const auto& aEach) {
      return aEach.second.key_ == aKey &&
             aEach.second.generation_ == aGeneration;
    });
}

void
RecordCall(Store& aStore,
           BlockCall aCall,
           const BlockAddress& aAddress,
           std::uint64_t aBytes,
           absl::string_view aRefusal = "")
{
  aStore.records_.push_back({ aCall,
                              aAddress.key_,
                              aAddress.generation_,
                              aBytes,
                              std::string(aRefusal) });
}

// Returns the uncommitted block with this key and generation; null if there is
// none.
Block*
FindPendingWrite(Store& aStore, const BlockAddress& aAddress)
{
  const auto found = aStore.pendingWrites_.find(aAddress.generation_);
  return found == aStore.pendingWrites_.end() ||
             found->second.first != aAddress.key_
           ? nullptr
           : &found->second.second;
}

// Moves the least recently used block in memory to disk. Returns false if there
// is none or the disk is full.
bool
MoveLeastRecentToDisk(Store& aStore)
{
  Block* oldest = nullptr;
  for (auto& [key, block] : aStore.committed_) {
    if (block.tier_ == Tier::Memory &&
        (oldest == nullptr || block.lastUse_ < oldest->lastUse_)) {
      oldest = &block;
    }
  }
  if (oldest == nullptr ||
      aStore.diskUsed_ + oldest->bytes_ > aStore.options_.diskBytes_) {
    return false;
  }
  aStore.memoryUsed_ -= oldest->bytes_;
  aStore.diskUsed_ += oldest->bytes_;
  oldest->tier_ = Tier::Disk;
  return true;
}

// Moves blocks to disk until aBytes fit in memory; returns false if the store
// is full.
bool
MakeRoom(Store& aStore, std::uint64_t aBytes)
{
  if (aStore.context_.faults_.full_ || aBytes > aStore.options_.memoryBytes_) {
    return false;
  }
  while (aStore.memoryUsed_ + aBytes > aStore.options_.memoryBytes_) {
    if (!MoveLeastRecentToDisk(aStore)) {
      return false;
    }
  }
  return true;
}

void
ExpireWrite(Store& aStore, std::uint64_t aGeneration)
{
  if (const auto found = aStore.pendingWrites_.find(aGeneration);
      found != aStore.pendingWrites_.end()) {
    aStore.memoryUsed_ -= found->second.second.bytes_;
    aStore.pendingWrites_.erase(found);
  }
}

void
BeginBlock(Store& aStore, const std::string& aKey, const ExchangePtr& aExchange)
{
  const Json body = Json::parse(aExchange->request_.body_);
  Block block;
  block.bytes_ = body.at("bytes").get<std::uint64_t>();
  block.checksum_ = body.at("checksum").get<std::string>();
  block.root_ = body.value("root", std::string());
  if (body.contains("length")) {
    block.length_ = body.at("length").get<std::uint64_t>();
  }
  if (!MakeRoom(aStore, block.bytes_)) {
    ReplyError(aExchange, 507, "full");
    return;
  }
  const std::uint64_t generation = ++aStore.lastGeneration_;
  block.generation_ = generation;
  block.begunAt_ = absl::Now();
  aStore.memoryUsed_ += block.bytes_;
  aStore.pendingWrites_[generation] = { aKey, std::move(block) };
  aStore.context_.loop_.After(
    kWriteTimeout, [&aStore, generation] { ExpireWrite(aStore, generation); });
  ReplyJson(aExchange, 200, { { "generation", generation } });
}

void
FinishPut(Store& aStore,
          const BlockAddress& aAddress,
          const ExchangePtr& aExchange)
{
  Block* block = FindPendingWrite(aStore, aAddress);
  if (block == nullptr) {
    ReplyError(aExchange, kConflict, kGenerationConflict);
    return;
  }
  block->payload_ = aExchange->request_.body_;
  ReplyJson(aExchange, 200, Json::object());
}

void
PutBlock(Store& aStore,
         const BlockAddress& aAddress,
         const ExchangePtr& aExchange)
{
  const Block* block = FindPendingWrite(aStore, aAddress);
  if (block == nullptr) {
    ReplyError(aExchange, kConflict, kGenerationConflict);
    return;
  }
  const absl::Time end = ScheduleTransfer(aStore.link_,
                                          block->bytes_,
                                          aStore.context_.faults_.slowdown_,
                                          absl::Now());
  aStore.context_.loop_.At(end, [&aStore, aAddress, aExchange] {
    FinishPut(aStore, aAddress, aExchange);
  });
}

bool
IsComplete(const Block& aBlock)
{
  return !aBlock.payload_.empty() &&
         aBlock.length_.value_or(aBlock.payload_.size()) ==
           aBlock.payload_.size() &&
         core::Sha256Hex(aBlock.payload_) == aBlock.checksum_;
}

void
FreeBlock(Store& aStore, const std::string& aKey)
{
  if (const auto found = aStore.committed_.find(aKey);
      found != aStore.committed_.end()) {
    UsedBytes(aStore, found->second.tier_) -= found->second.bytes_;
    aStore.committed_.erase(found);
  }
}

void
CommitBlock(Store& aStore,
            const BlockAddress& aAddress,
            const ExchangePtr& aExchange)
{
  if (FindBlock(aStore, aAddress) != nullptr) {
    ReplyJson(aExchange, 200, Json::object());
    return;
  }
  Block* block = FindPendingWrite(aStore, aAddress);
  if (block == nullptr || !IsComplete(*block)) {
    const absl::string_view refusal =
      block == nullptr ? kGenerationConflict : "checksum";
    RecordCall(aStore, BlockCall::Commit, aAddress, 0, refusal);
    ReplyError(aExchange, kConflict, refusal);
    return;
  }
  if (const auto old = aStore.committed_.find(aAddress.key_);
      old != aStore.committed_.end() &&
      IsPinned(aStore, aAddress.key_, old->second.generation_)) {
    RecordCall(aStore, BlockCall::Commit, aAddress, 0, kPinnedConflict);
    ReplyError(aExchange, kConflict, kPinnedConflict);
    return;
  }
  FreeBlock(aStore, aAddress.key_);
  RecordCall(aStore, BlockCall::Commit, aAddress, block->bytes_);
  block->lastUse_ = ++aStore.lastUse_;
  aStore.committed_[aAddress.key_] = std::move(*block);
  aStore.pendingWrites_.erase(aAddress.generation_);
  ReplyJson(aExchange, 200, Json::object());
}

// A read in progress and the pin that protects its block.
struct BlockRead
{
  BlockAddress address_;
  std::string pin_;
};

void
FinishGet(Store& aStore, const BlockRead& aRead, const ExchangePtr& aExchange)
{
  aStore.pins_.erase(aRead.pin_);
  const Block* block = FindBlock(aStore, aRead.address_);
  if (block == nullptr) {
    RecordCall(aStore, BlockCall::Read, aRead.address_, 0, kGenerationConflict);
    ReplyError(aExchange, kConflict, kGenerationConflict);
    return;
  }
  RecordCall(aStore, BlockCall::Read, aRead.address_, block->bytes_);
  aExchange->Reply(200,
                   { { "X-Checksum", block->checksum_ },
                     { "X-Bytes", absl::StrCat(block->bytes_) },
                     { "Content-Type", "application/octet-stream" } },
                   block->payload_);
}

// Sends a block over the link.
void
SendBlock(Store& aStore,
          const BlockRead& aRead,
          std::uint64_t aBytes,
          const ExchangePtr& aExchange)
{
  const absl::Time end = ScheduleTransfer(
    aStore.link_, aBytes, aStore.context_.faults_.slowdown_, absl::Now());
  aStore.context_.loop_.At(
    end, [&aStore, aRead, aExchange] { FinishGet(aStore, aRead, aExchange); });
}

void
GetBlock(Store& aStore,
         const BlockAddress& aAddress,
         const ExchangePtr& aExchange)
{
  Block* block = FindBlock(aStore, aAddress);
  if (block == nullptr) {
    RecordCall(aStore, BlockCall::Read, aAddress, 0, kGenerationConflict);
    ReplyError(aExchange, kConflict, kGenerationConflict);
    return;
  }
  block->lastUse_ = ++aStore.lastUse_;
  const BlockRead read{ aAddress, core::RandomId() };
  aStore.pins_[read.pin_] = { aAddress.key_, aAddress.generation_ };
  if (block->tier_ == Tier::Memory) {
    SendBlock(aStore, read, block->bytes_, aExchange);
    return;
  }
  const absl::Time inMemory =
    ScheduleTransfer(aStore.disk_,
                     block->bytes_,
                     aStore.context_.faults_.slowdown_,
                     absl::Now());
  const std::uint64_t bytes = block->bytes_;
  aStore.context_.loop_.At(inMemory, [&aStore, read, bytes, aExchange] {
    SendBlock(aStore, read, bytes, aExchange);
  });
}

void
DeleteBlock(Store& aStore,
            const BlockAddress& aAddress,
            const ExchangePtr& aExchange)
{
  const Block* block = FindBlock(aStore, aAddress);
  if (block == nullptr) {
    RecordCall(aStore, BlockCall::Free, aAddress, 0, kGenerationConflict);
    ReplyError(aExchange, kConflict, kGenerationConflict);
  } else if (IsPinned(aStore, aAddress.key_, aAddress.generation_)) {
    RecordCall(aStore, BlockCall::Free, aAddress, 0, kPinnedConflict);
    ReplyError(aExchange, kConflict, kPinnedConflict);
  } else {
    RecordCall(aStore, BlockCall::Free, aAddress, block->bytes_);
    FreeBlock(aStore, aAddress.key_);
    ReplyJson(aExchange, 200, Json::object());
  }
}

} // namespace

Block*
FindBlock(Store& aStore, const BlockAddress& aAddress)
{
  const auto found = aStore.committed_.find(aAddress.key_);
  return found == aStore.committed_.end() ||
             found->second.generation_ != aAddress.generation_
           ? nullptr
           : &found->second;
}

nlohmann::json
ContentsOf(const Store& aStore)
{
  Json blocks = Json::array();
  for (const auto& [key, block] : aStore.committed_) {
    blocks.push_back({ { "key", key },
                       { "generation", block.generation_ },
                       { "bytes", block.bytes_ },
                       { "checksum", block.checksum_ },
                       { "root", block.root_ },
                       { "payload", block.payload_ } });
  }
  return { { "blocks", std::move(blocks) } };
}

void
ReadContents(Store& aStore, const nlohmann::json& aContents)
{
  for (const Json& item : aContents.at("blocks")) {
    Block block;
    block.generation_ = item.at("generation").get<std::uint64_t>();
    block.bytes_ = item.at("bytes").get<std::uint64_t>();
    block.checksum_ = item.at("checksum").get<std::string>();
    block.root_ = item.at("root").get<std::string>();
    block.payload_ = item.at("payload").get<std::string>();
    // Only blocks on disk survive a restart.
    block.tier_ = Tier::Disk;
    aStore.diskUsed_ += block.bytes_;
    aStore.committed_[item.at("key").get<std::string>()] = std::move(block);
  }
}

void
HandleBlock(Store& aStore,
            absl::string_view aRest,
            const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  const std::uint64_t generation = QueryNumber(request, "generation", 0);
  if (absl::ConsumeSuffix(&aRest, kBeginSuffix)) {
    BeginBlock(aStore, std::string(aRest), aExchange);
  } else if (absl::ConsumeSuffix(&aRest, kCommitSuffix)) {
    CommitBlock(aStore, { std::string(aRest), generation }, aExchange);
  } else if (request.method_ == "PUT") {
    PutBlock(aStore, { std::string(aRest), generation }, aExchange);
  } else if (request.method_ == "DELETE") {
    DeleteBlock(aStore, { std::string(aRest), generation }, aExchange);
  } else {
    GetBlock(aStore, { std::string(aRest), generation }, aExchange);
  }
}

} // namespace lycheeplank::standin
