#include "gateway/target-entries.h"

#include <algorithm>
#include <utility>

#include "gateway/warmup.h"

namespace lycheeplank::gateway {

namespace {

// Log source of entries that a new catalog makes usable or not.
constexpr absl::string_view kCatalogSource = "catalog";

bool
HasService(const Host& aHost, const std::string& aService)
{
  return aHost.catalog_ != nullptr &&
         aHost.catalog_->services_.contains(aService);
}

// Returns why an entry names no target to use; nothing if it names one.
absl::optional<EntryFault>
FaultOf(const Host& aHost, const absl::optional<fleet::Target>& aTarget)
{
  if (!aTarget) {
    return EntryFault::Unreadable;
  }
  if (aHost.catalog_ == nullptr) {
    return EntryFault::NoCatalog;
  }
  return HasService(aHost, aTarget->service_)
           ? absl::nullopt
           : absl::make_optional(EntryFault::UnknownService);
}

// Records that an entry names no target to use. Logs only changes, since
// entries are rewritten about once a second.
void
NoteUnused(Host& aHost,
           const std::string& aId,
           EntryFault aFault,
           const absl::optional<fleet::Target>& aTarget,
           const replica::Item& aItem,
           absl::string_view aSource)
{
  const auto [known, isNew] = aHost.unusedEntries_.try_emplace(aId, aFault);
  const bool isChanged = isNew || known->second != aFault;
  known->second = aFault;
  if (!isChanged || aFault == EntryFault::NoCatalog) {
    return;
  }
  aHost.metrics_.Count(
    "unused_entries_total", "fault", core::NameOf(kEntryFaults, aFault));
  aHost.log_.Write(
    Line(aFault == EntryFault::Unreadable ? "target_unreadable"
                                          : "target_unused")
      .Text("target", aId)
      .Text("service", aTarget ? aTarget->service_ : "")
      .Text("fault", core::NameOf(kEntryFaults, aFault))
      .Number("catalog", aHost.catalog_ ? aHost.catalog_->version_ : 0)
      .Number("revision", aItem.revision_)
      .Text("source", aSource));
}

// Returns whether a target names all models that another one does.
bool
NamesAllModels(const fleet::Target& aTarget, const fleet::Target& aOther)
{
  return std::all_of(
    aOther.weights_.begin(), aOther.weights_.end(), [&](const auto& aLoaded) {
      return aTarget.weights_.contains(aLoaded.first);
    });
}

// Drops the pooled connections to the earlier process of a target that has
// started again, and the evidence that it has crashed.
void
NoteRestart(Host& aHost,
            std::int64_t aEarlierStartMs,
            const fleet::Target& aTarget,
            const replica::Item& aItem,
            absl::string_view aSource)
{
  aHost.log_.Write(Line("target_restarted")
                     .Text("target", aTarget.id_)
                     .Number("started_ms", aTarget.bornMs_)
                     .Number("before_ms", aEarlierStartMs)
                     .Number("revision", aItem.revision_)
                     .Text("source", aSource));
  aHost.metrics_.Count("targets_restarted_total");
  aHost.targetPool_.Drop(aTarget.id_);
  crash_evidence::Forget(aHost.crashes_, aTarget.id_);
}

} // namespace

void
ApplyTarget(Host& aHost,
            const std::string& aId,
            const replica::Item& aItem,
            absl::string_view aSource,
            absl::Time aNow)
{
  if (aItem.deleted_) {
    aHost.unusedEntries_.erase(aId);
    availability::MarkKnownToAll(
      aHost.availability_, aId, StartOf(aHost, aId).value_or(0));
    const auto until = RemovalTime(aHost, aNow);
    if (fleet::ExpireTarget(aHost.members_, aId, until)) {
      aHost.log_.Write(Line("target_vanished")
                         .Text("target", aId)
                         .Number("revision", aItem.revision_)
                         .Age("believed_ms", until - aNow)
                         .Text("source", aSource));
    }
    return;
  }
  auto target = aHost.adapter_.readTarget_(aItem);
  if (const auto fault = FaultOf(aHost, target)) {
    fleet::ExpireTarget(aHost.members_, aId, aNow);
    NoteUnused(aHost, aId, *fault, target, aItem, aSource);
    return;
  }
  const bool wasUnused = aHost.unusedEntries_.erase(aId) > 0;
  const bool leaving = target->state_ == fleet::TargetState::Leaving;
  const auto known = aHost.members_.find(aId);
  if (known == aHost.members_.end() ||
      known->second.target_.state_ != target->state_ ||
      known->second.target_.weights_ != target->weights_) {
    Line line(leaving ? "target_leaving" : "target_ready");
    line.Text("target", aId)
      .Text("service", target->service_)
      .Text("address", target->address_)
      .Number("revision", aItem.revision_)
      .Text("source", aSource);
    for (const auto& [model, version] : target->weights_) {
      line.Number("weights", version);
    }
    aHost.log_.Write(line);
  }
  if (known != aHost.members_.end() &&
      !NamesAllModels(*target, known->second.target_)) {
    part_use::NoteVanished(aHost.readers_, known->second.target_, aNow);
  }
  // Until this host has all entries, one that it doesn't know is no new start,
  // nor is one that couldn't be used before.
  const bool isNewStart =
    known == aHost.members_.end()
      ? aHost.itemsCompleteAt_ != absl::InfinitePast() && !wasUnused
      : known->second.target_.bornMs_ < target->bornMs_;
  const auto earlierStart = StartOf(aHost, aId);
  fleet::UpdateTarget(
    aHost.members_, std::move(*target), replica::PositionOf(aItem), aNow);
  auto& member = aHost.members_.at(aId);
  if (earlierStart && *earlierStart != member.target_.bornMs_) {
    NoteRestart(aHost, *earlierStart, member.target_, aItem, aSource);
  }
  if (leaving) {
    availability::MarkKnownToAll(
      aHost.availability_, aId, member.target_.bornMs_);
  }
  availability::Apply(aHost.availability_, member);
  target_limits::Apply(aHost.limits_, member);
  NoteEntryWarmup(aHost, aId, isNewStart);
  if (member.target_.state_ == fleet::TargetState::Leaving) {
    aHost.targetPool_.Drop(aId);
  }
}

void
ReapplyTargets(Host& aHost, absl::Time aNow)
{
  const bool isUsed = std::all_of(
    aHost.members_.begin(), aHost.members_.end(), [&](const auto& aEntry) {
      return HasService(aHost, aEntry.second.target_.service_);
    });
  if (isUsed && aHost.unusedEntries_.empty()) {
    return;
  }
  for (const auto& [key, known] : aHost.replica_.items_) {
    const auto [kind, id] = aHost.adapter_.parseKey_(key);
    if (kind != ItemKind::Target || known.item_.deleted_) {
      continue;
    }
    const auto member = aHost.members_.find(id);
    const bool losesService =
      member != aHost.members_.end() &&
      !HasService(aHost, member->second.target_.service_);
    const auto unused = aHost.unusedEntries_.find(id);
    const bool mayBeNamed = unused != aHost.unusedEntries_.end() &&
                            unused->second != EntryFault::Unreadable;
    if (losesService || mayBeNamed) {
      ApplyTarget(aHost, id, known.item_, kCatalogSource, aNow);
    }
  }
}

} // namespace lycheeplank::gateway
