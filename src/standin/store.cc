#include "standin/store.h"

#include <fstream>

#include <absl/strings/strip.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kBlockPath = "/v1/blocks/";
constexpr absl::string_view kPinPath = "/v1/pins/";
constexpr std::uint64_t kDefaultPinMilliseconds = 10000;
constexpr std::size_t kMaxListEntries = 1000;

void
CreatePin(Store& aStore, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  const BlockAddress address{ QueryText(request, "key"),
                              QueryNumber(request, "generation", 0) };
  if (FindBlock(aStore, address) == nullptr) {
    ReplyError(aExchange, 409, "generation");
    return;
  }
  const std::string pin = core::RandomId();
  aStore.pins_[pin] = { address.key_, address.generation_ };
  aStore.context_.loop_.After(
    absl::Milliseconds(QueryNumber(request, "ttl", kDefaultPinMilliseconds)),
    [&aStore, pin] { aStore.pins_.erase(pin); });
  ReplyJson(aExchange, 200, { { "pin", pin } });
}

void
ListBlocks(const Store& aStore, const ExchangePtr& aExchange)
{
  auto block =
    aStore.committed_.upper_bound(QueryText(aExchange->request_, "after"));
  Json blocks = Json::array();
  for (; block != aStore.committed_.end() && blocks.size() < kMaxListEntries;
       ++block) {
    const auto& [key, content] = *block;
    blocks.push_back(
      { { "key", key },
        { "root", content.root_ },
        { "generation", content.generation_ },
        { "bytes", content.bytes_ },
        { "tier", std::string(core::NameOf(kTiers, content.tier_)) } });
  }
  const bool more = block != aStore.committed_.end();
  ReplyJson(
    aExchange, 200, { { "blocks", std::move(blocks) }, { "more", more } });
}

void
ReplyLoad(const Store& aStore, const ExchangePtr& aExchange)
{
  const double slowdown = aStore.context_.faults_.slowdown_;
  ReplyJson(
    aExchange,
    200,
    { { "memory_used", aStore.memoryUsed_ },
      { "disk_used", aStore.diskUsed_ },
      { "memory_bytes", aStore.options_.memoryBytes_ },
      { "disk_bytes", aStore.options_.diskBytes_ },
      { "link_backlog_bytes",
        BacklogBytes(aStore.link_, slowdown, absl::Now()) },
      { "link_bytes_per_second", aStore.link_.bytesPerSecond_ / slowdown },
      { "link_bytes_total", aStore.link_.bytesTotal_ },
      { "instance", aStore.instance_ } });
}

void
ReplyExecutions(const Store& aStore, const ExchangePtr& aExchange)
{
  Json blocks = Json::array();
  for (const auto& record : aStore.records_) {
    blocks.push_back(
      { { "call", std::string(core::NameOf(kBlockCalls, record.call_)) },
        { "key", record.key_ },
        { "generation", record.generation_ },
        { "bytes", record.bytes_ },
        { "refusal", record.refusal_ } });
  }
  ReplyJson(aExchange, 200, { { "blocks", std::move(blocks) } });
}

// Loads the contents of a file into a store; aborts if it is not valid JSON.
void
ReadContentsFile(Store& aStore, const std::string& aPath)
{
  std::ifstream file(aPath);
  const Json contents = Json::parse(file, nullptr, false);
  if (contents.is_discarded()) {
    LOG(FATAL) << "event=contents_unreadable path=" << aPath
               << " remedy=\"give a file that GET /contents has filled\"";
  }
  ReadContents(aStore, contents);
}

void
Handle(Store& aStore, const ExchangePtr& aExchange)
{
  const net::Request& request = aExchange->request_;
  absl::string_view rest = request.path_;
  if (absl::ConsumePrefix(&rest, kBlockPath)) {
    HandleBlock(aStore, rest, aExchange);
  } else if (absl::ConsumePrefix(&rest, kPinPath)) {
    aStore.pins_.erase(std::string(rest));
    ReplyJson(aExchange, 200, Json::object());
  } else if (request.path_ == "/v1/pins") {
    CreatePin(aStore, aExchange);
  } else if (request.path_ == "/v1/blocks") {
    ListBlocks(aStore, aExchange);
  } else if (request.path_ == "/v1/load") {
    ReplyLoad(aStore, aExchange);
  } else if (request.path_ == "/executions") {
    ReplyExecutions(aStore, aExchange);
  } else if (request.path_ == "/contents") {
    ReplyJson(aExchange, 200, ContentsOf(aStore));
  } else {
    ReplyError(aExchange, 404, "unknown path");
  }
}

} // namespace

std::unique_ptr<StandinServer>
StartStore(const StoreOptions& aOptions)
{
  auto context = std::make_shared<Context>();
  auto store = std::make_shared<Store>(Store{ aOptions, *context });
  store->link_.bytesPerSecond_ = aOptions.linkBytesPerSecond_;
  store->disk_.bytesPerSecond_ = aOptions.diskBytesPerSecond_;
  if (!aOptions.contentsFile_.empty()) {
    ReadContentsFile(*store, aOptions.contentsFile_);
  }
  return std::make_unique<StandinServer>(
    aOptions.common_, context, [store](const ExchangePtr& aExchange) {
      Handle(*store, aExchange);
    });
}

} // namespace lycheeplank::standin
