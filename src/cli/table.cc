#include "cli/table.h"

#include <algorithm>
#include <cstdint>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::cli {

namespace {

constexpr std::size_t kColumnGap = 2;
// Larger differences are shown as one whole block, since the comparison needs
// memory for the product of the two numbers of lines.
constexpr std::size_t kMaxComparedCells = 4000000;

using Lines = std::vector<absl::string_view>;

Lines
LinesOf(absl::string_view aText)
{
  absl::ConsumeSuffix(&aText, "\n");
  return aText.empty() ? Lines() : Lines(absl::StrSplit(aText, '\n'));
}

// The lines between the common beginning and the common end of two texts.
struct Middle
{
  Lines old_;
  Lines new_;
  // Lines before the middle.
  std::size_t skipped_ = 0;
};

Middle
MiddleOf(const Lines& aOld, const Lines& aNew)
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

// Lengths of the longest common subsequences of all pairs of tails.
struct CommonLengths
{
  std::size_t columns_ = 0;
  std::vector<std::uint32_t> cells_;

  std::uint32_t& At(std::size_t aOld, std::size_t aNew)
  {
    return cells_[aOld * columns_ + aNew];
  }
};

CommonLengths
Measure(const Middle& aMiddle)
{
  CommonLengths lengths;
  lengths.columns_ = aMiddle.new_.size() + 1;
  lengths.cells_.resize((aMiddle.old_.size() + 1) * lengths.columns_);
  for (std::size_t i = aMiddle.old_.size(); i-- > 0;) {
    for (std::size_t j = aMiddle.new_.size(); j-- > 0;) {
      lengths.At(i, j) =
        aMiddle.old_[i] == aMiddle.new_[j]
          ? lengths.At(i + 1, j + 1) + 1
          : std::max(lengths.At(i + 1, j), lengths.At(i, j + 1));
    }
  }
  return lengths;
}

std::string
Heading(std::size_t aOld, std::size_t aNew)
{
  return absl::StrCat("@@ -", aOld + 1, " +", aNew + 1, " @@\n");
}

void
AppendLine(std::string& aText, char aMark, absl::string_view aLine)
{
  absl::StrAppend(&aText, absl::string_view(&aMark, 1), Printable(aLine), "\n");
}

std::string
AsOneBlock(const Middle& aMiddle)
{
  std::string text = Heading(aMiddle.skipped_, aMiddle.skipped_);
  for (const auto line : aMiddle.old_) {
    AppendLine(text, '-', line);
  }
  for (const auto line : aMiddle.new_) {
    AppendLine(text, '+', line);
  }
  return text;
}

std::string
AsRuns(const Middle& aMiddle)
{
  CommonLengths lengths = Measure(aMiddle);
  std::string text;
  bool inRun = false;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < aMiddle.old_.size() || j < aMiddle.new_.size()) {
    const bool oldLeft = i < aMiddle.old_.size();
    const bool newLeft = j < aMiddle.new_.size();
    if (oldLeft && newLeft && aMiddle.old_[i] == aMiddle.new_[j]) {
      ++i;
      ++j;
      inRun = false;
      continue;
    }
    if (!inRun) {
      text += Heading(aMiddle.skipped_ + i, aMiddle.skipped_ + j);
      inRun = true;
    }
    if (oldLeft && (!newLeft || lengths.At(i + 1, j) >= lengths.At(i, j + 1))) {
      AppendLine(text, '-', aMiddle.old_[i++]);
    } else {
      AppendLine(text, '+', aMiddle.new_[j++]);
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
Printable(absl::string_view aText)
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
  const Middle middle = MiddleOf(LinesOf(aOld), LinesOf(aNew));
  if (middle.old_.empty() && middle.new_.empty()) {
    return "";
  }
  const std::size_t cells = (middle.old_.size() + 1) * (middle.new_.size() + 1);
  return cells > kMaxComparedCells ? AsOneBlock(middle) : AsRuns(middle);
}

} // namespace lycheeplank::cli
