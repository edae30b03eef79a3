#ifndef LYCHEEPLANK_STANDIN_TOKEN_TEXT_H
#define LYCHEEPLANK_STANDIN_TOKEN_TEXT_H

#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>

namespace lycheeplank::standin {

// Returns the seed from which the text of every token of a completion is
// derived.
std::uint64_t
TextSeed(absl::string_view aPrompt,
         absl::string_view aModel,
         absl::string_view aWeightVersion);

// Returns the text of one token: a space and three letters.
std::string
TokenText(std::uint64_t aSeed, std::uint64_t aIndex);

} // namespace lycheeplank::standin

#endif
