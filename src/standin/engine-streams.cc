#include "standin/engine.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "standin/token-text.h"

namespace lycheeplank::standin {

namespace {

using Json = nlohmann::json;

constexpr absl::string_view kDoneMarker = "[DONE]";

std::string
TokenEvent(const Run& aRun, std::uint64_t aIndex)
{
  return net::FormatSse("",
                        absl::StrCat("{\"index\":",
                                     aIndex,
                                     ",\"text\":\"",
                                     TokenText(aRun.textSeed_, aIndex),
                                     "\"}"));
}

void
BeginStream(Subscriber& aSubscriber)
{
  if (!aSubscriber.streamStarted_) {
    aSubscriber.streamStarted_ = true;
    aSubscriber.exchange_->BeginStream(
      200, { { "Content-Type", "text/event-stream" } });
  }
}

// Sends an event to the subscribers for which aWants returns true and removes
// those that have disconnected.
template<typename Wants>
void
Publish(Run& aRun, const std::string& aEvent, Wants aWants)
{
  const auto gone = [&](Subscriber& aEach) {
    BeginStream(aEach);
    return aWants(aEach) && !aEach.exchange_->Write(aEvent);
  };
  auto& subscribers = aRun.subscribers_;
  subscribers.erase(
    std::remove_if(subscribers.begin(), subscribers.end(), gone),
    subscribers.end());
}

} // namespace

void
PublishStart(Run& aRun)
{
  aRun.startEvent_ =
    net::FormatSse("",
                   Json({ { "event", "start" },
                          { "run_id", aRun.request_.id_ },
                          { "weight_version", aRun.weightVersion_ },
                          { "prompt_tokens", aRun.promptTokens_ },
                          { "cached_blocks", aRun.cachedBlocks_ },
                          { "imported_blocks", aRun.importedBlocks_ } })
                     .dump());
  Publish(aRun, aRun.startEvent_, [](const Subscriber& aEach) {
    return aEach.firstToken_ == 0;
  });
}

void
PublishToken(Run& aRun, std::uint64_t aIndex)
{
  Publish(aRun, TokenEvent(aRun, aIndex), [&](const Subscriber& aEach) {
    return aIndex >= aEach.firstToken_;
  });
}

void
PublishEnd(Run& aRun, absl::string_view aReason)
{
  Json blocks = Json::array();
  for (const core::BlockKey& key : aRun.chain_) {
    blocks.push_back(core::ToHex(key));
  }
  aRun.endEvent_ =
    net::FormatSse("",
                   Json({ { "event", "end" },
                          { "finish_reason", std::string(aReason) },
                          { "tokens", aRun.tokens_ },
                          { "weight_version", aRun.weightVersion_ },
                          { "blocks", std::move(blocks) } })
                     .dump());
  Publish(aRun,
          aRun.endEvent_ + net::FormatSse("", kDoneMarker),
          [](const Subscriber&) { return true; });
  for (const Subscriber& subscriber : aRun.subscribers_) {
    subscriber.exchange_->End();
  }
  aRun.subscribers_.clear();
}

void
Subscribe(Run& aRun, Subscriber aSubscriber)
{
  BeginStream(aSubscriber);
  net::Exchange& exchange = *aSubscriber.exchange_;
  if (aSubscriber.firstToken_ == 0 && !aRun.startEvent_.empty()) {
    exchange.Write(aRun.startEvent_);
  }
  for (std::uint64_t at = aSubscriber.firstToken_; at < aRun.tokens_; ++at) {
    exchange.Write(TokenEvent(aRun, at));
  }
  if (aRun.ended_) {
    exchange.Write(aRun.endEvent_ + net::FormatSse("", kDoneMarker));
    exchange.End();
    return;
  }
  aRun.subscribers_.push_back(std::move(aSubscriber));
}

} // namespace lycheeplank::standin
