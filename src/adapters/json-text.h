#ifndef LYCHEEPLANK_ADAPTERS_JSON_TEXT_H
#define LYCHEEPLANK_ADAPTERS_JSON_TEXT_H

#include <string>

#include <absl/strings/string_view.h>

namespace lycheeplank::adapters {

// Whether a text stands in a JSON string as it is: printable ASCII without
// quotes and backslashes.
bool
IsPlainJsonText(absl::string_view aText);

// Returns a text as a JSON string; bytes that aren't UTF-8 are replaced.
std::string
QuoteJson(absl::string_view aText);

} // namespace lycheeplank::adapters

#endif
