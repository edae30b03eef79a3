#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include "config/schema.h"

namespace lycheeplank::config {

namespace {

Reader&
ReaderOf(std::vector<Reader>& aReaders, SectionKind aKind)
{
  return aReaders[static_cast<std::size_t>(aKind)];
}

std::string
EntryPath(const std::string& aName, absl::string_view aField)
{
  return absl::StrCat("entries.", aName, ".", aField);
}

// Adds a problem for each name that a section does not contain.
template<typename Map>
void
CheckNamesExist(Reader& aReader,
                const std::string& aPath,
                const std::vector<std::string>& aNames,
                const Map& aKnown,
                absl::string_view aSection)
{
  for (const auto& name : aNames) {
    if (name != "*" && !aKnown.contains(name)) {
      AddFieldProblem(aReader,
                      aPath,
                      absl::StrCat("'",
                                   name,
                                   "' is not in section ",
                                   aSection,
                                   "; add it there or correct the name"));
    }
  }
}

void
CheckRules(const Config& aConfig, Reader& aReader)
{
  for (const auto& [name, rule] : aConfig.rules_) {
    CheckNamesExist(aReader,
                    EntryPath(name, "workspaces"),
                    rule.workspaces_,
                    aConfig.workspaces_,
                    "workspaces");
    CheckNamesExist(aReader,
                    EntryPath(name, "models"),
                    rule.models_,
                    aConfig.models_,
                    "models");
    CheckNamesExist(aReader,
                    EntryPath(name, "services"),
                    rule.services_,
                    aConfig.services_,
                    "services");
  }
}

void
CheckTargets(const Config& aConfig, Reader& aReader)
{
  for (const auto& [name, target] : aConfig.targets_) {
    if (target.serves_.empty()) {
      continue;
    }
    const std::string path = EntryPath(name, "serves");
    if (target.kind_ == TargetKind::Engine) {
      CheckNamesExist(
        aReader, path, { target.serves_ }, aConfig.models_, "models");
    } else {
      CheckNamesExist(
        aReader, path, { target.serves_ }, aConfig.services_, "services");
    }
  }
}

// Maps a value that must be unique, such as a URL, to the entry that has it.
using EntryByValue = absl::flat_hash_map<std::string, std::string>;

// Adds a problem if another entry has the same URL. aEntryByValue maps each URL
// to the entry that has it.
void
CheckUrlUnique(Reader& aReader,
               EntryByValue& aEntryByValue,
               const std::string& aName,
               const std::string& aUrl)
{
  if (aUrl.empty()) {
    return;
  }
  const auto [owner, isNew] =
    aEntryByValue.emplace(absl::AsciiStrToLower(aUrl), aName);
  if (!isNew) {
    AddFieldProblem(aReader,
                    EntryPath(aName, "url"),
                    absl::StrCat(aUrl,
                                 " is also the address of ",
                                 owner->second,
                                 "; each target and store needs its own"));
  }
}

void
CheckUrlsUnique(const Config& aConfig, std::vector<Reader>& aReaders)
{
  EntryByValue entryByValue;
  for (const auto& [name, target] : aConfig.targets_) {
    CheckUrlUnique(ReaderOf(aReaders, SectionKind::Targets),
                   entryByValue,
                   name,
                   target.url_);
  }
  for (const auto& [name, store] : aConfig.stores_) {
    CheckUrlUnique(
      ReaderOf(aReaders, SectionKind::Stores), entryByValue, name, store.url_);
  }
}

void
CheckKeyDigestsUnique(const Config& aConfig, Reader& aReader)
{
  EntryByValue entryByValue;
  for (const auto& [name, workspace] : aConfig.workspaces_) {
    for (const auto& digest : workspace.keyDigests_) {
      const auto [owner, isNew] = entryByValue.emplace(digest, name);
      if (!isNew) {
        AddFieldProblem(aReader,
                        EntryPath(name, "key_digests"),
                        absl::StrCat(digest,
                                     " is already a key of workspace ",
                                     owner->second,
                                     "; each key belongs to one workspace"));
      }
    }
  }
}

void
CheckModels(const Config& aConfig, Reader& aReader)
{
  for (const auto& [name, model] : aConfig.models_) {
    double sum = 0;
    for (const auto& version : model.versions_) {
      sum += version.share_;
    }
    if (sum <= 0) {
      AddFieldProblem(
        aReader,
        EntryPath(name, "versions"),
        "the shares sum to zero; give at least one version a share "
        "above zero");
    }
    const Objective& objective = model.objective_;
    if (objective.ttftWeight_ + objective.recomputeWeight_ +
          objective.linkWeight_ <=
        0) {
      AddFieldProblem(
        aReader,
        EntryPath(name, "objective"),
        "the weights sum to zero; give at least one a value above "
        "zero");
    }
  }
}

void
CheckLimits(const Limits& aLimits, Reader& aReader)
{
  if (aLimits.claimRetention_ <= aLimits.callerRetryWindow_) {
    AddFieldProblem(
      aReader,
      "values.claim_retention",
      absl::StrCat(absl::FormatDuration(aLimits.claimRetention_),
                   " is not longer than caller_retry_window, ",
                   absl::FormatDuration(aLimits.callerRetryWindow_),
                   "; a call that is repeated after the retention "
                   "might run twice"));
  }
  if (aLimits.defaultDeadline_ > aLimits.maxDeadline_) {
    AddFieldProblem(
      aReader,
      "values.default_deadline",
      "is longer than max_deadline; lower it or raise max_deadline");
  }
}

} // namespace

void
CheckReferences(const Config& aConfig, std::vector<Reader>& aReaders)
{
  CheckKeyDigestsUnique(aConfig, ReaderOf(aReaders, SectionKind::Workspaces));
  CheckModels(aConfig, ReaderOf(aReaders, SectionKind::Models));
  CheckRules(aConfig, ReaderOf(aReaders, SectionKind::Rules));
  CheckTargets(aConfig, ReaderOf(aReaders, SectionKind::Targets));
  CheckUrlsUnique(aConfig, aReaders);
  CheckLimits(aConfig.limits_, ReaderOf(aReaders, SectionKind::Limits));
}

} // namespace lycheeplank::config
