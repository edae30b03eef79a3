#ifndef LYCHEEPLANK_ADAPTERS_JSON_H
#define LYCHEEPLANK_ADAPTERS_JSON_H

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>
#include <nlohmann/json.hpp>

#include "core/json.h"
#include "lycheeplank/core.h"

namespace lycheeplank::adapters::detail {

// Parses a body and converts it by aRead; returns nothing if the body is not a
// JSON object, is too deeply nested, or a field has the wrong type.
template<typename T, typename Read>
absl::optional<T>
ReadBody(absl::string_view aBody, Read aRead)
{
  const auto body = json::ParseJson(aBody);
  if (!body.is_object()) {
    return absl::nullopt;
  }
  try {
    return aRead(body);
  } catch (const nlohmann::json::exception&) {
    return absl::nullopt;
  }
}

// Reads the block key in field aName; returns an all-zero key if the field is
// absent or malformed.
inline core::BlockKey
ReadKey(const nlohmann::json& aItem, const char* aName)
{
  return core::BlockKeyFromHex(aItem.value(aName, ""))
    .value_or(core::BlockKey{});
}

} // namespace lycheeplank::adapters::detail

#endif
