#include "gateway/owner.h"

#include <utility>
#include <vector>

#include "gateway/clock.h"

// The part of an owner that frees what cache stores keep for old weights.
namespace lycheeplank::gateway {

namespace {

// Old parts are freed once no read of them can be under way: those that began
// before the last target changed have ended or were thrown away. The margin
// covers a request's way to its target and the error of the common clock.
constexpr absl::Duration kReadMargin = absl::Milliseconds(300);
// Period of looks for them, one in a step or two of the owner.
constexpr absl::Duration kFreePeriod = absl::Milliseconds(250);
// Stores answer within milliseconds; a call that is lost is made again.
constexpr absl::Duration kFreeTimeout = absl::Seconds(1);
// Parts named in one call, some tens of kilobytes.
constexpr std::size_t kFreedAtOnce = 400;

} // namespace

void
Owner::FreeOldParts()
{
  const auto now = Now();
  for (const auto& [model, namings] : host_.weights_) {
    auto& oldest = oldest_[model];
    const auto version = weights::OldestVersion(host_.members_, model);
    if (oldest.version_ != version) {
      oldest = { version, now };
    }
  }
  if (now - freedAt_ < kFreePeriod) {
    return;
  }
  freedAt_ = now;
  for (auto& [name, state] : host_.kept_.stores_) {
    if (state.syncState_ != cache_index::SyncState::Synced) {
      continue;
    }
    std::vector<cache_index::Change> unused;
    for (const auto& [model, oldest] : oldest_) {
      if (now - oldest.since_ < LongestRead(host_) + kReadMargin) {
        continue;
      }
      auto old = cache_index::PartsOfOldWeights(state, model, oldest.version_);
      std::move(old.begin(), old.end(), std::back_inserter(unused));
    }
    if (unused.empty()) {
      continue;
    }
    if (unused.size() > kFreedAtOnce) {
      unused.resize(kFreedAtOnce);
    }
    host_.log_.Write(Line("parts_freed")
                       .Text("store", name)
                       .Number("parts", unused.size())
                       .Number("epoch", state.epoch_));
    Free(name, state, std::move(unused));
  }
}

void
Owner::Free(const std::string& aStore,
            const cache_index::StoreState& aState,
            std::vector<cache_index::Change> aParts)
{
  const auto epoch = aState.epoch_;
  const auto call = host_.adapter_.writeFreeCall_(epoch, aParts);
  Fetch(host_.calls_,
        host_.loop_,
        aState.settings_.address_,
        call,
        kFreeTimeout,
        [self = shared_from_this(), aStore, epoch, parts = std::move(aParts)](
          const http::Answer& aAnswer) {
          auto& stores = self->host_.kept_.stores_;
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
