#ifndef LYCHEEPLANK_CLAIMS_EVENTS_H
#define LYCHEEPLANK_CLAIMS_EVENTS_H

#include "claims/shard.h"
#include "lycheeplank/claims.h"

namespace lycheeplank::claims {

// Handlers of messages from holders (requests.cc).
void
OnClaimRequest(const Context& aContext, const ClaimRequest& aRequest);
void
OnOutcomeReport(const Context& aContext, const OutcomeReport& aReport);
void
OnHeartbeat(const Context& aContext, const Heartbeat& aHeartbeat);

// Answers a claim request for which no write has been sent.
void
AnswerBeforeWrite(const Context& aContext,
                  const ClaimRequest& aRequest,
                  Verdict aVerdict,
                  Counter aCounter);

// Reads the stored number of shards unless it is known, requested or in backoff
// (layout.cc).
void
ReadLayout(const Context& aContext);

void
OnLayoutReply(const Context& aContext,
              CommandPurpose aPurpose,
              const platform::Reply& aReply);

// Refuses the deferred claim requests and answers the deferred reports whose
// timeout has passed. The reports stay deferred.
void
ExpireDeferred(const Context& aContext);

} // namespace lycheeplank::claims

#endif
