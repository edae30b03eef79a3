#include "gateway/owner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "gateway/clock.h"

// The part of Owner that frees parts of prompts which cache stores hold for old
// weights.
namespace lycheeplank::gateway {

namespace {

// Period of checks for old parts, one every few steps of the owner.
constexpr absl::Duration kFreePeriod = absl::Milliseconds(250);
// Stores answer within milliseconds. The next check repeats a failed call.
constexpr absl::Duration kFreeTimeout = absl::Seconds(1);
// Maximum number of parts in one call, which then has some tens of kilobytes.
constexpr std::size_t kMaxPartsPerCall = 400;
// Maximum number of targets or scopes in one line of the log.
constexpr std::size_t kMaxLogged = 64;

// Returns the targets that may read parts of a model, the oldest weights first,
// as id@start=version, with the time in milliseconds since they vanished.
std::string
ReadersOf(const Host& aHost, const std::string& aModel, absl::Time aNow)
{
  std::vector<std::pair<std::uint64_t, std::string>> targets;
  const auto add = [&](const fleet::Target& aTarget, const auto&... aSuffix) {
    const auto found = aTarget.weights_.find(aModel);
    if (found != aTarget.weights_.end()) {
      targets.emplace_back(
        found->second,
        absl::StrCat(
          aTarget.id_, "@", aTarget.bornMs_, "=", found->second, aSuffix...));
    }
  };
  for (const auto& [id, member] : aHost.members_) {
    add(member.target_);
  }
  for (const auto& [id, vanished] : aHost.readers_.vanished_) {
    add(vanished.target_,
        "-",
        absl::ToInt64Milliseconds(aNow - vanished.vanishedAt_));
  }
  std::stable_sort(
    targets.begin(), targets.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  targets.resize(std::min(targets.size(), kMaxLogged));
  return absl::StrJoin(
    targets, ",", [](std::string* aText, const auto& aTarget) {
      aText->append(aTarget.second);
    });
}

// Returns the distinct scopes of parts.
std::string
ScopesOf(const std::vector<cache_index::Change>& aParts)
{
  std::vector<absl::string_view> scopes;
  for (const auto& part : aParts) {
    if (std::find(scopes.begin(), scopes.end(), part.scope_) == scopes.end()) {
      scopes.push_back(part.scope_);
    }
  }
  scopes.resize(std::min(scopes.size(), kMaxLogged));
  return absl::StrJoin(scopes, ",");
}

} // namespace

void
Owner::UpdateOldestWeights(absl::Time aNow)
{
  for (const auto& [model, published] : host_.weights_) {
    auto& rises = oldestWeights_[model];
    const auto before = rises.empty() ? 0 : rises.back().version_;
    const auto oldest =
      part_use::OldestVersion(host_.members_, host_.readers_, model);
    part_use::RecordOldest(rises, oldest, aNow);
    if (before != oldest) {
      host_.log_.Write(Line("oldest_weights")
                         .Text("model", model)
                         .Number("before", before)
                         .Number("version", oldest)
                         .Number("newest", weights::NewestVersion(published))
                         .Age("known_ms", aNow - host_.readers_.knownSince_)
                         .Text("targets", ReadersOf(host_, model, aNow)));
    }
  }
}

void
Owner::FreeOldParts()
{
  const auto now = Now();
  UpdateOldestWeights(now);
  // Without the stores' clock, the calls can't be given a time limit.
  if (now - partsFreedAt_ < kFreePeriod || !host_.cacheIndex_.clockOffset_) {
    return;
  }
  partsFreedAt_ = now;
  for (const auto& [model, rises] : oldestWeights_) {
    const auto unused = part_use::FindUnused(
      rises, host_.weights_.at(model), host_.readers_, now);
    if (unused.proof_ != part_use::Proof::None) {
      FreeOldParts(model, unused);
    }
  }
}

void
Owner::FreeOldParts(const std::string& aModel, const part_use::Unused& aUnused)
{
  for (const auto& [name, state] : host_.cacheIndex_.stores_) {
    if (state.syncState_ != cache_index::SyncState::Synced) {
      continue;
    }
    auto parts = cache_index::PartsOfOldWeights(state, aModel, aUnused.below_);
    if (parts.empty()) {
      continue;
    }
    if (parts.size() > kMaxPartsPerCall) {
      parts.resize(kMaxPartsPerCall);
    }
    host_.log_.Write(
      Line("parts_freed")
        .Text("store", name)
        .Number("parts", parts.size())
        .Number("epoch", state.epoch_)
        .Text("scopes", ScopesOf(parts))
        .Text("model", aModel)
        .Number("below", aUnused.below_)
        .Text("proof", core::NameOf(part_use::kProofs, aUnused.proof_))
        .Age("since_ms", Now() - aUnused.since_)
        .Number("catalog", host_.catalog_->version_)
        .Number("fence", fence_));
    FreeParts(name, state, std::move(parts));
  }
}

void
Owner::FreeParts(const std::string& aStore,
                 const cache_index::StoreState& aState,
                 std::vector<cache_index::Change> aParts)
{
  const auto epoch = aState.epoch_;
  const auto until = std::min(Now() + kFreeTimeout, validUntil_);
  auto call = host_.adapter_.writeFreeCall_(
    epoch, aParts, cache_index::StoreClockMs(host_.cacheIndex_, until));
  call.maxAnswerBytes_ = kMaxShortAnswerBytes;
  Fetch(host_.callPool_,
        host_.loop_,
        aState.settings_.address_,
        call,
        kFreeTimeout,
        [self = shared_from_this(), aStore, epoch, parts = std::move(aParts)](
          const http::Answer& aAnswer) {
          auto& stores = self->host_.cacheIndex_.stores_;
          if (const auto found = stores.find(aStore);
              found != stores.end() && aAnswer.status_ / 100 == 2) {
            cache_index::RemoveParts(found->second, epoch, parts);
            return;
          }
          self->host_.log_.Write(Line("parts_not_freed")
                                   .Text("store", aStore)
                                   .Number("status", aAnswer.status_));
        });
}

} // namespace lycheeplank::gateway
