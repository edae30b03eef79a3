#include "config/proposal.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "config/sync_internal.h"

namespace lycheeplank::config {

namespace {

// Returns the text of a section of the configuration in force, or an empty
// view.
absl::string_view
TextInForce(const Accepted* aInForce, const std::string& aName)
{
  if (aInForce != nullptr) {
    for (const auto& section : aInForce->sections_) {
      if (section.name_ == aName) {
        return section.text_;
      }
    }
  }
  return "";
}

std::string
WithFinalNewline(std::string aText)
{
  if (!aText.empty() && !absl::EndsWith(aText, "\n")) {
    aText += '\n';
  }
  return aText;
}

// Replaces the section with the same name. An empty text removes it.
void
ReplaceSection(std::vector<Section>& aSections, Section aSection)
{
  aSections.erase(std::remove_if(aSections.begin(),
                                 aSections.end(),
                                 [&](const Section& aOther) {
                                   return aOther.name_ == aSection.name_;
                                 }),
                  aSections.end());
  if (!aSection.text_.empty()) {
    aSection.owner_ = OwnerOf(aSection);
    aSections.push_back(std::move(aSection));
  }
}

// Returns the merged section with a name, or null if it was removed.
const Section*
FindMergedSection(const PendingEdit& aEdit, const std::string& aName)
{
  for (const auto& section : aEdit.merged_) {
    if (section.name_ == aName) {
      return &section;
    }
  }
  return nullptr;
}

SectionHead&
FindOrAddSection(Head& aHead, const std::string& aName)
{
  for (auto& section : aHead.sections_) {
    if (section.name_ == aName) {
      return section;
    }
  }
  aHead.sections_.push_back({ aName });
  return aHead.sections_.back();
}

// Adds the chunks that the proposal no longer references to its retired chunks,
// and removes those that it references again.
void
UpdateRetiredChunks(Head& aProposal, const Head& aBase, std::int64_t aUnixMs)
{
  const auto referenced = DigestsOf(aProposal);
  auto& retired = aProposal.retired_;
  retired.erase(std::remove_if(retired.begin(),
                               retired.end(),
                               [&](const RetiredChunk& aChunk) {
                                 return referenced.contains(aChunk.digest_);
                               }),
                retired.end());
  for (const auto& digest : DigestsOf(aBase)) {
    if (!referenced.contains(digest)) {
      retired.push_back({ digest, aUnixMs });
    }
  }
}

// Updates the proposal's entry of a section, and adds its chunks to the edit.
void
UpdateSection(PendingEdit& aEdit, Head& aProposal, const std::string& aName)
{
  auto& entry = FindOrAddSection(aProposal, aName);
  entry.revision_ = aProposal.revision_;
  entry.chunks_.clear();
  const auto* const section = FindMergedSection(aEdit, aName);
  if (section == nullptr) {
    return;
  }
  entry.owner_ = section->owner_;
  for (auto& chunk : SplitIntoChunks(section->text_)) {
    entry.chunks_.push_back(core::Sha256Hex(chunk));
    aEdit.chunks_[entry.chunks_.back()] = std::move(chunk);
  }
}

void
AddToHistory(Head& aProposal, const PendingEdit& aEdit, std::int64_t aUnixMs)
{
  auto& history = aProposal.history_;
  history.push_back({ aProposal.revision_,
                      aEdit.changeId_,
                      aEdit.request_.author_,
                      aUnixMs,
                      aEdit.changed_ });
  if (history.size() > kMaxHistory) {
    history.erase(history.begin());
  }
}

} // namespace

std::vector<std::string>
MergeEdit(PendingEdit& aEdit, const Accepted* aInForce)
{
  std::vector<std::string> conflicts;
  aEdit.changed_.clear();
  aEdit.merged_ =
    aInForce != nullptr ? aInForce->sections_ : std::vector<Section>();
  for (const auto& sectionEdit : aEdit.request_.sections_) {
    const std::string text = WithFinalNewline(sectionEdit.text_);
    if (text == TextInForce(aInForce, sectionEdit.name_)) {
      continue;
    }
    const auto* const section = FindSection(aEdit.baseHead_, sectionEdit.name_);
    if (section != nullptr && section->revision_ > sectionEdit.baseRevision_) {
      conflicts.push_back(absl::StrCat(
        sectionEdit.name_, " (revision ", section->revision_, ")"));
    }
    aEdit.changed_.push_back(sectionEdit.name_);
    ReplaceSection(aEdit.merged_, { sectionEdit.name_, "", text });
  }
  return conflicts;
}

void
BuildProposal(PendingEdit& aEdit, absl::Time aNow)
{
  const std::int64_t unixMs = absl::ToUnixMillis(aNow);
  Head proposal = aEdit.baseHead_;
  proposal.revision_ = aEdit.baseHead_.revision_ + 1;
  aEdit.chunks_.clear();
  for (const auto& name : aEdit.changed_) {
    UpdateSection(aEdit, proposal, name);
  }
  UpdateRetiredChunks(proposal, aEdit.baseHead_, unixMs);
  AddToHistory(proposal, aEdit, unixMs);
  aEdit.proposalText_ = FormatHead(proposal);
  aEdit.proposal_ = std::move(proposal);
}

// Chunks that the base references exist. All others are written even if they
// exist, because a clean-up may be about to delete them; the write changes
// their version and so prevents the deletion.
void
ListUnwrittenChunks(PendingEdit& aEdit)
{
  const auto present = DigestsOf(aEdit.baseHead_);
  aEdit.unwritten_.clear();
  for (const auto& [digest, content] : aEdit.chunks_) {
    if (!present.contains(digest)) {
      aEdit.unwritten_.insert(digest);
    }
  }
}

} // namespace lycheeplank::config
