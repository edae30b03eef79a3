#ifndef LYCHEEPLANK_ENTRY_PROBLEM_H
#define LYCHEEPLANK_ENTRY_PROBLEM_H

#include <memory>
#include <string>

#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

// The entry process, which answers callers and operators.
namespace lycheeplank::entry {

// Returns an application/problem+json body that describes an error.
std::string
ProblemBody(const core::Error& aError, absl::string_view aRequestId);

// Answers with an error and its HTTP status. Adds Retry-After if the error has
// a retry delay.
void
ReplyProblem(net::Exchange& aExchange,
             const core::Error& aError,
             absl::string_view aRequestId);

// Writes an event with an error to a stream that has begun, and ends the
// stream.
void
EndWithProblem(net::Exchange& aExchange,
               const core::Error& aError,
               absl::string_view aRequestId);

// Answers with a JSON body; adds X-Request-Id unless aRequestId is empty.
void
ReplyJson(net::Exchange& aExchange,
          int aStatus,
          std::string aBody,
          absl::string_view aRequestId = {});

} // namespace lycheeplank::entry

#endif
