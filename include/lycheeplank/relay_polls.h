#ifndef LYCHEEPLANK_RELAY_POLLS_H
#define LYCHEEPLANK_RELAY_POLLS_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include "lycheeplank/relays.h"

// Decides when a relay answers the polls of other hosts and which of them get
// the same answer. Pure: the caller passes the time and sends the answers.
namespace lycheeplank::relays {

// Longest time that a host holds a peer's poll for changes. It also bounds the
// delay after which a peer receives the time of a cache store's last answer.
inline constexpr absl::Duration kPollTime = absl::Milliseconds(400);
// The same in a data centre with forwarders. The times add up over two hosts,
// and contents of stores that were confirmed too long ago aren't used.
inline constexpr absl::Duration kForwardedPollTime = absl::Milliseconds(200);
// Changes within this time are sent in one answer, which all hosts that wait
// share. Polls that arrive meanwhile wait for its end as well: a relay that
// answered them at once would serialize and send each row for each host.
inline constexpr absl::Duration kBatchTime = absl::Milliseconds(30);
// Maximum size of the answers that wait for slow readers, each counted once. A
// host that needs an answer beyond it is sent to its next source. The smallest
// hosts have 110 MB for everything.
inline constexpr std::size_t kMaxHeldBytes = 12U << 20U;

struct Poll
{
  Position position_;
  absl::Time deadline_;
};

struct Polls
{
  // By number of the poll, which increases with its arrival.
  absl::btree_map<std::uint64_t, Poll> waiting_;
  std::uint64_t next_ = 1;
  // Longest time that a poll waits.
  absl::Duration pollTime_ = kPollTime;
  // End of the current batch.
  absl::Time batchAt_ = absl::InfiniteFuture();
  // The current batch answers all polls, also those that lack no rows.
  bool answersAll_ = false;
};

// Returns the longest time that hosts of a data centre hold polls.
absl::Duration
PollTimeOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre);

// Adds a poll and returns its number.
std::uint64_t
AddPoll(Polls& aPolls,
        const Feed& aFeed,
        const Position& aPosition,
        absl::Time aNow);

// Removes a poll whose caller has disconnected.
void
RemovePoll(Polls& aPolls, std::uint64_t aPoll);

// Starts a batch after the feed got new rows. aAnswersAll: the state of the
// relay's sources has changed, which all hosts must learn.
void
StartBatch(Polls& aPolls, absl::Time aNow, bool aAnswersAll);

// Polls that get the same answer.
struct PollGroup
{
  Position position_;
  std::vector<std::uint64_t> polls_;
};

// Removes and returns the polls that are answered now: those that lack an
// urgent row at once, others that lack rows at the end of the batch, and all at
// their deadlines.
std::vector<PollGroup>
TakeDuePolls(Polls& aPolls, const Feed& aFeed, absl::Time aNow);

// Returns the time at which TakeDuePolls returns polls next if no row is added.
absl::Time
NextDueTime(const Polls& aPolls, const Feed& aFeed);

// The answers that are being sent, each shared by all its readers.
struct HeldAnswers
{
  std::vector<std::weak_ptr<const std::string>> answers_;
};

// Returns the size of the answers that readers still hold.
std::size_t
HeldBytes(HeldAnswers& aHeld);

} // namespace lycheeplank::relays

#endif
