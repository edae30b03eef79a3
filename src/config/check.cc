#include <algorithm>
#include <iterator>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/types/optional.h>

#include "config/entries.h"
#include "config/schema.h"
#include "config/yaml_events.h"

namespace lycheeplank::config {

namespace {

// The owner of a section and the YAML node of its entries or values.
struct SectionBody
{
  std::string owner_;
  YAML::Node content_;
};

// Parses the text of a section. Adds a problem and returns an undefined node if
// it is not valid YAML.
YAML::Node
ParseYaml(Reader& aReader, const std::string& aText)
{
  try {
    // An alias requires an anchor, so a text without "&" needs no check and is
    // parsed only once.
    if (absl::StrContains(aText, "&")) {
      RejectAliases(aText);
    }
    return YAML::Load(aText);
  } catch (const YAML::Exception& exception) {
    const int line = exception.mark.line;
    AddProblem(aReader,
               aReader.firstLine_ +
                 (line > 0 ? static_cast<unsigned>(line) : 0),
               "",
               absl::StrCat("is not valid YAML: ", exception.msg));
    return YAML::Node(YAML::NodeType::Undefined);
  }
}

const Fields<SectionBody>&
BodyFields(SectionKind aKind)
{
  const auto make = [](absl::string_view aContent) {
    return new Fields<SectionBody>{
      { "owner",
        [](Reader& aReader, const LocatedNode& aLocated, SectionBody& aOut) {
          ReadName(aReader, aLocated, aOut.owner_);
        },
        true },
      { aContent,
        [](Reader& /*aReader*/,
           const LocatedNode& aLocated,
           SectionBody& aOut) { aOut.content_.reset(aLocated.node_); } },
    };
  };
  static const auto* const ofEntries = make("entries");
  static const auto* const ofLimits = make("values");
  return aKind == SectionKind::Limits ? *ofLimits : *ofEntries;
}

// Returns the node below the section's key, or adds a problem.
YAML::Node
SectionContent(Reader& aReader, const Section& aSection)
{
  const YAML::Node root = ParseYaml(aReader, aSection.text_);
  if (!aReader.problems_.empty()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  if (!root.IsMap() || root.size() != 1 || !root.begin()->first.IsScalar() ||
      root.begin()->first.Scalar() != aSection.name_) {
    AddProblem(aReader,
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
  const YAML::Node node = SectionContent(aReader, aSection);
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

// Calls aVisit with a pointer to the member of Config that holds the entries of
// a section.
template<typename Visit>
void
VisitEntryMap(SectionKind aKind, const Visit& aVisit)
{
  switch (aKind) {
    case SectionKind::Workspaces:
      aVisit(&Config::workspaces_);
      break;
    case SectionKind::Models:
      aVisit(&Config::models_);
      break;
    case SectionKind::Services:
      aVisit(&Config::services_);
      break;
    case SectionKind::Rules:
      aVisit(&Config::rules_);
      break;
    case SectionKind::Targets:
      aVisit(&Config::targets_);
      break;
    case SectionKind::Stores:
      aVisit(&Config::stores_);
      break;
    case SectionKind::Limits:
      // This section has a few values and no entries.
      break;
  }
}

using TextByName = absl::flat_hash_map<absl::string_view, absl::string_view>;

// Returns the texts of a section's entries by name, or nothing if their names
// differ from the names of the parsed entries.
template<typename Entries>
absl::optional<TextByName>
EntryTexts(const SectionText& aSection, const Entries& aEntries)
{
  TextByName texts;
  for (const auto& entry : aSection.entries_) {
    texts.emplace(entry.name_, entry.text_);
  }
  const bool same =
    texts.size() == aSection.entries_.size() &&
    texts.size() == aEntries.size() &&
    std::all_of(aEntries.begin(), aEntries.end(), [&](const auto& aEntry) {
      return texts.contains(aEntry.first);
    });
  return same ? absl::make_optional(std::move(texts)) : absl::nullopt;
}

// The previously checked and the new text of a section.
struct SectionChange
{
  SectionKind kind_ = SectionKind::Workspaces;
  const Section* before_ = nullptr;
  const Section* after_ = nullptr;
  const Config& configBefore_;
};

// Returns the section's text with only the new and changed entries. Adds the
// names of all others to aKept.
std::string
ChangedText(const SectionText& aAfter,
            const TextByName& aBefore,
            std::vector<std::string>& aKept)
{
  std::string text(aAfter.head_);
  for (const auto& entry : aAfter.entries_) {
    const auto found = aBefore.find(entry.name_);
    if (found != aBefore.end() && found->second == entry.text_) {
      aKept.emplace_back(entry.name_);
    } else {
      absl::StrAppend(&text, entry.text_);
    }
  }
  return text;
}

// Parses the changed entries of a section into aConfig and copies the others
// from the previous configuration. Returns false if the whole section has to be
// parsed.
template<typename Entries>
bool
CheckChangedEntries(const SectionChange& aChange,
                    Entries Config::*aMember,
                    Config& aConfig)
{
  const auto& entriesBefore = aChange.configBefore_.*aMember;
  const auto before = SplitEntries(aChange.before_->text_);
  const auto after = SplitEntries(aChange.after_->text_);
  if (!before || !after) {
    return false;
  }
  const auto texts = EntryTexts(*before, entriesBefore);
  if (!texts) {
    return false;
  }
  std::vector<std::string> kept;
  Section changed = *aChange.after_;
  changed.text_ = ChangedText(*after, *texts, kept);
  Reader reader;
  reader.section_ = changed.name_;
  auto& entries = aConfig.*aMember;
  CheckSection(reader, aChange.kind_, changed, aConfig);
  if (!reader.problems_.empty() ||
      entries.size() + kept.size() != after->entries_.size()) {
    return false;
  }
  for (const auto& name : kept) {
    entries.insert(*entriesBefore.find(name));
  }
  return EntryTexts(*after, entries).has_value();
}

// Parses only the changes of a section. Returns false if the whole section has
// to be parsed.
bool
CheckSectionChange(const SectionChange& aChange, Config& aConfig)
{
  bool done = false;
  VisitEntryMap(aChange.kind_, [&](auto aMember) {
    if (aChange.before_->text_ == aChange.after_->text_) {
      aConfig.*aMember = aChange.configBefore_.*aMember;
      done = true;
      return;
    }
    done = CheckChangedEntries(aChange, aMember, aConfig);
    if (!done) {
      (aConfig.*aMember).clear();
    }
  });
  return done;
}

// Returns one reader for each section, in the order of kSections.
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

// Returns the sections in the order of kSections, with null for missing ones.
// Adds a problem for each unknown or repeated section.
std::vector<const Section*>
IndexSections(const std::vector<Section>& aSections,
              std::vector<Problem>& aProblems)
{
  std::vector<const Section*> byKind(kSections.size(), nullptr);
  for (const auto& section : aSections) {
    const auto kind = core::ValueOf(kSections, section.name_);
    if (!kind) {
      aProblems.push_back({ section.name_,
                            section.line_,
                            "",
                            absl::StrCat("is not a section; allowed are ",
                                         core::AllNames(kSections)) });
      continue;
    }
    auto& slot = byKind[static_cast<std::size_t>(*kind)];
    if (slot != nullptr) {
      aProblems.push_back({ section.name_,
                            section.line_,
                            "",
                            "is given twice; put both into one" });
      continue;
    }
    slot = &section;
  }
  return byKind;
}

// Returns the section with a name, or null.
const Section*
FindSection(const std::vector<Section>& aSections, absl::string_view aName)
{
  const auto found =
    std::find_if(aSections.begin(), aSections.end(), [&](const auto& aSection) {
      return aSection.name_ == aName;
    });
  return found == aSections.end() ? nullptr : &*found;
}

} // namespace

CheckResult
Check(const std::vector<Section>& aSections)
{
  CheckResult result;
  std::vector<Reader> readers = MakeReaders();
  const auto byKind = IndexSections(aSections, result.problems_);
  for (const auto& row : kSections) {
    const auto index = static_cast<std::size_t>(row.value_);
    if (const auto* const section = byKind[index]; section != nullptr) {
      readers[index].firstLine_ = section->line_;
      CheckSection(readers[index], row.value_, *section, result.config_);
    }
  }
  CheckReferences(result.config_, readers);
  for (auto& reader : readers) {
    std::move(reader.problems_.begin(),
              reader.problems_.end(),
              std::back_inserter(result.problems_));
  }
  BuildIndexes(result.config_);
  return result;
}

CheckResult
CheckChanges(const std::vector<Section>& aSections,
             const std::vector<Section>& aBefore,
             const Config& aConfigBefore)
{
  CheckResult result;
  std::vector<Reader> readers = MakeReaders();
  const auto byKind = IndexSections(aSections, result.problems_);
  for (const auto& row : kSections) {
    const auto index = static_cast<std::size_t>(row.value_);
    const auto* const after = byKind[index];
    if (after == nullptr) {
      continue;
    }
    const auto* const before = FindSection(aBefore, row.name_);
    if (before == nullptr ||
        !CheckSectionChange({ row.value_, before, after, aConfigBefore },
                            result.config_)) {
      CheckSection(readers[index], row.value_, *after, result.config_);
    }
  }
  CheckReferences(result.config_, readers);
  const bool valid =
    result.problems_.empty() &&
    std::all_of(readers.begin(), readers.end(), [](const Reader& aReader) {
      return aReader.problems_.empty();
    });
  if (!valid) {
    // The line numbers of problems are correct only if the whole document is
    // parsed.
    return Check(aSections);
  }
  BuildIndexes(result.config_);
  return result;
}

} // namespace lycheeplank::config
