#ifndef LYCHEEPLANK_RELAYS_H
#define LYCHEEPLANK_RELAYS_H

#include <cstdint>
#include <deque>
#include <string>
#include <tuple>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "lycheeplank/entry_hosts.h"

// Selection of relays and the feeds that they serve. Relays are the hosts that
// follow the key-value service and the cache stores and pass changes on to the
// other hosts, so that neither calls nor connections grow with the number of
// hosts.
namespace lycheeplank::relays {

// Relays of a data centre: one that the other hosts poll, and one standby.
inline constexpr std::size_t kRelaysPerDataCentre = 2;
// Maximum number of relays in all data centres together. Beyond it each data
// centre has only one relay, and relays of other data centres replace one that
// fails. Every relay follows every cache store, and a store holds at most
// twelve polls, some of which are reserved for hosts that no relay reaches.
inline constexpr std::size_t kMaxRelays = 8;

// Returns the names of the relays of a data centre, best first. They are its
// hosts with the most cores, without leaving ones; all hosts with the same list
// compute the same order.
std::vector<std::string>
RelaysOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre);

// Returns whether a host is a relay. A host that isn't on the list yet, or
// whose data centre has no relay, is one, since no relay would serve it.
bool
IsRelay(const entry_hosts::Hosts& aHosts, const std::string& aHost);

// Maximum number of relays that a host tries before it follows the key-value
// service itself. Each source that doesn't answer takes almost a second.
inline constexpr std::size_t kMaxSources = 4;

// Number of hosts that a relay serves itself. A data centre with more of them
// has forwarders: the relay serves these and they serve the others, so that no
// host serves more than about the square root of their number.
inline constexpr std::size_t kMaxServedHosts = 32;

// Returns the forwarders of a data centre, those with the most cores after its
// relays among the hosts that can forward; none if the relay serves all hosts
// itself.
std::vector<std::string>
ForwardersOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre);

// Returns whether a host forwards changes from the relays of its data centre to
// other hosts.
bool
IsForwarder(const entry_hosts::Hosts& aHosts, const std::string& aHost);

// Returns the forwarder that serves a host; empty if a relay does, or if the
// host is a relay, a forwarder or of an earlier release. A change of one
// forwarder moves only the hosts that it serves.
std::string
ForwarderOf(const entry_hosts::Hosts& aHosts,
            absl::string_view aDataCentre,
            const std::string& aHost);

// Returns the host that collects the loads of a host and sends it those of the
// others: its forwarder or else the first relay of its data centre; empty for
// that relay itself.
// A relay of an earlier release sends loads to all hosts itself, so it collects
// all of them.
std::string
CollectorOf(const entry_hosts::Hosts& aHosts,
            absl::string_view aDataCentre,
            const std::string& aHost);

// Returns the hosts of a data centre whose loads a host collects.
std::vector<std::string>
CollectedBy(const entry_hosts::Hosts& aHosts,
            absl::string_view aDataCentre,
            const std::string& aHost);

// Returns the hosts that a host polls for changes, best first: its forwarder if
// it has one, the relays of its data centre, then the first relay of each other
// data centre. The order of the latter differs by host, so that the hosts of a
// data centre without relays spread over them.
std::vector<std::string>
SourcesOf(const entry_hosts::Hosts& aHosts,
          absl::string_view aDataCentre,
          const std::string& aHost);

// Returns a host's rank among the hosts that claim a vacant ownership, 0 for
// the first; nothing if the host may not claim it. Only relays claim, since
// they receive changes first. The order depends on aNewest, the newest
// revision, so that it differs from vacancy to vacancy.
absl::optional<std::size_t>
ClaimRank(const entry_hosts::Hosts& aHosts,
          const std::string& aHost,
          std::uint64_t aNewest);

// Returns the data centres that have hosts.
std::vector<std::string>
DataCentres(const entry_hosts::Hosts& aHosts);

// Returns whether a deployment is large: some data centre has hosts that aren't
// relays.
bool
IsLargeDeployment(const entry_hosts::Hosts& aHosts);

// Maximum number of rows in a feed's backlog. A host that has fallen further
// behind gets a snapshot.
inline constexpr std::size_t kMaxRows = 4000;
// Maximum size of the backlog; hosts have 88 MB of memory or more.
inline constexpr std::size_t kMaxBytes = 4U << 20U;
// Size of an answer's rows beyond which the following rows are left to the next
// answer. An urgent row waits at most for the transfer of one answer, and a
// slow reader holds at most one in memory. Compressed, it is some 30 KB, which
// a link of 10 Mbit/s carries within one batch time.
inline constexpr std::size_t kMaxPortionBytes = 256U << 10U;

enum class Urgency
{
  Normal,
  // The row is sent before other rows, in an answer of its own.
  Urgent,
};

struct Row
{
  // Empty for a row that a newer one has replaced.
  std::string text_;
  // A later row with the same key replaces this one; empty if none does.
  std::string key_;
  Urgency urgency_ = Urgency::Normal;
};

// The changes that a relay has received, in that order, each as a row.
struct Feed
{
  // Differs each time that the feed is restarted.
  std::uint64_t id_ = 0;
  // Number of the oldest row in the backlog.
  std::uint64_t first_ = 1;
  std::deque<Row> rows_;
  std::size_t bytes_ = 0;
  // Numbers of the newest rows by key, and of the urgent rows in the backlog
  // that no newer ones have replaced.
  absl::flat_hash_map<std::string, std::uint64_t> newest_;
  absl::btree_set<std::uint64_t> urgent_;
};

// Returns the number of the next row to be added.
std::uint64_t
NextRow(const Feed& aFeed);

// Empties a feed and gives it a new id.
void
Restart(Feed& aFeed, std::uint64_t aId);

// Adds a row and drops the oldest rows while the backlog exceeds its limits.
// Empties the earlier rows with the same key, unless it is empty.
void
AddRow(Feed& aFeed,
       std::string aText,
       absl::string_view aKey = {},
       Urgency aUrgency = Urgency::Normal);

// What a polling host has received of a feed.
struct Position
{
  // Id of the feed, and the number of the first row that the host lacks.
  std::uint64_t feed_ = 0;
  std::uint64_t next_ = 0;
  // The host has all urgent rows before this number. No value: the host is of
  // an earlier release and gets all rows in their order.
  absl::optional<std::uint64_t> urgent_;

  bool operator<(const Position& aOther) const
  {
    return std::tie(feed_, next_, urgent_) <
           std::tie(aOther.feed_, aOther.next_, aOther.urgent_);
  }
};

// The rows of one answer, joined by commas, and the position after them.
struct Portion
{
  std::string rows_;
  Position position_;
};

// Returns the rows that a host at a position gets next: the urgent ones that it
// lacks, else rows in their order, up to kMaxPortionBytes or a single larger
// row. Returns nothing if the position's feed isn't this one or some of the
// rows were dropped; the host needs a snapshot then.
absl::optional<Portion>
PortionFor(const Feed& aFeed, const Position& aPosition);

// Returns whether the feed has all rows after a position.
bool
IsKnown(const Feed& aFeed, const Position& aPosition);

// Returns whether a host at a position lacks rows of the feed, or needs a
// snapshot.
bool
IsBehind(const Feed& aFeed, const Position& aPosition);

} // namespace lycheeplank::relays

#endif
