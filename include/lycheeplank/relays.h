#ifndef LYCHEEPLANK_RELAYS_H
#define LYCHEEPLANK_RELAYS_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "lycheeplank/entry_hosts.h"

// Which hosts ask the key-value service and the cache stores for changes, and
// what they tell the other hosts of their data centre, so that neither calls
// nor connections grow with the number of hosts.
namespace lycheeplank::relays {

// Hosts of a data centre that ask for themselves: one that the others ask, and
// one that takes its place.
inline constexpr std::size_t kRelays = 2;
// Relays of all data centres together, from which on each has only one: they
// all follow each cache store, which lets twelve hosts wait, and some places
// are for hosts that no relay reaches. The relays of other data centres then
// take the place of one that fails.
inline constexpr std::size_t kMostRelays = 8;

// Returns the names of the relays of a data centre, best first: those of its
// ready hosts with the most cores, in an order that all hosts agree on.
std::vector<std::string>
RelaysOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre);

// Returns whether a host is one of them. A host that isn't on the list yet, or
// whose data centre has none, is one, since nobody could tell it anything.
bool
IsRelay(const entry_hosts::Hosts& aHosts, const std::string& aHost);

// Hosts that one host asks for changes at most before it asks for itself; each
// that doesn't answer takes most of a second.
inline constexpr std::size_t kMostSources = 4;

// Returns the hosts that a host asks for changes, best first: the relays of its
// data centre, then the first relays of others, in an order of its own so that
// the hosts of a data centre without relays spread over them.
std::vector<std::string>
SourcesOf(const entry_hosts::Hosts& aHosts,
          absl::string_view aDataCentre,
          const std::string& aHost);

// Returns how many hosts go before a host in claiming a vacant right that one
// host holds; nothing if others are to claim it. Only relays do, which know of
// changes first; each vacancy, told apart by the newest revision, has an order
// of its own.
absl::optional<std::size_t>
ClaimTurn(const entry_hosts::Hosts& aHosts,
          const std::string& aHost,
          std::uint64_t aNewest);

// Returns the data centres that have hosts.
std::vector<std::string>
DataCentres(const entry_hosts::Hosts& aHosts);

// Returns whether some data centre has hosts that aren't relays.
bool
IsLarge(const entry_hosts::Hosts& aHosts);

// Rows kept for hosts that have fallen behind; they read all anew beyond that.
inline constexpr std::size_t kMostRows = 4000;
// Bytes kept for the same purpose; hosts have 88 MB and more.
inline constexpr std::size_t kMostBytes = 4U << 20U;

// What a relay has heard, in the order in which it heard it.
struct Feed
{
  // Differs for each start of a feed.
  std::uint64_t id_ = 0;
  // Number of the first row that is still kept.
  std::uint64_t first_ = 1;
  std::deque<std::string> rows_;
  std::size_t bytes_ = 0;
};

// Returns the number that the next row will get.
std::uint64_t
NextRow(const Feed& aFeed);

// Starts a feed with an id, empty.
void
Restart(Feed& aFeed, std::uint64_t aId);

// Adds a row and drops the oldest beyond the limits.
void
AddRow(Feed& aFeed, std::string aRow);

// Returns the rows from a number on, joined by commas; nothing if the number
// belongs to another feed or some of them are dropped.
absl::optional<std::string>
RowsFrom(const Feed& aFeed, std::uint64_t aId, std::uint64_t aFirst);

} // namespace lycheeplank::relays

#endif
