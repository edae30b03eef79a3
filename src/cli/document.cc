#include "cli/document.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <istream>
#include <iterator>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include "cli/api_client.h"

namespace lycheeplank::cli {

namespace {

// Start of the comment that records the base revision.
constexpr absl::string_view kBaseCommentPrefix = "# revision:";
// Hexadecimal digits of a section's digest in the comment.
constexpr std::size_t kDigestDigits = 16;

// Returns the first digits of a text's SHA-256 digest.
std::string
ShortDigest(absl::string_view aText)
{
  return core::Sha256Hex(aText).substr(0, kDigestDigits);
}

// Parses the comment without its prefix: the revision, then words NAME=DIGEST.
absl::optional<BaseRevision>
ParseBaseComment(absl::string_view aLine)
{
  BaseRevision base;
  bool first = true;
  for (const absl::string_view word :
       absl::StrSplit(aLine, ' ', absl::SkipWhitespace())) {
    if (first) {
      if (!absl::SimpleAtoi(word, &base.revision_)) {
        return absl::nullopt;
      }
      first = false;
      continue;
    }
    const std::pair<std::string, std::string> pair =
      absl::StrSplit(word, absl::MaxSplits('=', 1));
    base.digests_.insert(pair);
  }
  return first ? absl::nullopt : absl::make_optional(base);
}

} // namespace

std::string
FormatBaseComment(std::uint64_t aRevision,
                  const std::vector<config::Section>& aSections)
{
  std::string line = absl::StrCat(kBaseCommentPrefix, " ", aRevision);
  for (const auto& section : aSections) {
    absl::StrAppend(&line, " ", section.name_, "=", ShortDigest(section.text_));
  }
  return line;
}

absl::optional<BaseRevision>
FindBaseComment(absl::string_view aText)
{
  for (absl::string_view line : absl::StrSplit(aText, '\n')) {
    if (absl::ConsumePrefix(&line, kBaseCommentPrefix)) {
      return ParseBaseComment(line);
    }
  }
  return absl::nullopt;
}

bool
IsEdited(const BaseRevision& aBase, const config::Section& aSection)
{
  const auto found = aBase.digests_.find(aSection.name_);
  return found == aBase.digests_.end() ||
         found->second != ShortDigest(aSection.text_);
}

core::Result<std::string>
ReadInput(const Console& aConsole, const std::string& aFile)
{
  using Characters = std::istreambuf_iterator<char>;
  if (aFile == "-") {
    return std::string(Characters(aConsole.in_), Characters());
  }
  std::ifstream file(aFile, std::ios::binary);
  if (!file) {
    return FailWith(
      { ExitCode::Failed,
        absl::StrCat(aFile, ": ", std::strerror(errno)),
        "Give the path of a document, or - for the standard input." });
  }
  return std::string(Characters(file), Characters());
}

} // namespace lycheeplank::cli
