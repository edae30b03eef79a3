#include "lycheeplank/resume.h"

#include <vector>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "lycheeplank/core.h"

namespace lycheeplank::resume {

namespace {

// 128 bits of the signature are kept.
constexpr std::size_t kSignatureDigits = 32;
constexpr char kSeparator = '.';
// Part count of a token: workspace, target, run, request, index, signature.
constexpr std::size_t kParts = 6;

std::string
Sign(absl::string_view aSecret, absl::string_view aText)
{
  return core::HmacSha256Hex(aSecret, aText).substr(0, kSignatureDigits);
}

// The workspace stands as a digest, so that a token tells nothing of it.
std::string
WorkspaceMark(absl::string_view aSecret, absl::string_view aWorkspace)
{
  return Sign(aSecret, absl::StrCat("workspace:", aWorkspace));
}

} // namespace

Signer::Signer(std::string aSecret, const Position& aStart)
  : secret_(std::move(aSecret))
  , prefix_(absl::StrCat(WorkspaceMark(secret_, aStart.workspace_),
                         ".",
                         absl::WebSafeBase64Escape(aStart.target_),
                         ".",
                         absl::WebSafeBase64Escape(aStart.runId_),
                         ".",
                         absl::WebSafeBase64Escape(aStart.requestId_),
                         "."))
{
}

std::string
Signer::TokenAt(std::uint64_t aIndex) const
{
  std::string text = absl::StrCat(prefix_, aIndex);
  const std::string signature = Sign(secret_, text);
  return absl::StrCat(text, ".", signature);
}

absl::optional<Position>
Verify(absl::string_view aSecret,
       absl::string_view aWorkspace,
       absl::string_view aToken)
{
  const std::vector<absl::string_view> parts =
    absl::StrSplit(aToken, kSeparator);
  if (parts.size() != kParts) {
    return absl::nullopt;
  }
  const absl::string_view signature = parts.back();
  const absl::string_view text =
    aToken.substr(0, aToken.size() - signature.size() - 1);
  const bool genuine =
    core::EqualConstantTime(signature, Sign(aSecret, text)) &&
    core::EqualConstantTime(parts[0], WorkspaceMark(aSecret, aWorkspace));
  Position position;
  position.workspace_ = std::string(aWorkspace);
  if (!genuine || !absl::WebSafeBase64Unescape(parts[1], &position.target_) ||
      !absl::WebSafeBase64Unescape(parts[2], &position.runId_) ||
      !absl::WebSafeBase64Unescape(parts[3], &position.requestId_) ||
      !absl::SimpleAtoi(parts[4], &position.index_)) {
    return absl::nullopt;
  }
  return position;
}

} // namespace lycheeplank::resume
