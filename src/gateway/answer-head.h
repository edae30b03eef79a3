#ifndef LYCHEEPLANK_SRC_GATEWAY_ANSWER_HEAD_H
#define LYCHEEPLANK_SRC_GATEWAY_ANSWER_HEAD_H

#include <array>

#include <absl/strings/string_view.h>

#include "gateway/adapter.h"
#include "http/message.h"
#include "lycheeplank/catalog.h"
#include "lycheeplank/core.h"

// Decisions about a target's answer that follow from its head.
namespace lycheeplank::gateway {

// Why the body of a successful answer can't be the answer to a request.
enum class HeadFault
{
  None,
  // The head doesn't name the request as its only one.
  RequestId,
  // The head doesn't show that a target has run the request.
  Stamp,
  // The target states that it hasn't run the request.
  NotRun,
  // The bytes are coded, which no caller has asked for.
  Coding,
  // On a route of streams: a status other than 200, or a type other than that
  // of event streams in UTF-8.
  Status,
  Type,
};

inline constexpr std::array<core::Named<HeadFault>, 7> kHeadFaults{ {
  { HeadFault::None, "none" },
  { HeadFault::RequestId, "request_id" },
  { HeadFault::Stamp, "stamp" },
  { HeadFault::NotRun, "not_run" },
  { HeadFault::Coding, "coding" },
  { HeadFault::Status, "status" },
  { HeadFault::Type, "type" },
} };

// Returns whether the status is one of success.
bool
IsSuccess(int aStatus);

// Returns whether the head has exactly one type, that of event streams, in no
// other encoding of text than UTF-8.
bool
IsEventStream(const http::ResponseHead& aHead);

// Returns the first fault of a successful answer. What an answer has to be
// follows from the request and its route only. aAnswer: what the adapter read
// from the head.
HeadFault
FaultOf(const http::ResponseHead& aHead,
        const TargetAnswer& aAnswer,
        absl::string_view aRequestId,
        const catalog::Route& aRoute);

// Returns whether only the close of the connection ends the body.
bool
EndsWithConnection(const http::ResponseHead& aHead);

// Returns how the end of the body is marked: "length", "chunks", or
// "connection" if it ends with its connection.
absl::string_view
FramingOf(const http::ResponseHead& aHead);

// Returns the fields that are forwarded to the caller.
http::Fields
ForwardedFields(const http::ResponseHead& aHead);

} // namespace lycheeplank::gateway

#endif
