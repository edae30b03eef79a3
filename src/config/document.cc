#include "lycheeplank/config.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace lycheeplank::config {

namespace {

// Prefix of the line that gives the revision of an exported document. The line
// belongs to no section.
constexpr absl::string_view kRevisionComment = "# revision:";

bool
IsBlankOrComment(absl::string_view aLine)
{
  const absl::string_view line = absl::StripLeadingAsciiWhitespace(aLine);
  return line.empty() || line[0] == '#';
}

// Returns whether a line is a document marker or a revision comment, which
// belong to no section.
bool
IsDiscardedLine(absl::string_view aLine)
{
  const absl::string_view line = absl::StripTrailingAsciiWhitespace(aLine);
  return line == "---" || line == "..." ||
         absl::StartsWith(line, kRevisionComment);
}

// Returns the key of a top-level "key: ..." line, or an empty view.
absl::string_view
TopLevelKey(absl::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == absl::string_view::npos) {
    return {};
  }
  for (const char character : aLine.substr(0, colon)) {
    if (!absl::ascii_isalnum(character) && character != '_' &&
        character != '-') {
      return {};
    }
  }
  const bool endsKey =
    colon + 1 == aLine.size() || absl::ascii_isspace(aLine[colon + 1]);
  return endsKey ? aLine.substr(0, colon) : absl::string_view();
}

// The state of Split.
struct Splitter
{
  Document document_;
  // Comments and blank lines, which belong to the next section if a section
  // follows, and else to the current one.
  std::string pending_;
  std::uint32_t pendingLine_ = 0;
  absl::flat_hash_set<std::string> seen_;
};

void
AddPendingLine(Splitter& aSplitter,
               absl::string_view aLine,
               std::uint32_t aNumber)
{
  if (aSplitter.pending_.empty()) {
    if (absl::StripAsciiWhitespace(aLine).empty()) {
      return;
    }
    aSplitter.pendingLine_ = aNumber;
  }
  absl::StrAppend(&aSplitter.pending_, aLine, "\n");
}

void
BeginSection(Splitter& aSplitter,
             absl::string_view aKey,
             absl::string_view aLine,
             std::uint32_t aNumber)
{
  AddPendingLine(aSplitter, aLine, aNumber);
  const std::string name(aKey);
  if (!core::ValueOf(kSections, aKey)) {
    aSplitter.document_.problems_.push_back(
      { name,
        aNumber,
        "",
        absl::StrCat("is not a section; allowed are ",
                     core::AllNames(kSections)) });
  } else if (!aSplitter.seen_.insert(name).second) {
    aSplitter.document_.problems_.push_back(
      { name, aNumber, "", "is given twice; put both into one section" });
  }
  aSplitter.document_.sections_.push_back(
    { name, "", std::move(aSplitter.pending_), aSplitter.pendingLine_ });
  aSplitter.pending_.clear();
}

void
AddLine(Splitter& aSplitter, absl::string_view aLine, std::uint32_t aNumber)
{
  auto& document = aSplitter.document_;
  if (IsDiscardedLine(aLine)) {
    return;
  }
  if (const auto key = TopLevelKey(aLine); !key.empty()) {
    BeginSection(aSplitter, key, aLine, aNumber);
    return;
  }
  if (IsBlankOrComment(aLine)) {
    AddPendingLine(aSplitter, aLine, aNumber);
    return;
  }
  if (document.sections_.empty() || !absl::ascii_isspace(aLine[0])) {
    document.problems_.push_back(
      { "",
        aNumber,
        "",
        absl::StrCat("a section like 'models:' has to start here, at the "
                     "first column; allowed are ",
                     core::AllNames(kSections)) });
    return;
  }
  absl::StrAppend(
    &document.sections_.back().text_, aSplitter.pending_, aLine, "\n");
  aSplitter.pending_.clear();
}

void
StripTrailingBlankLines(std::string& aText)
{
  while (absl::EndsWith(aText, "\n\n")) {
    aText.pop_back();
  }
}

} // namespace

Document
Split(absl::string_view aText)
{
  constexpr std::size_t kMaxSplitProblems = 20;
  Splitter splitter;
  if (aText.size() > kMaxDocumentBytes) {
    splitter.document_.problems_.push_back(
      { "",
        1,
        "",
        absl::StrCat("the document is longer than ",
                     kMaxDocumentBytes,
                     " bytes; shorten it") });
    return std::move(splitter.document_);
  }
  std::uint32_t number = 0;
  for (absl::string_view line : absl::StrSplit(aText, '\n')) {
    absl::ConsumeSuffix(&line, "\r");
    AddLine(splitter, line, ++number);
    if (splitter.document_.problems_.size() >= kMaxSplitProblems) {
      break;
    }
  }
  Document document = std::move(splitter.document_);
  if (!document.sections_.empty()) {
    document.sections_.back().text_ += splitter.pending_;
  }
  for (auto& section : document.sections_) {
    StripTrailingBlankLines(section.text_);
    section.owner_ = OwnerOf(section);
  }
  return document;
}

std::string
Join(const std::vector<Section>& aSections)
{
  std::string text;
  for (const auto& row : kSections) {
    for (const auto& section : aSections) {
      if (section.name_ == row.name_) {
        absl::StrAppend(&text, text.empty() ? "" : "\n", section.text_);
      }
    }
  }
  return text;
}

std::string
Describe(const Problem& aProblem)
{
  return absl::StrCat(aProblem.section_,
                      aProblem.section_.empty() ? "" : " ",
                      "line ",
                      aProblem.line_,
                      aProblem.field_.empty() ? "" : ", ",
                      aProblem.field_,
                      ": ",
                      aProblem.message_);
}

} // namespace lycheeplank::config
