#include "standin/token-text.h"

#include <array>

#include "lycheeplank/core.h"

namespace lycheeplank::standin {

namespace {

constexpr std::uint64_t kLetters = 26;

} // namespace

std::uint64_t
TextSeed(absl::string_view aPrompt,
         absl::string_view aModel,
         absl::string_view aWeightVersion)
{
  return core::StableHash(
    aPrompt, core::StableHash(aModel, core::StableHash(aWeightVersion)));
}

std::string
TokenText(std::uint64_t aSeed, std::uint64_t aIndex)
{
  const std::array<std::uint64_t, 2> source{ aSeed, aIndex };
  std::uint64_t hash = core::StableHash(absl::string_view(
    reinterpret_cast<const char*>(source.data()), sizeof(source)));
  std::string text = "    ";
  for (std::size_t at = 1; at < text.size(); ++at) {
    text[at] = static_cast<char>('a' + hash % kLetters);
    hash /= kLetters;
  }
  return text;
}

} // namespace lycheeplank::standin
