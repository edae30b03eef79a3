#include "standin/block-payload.h"

#include <nlohmann/json.hpp>

namespace lycheeplank::standin {

using Json = nlohmann::json;

std::string
FormatPayload(const BlockPayload& aPayload)
{
  return Json({ { "key", core::ToHex(aPayload.key_) },
                { "root", core::ToHex(aPayload.root_) },
                { "cache_salt", aPayload.scope_.workspace_ },
                { "model", aPayload.scope_.model_ },
                { "weight_version", aPayload.scope_.weightVersion_ },
                { "adapter", aPayload.scope_.adapter_ } })
    .dump();
}

absl::optional<BlockPayload>
ParsePayload(const std::string& aText)
{
  const Json payload = Json::parse(aText, nullptr, false);
  if (!payload.is_object()) {
    return absl::nullopt;
  }
  const auto text = [&](const char* aName) {
    const auto found = payload.find(aName);
    return found != payload.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
  };
  const auto key = core::BlockKeyFromHex(text("key"));
  const auto root = core::BlockKeyFromHex(text("root"));
  if (!key || !root) {
    return absl::nullopt;
  }
  return BlockPayload{ *key,
                       *root,
                       { text("cache_salt"),
                         text("model"),
                         text("weight_version"),
                         text("adapter") } };
}

} // namespace lycheeplank::standin
