#include "standin/engine.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include "standin/block-payload.h"

namespace lycheeplank::standin {

namespace {

constexpr absl::Duration kImportTimeout = absl::Seconds(30);

bool
IsSameScope(const core::CacheScope& aLeft, const core::CacheScope& aRight)
{
  return aLeft.workspace_ == aRight.workspace_ &&
         aLeft.model_ == aRight.model_ &&
         aLeft.weightVersion_ == aRight.weightVersion_ &&
         aLeft.adapter_ == aRight.adapter_;
}

// Returns the reason why a fetched block can't be used; empty if it is valid.
absl::string_view
FindImportFault(const Engine& aEngine,
                const Run& aRun,
                const StoredBlock& aBlock,
                const net::Answer& aAnswer)
{
  if (!aAnswer.Ok()) {
    return aAnswer.end_.status_ == 409 ? "generation" : "transfer";
  }
  if (core::Sha256Hex(aAnswer.body_) !=
      net::FindField(aAnswer.headers_, "X-Checksum")) {
    return "checksum";
  }
  const auto payload = ParsePayload(aAnswer.body_);
  if (!payload || payload->key_ != aBlock.key_ ||
      !IsSameScope(payload->scope_, ScopeOf(aEngine, aRun.request_))) {
    return "scope";
  }
  return "";
}

void
FinishImport(Engine& aEngine,
             const RunPtr& aRun,
             const StoredBlock& aBlock,
             const net::Answer& aAnswer)
{
  --aRun->pendingImports_;
  const absl::string_view fault =
    FindImportFault(aEngine, *aRun, aBlock, aAnswer);
  aEngine.imports_.push_back({ aRun->request_.id_,
                               aBlock.key_,
                               aBlock.generation_,
                               std::string(fault) });
  if (!fault.empty()) {
    LOG(INFO) << "event=import_dropped run=" << aRun->request_.id_
              << " block=" << core::ToHex(aBlock.key_) << " reason=" << fault;
  } else if (const auto payload = ParsePayload(aAnswer.body_);
             Insert(aEngine.cache_,
                    aBlock.key_,
                    { payload->root_, payload->scope_, aBlock.generation_ })) {
    aRun->imported_[aBlock.key_] = aBlock.generation_;
    Retain(aEngine.cache_, { aBlock.key_ });
    aRun->importRetained_.push_back(aBlock.key_);
  }
  if (aRun->pendingImports_ > 0) {
    return;
  }
  if (aRun->ended_) {
    Release(aEngine.cache_, aRun->importRetained_);
    return;
  }
  QueuePrefill(aEngine, aRun);
}

void
FetchBlock(Engine& aEngine, const RunPtr& aRun, const StoredBlock& aBlock)
{
  net::Call call;
  call.url_ = absl::StrCat(aRun->request_.storeUrl_,
                           "/v1/blocks/",
                           core::ToHex(aBlock.key_),
                           "?generation=",
                           aBlock.generation_);
  call.timeout_ = kImportTimeout;
  aEngine.client_.Fetch(call, [&aEngine, aRun, aBlock](net::Answer&& aAnswer) {
    aEngine.context_.loop_.Post(
      [&aEngine, aRun, aBlock, answer = std::move(aAnswer)] {
        FinishImport(aEngine, aRun, aBlock, answer);
      });
  });
}

} // namespace

bool
StartImports(Engine& aEngine, const RunPtr& aRun)
{
  const auto chain = core::BlockChain(ScopeOf(aEngine, aRun->request_),
                                      aRun->request_.prompt_,
                                      aEngine.options_.blockTokens_);
  std::vector<StoredBlock> blocksToImport;
  for (std::size_t at = CountCachedPrefix(aEngine.cache_, chain);
       at < chain.size();
       ++at) {
    const auto& imports = aRun->request_.imports_;
    const auto found =
      std::find_if(imports.begin(), imports.end(), [&](const auto& aEach) {
        return aEach.key_ == chain[at];
      });
    if (found == imports.end()) {
      break;
    }
    blocksToImport.push_back(*found);
  }
  aRun->pendingImports_ = blocksToImport.size();
  for (const StoredBlock& block : blocksToImport) {
    FetchBlock(aEngine, aRun, block);
  }
  return !blocksToImport.empty();
}

} // namespace lycheeplank::standin
