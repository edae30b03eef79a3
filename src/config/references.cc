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

// Complains of the names that a map does not have.
template<typename Map>
void
CheckNames(Reader& aReader,
           const std::string& aPath,
           const std::vector<std::string>& aNames,
           const Map& aKnown,
           absl::string_view aSection)
{
  for (const auto& name : aNames) {
    if (name != "*" && !aKnown.contains(name)) {
      ComplainAt(aReader,
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
    CheckNames(aReader,
               EntryPath(name, "workspaces"),
               rule.workspaces_,
               aConfig.workspaces_,
               "workspaces");
    CheckNames(aReader,
               EntryPath(name, "models"),
               rule.models_,
               aConfig.models_,
               "models");
    CheckNames(aReader,
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
      CheckNames(aReader, path, { target.serves_ }, aConfig.models_, "models");
    } else {
      CheckNames(
        aReader, path, { target.serves_ }, aConfig.services_, "services");
    }
  }
}

using Owners = absl::flat_hash_map<std::string, std::string>;

// Complains if a URL was seen before; aOwners tells by whom.
void
CheckUrl(Reader& aReader,
         Owners& aOwners,
         const std::string& aName,
         const std::string& aUrl)
{
  if (aUrl.empty()) {
    return;
  }
  const auto [owner, isNew] =
    aOwners.emplace(absl::AsciiStrToLower(aUrl), aName);
  if (!isNew) {
    ComplainAt(aReader,
               EntryPath(aName, "url"),
               absl::StrCat(aUrl,
                            " is also the address of ",
                            owner->second,
                            "; each target and store needs its own"));
  }
}

void
CheckUrls(const Config& aConfig, std::vector<Reader>& aReaders)
{
  Owners owners;
  for (const auto& [name, target] : aConfig.targets_) {
    CheckUrl(
      ReaderOf(aReaders, SectionKind::Targets), owners, name, target.url_);
  }
  for (const auto& [name, store] : aConfig.stores_) {
    CheckUrl(ReaderOf(aReaders, SectionKind::Stores), owners, name, store.url_);
  }
}

void
CheckDigests(const Config& aConfig, Reader& aReader)
{
  Owners owners;
  for (const auto& [name, workspace] : aConfig.workspaces_) {
    for (const auto& digest : workspace.keyDigests_) {
      const auto [owner, isNew] = owners.emplace(digest, name);
      if (!isNew) {
        ComplainAt(aReader,
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
      ComplainAt(aReader,
                 EntryPath(name, "versions"),
                 "the shares sum to zero; give at least one version a share "
                 "above zero");
    }
    const Objective& objective = model.objective_;
    if (objective.ttftWeight_ + objective.recomputeWeight_ +
          objective.linkWeight_ <=
        0) {
      ComplainAt(aReader,
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
    ComplainAt(aReader,
               "values.claim_retention",
               absl::StrCat(absl::FormatDuration(aLimits.claimRetention_),
                            " is not longer than caller_retry_window, ",
                            absl::FormatDuration(aLimits.callerRetryWindow_),
                            "; a call that is repeated after the retention "
                            "might run twice"));
  }
  if (aLimits.defaultDeadline_ > aLimits.maxDeadline_) {
    ComplainAt(aReader,
               "values.default_deadline",
               "is longer than max_deadline; lower it or raise max_deadline");
  }
}

} // namespace

void
CheckReferences(const Config& aConfig, std::vector<Reader>& aReaders)
{
  CheckDigests(aConfig, ReaderOf(aReaders, SectionKind::Workspaces));
  CheckModels(aConfig, ReaderOf(aReaders, SectionKind::Models));
  CheckRules(aConfig, ReaderOf(aReaders, SectionKind::Rules));
  CheckTargets(aConfig, ReaderOf(aReaders, SectionKind::Targets));
  CheckUrls(aConfig, aReaders);
  CheckLimits(aConfig.limits_, ReaderOf(aReaders, SectionKind::Limits));
}

} // namespace lycheeplank::config
