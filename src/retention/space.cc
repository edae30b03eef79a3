#include "lycheeplank/retention.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace lycheeplank::retention {

namespace {

constexpr double kTokensPerThousand = 1e3;
constexpr double kBytesPerMegabyte = 1e6;

std::uint64_t
BlockBytes(const ExportCandidate& aCandidate)
{
  return aCandidate.blockTokens_ * aCandidate.kvBytesPerToken_;
}

// Returns the net value per byte of exporting the prompt to a store.
double
ValuePerByteIn(const ExportCandidate& aCandidate, const StoreView& aStore)
{
  const double chance = ReturnProbability(
    aCandidate.returns_, aCandidate.timeToEviction_, aStore.timeToFree_);
  const double saving =
    chance * SavingPerByte(aCandidate, aStore.linkBytesPerSecond_);
  const double factor =
    aStore.freedValuePerByte_ > 0.0
      ? FairShareFactor(aStore.workspaceBytes_, aStore.workspaceShareBytes_)
      : 1.0;
  return factor * saving -
         aCandidate.objective_.linkWeight_ / kBytesPerMegabyte -
         aStore.freedValuePerByte_;
}

absl::optional<ExportPlan>
PlanExportTo(const ExportCandidate& aCandidate, const StoreView& aStore)
{
  const std::uint64_t blockBytes = BlockBytes(aCandidate);
  const double value = ValuePerByteIn(aCandidate, aStore);
  if (blockBytes == 0 || value <= 0.0 ||
      aStore.heldBlocks_ >= aCandidate.blocks_) {
    return absl::nullopt;
  }
  ExportPlan plan;
  plan.store_ = std::string(aStore.name_);
  plan.firstBlock_ = aStore.heldBlocks_;
  plan.blocks_ = aCandidate.blocks_ - aStore.heldBlocks_;
  plan.bytes_ = plan.blocks_ * blockBytes;
  plan.valuePerByte_ = value;
  const double transferSeconds =
    static_cast<double>(aStore.queuedBytes_ + plan.bytes_) /
    aStore.linkBytesPerSecond_;
  plan.startWithin_ =
    aCandidate.timeToEviction_ - absl::Seconds(transferSeconds);
  if (plan.startWithin_ < absl::ZeroDuration()) {
    return absl::nullopt;
  }
  return plan;
}

// Returns whether aLeft is the better store for the prompt: first by the number
// of leading blocks that it holds, then by room, then by a hash of store and
// prompt.
bool
IsPreferred(const ExportCandidate& aCandidate,
            const StoreView& aLeft,
            const StoreView& aRight)
{
  const auto sortKeyOf = [&](const StoreView& aStore) {
    return std::tuple(aStore.heldBlocks_,
                      aStore.freedValuePerByte_ <= 0.0,
                      core::StableHash(aStore.name_, aCandidate.promptHash_));
  };
  return sortKeyOf(aLeft) > sortKeyOf(aRight);
}

// Determines a block's place in the order of freeing.
struct EvictionRank
{
  double value_ = 0.0;
  std::uint32_t position_ = 0;
  std::size_t index_ = 0;
};

std::vector<EvictionRank>
RankBlocks(const std::vector<EvictionCandidate>& aBlocks,
           const std::vector<WorkspaceUsage>& aWorkspaces,
           absl::Duration aHorizon)
{
  std::vector<EvictionRank> ranks;
  ranks.reserve(aBlocks.size());
  for (std::size_t i = 0; i < aBlocks.size(); ++i) {
    const auto& block = aBlocks[i];
    if (block.pinned_) {
      continue;
    }
    const auto& workspace = aWorkspaces[block.workspace_];
    const double chance =
      ReturnProbabilityAfterIdle(workspace.returns_, block.idle_, aHorizon);
    const double value =
      chance * workspace.savingPerByte_ *
      FairShareFactor(workspace.usedBytes_, workspace.shareBytes_);
    ranks.push_back({ value, block.position_, i });
  }
  std::sort(ranks.begin(),
            ranks.end(),
            [](const EvictionRank& aLeft, const EvictionRank& aRight) {
              return std::tuple(aLeft.value_, aRight.position_, aLeft.index_) <
                     std::tuple(aRight.value_, aLeft.position_, aRight.index_);
            });
  return ranks;
}

} // namespace

double
SavingPerByte(const ExportCandidate& aCandidate, double aLinkBytesPerSecond)
{
  const auto bytesPerToken = static_cast<double>(aCandidate.kvBytesPerToken_);
  if (bytesPerToken <= 0.0) {
    return 0.0;
  }
  const auto& weights = aCandidate.objective_;
  const double seconds =
    1.0 / (aCandidate.prefillTokensPerSecond_ * bytesPerToken) -
    1.0 / aLinkBytesPerSecond;
  return weights.ttftWeight_ * std::max(0.0, seconds) +
         weights.recomputeWeight_ / kTokensPerThousand / bytesPerToken -
         weights.linkWeight_ / kBytesPerMegabyte;
}

absl::optional<ExportPlan>
PlanExport(const ExportCandidate& aCandidate,
           const std::vector<StoreView>& aStores)
{
  std::vector<StoreView> stores = aStores;
  std::sort(stores.begin(),
            stores.end(),
            [&](const StoreView& aLeft, const StoreView& aRight) {
              return IsPreferred(aCandidate, aLeft, aRight);
            });
  for (const auto& store : stores) {
    if (store.heldBlocks_ >= aCandidate.blocks_) {
      return absl::nullopt;
    }
    if (auto plan = PlanExportTo(aCandidate, store)) {
      return plan;
    }
  }
  return absl::nullopt;
}

std::uint64_t
BytesToFree(std::uint64_t aUsedBytes, std::uint64_t aCapacityBytes)
{
  const auto capacity = static_cast<double>(aCapacityBytes);
  if (static_cast<double>(aUsedBytes) < kHighWaterMark * capacity) {
    return 0;
  }
  return aUsedBytes - static_cast<std::uint64_t>(kLowWaterMark * capacity);
}

double
FairShareFactor(std::uint64_t aUsedBytes, std::uint64_t aShareBytes)
{
  return aUsedBytes <= aShareBytes
           ? 1.0
           : static_cast<double>(aShareBytes) / static_cast<double>(aUsedBytes);
}

EvictionPlan
PlanEvictions(const std::vector<EvictionCandidate>& aBlocks,
              const std::vector<WorkspaceUsage>& aWorkspaces,
              std::uint64_t aBytesToFree,
              absl::Duration aHorizon)
{
  EvictionPlan plan;
  for (const auto& rank : RankBlocks(aBlocks, aWorkspaces, aHorizon)) {
    if (plan.bytes_ >= aBytesToFree) {
      break;
    }
    plan.blocks_.push_back(rank.index_);
    plan.bytes_ += aBlocks[rank.index_].bytes_;
    plan.valuePerByte_ = rank.value_;
  }
  return plan;
}

std::vector<std::uint64_t>
DivideByShares(std::uint64_t aCapacityBytes, const std::vector<double>& aShares)
{
  const double total = std::accumulate(aShares.begin(), aShares.end(), 0.0);
  std::vector<std::uint64_t> bytes;
  bytes.reserve(aShares.size());
  for (const double share : aShares) {
    const double part = total > 0.0 ? share / total : 0.0;
    bytes.push_back(
      static_cast<std::uint64_t>(part * static_cast<double>(aCapacityBytes)));
  }
  return bytes;
}

} // namespace lycheeplank::retention
