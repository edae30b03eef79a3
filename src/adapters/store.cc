#include "adapters/store.h"

#include <absl/strings/str_cat.h>

#include "adapters/json.h"

namespace lycheeplank::adapters {

namespace {

using detail::ReadBody;
using detail::ReadKey;
using nlohmann::json;

constexpr absl::Duration kQueryTimeout = absl::Seconds(2);

} // namespace

net::Call
QueryStoreLoad(const std::string& aUrl)
{
  net::Call call;
  call.url_ = aUrl + "/v1/load";
  call.timeout_ = kQueryTimeout;
  return call;
}

absl::optional<StoreLoad>
ReadStoreLoad(const std::string& aBody)
{
  return ReadBody<StoreLoad>(aBody, [](const json& aLoad) {
    StoreLoad load;
    load.memoryUsed_ = aLoad.value("memory_used", std::uint64_t{ 0 });
    load.diskUsed_ = aLoad.value("disk_used", std::uint64_t{ 0 });
    load.linkBacklogBytes_ =
      aLoad.value("link_backlog_bytes", std::uint64_t{ 0 });
    load.linkBytesPerSecond_ = aLoad.value("link_bytes_per_second", 0.0);
    load.instance_ = aLoad.value("instance", std::uint64_t{ 0 });
    return load;
  });
}

net::Call
QueryStorePage(const std::string& aUrl, const std::string& aAfter)
{
  net::Call call;
  call.url_ = absl::StrCat(aUrl, "/v1/blocks?after=", aAfter);
  call.timeout_ = kQueryTimeout;
  return call;
}

absl::optional<StorePage>
ReadStorePage(const std::string& aBody)
{
  return ReadBody<StorePage>(aBody, [](const json& aList) {
    StorePage page;
    page.more_ = aList.value("more", false);
    for (const auto& item : aList.value("blocks", json::array())) {
      page.blocks_.push_back({ ReadKey(item, "key"),
                               ReadKey(item, "root"),
                               item.value("generation", std::uint64_t{ 0 }),
                               item.value("bytes", std::uint64_t{ 0 }),
                               item.value("tier", "") == "disk" });
    }
    return page;
  });
}

net::Call
FreeBlock(const std::string& aUrl,
          const core::BlockKey& aKey,
          std::uint64_t aGeneration)
{
  net::Call call;
  call.method_ = "DELETE";
  call.url_ = absl::StrCat(
    aUrl, "/v1/blocks/", core::ToHex(aKey), "?generation=", aGeneration);
  call.timeout_ = kQueryTimeout;
  return call;
}

} // namespace lycheeplank::adapters
