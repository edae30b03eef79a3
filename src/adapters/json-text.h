#ifndef LYCHEEPLANK_ADAPTERS_JSON_TEXT_H
#define LYCHEEPLANK_ADAPTERS_JSON_TEXT_H

#include <string>

#include <absl/strings/string_view.h>

namespace lycheeplank::adapters {

// Returns whether a text needs no escapes in a JSON string: it is printable
// ASCII without quotes and backslashes.
bool
NeedsNoJsonEscapes(absl::string_view aText);

// Returns a text as a quoted JSON string; bytes that aren't valid UTF-8 are
// replaced by U+FFFD.
std::string
QuoteJson(absl::string_view aText);

} // namespace lycheeplank::adapters

#endif
