#include "entry/problem.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lycheeplank::entry {

namespace {

constexpr absl::string_view kTypePrefix = "urn:lycheeplank:problem:";

std::string
ToString(absl::string_view aText)
{
  return std::string(aText);
}

// Returns whole seconds, rounded up so that no caller retries too early.
std::int64_t
WholeSeconds(absl::Duration aDuration)
{
  return absl::ToInt64Seconds(absl::Ceil(aDuration, absl::Seconds(1)));
}

} // namespace

std::string
ProblemBody(const core::Error& aError, absl::string_view aRequestId)
{
  const auto& traits = core::TraitsOf(aError.kind_);
  nlohmann::json body{
    { "type", absl::StrCat(kTypePrefix, traits.name_) },
    { "kind", ToString(traits.name_) },
    { "title", ToString(traits.title_) },
    { "status", traits.httpStatus_ },
    { "detail", aError.detail_ },
    { "remedy",
      aError.remedy_.empty() ? ToString(traits.remedy_) : aError.remedy_ },
    { "run", ToString(core::NameOf(core::kRunStates, aError.run_)) },
  };
  if (!aRequestId.empty()) {
    body["request_id"] = ToString(aRequestId);
  }
  if (aError.retryAfter_ > absl::ZeroDuration()) {
    body["retry_after_ms"] = absl::ToInt64Milliseconds(aError.retryAfter_);
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void
ReplyProblem(net::Exchange& aExchange,
             const core::Error& aError,
             absl::string_view aRequestId)
{
  std::vector<net::Field> headers{ { "Content-Type",
                                     "application/problem+json" } };
  if (!aRequestId.empty()) {
    headers.push_back({ "X-Request-Id", ToString(aRequestId) });
  }
  if (aError.retryAfter_ > absl::ZeroDuration()) {
    headers.push_back(
      { "Retry-After", absl::StrCat(WholeSeconds(aError.retryAfter_)) });
  }
  aExchange.Reply(core::TraitsOf(aError.kind_).httpStatus_,
                  std::move(headers),
                  ProblemBody(aError, aRequestId));
}

void
EndWithProblem(net::Exchange& aExchange,
               const core::Error& aError,
               absl::string_view aRequestId)
{
  aExchange.Write(net::FormatSse(
    "", absl::StrCat(R"({"error":)", ProblemBody(aError, aRequestId), "}")));
  aExchange.End();
}

void
ReplyJson(net::Exchange& aExchange,
          int aStatus,
          std::string aBody,
          absl::string_view aRequestId)
{
  std::vector<net::Field> headers{ { "Content-Type", "application/json" } };
  if (!aRequestId.empty()) {
    headers.push_back({ "X-Request-Id", ToString(aRequestId) });
  }
  aExchange.Reply(aStatus, std::move(headers), std::move(aBody));
}

} // namespace lycheeplank::entry
