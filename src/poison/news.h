#ifndef LYCHEEPLANK_SRC_POISON_NEWS_H
#define LYCHEEPLANK_SRC_POISON_NEWS_H

#include <string>

#include "lycheeplank/poison.h"

// What hosts tell each other.
namespace lycheeplank::poison {

// Returns the key of a block's traits among the news.
std::string
KeyOf(const Traits& aTraits);

// Takes back what an answer that has begun refutes. aIsTold: all hosts know.
void
Clear(State::Suspicion& aSuspicion, absl::Time aBeganAt, bool aIsTold);

// Returns the news that are due, for all other hosts.
absl::optional<Message>
TakeDueNews(State& aState, absl::Time aNow);

// Adds the begins that refute traits of another host's block.
void
AddRefutation(const State& aState, const Block& aBlock, Message& aReply);

// Returns a message with all blocks, and what is known in favour of suspected
// traits.
Message
AllBlocks(const State& aState);

} // namespace lycheeplank::poison

#endif
