#include "standin/engine.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "standin/token-text.h"

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

// The time for which the events of an ended run remain readable.
constexpr absl::Duration kEndedRunRetention = absl::Seconds(60);
constexpr absl::string_view kFinishedByLength = "length";
constexpr absl::string_view kCancelled = "cancelled";

// Removes and returns the next run: interactive runs first, each priority in
// order of arrival.
RunPtr
DequeueNext(std::deque<RunPtr>& aQueue)
{
  const auto interactive =
    std::find_if(aQueue.begin(), aQueue.end(), [](const RunPtr& aEach) {
      return aEach->request_.priority_ == Priority::Interactive;
    });
  const auto next = interactive == aQueue.end() ? aQueue.begin() : interactive;
  RunPtr run = *next;
  aQueue.erase(next);
  return run;
}

void
RemoveRun(std::deque<RunPtr>& aQueue, const RunPtr& aRun)
{
  aQueue.erase(std::remove(aQueue.begin(), aQueue.end(), aRun), aQueue.end());
}

void
AdmitWaiting(Engine& aEngine)
{
  while (aEngine.running_ < aEngine.options_.maxRuns_ &&
         !aEngine.waiting_.empty()) {
    const RunPtr run = DequeueNext(aEngine.waiting_);
    run->admitted_ = true;
    ++aEngine.running_;
    if (!StartImports(aEngine, run)) {
      QueuePrefill(aEngine, run);
    }
  }
}

// Releases the slot and the cache blocks of an ended run.
void
ReleaseRun(Engine& aEngine, const RunPtr& aRun)
{
  if (aRun->admitted_) {
    --aEngine.running_;
  }
  Release(aEngine.cache_, aRun->retained_);
  Release(aEngine.cache_, aRun->importRetained_);
  aRun->importRetained_.clear();
  aEngine.context_.loop_.Post([&aEngine] { AdmitWaiting(aEngine); });
}

void
EndRun(Engine& aEngine, const RunPtr& aRun, absl::string_view aReason)
{
  aRun->ended_ = true;
  PublishEnd(*aRun, aReason);
  ReleaseRun(aEngine, aRun);
  aRun->request_.prompt_.clear();
  aEngine.context_.loop_.After(kEndedRunRetention, [&aEngine, aRun] {
    aEngine.runs_.erase(aRun->request_.id_);
  });
}

void
EmitToken(Engine& aEngine, const RunPtr& aRun)
{
  if (aRun->ended_) {
    return;
  }
  if (aRun->tokens_ < aRun->request_.maxTokens_) {
    PublishToken(*aRun, aRun->tokens_++);
  }
  if (aRun->tokens_ >= aRun->request_.maxTokens_) {
    EndRun(aEngine, aRun, kFinishedByLength);
    return;
  }
  aRun->nextTokenAt_ +=
    aEngine.options_.tokenTime_ * aEngine.context_.faults_.slowdown_;
  aEngine.context_.loop_.At(aRun->nextTokenAt_,
                            [&aEngine, aRun] { EmitToken(aEngine, aRun); });
}

void
StartNextPrefill(Engine& aEngine);

// Caches the computed blocks, unless the weight version has changed since.
void
CacheComputedBlocks(Engine& aEngine, Run& aRun)
{
  const core::CacheScope scope = ScopeOf(aEngine, aRun.request_);
  if (scope.weightVersion_ != aRun.weightVersion_) {
    return;
  }
  std::vector<core::BlockKey> added;
  for (std::size_t at = aRun.uses_.size(); at < aRun.chain_.size(); ++at) {
    if (Insert(
          aEngine.cache_, aRun.chain_[at], { aRun.chain_.front(), scope })) {
      added.push_back(aRun.chain_[at]);
    }
  }
  Retain(aEngine.cache_, added);
  aRun.retained_.insert(aRun.retained_.end(), added.begin(), added.end());
}

void
FinishPrefill(Engine& aEngine, const RunPtr& aRun)
{
  aEngine.prefilling_.reset();
  if (!aRun->ended_) {
    CacheComputedBlocks(aEngine, *aRun);
    aRun->nextTokenAt_ = absl::Now();
    EmitToken(aEngine, aRun);
  }
  StartNextPrefill(aEngine);
}

// Records the cached blocks that a run uses and protects them from eviction.
void
AcquireCachedPrefix(Engine& aEngine, Run& aRun)
{
  const std::size_t cached = CountCachedPrefix(aEngine.cache_, aRun.chain_);
  for (std::size_t at = 0; at < cached; ++at) {
    const core::BlockKey& key = aRun.chain_[at];
    const CachedBlock& block = aEngine.cache_.blocks_.at(key);
    aRun.uses_.push_back({ key, block.scope_, block.generation_ });
    aRun.retained_.push_back(key);
    aRun.importedBlocks_ += aRun.imported_.contains(key) ? 1 : 0;
  }
  aRun.cachedBlocks_ = cached - aRun.importedBlocks_;
  Retain(aEngine.cache_, aRun.retained_);
  Release(aEngine.cache_, aRun.importRetained_);
  aRun.importRetained_.clear();
  aRun.computeTokens_ =
    aRun.promptTokens_ - cached * aEngine.options_.blockTokens_;
}

// Rejects a queued run whose required weight version is no longer served.
void
RejectRun(Engine& aEngine, const RunPtr& aRun)
{
  aRun->ended_ = true;
  for (Subscriber& subscriber : aRun->subscribers_) {
    if (subscriber.streamStarted_) {
      subscriber.exchange_->Abort();
      continue;
    }
    ReplyJson(
      subscriber.exchange_,
      409,
      { { "error", "weight_version" }, { "serving", aEngine.weightVersion_ } });
  }
  aRun->subscribers_.clear();
  ReleaseRun(aEngine, aRun);
  aEngine.runs_.erase(aRun->request_.id_);
}

bool
ServesVersion(const Engine& aEngine, const RunRequest& aRequest)
{
  return aRequest.weightVersion_.empty() ||
         aRequest.weightVersion_ == aEngine.weightVersion_;
}

void
StartPrefill(Engine& aEngine, const RunPtr& aRun)
{
  aEngine.prefilling_ = aRun;
  aRun->weightVersion_ = aEngine.weightVersion_;
  aRun->chain_ = core::BlockChain(ScopeOf(aEngine, aRun->request_),
                                  aRun->request_.prompt_,
                                  aEngine.options_.blockTokens_);
  aRun->textSeed_ = TextSeed(
    aRun->request_.prompt_, aEngine.options_.model_, aRun->weightVersion_);
  AcquireCachedPrefix(aEngine, *aRun);
  aEngine.executions_.push_back(aRun);
  PublishStart(*aRun);
  const absl::Duration time =
    absl::Seconds(static_cast<double>(aRun->computeTokens_) *
                  aEngine.context_.faults_.slowdown_ /
                  aEngine.options_.prefillTokensPerSecond_);
  aEngine.context_.loop_.After(
    time, [&aEngine, aRun] { FinishPrefill(aEngine, aRun); });
}

void
StartNextPrefill(Engine& aEngine)
{
  while (!aEngine.prefilling_ && !aEngine.prefills_.empty()) {
    const RunPtr run = DequeueNext(aEngine.prefills_);
    if (ServesVersion(aEngine, run->request_)) {
      StartPrefill(aEngine, run);
    } else {
      RejectRun(aEngine, run);
    }
  }
}

RunPtr
NewRun(const Engine& aEngine, RunRequest aRequest)
{
  auto run = std::make_shared<Run>();
  run->request_ = std::move(aRequest);
  const std::string& prompt = run->request_.prompt_;
  const auto chain = core::BlockChain(
    ScopeOf(aEngine, run->request_), prompt, aEngine.options_.blockTokens_);
  run->promptTokens_ = core::CountTokens(prompt);
  run->computeTokens_ =
    run->promptTokens_ -
    CountCachedPrefix(aEngine.cache_, chain) * aEngine.options_.blockTokens_;
  return run;
}

} // namespace

core::CacheScope
ScopeOf(const Engine& aEngine, const RunRequest& aRequest)
{
  return { aRequest.cacheSalt_,
           aEngine.options_.model_,
           aEngine.weightVersion_,
           aRequest.adapter_ };
}

void
StartRun(Engine& aEngine, RunRequest aRequest, const ExchangePtr& aExchange)
{
  if (aEngine.context_.faults_.leaving_) {
    ReplyError(aExchange, 503, "leaving");
  } else if (aEngine.runs_.contains(aRequest.id_)) {
    ReplyError(aExchange, 409, "duplicate_run");
  } else if (!ServesVersion(aEngine, aRequest)) {
    ReplyJson(
      aExchange,
      409,
      { { "error", "weight_version" }, { "serving", aEngine.weightVersion_ } });
  } else {
    const RunPtr run = NewRun(aEngine, std::move(aRequest));
    run->subscribers_.push_back({ aExchange });
    aEngine.runs_[run->request_.id_] = run;
    aEngine.waiting_.push_back(run);
    AdmitWaiting(aEngine);
  }
}

void
CancelRun(Engine& aEngine, const RunPtr& aRun)
{
  if (aRun->ended_) {
    return;
  }
  RemoveRun(aEngine.waiting_, aRun);
  RemoveRun(aEngine.prefills_, aRun);
  EndRun(aEngine, aRun, kCancelled);
}

void
QueuePrefill(Engine& aEngine, const RunPtr& aRun)
{
  aEngine.prefills_.push_back(aRun);
  StartNextPrefill(aEngine);
}

} // namespace lycheeplank::standin
