#include <algorithm>
#include <iterator>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "config/schema.h"
#include "config/yaml_events.h"

namespace lycheeplank::config {

namespace {

// One section's mapping of owner and content.
struct SectionBody
{
  std::string owner_;
  YAML::Node content_;
};

// Returns the parsed text of a section, or notes why it can't be parsed.
YAML::Node
Parse(Reader& aReader, const std::string& aText)
{
  try {
    // An alias needs an anchor, so most texts are parsed only once.
    if (absl::StrContains(aText, "&")) {
      RefuseAliases(aText);
    }
    return YAML::Load(aText);
  } catch (const YAML::Exception& problem) {
    const int line = problem.mark.line;
    Complain(aReader,
             aReader.firstLine_ + (line > 0 ? static_cast<unsigned>(line) : 0),
             "",
             absl::StrCat("is no YAML: ", problem.msg));
    return YAML::Node(YAML::NodeType::Undefined);
  }
}

const Fields<SectionBody>&
BodyFields(SectionKind aKind)
{
  const auto make = [](absl::string_view aContent) {
    return new Fields<SectionBody>{
      { "owner",
        [](Reader& aReader, const Place& aPlace, SectionBody& aOut) {
          ReadName(aReader, aPlace, aOut.owner_);
        },
        true },
      { aContent,
        [](Reader& /*aReader*/, const Place& aPlace, SectionBody& aOut) {
          aOut.content_.reset(aPlace.node_);
        } },
    };
  };
  static const auto* const ofEntries = make("entries");
  static const auto* const ofLimits = make("values");
  return aKind == SectionKind::Limits ? *ofLimits : *ofEntries;
}

// Returns the node below the section's own key.
YAML::Node
Unwrap(Reader& aReader, const Section& aSection)
{
  const YAML::Node root = Parse(aReader, aSection.text_);
  if (!aReader.problems_.empty()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  if (!root.IsMap() || root.size() != 1 || !root.begin()->first.IsScalar() ||
      root.begin()->first.Scalar() != aSection.name_) {
    Complain(aReader,
             LineOf(aReader, root),
             "",
             absl::StrCat("the text has to hold the key '",
                          aSection.name_,
                          ":' and nothing else at the first column"));
    return YAML::Node(YAML::NodeType::Undefined);
  }
  return root.begin()->second;
}

void
CheckSection(Reader& aReader,
             SectionKind aKind,
             const Section& aSection,
             Config& aConfig)
{
  const YAML::Node node = Unwrap(aReader, aSection);
  if (!aReader.problems_.empty()) {
    return;
  }
  SectionBody body;
  ReadFields(aReader, { "", node }, BodyFields(aKind), body);
  if (body.content_.IsNull()) {
    return;
  }
  const std::string path = aKind == SectionKind::Limits ? "values" : "entries";
  ReadSection(aReader, aKind, { path, body.content_ }, aConfig);
}

// Returns a reader for each row of kSections.
std::vector<Reader>
MakeReaders()
{
  std::vector<Reader> readers;
  for (const auto& row : kSections) {
    Reader reader;
    reader.section_ = std::string(row.name_);
    readers.push_back(std::move(reader));
  }
  return readers;
}

// Finds the reader of each section; notes unknown and repeated sections.
std::vector<const Section*>
SortSections(const std::vector<Section>& aSections,
             std::vector<Problem>& aProblems)
{
  std::vector<const Section*> sorted(kSections.size(), nullptr);
  for (const auto& section : aSections) {
    const auto kind = core::ValueOf(kSections, section.name_);
    if (!kind) {
      aProblems.push_back({ section.name_,
                            section.line_,
                            "",
                            absl::StrCat("is no section; allowed are ",
                                         core::AllNames(kSections)) });
      continue;
    }
    auto& place = sorted[static_cast<std::size_t>(*kind)];
    if (place != nullptr) {
      aProblems.push_back({ section.name_,
                            section.line_,
                            "",
                            "is given twice; put both into one" });
      continue;
    }
    place = &section;
  }
  return sorted;
}

} // namespace

Checked
Check(const std::vector<Section>& aSections)
{
  Checked checked;
  std::vector<Reader> readers = MakeReaders();
  const auto sorted = SortSections(aSections, checked.problems_);
  for (const auto& row : kSections) {
    const auto index = static_cast<std::size_t>(row.value_);
    if (const auto* const section = sorted[index]; section != nullptr) {
      readers[index].firstLine_ = section->line_;
      CheckSection(readers[index], row.value_, *section, checked.config_);
    }
  }
  CheckReferences(checked.config_, readers);
  for (auto& reader : readers) {
    std::move(reader.problems_.begin(),
              reader.problems_.end(),
              std::back_inserter(checked.problems_));
  }
  BuildIndexes(checked.config_);
  return checked;
}

} // namespace lycheeplank::config
