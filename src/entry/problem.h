#ifndef LYCHEEPLANK_ENTRY_PROBLEM_H
#define LYCHEEPLANK_ENTRY_PROBLEM_H

#include <memory>
#include <string>

#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

// The process on an entry host that answers callers.
namespace lycheeplank::entry {

// Returns an error as an application/problem+json body.
std::string
ProblemBody(const core::Error& aError, absl::string_view aRequestId);

// Answers with an error, its HTTP status and Retry-After where coming back
// helps.
void
ReplyProblem(net::Exchange& aExchange,
             const core::Error& aError,
             absl::string_view aRequestId);

// Ends a stream that has begun with an event that carries an error.
void
EndWithProblem(net::Exchange& aExchange,
               const core::Error& aError,
               absl::string_view aRequestId);

// Answers with a JSON body.
void
ReplyJson(net::Exchange& aExchange,
          int aStatus,
          std::string aBody,
          absl::string_view aRequestId = {});

} // namespace lycheeplank::entry

#endif
