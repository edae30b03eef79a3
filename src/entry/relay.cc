#include "entry/relay.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "adapters/json-text.h"
#include "entry/problem.h"

namespace lycheeplank::entry {

namespace {

using adapters::QuoteJson;
using nlohmann::json;

constexpr absl::string_view kDoneMarker = "[DONE]";

} // namespace

Relay::Relay(RelayOptions aOptions,
             std::shared_ptr<net::Exchange> aExchange,
             resume::Signer aSigner)
  : options_(std::move(aOptions))
  , exchange_(std::move(aExchange))
  , signer_(std::move(aSigner))
  , nextIndex_(options_.firstIndex_)
  , chunkPrefix_(absl::StrCat(R"({"id":)",
                              QuoteJson(options_.requestId_),
                              R"(,"object":"text_completion","model":)",
                              QuoteJson(options_.model_),
                              R"(,"choices":[{"index":0,"text":)"))
{
}

absl::optional<adapters::RunStart>
Relay::Feed(absl::string_view aData)
{
  absl::optional<adapters::RunStart> started;
  for (const auto& event : parser_.Feed(aData)) {
    if (event.data_ == kDoneMarker || state_ != RelayState::Running) {
      continue;
    }
    const auto read = adapters::ReadRunEvent(event.data_);
    if (!read || !IsOfOrderedVersion(*read)) {
      state_ = RelayState::Broken;
    } else if (read->start_) {
      start_ = *read->start_;
      // Nothing is sent to the caller before the first token, so that the
      // request can still be retried on another target.
      started = start_;
    } else if (read->token_) {
      RelayToken(*read->token_);
    } else if (read->finish_) {
      finish_ = *read->finish_;
      // A token count other than the number relayed means that tokens were
      // lost.
      state_ = finish_.tokens_ == nextIndex_ ? RelayState::Finished
                                             : RelayState::Broken;
    }
  }
  SendPending();
  return started;
}

bool
Relay::IsOfOrderedVersion(const adapters::RunEvent& aEvent) const
{
  const adapters::RunStart& start = aEvent.start_ ? *aEvent.start_ : start_;
  return !options_.weightVersion_ ||
         start.weightVersion_ == *options_.weightVersion_;
}

// Writes all tokens that arrived together in one go, so that the caller's
// connection is woken only once.
void
Relay::SendPending()
{
  if (pendingEvents_.empty()) {
    return;
  }
  EnsureStreamBegun();
  exchange_->Write(pendingEvents_);
  // Frees the memory, so that idle open streams don't hold a buffer.
  pendingEvents_ = std::string();
}

void
Relay::Restart()
{
  parser_ = net::SseParser();
  state_ = RelayState::Running;
}

void
Relay::EnsureStreamBegun()
{
  if (begun_ || !options_.stream_) {
    return;
  }
  begun_ = true;
  exchange_->BeginStream(200,
                         { { "Content-Type", "text/event-stream" },
                           { "Cache-Control", "no-store" },
                           { "X-Request-Id", options_.requestId_ } });
}

void
Relay::RelayToken(const adapters::RunToken& aToken)
{
  if (aToken.index_ < nextIndex_) {
    return;
  }
  if (aToken.index_ > nextIndex_) {
    state_ = RelayState::Broken;
    return;
  }
  ++nextIndex_;
  if (!options_.stream_) {
    text_ += aToken.text_;
    return;
  }
  absl::StrAppend(&pendingEvents_,
                  net::FormatSse(signer_.TokenAt(aToken.index_),
                                 absl::StrCat(chunkPrefix_,
                                              QuoteJson(aToken.text_),
                                              R"(,"finish_reason":null}]})")));
}

void
Relay::SendEnd()
{
  json body{ { "id", options_.requestId_ },
             { "object", "text_completion" },
             { "model", options_.model_ },
             { "choices",
               { { { "index", 0 },
                   { "text", text_ },
                   { "finish_reason", finish_.reason_ } } } },
             { "usage",
               { { "prompt_tokens", start_.promptTokens_ },
                 { "completion_tokens", finish_.tokens_ } } } };
  if (!options_.stream_) {
    ReplyJson(*exchange_,
              200,
              body.dump(-1, ' ', false, json::error_handler_t::replace),
              options_.requestId_);
    return;
  }
  EnsureStreamBegun();
  exchange_->Write(absl::StrCat(net::FormatSse("", body.dump()),
                                net::FormatSse("", kDoneMarker)));
  exchange_->End();
}

void
Relay::SendError(const core::Error& aError)
{
  EndWithProblem(*exchange_, aError, options_.requestId_);
}

} // namespace lycheeplank::entry
