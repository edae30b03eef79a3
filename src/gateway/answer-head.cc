#include "gateway/answer-head.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::gateway {

namespace {

constexpr int kOk = 200;

// Returns whether a parameter of a type names no other encoding of text than
// UTF-8, in which event streams are read whatever their head says.
bool
IsUtf8Parameter(absl::string_view aParameter)
{
  const std::pair<absl::string_view, absl::string_view> halves =
    absl::StrSplit(aParameter, absl::MaxSplits('=', 1));
  if (!absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(halves.first),
                              "charset")) {
    return true;
  }
  auto value = absl::StripAsciiWhitespace(halves.second);
  if (absl::ConsumePrefix(&value, "\"")) {
    absl::ConsumeSuffix(&value, "\"");
  }
  return absl::EqualsIgnoreCase(value, "utf-8");
}

} // namespace

bool
IsSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}

bool
IsEventStream(const http::ResponseHead& aHead)
{
  const auto* type = http::FindField(aHead.fields_, "content-type");
  if (type == nullptr || http::CountFields(aHead.fields_, "content-type") > 1) {
    return false;
  }
  const std::vector<absl::string_view> parts = absl::StrSplit(*type, ';');
  return absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(parts.front()),
                                "text/event-stream") &&
         std::all_of(parts.begin() + 1, parts.end(), IsUtf8Parameter);
}

HeadFault
FaultOf(const http::ResponseHead& aHead,
        const TargetAnswer& aAnswer,
        absl::string_view aRequestId,
        const catalog::Route& aRoute)
{
  if (!IsSuccess(aHead.status_)) {
    return HeadFault::None;
  }
  if (aAnswer.requestId_ != aRequestId || aAnswer.isAmbiguous_) {
    return HeadFault::RequestId;
  }
  if (!aAnswer.isStamped_) {
    return HeadFault::Stamp;
  }
  if (aAnswer.notRun_) {
    return HeadFault::NotRun;
  }
  if (http::FindField(aHead.fields_, "content-encoding") != nullptr) {
    return HeadFault::Coding;
  }
  if (aRoute.repeatPolicy_ != catalog::RepeatPolicy::Stream) {
    return HeadFault::None;
  }
  return aHead.status_ != kOk    ? HeadFault::Status
         : !IsEventStream(aHead) ? HeadFault::Type
                                 : HeadFault::None;
}

bool
EndsWithConnection(const http::ResponseHead& aHead)
{
  return !aHead.length_ && !aHead.isChunked_;
}

absl::string_view
FramingOf(const http::ResponseHead& aHead)
{
  return aHead.length_ ? "length" : aHead.isChunked_ ? "chunks" : "connection";
}

http::Fields
ForwardedFields(const http::ResponseHead& aHead)
{
  auto fields = http::EndToEndFields(aHead.fields_);
  const auto isLength = [](const http::Field& aField) {
    return absl::EqualsIgnoreCase(aField.name_, "content-length");
  };
  fields.erase(std::remove_if(fields.begin(), fields.end(), isLength),
               fields.end());
  // This field describes the body, which is forwarded.
  if (const auto* coding = http::FindField(aHead.fields_, "content-encoding");
      coding != nullptr &&
      http::FindField(fields, "content-encoding") == nullptr) {
    fields.push_back({ "Content-Encoding", *coding });
  }
  return fields;
}

} // namespace lycheeplank::gateway
