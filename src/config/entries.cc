#include "config/entries.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>

namespace lycheeplank::config {

namespace {

constexpr absl::string_view kEntriesKey = "entries";

// A line of a text, with its byte range and its indentation.
struct Line
{
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::size_t indent_ = 0;
  // The line without indentation and trailing white space.
  absl::string_view content_;
};

Line
LineAt(absl::string_view aText, std::size_t aBegin)
{
  Line line;
  line.begin_ = aBegin;
  const std::size_t newline = aText.find('\n', aBegin);
  line.end_ = newline == absl::string_view::npos ? aText.size() : newline + 1;
  const auto whole = aText.substr(aBegin, line.end_ - aBegin);
  const std::size_t indent = whole.find_first_not_of(' ');
  line.indent_ = indent == absl::string_view::npos ? whole.size() : indent;
  line.content_ =
    absl::StripTrailingAsciiWhitespace(whole.substr(line.indent_));
  return line;
}

bool
IsBlankOrComment(const Line& aLine)
{
  return aLine.content_.empty() || aLine.content_[0] == '#';
}

// Returns the unquoted key at the start of a line, or an empty view.
absl::string_view
KeyOf(const Line& aLine)
{
  const std::size_t colon = aLine.content_.find(':');
  if (colon == absl::string_view::npos ||
      (colon + 1 < aLine.content_.size() && aLine.content_[colon + 1] != ' ')) {
    return {};
  }
  const auto key = aLine.content_.substr(0, colon);
  const bool plain =
    key.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                          "0123456789._-") == absl::string_view::npos;
  return plain ? key : absl::string_view();
}

// Returns the first line that consists of "entries:", or nothing.
absl::optional<Line>
FindEntriesLine(absl::string_view aText)
{
  for (std::size_t at = 0; at < aText.size();) {
    const Line line = LineAt(aText, at);
    if (line.indent_ > 0 && KeyOf(line) == kEntriesKey &&
        line.content_.size() == kEntriesKey.size() + 1) {
      return line;
    }
    at = line.end_;
  }
  return absl::nullopt;
}

} // namespace

absl::optional<SectionText>
SplitEntries(absl::string_view aText)
{
  const auto entries = FindEntriesLine(aText);
  if (!entries) {
    return absl::nullopt;
  }
  SectionText section;
  section.head_ = aText.substr(0, entries->end_);
  std::size_t indent = 0;
  for (std::size_t at = entries->end_; at < aText.size();) {
    const Line line = LineAt(aText, at);
    at = line.end_;
    if (IsBlankOrComment(line) || (indent != 0 && line.indent_ > indent)) {
      continue;
    }
    indent = indent == 0 ? line.indent_ : indent;
    const auto key = KeyOf(line);
    if (line.indent_ != indent || indent <= entries->indent_ || key.empty()) {
      return absl::nullopt;
    }
    section.entries_.push_back({ key, aText.substr(line.begin_) });
  }
  for (std::size_t i = 0; i + 1 < section.entries_.size(); ++i) {
    auto& text = section.entries_[i].text_;
    text = text.substr(0,
                       static_cast<std::size_t>(
                         section.entries_[i + 1].text_.data() - text.data()));
  }
  return section;
}

} // namespace lycheeplank::config
