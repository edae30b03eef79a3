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

// Returns the map of a configuration that holds the entries of a section.
template<typename Visit>
void
VisitEntries(SectionKind aKind, const Visit& aVisit)
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
      // Has values, which are few, in place of entries.
      break;
  }
}

using TextByName = absl::flat_hash_map<absl::string_view, absl::string_view>;

// Returns the texts of a section's entries if they are those of the entries
// that were read from it, else nothing.
template<typename Entries>
absl::optional<TextByName>
TextsOf(const SectionText& aSection, const Entries& aEntries)
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

// A section as it was checked before, and as it is now.
struct SectionChange
{
  SectionKind kind_ = SectionKind::Workspaces;
  const Section* before_ = nullptr;
  const Section* after_ = nullptr;
  const Config& configBefore_;
};

// Returns the section with only those entries that are new or have changed;
// aKept is told the names of all others.
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

// Reads the changed entries of a section into aConfig and takes the others
// over; false if the section has to be read as a whole.
template<typename Entries>
bool
CheckEntries(const SectionChange& aChange,
             Entries Config::*aMember,
             Config& aConfig)
{
  const auto& known = aChange.configBefore_.*aMember;
  const auto before = TakeApart(aChange.before_->text_);
  const auto after = TakeApart(aChange.after_->text_);
  if (!before || !after) {
    return false;
  }
  const auto texts = TextsOf(*before, known);
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
    entries.insert(*known.find(name));
  }
  return TextsOf(*after, entries).has_value();
}

// Reads one section as far as it has changed; false if that can't be done.
bool
CheckChange(const SectionChange& aChange, Config& aConfig)
{
  bool done = false;
  VisitEntries(aChange.kind_, [&](auto aMember) {
    if (aChange.before_->text_ == aChange.after_->text_) {
      aConfig.*aMember = aChange.configBefore_.*aMember;
      done = true;
      return;
    }
    done = CheckEntries(aChange, aMember, aConfig);
    if (!done) {
      (aConfig.*aMember).clear();
    }
  });
  return done;
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

// Returns the section of a name, or null.
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
  CheckResult checked;
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

CheckResult
CheckChanges(const std::vector<Section>& aSections,
             const std::vector<Section>& aBefore,
             const Config& aConfigBefore)
{
  CheckResult checked;
  std::vector<Reader> readers = MakeReaders();
  const auto sorted = SortSections(aSections, checked.problems_);
  for (const auto& row : kSections) {
    const auto index = static_cast<std::size_t>(row.value_);
    const auto* const after = sorted[index];
    if (after == nullptr) {
      continue;
    }
    const auto* const before = FindSection(aBefore, row.name_);
    if (before == nullptr ||
        !CheckChange({ row.value_, before, after, aConfigBefore },
                     checked.config_)) {
      CheckSection(readers[index], row.value_, *after, checked.config_);
    }
  }
  CheckReferences(checked.config_, readers);
  const bool sound =
    checked.problems_.empty() &&
    std::all_of(readers.begin(), readers.end(), [](const Reader& aReader) {
      return aReader.problems_.empty();
    });
  if (!sound) {
    // Only a reading of the whole knows the line of each problem.
    return Check(aSections);
  }
  BuildIndexes(checked.config_);
  return checked;
}

} // namespace lycheeplank::config
