#include "config/proposal.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "config/sync_internal.h"

namespace lycheeplank::config {

namespace {

// Returns the text of a section of the configuration in force.
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
WithLineEnd(std::string aText)
{
  if (!aText.empty() && !absl::EndsWith(aText, "\n")) {
    aText += '\n';
  }
  return aText;
}

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
FindMerged(const PendingEdit& aRun, const std::string& aName)
{
  for (const auto& section : aRun.merged_) {
    if (section.name_ == aName) {
      return &section;
    }
  }
  return nullptr;
}

SectionHead&
EntryOf(Head& aHead, const std::string& aName)
{
  for (auto& section : aHead.sections_) {
    if (section.name_ == aName) {
      return section;
    }
  }
  aHead.sections_.push_back({ aName });
  return aHead.sections_.back();
}

// Moves chunks between the named and the retired ones.
void
Retire(Head& aProposal, const Head& aBase, std::int64_t aUnixMs)
{
  const auto named = DigestsOf(aProposal);
  auto& retired = aProposal.retired_;
  retired.erase(std::remove_if(retired.begin(),
                               retired.end(),
                               [&](const RetiredChunk& aChunk) {
                                 return named.contains(aChunk.digest_);
                               }),
                retired.end());
  for (const auto& digest : DigestsOf(aBase)) {
    if (!named.contains(digest)) {
      retired.push_back({ digest, aUnixMs });
    }
  }
}

// Puts the new text of a section into a proposal.
void
ProposeSection(PendingEdit& aRun, Head& aProposal, const std::string& aName)
{
  auto& entry = EntryOf(aProposal, aName);
  entry.revision_ = aProposal.revision_;
  entry.chunks_.clear();
  const auto* const section = FindMerged(aRun, aName);
  if (section == nullptr) {
    return;
  }
  entry.owner_ = section->owner_;
  for (auto& chunk : SplitIntoChunks(section->text_)) {
    entry.chunks_.push_back(core::Sha256Hex(chunk));
    aRun.chunks_[entry.chunks_.back()] = std::move(chunk);
  }
}

void
AddToHistory(Head& aProposal, const PendingEdit& aRun, std::int64_t aUnixMs)
{
  auto& history = aProposal.history_;
  history.push_back({ aProposal.revision_,
                      aRun.changeId_,
                      aRun.request_.author_,
                      aUnixMs,
                      aRun.changed_ });
  if (history.size() > kMaxHistory) {
    history.erase(history.begin());
  }
}

} // namespace

std::vector<std::string>
Merge(PendingEdit& aRun, const Accepted* aInForce)
{
  std::vector<std::string> conflicts;
  aRun.changed_.clear();
  aRun.merged_ =
    aInForce != nullptr ? aInForce->sections_ : std::vector<Section>();
  for (const auto& edit : aRun.request_.sections_) {
    const std::string text = WithLineEnd(edit.text_);
    if (text == TextInForce(aInForce, edit.name_)) {
      continue;
    }
    const auto* const section = FindSection(aRun.baseHead_, edit.name_);
    if (section != nullptr && section->revision_ > edit.baseRevision_) {
      conflicts.push_back(
        absl::StrCat(edit.name_, " (revision ", section->revision_, ")"));
    }
    aRun.changed_.push_back(edit.name_);
    ReplaceSection(aRun.merged_, { edit.name_, "", text });
  }
  return conflicts;
}

void
Propose(PendingEdit& aRun, absl::Time aNow)
{
  const std::int64_t unixMs = absl::ToUnixMillis(aNow);
  Head proposal = aRun.baseHead_;
  proposal.revision_ = aRun.baseHead_.revision_ + 1;
  aRun.chunks_.clear();
  for (const auto& name : aRun.changed_) {
    ProposeSection(aRun, proposal, name);
  }
  Retire(proposal, aRun.baseHead_, unixMs);
  AddToHistory(proposal, aRun, unixMs);
  aRun.proposalText_ = FormatHead(proposal);
  aRun.proposal_ = std::move(proposal);
}

// Chunks that the base names are there; all others are written, also if they
// exist, since a clean-up may be about to delete them.
void
ListUnwritten(PendingEdit& aRun)
{
  const auto present = DigestsOf(aRun.baseHead_);
  aRun.unwritten_.clear();
  for (const auto& [digest, content] : aRun.chunks_) {
    if (!present.contains(digest)) {
      aRun.unwritten_.insert(digest);
    }
  }
}

} // namespace lycheeplank::config
