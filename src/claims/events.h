#ifndef LYCHEEPLANK_CLAIMS_EVENTS_H
#define LYCHEEPLANK_CLAIMS_EVENTS_H

#include "claims/shard.h"
#include "lycheeplank/claims.h"

namespace lycheeplank::claims {

// Requests of holders (requests.cc).
void
OnAsk(const Context& aContext, const ClaimRequest& aAsk);
void
OnReport(const Context& aContext, const OutcomeReport& aReport);
void
OnRunning(const Context& aContext, const Heartbeat& aRunning);

// Answers an ask that no write has been sent for.
void
AnswerUnsent(const Context& aContext,
             const ClaimRequest& aAsk,
             Verdict aVerdict,
             Counter aCounter);

// Reads the stored number of shards unless it is known (layout.cc).
void
ReadLayout(const Context& aContext);

void
OnLayoutReply(const Context& aContext,
              Purpose aPurpose,
              const platform::Reply& aReply);

// Refuses early asks and answers early reports that have waited too long.
void
ExpireEarly(const Context& aContext);

} // namespace lycheeplank::claims

#endif
