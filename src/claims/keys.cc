#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "claims/records.h"
#include "lycheeplank/claims.h"

namespace lycheeplank::claims {

std::uint32_t
ShardOf(absl::string_view aWorkspace,
        absl::string_view aKey,
        std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(KeyFingerprint(aWorkspace, aKey).high_ %
                                    aShards);
}

absl::optional<absl::Time>
KeyTime(absl::string_view aKey)
{
  constexpr std::size_t kLength = 36;
  constexpr std::size_t kVersionIndex = 14;
  constexpr std::size_t kVariantIndex = 19;
  constexpr absl::string_view kVariants = "89abAB";
  constexpr absl::string_view kUuidFormat =
    "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
  if (aKey.size() != kLength || aKey[kVersionIndex] != '7' ||
      kVariants.find(aKey[kVariantIndex]) == absl::string_view::npos) {
    return absl::nullopt;
  }
  for (std::size_t i = 0; i < kLength; ++i) {
    const bool fits =
      kUuidFormat[i] == '-'
        ? aKey[i] == '-'
        : absl::ascii_isxdigit(static_cast<unsigned char>(aKey[i]));
    if (!fits) {
      return absl::nullopt;
    }
  }
  std::uint64_t unixMs = 0;
  if (!absl::SimpleHexAtoi(absl::StrCat(aKey.substr(0, 8), aKey.substr(9, 4)),
                           &unixMs)) {
    return absl::nullopt;
  }
  return absl::FromUnixMillis(static_cast<std::int64_t>(unixMs));
}

} // namespace lycheeplank::claims
