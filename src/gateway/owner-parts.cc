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

// Old parts are freed once no read of them can be in progress: reads that began
// before the last target loaded new weights have ended or were discarded. The
// margin covers a request's transit time to its target and the error of the
// stores' clock.
constexpr absl::Duration kReadMargin = absl::Milliseconds(300);
// Period of checks for old parts, one every few steps of the owner.
constexpr absl::Duration kFreePeriod = absl::Milliseconds(250);
// Stores answer within milliseconds. The next check repeats a failed call.
constexpr absl::Duration kFreeTimeout = absl::Seconds(1);
// Maximum number of parts in one call, which then has some tens of kilobytes.
constexpr std::size_t kMaxPartsPerCall = 400;
// Maximum number of targets or scopes in one line of the log.
constexpr std::size_t kMaxLogged = 64;

// Returns the targets that have a model, the oldest weights first, as
// id@start=version.
std::string
TargetsOf(const fleet::Members& aMembers, const std::string& aModel)
{
  std::vector<std::pair<std::uint64_t, const fleet::Target*>> targets;
  for (const auto& [id, member] : aMembers) {
    const auto found = member.target_.weights_.find(aModel);
    if (found != member.target_.weights_.end()) {
      targets.emplace_back(found->second, &member.target_);
    }
  }
  std::stable_sort(
    targets.begin(), targets.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  targets.resize(std::min(targets.size(), kMaxLogged));
  return absl::StrJoin(
    targets, ",", [](std::string* aText, const auto& aTarget) {
      const auto& [version, target] = aTarget;
      absl::StrAppend(aText, target->id_, "@", target->bornMs_, "=", version);
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
Owner::FreeOldParts()
{
  const auto now = Now();
  for (const auto& [model, published] : host_.weights_) {
    auto& oldest = oldestWeights_[model];
    const auto version = weights::OldestVersion(host_.members_, model);
    if (oldest.version_ != version) {
      host_.log_.Write(Line("oldest_weights")
                         .Text("model", model)
                         .Number("before", oldest.version_)
                         .Number("version", version)
                         .Number("newest", weights::NewestVersion(published))
                         .Text("targets", TargetsOf(host_.members_, model)));
      oldest = { version, now };
    }
  }
  if (now - partsFreedAt_ < kFreePeriod) {
    return;
  }
  partsFreedAt_ = now;
  for (auto& [name, state] : host_.cacheIndex_.stores_) {
    if (state.syncState_ != cache_index::SyncState::Synced) {
      continue;
    }
    std::vector<cache_index::Change> unused;
    for (const auto& [model, oldest] : oldestWeights_) {
      if (now - oldest.since_ < LongestReadTime(host_) + kReadMargin) {
        continue;
      }
      auto old = cache_index::PartsOfOldWeights(state, model, oldest.version_);
      std::move(old.begin(), old.end(), std::back_inserter(unused));
    }
    if (unused.empty()) {
      continue;
    }
    if (unused.size() > kMaxPartsPerCall) {
      unused.resize(kMaxPartsPerCall);
    }
    host_.log_.Write(Line("parts_freed")
                       .Text("store", name)
                       .Number("parts", unused.size())
                       .Number("epoch", state.epoch_)
                       .Text("scopes", ScopesOf(unused))
                       .Age("read_time_ms", LongestReadTime(host_))
                       .Number("catalog", host_.catalog_->version_)
                       .Number("fence", fence_));
    FreeParts(name, state, std::move(unused));
  }
}

void
Owner::FreeParts(const std::string& aStore,
                 const cache_index::StoreState& aState,
                 std::vector<cache_index::Change> aParts)
{
  const auto epoch = aState.epoch_;
  auto call = host_.adapter_.writeFreeCall_(epoch, aParts);
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
