#include "adapters/json-text.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::adapters {

bool
NeedsNoJsonEscapes(absl::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar >= ' ' && aChar <= '~' && aChar != '"' && aChar != '\\';
  });
}

std::string
QuoteJson(absl::string_view aText)
{
  if (NeedsNoJsonEscapes(aText)) {
    return absl::StrCat("\"", aText, "\"");
  }
  return nlohmann::json(std::string(aText))
    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lycheeplank::adapters
