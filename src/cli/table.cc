#include "cli/table.h"

#include <algorithm>
#include <cstdint>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::cli {

namespace {

// Spaces between two columns.
constexpr std::size_t kColumnGap = 2;
// Limit of the table of common subsequence lengths, whose size is the product
// of the two numbers of lines. Larger differences are shown as one hunk to save
// its memory.
constexpr std::size_t kMaxLcsCells = 4000000;

using Lines = std::vector<absl::string_view>;

// Splits a text into lines without their line ends.
Lines
SplitLines(absl::string_view aText)
{
  absl::ConsumeSuffix(&aText, "\n");
  return aText.empty() ? Lines() : Lines(absl::StrSplit(aText, '\n'));
}

// The lines between the common first lines and the common last lines of two
// texts.
struct ChangedRegion
{
  Lines old_;
  Lines new_;
  // Number of common lines before the region.
  std::size_t commonPrefixLines_ = 0;
};

// Removes the common first and last lines of two texts.
ChangedRegion
TrimCommonLines(const Lines& aOld, const Lines& aNew)
{
  const std::size_t shorter = std::min(aOld.size(), aNew.size());
  std::size_t front = 0;
  while (front < shorter && aOld[front] == aNew[front]) {
    ++front;
  }
  std::size_t back = 0;
  while (back < shorter - front &&
         aOld[aOld.size() - 1 - back] == aNew[aNew.size() - 1 - back]) {
    ++back;
  }
  const auto cut = [&](const Lines& aLines) {
    return Lines(aLines.begin() + static_cast<std::ptrdiff_t>(front),
                 aLines.end() - static_cast<std::ptrdiff_t>(back));
  };
  return { cut(aOld), cut(aNew), front };
}

// Lengths of the longest common subsequence (LCS) of each pair of suffixes of
// the old and the new lines.
struct LcsLengths
{
  std::size_t columns_ = 0;
  std::vector<std::uint32_t> cells_;

  // Returns the length for the suffixes that start at aOld and aNew.
  std::uint32_t& At(std::size_t aOld, std::size_t aNew)
  {
    return cells_[aOld * columns_ + aNew];
  }
};

// Computes the lengths by dynamic programming, from the last lines to the
// first.
LcsLengths
ComputeLcsLengths(const ChangedRegion& aRegion)
{
  LcsLengths lengths;
  lengths.columns_ = aRegion.new_.size() + 1;
  lengths.cells_.resize((aRegion.old_.size() + 1) * lengths.columns_);
  for (std::size_t i = aRegion.old_.size(); i-- > 0;) {
    for (std::size_t j = aRegion.new_.size(); j-- > 0;) {
      lengths.At(i, j) =
        aRegion.old_[i] == aRegion.new_[j]
          ? lengths.At(i + 1, j + 1) + 1
          : std::max(lengths.At(i + 1, j), lengths.At(i, j + 1));
    }
  }
  return lengths;
}

// Returns the header of a hunk that starts at the given zero-based lines.
std::string
HunkHeader(std::size_t aOld, std::size_t aNew)
{
  return absl::StrCat("@@ -", aOld + 1, " +", aNew + 1, " @@\n");
}

// Appends a line after its mark, "-" or "+".
void
AppendLine(std::string& aText, char aMark, absl::string_view aLine)
{
  absl::StrAppend(
    &aText, absl::string_view(&aMark, 1), MakePrintable(aLine), "\n");
}

// Formats the region as a single hunk without looking for common lines in it.
std::string
FormatOneHunk(const ChangedRegion& aRegion)
{
  std::string text =
    HunkHeader(aRegion.commonPrefixLines_, aRegion.commonPrefixLines_);
  for (const auto line : aRegion.old_) {
    AppendLine(text, '-', line);
  }
  for (const auto line : aRegion.new_) {
    AppendLine(text, '+', line);
  }
  return text;
}

// Formats the region as hunks that are separated by common lines.
std::string
FormatHunks(const ChangedRegion& aRegion)
{
  LcsLengths lengths = ComputeLcsLengths(aRegion);
  std::string text;
  bool inHunk = false;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < aRegion.old_.size() || j < aRegion.new_.size()) {
    const bool oldLeft = i < aRegion.old_.size();
    const bool newLeft = j < aRegion.new_.size();
    if (oldLeft && newLeft && aRegion.old_[i] == aRegion.new_[j]) {
      ++i;
      ++j;
      inHunk = false;
      continue;
    }
    if (!inHunk) {
      text += HunkHeader(aRegion.commonPrefixLines_ + i,
                         aRegion.commonPrefixLines_ + j);
      inHunk = true;
    }
    if (oldLeft && (!newLeft || lengths.At(i + 1, j) >= lengths.At(i, j + 1))) {
      AppendLine(text, '-', aRegion.old_[i++]);
    } else {
      AppendLine(text, '+', aRegion.new_[j++]);
    }
  }
  return text;
}

} // namespace

std::string
FormatTable(const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    absl::StrAppend(&text, absl::StripTrailingAsciiWhitespace(line), "\n");
  }
  return text;
}

std::string
MakePrintable(absl::string_view aText)
{
  std::string text(aText);
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aChar) { return absl::ascii_iscntrl(aChar) && aChar != '\t'; },
    '?');
  return text;
}

std::string
DiffLines(absl::string_view aOld, absl::string_view aNew)
{
  const ChangedRegion region =
    TrimCommonLines(SplitLines(aOld), SplitLines(aNew));
  if (region.old_.empty() && region.new_.empty()) {
    return "";
  }
  const std::size_t cells = (region.old_.size() + 1) * (region.new_.size() + 1);
  return cells > kMaxLcsCells ? FormatOneHunk(region) : FormatHunks(region);
}

} // namespace lycheeplank::cli
