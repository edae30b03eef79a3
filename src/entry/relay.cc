#include "entry/relay.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "adapters/json-text.h"
#include "entry/problem.h"

namespace lycheeplank::entry {

namespace {

using adapters::QuoteJson;
using nlohmann::json;

constexpr absl::string_view kDone = "[DONE]";

} // namespace

Relay::Relay(RelayOptions aOptions,
             std::shared_ptr<net::Exchange> aExchange,
             resume::Signer aSigner)
  : options_(std::move(aOptions))
  , exchange_(std::move(aExchange))
  , signer_(std::move(aSigner))
  , nextIndex_(options_.firstIndex_)
  , chunkHead_(absl::StrCat(R"({"id":)",
                            QuoteJson(options_.requestName_),
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
    if (event.data_ == kDone || state_ != RelayState::Running) {
      continue;
    }
    const auto read = adapters::ReadRunEvent(event.data_);
    if (!read) {
      state_ = RelayState::Broken;
    } else if (read->start_) {
      start_ = *read->start_;
      // Nothing goes to the caller before the first token, so that the request
      // can still be tried elsewhere.
      started = start_;
    } else if (read->token_) {
      PassToken(*read->token_);
    } else if (read->finish_) {
      finish_ = *read->finish_;
      // An end before the last token means that tokens were lost.
      state_ = finish_.tokens_ == nextIndex_ ? RelayState::Finished
                                             : RelayState::Broken;
    }
  }
  SendPending();
  return started;
}

// All tokens that came together go to the caller together, so that its
// connection is woken once.
void
Relay::SendPending()
{
  if (pending_.empty()) {
    return;
  }
  Begin();
  exchange_->Write(pending_);
  // An open stream that waits keeps no memory for it.
  pending_ = std::string();
}

void
Relay::Restart()
{
  parser_ = net::SseParser();
  state_ = RelayState::Running;
}

void
Relay::Begin()
{
  if (begun_ || !options_.stream_) {
    return;
  }
  begun_ = true;
  exchange_->BeginStream(200,
                         { { "Content-Type", "text/event-stream" },
                           { "Cache-Control", "no-store" },
                           { "X-Request-Id", options_.requestName_ } });
}

void
Relay::PassToken(const adapters::RunToken& aToken)
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
  absl::StrAppend(&pending_,
                  net::FormatSse(signer_.TokenAt(aToken.index_),
                                 absl::StrCat(chunkHead_,
                                              QuoteJson(aToken.text_),
                                              R"(,"finish_reason":null}]})")));
}

void
Relay::SendEnd()
{
  json body{ { "id", options_.requestName_ },
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
              options_.requestName_);
    return;
  }
  Begin();
  exchange_->Write(
    absl::StrCat(net::FormatSse("", body.dump()), net::FormatSse("", kDone)));
  exchange_->End();
}

void
Relay::SendError(const core::Error& aError)
{
  EndWithProblem(*exchange_, aError, options_.requestName_);
}

} // namespace lycheeplank::entry
